"""Stand-in of the platform's store: rows, feeds and objects in memory."""

import asyncio
import base64
import collections
from collections.abc import Callable
import dataclasses
import json
import time

from aiohttp import web
import msgspec


@dataclasses.dataclass(slots=True)
class Faults:
    """How the store misbehaves.

    Attributes:
        refuse: answers every request with 503.
        refused_writes: number of the next writes to answer with 429.
        hang: accepts requests and does not answer them.
        delay_seconds: delay before every response.
        lose_answers: number of the next writes that take effect, but whose
            connection is aborted before the response.
        mute_feeds: feeds report no changes.
        stale: reads return the rows as of the last `serve_stale`.
    """

    refuse: bool = False
    refused_writes: int = 0
    hang: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    mute_feeds: bool = False
    stale: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class RowName:
    """Identifies a row; `part` names a partition of the table."""

    table: str
    part: str
    key: str


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """One change of a row; `value` is None if the row was removed."""

    name: RowName
    value: str | None
    version: int


class Condition(msgspec.Struct):
    """The version that a row must have; 0 if it must not exist."""

    table: str
    key: str
    ver: int
    part: str = ""


class Put(msgspec.Struct):
    """A row to write or remove; `value` is in base64."""

    table: str
    key: str
    part: str = ""
    value: str = ""


class Transaction(msgspec.Struct):
    """A request whose changes are applied all or none."""

    expected_revision: list[Condition] = []
    puts: list[Put] = []
    remove: list[Put] = []


@dataclasses.dataclass(slots=True, frozen=True)
class Copy:
    """The rows and objects at a version."""

    rows: dict[RowName, Change]
    objects: dict[str, bytes]
    version: int


class StoreStandin:
    """Keeps rows and objects in memory; tests may call its methods directly.

    Attributes:
        faults: the faults in force.
        counts: requests so far, by kind of operation.
    """

    __slots__ = (
        "_changed",
        "_closed",
        "_copy",
        "_era",
        "_history",
        "_history_start",
        "_now",
        "_objects",
        "_rows",
        "_server",
        "_stale_rows",
        "_version",
        "counts",
        "faults",
    )

    def __init__(self, now: Callable[[], float] = time.monotonic):
        """Creates a store without rows.

        Args:
            now: returns its time, in seconds.
        """
        self.faults = Faults()
        self._now = now
        self.counts: collections.Counter[str] = collections.Counter()
        self._rows: dict[RowName, Change] = {}
        self._stale_rows: dict[RowName, Change] = {}
        self._history: list[Change] = []
        self._history_start = 0
        self._objects: dict[str, bytes] = {}
        self._version = 0
        self._era = 0
        self._copy = Copy({}, {}, 0)
        self._changed = asyncio.Event()
        self._closed = False
        self._server: web.AppRunner | None = None

    @property
    def calls(self) -> int:
        """Number of requests of all kinds so far."""
        return self.counts.total()

    @property
    def version(self) -> int:
        """Version of the newest transaction."""
        return self._version

    def application(self) -> web.Application:
        """Returns the HTTP interface."""
        app = web.Application(client_max_size=16_777_216)
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-feed", self._feed)
        app.router.add_get("/rows-parts", self._parts)
        app.router.add_post("/rows-tx", self._transact)
        app.router.add_put("/blob-put/{id}", self._put_object)
        app.router.add_get("/blob-get/{id}", self._get_object)
        app.router.add_delete("/blob-drop/{id}", self._drop_object)
        app.router.add_get("/blob-list", self._list_objects)
        return app

    async def serve(self, port: int = 0) -> str:
        """Starts listening on loopback.

        Args:
            port: the port; 0 for a free one.

        Returns:
            The address as HOST:PORT.
        """
        self._server = web.AppRunner(
            self.application(), access_log=None, shutdown_timeout=0.05
        )
        await self._server.setup()
        await web.TCPSite(self._server, "127.0.0.1", port).start()
        host, bound = self._server.addresses[0][:2]
        return f"{host}:{bound}"

    async def close(self) -> None:
        """Stops listening, and ends the feeds that wait."""
        self._closed = True
        self._wake_feeds()
        await self._server.cleanup()

    def configure(self, config: dict) -> None:
        """Writes the configuration as an operator does."""
        self.put("op", "config", json.dumps(config).encode())

    def list_endpoint(self, id_: str, entry: dict) -> None:
        """Writes an endpoint's row as the endpoint does."""
        self.put("servers", id_, json.dumps(entry).encode())

    def put(self, table: str, key: str, value: bytes) -> int:
        """Writes a row; returns the version of the transaction."""
        text = base64.b64encode(value).decode()
        return self._apply([Put(table, key, "", text)], [])

    def remove(self, table: str, key: str) -> int:
        """Removes a row; returns the version of the transaction."""
        return self._apply([], [Put(table, key)])

    def row(self, table: str, key: str) -> bytes | None:
        """Returns the value of a row, or None if there is none."""
        found = self._rows.get(RowName(table, "", key))
        return base64.b64decode(found.value) if found else None

    def discard_history(self) -> None:
        """Discards the change history; feeds from before it get 410."""
        self._history.clear()
        self._history_start = self._version

    def take_copy(self) -> None:
        """Copies all rows and objects, for `restore_copy`."""
        self._copy = Copy(dict(self._rows), dict(self._objects), self._version)

    def restore_copy(self) -> None:
        """Goes back to the copy and begins a new era.

        What was written since the copy is lost, and its versions will be given
        out again. Feeds that wait are cut off.
        """
        self._rows = dict(self._copy.rows)
        self._objects = dict(self._copy.objects)
        self._version = self._copy.version
        self._history.clear()
        self._history_start = self._version
        self._era += 1
        self._wake_feeds()

    def clear_faults(self) -> None:
        """Clears all faults."""
        self.faults = Faults()

    def serve_stale(self, stale: bool) -> None:
        """Turns stale reads on or off; they return the rows as of now."""
        self.faults.stale = stale
        self._stale_rows = dict(self._rows)

    def _apply(self, puts: list[Put], removed: list[Put]) -> int:
        self._version += 1
        for put in puts:
            name = RowName(put.table, put.part, put.key)
            change = Change(name, put.value, self._version)
            self._rows[name] = change
            self._history.append(change)
        for removal in removed:
            name = RowName(removal.table, removal.part, removal.key)
            self._rows.pop(name, None)
            self._history.append(Change(name, None, self._version))
        self._wake_feeds()
        return self._version

    def _wake_feeds(self) -> None:
        notified, self._changed = self._changed, asyncio.Event()
        notified.set()

    async def _apply_faults(self, operation: str) -> None:
        self.counts[operation] += 1
        if self.faults.hang:
            await asyncio.sleep(3600)
        if self.faults.refuse:
            raise web.HTTPServiceUnavailable()
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)

    async def _add_era(self, _, response: web.StreamResponse) -> None:
        response.headers["Store-Era"] = str(self._era)

    async def _get(self, http_request: web.Request) -> web.Response:
        await self._apply_faults("reads")
        rows = self._stale_rows if self.faults.stale else self._rows
        start = http_request.query.get("from", "")
        end = http_request.query.get("to")
        limit = int(http_request.query.get("limit", "500"))
        found = sorted(
            (
                change
                for name, change in rows.items()
                if name.table == http_request.query["table"]
                and name.part == http_request.query.get("part", "")
                and name.key >= start
                and (end is None or name.key < end)
            ),
            key=lambda change: change.name.key.encode(),
        )
        version = self._version
        if self.faults.stale:
            version = max((c.version for c in rows.values()), default=0)
        return self._answer(found[:limit], version, len(found) > limit)

    async def _feed(self, http_request: web.Request) -> web.Response:
        await self._apply_faults("feeds")
        after = int(http_request.query["after"])
        if not self._history_start <= after <= self._version:
            raise web.HTTPGone()
        era = self._era
        deadline = self._now() + int(http_request.query["wait_ms"]) / 1000
        while True:
            changes = [
                change
                for change in self._history
                if change.version > after
                and change.name.table == http_request.query["table"]
            ]
            remaining = deadline - self._now()
            is_over = remaining <= 0 or self._closed
            if is_over or (changes and not self.faults.mute_feeds):
                break
            waiting = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait([waiting], timeout=min(remaining, 0.05))
            waiting.cancel()
        if self.faults.refuse or era != self._era:
            raise web.HTTPServiceUnavailable()
        return self._answer(
            [] if self.faults.mute_feeds else changes, self._version, False
        )

    async def _parts(self, http_request: web.Request) -> web.Response:
        await self._apply_faults("reads")
        parts = sorted(
            {
                n.part
                for n in self._rows
                if n.table == http_request.query["table"]
            }
        )
        return web.json_response({"parts": parts, "has_more": False})

    async def _transact(self, http_request: web.Request) -> web.Response:
        body = await http_request.read()
        await self._apply_faults("writes")
        if self.faults.refused_writes > 0:
            self.faults.refused_writes -= 1
            raise web.HTTPTooManyRequests()
        wanted = msgspec.json.decode(body, type=Transaction)
        mismatched = [
            condition
            for condition in wanted.expected_revision
            if self._version_of(condition) != condition.ver
        ]
        if mismatched:
            present = [
                found
                for condition in wanted.expected_revision
                if (found := self._find(condition)) is not None
            ]
            return self._answer(present, self._version, False, 412)
        version = self._apply(wanted.puts, wanted.remove)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            http_request.transport.abort()
        return web.json_response({"ver": version, "now_ms": self._now_ms()})

    def _version_of(self, wanted: Condition) -> int:
        found = self._find(wanted)
        return found.version if found else 0

    def _find(self, wanted: Condition) -> Change | None:
        return self._rows.get(RowName(wanted.table, wanted.part, wanted.key))

    def _answer(
        self,
        changes: list[Change],
        version: int,
        more: bool,
        status: int = 200,
    ) -> web.Response:
        rows = [
            {
                "table": change.name.table,
                "part": change.name.part,
                "key": change.name.key,
                "ver": change.version,
            }
            | (
                {"deleted": True}
                if change.value is None
                else {"value": change.value}
            )
            for change in changes
        ]
        body = {
            "rows": rows,
            "has_more": more,
            "ver": version,
            "now_ms": self._now_ms(),
        }
        return web.json_response(body, status=status)

    async def _put_object(self, http_request: web.Request) -> web.Response:
        await self._apply_faults("object_writes")
        name = http_request.match_info["id"]
        exclusive = http_request.headers.get("If-None-Match") == "*"
        if exclusive and name in self._objects:
            raise web.HTTPPreconditionFailed()
        self._objects[name] = await http_request.read()
        return web.Response()

    async def _get_object(self, http_request: web.Request) -> web.Response:
        await self._apply_faults("object_reads")
        found = self._objects.get(http_request.match_info["id"])
        if found is None:
            raise web.HTTPNotFound()
        return web.Response(body=found)

    async def _drop_object(self, http_request: web.Request) -> web.Response:
        await self._apply_faults("object_writes")
        self._objects.pop(http_request.match_info["id"], None)
        return web.Response()

    async def _list_objects(self, http_request: web.Request) -> web.Response:
        await self._apply_faults("object_reads")
        prefix = http_request.query.get("path_prefix", "")
        names = sorted(n for n in self._objects if n.startswith(prefix))
        return web.json_response({"names": names, "has_more": False})

    def _now_ms(self) -> int:
        return int(self._now() * 1000)
