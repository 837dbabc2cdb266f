"""Replays bursts on full engines, with callers that come back once."""

import collections
import dataclasses
import heapq
import itertools
import random

from cranberryglade.gateway import configuration
from cranberryglade.gateway import messages
from cranberryglade.tests import gateway_builders as builders

TOKENS_PER_EVENT = 4
SECONDS_PER_TOKEN = 0.00463
PROMPT_TOKENS_PER_SECOND = 37_900.0
SPEED_FACTORS = (0.68, 0.68, 3.0)
SLOWDOWN = 0.3
"""Relative slowdown by each other request that the engine runs."""

RESUMABLE = configuration.Kind.RESUMABLE
STREAM = configuration.Kind.STREAM


@dataclasses.dataclass(slots=True, frozen=True)
class CallKind:
    """A kind of request, as docs/design/parts.md lists them."""

    name: str
    kind: configuration.Kind
    prompt_tokens: int
    events: int
    per_second: float
    target_seconds: float
    timeout_seconds: float
    rank: int


KINDS = (
    CallKind("dispute-recon", STREAM, 3780, 30, 61.3, 1.025, 12.304, 0),
    CallKind("ledger-summary", RESUMABLE, 2950, 13, 43.1, 0.818, 6.134, 1),
    CallKind("rider-help", STREAM, 1170, 43, 67.6, 0.610, 15.262, 2),
)
MIXED_KINDS = (
    CallKind("urgent", STREAM, 3780, 30, 2.0, 0.6, 12.0, 0),
    CallKind("note", RESUMABLE, 1170, 86, 3.5, 1.526, 15.262, 2),
)
"""Urgent requests beside long streams that may be resumed."""

YIELD_SECONDS = 0.004
"""From the decision until the slot is released."""

URGENT = "dispute-recon"
LEAST_URGENT = "rider-help"


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request.

    Attributes:
        refused: number of its refusals.
        events: events that are left.
        stopped_at: when its stream was stopped to yield; None if it was not.
        part: number of its slot requests.
    """

    kind: CallKind
    number: int
    arrived: float
    deadline: float
    refused: int = 0
    events: int = 0
    stopped_at: float | None = None
    part: int = 0


@dataclasses.dataclass(slots=True)
class Outcomes:
    """What became of the requests of one kind."""

    arrived: int = 0
    on_time: int = 0
    late: int = 0
    came_back: int = 0
    refused_again: int = 0
    yielded: int = 0
    torn: int = 0
    longest_pause: float = 0.0

    @property
    def served(self) -> int:
        return self.on_time + self.late


class Replay:
    """One run; times are seconds from its beginning."""

    def __init__(self, scheduler, seed: int, engines=45, kinds=KINDS):
        self._rng = random.Random(seed)
        self._scheduler = scheduler
        self._numbers = itertools.count()
        self._events: list = []
        self._calls: dict[str, Call] = {}
        self._kinds = kinds
        self._began: dict[str, tuple[str, float, float]] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self.outcomes = {each.name: Outcomes() for each in kinds}
        self.most_running = 0
        names = [f"e-{n}" for n in range(engines)]
        listed = {n: builders.make_endpoint(n, slots=4) for n in names}
        scheduler.update_endpoints(listed, 0.0)

    def run(self, phases: list[tuple[float, float]]) -> None:
        """Plays phases, each of some seconds and a factor of the usual load."""
        begins = 0.0
        for seconds, factor in phases:
            for kind in self._kinds:
                at = begins
                while True:
                    at += self._rng.expovariate(factor * kind.per_second)
                    if at >= begins + seconds:
                        break
                    number = next(self._numbers)
                    deadline = at + kind.timeout_seconds
                    call = Call(kind, number, at, deadline, 0, kind.events)
                    self._push(at, self._arrive, call)
            begins += seconds
        for tick in range(round((begins + 15.0) / 0.05)):
            self._push(tick * 0.05, self._tick, None)
        while self._events:
            now, _, handle, argument = heapq.heappop(self._events)
            handle(argument, now)

    def _push(self, at, handle, argument) -> None:
        entry = (at, next(self._numbers), handle, argument)
        heapq.heappush(self._events, entry)

    def _arrive(self, call: Call, now: float) -> None:
        kind = call.kind
        if not call.refused:
            self.outcomes[kind.name].arrived += 1
        call.arrived = now
        target = kind.target_seconds
        wait = min(0.7 * (call.deadline - now), 2.5 * target)
        self._ask(call, now + wait, now + target, now)

    def _ask(self, call: Call, until: float, due: float, now, excluded=()):
        kind = call.kind
        call.part += 1
        request = builders.make_slot_request(
            f"{call.number}.{call.part}",
            rank=kind.rank if call.stopped_at is None else 0,
            kind=kind.kind,
            prompt_tokens=kind.prompt_tokens,
            output_tokens=kind.events * TOKENS_PER_EVENT,
            wait_until=until,
            first_answer_due=due,
            excluded_endpoints=excluded,
            parts=(f"digest-{call.number}",),
            yields=kind.kind is RESUMABLE and call.stopped_at is None,
        )
        self._calls[request.id] = call
        self._apply(self._scheduler.request_slot("a", request, now), now)

    def _tick(self, _, now: float) -> None:
        self._apply(self._scheduler.tick(now), now)

    def _apply(self, decisions, now: float) -> None:
        for each in decisions:
            match each.result:
                case messages.Granted(id=id_, endpoint=endpoint):
                    self._begin(id_, endpoint, now)
                case messages.Denied(id=id_, retry_after_seconds=after):
                    self._refuse(self._calls.pop(id_), after, now)
                case messages.Preempted(id=id_):
                    self._push(now + YIELD_SECONDS, self._yield, id_)

    def _begin(self, id_: str, endpoint: str, now: float) -> None:
        self._running[endpoint] += 1
        self.most_running = max(self.most_running, self._running.total())
        call = self._calls[id_]
        factor = SPEED_FACTORS[int(endpoint[2:]) % len(SPEED_FACTORS)]
        factor *= 1 + SLOWDOWN * (self._running[endpoint] - 1)
        first = factor * call.kind.prompt_tokens / PROMPT_TOKENS_PER_SECOND
        event = factor * TOKENS_PER_EVENT * SECONDS_PER_TOKEN
        outcomes = self.outcomes[call.kind.name]
        if call.stopped_at is not None:
            pause = now + first - call.stopped_at
            outcomes.longest_pause = max(outcomes.longest_pause, pause)
        elif now + first <= call.arrived + call.kind.target_seconds:
            outcomes.on_time += 1
        else:
            outcomes.late += 1
        self._began[id_] = (endpoint, now + first, event)
        end = now + first + call.events * event
        self._push(end, self._end, id_)

    def _yield(self, id_: str, now: float) -> None:
        if id_ not in self._began:
            self._apply(self._scheduler.keep("a", id_, now), now)
            return
        endpoint, first_at, event = self._began.pop(id_)
        call = self._calls.pop(id_)
        call.events -= max(0, int((now - first_at) / event))
        call.stopped_at = now
        self.outcomes[call.kind.name].yielded += 1
        self._running[endpoint] -= 1
        outcome = messages.Outcome.ABANDONED
        self._apply(self._scheduler.release(id_, outcome, now), now)
        self._ask(call, call.deadline - 0.05, now + 2.0, now, (endpoint,))

    def _end(self, id_: str, now: float) -> None:
        if id_ not in self._began:
            return
        endpoint, _, _ = self._began.pop(id_)
        self._running[endpoint] -= 1
        outcome = messages.Outcome.SERVED
        self._apply(self._scheduler.release(id_, outcome, now), now)

    def _refuse(self, call: Call, after: float, now: float) -> None:
        if call.stopped_at is not None:
            self.outcomes[call.kind.name].torn += 1
            return
        if call.refused:
            self.outcomes[call.kind.name].refused_again += 1
            return
        call.refused += 1
        self.outcomes[call.kind.name].came_back += 1
        pause = min(after, (call.deadline - now) / 3)
        self._push(now + pause, self._arrive, call)
