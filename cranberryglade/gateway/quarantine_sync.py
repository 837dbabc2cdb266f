"""Keeps the quarantine of parts of requests in the platform's store.

Instances tell each other of it with their heartbeats; the store keeps it for
those that start when no other is running.
"""

import asyncio

import msgspec
from returns.result import Failure
from returns.result import Success
import xxhash

from cranberryglade import decoding
from cranberryglade import log
from cranberryglade import quarantine
from cranberryglade.gateway import bounded_warnings
from cranberryglade.gateway import ports
from cranberryglade.gateway import state

CHECK_SECONDS = 0.5
"""Time between two looks for changes that are to be stored."""

RETRY_SECONDS = 1.0

logger = log.get_logger(__name__)


class EntryRow(msgspec.Struct):
    """A quarantine as it is stored.

    Attributes:
        parts: ids of the parts, as in `crash_evidence`.
        seconds: how long it lasts, at the instance that reads it.
        generation: as in `quarantine.Entry`.
    """

    parts: list[str]
    seconds: decoding.Quantity
    generation: decoding.Count


class QuarantineSync:
    """Reads the stored quarantine once, then stores each change made here."""

    __slots__ = ("_era", "_quarantine", "_state", "_store", "_unreadable")

    def __init__(self, store: ports.Store, instance_state: state.InstanceState):
        self._store = store
        self._state = instance_state
        self._quarantine = instance_state.quarantine
        self._era: int | None = None
        self._unreadable = bounded_warnings.BoundedWarning(
            "quarantine.unreadable"
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        while not await self._load():
            await asyncio.sleep(RETRY_SECONDS)
        self._era = self._state.store_era
        while True:
            self._notice_restore()
            changed = self._quarantine.take_unsaved()
            if changed and not await self._save(changed):
                await asyncio.sleep(RETRY_SECONDS)
            await asyncio.sleep(CHECK_SECONDS)

    def _notice_restore(self) -> None:
        # A store that came back from an old copy may have lost rows.
        if self._state.store_era != self._era:
            self._era = self._state.store_era
            self._quarantine.save_again(
                each for each in self._quarantine.entries if not each.lifted
            )

    async def _load(self) -> bool:
        match await self._store.read_table(ports.Table.QUARANTINE):
            case Failure(error):
                logger.warning("quarantine.unread", reason=error.value)
                return False
            case Success(read):
                for row in read.rows:
                    self._apply(row)
        return True

    def _apply(self, row: ports.Row) -> None:
        match decoding.from_json(row.value, EntryRow):
            case Success(stored):
                pass
            case Failure(problem):
                self._unreadable.log(key=row.key, problem=problem)
                return
        now = asyncio.get_running_loop().time()
        entry = quarantine.Entry(
            tuple(stored.parts), now + stored.seconds, stored.generation
        )
        self._quarantine.merge(entry, now, "store")

    async def _save(self, changed: list[quarantine.Entry]) -> bool:
        now = asyncio.get_running_loop().time()
        for position, entry in enumerate(changed):
            row = EntryRow(
                list(entry.parts), entry.until - now, entry.generation
            )
            # A part's id may be longer than a key.
            key = xxhash.xxh64_hexdigest(",".join(entry.parts).encode())
            value = None if entry.lifted else msgspec.json.encode(row)
            if not await self._write(key, value):
                self._quarantine.save_again(changed[position:])
                return False
        return True

    async def _write(self, key: str, value: bytes | None) -> bool:
        table = ports.Table.QUARANTINE
        match await self._store.write(table, key, value, None):
            case Failure(error):
                logger.warning("quarantine.unsaved", reason=error.value)
                return False
        return True
