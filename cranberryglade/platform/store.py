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
}
PAGE_ROWS = 500
READ_SECONDS = 2.0
WRITE_SECONDS = 3.0

STATUS_ERRORS = {
    410: ports.StoreError.HISTORY_LOST,
    412: ports.StoreError.CONFLICT,
}


class WireRow(msgspec.Struct):
    """A row; `ver` is its version, `value` is base64."""

    key: str
    ver: int = 0
    value: str = ""
    deleted: bool = False


class WireRows(msgspec.Struct):
    """Rows of a read; `ver` is the newest version of the whole store."""

    ver: int
    rows: list[WireRow] = []
    has_more: bool = False


class Written(msgspec.Struct):
    """Answer to a write."""

    ver: int


class StoreClient:
    """Reads and writes rows over HTTP."""

    __slots__ = ("_fetcher",)

    def __init__(self, address: str):
        self._fetcher = fetching.Fetcher(address)

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
            page = await self._rows("/rows-get", query, READ_SECONDS)
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
        timeout = wait_seconds + READ_SECONDS
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
        name = {"table": TABLES[table], "part": "", "key": key}
        conditions = [] if expected is None else [name | {"ver": expected}]
        puts = []
        if value is not None:
            puts = [name | {"value": base64.b64encode(value).decode()}]
        body = msgspec.json.encode(
            {
                "expected_revision": conditions,
                "puts": puts,
                "remove": [] if puts else [name],
            }
        )
        call = fetching.Call("POST", "/rows-tx", body, WRITE_SECONDS)
        reply = await self._call(call, Written)
        return reply.map(lambda written: written.ver)

    async def _rows(self, path: str, query: dict, timeout: float):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return await self._call(
            fetching.Call("GET", target, b"", timeout), WireRows
        )

    async def _call(self, call: fetching.Call, kind: type):
        match await self._fetcher.fetch(call):
            case Failure(_):
                return Failure(ports.StoreError.UNREACHABLE)
            case Success(fetching.Reply(status=200, body=body)):
                try:
                    return Success(msgspec.json.decode(body, type=kind))
                except msgspec.DecodeError:
                    return Failure(ports.StoreError.UNREADABLE)
            case Success(reply):
                refused = ports.StoreError.REFUSED
                return Failure(STATUS_ERRORS.get(reply.status, refused))


def _row(wire: WireRow) -> ports.Row:
    try:
        value = base64.b64decode(wire.value, validate=True)
    except ValueError:
        value = b""
    return ports.Row(wire.key, wire.ver, None if wire.deleted else value)
