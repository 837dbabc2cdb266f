"""The endpoints of one target in this failure domain, and their queue."""

import collections
import dataclasses

from cranberryglade.scheduling import messages
from cranberryglade.scheduling import queues
from cranberryglade.scheduling import reservations
from cranberryglade.scheduling import speeds

MAX_PREFIXES_PER_ENDPOINT = 512
INITIAL_RUN_SECONDS = 1.0
SMOOTHING_FACTOR = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class EndpointState:
    """One endpoint of a pool.

    Attributes:
        endpoint: description of the endpoint from the platform.
        outstanding: attempts of this instance that have not ended.
        owned: whether this instance owns it and the endpoint answers.
        leaving: whether it must get no new work.
        speed: measured speed; None before it is first used.
        pending_prefill: prompt tokens of attempts without a first token.
        long_prefills: number of these attempts that are in the long lane.
        prefixes: prefixes it probably has cached, the latest last.
        probation_limit: concurrent requests allowed on probation, 0 during the
            pause; None if it is not on probation.
        suspicions: number of suspicions since it was last trusted.
        consecutive_slow_first_tokens: number of consecutive first tokens that
            were too slow.
    """

    endpoint: messages.Endpoint
    outstanding: int = 0
    owned: bool = False
    leaving: bool = False
    speed: speeds.Speed | None = None
    pending_prefill: float = 0.0
    long_prefills: int = 0
    probation_limit: int | None = None
    suspicions: int = 0
    consecutive_slow_first_tokens: int = 0
    prefixes: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    @property
    def concurrency_limit(self) -> int:
        """Number of requests it may run at once."""
        if self.probation_limit is None:
            return self.endpoint.slots
        return min(self.probation_limit, self.endpoint.slots)

    @property
    def free_slots(self) -> int:
        """Number of requests that can be dispatched to it now."""
        if self.leaving or not self.owned:
            return 0
        return max(0, self.concurrency_limit - self.outstanding)

    def set_prefix_cached(self, prefix: str, cached: bool) -> None:
        """Records whether the endpoint has a prefix cached."""
        if not prefix:
            return
        self.prefixes.pop(prefix, None)
        if cached:
            self.prefixes[prefix] = None
        if len(self.prefixes) > MAX_PREFIXES_PER_ENDPOINT:
            self.prefixes.popitem(last=False)


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One dispatch that has not ended.

    Attributes:
        member: the endpoint that runs it.
        lane: lane of the request.
        prefill_tokens: prompt tokens that the endpoint must compute for it,
            as expected.
        pending_tokens: prefill tokens of this and all earlier attempts that
            were pending at the endpoint at the dispatch.
        expected_first_token_seconds: expected time to the first token in
            seconds.
        first_token_at: when the first token arrived, in seconds; None before.
        ended: whether it has ended.
    """

    member: EndpointState
    lane: queues.Lane
    prefill_tokens: float
    pending_tokens: float
    expected_first_token_seconds: float
    first_token_at: float | None = None
    ended: bool = False


class Pool:
    """The endpoints of one target and the queue in front of them.

    Other instances own most endpoints of a failure domain. The ones owned by
    this instance are kept in a list of their own, so that a decision iterates
    over these alone.

    Attributes:
        retries_booked_until: time in seconds up to which the slots are booked
            for refused requests that were told when to retry.
        members: all endpoints of the target by name.
        queue: requests that wait for an endpoint.
        reservations: slots that lower tiers leave to higher ones.
        run_seconds: running average of the duration of an attempt.
        needs_readmission: whether the last serving endpoint was lost and the
            waiting requests have to be placed again.
        target: the model or service.
    """

    __slots__ = (
        "_serving",
        "retries_booked_until",
        "members",
        "queue",
        "reservations",
        "run_seconds",
        "needs_readmission",
        "target",
    )

    def __init__(self, target: str, queue: queues.Queue):
        self.target = target
        self.members: dict[str, EndpointState] = {}
        self._serving: list[EndpointState] = []
        self.queue = queue
        self.reservations = reservations.TierReservations()
        self.run_seconds = INITIAL_RUN_SECONDS
        self.retries_booked_until = 0.0
        self.needs_readmission = False

    @property
    def serving(self) -> list[EndpointState]:
        """The endpoints that this instance may dispatch to."""
        return self._serving

    @property
    def trusted(self) -> list[EndpointState]:
        """Serving endpoints not on probation; all of them if each one is."""
        serving = self.serving
        return [m for m in serving if m.probation_limit is None] or serving

    @property
    def free_slots(self) -> int:
        """Number of requests that can be dispatched now."""
        return sum(member.free_slots for member in self._serving)

    @property
    def slots(self) -> int:
        """Number of requests that the serving endpoints may run at once."""
        return sum(member.concurrency_limit for member in self.serving)

    def update_serving(self) -> None:
        """Updates the serving endpoints after a change of the members.

        Marks the pool as stranded when it has lost its last serving endpoint.
        """
        had_serving = bool(self._serving)
        self._serving = [
            member
            for member in self.members.values()
            if member.owned and not member.leaving
        ]
        self.needs_readmission = not self._serving and (
            had_serving or self.needs_readmission
        )

    def record_run(self, seconds: float) -> None:
        """Updates the running average with the duration of an attempt."""
        self.run_seconds += SMOOTHING_FACTOR * (seconds - self.run_seconds)

    def wait_seconds(self, work: float) -> float:
        """Returns the expected wait behind `work` slot seconds, in seconds."""
        if self.free_slots > len(self.queue):
            return 0.0
        return (work + self.run_seconds) / max(1, self.slots)

    def digest(self) -> messages.TargetDigest:
        """Returns the digest of this pool for peers; waits in seconds."""
        worst_rank = self.queue.worst_rank
        waits = tuple(
            round(self.wait_seconds(self.queue.work_up_to(rank)), 3)
            for rank in range(worst_rank + 2)
        )
        return messages.TargetDigest(
            self.target,
            self.free_slots,
            len(self.queue),
            worst_rank,
            waits[0],
            waits,
            self.slots,
        )
