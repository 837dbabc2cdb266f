"""Keeps large usage of quotas in the platform's store.

Load pattern: all instances are killed at once while an organisation presses.
What it used is known to none of those that start; the store tells them.
"""

import asyncio

from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import allocation
from cranberryglade.gateway import charges
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import ports
from cranberryglade.gateway import quotas
from cranberryglade.gateway import shared_row
from cranberryglade.gateway import state

RETRY_SECONDS = 0.3

KEY = "usage"

logger = log.get_logger(__name__)


class UsageSync:
    """Reads the stored usage once; stores it while this is the allocator.

    An allocator that stops stores it once more as another one takes over.

    Attributes:
        read: is set when the stored usage was read.
    """

    __slots__ = ("_allocator", "_charges", "_era", "_row", "_state", "read")

    def __init__(
        self,
        store: ports.Store,
        instance_state: state.InstanceState,
        charging: charges.Charges,
        allocator: allocation.SharedAllocator,
    ):
        self._state = instance_state
        self._era: int | None = None
        self._charges = charging
        self._allocator = allocator
        self._row = shared_row.SharedRow(store, KEY, list[datagrams.QuotaUsage])
        self.read = asyncio.Event()

    async def run(self) -> None:
        """Runs until cancelled."""
        while not self.read.is_set() and not await self._load():
            await asyncio.sleep(RETRY_SECONDS)
        self.read.set()
        handed_over = self._allocator.handed_over
        while True:
            await self._wait_for(handed_over)
            if handed_over.is_set():
                # What was used since it was stored last is known here only.
                handed_over.clear()
                await self._save_changes()
            elif self._allocator.is_allocating:
                await self._save_changes()
            else:
                # Another allocator may store something else.
                self._row.forget()

    async def _wait_for(self, handed_over: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(shared_row.WRITE_SECONDS):
                await handed_over.wait()
        except TimeoutError:
            pass

    async def _save_changes(self) -> None:
        if self._state.store_era != self._era:
            # A store that came back from an old copy may have older usage.
            self._era = self._state.store_era
            self._row.forget()
        now = asyncio.get_running_loop().time()
        await self._row.write(self._charges.usage_to_store(now))

    async def _load(self) -> bool:
        match await self._row.read():
            case Failure(ports.StoreError.UNREADABLE):
                # All of a quota may be used; it is granted as time passes.
                return True
            case Failure(_):
                return False
            case Success(stored):
                self._apply(stored or [])
        return True

    def _apply(self, stored: list[datagrams.QuotaUsage]) -> None:
        # The age of the row is not known. Without it, usage counts for longer.
        now = asyncio.get_running_loop().time()
        self._charges.record_stored(quotas.decode_usage(stored, now), now)
        logger.info(
            "usage.read", organisations=len({u.organisation for u in stored})
        )
