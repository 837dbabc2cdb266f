"""A read of the platform's store that serves all who asked before it began.

Load pattern: an instance is cut off from others, or stood still, and many
callers resume streams there at once. What this instance knew before says
nothing of them; only a read that begins after a request arrived does.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from cranberryglade import log

MIN_INTERVAL_SECONDS = 0.1
"""Time between the beginnings of two reads."""

TIMEOUT_SECONDS = 1.0

Value = TypeVar("Value")

logger = log.get_logger(__name__)


class SharedRead(Generic[Value]):
    """Reads once for all callers that wait."""

    __slots__ = ("_name", "_read", "_reading", "_started_at", "_value")

    def __init__(self, name: str, read: Callable[[], Awaitable[Value | None]]):
        """Initialises without a result.

        Args:
            name: what is read, for logs.
            read: returns the value, or None if it cannot be read.
        """
        self._name = name
        self._read = read
        self._reading = asyncio.Lock()
        self._started_at = float("-inf")
        self._value: Value | None = None

    async def get(self) -> Value | None:
        """Returns what a read found that began after this call, or None."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        async with self._reading:
            if self._started_at < asked_at:
                await asyncio.sleep(
                    self._started_at + MIN_INTERVAL_SECONDS - asked_at
                )
                started_at = loop.time()
                self._value = await self._read_in_time()
                self._started_at = started_at
            return self._value

    async def _read_in_time(self) -> Value | None:
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                return await self._read()
        except TimeoutError:
            logger.warning("store.unread", what=self._name, reason="timeout")
            return None
