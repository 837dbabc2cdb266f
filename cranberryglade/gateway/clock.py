"""The clock of a gateway: that of its event loop."""

import asyncio
from collections.abc import Coroutine
import functools
import time


class BoottimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time also advances while the machine is suspended.

    All ages, deadlines and timers of a gateway are taken from it. The wall
    clock can jump, and the monotonic clock stands still during a suspension:
    leases, windows and confirmations would look younger than they are.

    A timer that became due in a suspension runs at the next turn of the loop.
    """

    time = staticmethod(
        functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
    )
    """Returns the seconds since boot, including time in suspend."""


def run(main: Coroutine) -> None:
    """Runs a program until it ends, by this clock."""
    with asyncio.Runner(loop_factory=BoottimeLoop) as runner:
        runner.run(main)
