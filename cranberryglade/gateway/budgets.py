"""Sliding windows, and the budget for retries that is counted in them."""

import collections
import math

USED_SLACK_FRACTION = 0.6
"""Fraction of the slack that is used; the rest covers late counting."""

USED_SLACK_FRACTION_AT_START = 0.3
"""Replaces USED_SLACK_FRACTION in the first window after a start, because
retries before the restart are unknown."""

BUCKETS = 20


class SlidingWindow:
    """Sum over a sliding window, kept in buckets."""

    __slots__ = ("_buckets", "_seconds")

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._buckets: collections.deque[list[float]] = collections.deque()

    def set_seconds(self, seconds: float) -> None:
        """Sets the length of the window; what has left it stays out."""
        self._seconds = seconds

    def add(self, amount: float, now: float) -> None:
        """Adds an amount at the current time."""
        width = self._seconds / BUCKETS
        if self._buckets and now - self._buckets[-1][0] < width:
            self._buckets[-1][1] += amount
        else:
            self._buckets.append([now, amount])
        self._trim(now)

    def total(self, now: float) -> float:
        """Returns the sum over the window that ends now."""
        self._trim(now)
        return math.fsum(amount for _, amount in self._buckets)

    def amounts(self, now: float) -> list[tuple[float, float]]:
        """Returns times and amounts within the window that ends now."""
        self._trim(now)
        return [(at, amount) for at, amount in self._buckets]

    def subtract(self, amount: float, added_at: float) -> None:
        """Reverts an `add` made at `added_at`, if it is still in the window."""
        for bucket in reversed(self._buckets):
            if bucket[0] <= added_at:
                bucket[1] = max(0.0, bucket[1] - amount)
                return

    def seconds_until_expired(self, amount: float, now: float) -> float:
        """Returns the seconds until `amount` has left the window."""
        expired = 0.0
        for start, counted in self._buckets:
            expired += counted
            if expired >= amount:
                return max(0.0, start + self._retention_seconds - now)
        return self._retention_seconds

    @property
    def _retention_seconds(self) -> float:
        # A bucket counts until its newest addition has left the window.
        return self._seconds * (1 + 1 / BUCKETS)

    def _trim(self, now: float) -> None:
        oldest = now - self._retention_seconds
        while self._buckets and self._buckets[0][0] < oldest:
            self._buckets.popleft()


class RetryBudget:
    """Limits the retries that one instance sends to each service.

    Load pattern: endpoints fail or reset a large part of their requests; if
    all of these were retried, the retries would crowd out other requests.
    """

    __slots__ = (
        "_started",
        "_requests",
        "_ratio",
        "_retries",
        "_slack",
        "_window",
    )

    def __init__(
        self, ratio: float, slack: float, window_seconds: float, now: float
    ):
        self._started = now
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._requests: dict[str, SlidingWindow] = {}
        self._retries: dict[str, SlidingWindow] = {}

    def set_limits(
        self, ratio: float, slack: float, window_seconds: float
    ) -> None:
        """Sets new limits; retries already counted stay counted."""
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        for window in (*self._requests.values(), *self._retries.values()):
            window.set_seconds(window_seconds)

    def record_request(self, service: str, now: float) -> None:
        """Counts a request from a caller, which earns retries."""
        self._window_of(self._requests, service).add(1, now)

    def try_spend(self, service: str, share: float, now: float) -> bool:
        """Takes one retry from the budget.

        Args:
            service: the service that the request is retried at.
            share: this instance's fraction of the slack, which all instances
                share.
            now: seconds of the loop's clock.

        Returns:
            Whether the budget allowed the retry.
        """
        requests = self._window_of(self._requests, service).total(now)
        retries = self._window_of(self._retries, service)
        starting = now - self._started < self._window
        caution = (
            USED_SLACK_FRACTION_AT_START if starting else USED_SLACK_FRACTION
        )
        allowed = self._ratio * requests + self._slack * share * caution
        if retries.total(now) + 1 > allowed:
            return False
        retries.add(1, now)
        return True

    def give_back(self, service: str, taken_at: float) -> None:
        """Gives a retry back that was taken at a time and not sent."""
        self._window_of(self._retries, service).subtract(1, taken_at)

    def record_sent(self, service: str, taken_at: float, now: float) -> None:
        """Counts a retry from now on that was taken earlier and is sent now.

        Load pattern: many retries wait for slots and are sent together.
        """
        self.give_back(service, taken_at)
        self._window_of(self._retries, service).add(1, now)

    def _window_of(
        self, windows: dict[str, SlidingWindow], service: str
    ) -> SlidingWindow:
        window = windows.get(service)
        if window is None:
            window = windows[service] = SlidingWindow(self._window)
        return window
