"""How much of a pool lower tiers may fill, so that higher ones find room.

A request that runs is never dropped, so room for a burst of a higher tier must
be there before it comes. What a tier has had waiting and running at once is
remembered as a peak that decays; tiers below leave that many slots alone.
"""

import math

DECAY_SECONDS = 40.0
KEPT_SHARE = 0.9
LEAST_SHARE = 0.25


class _Tier:
    __slots__ = ("peak", "present", "running", "since")

    def __init__(self):
        self.present = 0
        self.running = 0
        self.peak = 0.0
        self.since = 0.0

    def decayed(self, now: float) -> float:
        age = now - self.since
        return max(self.present, self.peak * math.exp(-age / DECAY_SECONDS))


class Room:
    """Requests present in one pool, by tier.

    >>> room = Room()
    >>> room.enter(0, 0.0)
    >>> room.for_tier(1, slots=8, now=0.0)
    7.1
    """

    __slots__ = ("_tiers",)

    def __init__(self):
        self._tiers: dict[int, _Tier] = {}

    def enter(self, rank: int, now: float) -> None:
        """A request of that tier begins to wait."""
        tier = self._tiers.setdefault(rank, _Tier())
        tier.peak = max(tier.decayed(now), tier.present + 1)
        tier.since = now
        tier.present += 1

    def start(self, rank: int) -> None:
        """One of them begins to run."""
        self._tiers[rank].running += 1

    def leave(self, rank: int, now: float, running: bool) -> None:
        """One of them ends, or is refused."""
        tier = self._tiers[rank]
        tier.peak = tier.decayed(now)
        tier.since = now
        tier.present -= 1
        tier.running -= running

    def for_tier(self, rank: int, slots: int, now: float) -> float:
        """Slots that requests of a tier and those below may yet take."""
        kept = 0.0
        taken = 0
        for other, tier in self._tiers.items():
            if other < rank:
                kept += tier.decayed(now) * KEPT_SHARE
            else:
                taken += tier.running
        return max(slots - kept, slots * LEAST_SHARE) - taken
