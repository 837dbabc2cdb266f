"""Replays uneven demand and uneven endpoints against the slot scheduler.

Time is simulated: an endpoint runs a request in the time that its size and the
endpoint's speed give, longer if others run there or while the endpoint is
slowed. So a change of the cost of an endpoint shows in the requests' times.
"""

import bisect
import collections
import dataclasses
import heapq
import itertools
import math
import random
import statistics

from cranberryglade.gateway import configuration
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.gateway import sending
from cranberryglade.gateway import slots
from cranberryglade.placement import options

SERVICE = "models"
INSTANCES_PER_DOMAIN = 10
TICK_SECONDS = 0.05
SECONDS_PER_PROMPT_TOKEN = 1 / 37_900
SECONDS_PER_OUTPUT_TOKEN = 0.00463
BATCH_SLOWDOWN = 0.05
"""Relative slowdown for each request that the endpoint runs already."""

REMOTE_ROUND_TRIP_SECONDS = 0.001
SLOWED_SECONDS = 0.6
SIZES = ((0, 3780, 120, 1.025), (1, 2950, 52, 0.818), (2, 1170, 172, 0.61))
"""Rank, prompt tokens, output tokens and target time in seconds."""

WAIT_SECONDS = 6.0
URGENT_RANK = 0
REPEATABLE_RANK = 1
"""Rank of the requests that may be repeated."""


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """A load, and the endpoints that run it.

    Attributes:
        placement: terms of the cost of an endpoint.
        speeds: factors on the time of a request, by endpoint in turn; the
            domains have the endpoints in blocks of the same size.
        domains: number of failure domains with instances.
        endpoint_domains: number of domains with endpoints, the first ones.
        swing: part by which the demand of a domain rises and falls.
        period_seconds: time of one rise and fall.
        load: requests that arrive, as a share of what endpoints of speed 1 run.
        endpoints: number of endpoints.
        slots: slots of each endpoint.
        lost: domain whose endpoints are lost at half time; None for none.
        slowed_share: part of the time in which an endpoint is slowed.
        slowed_factor: factor on its times then.
        prompts: number of different long prompt parts; 0 for none.
        plain_seconds: if not 0, all requests are plain calls that take this
            time.
        seconds: simulated time.
        seed: seed of arrivals.
    """

    placement: options.PlacementOptions = dataclasses.field(
        default_factory=options.PlacementOptions
    )
    speeds: tuple[float, ...] = (1.0,)
    domains: int = 3
    endpoint_domains: int = 3
    swing: float = 0.5
    period_seconds: float = 12.0
    load: float = 0.5
    endpoints: int = 45
    slots: int = 4
    lost: int | None = None
    slowed_share: float = 0.0
    slowed_factor: float = 2.5
    prompts: int = 0
    plain_seconds: float = 0.0
    seconds: float = 24.0
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Served:
    """One granted request.

    Attributes:
        rank: its rank.
        own: whether its endpoint is in the domain of its instance.
        endpoint: number of its endpoint.
        slowed: whether the endpoint was slowed when it was granted.
        granted_at: when it was granted, simulated seconds.
        seconds: time from its arrival to its end.
        late: whether its first answer came after its target time.
        reread: whether its endpoint had not read its prompt part lately.
        connected: whether its instance had a connection that it could use.
    """

    rank: int
    own: bool
    endpoint: int
    slowed: bool
    granted_at: float
    seconds: float
    late: bool
    reread: bool
    connected: bool


@dataclasses.dataclass(slots=True)
class Result:
    """What came of a replay.

    Attributes:
        served: the granted requests.
        denied: number of requests that were denied a slot.
    """

    served: list[Served] = dataclasses.field(default_factory=list)
    denied: int = 0

    @property
    def own_share(self) -> float:
        """Share of the grants in the instance's own domain."""
        return statistics.mean(each.own for each in self.served)

    @property
    def mean_seconds(self) -> float:
        """Mean time from the arrival to the end of the answer."""
        return statistics.mean(each.seconds for each in self.served)

    def of_rank(self, rank: int) -> list[Served]:
        """Returns the granted requests of a rank."""
        return [each for each in self.served if each.rank == rank]

    @property
    def new_connection_share(self) -> float:
        """Share of the requests that needed a new connection."""
        return statistics.mean(not each.connected for each in self.served)

    @property
    def reread_share(self) -> float:
        """Share of the requests whose endpoint had not read their part."""
        return statistics.mean(each.reread for each in self.served)

    @property
    def urgent_late_share(self) -> float:
        """Share of the most urgent requests whose first answer was late."""
        return statistics.mean(e.late for e in self.of_rank(URGENT_RANK))

    @property
    def urgent_slowed_share(self) -> float:
        """Share of the most urgent requests sent to a slowed endpoint."""
        return statistics.mean(e.slowed for e in self.of_rank(URGENT_RANK))


class Endpoint:
    """An endpoint whose speed changes with time."""

    def __init__(self, plan: Plan, number: int, rng: random.Random):
        self._factor = plan.slowed_factor
        self._bounds: list[float] = []
        self._speed = plan.speeds[number % len(plan.speeds)]
        self.number = number
        self.running = 0
        if plan.slowed_share:
            gap = SLOWED_SECONDS * (1 / plan.slowed_share - 1)
            at = 0.0
            while at < 2 * plan.seconds:
                at += rng.expovariate(1 / gap)
                self._bounds += [at, at + SLOWED_SECONDS]
                at += SLOWED_SECONDS

    def is_slowed(self, now: float) -> bool:
        """Returns whether it is slowed at a time."""
        return bisect.bisect_right(self._bounds, now) % 2 == 1

    def end_of(self, start: float, seconds: float) -> float:
        """Returns when work ends that takes a time at the usual speed."""
        left = seconds * self._speed * (1 + BATCH_SLOWDOWN * self.running)
        at = start
        index = bisect.bisect_right(self._bounds, at)
        while True:
            factor = self._factor if index % 2 else 1.0
            bound = math.inf
            if index < len(self._bounds):
                bound = self._bounds[index]
            if at + left * factor <= bound:
                return at + left * factor
            left -= (bound - at) / factor
            at = bound
            index += 1


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that was sent to the scheduler."""

    request: messages.SlotRequest
    domain: int
    holder: str
    at: float


def play(plan: Plan) -> Result:
    """Plays a plan and returns what came of it."""
    return _Replay(plan).run()


class _Replay:
    """A scheduler, its endpoints, and the events to come."""

    def __init__(self, plan: Plan):
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._endpoints = [
            Endpoint(plan, n, self._random) for n in range(plan.endpoints)
        ]
        self._slots = slots.SlotScheduler(None, None, plan.placement)
        self._slots.placing.distance.set_domains(
            lambda holder: holder.partition(".")[0]
        )
        self._events: list[tuple[float, int, str, object]] = []
        self._numbers = itertools.count()
        self._arrivals: dict[str, Arrival] = {}
        self._idle: dict[tuple[str, int], list[float]] = (
            collections.defaultdict(list)
        )
        self._reads: dict[tuple[int, str], float] = {}
        self._result = Result()

    def run(self) -> Result:
        """Returns what came of the plan."""
        self._list_endpoints(None, 0.0)
        self._push(0.0, "arrival", None)
        self._push(0.0, "tick", None)
        if self._plan.lost is not None:
            self._push(self._plan.seconds / 2, "loss", self._plan.lost)
        while self._events[0][0] < self._plan.seconds:
            now, _, kind, subject = heapq.heappop(self._events)
            match kind:
                case "arrival":
                    rate = self._rate * (1 + self._plan.swing)
                    self._push(now + self._random.expovariate(rate), kind, None)
                    self._arrive(now)
                case "tick":
                    self._push(now + TICK_SECONDS, kind, None)
                    self._follow(self._slots.tick(now), now)
                case "end":
                    self._end(subject, now)
                case "loss":
                    self._list_endpoints(subject, now)
        return self._result

    @property
    def _rate(self) -> float:
        plan = self._plan
        seconds = plan.plain_seconds or statistics.mean(
            tokens * SECONDS_PER_PROMPT_TOKEN + out * SECONDS_PER_OUTPUT_TOKEN
            for _, tokens, out, _ in SIZES
        )
        return plan.load * plan.endpoints * plan.slots / seconds

    def _push(self, at: float, kind: str, subject: object) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, subject))

    def _domain_of(self, number: int) -> int:
        return number * self._plan.endpoint_domains // self._plan.endpoints

    def _list_endpoints(self, lost: int | None, now: float) -> None:
        listed = {}
        for number in range(self._plan.endpoints):
            domain = self._domain_of(number)
            if domain != lost:
                listed[f"e-{number}"] = messages.Endpoint(
                    f"e-{number}",
                    SERVICE,
                    f"10.0.0.{number}:80",
                    f"d{domain}",
                    self._plan.slots,
                    False,
                    1,
                    "v1",
                )
        self._follow(self._slots.update_endpoints(listed, now), now)

    def _arrive(self, now: float) -> None:
        domain = self._random.randrange(self._plan.domains)
        phase = now / self._plan.period_seconds - domain / self._plan.domains
        level = 1 + self._plan.swing * math.sin(math.tau * phase)
        if self._random.random() * (1 + self._plan.swing) > level:
            return
        rank, tokens, output, target = self._random.choice(SIZES)
        if self._plan.plain_seconds:
            tokens = output = 0
        parts = ()
        if self._plan.prompts:
            parts = (f"part-{self._random.randrange(self._plan.prompts)}",)
        request = messages.SlotRequest(
            f"r-{next(self._numbers)}",
            SERVICE,
            rank,
            configuration.Kind.RESUMABLE,
            tokens,
            output,
            now + WAIT_SECONDS,
            now + target,
            parts=parts,
        )
        instance = self._random.randrange(INSTANCES_PER_DOMAIN)
        holder = f"d{domain}.{instance}"
        self._arrivals[request.id] = Arrival(request, domain, holder, now)
        self._follow(self._slots.request_slot(holder, request, now), now)

    def _follow(
        self, decisions: list[endpoint_states.SlotDecision], now: float
    ) -> None:
        for decision in decisions:
            match decision.result:
                case messages.Granted(id=id_, endpoint=name):
                    number = int(name.removeprefix("e-"))
                    self._start(self._arrivals[id_], number, now)
                case messages.Denied():
                    self._result.denied += 1

    def _start(self, arrival: Arrival, number: int, now: float) -> None:
        endpoint = self._endpoints[number]
        request = arrival.request
        own = self._domain_of(number) == arrival.domain
        prompt = self._plan.plain_seconds
        prompt += request.prompt_tokens * SECONDS_PER_PROMPT_TOKEN
        output = request.output_tokens * SECONDS_PER_OUTPUT_TOKEN
        trip = 0.0 if own else REMOTE_ROUND_TRIP_SECONDS
        first_at = endpoint.end_of(now + trip, prompt)
        end_at = endpoint.end_of(first_at, output)
        endpoint.running += 1
        self._push(end_at, "end", (request.id, number, first_at - now))
        self._result.served.append(
            Served(
                request.rank,
                own,
                number,
                endpoint.is_slowed(now),
                now,
                end_at - arrival.at,
                first_at > request.first_answer_due,
                not self._has_read(request, number, now),
                self._takes_idle(arrival, number, now),
            )
        )

    def _takes_idle(self, arrival: Arrival, number: int, now: float) -> bool:
        repeatable = arrival.request.rank == REPEATABLE_RANK
        limit = sending.ONCE_MAX_IDLE_SECONDS
        if repeatable:
            limit = sending.MAX_IDLE_SECONDS
        idle = self._idle[arrival.holder, number]
        while idle:
            if now - idle.pop() < limit:
                return True
        return False

    def _has_read(
        self, request: messages.SlotRequest, number: int, now: float
    ) -> bool:
        before = [self._reads.get((number, p)) for p in request.parts]
        for part in request.parts:
            self._reads[number, part] = now
        return any(at is not None and now - at < 10.0 for at in before)

    def _end(self, ended: tuple[str, int, float], now: float) -> None:
        id_, number, first_answer_seconds = ended
        self._endpoints[number].running -= 1
        self._idle[self._arrivals[id_].holder, number].append(now)
        served = messages.Outcome.SERVED
        self._follow(
            self._slots.release(id_, served, now, first_answer_seconds), now
        )
