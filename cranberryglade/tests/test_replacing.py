"""Silent attempts and their replacements, under any order of events."""

import asyncio
import contextlib
import dataclasses
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import looptime
import pytest

from cranberryglade.gateway import admission
from cranberryglade.gateway import budgets
from cranberryglade.gateway import configuration
from cranberryglade.gateway import configuration_age
from cranberryglade.gateway import dialect
from cranberryglade.gateway import endpoint_pauses
from cranberryglade.gateway import forwarding
from cranberryglade.gateway import messages
from cranberryglade.gateway import outbound
from cranberryglade.gateway import replacement
from cranberryglade.gateway import responding
from cranberryglade.gateway import sending
from cranberryglade.gateway import state
from cranberryglade.gateway import telemetry
from cranberryglade.platform import headers
from cranberryglade.tests import gateway_builders as builders

Kind = configuration.Kind
Outcome = messages.Outcome

EVENTS = 5
"""Events of each stream."""

MAX_ATTEMPTS = 3
TIMEOUT_SECONDS = 6.0
ENDPOINTS = [f"e-{number}" for number in range(4)]
PAUSES = (0.01, 0.05, 0.3, 0.7, 1.5, 1.75, 1.85, 30.0)
"""Silences of endpoints, in seconds; the last is for good."""

MAX_OVERLAP_SECONDS = 0.4
"""The users' bound on two attempts of one request at the same time."""

HEAD = dialect.AnswerHead(200, b"OK", [], dialect.Framing.CHUNKED)


class Connection:
    """Records what a caller gets."""

    def __init__(self):
        self.data = b""
        self.ended = False
        self.aborted = False
        self.closing = False
        self.may_keep_alive = True

    def write(self, data):
        self.data += data

    async def wait_writable(self):
        await asyncio.sleep(0)

    def finish_answer(self, keep_alive):
        self.ended = True

    def abort(self):
        self.aborted = True

    @property
    def status(self) -> int:
        return int(self.data.split()[1]) if self.data else 0

    @property
    def events(self) -> bytes:
        """The body of a stream, without the framing."""
        _, _, body = self.data.partition(b"\r\n\r\n")
        decoded = b""
        while body:
            size, _, body = body.partition(b"\r\n")
            decoded += body[: int(size, 16)]
            body = body[int(size, 16) + 2 :]
        return decoded


@dataclasses.dataclass
class Work:
    """What an endpoint did with the request."""

    endpoint: str
    sent_at: float
    ended_at: float | None = None
    refused: bool = False
    ended_whole: bool = False

    def end(self):
        if self.ended_at is None:
            self.ended_at = asyncio.get_running_loop().time()


class ScriptedChannel:
    """Sends the rest of a stream, with a pause before each part."""

    def __init__(self, work, parts):
        self._work = work
        self._parts = parts
        self._due = None

    async def next_event(self):
        now = asyncio.get_running_loop().time()
        pause, event = self._parts[0]
        if self._due is None:
            self._due = now + pause
        await asyncio.sleep(self._due - now)
        self._due = None
        self._parts.pop(0)
        if isinstance(event, outbound.End | outbound.AnswerLost):
            self._work.end()
            self._work.ended_whole = isinstance(event, outbound.End)
        return event

    def abort(self):
        self._work.end()


class ScriptedSender:
    """Endpoints that pause, stall, refuse, and break off."""

    def __init__(self, draw: random.Random):
        self._draw = draw
        self.works: list[Work] = []
        self.distrusted: list[str] = []

    async def send(
        self, request, endpoint, added, facts, repeatable, streams, on_sent
    ):
        draw = self._draw
        await asyncio.sleep(draw.choice((0.0, 0.01, 0.2)))
        if draw.random() < 0.1:
            return sending.AttemptFailure(Outcome.UNREACHABLE, "connect")
        work = Work(endpoint.id, asyncio.get_running_loop().time())
        self.works.append(work)
        on_sent()
        try:
            await asyncio.sleep(draw.choice(PAUSES))
        except asyncio.CancelledError:
            work.end()
            raise
        kind = draw.random()
        if kind < 0.3:
            work.end()
        if kind < 0.1:
            work.refused = True
            return sending.AttemptFailure(Outcome.REFUSED, "503")
        if kind < 0.2:
            return sending.AttemptFailure(Outcome.LOST, "reset")
        if kind < 0.3:
            failed = dataclasses.replace(HEAD, status=500)
            return sending.Answer(Outcome.FAILED, failed, b"failed")
        if not streams:
            work.end()
            return sending.Answer(Outcome.SERVED, HEAD, b"whole")
        first = int(added.last_event_id or 0) + 1
        head = HEAD
        if first > 1 and draw.random() < 0.1:
            head = dataclasses.replace(HEAD, status=206)
        return sending.StreamStarted(
            head, ScriptedChannel(work, self._parts(first)), True, True
        )

    def _parts(self, first):
        draw = self._draw
        parts = []
        for number in range(first, EVENTS + 1):
            event = builders.make_events(number, number)
            cut = draw.choice((0, 0, 4))
            parts.append((draw.choice(PAUSES), outbound.Data(event[:cut])))
            parts.append((draw.choice(PAUSES), outbound.Data(event[cut:])))
            if draw.random() < 0.1:
                lost = outbound.AnswerLost("reset")
                return [*parts, (draw.choice(PAUSES), lost)]
        return [*parts, (0.0, outbound.End())]

    def put_back(self, endpoint, channel):
        pass

    def distrust(self, endpoint):
        self.distrusted.append(endpoint.id)

    async def has_ended(self, endpoint):
        await asyncio.sleep(self._draw.choice((0.0, 0.03, 0.1)))
        return self._draw.random() < 0.05


class ScriptedAllocator:
    """Grants and denies slots at random; counts those in use."""

    def __init__(self, draw: random.Random, denies_later: bool):
        self._draw = draw
        self._denies_later = denies_later
        self.held: dict[str, str] = {}
        self.requests: list[messages.SlotRequest] = []

    async def acquire(self, request):
        draw = self._draw
        self.requests.append(request)
        await asyncio.sleep(draw.choice((0.0, 0.01, 0.3, 1.0)))
        free = [e for e in ENDPOINTS if e not in request.excluded_endpoints]
        is_first = len(self.requests) == 1
        if self._denies_later and not is_first or draw.random() < 0.3:
            reason = draw.choice(("hopeless", "waited", "no_endpoint"))
            return messages.Denied(request.id, reason, draw.choice((0.1, 2.0)))
        if not free:
            return messages.Denied(request.id, "no_endpoint", 1.0)
        assert request.id not in self.held
        self.held[request.id] = draw.choice(free)
        return messages.Granted(request.id, self.held[request.id])

    def release(self, request, outcome, first_answer_seconds=None):
        del self.held[request.id]


class CountingBudget(budgets.RetryBudget):
    """Counts the retries that were taken and not given back."""

    def __init__(self):
        super().__init__(0.0, 1000.0, 10.0, -100.0)
        self.taken = 0

    def try_spend(self, service, share, now):
        spent = super().try_spend(service, share, now)
        self.taken += spent
        return spent

    def give_back(self, service, taken_at):
        super().give_back(service, taken_at)
        self.taken -= 1

    def record_sent(self, service, taken_at, now):
        super().record_sent(service, taken_at, now)
        # It is given back and counted anew.
        self.taken += 1


class CertainProcesses:
    """Knows that each endpoint answers as the process in its row."""

    async def find_unusable(self, endpoint) -> list[str]:
        return []

    async def began(self, endpoint, begun) -> bool:
        return True


class Origins:
    """Origins of streams, which are not asked for here."""

    async def store(self, attempt, origin, tentative):
        pass


class World:
    """A forwarder among scripted endpoints, and one request to it."""

    def __init__(self, seed, kind, denies_later=False, hedges=None):
        draw = random.Random(seed)
        route = builders.make_route(
            kind=kind,
            timeout_seconds=TIMEOUT_SECONDS,
            target_latency_seconds=0.2,
            max_gap_seconds=0.15,
            max_attempts=MAX_ATTEMPTS,
            allow_anonymous=True,
        )
        age = configuration_age.ConfigurationAge(None)
        shared = state.InstanceState("i", age, telemetry.Telemetry())
        shared.configuration = builders.make_configuration(
            routes=[route], organisations=[]
        )
        shared.endpoints = {
            id_: builders.make_endpoint(id_) for id_ in ENDPOINTS
        }
        self.kind = kind
        self.metrics = shared.metrics
        self.sender = ScriptedSender(draw)
        self.allocator = ScriptedAllocator(draw, denies_later)
        self.budget = CountingBudget()
        self.verifier = CertainProcesses()
        self.connection = Connection()
        self.leaves_after = draw.choice((None, None, draw.uniform(0.0, 6.0)))
        self._forwarder = forwarding.Forwarder(
            shared,
            headers.HeaderDialect(),
            admission.Admission(age, shared.process_pauses, draw),
            self.allocator,
            self.budget,
            self.sender,
            Origins(),
            endpoint_pauses.EndpointPauses(draw),
            self.verifier,
            hedges,
        )

    async def run(self):
        """Serves the request; the caller may leave in between."""
        host = messages.Header(b"Host", builders.HOST.encode())
        id_ = messages.Header(b"X-Attempt-Id", b"a-1")
        request = messages.Request(
            b"POST",
            b"/brief/1",
            [host, id_],
            b"",
            False,
            True,
            asyncio.get_running_loop().time(),
        )
        responder = responding.Responder(self.connection, True)
        handling = asyncio.create_task(
            self._forwarder.handle(request, responder)
        )
        with contextlib.suppress(asyncio.CancelledError):
            _, left = await asyncio.wait([handling], timeout=self.leaves_after)
            for task in left:
                task.cancel()
            await handling
        # What was stopped ends within the next turns of the loop.
        for _ in range(3):
            await asyncio.sleep(0)


def play(world: World) -> World:
    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(world.run())
        left = asyncio.all_tasks(loop)
        assert not left
    finally:
        loop.close()
    return world


def test_slot_is_released_when_its_endpoint_cannot_be_verified():
    # The verification fails unexpectedly before a begun stream goes on.
    verified = []

    async def fail(endpoint):
        verified.append(endpoint)
        raise ValueError("unexpected")

    for seed in range(100):
        world = World(seed, Kind.RESUMABLE)
        world.verifier.find_unusable = fail
        play(world)
        assert world.allocator.held == {}
    assert verified


SEEDS = strategies.integers(0, 2**32)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(SEEDS, strategies.sampled_from((Kind.RESUMABLE, Kind.IDEMPOTENT)))
def test_slots_retries_and_events_are_right_in_any_order_of_events(seed, kind):
    world = play(World(seed, kind))
    works = world.sender.works
    assert world.allocator.held == {}
    assert len(works) <= MAX_ATTEMPTS
    assert all(work.ended_at is not None for work in works)
    assert len({work.endpoint for work in works}) == len(works)
    costs = [request.cost for request in world.allocator.requests]
    assert not any(costs[1:])
    for earlier, later in zip(works, works[1:], strict=False):
        overlap = min(earlier.ended_at, later.ended_at) - later.sent_at
        assert overlap <= MAX_OVERLAP_SECONDS
    # Attempts that were never sent are neither works nor retries.
    assert world.budget.taken == max(0, len(works) - 1)
    connection = world.connection
    if kind is Kind.RESUMABLE and connection.status == 200:
        whole = builders.make_events(1, EVENTS)
        assert whole.startswith(connection.events)
        # It may also break off between the last event and the end.
        assert not connection.ended or connection.events == whole
        if any(work.ended_whole for work in works) and not world.leaves_after:
            assert connection.ended
    if connection.status in (429, 503):
        assert all(work.refused for work in works)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(SEEDS, strategies.sampled_from((Kind.ONCE, Kind.STREAM)))
def test_what_may_run_once_is_sent_once_however_long_the_silence(seed, kind):
    world = play(World(seed, kind))
    works = world.sender.works
    # Only what was refused is sent again.
    assert all(work.refused for work in works[:-1])
    assert world.sender.distrusted == []
    assert world.allocator.held == {}


@settings(derandomize=True, max_examples=300, deadline=None)
@given(SEEDS, strategies.sampled_from((Kind.RESUMABLE, Kind.IDEMPOTENT)))
def test_silent_endpoint_is_left_alone_when_no_other_has_a_slot(seed, kind):
    world = World(seed, kind, denies_later=True)
    world.leaves_after = None
    play(world)
    works = world.sender.works
    assert len(works) <= 1
    assert world.allocator.held == {}
    assert world.sender.distrusted == []
    assert world.budget.taken == 0


@pytest.mark.parametrize("seed", range(3))
def test_the_same_seed_gives_the_same_answer(seed):
    first, second = (play(World(seed, Kind.RESUMABLE)) for _ in range(2))
    assert first.connection.data == second.connection.data


def test_the_overlap_leaves_time_for_the_endpoint_to_notice():
    assert replacement.OVERLAP_SECONDS <= MAX_OVERLAP_SECONDS / 2
