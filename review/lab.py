"""Stand-ins and process control for the scripts of the review.

Standard library only. A script starts the gateway program of the deploy file
as separate processes; the store, the runners and the callers are stand-ins in
the process of the script. All addresses are loopback addresses.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
GATEWAY_COMMAND = ("python3", "-m", "cranberryglade.platform")
STORE_ANSWER_SECONDS = 0.004
HOST = "ficu95.example"
ZONE = "salt-lake"

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be played."""


def require(condition, what):
    """Ends the case as not run unless a condition holds."""
    if not condition:
        raise CannotRunError(what)


class Record:
    """A file with one line for each thing that was seen."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._start = time.monotonic()

    def write(self, text):
        """Writes a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


def free_ips(count):
    """Returns loopback addresses on which the gateway's ports are free."""
    found = []
    while len(found) < count:
        ip = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}.7"
        try:
            for port in (8221, 8224, 8229, 7600, 9464):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((ip, port))
        except OSError:
            continue
        if ip not in found:
            found.append(ip)
    return found


def http_head(first_line, headers, length=None):
    """Encodes the head of a message."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def read_head(reader):
    """Reads a head; returns the first line and the headers, or None at EOF."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class Store:
    """The platform's store: rows, reads, feeds and transactions.

    Attributes:
        answer_seconds: time that it takes for an answer.
    """

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.history = []
        self.answer_seconds = STORE_ANSWER_SECONDS
        self._changed = asyncio.Event()
        self._server = None
        self.address = ""

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, table, key, value):
        """Writes a row; returns when the store has confirmed it."""
        self._apply([(table, key, base64.b64encode(value).decode())])
        return time.monotonic()

    def put_json(self, table, key, value):
        """Writes a row that holds a JSON document."""
        return self.put(table, key, json.dumps(value).encode())

    def remove(self, table, key):
        """Removes a row; returns when the store has confirmed it."""
        self._apply([(table, key, None)])
        return time.monotonic()

    def _apply(self, changes):
        self.version += 1
        for table, key, value in changes:
            row = {"table": table, "part": "", "key": key, "ver": self.version}
            if value is None:
                self.rows.pop((table, key), None)
                row["deleted"] = True
            else:
                row["value"] = value
                self.rows[table, key] = row
            self.history.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_head(reader)) is not None:
                first, headers = request
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                await asyncio.sleep(self.answer_seconds)
                status, answer = await self._answer(first, body)
                data = json.dumps(answer).encode()
                writer.write(
                    http_head(
                        f"HTTP/1.1 {status} Status",
                        [
                            ("Content-Type", "application/json"),
                            ("Store-Era", "0"),
                        ],
                        len(data),
                    )
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, first, body):
        method, target, _ = first.split(" ", 2)
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-get":
            return 200, self._get(fields)
        if path == "/rows-feed":
            return await self._feed(fields)
        if path == "/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _envelope(self, rows, more=False):
        return {
            "rows": rows,
            "has_more": more,
            "ver": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }

    def _get(self, fields):
        limit = int(fields.get("limit", "500"))
        start, end = fields.get("from", ""), fields.get("to")
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == fields["table"]
            and key >= start
            and (end is None or key < end)
        ]
        return self._envelope(rows[:limit], len(rows) > limit)

    async def _feed(self, fields):
        after = int(fields["after"])
        if after > self.version:
            return 410, {}
        deadline = time.monotonic() + int(fields["wait_ms"]) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["ver"] > after and row["table"] == fields["table"]
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, self._envelope(rows)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, wanted):
        conditions = wanted.get("expected_revision", [])
        for each in conditions:
            row = self.rows.get((each["table"], each["key"]))
            if (row["ver"] if row else 0) != each["ver"]:
                present = [
                    self.rows[c["table"], c["key"]]
                    for c in conditions
                    if (c["table"], c["key"]) in self.rows
                ]
                return 412, self._envelope(present)
        changes = [
            (e["table"], e["key"], e["value"]) for e in wanted.get("puts", [])
        ]
        changes += [(e["table"], e["key"], None) for e in wanted["remove"]]
        self._apply(changes)
        return 200, {
            "ver": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }


class Proxy:
    """Forwards channels to an address; open ones can be made silent."""

    def __init__(self, target):
        self._target = target
        self._silenced = set()
        self._open = set()
        self._server = None
        self.address = ""

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def silence_open_channels(self):
        """From now on the open channels deliver nothing; returns how many."""
        self._silenced |= self._open
        return len(self._open)

    async def _serve(self, reader, writer):
        channel = object()
        self._open.add(channel)
        far = None
        try:
            host, port = self._target.split(":")
            far_reader, far = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._forward(channel, reader, far),
                self._forward(channel, far_reader, writer),
            )
        except OSError:
            pass
        finally:
            self._open.discard(channel)
            for each in (writer, far):
                if each is not None:
                    each.close()

    async def _forward(self, channel, reader, writer):
        while data := await reader.read(65536):
            if channel not in self._silenced:
                writer.write(data)
                await writer.drain()
        if channel in self._silenced:
            # Neither side learns that the other one has closed.
            await asyncio.Event().wait()
        writer.close()


class Runner:
    """A runner of a plain service that keeps the protocol.

    Its entry is written when something in it changes other than `sequence`.

    Attributes:
        runs: (time, attempt id, headers, method, target) of all that it ran.
        arrivals: (time, attempt id) of all that reached it.
        spoil: returns bytes that follow the answer to an attempt, or None;
            None for a runner that is not faulty.
    """

    def __init__(self, store, id_, service, work_seconds=0.01, slots=6):
        self.id = id_
        self.service = service
        self.work_seconds = work_seconds
        self.slots = slots
        self.runs = []
        self.arrivals = []
        self.spoil = None
        self.leaving = False
        self.born = int(time.time() * 1000)
        self.address = ""
        self._store = store
        self._sequence = 0
        self._server = None
        self._writers = set()

    async def start(self):
        """Listens and registers itself."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.report()

    def report(self):
        """Writes its entry; returns when the store has confirmed it."""
        self._sequence += 1
        return self._store.put_json("servers", self.id, self.entry())

    def entry(self):
        """Returns its entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.leaving else "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    def leave(self):
        """Reports that it is draining; returns the confirmation's time."""
        self.leaving = True
        return self.report()

    def end(self):
        """Ends the process: its entry goes, its connections close."""
        self._store.remove("servers", self.id)
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                first, headers = request
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                await self._respond(first, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, first, headers, body, writer):
        method, target, _ = first.split(" ", 2)
        attempt = headers.get("x-attempt-id", "")
        self.arrivals.append((time.monotonic(), attempt))
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(
                http_head(
                    "HTTP/1.1 421 Misdirected Request",
                    [("X-Runner-Id", self.id), ("X-Attempt-Id", attempt)],
                    0,
                )
            )
            return
        self.runs.append((time.monotonic(), attempt, headers, method, target))
        await asyncio.sleep(self.work_seconds)
        data = f"{self.id} ran {attempt}".encode()
        answer = http_head(
            "HTTP/1.1 200 OK", self.answer_headers(attempt), len(data)
        )
        if method != "HEAD":
            answer += data
        extra = self.spoil(attempt) if self.spoil is not None else None
        writer.write(answer + (extra or b""))
        await writer.drain()

    def answer_headers(self, attempt):
        """Returns the headers of an answer, without its length."""
        headers = [
            ("X-Attempt-Id", attempt),
            ("X-Response-Seal", f"seal.{self.id}.{attempt}"),
        ]
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        return headers


class Gateway:
    """One process of the system, with the command of the deploy file."""

    def __init__(self, folder, name, ip, store_address, bounds=None, **machine):
        self.name = name
        self.front = (ip, 8221)
        self.ready = (ip, 8224)
        self._path = pathlib.Path(folder) / f"{name}.toml"
        self._log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.process = None
        self.settings = settings(
            name, ip, store_address, bounds or {}, **machine
        )
        self._path.write_text(self.settings)

    def start(self):
        """Starts the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CRANBERRYGLADE_BOOT"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            GATEWAY_COMMAND,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def kill(self, number=signal.SIGKILL):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    async def wait_ended(self):
        """Waits until the process has ended."""
        while self.process.poll() is None:
            await asyncio.sleep(0.02)

    async def is_ready(self):
        """Returns whether it answers 200 at its address for readiness."""
        try:
            answer = await asyncio.wait_for(
                call(self.ready, "GET", "/ready", []), 1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def wait_ready(self, seconds=20.0):
        """Waits until it is ready."""
        deadline = time.monotonic() + seconds
        while not await self.is_ready():
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended")
            if time.monotonic() > deadline:
                raise CannotRunError(f"{self.name} isn't ready")
            await asyncio.sleep(0.1)


def settings(
    name, ip, store_address, bounds, zone=ZONE, cpu_share=0.537, memory_mb=300
):
    """Returns a settings file with the bounds of the site tulikalpa-kolkata."""
    figures = {
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
        "enforce_revocation": "true",
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
    } | bounds
    lines = "\n".join(f"{key} = {value}" for key, value in figures.items())
    return f"""\
node = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "bengal-east"
internal_port_range = [7600,7615]
seed_addrs = []
bootstrap = true
counts_in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
salt-lake = "bengal-east"
new-town = "bengal-east"
howrah-dc = "bengal-east"
[listen]
front = "{ip}:8221"
ready = "{ip}:8224"
[limits]
cpu_share = {cpu_share}
cpu_cores = 2
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{lines}
[platform]
address = "{store_address}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 8.0
partition_writes_s = 150
row_bytes = 65536
across = false
history_s = 20
"""


def route(name, kind, service, **changes):
    """Returns a route of a manifest."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "allow_anonymous": False,
        "stream_resume": False,
        "gap_aim_ms": 500,
    } | changes


def manifest(version, routes, services, tenants):
    """Returns a manifest as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "max_connections": 96} for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


def tenant(name, keys, **changes):
    """Returns a tenant of a manifest."""
    return {
        "name": name,
        "api_keys": list(keys),
        "priority": 0,
        "unit": "token_count",
        "plain_tokens": 1,
        "rate_per_s": 0,
        "burst": 0,
    } | changes


Answer = collections.namedtuple("Answer", "status headers body")


class Channel:
    """A channel of a requester that carries one request after the other."""

    def __init__(self, address):
        self._address = address
        self._reader = None
        self._writer = None

    async def open(self):
        """Connects."""
        self._reader, self._writer = await asyncio.open_connection(
            *self._address
        )
        self._writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )

    async def send(self, method, path, headers, body=b""):
        """Sends a request and returns its answer.

        Raises:
            OSError, asyncio.IncompleteReadError: the channel ended.
            ValueError: what was read is no answer.
        """
        length = len(body) if body or method == "POST" else None
        self._writer.write(
            http_head(f"{method} {path} HTTP/1.1", headers, length) + body
        )
        return await self.read(method)

    async def read(self, method):
        """Reads one answer."""
        head = await read_head(self._reader)
        if head is None:
            raise ConnectionResetError("closed without an answer")
        first, fields = head
        version, _, rest = first.partition(" ")
        if version != "HTTP/1.1" or not rest[:3].isdigit():
            raise ValueError(f"no answer: {first[:60]!r}")
        status = int(rest[:3])
        body = b""
        if method != "HEAD" and status not in (204, 304):
            if fields.get("transfer-encoding") == "chunked":
                body = await self._read_chunks()
            else:
                length = int(fields.get("content-length", "0"))
                body = await self._reader.readexactly(length)
        return Answer(status, fields, body)

    async def _read_chunks(self):
        body = b""
        while True:
            size = int(await self._reader.readline(), 16)
            body += await self._reader.readexactly(size)
            await self._reader.readexactly(2)
            if not size:
                return body

    def close(self):
        """Closes the channel."""
        if self._writer is not None:
            self._writer.close()


async def call(address, method, path, headers, body=b""):
    """Sends one request on a channel of its own."""
    channel = Channel(address)
    await channel.open()
    try:
        return await channel.send(
            method, path, [("Host", HOST), *headers], body
        )
    finally:
        channel.close()


def attempt_id():
    """Returns a new attempt id."""
    return f"{random.getrandbits(64):016x}"


def request_headers(attempt, key, deadline_ms=1500, more=()):
    """Returns the headers of a requester."""
    return [
        ("Host", HOST),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {key}"),
        *more,
    ]


class Lab:
    """A store and gateways, and what a script adds."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.store = Store()
        self.gateways = []
        self.runners = []

    async def add_runner(self, id_, service, **options):
        """Starts a runner."""
        runner = Runner(self.store, id_, service, **options)
        await runner.start()
        self.runners.append(runner)
        return runner

    async def start_gateways(self, count, store_address=None, bounds=None):
        """Starts gateways in one zone and waits until they are ready."""
        await self.start_machines([{}] * count, store_address, bounds)

    async def start_machines(self, machines, store_address=None, bounds=None):
        """Starts a gateway on each machine and waits until they are ready."""
        ips = free_ips(len(machines))
        for number, (ip, machine) in enumerate(
            zip(ips, machines, strict=True), 1
        ):
            gateway = Gateway(
                self.folder,
                f"front-{machine.get('zone', ZONE)}-{number}",
                ip,
                store_address or self.store.address,
                bounds,
                **machine,
            )
            gateway.start()
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await gateway.wait_ready()

    def end(self):
        """Ends all processes that were started."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get("KEEP_LOGS"):
            subprocess.run(
                ["cp", "-r", self.folder, os.environ["KEEP_LOGS"]], check=True
            )
        self.temporary.cleanup()


def main(record_path, play):
    """Plays a case and exits with its result.

    Args:
        record_path: file that gets what was sent, answered and run.
        play: coroutine function of a lab; returns whether the rule was broken.
    """

    async def run():
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        lab = Lab(record_path)
        lab.record.write(f"trouble: {'on' if TROUBLE else 'off'}")
        try:
            await lab.store.start()
            async with asyncio.timeout(110):
                broken = await play(lab)
            lab.record.write(f"rule {'BROKEN' if broken else 'held'}")
            return EXIT_BROKEN if broken else EXIT_HELD
        except (Exception, asyncio.CancelledError) as error:
            lab.record.write(f"not run: {error!r}")
            return EXIT_NOT_RUN
        finally:
            lab.end()

    sys.exit(asyncio.run(run()))
