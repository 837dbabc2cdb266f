"""Client of the platform's store."""

import base64
import urllib.parse

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import decoding
from cranberryglade.gateway import fetching
from cranberryglade.gateway import ports
from cranberryglade.gateway import store_clock
from cranberryglade.store_calls import pages
from cranberryglade.store_calls import replies

TABLES = {
    ports.Table.CONFIGURATION: "op",
    ports.Table.ENDPOINTS: "servers",
    ports.Table.MEMBERS: "cranberryglade-members",
    ports.Table.REVISIONS: "cranberryglade-revisions",
    ports.Table.CLAIMS: "cranberryglade-claims",
    ports.Table.LEASES: "cranberryglade-leases",
    ports.Table.INSTANCES: "cranberryglade-instances",
    ports.Table.QUARANTINE: "cranberryglade-quarantine",
    ports.Table.USAGE: "cranberryglade-usage",
    ports.Table.ORIGINS: "cranberryglade-origins",
    ports.Table.STATUS: "status",
}
PAGE_ROWS = 500
READ_TIMEOUT_SECONDS = 2.0
WRITE_TIMEOUT_SECONDS = 3.0

ERA_HEADER = b"store-era"
"""How often the store has come back from an old copy."""


class WireRow(msgspec.Struct):
    """A row; `ver` is its version, `value` is encoded as base64."""

    key: str
    table: str = ""
    ver: decoding.Count = 0
    value: str = ""
    deleted: bool = False


class WireRows(msgspec.Struct):
    """Reply to a read; `ver` is the newest version of the whole store."""

    ver: decoding.Count
    rows: list[WireRow] = []
    has_more: bool = False
    now_ms: object = None


class Written(msgspec.Struct):
    """Reply to an applied transaction; `ver` is the version it created."""

    ver: decoding.Count


class Refused(msgspec.Struct):
    """Reply to a transaction that was rejected by its conditions.

    Attributes:
        rows: the present rows that the conditions name.
    """

    rows: list[WireRow] = []


class RowName(msgspec.Struct):
    """Identity of a row; the project keeps all its rows in one part, ""."""

    table: str
    key: str
    part: str = ""


class Condition(RowName, kw_only=True):
    """A row and the version that it must have; 0 for an absent row."""

    ver: int


class Put(RowName, kw_only=True):
    """A row and its new value, encoded as base64."""

    value: str


class Transaction(msgspec.Struct):
    """A request to apply all changes or none.

    Attributes:
        expected_revision: conditions that all must hold.
        puts: rows to write.
        remove: rows to remove.
    """

    expected_revision: list[Condition]
    puts: list[Put]
    remove: list[RowName]


class StoreClient:
    """Reads and writes rows and objects over HTTP."""

    __slots__ = ("_fetcher", "_read_seconds", "_write_seconds")

    def __init__(
        self,
        address: str,
        read_seconds: float = READ_TIMEOUT_SECONDS,
        write_seconds: float = WRITE_TIMEOUT_SECONDS,
    ):
        """Creates a client without connecting.

        Args:
            address: host and port of the store.
            read_seconds: timeout of a read.
            write_seconds: timeout of a write.
        """
        self._fetcher = fetching.Fetcher(address)
        self._read_seconds = read_seconds
        self._write_seconds = write_seconds

    def close(self) -> None:
        """Closes the idle connections."""
        self._fetcher.close()

    async def read_row(
        self, table: ports.Table, key: str
    ) -> Result[ports.Row, ports.StoreError]:
        """Returns one row; its version is 0 if it is absent."""
        query = {"table": TABLES[table], "part": "", "limit": 1}
        query |= {"from": key, "to": key + "\0"}
        page = await self._fetch_rows("/rows-get", query, self._read_seconds)
        absent = ports.Row(key, ports.NO_VERSION, None)
        return page.map(
            lambda found: found.read.rows[0] if found.read.rows else absent
        )

    async def read_table(
        self, table: ports.Table
    ) -> Result[ports.Rows, ports.StoreError]:
        """Returns all rows of a table, read in pages."""
        query = {"table": TABLES[table], "part": "", "limit": PAGE_ROWS}
        return await pages.collect(
            lambda start: self._fetch_rows(
                "/rows-get",
                query | ({"from": start} if start else {}),
                self._read_seconds,
            )
        )

    async def changes(
        self, table: ports.Table, after: ports.Version, wait_seconds: float
    ) -> Result[ports.Rows, ports.StoreError]:
        """Waits for rows that changed after a version, by a long poll.

        Args:
            table: the table.
            after: version after which changes are reported.
            wait_seconds: longest wait; the result has no rows if none changed.
        """
        query = {
            "table": TABLES[table],
            "after": after.number,
            "wait_ms": int(wait_seconds * 1000),
        }
        timeout = wait_seconds + self._read_seconds
        page = await self._fetch_rows("/rows-feed", query, timeout)
        match page:
            case Success(pages.Page(read)) if read.version.era != after.era:
                return Failure(ports.StoreError.HISTORY_LOST)
            case _:
                return page.map(lambda found: found.read)

    async def write(
        self,
        table: ports.Table,
        key: str,
        value: bytes | None,
        expected: ports.Version | None = None,
    ) -> Result[ports.Version, ports.StoreError]:
        """Writes a row, or removes it; returns the store's new version."""
        result = await self.transact([ports.Write(table, key, value, expected)])
        match result:
            case Success(ports.Committed(version)):
                return Success(version)
            case Success(_):
                return Failure(ports.StoreError.CONFLICT)
            case failure:
                return failure

    async def transact(
        self, writes: list[ports.Write]
    ) -> Result[ports.Committed | ports.Conflicting, ports.StoreError]:
        """Applies all writes or none."""
        body = msgspec.json.encode(_transaction(writes))
        call = fetching.Call("POST", "/rows-tx", body, self._write_seconds)
        match await self._fetcher.fetch(call):
            case Success(fetching.Reply(status=412) as reply):
                era = _era(reply)
                return replies.decode(reply.body, Refused).map(
                    lambda wire: ports.Conflicting(
                        [_row(each, era) for each in wire.rows]
                    )
                )
            case Success(reply):
                era = _era(reply)
                return replies.decode_reply(Success(reply), Written).map(
                    lambda wire: ports.Committed(ports.Version(era, wire.ver))
                )
            case failure:
                return replies.body(failure)

    async def put_object(
        self, name: str, data: bytes
    ) -> Result[None, ports.StoreError]:
        """Stores an object under a name."""
        target = f"/blob-put/{urllib.parse.quote(name, safe='')}"
        call = fetching.Call("PUT", target, data, self._write_seconds)
        reply = replies.body(await self._fetcher.fetch(call))
        return reply.map(lambda body: None)

    async def get_object(self, name: str) -> Result[bytes, ports.StoreError]:
        """Returns an object, or `ports.StoreError.ABSENT`."""
        target = f"/blob-get/{urllib.parse.quote(name, safe='')}"
        call = fetching.Call("GET", target, b"", self._read_seconds)
        return replies.body(await self._fetcher.fetch(call))

    async def _fetch_rows(self, path: str, query: dict, timeout: float):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        call = fetching.Call("GET", target, b"", timeout)
        match await self._fetcher.fetch(call):
            case Success(reply):
                era = _era(reply)
                return replies.decode_reply(Success(reply), WireRows).map(
                    lambda wire: _page(wire, era)
                )
            case failure:
                return replies.body(failure)


def _era(reply: fetching.Reply) -> int:
    for header in reply.headers:
        if header.name.lower() == ERA_HEADER:
            return decoding.parse_count(header.value.decode("latin-1")) or 0
    return 0


def _transaction(writes: list[ports.Write]) -> Transaction:
    transaction = Transaction([], [], [])
    for write in writes:
        table = TABLES[write.table]
        if write.expected is not None:
            transaction.expected_revision.append(
                Condition(table, write.key, ver=write.expected.number)
            )
        if write.value is None:
            transaction.remove.append(RowName(table, write.key))
        else:
            value = base64.b64encode(write.value).decode()
            transaction.puts.append(Put(table, write.key, value=value))
    return transaction


def _page(wire: WireRows, era: int) -> pages.Page:
    rows = [_row(each, era) for each in wire.rows]
    now = store_clock.to_seconds(wire.now_ms)
    return pages.Page(
        ports.Rows(ports.Version(era, wire.ver), rows, now), wire.has_more
    )


def _row(wire: WireRow, era: int) -> ports.Row:
    try:
        value = base64.b64decode(wire.value, validate=True)
    except ValueError:
        value = b""
    version = ports.Version(era, wire.ver)
    return ports.Row(wire.key, version, None if wire.deleted else value)
