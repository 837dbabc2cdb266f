"""Virtual clock: runs callbacks in the order of their due times."""

from collections.abc import Callable
import heapq


class Clock:
    """Runs callbacks at their due times, in order of registration at a tie.

    >>> clock = Clock()
    >>> clock.at(2.0, print, "b")
    >>> clock.at(1.0, print, "a")
    >>> clock.run_until(5.0)
    a
    b
    >>> clock.now
    5.0
    """

    __slots__ = ("_heap", "_now", "_sequence")

    def __init__(self):
        self._heap = []
        self._now = 0.0
        self._sequence = 0

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self._now

    def at(self, when: float, callback: Callable, *arguments) -> None:
        """Schedules a callback for a time in seconds since the start.

        A time that has passed counts as the present; the callback still runs
        in `run_until` only.
        """
        self._sequence += 1
        moment = max(when, self._now)
        heapq.heappush(
            self._heap, (moment, self._sequence, callback, arguments)
        )

    def after(self, seconds: float, callback: Callable, *arguments) -> None:
        """Schedules a callback after a delay in seconds."""
        self.at(self._now + seconds, callback, *arguments)

    def run_until(self, end: float) -> None:
        """Runs all callbacks due by `end` and sets the clock to it."""
        while self._heap and self._heap[0][0] <= end:
            self._now, _, callback, arguments = heapq.heappop(self._heap)
            callback(*arguments)
        self._now = end
