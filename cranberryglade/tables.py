"""Rows with numbers of their own, objects and the list of instances.

The store's versions count its transactions. The daemons count the writes of
each row, as their configuration's versions and their fencing numbers do; that
number is kept beside the value.
"""

import asyncio
import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import wire
from cranberryglade.gateway import ports


class PlatformError(Exception):
    """The platform did not answer; a write may have taken effect."""


class NumberedRow(wire.Document):
    """What a row of the store holds.

    Attributes:
        number: how many times it has been written.
        value: the value itself.
    """

    number: int
    value: str


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One row; version 0 means that it is absent.

    Attributes:
        value: what is stored; "" if absent.
        version: number that each write raises by one.
    """

    value: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class RowWrite:
    """One conditional write.

    Attributes:
        table: the table.
        key: key of the row.
        expected_version: version that the row must have; 0 for absent.
        value: what to store.
    """

    table: ports.Table
    key: str
    expected_version: int
    value: str


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """Answer to a transaction.

    Attributes:
        committed: whether the writes took effect.
        conflicts: indices of the writes whose version did not match.
    """

    committed: bool
    conflicts: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class TaggedList:
    """What a conditional read of the list gave.

    Attributes:
        tag: names the state of the list, for the next read.
        instances: the list; None if it is unchanged.
    """

    tag: str
    instances: list[wire.InstanceDocument] | None


class Tables:
    """The daemons' tables in the platform's store."""

    __slots__ = ("_store",)

    def __init__(self, store: ports.Store):
        self._store = store

    async def instances(
        self, tag: str, **wanted: str
    ) -> Result[TaggedList, PlatformError]:
        """Reads the lagging list of live and leaving instances.

        Args:
            tag: what the last read gave; "" for the first.
            **wanted: values that fields of the instances must have.
        """
        if tag:
            match await self._store.changes(
                ports.Table.INSTANCES, int(tag), 0.0
            ):
                case Success(ports.Rows(rows=[])):
                    return Success(TaggedList(tag, None))
        match await self._store.read(ports.Table.INSTANCES):
            case Failure(error):
                return _failed(error)
            case Success(read):
                return _listed(read, wanted)

    async def row(
        self, table: ports.Table, key: str
    ) -> Result[Row, PlatformError]:
        """Reads a row; version 0 means that there is none."""
        match await self._store.row(table, key):
            case Success(row):
                return _numbered(row)
            case Failure(error):
                return _failed(error)

    async def transact(
        self, writes: list[RowWrite]
    ) -> Result[Outcome, PlatformError]:
        """Makes conditional writes, all or none."""
        conditions = await asyncio.gather(*map(self._condition, writes))
        conflicts = []
        for index, condition in enumerate(conditions):
            match condition:
                case Failure(_):
                    return condition
                case Success(None):
                    conflicts.append(index)
        if conflicts:
            return Success(Outcome(False, conflicts))
        made = await self._store.transact(
            [
                ports.Write(
                    write.table, write.key, _value(write), condition.unwrap()
                )
                for write, condition in zip(writes, conditions, strict=True)
            ]
        )
        match made:
            case Failure(error):
                return _failed(error)
            case Success(ports.Committed()):
                return Success(Outcome(True))
            case Success(ports.Conflicting(rows)):
                present = {row.key: row.version for row in rows}
                conflicts = [
                    index
                    for index, condition in enumerate(conditions)
                    if present.get(writes[index].key, 0) != condition.unwrap()
                ]
                return Success(Outcome(False, conflicts))

    async def put_object(
        self, name: str, data: bytes
    ) -> Result[None, PlatformError]:
        """Stores an object."""
        stored = await self._store.put_object(name, data)
        return stored.alt(lambda error: PlatformError(error.value))

    async def get_object(self, name: str) -> Result[bytes, PlatformError]:
        """Reads an object; empty if it is absent."""
        match await self._store.get_object(name):
            case Failure(ports.StoreError.ABSENT):
                return Success(b"")
            case read:
                return read.alt(lambda error: PlatformError(error.value))

    async def _condition(
        self, write: RowWrite
    ) -> Result[int | None, PlatformError]:
        """The store's version of a row; None if its number is another one."""
        if write.expected_version == 0:
            return Success(0)
        match await self._store.row(write.table, write.key):
            case Failure(error):
                return _failed(error)
            case Success(row):
                same = write.expected_version
                return _numbered(row).map(
                    lambda read: row.version if read.version == same else None
                )


def _value(write: RowWrite) -> bytes:
    return wire.encode(
        NumberedRow(number=write.expected_version + 1, value=write.value)
    )


def _numbered(row: ports.Row) -> Result[Row, PlatformError]:
    if row.value is None:
        return Success(Row("", 0))
    read = wire.decode(row.value, NumberedRow).alt(PlatformError)
    return read.map(lambda held: Row(held.value, held.number))


def _listed(
    read: ports.Rows, wanted: dict[str, str]
) -> Result[TaggedList, PlatformError]:
    found = []
    for row in read.rows:
        match wire.decode(row.value or b"", wire.InstanceDocument):
            case Failure(problem):
                return Failure(PlatformError(f"{row.key}: {problem}"))
            case Success(instance):
                found.append(instance)
    matching = [
        instance
        for instance in found
        if all(getattr(instance, name) == wanted[name] for name in wanted)
    ]
    return Success(TaggedList(str(read.version), matching))


def _failed(error: ports.StoreError) -> Failure:
    return Failure(PlatformError(error.value))
