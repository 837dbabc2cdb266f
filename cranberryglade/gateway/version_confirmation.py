"""Confirms with the platform's store which software versions a service has.

Load pattern: an instance is cut off from others, or stood still, while
endpoints of a new version join, and a caller resumes a stream that began on one
of them. What this instance knew before says nothing of that stream; only a read
that begins after the request arrived does.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from cranberryglade import log
from cranberryglade.gateway import version_sync

MIN_INTERVAL_SECONDS = 0.1
"""Time between two reads; each serves all who asked before it began."""

TIMEOUT_SECONDS = 1.0

logger = log.get_logger(__name__)


class VersionConfirmation:
    """Reads the endpoints and the stored versions, for several at once."""

    __slots__ = (
        "_found",
        "_read_endpoints",
        "_read_versions",
        "_reading",
        "_started_at",
    )

    def __init__(
        self,
        read_endpoints: Callable[[], Awaitable[bool]],
        read_versions: Callable[
            [], Awaitable[version_sync.StoredVersions | None]
        ],
    ):
        """Initialises without a result.

        Args:
            read_endpoints: applies the present list of endpoints; returns
                whether it could be read.
            read_versions: returns the versions that each service had lately;
                None if they cannot be read.
        """
        self._read_endpoints = read_endpoints
        self._read_versions = read_versions
        self._reading = asyncio.Lock()
        self._started_at = float("-inf")
        self._found: version_sync.StoredVersions | None = None

    async def confirm(self) -> version_sync.StoredVersions | None:
        """Applies the endpoints as they are listed now.

        Returns:
            The versions that each service had lately, as they are stored; None
            if the store cannot be read.
        """
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        async with self._reading:
            if self._started_at < asked_at:
                await asyncio.sleep(
                    self._started_at + MIN_INTERVAL_SECONDS - asked_at
                )
                started_at = loop.time()
                self._found = await self._read()
                self._started_at = started_at
            return self._found

    async def _read(self) -> version_sync.StoredVersions | None:
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                if not await self._read_endpoints():
                    return None
                return await self._read_versions()
        except TimeoutError:
            logger.warning("versions.unconfirmed", reason="timeout")
            return None
