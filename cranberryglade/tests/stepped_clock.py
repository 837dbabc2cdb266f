"""A clock of the event loop that tests advance."""

import asyncio


class SteppedClock:
    """Adds steps to the time of the running event loop.

    To the code under test, a step looks as if its process had stood still.
    """

    __slots__ = ("_loop_time", "_stepped_seconds")

    def __init__(self, monkeypatch):
        loop = asyncio.get_running_loop()
        self._loop_time = loop.time
        self._stepped_seconds = 0.0
        monkeypatch.setattr(loop, "time", self.time)

    def time(self) -> float:
        """Returns the time of the loop, in seconds."""
        return self._loop_time() + self._stepped_seconds

    def step(self, seconds: float) -> None:
        """Advances the clock at once."""
        self._stepped_seconds += seconds
