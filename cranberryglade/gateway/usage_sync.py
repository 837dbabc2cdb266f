"""Keeps large usage of quotas in the platform's store.

Load pattern: all instances are killed at once while an organisation presses.
What it used is known to none of those that start; the store tells them.
"""

import asyncio

import msgspec
from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import allocation
from cranberryglade.gateway import charges
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import ports
from cranberryglade.gateway import quotas
from cranberryglade.gateway import state

WRITE_SECONDS = 0.5
"""Time between two writes of usage that changes."""

RETRY_SECONDS = 0.3

KEY = "usage"

logger = log.get_logger(__name__)


class UsageSync:
    """Reads the stored usage once; stores it while this is the allocator.

    Attributes:
        read: is set when the stored usage was read.
    """

    __slots__ = (
        "_allocator",
        "_charges",
        "_era",
        "_state",
        "_store",
        "_stored",
        "read",
    )

    def __init__(
        self,
        store: ports.Store,
        instance_state: state.InstanceState,
        charging: charges.Charges,
        allocator: allocation.SharedAllocator,
    ):
        self._store = store
        self._state = instance_state
        self._era: int | None = None
        self._charges = charging
        self._allocator = allocator
        self._stored: list[datagrams.QuotaUsage] | None = None
        self.read = asyncio.Event()

    async def run(self) -> None:
        """Runs until cancelled."""
        while not await self._load():
            await asyncio.sleep(RETRY_SECONDS)
        self.read.set()
        while True:
            await asyncio.sleep(WRITE_SECONDS)
            if self._allocator.is_allocating:
                await self._save_changes()
            else:
                # Another allocator may store something else.
                self._stored = None

    async def _save_changes(self) -> None:
        if self._state.store_era != self._era:
            # A store that came back from an old copy may have older usage.
            self._era = self._state.store_era
            self._stored = None
        now = asyncio.get_running_loop().time()
        usage = self._charges.usage_to_store(now)
        if usage != self._stored:
            await self._save(usage)

    async def _load(self) -> bool:
        match await self._store.read_row(ports.Table.USAGE, KEY):
            case Failure(error):
                logger.warning("usage.unread", reason=error.value)
                return False
            case Success(row):
                self._apply(row)
        return True

    def _apply(self, row: ports.Row) -> None:
        # The age of the row is not known. Without it, usage counts for longer.
        now = asyncio.get_running_loop().time()
        if row.value is None:
            self._charges.record_stored([], now)
            return
        try:
            stored = msgspec.json.decode(
                row.value, type=list[datagrams.QuotaUsage]
            )
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            logger.warning("usage.unreadable", problem=str(error))
            return
        self._charges.record_stored(quotas.decode_usage(stored, now), now)
        logger.info(
            "usage.read", organisations=len({u.organisation for u in stored})
        )

    async def _save(self, usage: list[datagrams.QuotaUsage]) -> None:
        value = msgspec.json.encode(usage)
        match await self._store.write(ports.Table.USAGE, KEY, value, None):
            case Failure(error):
                logger.warning("usage.unsaved", reason=error.value)
            case Success(_):
                self._stored = usage
