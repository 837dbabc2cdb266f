"""Slots of a pool that lower tiers leave free for higher ones.

A running request is never preempted, so slots for a burst of a higher tier must
be free before it arrives. For each tier, the peak number of requests in the
pool, waiting and running together, is kept and decays exponentially; the lower
tiers leave RESERVED_PEAK_SHARE of that many slots free.
"""

import math

PEAK_DECAY_SECONDS = 40.0
RESERVED_PEAK_SHARE = 0.9
MIN_AVAILABLE_SHARE = 0.25


class _TierUsage:
    __slots__ = ("peak", "present", "running", "updated_at")

    def __init__(self):
        self.present = 0
        self.running = 0
        self.peak = 0.0
        self.updated_at = 0.0

    def decayed(self, now: float) -> float:
        age = now - self.updated_at
        return max(
            self.present, self.peak * math.exp(-age / PEAK_DECAY_SECONDS)
        )


class TierReservations:
    """Number of waiting and running requests of one pool, by tier.

    >>> reservations = TierReservations()
    >>> reservations.request_queued(0, 0.0)
    >>> reservations.available_slots(1, slots=8, now=0.0)
    7.1
    """

    __slots__ = ("_tiers",)

    def __init__(self):
        self._tiers: dict[int, _TierUsage] = {}

    def request_queued(self, rank: int, now: float) -> None:
        """Records that a request of a tier was queued; `now` in seconds."""
        tier = self._tiers.setdefault(rank, _TierUsage())
        tier.peak = max(tier.decayed(now), tier.present + 1)
        tier.updated_at = now
        tier.present += 1

    def request_started(self, rank: int) -> None:
        """Records that a queued request of a tier was dispatched."""
        self._tiers[rank].running += 1

    def request_left(self, rank: int, now: float, running: bool) -> None:
        """Records that a request of a tier ended or left the queue.

        Args:
            rank: rank of the tier.
            now: current time in seconds.
            running: whether the request had been dispatched.
        """
        tier = self._tiers[rank]
        tier.peak = tier.decayed(now)
        tier.updated_at = now
        tier.present -= 1
        tier.running -= running

    def available_slots(self, rank: int, slots: int, now: float) -> float:
        """Returns the slots still available to a tier and the lower ones.

        The result may be negative. At least MIN_AVAILABLE_SHARE of all slots is
        available to them, less what they use.
        """
        reserved = 0.0
        used = 0
        for other, tier in self._tiers.items():
            if other < rank:
                reserved += tier.decayed(now) * RESERVED_PEAK_SHARE
            else:
                used += tier.running
        return max(slots - reserved, slots * MIN_AVAILABLE_SHARE) - used
