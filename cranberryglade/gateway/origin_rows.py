"""Keeps origins of streams in the platform's store during a release.

Load pattern: all instances are killed at once while a service has several
software versions, and callers resume the streams that broke off. Those that
start find in the store which version began each of them. The store may be down
meanwhile, and the allocator may fail: what is not known to be stored is kept,
and written once the store is back, by whichever instance is the allocator then.

The first event of a stream waits until its origin is stored, so new origins are
written at once, one write at a time: the next takes all that came meanwhile.
How many instances there are does not change the number of writes.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
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
"""Time for which new origins are added to the same row; also from a write that
failed to the next."""

MIN_WRITE_PAUSE_SECONDS = 0.01
"""Least time from the end of a write to the next: with the time that the store
takes for each, they leave most of its rate to others."""

ROLE_SECONDS = 0.02
"""Time after which an instance that has origins looks whether it is the
allocator by now."""

ROWS = 256
"""Number of rows, written in turn: a row is replaced after 51 s or later unless
rows are full."""

MAX_RECORDS = 700
"""Most origins of one row."""

MAX_UNSAVED = 16 * MAX_RECORDS
"""Most origins that are kept until they are stored."""

MIN_READ_SECONDS = 0.5
"""For this long a read of the table serves all that look for an origin."""

logger = log.get_logger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Unsaved:
    """An origin that is not known to be stored.

    Attributes:
        record: the origin.
        sender: name of the instance that began the stream, "" if unknown.
    """

    record: datagrams.OriginRecord
    sender: str


class OriginRows:
    """Stores new origins while this is the allocator, and reads them."""

    __slots__ = (
        "_added",
        "_is_allocating",
        "_loading",
        "_next_row",
        "_on_stored",
        "_read_at",
        "_row_begun",
        "_row_records",
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
        self._added = asyncio.Event()
        self._on_stored: Callable[[str, list[str]], None] | None = None
        self._next_row: int | None = None
        self._row_begun = float("-inf")
        self._row_records: list[datagrams.OriginRecord] = []
        self._read_at = float("-inf")
        self._unreadable = bounded_warnings.BoundedWarning("origins.unreadable")
        self._unsaved: recent_map.RecentMap[str, Unsaved] = (
            recent_map.RecentMap(stream_origins.RETENTION_SECONDS, MAX_UNSAVED)
        )

    @property
    def unsaved_count(self) -> int:
        """Number of origins that this instance would store as allocator."""
        return len(self._unsaved)

    def set_listener(self, on_stored: Callable[[str, list[str]], None]) -> None:
        """Sets what is told that origins are stored.

        Args:
            on_stored: gets the name of the instance that sent them, and the ids
                of their attempts.
        """
        self._on_stored = on_stored

    def add(
        self, records: list[datagrams.OriginRecord], sender: str = ""
    ) -> None:
        """Adds origins that are to be stored if this is the allocator.

        Args:
            records: the origins.
            sender: name of the instance that began the streams.
        """
        now = asyncio.get_running_loop().time()
        for record in records:
            self._unsaved.set(record.attempt, Unsaved(record, sender), now)
        self._added.set()

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await self._wait_for_origins()
            self._unsaved.expire(asyncio.get_running_loop().time())
            if not self._is_allocating():
                # Another allocator writes rows meanwhile.
                self._next_row = None
            elif self._unsaved:
                saved = await self._save()
                await asyncio.sleep(
                    MIN_WRITE_PAUSE_SECONDS if saved else WRITE_SECONDS
                )

    async def _wait_for_origins(self) -> None:
        """Waits for a new one, or until it is time to look for the others."""
        if self._is_allocating() and self._unsaved:
            return
        seconds = ROLE_SECONDS if self._unsaved else WRITE_SECONDS
        try:
            async with asyncio.timeout(seconds):
                await self._added.wait()
        except TimeoutError:
            pass
        self._added.clear()

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

    async def _save(self) -> bool:
        """Writes new origins; returns whether they are stored."""
        if self._next_row is None:
            self._next_row = await self._find_next_row()
            self._row_begun = float("-inf")
            self._row_records = []
            if self._next_row is None:
                return False
        new = [
            unsaved
            for _, unsaved in itertools.islice(
                self._unsaved.items(), MAX_RECORDS
            )
        ]
        self._choose_row(len(new))
        records = self._row_records + [each.record for each in new]
        key = f"{self._next_row:03}"
        value = msgspec.json.encode(records)
        table = ports.Table.ORIGINS
        match await self._store.write(table, key, value, None):
            case Failure(error):
                logger.warning(
                    "origins.unsaved",
                    reason=error.value,
                    count=len(self._unsaved),
                )
                # It may still replace the row, seconds later.
                self._begin_row()
                return False
            case Success(_):
                self._row_records = records
                self._drop(new)
                return True

    def _choose_row(self, new: int) -> None:
        """Goes on to the next row if the present one is old or full."""
        now = asyncio.get_running_loop().time()
        if not self._row_records:
            self._row_begun = now
        elif (
            now - self._row_begun >= WRITE_SECONDS
            or len(self._row_records) + new > MAX_RECORDS
        ):
            self._begin_row()
            self._row_begun = now

    def _begin_row(self) -> None:
        self._next_row = (self._next_row + 1) % ROWS
        self._row_records = []

    def _drop(self, stored: list[Unsaved]) -> None:
        """Forgets what is stored, and tells those that sent it."""
        attempts: dict[str, list[str]] = collections.defaultdict(list)
        for each in stored:
            # A later origin of the same attempt is not stored yet.
            if self._unsaved.get(each.record.attempt) == each:
                self._unsaved.discard(each.record.attempt)
                attempts[each.sender].append(each.record.attempt)
        if self._on_stored is not None:
            for sender, stored_attempts in attempts.items():
                self._on_stored(sender, stored_attempts)

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
