"""Replays requests of one service among endpoints, with hedges, by events."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from cranberryglade.gateway import configuration
from cranberryglade.gateway import messages
from cranberryglade.gateway import slots
from cranberryglade.hedging import control
from cranberryglade.hedging import options
from cranberryglade.hedging import service_hedges
from cranberryglade.tests import gateway_builders as builders

Kind = configuration.Kind

ENDPOINTS = 10
SLOTS = 6


@dataclasses.dataclass
class Call:
    """A request; `attempts` holds when each of its attempts was sent.

    `late_after` is the threshold that came with its grant.
    """

    kind: Kind
    arrived: float
    instance: int
    late_after: float | None = None
    answered_at: float | None = None
    attempts: dict[str, float] = dataclasses.field(default_factory=dict)


class Replay:
    """Instances and their allocator; in virtual time."""

    def __init__(
        self,
        seed: int,
        share: float,
        service_seconds: Callable[[random.Random, float], float],
        repeatable_share: float = 1.0,
        instances: int = 1,
        common: bool = False,
    ):
        """Creates one in which nothing has happened.

        Args:
            seed: of all that is drawn.
            share: the operators' share of hedges.
            service_seconds: draws how long an attempt takes that begins at a
                time.
            repeatable_share: fraction of the requests that may be repeated.
            instances: their number.
            common: whether the allocator learns and has the share of hedges.
        """
        self.calls: list[Call] = []
        self.hedged_at: list[float] = []
        self._draw = random.Random(seed)
        self._service_seconds = service_seconds
        self._repeatable_share = repeatable_share
        self._draw_instance = random.Random(seed)
        hedging = options.HedgingOptions(request_share=share)
        self._controls = [
            control.HedgeControl(hedging, random.Random(seed + number))
            for number in range(instances)
        ]
        hedges = service_hedges.ServiceHedges(hedging, random.Random(seed))
        self._scheduler = slots.SlotScheduler(hedges=hedges if common else None)
        self._scheduler.set_allocating(common, 0.0)
        names = [f"e-{number}" for number in range(ENDPOINTS)]
        self._scheduler.update_endpoints(
            {id_: builders.make_endpoint(id_, slots=SLOTS) for id_ in names},
            0.0,
        )
        self._numbers = itertools.count()
        self._events = []
        self._waiting: dict[str, tuple[Call, bool]] = {}

    def run(self, count: int, per_second: float) -> None:
        """Plays a number of requests to their ends."""
        at = 0.0
        for _ in range(count):
            at += self._draw.expovariate(per_second)
            self._at(at, self._arrive)
        while self._events:
            now, _, act, arguments = heapq.heappop(self._events)
            self._deliver(self._scheduler.tick(now), now)
            act(now, *arguments)

    def percentile(self, fraction: float, since: float = 0.0) -> float:
        """Returns a quantile of the times of the repeatable requests."""
        times = sorted(
            call.answered_at - call.arrived
            for call in self.calls
            if call.kind is Kind.IDEMPOTENT
            and call.answered_at is not None
            and call.arrived >= since
        )
        return times[int(fraction * len(times))]

    def _at(self, at, act, *arguments):
        number = next(self._numbers)
        heapq.heappush(self._events, (at, number, act, arguments))

    def _arrive(self, now):
        repeatable = self._draw.random() < self._repeatable_share
        kind = Kind.IDEMPOTENT if repeatable else Kind.ONCE
        instance = self._draw_instance.randrange(len(self._controls))
        call = Call(kind, now, instance)
        self.calls.append(call)
        self._controls[instance].record_request(
            builders.SERVICE, call.kind, now
        )
        self._ask(call, now, rank=0, wait_until=now + 1.0)

    def _ask(self, call, now, **fields):
        id_ = f"r-{next(self._numbers)}"
        fields |= {"kind": call.kind, "first_answer_due": call.arrived + 0.4}
        request = builders.make_slot_request(
            id_, prompt_tokens=0, output_tokens=0, **fields
        )
        self._waiting[id_] = (call, request.rank == messages.HEDGE_RANK)
        holder = f"gate-{call.instance}"
        self._deliver(self._scheduler.request_slot(holder, request, now), now)

    def _deliver(self, decisions, now):
        for each in decisions:
            call, is_hedge = self._waiting.pop(each.result.id)
            hedges = self._controls[call.instance]
            hedges.record_slot_decision(builders.SERVICE, each.result)
            match each.result:
                case messages.Granted(id=id_):
                    if not is_hedge:
                        call.late_after = each.result.late_after_seconds
                    self._send(call, id_, is_hedge, now)
                case messages.Denied() if is_hedge:
                    common = call.late_after is not None
                    hedges.give_back(builders.SERVICE, now, common)

    def _send(self, call, id_, is_hedge, now):
        call.attempts[id_] = now
        seconds = self._service_seconds(self._draw, now)
        self._at(now + seconds, self._answer, call, id_)
        if is_hedge:
            self.hedged_at.append(now)
            return
        late_after = self._controls[call.instance].late_after_seconds(
            builders.SERVICE, call.kind, now, call.late_after
        )
        if late_after is not None:
            self._at(now + late_after, self._hedge, call)

    def _hedge(self, now, call):
        if call.answered_at is not None:
            return
        hedges = self._controls[call.instance]
        common = call.late_after is not None
        if not hedges.try_take(builders.SERVICE, False, now, common):
            rank = messages.HEDGE_RANK
            self._ask(call, now, rank=rank, wait_until=now)

    def _answer(self, now, call, id_):
        if call.answered_at is not None:
            return
        call.answered_at = now
        first_sent_at = next(iter(call.attempts.values()))
        self._controls[call.instance].record_answer(
            builders.SERVICE, call.kind, now - first_sent_at, now
        )
        for each, sent_at in call.attempts.items():
            outcome = messages.Outcome.ABANDONED
            if each == id_:
                outcome = messages.Outcome.SERVED
            self._deliver(
                self._scheduler.release(each, outcome, now, now - sent_at), now
            )
