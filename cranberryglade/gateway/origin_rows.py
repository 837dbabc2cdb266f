"""Keeps origins of streams in the platform's store during a release.

Load pattern: all instances are killed at once while a service has several
software versions, and callers resume the streams that broke off. Those that
start find in the store which version began each of them. The store may be down
meanwhile, and the allocator may fail: what is not known to be stored is kept,
and written once the store is back, by whichever instance is the allocator then.
"""

import asyncio
from collections.abc import Callable
import itertools

import msgspec
from returns.result import Failure
from returns.result import Success

from cranberryglade import decoding
from cranberryglade import log
from cranberryglade import recent_map
from cranberryglade.gateway import bounded_warnings
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import ports
from cranberryglade.gateway import stream_origins

WRITE_SECONDS = 0.2
"""Time between two writes of new origins; each goes into a row of its own."""

ROWS = 256
"""Number of rows, written in turn: a row is replaced after 51 s."""

MAX_RECORDS = 700
"""Most origins of one row."""

MAX_UNSAVED = 16 * MAX_RECORDS
"""Most origins that are kept until they are stored."""

MIN_READ_SECONDS = 0.5
"""For this long a read of the table serves all that look for an origin."""

logger = log.get_logger(__name__)


class OriginRows:
    """Stores new origins while this is the allocator, and reads them."""

    __slots__ = (
        "_is_allocating",
        "_loading",
        "_next_row",
        "_read_at",
        "_store",
        "_unreadable",
        "_unsaved",
    )

    def __init__(self, store: ports.Store, is_allocating: Callable[[], bool]):
        """Initialises without origins.

        Args:
            store: client of the platform's store.
            is_allocating: says whether this instance is the allocator.
        """
        self._store = store
        self._is_allocating = is_allocating
        self._loading = asyncio.Lock()
        self._next_row: int | None = None
        self._read_at = float("-inf")
        self._unreadable = bounded_warnings.BoundedWarning("origins.unreadable")
        self._unsaved: recent_map.RecentMap[str, datagrams.OriginRecord] = (
            recent_map.RecentMap(stream_origins.RETENTION_SECONDS, MAX_UNSAVED)
        )

    @property
    def unsaved_count(self) -> int:
        """Number of origins that this instance would store as allocator."""
        return len(self._unsaved)

    def add(self, records: list[datagrams.OriginRecord]) -> None:
        """Adds origins that are to be stored if this is the allocator."""
        now = asyncio.get_running_loop().time()
        for record in records:
            self._unsaved.set(record.attempt, record, now)

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await asyncio.sleep(WRITE_SECONDS)
            self._unsaved.expire(asyncio.get_running_loop().time())
            if not self._is_allocating():
                # Another allocator writes rows meanwhile.
                self._next_row = None
            elif self._unsaved:
                await self._save()

    async def read(self) -> list[datagrams.OriginRecord]:
        """Returns the stored origins, the newest ones last.

        None if they were read just now.
        """
        async with self._loading:
            now = asyncio.get_running_loop().time()
            if now - self._read_at < MIN_READ_SECONDS:
                return []
            self._read_at = now
            match await self._store.read_table(ports.Table.ORIGINS):
                case Failure(error):
                    logger.warning("origins.unread", reason=error.value)
                    return []
                case Success(found):
                    rows = sorted(found.rows, key=lambda row: row.version)
                    return [each for row in rows for each in self._decode(row)]

    async def _save(self) -> None:
        if self._next_row is None:
            self._next_row = await self._find_next_row()
        if self._next_row is None:
            return
        records = [
            record
            for _, record in itertools.islice(
                self._unsaved.items(), MAX_RECORDS
            )
        ]
        # A write without an answer may still replace its row, seconds later.
        key = f"{self._next_row:03}"
        self._next_row = (self._next_row + 1) % ROWS
        value = msgspec.json.encode(records)
        table = ports.Table.ORIGINS
        match await self._store.write(table, key, value, None):
            case Failure(error):
                logger.warning(
                    "origins.unsaved",
                    reason=error.value,
                    count=len(self._unsaved),
                )
            case Success(_):
                self._drop(records)

    def _drop(self, records: list[datagrams.OriginRecord]) -> None:
        for record in records:
            # A later origin of the same attempt is not stored yet.
            if self._unsaved.get(record.attempt) == record:
                self._unsaved.discard(record.attempt)

    async def _find_next_row(self) -> int | None:
        """Returns the row after the one written last, by any allocator."""
        match await self._store.read_table(ports.Table.ORIGINS):
            case Failure(error):
                logger.warning("origins.unread", reason=error.value)
                return None
            case Success(found):
                rows = [row for row in found.rows if row.key.isdecimal()]
        if not rows:
            return 0
        newest = max(rows, key=lambda row: row.version)
        return (int(newest.key) + 1) % ROWS

    def _decode(self, row: ports.Row) -> list[datagrams.OriginRecord]:
        kind = list[datagrams.OriginRecord]
        match decoding.from_json(row.value or b"[]", kind):
            case Success(records):
                return records
            case Failure(problem):
                self._unreadable.log(key=row.key, problem=problem)
                return []
