"""A gateway with two endpoints and its callers, driven step by step."""

import asyncio
import dataclasses
import os
import re

from returns.result import Success

from cranberryglade.checking import held_endpoints
from cranberryglade.checking import observed
from cranberryglade.checking import request_life
from cranberryglade.checking import steps
from cranberryglade.checking import virtual_time
from cranberryglade.gateway import process
from cranberryglade.gateway import settings
from cranberryglade.gateway import sockets
from cranberryglade.platform import documents
from cranberryglade.platform import headers
from cranberryglade.platform import store
from cranberryglade.standins import callers
from cranberryglade.standins import free_ports
from cranberryglade.standins import operator_configuration
from cranberryglade.standins import store as store_standin

ROUTE_SECONDS = 4.0
GRACE_SECONDS = 6.0
DRAIN_SECONDS = 5.2
"""Time from SIGTERM to the end of the drain, for that grace time."""

TIMER_MARGIN_SECONDS = 0.1
"""A limit may be acted on that much before it is over."""

READY_SECONDS = 10.0
CONCLUDE_SECONDS = 12.0
PAUSE_SECONDS = 0.1
"""Time that passes between two looks at the requests."""

CLOSE_SECONDS = 3.0
"""Time for connections to close after the last answer."""

DESCRIPTORS = "/proc/self/fd"

Event = request_life.Event
Verb = steps.Verb

_TARGETS = {
    "pay": "/pay/1",
    "look": "/look/1",
    "write": "/write/1",
    "note": "/note/1",
}
_GAUGES = ("slots_used", "requests_waiting")
_BODY = b"some text"


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """What a walk showed.

    Attributes:
        violations: what must not happen, and did.
        visited: the cells that requests came through.
        excused: the cells that excused an end.
        effective: the steps of the walk that did anything.
    """

    violations: tuple[observed.Violation, ...]
    visited: frozenset[request_life.Position]
    excused: frozenset[request_life.Position]
    effective: steps.Trace


class World:
    """One walk: a gateway, two endpoints, and four requests."""

    def __init__(self, loop: virtual_time.VirtualTimeLoop):
        self._loop = loop
        self._store = store_standin.StoreStandin(loop.time)
        self._endpoints = {
            name: held_endpoints.HeldEndpoint(name) for name in steps.ENDPOINTS
        }
        self._requests = {
            name: observed.Observed(name, _parts(name))
            for name in steps.REQUESTS
        }
        self._requests["look"].earlier = self._requests["write"]
        self._callers: dict[str, callers.Caller] = {}
        self._readers: dict[str, asyncio.Task] = {}
        self._expected: dict[str, asyncio.Queue] = {}
        self._errors: list[str] = []
        self._version = 1
        self._stopping_at: float | None = None
        self._drain: asyncio.Task | None = None
        self._effective: list[steps.Step] = []

    async def start(self) -> None:
        """Starts the gateway and its surroundings."""
        self._loop.set_exception_handler(self._record_error)
        address = await self._store.serve(free_ports.free_port())
        for name, each in self._endpoints.items():
            await each.standin.start()
            entry = each.standin.entry(operator_configuration.SERVICE, slots=1)
            self._store.list_endpoint(name, entry)
        self._store.configure(_configuration(1))
        self._settings = _settings(address)
        self._metrics_port = free_ports.free_port()
        self._gateway = process.Gateway(
            self._settings,
            store.StoreClient(address),
            documents.Decoder(),
            headers.HeaderDialect(),
            self._metrics_port,
            lambda: Success(self._settings),
        )
        await self._gateway.start()
        latest = self._loop.time() + READY_SECONDS
        while not self._gateway.is_ready(len(self._endpoints), 0):
            assert self._loop.time() < latest, "the gateway is not ready"
            await asyncio.sleep(PAUSE_SECONDS)

    async def walk(self, trace: steps.Trace) -> None:
        """Makes the steps of a trace."""
        for step in trace:
            if await self._make(step):
                self._effective.append(step)
            if step.turns is None:
                await self._settle()
            else:
                await self._loop.turn(step.turns)

    async def conclude(self) -> Result:
        """Lets all requests end, closes everything, and judges."""
        await self._settle()
        self._store.clear_faults()
        for each in self._endpoints.values():
            each.release()
        latest = self._loop.time() + CONCLUDE_SECONDS
        while self._unfinished() and self._loop.time() < latest:
            await self._pass_time(PAUSE_SECONDS)
        violations = list(self._judge_requests())
        violations += await self._judge_rest()
        reached = self._requests.values()
        return Result(
            tuple(violations),
            frozenset().union(*(each.visited for each in reached)),
            frozenset().union(*(each.excused_by for each in reached)),
            tuple(self._effective),
        )

    async def close(self) -> None:
        """Closes everything, whatever its state."""
        for each in self._callers.values():
            each.close()
        for reader in self._readers.values():
            reader.cancel()
        await asyncio.gather(*self._readers.values(), return_exceptions=True)
        if self._drain is not None:
            self._drain.cancel()
            await asyncio.gather(self._drain, return_exceptions=True)
        self._gateway.close()
        for each in self._endpoints.values():
            await each.standin.stop()
        await self._store.close()
        await asyncio.sleep(CLOSE_SECONDS)
        await self._loop.quiet()

    def _record_error(self, loop, context) -> None:
        self._errors.append(str(context.get("exception", context["message"])))

    async def _make(self, step: steps.Step) -> bool:
        """Makes a step; returns whether it had an effect."""
        # The step before may not have waited until nothing was left to do.
        self._note_attempts()
        match step.verb:
            case Verb.BEGIN:
                return await self._send(step.subject, whole=False)
            case Verb.SEND:
                return await self._send(step.subject, whole=True)
            case Verb.LEAVE:
                return self._leave(step.subject)
            case Verb.WAIT:
                return await self._wait(steps.WAITS[step.subject])
            case Verb.CONFIGURE:
                return self._configure()
            case Verb.SIGTERM:
                return self._stop()
            case Verb.LOSE_STORE | Verb.RESTORE_STORE:
                return self._change_store(step.verb is Verb.LOSE_STORE)
            case _:
                return self._command(step)

    async def _send(self, name: str, whole: bool) -> bool:
        request = self._requests[name]
        connection = _connection(name)
        earlier = request.earlier
        if not request.parts or request.left:
            return False
        if earlier is not None and earlier.parts:
            return False
        is_first_part = len(request.parts) == len(_parts(name))
        if is_first_part:
            self._drop_if_closed(connection)
        if connection not in self._callers and not await self._open(connection):
            return False
        if is_first_part:
            request.crossed = self._callers[connection].is_closed_unseen
            self._expected[connection].put_nowait(request)
        count = len(request.parts) if whole else 1
        sent, request.parts = request.parts[:count], request.parts[count:]
        self._callers[connection].send(b"".join(sent))
        if not request.parts:
            request.sent_at = self._loop.time()
        return True

    def _drop_if_closed(self, connection: str) -> None:
        """Forgets a connection whose close its caller has read.

        A caller sends its next request on a new one.
        """
        caller = self._callers.get(connection)
        if caller is None or not caller.saw_close:
            return
        if any(
            each.in_progress and len(each.parts) < len(_parts(each.name))
            for each in self._on_connection(connection)
        ):
            return
        self._readers.pop(connection).cancel()
        self._callers.pop(connection).close()

    def _change_store(self, refuses: bool) -> bool:
        if self._store.faults.refuse == refuses:
            return False
        self._store.faults.refuse = refuses
        return True

    async def _open(self, connection: str) -> bool:
        address = sockets.split_address(self._settings.front_address)
        try:
            opened = await asyncio.open_connection(*address)
        except ConnectionError:
            return False
        self._callers[connection] = callers.Caller(*opened)
        self._expected[connection] = asyncio.Queue()
        self._readers[connection] = asyncio.create_task(
            self._read_answers(connection)
        )
        return True

    async def _read_answers(self, connection: str) -> None:
        caller = self._callers[connection]
        while True:
            request = await self._expected[connection].get()
            request.answer = await caller.answer()

    def _leave(self, name: str) -> bool:
        connection = _connection(name)
        if connection not in self._callers or self._requests[name].left:
            return False
        for request in self._on_connection(connection):
            self._visit(request, Event.CALLER_LEFT)
            request.left = True
        self._callers[connection].close()
        return True

    def _on_connection(self, connection: str) -> list[observed.Observed]:
        return [
            each
            for each in self._requests.values()
            if _connection(each.name) == connection
        ]

    def _configure(self) -> bool:
        self._visit_all(Event.CONFIGURED)
        self._version += 1
        self._store.configure(_configuration(self._version))
        return True

    def _stop(self) -> bool:
        if self._drain is not None:
            return False
        self._visit_all(Event.STOPPING)
        self._stopping_at = self._loop.time()
        self._gateway.stop()
        self._drain = asyncio.create_task(self._gateway.drain())
        return True

    def _command(self, step: steps.Step) -> bool:
        endpoint = self._endpoints[step.subject]
        attempt = endpoint.oldest
        if attempt is None:
            return False
        request = self._requests[attempt.request_id]
        match step.verb:
            case Verb.RESET:
                self._visit(request, Event.ENDPOINT_LOST)
            case Verb.REFUSE if not attempt.started:
                self._note_refusal(request)
        attempt.command(step.verb)
        return True

    def _note_refusal(self, request: observed.Observed) -> None:
        begun = any(each.started for each in request.attempts)
        state = request_life.State.WAITING
        if begun and request.is_stream:
            state = request_life.State.BETWEEN
        position = request_life.Position(state, Event.SLOT_REFUSED)
        request.visited.add(position)

    async def _wait(self, seconds: float) -> bool:
        had_requests = bool(self._unfinished())
        for _ in range(round(seconds / PAUSE_SECONDS)):
            await self._pass_time(PAUSE_SECONDS)
        return had_requests

    async def _pass_time(self, seconds: float) -> None:
        """Lets time pass, and notes what it brings about."""
        self._note_limits(seconds)
        await asyncio.sleep(seconds)
        await self._settle()

    def _note_limits(self, seconds: float) -> None:
        until = self._loop.time() + seconds + TIMER_MARGIN_SECONDS
        for request in self._requests.values():
            if not self._is_open(request):
                continue
            if self._limit_of(request) <= until:
                self._visit(request, Event.TIME_LIMIT)
            if self._is_silent(request, until):
                self._visit(request, Event.ENDPOINT_SILENT)
            if (
                self._stopping_at is not None
                and until >= self._stopping_at + DRAIN_SECONDS
            ):
                self._visit(request, Event.DRAIN_ENDED)

    def _limit_of(self, request: observed.Observed) -> float:
        if request.sent_at is None:
            return self._loop.time()
        return request.sent_at + ROUTE_SECONDS

    def _is_silent(self, request: observed.Observed, until: float) -> bool:
        return any(
            until - each.active_at >= observed.SILENT_SECONDS
            for each in request.live
        )

    def _is_open(self, request: observed.Observed) -> bool:
        begun = len(request.parts) < len(_parts(request.name))
        return begun and request.in_progress

    def _visit_all(self, event: Event) -> None:
        for request in self._requests.values():
            self._visit(request, event)

    def _visit(self, request: observed.Observed, event: Event) -> None:
        if len(request.parts) < len(_parts(request.name)) and not request.left:
            request.visit(event, self._loop.time())

    async def _settle(self) -> None:
        await self._loop.quiet()
        self._note_attempts()
        for request in self._requests.values():
            caller = self._callers.get(_connection(request.name))
            if request.sent_at is None or caller is None:
                continue
            request.read_whole |= not caller.close_announced

    def _note_attempts(self) -> None:
        """Notes which requests endpoints have received."""
        for endpoint in self._endpoints.values():
            for attempt in endpoint.attempts:
                known = self._requests[attempt.request_id].attempts
                if attempt not in known:
                    known.append(attempt)

    def _unfinished(self) -> list[observed.Observed]:
        return [each for each in self._requests.values() if self._is_open(each)]

    def _judge_requests(self):
        for name, request in self._requests.items():
            if len(request.parts) == len(_parts(name)):
                continue
            runs = sum(
                each.standin.ran.count(name)
                for each in self._endpoints.values()
            )
            yield from request.judge(runs)

    async def _judge_rest(self) -> list[observed.Violation]:
        """Returns what is left behind: slots, connections, errors."""
        for each in self._callers.values():
            each.close()
        found = list(self._errors)
        found += self._failed_readers()
        if self._drain is None:
            await self._wait(CLOSE_SECONDS)
            found += await self._used_gauges()
        for endpoint in self._endpoints.values():
            if endpoint.oldest is not None:
                found.append("an endpoint still has a request")
        return [observed.Violation("", each) for each in found]

    def _failed_readers(self) -> list[str]:
        return [
            f"stray bytes: {reader.exception()!r}"
            for reader in self._readers.values()
            if reader.done() and not reader.cancelled() and reader.exception()
        ]

    async def _used_gauges(self) -> list[str]:
        host = self._settings.host
        opened = await asyncio.open_connection(host, self._metrics_port)
        caller = callers.Caller(*opened)
        caller.request(target="/metrics")
        answer = await caller.answer()
        caller.close()
        text = answer.body.decode()
        values = {
            name: re.search(rf"^cranberryglade_{name} (\S+)$", text, re.M)
            for name in _GAUGES
        }
        return [
            f"{name} is {found and found[1]} at the end"
            for name, found in values.items()
            if found is None or float(found[1]) != 0
        ]


def play(trace: steps.Trace) -> Result:
    """Plays a trace in a world of its own."""
    loop = virtual_time.VirtualTimeLoop()
    before = _open_descriptors()
    try:
        result = loop.run_until_complete(_play(loop, trace))
        left = loop.pending_timers + loop.run_until_complete(_left_tasks())
    finally:
        loop.close()
    opened = _open_descriptors() - before
    if opened > -_LOOP_DESCRIPTORS:
        left.append(f"{opened + _LOOP_DESCRIPTORS} open descriptors")
    violations = [
        observed.Violation("", f"left behind: {each}") for each in left
    ]
    return dataclasses.replace(
        result, violations=(*result.violations, *violations)
    )


_LOOP_DESCRIPTORS = 3
"""Descriptors of a loop: its selector and its pair of sockets."""


async def _play(loop: virtual_time.VirtualTimeLoop, trace: steps.Trace):
    world = World(loop)
    await world.start()
    try:
        await world.walk(trace)
        return await world.conclude()
    finally:
        await world.close()


async def _left_tasks() -> list[str]:
    current = asyncio.current_task()
    return [str(each) for each in asyncio.all_tasks() if each is not current]


def _open_descriptors() -> int:
    return len(os.listdir(DESCRIPTORS))


def _connection(name: str) -> str:
    return "write" if name == "look" else name


def _parts(name: str) -> list[bytes]:
    """Returns a request in three parts: half of the head, head, and body."""
    request = callers.encode_request(
        _TARGETS[name],
        "POST",
        _BODY,
        X_Attempt_Id=name,
        X_Deadline_Ms="8000",
    )
    head = request.removesuffix(_BODY)
    return [head[:30], head[30:] + _BODY[:4], _BODY[4:]]


def _configuration(version: int) -> dict:
    return operator_configuration.a_config_with_long_routes(
        version, ROUTE_SECONDS
    )


def _settings(store_address: str) -> settings.Settings:
    return settings.Settings(
        instance="gate-0",
        failure_domain="north",
        host="127.0.0.1",
        front_address=f"127.0.0.1:{free_ports.free_port()}",
        ready_address=f"127.0.0.1:{free_ports.free_port()}",
        peer_port=free_ports.free_port(),
        store_address=store_address,
        revoke_seconds=5.0,
        grace_seconds=GRACE_SECONDS,
        retry_ratio=0.2,
        retry_slack=100.0,
        retry_window_seconds=10.0,
        quota_window_seconds=8.0,
        quota_ratio=0.1,
        quota_slack=0.0,
    )
