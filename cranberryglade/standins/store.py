"""Stand-in of the platform's store: rows, feeds and objects in memory."""

import asyncio
import base64
import collections
import dataclasses
import json
import time

from aiohttp import web
import msgspec


@dataclasses.dataclass(slots=True)
class Faults:
    """How the store misbehaves.

    Attributes:
        refuse: answers every call with 503.
        refused_writes: writes that are answered with 429.
        hang: takes calls and never answers.
        delay_seconds: wait before every answer.
        lose_answers: writes whose answer is lost after the effect.
        deaf: feeds tell of no change.
        stale: reads show the rows as they were when this was set.
    """

    refuse: bool = False
    refused_writes: int = 0
    hang: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    deaf: bool = False
    stale: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class RowName:
    """What identifies a row."""

    table: str
    part: str
    key: str


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """One change of a row; `value` is None if it was removed."""

    name: RowName
    value: str | None
    version: int


class Condition(msgspec.Struct):
    """A row that must have a version."""

    table: str
    key: str
    ver: int
    part: str = ""


class Put(msgspec.Struct):
    """A row to write or remove."""

    table: str
    key: str
    part: str = ""
    value: str = ""


class Transaction(msgspec.Struct):
    """A call that applies all or nothing."""

    expected_revision: list[Condition] = []
    puts: list[Put] = []
    remove: list[Put] = []


class StoreStandin:
    """Holds rows and objects; tests reach into it by its methods."""

    __slots__ = (
        "_changed",
        "_forgotten",
        "_history",
        "_objects",
        "_rows",
        "_server",
        "_shown",
        "_version",
        "counts",
        "faults",
    )

    def __init__(self):
        self.faults = Faults()
        self.counts: collections.Counter[str] = collections.Counter()
        self._rows: dict[RowName, Change] = {}
        self._shown: dict[RowName, Change] = {}
        self._history: list[Change] = []
        self._forgotten = 0
        self._objects: dict[str, bytes] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._server: web.AppRunner | None = None

    @property
    def calls(self) -> int:
        """Calls of all kinds so far."""
        return self.counts.total()

    @property
    def version(self) -> int:
        """Version of the newest transaction."""
        return self._version

    def application(self) -> web.Application:
        """The HTTP interface."""
        app = web.Application(client_max_size=16_777_216)
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
        """Begins to listen on loopback; returns its address."""
        self._server = web.AppRunner(
            self.application(), access_log=None, shutdown_timeout=0.05
        )
        await self._server.setup()
        await web.TCPSite(self._server, "127.0.0.1", port).start()
        host, bound = self._server.addresses[0][:2]
        return f"{host}:{bound}"

    async def close(self) -> None:
        """Stops listening."""
        await self._server.cleanup()

    def configure(self, config: dict) -> None:
        """Writes a configuration as the operator does."""
        self.put("op", "config", json.dumps(config).encode())

    def list_endpoint(self, id_: str, entry: dict) -> None:
        """Writes an endpoint's entry as the endpoint does."""
        self.put("servers", id_, json.dumps(entry).encode())

    def put(self, table: str, key: str, value: bytes) -> int:
        """Writes a row as the operator or an endpoint does."""
        text = base64.b64encode(value).decode()
        return self._apply([Put(table, key, "", text)], [])

    def remove(self, table: str, key: str) -> int:
        """Removes a row."""
        return self._apply([], [Put(table, key)])

    def row(self, table: str, key: str) -> bytes | None:
        """Reads a row."""
        found = self._rows.get(RowName(table, "", key))
        return base64.b64decode(found.value) if found else None

    def forget_history(self) -> None:
        """Drops all history, so that feeds must read anew."""
        self._history.clear()
        self._forgotten = self._version

    def heal(self) -> None:
        """Ends all faults."""
        self.faults = Faults()

    def show_stale(self, stale: bool) -> None:
        """Lets reads show the present rows from now on, whatever changes."""
        self.faults.stale = stale
        self._shown = dict(self._rows)

    def _apply(self, puts: list[Put], removed: list[Put]) -> int:
        self._version += 1
        for put in puts:
            name = RowName(put.table, put.part, put.key)
            change = Change(name, put.value, self._version)
            self._rows[name] = change
            self._history.append(change)
        for gone in removed:
            name = RowName(gone.table, gone.part, gone.key)
            self._rows.pop(name, None)
            self._history.append(Change(name, None, self._version))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._version

    async def _fault(self, operation: str) -> None:
        self.counts[operation] += 1
        if self.faults.hang:
            await asyncio.sleep(3600)
        if self.faults.refuse:
            raise web.HTTPServiceUnavailable()
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)

    async def _get(self, call: web.Request) -> web.Response:
        await self._fault("reads")
        rows = self._shown if self.faults.stale else self._rows
        start = call.query.get("from", "")
        end = call.query.get("to")
        limit = int(call.query.get("limit", "500"))
        found = sorted(
            (
                change
                for name, change in rows.items()
                if name.table == call.query["table"]
                and name.part == call.query.get("part", "")
                and name.key >= start
                and (end is None or name.key < end)
            ),
            key=lambda change: change.name.key.encode(),
        )
        version = self._version
        if self.faults.stale:
            version = max((c.version for c in rows.values()), default=0)
        return self._answer(found[:limit], version, len(found) > limit)

    async def _feed(self, call: web.Request) -> web.Response:
        await self._fault("feeds")
        after = int(call.query["after"])
        if after < self._forgotten:
            raise web.HTTPGone()
        due = time.monotonic() + int(call.query["wait_ms"]) / 1000
        while True:
            changes = [
                change
                for change in self._history
                if change.version > after
                and change.name.table == call.query["table"]
            ]
            left = due - time.monotonic()
            if (changes and not self.faults.deaf) or left <= 0:
                break
            await asyncio.wait(
                [asyncio.ensure_future(self._changed.wait())],
                timeout=min(left, 0.05),
            )
        if self.faults.refuse:
            raise web.HTTPServiceUnavailable()
        return self._answer(
            [] if self.faults.deaf else changes, self._version, False
        )

    async def _parts(self, call: web.Request) -> web.Response:
        await self._fault("reads")
        parts = sorted(
            {n.part for n in self._rows if n.table == call.query["table"]}
        )
        return web.json_response({"parts": parts, "has_more": False})

    async def _transact(self, call: web.Request) -> web.Response:
        body = await call.read()
        await self._fault("writes")
        if self.faults.refused_writes > 0:
            self.faults.refused_writes -= 1
            raise web.HTTPTooManyRequests()
        wanted = msgspec.json.decode(body, type=Transaction)
        wrong = [
            condition
            for condition in wanted.expected_revision
            if self._version_of(condition) != condition.ver
        ]
        if wrong:
            present = [
                found
                for condition in wanted.expected_revision
                if (found := self._found(condition)) is not None
            ]
            return self._answer(present, self._version, False, 412)
        version = self._apply(wanted.puts, wanted.remove)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            call.transport.abort()
        return web.json_response({"ver": version, "now_ms": _now_ms()})

    def _version_of(self, wanted: Condition) -> int:
        found = self._found(wanted)
        return found.version if found else 0

    def _found(self, wanted: Condition) -> Change | None:
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
            "now_ms": _now_ms(),
        }
        return web.json_response(body, status=status)

    async def _put_object(self, call: web.Request) -> web.Response:
        await self._fault("object_writes")
        name = call.match_info["id"]
        exclusive = call.headers.get("If-None-Match") == "*"
        if exclusive and name in self._objects:
            raise web.HTTPPreconditionFailed()
        self._objects[name] = await call.read()
        return web.Response()

    async def _get_object(self, call: web.Request) -> web.Response:
        await self._fault("object_reads")
        found = self._objects.get(call.match_info["id"])
        if found is None:
            raise web.HTTPNotFound()
        return web.Response(body=found)

    async def _drop_object(self, call: web.Request) -> web.Response:
        await self._fault("object_writes")
        self._objects.pop(call.match_info["id"], None)
        return web.Response()

    async def _list_objects(self, call: web.Request) -> web.Response:
        await self._fault("object_reads")
        prefix = call.query.get("path_prefix", "")
        names = sorted(n for n in self._objects if n.startswith(prefix))
        return web.json_response({"names": names, "has_more": False})


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
