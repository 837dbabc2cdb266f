"""Clock for the age of the configuration."""

import time


def boottime_now() -> float:
    """Returns the seconds since boot, including time in suspend.

    The wall clock can jump, and the monotonic clock stops while the machine
    is suspended; neither gives the age of a confirmation reliably.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
