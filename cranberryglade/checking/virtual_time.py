"""An event loop whose time passes only while nothing is left to do.

Sockets are real, as on any loop. Bytes sent on loopback arrive within the call
that sends them, so a turn of the loop without any readable socket means that
nothing is on its way.
"""

import asyncio
import selectors

START_SECONDS = 1000.0
"""Time at which a loop starts."""

UNTIMED_WAIT_SECONDS = 0.01
"""Real time to wait for a socket if there is no timer."""


class _Selector(selectors.DefaultSelector):
    """Advances the time of its loop instead of waiting."""

    loop: "VirtualTimeLoop"

    def select(self, timeout=None):
        ready = super().select(0) or super().select(0)
        if ready or timeout == 0 or self.loop.wake_waiters():
            return ready
        if timeout is None:
            return super().select(UNTIMED_WAIT_SECONDS)
        self.loop.advance(timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer as soon as nothing else is left to do."""

    def __init__(self):
        selector = _Selector()
        selector.loop = self
        self._virtual_time = START_SECONDS
        self._waiters: list[asyncio.Future] = []
        super().__init__(selector)

    @property
    def pending_timers(self) -> list[str]:
        """The timers that are not cancelled, as text."""
        return [str(each) for each in self._scheduled if not each.cancelled()]

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._virtual_time

    def advance(self, seconds: float) -> None:
        """Advances the time at once."""
        self._virtual_time += seconds

    async def quiet(self) -> None:
        """Waits until nothing is left to do at the present time."""
        waiter = self.create_future()
        self._waiters.append(waiter)
        await waiter

    async def turn(self, count: int) -> None:
        """Lets the loop make a number of turns."""
        for _ in range(count):
            await asyncio.sleep(0)

    def wake_waiters(self) -> bool:
        """Ends the waits for quiet; returns whether there were any."""
        waiters, self._waiters = self._waiters, []
        for each in waiters:
            if not each.done():
                each.set_result(None)
        return bool(waiters)
