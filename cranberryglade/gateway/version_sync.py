"""Keeps the software versions of each service in the platform's store.

Load pattern: all instances are killed at once during a release, and callers
resume the streams that broke off. Those that start know neither what began a
stream nor, once its endpoints have left, that there was another version. The
store tells them, so that a stream is not continued at the version that happens
to be left.
"""

import asyncio

from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import allocation
from cranberryglade.gateway import ports
from cranberryglade.gateway import shared_row
from cranberryglade.gateway import software_versions

KEY = "versions"

logger = log.get_logger(__name__)

StoredVersions = dict[str, list[str]]
"""Versions that each service had lately, sorted."""


class VersionSync:
    """Stores the versions while this is the allocator; reads them once."""

    __slots__ = ("_allocator", "_loading", "_read", "_row", "_versions")

    def __init__(
        self,
        store: ports.Store,
        versions: software_versions.SoftwareVersions,
        allocator: allocation.SharedAllocator,
    ):
        self._row = shared_row.SharedRow(store, KEY, StoredVersions)
        self._versions = versions
        self._allocator = allocator
        self._loading = asyncio.Lock()
        self._read = False

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await asyncio.sleep(shared_row.WRITE_SECONDS)
            if not self._allocator.is_allocating:
                # Another allocator may store something else.
                self._row.forget()
            elif await self.load():
                # What one before this one stored is not forgotten.
                now = asyncio.get_running_loop().time()
                await self._row.write(self._versions.by_service(now))

    async def load(self) -> bool:
        """Learns the versions before the start; returns whether it did.

        The store is read once, when they are first needed.
        """
        async with self._loading:
            if not self._read:
                self._read = await self._load()
        return self._read

    async def read(self) -> StoredVersions | None:
        """Returns the stored versions; None if the store cannot be read."""
        match await self._row.read():
            case Failure(ports.StoreError.UNREADABLE) | Success(None):
                return {}
            case Failure(_):
                return None
            case Success(stored):
                return stored

    async def _load(self) -> bool:
        stored = await self.read()
        if stored is None:
            return False
        self._apply(stored)
        return True

    def _apply(self, stored: StoredVersions) -> None:
        now = asyncio.get_running_loop().time()
        for service, versions in stored.items():
            self._versions.record_earlier(service, versions, now)
        logger.info("versions.read", services=len(stored))
