"""Learns from which time on the first answers of a service are late.

Load pattern: a few answers of one service take many times as long as nearly all
others, and the usual time rises and falls with the load within minutes. So only
recent answers count, and nothing is late while there are too few of them to
tell.
"""

import bisect
import collections
import math

MAX_SAMPLES = 1000
MAX_AGE_SECONDS = 120.0
"""Older answers do not count: the load that they were given under is over."""


class RecentLatencies:
    """Times to the first answers of one service; performs no I/O."""

    __slots__ = ("_recent", "_sorted")

    def __init__(self):
        self._recent: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._sorted: list[float] = []

    def record(self, seconds: float, now: float) -> None:
        """Records the time to one first answer.

        Args:
            seconds: the time. One that is known to be longer than the quantile
                may be recorded by the part that was observed: that does not
                change the quantile.
            now: seconds of the loop's clock.
        """
        if len(self._recent) == MAX_SAMPLES:
            self._drop_oldest()
        self._recent.append((now, seconds))
        bisect.insort(self._sorted, seconds)

    def quantile(self, fraction: float, now: float) -> float | None:
        """Returns the time that a fraction of the recent answers keeps to.

        Args:
            fraction: from 0 to 1, exclusive.
            now: seconds of the loop's clock.

        Returns:
            Seconds; None if fewer answers are recent than it takes for one of
            them to be beyond the quantile.
        """
        while self._recent and now - self._recent[0][0] > MAX_AGE_SECONDS:
            self._drop_oldest()
        count = len(self._sorted)
        index = math.ceil(fraction * count)
        return self._sorted[index] if index < count else None

    def _drop_oldest(self) -> None:
        _, seconds = self._recent.popleft()
        del self._sorted[bisect.bisect_left(self._sorted, seconds)]
