"""Stand-ins for the scripts of the second review; standard library only.

They follow the users' pages: a store (`/rows-get`, `/rows-feed`, `/rows-tx`), runners of
a service, requesters, and a platform that starts the deploy file's program. All
listen on loopback addresses.
"""

import asyncio
import base64
import collections
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
"""Root of the repository, from which the platform starts the program."""

PAGE_ROWS = 500
ANSWER_SECONDS = 0.004
"""Time of an answer of the store, as the sheet of the site says."""

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "enforce_revocation": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 54,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_slack": 190000,
    "recovery_s": 12,
    "pass_ms": 120,
    "again_s": 10,
}
"""Bounds of sites/tulikalpa-kolkata.toml."""

now = time.monotonic


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self.started = now()

    def write(self, *words):
        line = f"{now() - self.started:8.3f} " + " ".join(map(str, words))
        print(line, file=self._file, flush=True)

    def say(self, *words):
        self.write(*words)
        print(*words, flush=True)

    def since(self, at):
        return round(at - self.started, 3)


def free_network():
    """Returns the second byte of a range of loopback addresses that is free."""
    for number in random.sample(range(2, 250), 248):
        probe = socket.socket()
        try:
            probe.bind((f"127.{number}.9.9", 8219))
        except OSError:
            probe.close()
            continue
        return number, probe
    raise OSError("no loopback addresses are free")


def run(main):
    """Runs a case in a temporary folder; exits with 2 if it could not run."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(main(folder))
        except Exception:
            traceback.print_exc()
            code = 2
    sys.exit(code)


async def read_head(reader):
    """Returns the first line and the fields of a message; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


class Store:
    """The platform's store: rows with versions, feeds, transactions.

    Attributes:
        on_page: called with the table and the first key of the page when the
            answer to a read is made, before the next call is answered.
    """

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.on_page = lambda table, start: None
        self.writers = set()
        self.calls = collections.Counter()
        self._changed = asyncio.Event()
        self._started = now()
        self._server = None

    def now_ms(self):
        return int((now() - self._started) * 1000) + 1000

    def put(self, table, key, value, part=""):
        """Writes a row, and returns when the store confirms it."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply([(table, part, key, base64.b64encode(text).decode())])
        return now()

    def remove(self, table, key, part=""):
        self._apply([(table, part, key, None)])
        return now()

    def _apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self.history.append((self.version, table, part, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def serve(self, host, port=8225):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                size = int(head[1].get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                path, _, query = target.partition("?")
                values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = await self._answer(path, values, body)
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, path, values, body):
        self.calls[path] += 1
        if path == "/rows-feed":
            return await self._feed(values)
        await asyncio.sleep(ANSWER_SECONDS)
        match path:
            case "/rows-get":
                return self._get(values)
            case "/rows-tx":
                return self._transact(json.loads(body))
        return 404, {}

    def _row(self, table, part, key, value, ver):
        row = {"table": table, "part": part, "key": key, "ver": ver}
        return row | ({"deleted": True} if value is None else {"value": value})

    def _get(self, values):
        table, part = values["table"], values.get("part", "")
        start, end = values.get("from", ""), values.get("to")
        limit = min(int(values.get("limit", PAGE_ROWS)), PAGE_ROWS)
        keys = sorted(
            key
            for t, p, key in self.rows
            if (t, p) == (table, part) and key >= start and (end is None or key < end)
        )
        rows = [
            self._row(table, part, key, *self.rows[table, part, key])
            for key in keys[:limit]
        ]
        answer = {
            "rows": rows,
            "has_more": len(keys) > limit,
            "ver": self.version,
            "now_ms": self.now_ms(),
        }
        self.on_page(table, start)
        return 200, answer

    async def _feed(self, values):
        after = int(values["after"])
        until = now() + min(int(values.get("wait_ms", 0)), 30000) / 1000
        while True:
            found = [c for c in self.history if c[0] > after and c[1] == values["table"]]
            left = until - now()
            if found or left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
        await asyncio.sleep(ANSWER_SECONDS)
        newest = {}
        for ver, table, part, key, value in found:
            newest.pop((part, key), None)
            newest[part, key] = self._row(table, part, key, value, ver)
        rows = list(newest.values())
        ver = max([after] + [c[0] for c in found])
        return 200, {"rows": rows, "ver": max(ver, after), "now_ms": self.now_ms()}

    def _transact(self, wanted):
        for each in wanted.get("expected_revision", []):
            name = each["table"], each.get("part", ""), each["key"]
            if self.rows.get(name, (None, 0))[1] != each["ver"]:
                return 412, {"rows": [], "ver": self.version, "now_ms": self.now_ms()}
        changes = [
            (p["table"], p.get("part", ""), p["key"], p["value"])
            for p in wanted.get("puts", [])
        ] + [
            (p["table"], p.get("part", ""), p["key"], None)
            for p in wanted.get("remove", [])
        ]
        if any(c[0] in ("op", "servers") for c in changes):
            return 403, {}
        self._apply(changes)
        return 200, {"ver": self.version, "now_ms": self.now_ms()}


@dataclasses.dataclass
class Arrival:
    """A request that reached a runner.

    Attributes:
        at: when it was read whole.
        ran: whether the runner began to work on it.
        ended: when its answer was sent; None if it was not.
    """

    id: str
    at: float
    ran: bool
    ended: float | None = None
    fields: dict | None = None


class Runner:
    """A runner of a plain service.

    Attributes:
        arrivals: the requests that reached it.
    """

    def __init__(
        self, store, record, id_, service, host, port, work_s=0.09, slots=6, version="v1"
    ):
        self.id, self.service, self.work_s, self.slots = id_, service, work_s, slots
        self.version = version
        self.address = f"{host}:{port}"
        self.arrivals = []
        self.state = "ready"
        self.store, self.record = store, record
        self._host, self._port = host, port
        self._tasks = set()
        self._writers = set()
        self._running = 0
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server = None

    def entry(self):
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "salt-lake",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def start(self, register=True):
        """Starts as a process does, and registers if the store takes that."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        self._born = int(time.time() * 1000)
        if register:
            self.register()

    def register(self):
        return self.store.put("servers", self.id, self.entry())

    def exit(self):
        """Ends as a process does: its channels close, its work is lost."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.write("runner", self.id, "exits, at work on", self._running)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                fields = head[1]
                size = int(fields.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                await self._handle(head[0], fields, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, first, fields, body, writer):
        id_ = fields.get("x-attempt-id", "")
        echo = f"X-Attempt-Id: {id_}\r\n"
        if fields.get("x-expect-instance", self.id) != self.id:
            self._write(writer, 421, echo + f"X-Runner-Id: {self.id}\r\n", b"")
            return
        arrival = Arrival(id_, now(), self._running < self.slots, fields=fields)
        self.arrivals.append(arrival)
        self.record.write("runner", self.id, "runs" if arrival.ran else "refuses", id_)
        if not arrival.ran:
            self._write(writer, 503, echo + "X-Not-Executed: 1\r\n", b"")
            return
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
            arrival.ended = now()
            seal = f"X-Response-Seal: seal-{self.id}-{id_}\r\n"
            self._write(writer, 200, echo + seal, b"done " + id_.encode())
            await writer.drain()
        finally:
            self._running -= 1

    def _write(self, writer, status, lines, body):
        if self.state == "draining":
            lines += "Server-Leaving: 1\r\n"
        writer.write(
            f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )


class Gateway:
    """The process that the platform starts on a machine, by the deploy file."""

    def __init__(self, name, host, store_address, folder, record, bounds=BOUNDS):
        self.name, self.host, self.record = name, host, record
        self.front, self.ready_port = 8221, 8224
        self.process = None
        self.started_at = None
        self._folder = pathlib.Path(folder)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["gateway"]
        self._boot = self._folder / f"{name}.toml"
        lines = [
            f'node = "{name}"', 'role = "gateway"', 'machine_class = "front"',
            'serves = ["front"]', f'ip = "{host}"', 'zone = "salt-lake"',
            'region = "bengal-east"', "internal_port_range = [7600,7615]",
            "bootstrap = true", 'discovery = "platform"', 'entry = "vip"',
            "heartbeat_ms = 1200",
            "[zones]", 'salt-lake = "bengal-east"',
            "[listen]", f'front = "{host}:8221"', f'ready = "{host}:8224"',
            "[limits]", "cpu_share = 0.537", "cpu_cores = 2", "memory_mb = 300",
            "max_fds = 4100", "link_mbps = 1000.0", "disk_mb = 0",
            "[bounds]",
            *[f"{k} = {json.dumps(v)}" for k, v in bounds.items()],
            "[platform]", f'address = "{store_address}"', 'form = "table"',
            "writes_per_s = 400", "reads_per_s = 2000", "row_bytes = 65536",
            "history_s = 20",
        ]
        self._boot.write_text("\n".join(lines) + "\n")

    async def start(self):
        command = shlex.split(self._role["run"])
        program = sys.executable if command[0] == "python3" else command[0]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        } | self._role.get("env", {}) | {
            "CRANBERRYGLADE_BOOT": str(self._boot),
            "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}",
        }
        log = open(self._folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            program, *command[1:], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.started_at = now()
        self.record.write("machine", self.name, "starts")

    async def terminate(self, grace_s=8):
        """Stops it as the platform does: SIGTERM, after a time SIGKILL."""
        self.record.write("machine", self.name, "gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def wait_ready(self, seconds=15):
        until = now() + seconds
        while now() < until:
            answer = await call(self.host, self.ready_port, "GET", "/ready", {}, 1.0)
            if answer.status == 200:
                self.record.write("machine", self.name, "is ready")
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")


@dataclasses.dataclass
class Answer:
    """What a requester got; status 0 for a channel that ended or a time-out."""

    status: int
    fields: dict
    body: bytes
    reason: str = ""


async def call(host, port, method, path, fields, seconds, body=b""):
    """Makes one call on a new channel."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            if body or method == "POST":
                lines += f"Content-Length: {len(body)}\r\n"
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            head = await read_head(reader)
            if head is None:
                return Answer(0, {}, b"", "closed")
            status = int(head[0].split(" ")[1])
            size = int(head[1].get("content-length", 0))
            data = await reader.readexactly(size) if size else b""
            return Answer(status, head[1], data)
    except TimeoutError:
        return Answer(0, {}, b"", "time-out")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(0, {}, b"", type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


@dataclasses.dataclass
class Sent:
    """A request of a requester, and its answer."""

    id: str
    at: float
    answered_at: float = 0.0
    answer: Answer | None = None


_numbers = itertools.count(1)


async def request(record, gateway, route, method="POST", key="", limit_ms=1500):
    """Sends one request, on a new channel, and waits for its answer."""
    sent = Sent(f"{random.getrandbits(40):010x}{next(_numbers):06x}", now())
    fields = {
        "Host": route["host"],
        "X-Attempt-Id": sent.id,
        "X-Deadline-Ms": limit_ms,
    }
    if key:
        fields["Authorization"] = f"Bearer {key}"
    record.write("requester sends", sent.id, method, route["path_prefix"], gateway.name)
    sent.answer = await call(
        gateway.host,
        gateway.front,
        method,
        route["path_prefix"] + "x",
        fields,
        limit_ms / 1000 + 0.5,
        b"amount=1" if method == "POST" else b"",
    )
    sent.answered_at = now()
    record.write(
        "requester gets", sent.id, sent.answer.status, sent.answer.reason or
        sent.answer.body[:40].decode("latin-1"),
    )
    return sent


def desk_route(service, kind="non_idempotent", name="charge", attempts=1, **more):
    """Returns the route of a plain service, as the site has it."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 800,
        "target_latency_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": attempts,
        "allow_anonymous": False,
        "session_affinity": False,
        "stream_resume": False,
    } | more


def manifest(version, routes, services, tenants):
    """Returns a manifest with the limits of the pages' example."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": s, "health_path": "/health", "max_connections": 100,
             "protocol": "h1", "tls": False}
            for s in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


class StreamRunner(Runner):
    """A model runner: answers with a stream of events, and resumes one."""

    def __init__(self, *args, events=20, gap_s=0.1, **more):
        super().__init__(*args, slots=4, **more)
        self.events, self.gap_s = events, gap_s

    async def _handle(self, first, fields, body, writer):
        id_ = fields.get("x-attempt-id", "")
        echo = f"X-Attempt-Id: {id_}\r\n"
        if fields.get("x-expect-instance", self.id) != self.id:
            self._write(writer, 421, echo + f"X-Runner-Id: {self.id}\r\n", b"")
            return
        arrival = Arrival(id_, now(), self._running < self.slots, fields=fields)
        self.arrivals.append(arrival)
        seen = int(fields.get("last-event-id") or 0)
        self.record.write("runner", self.id, self.version,
                          "runs" if arrival.ran else "refuses", id_, "after event", seen)
        if not arrival.ran:
            self._write(writer, 503, echo + "X-Not-Executed: 1\r\n", b"")
            return
        self._running += 1
        try:
            if self.state == "draining":
                echo += "Server-Leaving: 1\r\n"
            writer.write(
                f"HTTP/1.1 200 OK\r\n{echo}X-Response-Seal: seal-{self.id}-{id_}\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                .encode()
            )
            for number in range(seen + 1, self.events + 1):
                await asyncio.sleep(self.gap_s)
                event = f"id: {number}\ndata: piece {number} by {self.version}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            arrival.ended = now()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self._running -= 1


@dataclasses.dataclass
class Streamed:
    """A stream as its requester got it.

    Attributes:
        ids: the ids of its events.
        versions: the software versions that made them, in order.
    """

    id: str
    at: float
    status: int = 0
    ids: list = dataclasses.field(default_factory=list)
    versions: list = dataclasses.field(default_factory=list)
    whole: bool = False
    ended_at: float = 0.0


async def stream(record, gateway, route, key, limit_ms=8000):
    """Requests a stream on a new channel, and reads it to its end."""
    sent = Streamed(f"{random.getrandbits(40):010x}{next(_numbers):06x}", now())
    fields = {
        "Host": route["host"], "X-Attempt-Id": sent.id, "X-Model": "m",
        "X-Token-Counts": "1460,80",
        "X-Prompt-Prefix": f"5c1e07a2:60,{sent.id[:8]}:1400",
        "X-Deadline-Ms": limit_ms, "Authorization": f"Bearer {key}",
        "Content-Length": 2,
    }
    record.write("requester sends", sent.id, route["path_prefix"], gateway.name)
    writer = None
    try:
        async with asyncio.timeout(limit_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
            lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(f"POST {route['path_prefix']}x HTTP/1.1\r\n{lines}\r\n{{}}".encode())
            head = await read_head(reader)
            if head is not None:
                sent.status = int(head[0].split(" ")[1])
            while head is not None and sent.status == 200:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data = (await reader.readexactly(size + 2))[:-2]
                if not size:
                    sent.whole = True
                    break
                for line in data.decode().split("\n"):
                    if line.startswith("id: "):
                        sent.ids.append(int(line[4:]))
                    if line.startswith("data: "):
                        sent.versions.append(line.rpartition(" ")[2])
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    sent.ended_at = now()
    record.write("requester has", sent.id, sent.status, "events", len(sent.ids),
                 "whole" if sent.whole else "not whole")
    return sent


def stream_route(service, name, resume, attempts):
    """Returns the route of a stream, as the site has it."""
    return desk_route(
        service, "streaming", name, attempts, timeout_ms=8000, target_latency_ms=800,
        session_affinity=True, stream_resume=resume, gap_aim_ms=500)
