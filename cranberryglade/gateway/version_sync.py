"""Keeps the software versions of each service in the platform's store.

Load pattern: all instances are killed at once during a release, and callers
resume the streams that broke off. Those that start know neither what began a
stream nor, once its endpoints have left, that there was another version. The
store tells them, so that a stream is not continued at the version that happens
to be left.
"""

import asyncio

import msgspec
from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import allocation
from cranberryglade.gateway import ports
from cranberryglade.gateway import software_versions

WRITE_SECONDS = 0.5
"""Time between two looks for changes that are to be stored."""

KEY = "versions"

logger = log.get_logger(__name__)

StoredVersions = dict[str, list[str]]
"""Versions that each service had lately, sorted."""


class VersionSync:
    """Stores the versions while this is the allocator; reads them once."""

    __slots__ = (
        "_allocator",
        "_loading",
        "_read",
        "_store",
        "_stored",
        "_versions",
    )

    def __init__(
        self,
        store: ports.Store,
        versions: software_versions.SoftwareVersions,
        allocator: allocation.SharedAllocator,
    ):
        self._store = store
        self._versions = versions
        self._allocator = allocator
        self._loading = asyncio.Lock()
        self._read = False
        self._stored: StoredVersions | None = None

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await asyncio.sleep(WRITE_SECONDS)
            if self._allocator.is_allocating:
                await self._save_changes()
            else:
                # Another allocator may store something else.
                self._stored = None

    async def load(self) -> bool:
        """Learns the versions before the start; returns whether it did.

        The store is read once, when they are first needed.
        """
        async with self._loading:
            if not self._read:
                self._read = await self._load()
        return self._read

    async def _save_changes(self) -> None:
        # What an allocator before this one stored must not be forgotten.
        if not await self.load():
            return
        now = asyncio.get_running_loop().time()
        versions = self._versions.by_service(now)
        if versions == self._stored:
            return
        value = msgspec.json.encode(versions)
        match await self._store.write(ports.Table.USAGE, KEY, value, None):
            case Failure(error):
                logger.warning("versions.unsaved", reason=error.value)
            case Success(_):
                self._stored = versions

    async def _load(self) -> bool:
        match await self._store.read_row(ports.Table.USAGE, KEY):
            case Failure(error):
                logger.warning("versions.unread", reason=error.value)
                return False
            case Success(row):
                return self._apply(row)

    def _apply(self, row: ports.Row) -> bool:
        if row.value is None:
            return True
        try:
            stored = msgspec.json.decode(row.value, type=StoredVersions)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            logger.warning("versions.unreadable", problem=str(error))
            return False
        now = asyncio.get_running_loop().time()
        for service, versions in stored.items():
            self._versions.record_earlier(service, versions, now)
        logger.info("versions.read", services=len(stored))
        return True
