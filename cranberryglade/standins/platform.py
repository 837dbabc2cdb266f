"""Stand-in of the platform: table service, object store, instance list."""

import asyncio
import collections

from aiohttp import web
import msgspec

from cranberryglade import wire

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


class PlatformStandin:
    """Holds everything in memory."""

    __slots__ = (
        "_counts",
        "_faults",
        "_instances",
        "_objects",
        "_rows",
        "_snapshots",
    )

    def __init__(self, listed: list[wire.InstanceDocument] | None = None):
        listed = listed or []
        self._rows: dict[str, wire.RowDocument] = {}
        self._objects: dict[str, bytes] = {}
        self._instances: dict[str, wire.InstanceDocument] = {
            item.name: item for item in listed
        }
        self._snapshots = collections.deque([(0.0, listed)])
        self._faults = Faults()
        self._counts: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """The HTTP interface; paths under /standin are for tests."""
        app = web.Application(client_max_size=67_108_864)
        app.router.add_get("/v1/tables/{table}/{key}", self._get_row)
        app.router.add_post("/v1/transactions", self._post_transaction)
        app.router.add_get("/v1/objects/{name}", self._get_object)
        app.router.add_put("/v1/objects/{name}", self._put_object)
        app.router.add_get("/v1/instances", self._get_instances)
        app.router.add_put("/standin/instances", self._put_instances)
        app.router.add_put("/standin/faults", self._put_faults)
        app.router.add_get("/standin/counts", self._get_counts)
        return app

    async def _fault(self, operation: str) -> None:
        self._counts[operation] += 1
        if self._faults.down:
            raise web.HTTPServiceUnavailable()
        if self._faults.delay_seconds:
            await asyncio.sleep(self._faults.delay_seconds)

    async def _get_row(self, http_request: web.Request):
        await self._fault("reads")
        name = _row_name(**http_request.match_info)
        absent = wire.RowDocument(value="", version=0)
        return _json(self._rows.get(name, absent))

    async def _post_transaction(self, http_request: web.Request):
        body = await http_request.read()
        await self._fault("writes")
        transaction = msgspec.json.decode(body, type=wire.TransactionDocument)
        conflicts = [
            index
            for index, write in enumerate(transaction.writes)
            if self._version(write) != write.expected_version
        ]
        if not conflicts:
            for write in transaction.writes:
                self._rows[_row_name(write.table, write.key)] = (
                    wire.RowDocument(
                        value=write.value, version=write.expected_version + 1
                    )
                )
            self._lose_answer(http_request)
        return _json(
            wire.TransactionOutcome(
                committed=not conflicts, conflicts=conflicts
            )
        )

    def _version(self, write: wire.WriteDocument) -> int:
        row = self._rows.get(_row_name(write.table, write.key))
        return row.version if row else 0

    def _lose_answer(self, http_request: web.Request) -> None:
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            http_request.transport.abort()

    async def _get_object(self, http_request: web.Request):
        await self._fault("object_reads")
        data = self._objects.get(http_request.match_info["name"])
        if data is None:
            raise web.HTTPNotFound()
        return web.Response(body=data)

    async def _put_object(self, http_request: web.Request):
        data = await http_request.read()
        await self._fault("object_writes")
        self._objects[http_request.match_info["name"]] = data
        return web.Response()

    async def _get_instances(self, http_request: web.Request):
        await self._fault("lists")
        horizon = _now() - self._faults.lag_seconds
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= horizon:
            self._snapshots.popleft()
        taken_at, instances = self._snapshots[0]
        tag = f'"{taken_at}"'
        if http_request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        wanted = http_request.query
        found = [
            item
            for item in instances
            if all(getattr(item, name) == wanted[name] for name in wanted)
        ]
        response = _json(wire.InstanceList(instances=found))
        response.headers["ETag"] = tag
        response.enable_compression()
        return response

    async def _put_instances(self, http_request: web.Request):
        body = await http_request.read()
        listed = msgspec.json.decode(body, type=wire.InstanceList)
        self._instances = {item.name: item for item in listed.instances}
        self._snapshots.append((_now(), listed.instances))
        return web.Response()

    async def _put_faults(self, http_request: web.Request):
        body = await http_request.read()
        self._faults = msgspec.json.decode(body, type=Faults)
        return web.Response()

    async def _get_counts(self, _: web.Request):
        return _json(dict(self._counts))


def _row_name(table: str, key: str) -> str:
    return f"{table}/{key}"


def _now() -> float:
    return asyncio.get_running_loop().time()


def _json(document) -> web.Response:
    return web.Response(
        body=wire.encode(document), content_type="application/json"
    )
