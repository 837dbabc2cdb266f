"""The allocator's records of endpoints, leases and queued requests."""

from collections.abc import Mapping
import dataclasses
import heapq
from typing import NamedTuple

from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import messages

PROMPT_TOKENS_PER_OUTPUT_TOKEN = 150.0
"""Processing time of one output token, as a number of prompt tokens."""

PLAIN_CALL_WORK_UNITS = 1.0
PLAIN_CALL_SLOWDOWN_FACTOR = 1.2
"""Factor by which a plain call may be slower than usual."""

FIRST_ANSWER_OVERHEAD_SECONDS = 0.02
FIRST_ANSWER_SLOWDOWN_FACTOR = 1.5
"""Factor by which other prompts at the endpoint delay a first answer."""

LEARNING_RATE = 0.2
SLOWDOWN_PER_REQUEST = 0.3
"""Relative slowdown for each request that the endpoint already runs."""

LIMIT_RISE_SECONDS = 2.0
"""Time after which the limit of an endpoint that refused a request rises by
one."""

DOWN_AFTER_INSTANCES = 2
"""An endpoint that this many instances cannot reach is considered down."""


@dataclasses.dataclass(slots=True)
class Lease:
    """A slot in use.

    Attributes:
        holder: the instance that sends the request.
        request: the request; None if it is known only from its holder's report.
        endpoint: id of the endpoint that runs it.
        granted_at: when it was granted, seconds of the loop's clock.
        granted_here: whether this instance granted it.
        work_units: size of the request, in prompt tokens; 0 if it is unknown.
    """

    holder: str
    request: messages.SlotRequest | None
    endpoint: str
    granted_at: float
    granted_here: bool = False
    work_units: float = dataclasses.field(init=False)

    def __post_init__(self):
        """Computes the size, which the choice of an endpoint often needs."""
        self.work_units = work_units(self.request) if self.request else 0.0


@dataclasses.dataclass(slots=True)
class EndpointState:
    """State of one endpoint.

    Times are seconds of the loop's clock.

    Attributes:
        endpoint: its entry in the list of endpoints.
        leases: the requests that it runs, by id; kept by `leases.LeaseTable`.
        seconds_per_work_unit: seconds per unit of work (a prompt token, or a
            plain call); a moving average.
        samples: number of answers that the average includes.
        consecutive_failures: lost or misdirected attempts since the last whole
            answer.
        paused_until: no slots are granted before this time.
        unreachable_from: instances that cannot reach it, with the time until
            which they get no slots.
        bucket: admits requests by the limit that it names; None without one.
        concurrency_limit: requests that it ran when it last refused one for
            want of room; None if that does not matter.
        limited_at: when that limit was set.
        revision: number of its newest place in the order of costs.
        counted: what the sums over endpoints count for it.
    """

    endpoint: messages.Endpoint
    leases: Mapping[str, Lease] = dataclasses.field(default_factory=dict)
    seconds_per_work_unit: float = 0.0
    samples: int = 0
    consecutive_failures: int = 0
    paused_until: float = 0.0
    unreachable_from: dict[str, float] = dataclasses.field(default_factory=dict)
    bucket: endpoint_limits.TokenBucket | None = None
    concurrency_limit: int | None = None
    limited_at: float = 0.0
    revision: int = 0
    counted: "Load" = dataclasses.field(default_factory=lambda: NO_LOAD)

    @property
    def domain(self) -> str:
        """Its failure domain."""
        return self.endpoint.domain

    @property
    def load(self) -> "Load":
        """Its slots, and the work in progress there."""
        work = sum(lease.work_units for lease in self.leases.values())
        return Load(self.endpoint.slots, work)

    def is_unrestricted(self, now: float) -> bool:
        """Returns whether it is certainly neither paused, down nor limited."""
        return (
            self.paused_until <= now
            and self.concurrency_limit is None
            and not self.unreachable_from
        )

    def is_unreachable_from(self, holder: str, now: float) -> bool:
        """Returns whether it counts as unreachable for an instance."""
        if not self.unreachable_from:
            return False
        barred_until = self.unreachable_from.get(holder, 0.0)
        return barred_until > now or self.down_until > now

    @property
    def down_until(self) -> float:
        """Until when no instance gets a slot, as several could not reach it.

        In the past while it is in use.
        """
        if len(self.unreachable_from) < DOWN_AFTER_INSTANCES:
            return 0.0
        ends = heapq.nlargest(
            DOWN_AFTER_INSTANCES, self.unreachable_from.values()
        )
        return ends[-1]

    def record_unreachable(self, holder: str, until: float, now: float) -> None:
        """Records that an instance cannot reach it, until a time."""
        for name, end in list(self.unreachable_from.items()):
            if end <= now:
                del self.unreachable_from[name]
        self.unreachable_from[holder] = until

    def record_pace(self, pace: float) -> None:
        """Includes a measured pace in the moving average."""
        rate = max(LEARNING_RATE, 1 / (self.samples + 1))
        self.seconds_per_work_unit += rate * (pace - self.seconds_per_work_unit)
        self.samples += 1

    def cost(self, default_pace: float, now: float) -> "Cost":
        """Returns the expected time of a request, to compare endpoints."""
        pace = self.seconds_per_work_unit if self.samples else default_pace
        # The time that a request has run so far reveals a slow endpoint
        # before the request ends; most useful while there are no samples.
        for lease in self.leases.values():
            if lease.work_units:
                elapsed = now - lease.granted_at
                pace = max(pace, elapsed / lease.work_units)
        running = len(self.leases)
        return Cost(pace * (1 + SLOWDOWN_PER_REQUEST * running), running)

    def overdue_factor(self, cost: "Cost") -> float:
        """Returns how much longer than usual its oldest request has taken.

        Args:
            cost: its present cost.
        """
        if not self.samples:
            return 1.0
        usual = self.seconds_per_work_unit
        return cost.seconds / (
            usual * (1 + SLOWDOWN_PER_REQUEST * cost.running)
        )

    @property
    def free_slots(self) -> int:
        """Number of slots that are not in use."""
        return self.endpoint.slots - len(self.leases)

    def lower_limit(self, now: float) -> None:
        """Limits it to the requests that it runs, as it refused one more.

        Load pattern: an endpoint has fewer places than its row states, and
        fails if it has to refuse too many requests in a second. The limit
        rises by one after a time; what is then refused lowers it again.
        """
        self.concurrency_limit = max(1, len(self.leases))
        self.limited_at = now

    def room_at(self, now: float) -> float:
        """Returns when its limit admits one more request, `now` if it does."""
        if self.concurrency_limit is None:
            return now
        excess = 1 + len(self.leases) - self.concurrency_limit
        return max(now, self.limited_at + excess * LIMIT_RISE_SECONDS)


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Slots of endpoints, and the size of the requests that run in them.

    Attributes:
        slots: number of slots, in use or not.
        work_units: size of the running requests, in prompt tokens.
    """

    slots: int
    work_units: float

    def __add__(self, other: "Load") -> "Load":
        """Returns the sum."""
        return Load(
            self.slots + other.slots, self.work_units + other.work_units
        )

    def __sub__(self, other: "Load") -> "Load":
        """Returns the difference."""
        return Load(
            self.slots - other.slots, self.work_units - other.work_units
        )


NO_LOAD = Load(0, 0.0)


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A request in the queue.

    Attributes:
        holder: the instance that asked for the slot.
        request: the request.
        queued_at: when it was queued, seconds of the loop's clock.
        returned_from: when it was first queued, if it was refused and has come
            back when it was told to; None if not.
    """

    holder: str
    request: messages.SlotRequest
    queued_at: float
    returned_from: float | None = None

    @property
    def place(self) -> float:
        """The time that orders it among those of the same urgency."""
        if self.returned_from is None:
            return self.queued_at
        return self.returned_from

    def is_late(self, pace: float, now: float) -> bool:
        """Returns whether its first answer would come after its target time.

        Args:
            pace: expected seconds of an endpoint for each unit of work.
            now: seconds of the loop's clock.
        """
        expected_at = now + first_answer_seconds(self.request, pace)
        return expected_at > self.request.first_answer_due


class Cost(NamedTuple):
    """Cost of running a request at an endpoint; the smallest is best.

    Attributes:
        seconds: expected time per unit of work.
        running: number of requests that run there; breaks ties.
    """

    seconds: float
    running: int

    def weighted(self, factor: float) -> "Cost":
        """Returns the cost with its time multiplied by a factor."""
        if factor == 1.0:
            return self
        return Cost(self.seconds * factor, self.running)


@dataclasses.dataclass(slots=True, frozen=True)
class SlotDecision:
    """A decision on a slot request, and the instance that receives it."""

    holder: str
    result: messages.Decision | messages.Preempted


def work_units(request: messages.SlotRequest) -> float:
    """Returns the size of a request in prompt tokens; 1 for a plain call."""
    size = (
        request.prompt_tokens
        + PROMPT_TOKENS_PER_OUTPUT_TOKEN * request.output_tokens
    )
    return size or PLAIN_CALL_WORK_UNITS


def first_answer_seconds(request: messages.SlotRequest, pace: float) -> float:
    """Returns the expected seconds from the grant to the first answer."""
    if not request.prompt_tokens:
        return PLAIN_CALL_SLOWDOWN_FACTOR * pace * PLAIN_CALL_WORK_UNITS
    return (
        FIRST_ANSWER_OVERHEAD_SECONDS
        + FIRST_ANSWER_SLOWDOWN_FACTOR * pace * request.prompt_tokens
    )
