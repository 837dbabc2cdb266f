"""How often requests may be sent again, and what organisations may spend."""

import collections
import math

CAUTION = 0.6
"""Part of the slack that is used; the rest covers what is counted late."""

CAUTION_AT_START = 0.3
"""The same in the first window, when the life before is not remembered."""

BUCKETS = 20


class Window:
    """A sum over a sliding window, in buckets."""

    __slots__ = ("_buckets", "_seconds")

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._buckets: collections.deque[list[float]] = collections.deque()

    def add(self, amount: float, now: float) -> None:
        """Counts something that happens now."""
        width = self._seconds / BUCKETS
        if self._buckets and now - self._buckets[-1][0] < width:
            self._buckets[-1][1] += amount
        else:
            self._buckets.append([now, amount])
        self._trim(now)

    def total(self, now: float) -> float:
        """The sum over the window that ends now."""
        self._trim(now)
        return math.fsum(amount for _, amount in self._buckets)

    def _trim(self, now: float) -> None:
        oldest = now - self._seconds * (1 + 1 / BUCKETS)
        while self._buckets and self._buckets[0][0] < oldest:
            self._buckets.popleft()


class RetryBudget:
    """The part of a service's repeats that one instance may cause.

    Load pattern: endpoints fail or reset a large part of what they get; if
    all of it were sent again, the rest would drown in repeats.
    """

    __slots__ = (
        "_begun",
        "_firsts",
        "_ratio",
        "_repeats",
        "_slack",
        "_window",
    )

    def __init__(
        self, ratio: float, slack: float, window_seconds: float, now: float
    ):
        self._begun = now
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._firsts: dict[str, Window] = {}
        self._repeats: dict[str, Window] = {}

    def limit(self, ratio: float, slack: float) -> None:
        """Takes in other limits; what was spent stays spent."""
        self._ratio = ratio
        self._slack = slack

    def first(self, service: str, now: float) -> None:
        """Counts a request of a caller."""
        self._of(self._firsts, service).add(1, now)

    def spend(self, service: str, share: float, now: float) -> bool:
        """Takes a repeat out of the budget, if there is one left.

        Args:
            service: where the request is sent again.
            share: this instance's part of the slack that all have.
            now: seconds of the clock.
        """
        firsts = self._of(self._firsts, service).total(now)
        repeats = self._of(self._repeats, service)
        young = now - self._begun < self._window
        caution = CAUTION_AT_START if young else CAUTION
        allowed = self._ratio * firsts + self._slack * share * caution
        if repeats.total(now) + 1 > allowed:
            return False
        repeats.add(1, now)
        return True

    def _of(self, windows: dict[str, Window], service: str) -> Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = Window(self._window)
        return window


class Bucket:
    """A token bucket for the quota of one organisation."""

    __slots__ = ("_burst", "_level", "_rate", "_since")

    def __init__(self, rate: float, burst: float, now: float):
        self._rate = rate
        self._burst = burst
        # What was spent before is not known here, so it starts empty.
        self._level = 0.0
        self._since = now

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Goes on with another rate; what was spent stays spent."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def take(self, cost: float, now: float) -> float:
        """Takes a cost; returns 0, or the seconds until it would fit.

        A cost above the whole burst fits when the bucket is full.
        """
        self._refill(now)
        if self._level >= min(cost, self._burst):
            self._level -= cost
            return 0.0
        missing = min(cost, self._burst) - self._level
        return missing / self._rate if self._rate > 0 else math.inf

    def give_back(self, cost: float) -> None:
        """Undoes `take`."""
        self._level = min(self._burst, self._level + cost)

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._since) * self._rate
        self._level = min(self._burst, self._level + gained)
        self._since = now
