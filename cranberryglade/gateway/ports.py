"""Interfaces between the gateway and the platform that it runs on."""

import dataclasses
import enum
from typing import Protocol

from returns.result import Result

from cranberryglade.gateway import configuration
from cranberryglade.gateway import messages


class Table(enum.Enum):
    """The tables of the platform's store that an instance uses.

    Attributes:
        CONFIGURATION: the configuration of the gateways.
        ENDPOINTS: rows that the endpoints write themselves.
        MEMBERS: rows that the gateways write themselves.
        REVISIONS: revisions of the daemons' configuration.
        CLAIMS: callers' keys that daemons have claimed.
        LEASES: leases of endpoints for operators' orders.
        INSTANCES: daemons and their endpoints.
        QUARANTINE: prompt parts and requests that crash endpoints.
        USAGE: usage of quotas, and software versions in use.
        ORIGINS: what began recent streams, during a release.
        STATUS: states of rollouts, which the platform acts on.
    """

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    MEMBERS = "members"
    REVISIONS = "revisions"
    CLAIMS = "claims"
    LEASES = "leases"
    INSTANCES = "instances"
    QUARANTINE = "quarantine"
    USAGE = "usage"
    ORIGINS = "origins"
    STATUS = "status"


class StoreError(enum.Enum):
    """Why an operation of the store failed.

    Attributes:
        UNREACHABLE: no connection, or no answer in time.
        REFUSED: it answered with an error status that has no other meaning
            here.
        HISTORY_LOST: it no longer has the changes after the given version, or
            has come back from an old copy since.
        UNREADABLE: its answer could not be decoded.
        CONFLICT: a row did not have the expected version.
        ABSENT: there is no object of that name.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_LOST = "history_lost"
    UNREADABLE = "unreadable"
    CONFLICT = "conflict"
    ABSENT = "absent"


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Version:
    """Version of a row or of the whole store, ordered.

    Attributes:
        era: how often the store has come back from an old copy. Numbers of an
            earlier era may be given out again.
        number: the store's counter of transactions.
    """

    era: int
    number: int


NO_VERSION = Version(0, 0)
"""Version of an absent row; older than all others."""


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row of a table; `value` is None if it is removed or absent."""

    key: str
    version: Version
    value: bytes | None


@dataclasses.dataclass(slots=True, frozen=True)
class Rows:
    """Result of a read.

    Attributes:
        version: newest version of the whole store at the time of the read.
        rows: all rows of the table, or those that changed.
        made_at: when the answer was made, or the first page of it, seconds of
            a steady clock of the store; None if it does not say.
    """

    version: Version
    rows: list[Row]
    made_at: float | None = None

    @property
    def era(self) -> int:
        """Era of the store that the answer is of."""
        return self.version.era


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """A change of one row.

    Attributes:
        table: table of the row.
        key: key of the row.
        value: new value; None removes the row.
        expected: version that the row must have before, NO_VERSION for an
            absent row; None for any. Its era is not part of the condition.
    """

    table: Table
    key: str
    value: bytes | None
    expected: Version | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Committed:
    """All writes were applied; `version` is the store's new version."""

    version: Version


@dataclasses.dataclass(slots=True, frozen=True)
class Conflicting:
    """No write was applied, since a row did not have the expected version.

    Attributes:
        rows: the present rows, without those that are absent.
    """

    rows: list[Row]


class Store(Protocol):
    """Client of the platform's store."""

    async def read_row(self, table: Table, key: str) -> Result[Row, StoreError]:
        """Returns one row; its version is 0 if it is absent."""

    async def transact(
        self, writes: list[Write]
    ) -> Result[Committed | Conflicting, StoreError]:
        """Applies all writes or none."""

    async def put_object(
        self, name: str, data: bytes
    ) -> Result[None, StoreError]:
        """Stores an object under a name."""

    async def get_object(self, name: str) -> Result[bytes, StoreError]:
        """Returns an object, or `StoreError.ABSENT`."""

    async def read_table(self, table: Table) -> Result[Rows, StoreError]:
        """Returns all rows of a table."""

    async def changes(
        self, table: Table, after: Version, wait_seconds: float
    ) -> Result[Rows, StoreError]:
        """Waits for rows that changed after a version, up to a time."""

    async def write(
        self,
        table: Table,
        key: str,
        value: bytes | None,
        expected: Version | None,
    ) -> Result[Version, StoreError]:
        """Writes a row, or removes it; returns the store's new version."""


class Decoder(Protocol):
    """Decodes rows of the platform into the gateway's types."""

    def decode_configuration(
        self, row: Row
    ) -> Result[configuration.Configuration, str] | None:
        """Decodes the configuration; returns None for any other row."""

    def decode_endpoint(self, row: Row) -> Result[messages.Endpoint, str]:
        """Decodes an endpoint's row, or returns why it cannot be decoded."""
