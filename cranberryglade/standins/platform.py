"""Stand-in of the platform as a program: its store, and paths for tests."""

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
        down: refuse every request with 503.
        delay_seconds: delay before every response.
        lose_answers: number of the next writes that take effect, but whose
            connection is aborted before the response.
        lag_seconds: delay until a new instance list takes effect.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    lag_seconds: float = LAG_SECONDS


class Written(wire.Document):
    """A row that a test writes directly.

    Attributes:
        table: table of the row, as in ports.Table.
        key: key of the row.
        version: number of the previous row; 0 if there is none.
        value: value to store.
    """

    table: str
    key: str
    version: int
    value: str


class PlatformStandin:
    """The store and the instance list, in memory.

    Args:
        listed: instances in the list at first.
    """

    __slots__ = ("_lag_seconds", "_listed_names", "_store")

    def __init__(self, listed: list[wire.InstanceDocument] | None = None):
        self._store = store.StoreStandin()
        self._lag_seconds = LAG_SECONDS
        self._listed_names: set[str] = set()
        self._write_instances(listed or [])

    def application(self) -> web.Application:
        """Returns the HTTP interface; paths under /standin are for tests."""
        app = self._store.application()
        app.router.add_put("/standin/instances", self._put_instances)
        app.router.add_put("/standin/row", self._put_row)
        app.router.add_put("/standin/faults", self._put_faults)
        app.router.add_get("/standin/counts", self._get_counts)
        return app

    def _write_instances(self, listed: list[wire.InstanceDocument]) -> None:
        table = client.TABLES[ports.Table.INSTANCES]
        for instance in listed:
            self._store.put(table, instance.name, wire.encode(instance))
        names = {instance.name for instance in listed}
        for name in self._listed_names - names:
            self._store.remove(table, name)
        self._listed_names = names

    async def _put_instances(self, http_request: web.Request) -> web.Response:
        document = msgspec.json.decode(
            await http_request.read(), type=wire.InstanceList
        )
        if self._lag_seconds:
            asyncio.get_running_loop().call_later(
                self._lag_seconds, self._write_instances, document.instances
            )
        else:
            self._write_instances(document.instances)
        return web.Response()

    async def _put_row(self, http_request: web.Request) -> web.Response:
        written = msgspec.json.decode(await http_request.read(), type=Written)
        row = tables.NumberedRow(
            number=written.version + 1, value=written.value
        )
        table = client.TABLES[ports.Table(written.table)]
        self._store.put(table, written.key, wire.encode(row))
        return web.Response()

    async def _put_faults(self, http_request: web.Request) -> web.Response:
        faults = msgspec.json.decode(await http_request.read(), type=Faults)
        self._lag_seconds = faults.lag_seconds
        self._store.faults = store.Faults(
            refuse=faults.down,
            delay_seconds=faults.delay_seconds,
            lose_answers=faults.lose_answers,
        )
        return web.Response()

    async def _get_counts(self, _: web.Request) -> web.Response:
        return web.json_response(dict(self._store.counts))
