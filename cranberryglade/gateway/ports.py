"""What the gateway needs of the platform that it runs on."""

import dataclasses
import enum
from typing import Protocol

from returns.result import Result

from cranberryglade.gateway import catalogue
from cranberryglade.gateway import messages


class Table(enum.Enum):
    """The tables of the platform's store that an instance uses.

    Attributes:
        CONFIGURATION: holds the catalogue of the gateways.
        ENDPOINTS: the endpoints' own entries.
        MEMBERS: the gateways' entries.
        REVISIONS: versions of the daemons' configuration.
        CLAIMS: callers' keys that daemons have claimed.
        LEASES: of endpoints, for orders to them.
        INSTANCES: daemons and their endpoints.
    """

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    MEMBERS = "members"
    REVISIONS = "revisions"
    CLAIMS = "claims"
    LEASES = "leases"
    INSTANCES = "instances"


class StoreError(enum.Enum):
    """Why the store gave no rows.

    Attributes:
        UNREACHABLE: no connection, or no answer in time.
        REFUSED: it answered that it will not do this now.
        HISTORY_LOST: the changes asked for are no longer known.
        UNREADABLE: its answer could not be decoded.
        CONFLICT: a row was not in the expected version.
        ABSENT: there is no object of that name.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_LOST = "history_lost"
    UNREADABLE = "unreadable"
    CONFLICT = "conflict"
    ABSENT = "absent"


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row of a table; `value` is None once it is removed."""

    key: str
    version: int
    value: bytes | None


@dataclasses.dataclass(slots=True, frozen=True)
class Rows:
    """What a read gave.

    Attributes:
        version: newest version of the store at that moment.
        rows: the rows, or those that changed.
    """

    version: int
    rows: list[Row]


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """A change of one row.

    Attributes:
        table: its table.
        key: its key.
        value: what to store; None removes the row.
        expected: version that it must have, 0 for absent; None for any.
    """

    table: Table
    key: str
    value: bytes | None
    expected: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Committed:
    """All writes took effect, as that version of the store."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflicting:
    """None took effect; `rows` are the present ones, absent ones left out."""

    rows: list[Row]


class Store(Protocol):
    """The platform's store."""

    async def row(self, table: Table, key: str) -> Result[Row, StoreError]:
        """Reads one row; version 0 if it is absent."""

    async def transact(
        self, writes: list[Write]
    ) -> Result[Committed | Conflicting, StoreError]:
        """Makes all writes or none."""

    async def put_object(
        self, name: str, data: bytes
    ) -> Result[None, StoreError]:
        """Stores an object."""

    async def get_object(self, name: str) -> Result[bytes, StoreError]:
        """Reads an object."""

    async def read(self, table: Table) -> Result[Rows, StoreError]:
        """Reads a whole table."""

    async def changes(
        self, table: Table, after: int, wait_seconds: float
    ) -> Result[Rows, StoreError]:
        """Waits for rows that changed after a version."""

    async def write(
        self, table: Table, key: str, value: bytes | None, expected: int | None
    ) -> Result[int, StoreError]:
        """Writes a row, or removes it; returns the new version."""


class Decoder(Protocol):
    """Decodes rows of the platform into the gateway's types."""

    def catalogue(self, row: Row) -> Result[catalogue.Catalogue, str] | None:
        """Reads a row as the configuration; None if it is another row."""

    def endpoint(self, row: Row) -> Result[messages.Endpoint, str]:
        """Reads a row as an endpoint."""
