"""One target as an instance sees it: its endpoints and what waits for them."""

import collections
import dataclasses

from cranberryglade.scheduling import messages
from cranberryglade.scheduling import queues
from cranberryglade.scheduling import room
from cranberryglade.scheduling import speeds

KEPT_PREFIXES = 512
FIRST_RUN_SECONDS = 1.0
LEARNING_RATE = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """One endpoint of a pool.

    Attributes:
        endpoint: the platform's description.
        outstanding: requests sent by this instance and not ended.
        owned: whether this instance feeds it.
        leaving: whether it must get no new work.
        speed: what has been learnt of it; None before it is first used.
        pending_prefill: prompt tokens sent whose first token is not there.
        long_prefills: long requests among them.
        prefixes: those it is believed to hold, the latest last.
        trial: requests it may run while it is on probation; None if trusted.
        strikes: how often it was suspected since it was last trusted.
        slow_firsts: first tokens in a row that came much too late.
    """

    endpoint: messages.Endpoint
    outstanding: int = 0
    owned: bool = False
    leaving: bool = False
    speed: speeds.Speed | None = None
    pending_prefill: float = 0.0
    long_prefills: int = 0
    trial: int | None = None
    strikes: int = 0
    slow_firsts: int = 0
    prefixes: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    @property
    def limit(self) -> int:
        """Requests it should run at once."""
        if self.trial is None:
            return self.endpoint.slots
        return min(self.trial, self.endpoint.slots)

    @property
    def free_slots(self) -> int:
        """Dispatches it can take now."""
        if self.leaving or not self.owned:
            return 0
        return max(0, self.limit - self.outstanding)

    def hold(self, prefix: str, held: bool) -> None:
        """Notes that it holds a prefix, or no longer does."""
        if not prefix:
            return
        self.prefixes.pop(prefix, None)
        if held:
            self.prefixes[prefix] = None
        if len(self.prefixes) > KEPT_PREFIXES:
            self.prefixes.popitem(last=False)


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One dispatch that has not ended.

    Attributes:
        member: where it runs.
        lane: of the request.
        prefill_tokens: prompt tokens it is expected to compute.
        pending_tokens: the same with all that was pending before it.
        first_seconds: expected time to the first token.
        first_at: when that came, in seconds.
        ended: whether it is over.
    """

    member: Member
    lane: queues.Lane
    prefill_tokens: float
    pending_tokens: float
    first_seconds: float
    first_at: float | None = None
    ended: bool = False


class Pool:
    """The endpoints of one target and the queue before them.

    Most endpoints of a failure domain are fed by other instances, so that those
    fed by this one are kept apart: decisions go through no others.
    """

    __slots__ = (
        "_serving",
        "booked_until",
        "members",
        "queue",
        "room",
        "run_seconds",
        "stranded",
        "target",
    )

    def __init__(self, target: str, queue: queues.Queue):
        self.target = target
        self.members: dict[str, Member] = {}
        self._serving: list[Member] = []
        self.queue = queue
        self.room = room.Room()
        self.run_seconds = FIRST_RUN_SECONDS
        self.booked_until = 0.0
        self.stranded = False

    @property
    def serving(self) -> list[Member]:
        """The endpoints that this instance may send to."""
        return self._serving

    @property
    def trusted(self) -> list[Member]:
        """Those of them that are not on probation; all if none is."""
        serving = self.serving
        return [m for m in serving if m.trial is None] or serving

    @property
    def free_slots(self) -> int:
        """Dispatches the pool can take now."""
        return sum(member.free_slots for member in self._serving)

    @property
    def slots(self) -> int:
        """Requests that its serving endpoints run at once."""
        return sum(member.limit for member in self.serving)

    def refresh(self) -> None:
        """Takes in that members have come, gone or changed their state.

        The pool is stranded when the last serving endpoint has been lost.
        """
        served = bool(self._serving)
        self._serving = [
            member
            for member in self.members.values()
            if member.owned and not member.leaving
        ]
        self.stranded = not self._serving and (served or self.stranded)

    def learn_run(self, seconds: float) -> None:
        """Takes in the time that an attempt took."""
        self.run_seconds += LEARNING_RATE * (seconds - self.run_seconds)

    def wait_seconds(self, work: float) -> float:
        """Expected wait of a request behind that many slot seconds."""
        if self.free_slots > len(self.queue):
            return 0.0
        return (work + self.run_seconds) / max(1, self.slots)

    def digest(self) -> messages.TargetDigest:
        """What peers are told of this pool."""
        worst = self.queue.worst_rank
        waits = tuple(
            round(self.wait_seconds(self.queue.work_up_to(rank)), 3)
            for rank in range(worst + 2)
        )
        return messages.TargetDigest(
            self.target,
            self.free_slots,
            len(self.queue),
            worst,
            waits[0],
            waits,
            self.slots,
        )
