"""Keeps the long-lived tasks of a process running.

A task that ends by an error is started again after a pause, so that one input
that nobody foresaw costs a moment and not the rest of the process's life.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from cranberryglade import log

FIRST_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 2.0
"""Longest pause, which also bounds the log: it holds one line for each start
after a failure."""

PAUSE_SPREAD = 0.3
"""Share by which a pause is longer or shorter at random: instances that fail at
the same moment do not all read the store anew at once."""

SOUND_SECONDS = 20.0
"""After a run of this length, the next pause is the first one again."""

Run = Callable[[], Awaitable[None]]

logger = log.get_logger(__name__)


def _ignore() -> None:
    pass


async def keep_running(
    name: str, run: Run, on_failure: Callable[[], None] = _ignore
) -> None:
    """Runs something, and again after each failure, until cancelled.

    Args:
        name: its name, for the log.
        run: returns when there is nothing left to do.
        on_failure: called at each failure.
    """
    loop = asyncio.get_running_loop()
    pause = FIRST_PAUSE_SECONDS
    while True:
        started = loop.time()
        try:
            return await run()
        except Exception as error:
            if loop.time() - started >= SOUND_SECONDS:
                pause = FIRST_PAUSE_SECONDS
            logger.error(
                "task.failed", task=name, restart_after_s=pause, exc_info=error
            )
            on_failure()
        spread = random.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
        await asyncio.sleep(pause * spread)
        pause = min(MAX_PAUSE_SECONDS, 2 * pause)


class Supervisor:
    """Starts tasks, and starts those again that fail.

    Attributes:
        failures: number of failures so far, of all tasks.
    """

    __slots__ = ("_on_failure", "_tasks", "failures")

    def __init__(self, on_failure: Callable[[], None] = _ignore):
        """Creates one without tasks.

        Args:
            on_failure: called at each failure.
        """
        self._on_failure = on_failure
        self._tasks: list[asyncio.Task] = []
        self.failures = 0

    def start(self, name: str, run: Run) -> None:
        """Starts a task.

        Args:
            name: its name, for the log.
            run: runs until cancelled, or until there is nothing left to do;
                called again after each failure.
        """
        kept = keep_running(name, run, self._count_failure)
        self._tasks.append(asyncio.create_task(kept))

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    async def wait_until_ended(self) -> None:
        """Waits until all tasks have ended after `cancel`."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _count_failure(self) -> None:
        self.failures += 1
        self._on_failure()
