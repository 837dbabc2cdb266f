"""Virtual time: callbacks in the order of their moments."""

from collections.abc import Callable
import heapq


class Clock:
    """Runs callbacks at their time, first come first served at a tie.

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
        """Has a callback run at that time, or at once if it has passed."""
        self._sequence += 1
        moment = max(when, self._now)
        heapq.heappush(
            self._heap, (moment, self._sequence, callback, arguments)
        )

    def after(self, seconds: float, callback: Callable, *arguments) -> None:
        """Has a callback run after that time."""
        self.at(self._now + seconds, callback, *arguments)

    def run_until(self, end: float) -> None:
        """Runs all callbacks due by then."""
        while self._heap and self._heap[0][0] <= end:
            self._now, _, callback, arguments = heapq.heappop(self._heap)
            callback(*arguments)
        self._now = end
