"""Warnings of one kind, of which only some are logged.

Load pattern: a table of the store holds thousands of rows of another writer and
is read again and again; or a later build sends many datagrams that this one
cannot read. Each of them would be a line.
"""

import asyncio

from cranberryglade import log

WINDOW_SECONDS = 5.0
MAX_PER_WINDOW = 10

logger = log.get_logger(__name__)


class BoundedWarning:
    """Logs the first few warnings in each time, and counts the others."""

    __slots__ = ("_event", "_left", "_max_per_window", "_omitted", "_until")

    def __init__(self, event: str, max_per_window: int = MAX_PER_WINDOW):
        """Creates one that has logged nothing.

        Args:
            event: the event that its lines have.
            max_per_window: lines in WINDOW_SECONDS.
        """
        self._event = event
        self._max_per_window = max_per_window
        self._left = 0
        self._omitted = 0
        self._until = float("-inf")

    def log(self, **fields) -> None:
        """Logs a warning, with the number since the line before, or counts it.

        Args:
            **fields: fields of the line.
        """
        now = asyncio.get_running_loop().time()
        if now >= self._until:
            self._until = now + WINDOW_SECONDS
            self._left = self._max_per_window
        if not self._left:
            self._omitted += 1
            return
        self._left -= 1
        count, self._omitted = self._omitted + 1, 0
        logger.warning(self._event, count=count, **fields)
