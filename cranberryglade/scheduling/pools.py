"""One target as an instance sees it: its endpoints and what waits for them."""

import dataclasses

from cranberryglade.scheduling import messages
from cranberryglade.scheduling import queues


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """One endpoint of a pool.

    Attributes:
        endpoint: the platform's description.
        outstanding: requests sent by this instance and not ended.
        owned: whether this instance feeds it.
        leaving: whether it must get no new work.
    """

    endpoint: messages.Endpoint
    outstanding: int = 0
    owned: bool = False
    leaving: bool = False

    @property
    def free_slots(self) -> int:
        """Dispatches it can take now."""
        if self.leaving or not self.owned:
            return 0
        return max(0, self.endpoint.slots - self.outstanding)


class Pool:
    """The endpoints of one target and the queue before them."""

    __slots__ = ("members", "queue", "target")

    def __init__(self, target: str, queue: queues.Queue):
        self.target = target
        self.members: dict[str, Member] = {}
        self.queue = queue

    @property
    def serving(self) -> list[Member]:
        """The endpoints that this instance may send to."""
        return [
            member
            for member in self.members.values()
            if member.owned and not member.leaving
        ]

    @property
    def free_slots(self) -> int:
        """Dispatches the pool can take now."""
        return sum(member.free_slots for member in self.members.values())

    def digest(self, seconds_per_request: float) -> messages.TargetDigest:
        """What peers are told of this pool."""
        slots = sum(member.endpoint.slots for member in self.serving)
        wait = len(self.queue) * seconds_per_request / slots if slots else 0.0
        return messages.TargetDigest(
            self.target,
            self.free_slots,
            len(self.queue),
            self.queue.worst_rank,
            wait,
        )
