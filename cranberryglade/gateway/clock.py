"""The clock by which freshness is judged."""

import time


def steady_now() -> float:
    """Seconds since the machine's start, time asleep included.

    The time of day can jump, and the monotonic clock stands still while a
    machine is suspended; neither can tell how old a confirmation is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
