"""Stand-in of the platform as a program: the store, and paths for tests."""

import asyncio

from aiohttp import web
import msgspec

from cranberryglade import tables
from cranberryglade import wire
from cranberryglade.gateway import ports
from cranberryglade.platform import store as client
from cranberryglade.standins import store

LAG_SECONDS = 1.0


class Faults(wire.Document):
    """How the platform misbehaves.

    Attributes:
        down: refuse every call.
        delay_seconds: wait before every answer.
        lose_answers: number of writes whose answer is lost after the effect.
        lag_seconds: how old the instance list is.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    lag_seconds: float = LAG_SECONDS


class Written(wire.Document):
    """A row that a test writes by hand.

    Attributes:
        table: one of the tables that instances use.
        key: its key.
        version: the number of the row before; 0 if it is new.
        value: what to store.
    """

    table: str
    key: str
    version: int
    value: str


class PlatformStandin:
    """Holds everything in memory."""

    __slots__ = ("_lag_seconds", "_listed", "_store")

    def __init__(self, listed: list[wire.InstanceDocument] | None = None):
        self._store = store.StoreStandin()
        self._lag_seconds = LAG_SECONDS
        self._listed: set[str] = set()
        self._list(listed or [])

    def application(self) -> web.Application:
        """The HTTP interface; paths under /standin are for tests."""
        app = self._store.application()
        app.router.add_put("/standin/instances", self._put_instances)
        app.router.add_put("/standin/row", self._put_row)
        app.router.add_put("/standin/faults", self._put_faults)
        app.router.add_get("/standin/counts", self._get_counts)
        return app

    def _list(self, listed: list[wire.InstanceDocument]) -> None:
        table = client.TABLES[ports.Table.INSTANCES]
        for instance in listed:
            self._store.put(table, instance.name, wire.encode(instance))
        names = {instance.name for instance in listed}
        for gone in self._listed - names:
            self._store.remove(table, gone)
        self._listed = names

    async def _put_instances(self, call: web.Request) -> web.Response:
        read = msgspec.json.decode(await call.read(), type=wire.InstanceList)
        if self._lag_seconds:
            asyncio.get_running_loop().call_later(
                self._lag_seconds, self._list, read.instances
            )
        else:
            self._list(read.instances)
        return web.Response()

    async def _put_row(self, call: web.Request) -> web.Response:
        read = msgspec.json.decode(await call.read(), type=Written)
        row = tables.NumberedRow(number=read.version + 1, value=read.value)
        table = client.TABLES[ports.Table(read.table)]
        self._store.put(table, read.key, wire.encode(row))
        return web.Response()

    async def _put_faults(self, call: web.Request) -> web.Response:
        read = msgspec.json.decode(await call.read(), type=Faults)
        self._lag_seconds = read.lag_seconds
        self._store.faults = store.Faults(
            refuse=read.down,
            delay_seconds=read.delay_seconds,
            lose_answers=read.lose_answers,
        )
        return web.Response()

    async def _get_counts(self, _: web.Request) -> web.Response:
        return web.json_response(dict(self._store.counts))
