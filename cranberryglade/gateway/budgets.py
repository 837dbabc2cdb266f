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

    def take_back(self, amount: float, added: float) -> None:
        """Undoes an `add` of that time, if it still counts."""
        for bucket in reversed(self._buckets):
            if bucket[0] <= added:
                bucket[1] = max(0.0, bucket[1] - amount)
                return

    def seconds_until_less_by(self, amount: float, now: float) -> float:
        """When so much of the present sum will have left the window."""
        gone = 0.0
        for begun, counted in self._buckets:
            gone += counted
            if gone >= amount:
                return max(0.0, begun + self._kept_seconds - now)
        return self._kept_seconds

    @property
    def _kept_seconds(self) -> float:
        # A bucket counts until its newest addition has left the window.
        return self._seconds * (1 + 1 / BUCKETS)

    def _trim(self, now: float) -> None:
        oldest = now - self._kept_seconds
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
