"""One row of the platform's store that the allocator keeps up to date."""

from typing import Generic
from typing import TypeVar

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import decoding
from cranberryglade import log
from cranberryglade.gateway import ports

WRITE_SECONDS = 0.5
"""Time between two looks for changes that are to be stored."""

Value = TypeVar("Value")

logger = log.get_logger(__name__)


class SharedRow(Generic[Value]):
    """A value of all instances, stored as JSON under a key."""

    __slots__ = ("_key", "_store", "_stored", "_type")

    def __init__(self, store: ports.Store, key: str, value_type: type[Value]):
        """Connects it to the store, without reading the row.

        Args:
            store: client of the platform's store.
            key: key of the row, which also names it in the log.
            value_type: type of the value.
        """
        self._store = store
        self._key = key
        self._type = value_type
        self._stored: Value | None = None

    async def read(self) -> Result[Value | None, ports.StoreError]:
        """Returns the value, None if there is none, or why it is unknown."""
        match await self._store.read_row(ports.Table.USAGE, self._key):
            case Failure(error):
                logger.warning(f"{self._key}.unread", reason=error.value)
                return Failure(error)
            case Success(row):
                return self._decode(row)

    async def write(self, value: Value) -> None:
        """Stores a value, unless it is the one that was stored last."""
        if value == self._stored:
            return
        encoded = msgspec.json.encode(value)
        table = ports.Table.USAGE
        match await self._store.write(table, self._key, encoded, None):
            case Failure(error):
                logger.warning(f"{self._key}.unsaved", reason=error.value)
            case Success(_):
                self._stored = value

    def forget(self) -> None:
        """Stores the next value in any case: the row may have another one."""
        self._stored = None

    def _decode(self, row: ports.Row) -> Result[Value | None, ports.StoreError]:
        if row.value is None:
            return Success(None)
        return decoding.from_json(row.value, self._type).alt(
            self._report_unreadable
        )

    def _report_unreadable(self, problem: str) -> ports.StoreError:
        logger.warning(f"{self._key}.unreadable", problem=problem)
        return ports.StoreError.UNREADABLE
