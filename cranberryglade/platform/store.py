"""Client of the platform's store."""

import base64
import urllib.parse

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade.gateway import fetching
from cranberryglade.gateway import ports

TABLES = {
    ports.Table.CONFIGURATION: "op",
    ports.Table.ENDPOINTS: "servers",
    ports.Table.MEMBERS: "cranberryglade-members",
    ports.Table.REVISIONS: "cranberryglade-revisions",
    ports.Table.CLAIMS: "cranberryglade-claims",
    ports.Table.LEASES: "cranberryglade-leases",
    ports.Table.INSTANCES: "cranberryglade-instances",
}
PAGE_ROWS = 500
READ_SECONDS = 2.0
WRITE_SECONDS = 3.0

STATUS_ERRORS = {
    404: ports.StoreError.ABSENT,
    410: ports.StoreError.HISTORY_LOST,
    412: ports.StoreError.CONFLICT,
}


class WireRow(msgspec.Struct):
    """A row; `ver` is its version, `value` is base64."""

    key: str
    table: str = ""
    ver: int = 0
    value: str = ""
    deleted: bool = False


class WireRows(msgspec.Struct):
    """Rows of a read; `ver` is the newest version of the whole store."""

    ver: int
    rows: list[WireRow] = []
    has_more: bool = False


class Written(msgspec.Struct):
    """Answer to a transaction; `ver` is the version that it made."""

    ver: int


class Refused(msgspec.Struct):
    """Answer to a transaction whose conditions did not hold."""

    rows: list[WireRow] = []


class RowName(msgspec.Struct):
    """What identifies a row; all of the project's lie in one part."""

    table: str
    key: str
    part: str = ""


class Condition(RowName, kw_only=True):
    """A row and the version that it must have."""

    ver: int


class Put(RowName, kw_only=True):
    """A row and its new value in base64."""

    value: str


class Transaction(msgspec.Struct):
    """A call that applies all of its entries or none."""

    expected_revision: list[Condition]
    puts: list[Put]
    remove: list[RowName]


class StoreClient:
    """Reads and writes rows over HTTP."""

    __slots__ = ("_fetcher", "_read_seconds", "_write_seconds")

    def __init__(
        self,
        address: str,
        read_seconds: float = READ_SECONDS,
        write_seconds: float = WRITE_SECONDS,
    ):
        """Sets it up.

        Args:
            address: host and port of the store.
            read_seconds: time until the answer to a read.
            write_seconds: the same for a write.
        """
        self._fetcher = fetching.Fetcher(address)
        self._read_seconds = read_seconds
        self._write_seconds = write_seconds

    def close(self) -> None:
        """Drops the kept connections."""
        self._fetcher.close()

    async def row(
        self, table: ports.Table, key: str
    ) -> Result[ports.Row, ports.StoreError]:
        """Reads one row; version 0 if it is absent."""
        query = {
            "table": TABLES[table],
            "part": "",
            "from": key,
            "to": key + "\0",
            "limit": 1,
        }
        page = await self._rows("/rows-get", query, self._read_seconds)
        absent = ports.Row(key, 0, None)
        return page.map(
            lambda wire: _row(wire.rows[0]) if wire.rows else absent
        )

    async def read(
        self, table: ports.Table
    ) -> Result[ports.Rows, ports.StoreError]:
        """Reads a whole table, page by page."""
        rows: list[ports.Row] = []
        start = ""
        while True:
            query = {"table": TABLES[table], "part": "", "limit": PAGE_ROWS}
            if start:
                query["from"] = start
            page = await self._rows("/rows-get", query, self._read_seconds)
            match page:
                case Success(wire):
                    rows += [_row(each) for each in wire.rows]
                    if not wire.has_more or not wire.rows:
                        return Success(ports.Rows(wire.ver, rows))
                    start = wire.rows[-1].key + "\0"
                case Failure(_):
                    return page

    async def changes(
        self, table: ports.Table, after: int, wait_seconds: float
    ) -> Result[ports.Rows, ports.StoreError]:
        """Waits for rows that changed after a version."""
        query = {
            "table": TABLES[table],
            "after": after,
            "wait_ms": int(wait_seconds * 1000),
        }
        timeout = wait_seconds + self._read_seconds
        page = await self._rows("/rows-feed", query, timeout)
        return page.map(
            lambda wire: ports.Rows(wire.ver, [_row(r) for r in wire.rows])
        )

    async def write(
        self,
        table: ports.Table,
        key: str,
        value: bytes | None,
        expected: int | None = None,
    ) -> Result[int, ports.StoreError]:
        """Writes a row, or removes it; returns the store's new version."""
        made = await self.transact([ports.Write(table, key, value, expected)])
        match made:
            case Success(ports.Committed(version)):
                return Success(version)
            case Success(_):
                return Failure(ports.StoreError.CONFLICT)
            case failure:
                return failure

    async def transact(
        self, writes: list[ports.Write]
    ) -> Result[ports.Committed | ports.Conflicting, ports.StoreError]:
        """Makes all writes or none."""
        body = msgspec.json.encode(_transaction(writes))
        call = fetching.Call("POST", "/rows-tx", body, self._write_seconds)
        match await self._fetcher.fetch(call):
            case Success(fetching.Reply(status=412, body=body)):
                return _decoded(body, Refused).map(
                    lambda wire: ports.Conflicting([_row(r) for r in wire.rows])
                )
            case reply:
                return _answer(reply, Written).map(
                    lambda wire: ports.Committed(wire.ver)
                )

    async def put_object(
        self, name: str, data: bytes
    ) -> Result[None, ports.StoreError]:
        """Stores an object."""
        target = f"/blob-put/{urllib.parse.quote(name, safe='')}"
        call = fetching.Call("PUT", target, data, self._write_seconds)
        reply = _whole(await self._fetcher.fetch(call))
        return reply.map(lambda body: None)

    async def get_object(self, name: str) -> Result[bytes, ports.StoreError]:
        """Reads an object."""
        target = f"/blob-get/{urllib.parse.quote(name, safe='')}"
        call = fetching.Call("GET", target, b"", self._read_seconds)
        return _whole(await self._fetcher.fetch(call))

    async def _rows(self, path: str, query: dict, timeout: float):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        call = fetching.Call("GET", target, b"", timeout)
        return _answer(await self._fetcher.fetch(call), WireRows)


def _whole(
    reply: Result[fetching.Reply, str],
) -> Result[bytes, ports.StoreError]:
    match reply:
        case Failure(_):
            return Failure(ports.StoreError.UNREACHABLE)
        case Success(fetching.Reply(status=200, body=body)):
            return Success(body)
        case Success(other):
            refused = ports.StoreError.REFUSED
            return Failure(STATUS_ERRORS.get(other.status, refused))


def _answer(reply: Result[fetching.Reply, str], kind: type):
    return _whole(reply).bind(lambda body: _decoded(body, kind))


def _decoded(body: bytes, kind: type):
    try:
        return Success(msgspec.json.decode(body, type=kind))
    except msgspec.DecodeError:
        return Failure(ports.StoreError.UNREADABLE)


def _transaction(writes: list[ports.Write]) -> Transaction:
    made = Transaction([], [], [])
    for write in writes:
        table = TABLES[write.table]
        if write.expected is not None:
            made.expected_revision.append(
                Condition(table, write.key, ver=write.expected)
            )
        if write.value is None:
            made.remove.append(RowName(table, write.key))
        else:
            value = base64.b64encode(write.value).decode()
            made.puts.append(Put(table, write.key, value=value))
    return made


def _row(wire: WireRow) -> ports.Row:
    try:
        value = base64.b64decode(wire.value, validate=True)
    except ValueError:
        value = b""
    return ports.Row(wire.key, wire.ver, None if wire.deleted else value)
