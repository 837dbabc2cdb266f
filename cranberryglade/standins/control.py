"""The part of an engine stand-in that reports and takes orders."""

import asyncio
from collections.abc import Callable
import contextlib

from aiohttp import web
import msgspec

from cranberryglade import orders
from cranberryglade import reports
from cranberryglade import wire
from cranberryglade.standins import model

LINE_SECONDS = 2.0
CHECK_SECONDS = 0.05


class Faults(wire.Document):
    """How reports and orders go wrong.

    Attributes:
        lose_lines: how many of the next lines are lost.
        delay_seconds: how late lines come.
        mute: send no lines and answer no load.
        incarnation: what the process calls itself.
        fenced: refuse orders with an old fencing number.
        order_seconds: how long an order takes.
        lose_orders: how many of the next orders lose their answer.
    """

    lose_lines: int = 0
    delay_seconds: float = 0.0
    mute: bool = False
    incarnation: str = ""
    fenced: bool = False
    order_seconds: float = 0.0
    lose_orders: int = 0


class Control:
    """Publishes state, load and cache events, and carries out orders."""

    __slots__ = ("_faults", "_is_leaving", "_model", "_number", "_taken")

    def __init__(
        self, engine: model.EngineModel, is_leaving: Callable[[], bool]
    ):
        self._model = engine
        self._is_leaving = is_leaving
        self._faults = Faults()
        self._number = 0
        self._taken: list[orders.OrderDocument] = []

    def register(self, app: web.Application) -> None:
        """Adds the routes; paths under /standin are for tests."""
        app.router.add_get(reports.EVENTS_PATH, self._get_events)
        app.router.add_post(orders.ORDERS_PATH, self._post_order)
        app.router.add_put("/standin/control", self._put_faults)
        app.router.add_get("/standin/orders", self._get_orders)

    async def _get_events(self, http_request: web.Request):
        response = web.StreamResponse()
        await response.prepare(http_request)
        with contextlib.suppress(ConnectionResetError):
            await self._publish(response)
        return response

    async def _publish(self, response: web.StreamResponse) -> None:
        sequence = 0
        known: set[str] = set()
        while True:
            sequence += 1
            line = self._line(sequence, known)
            known = set(self._model.cached)
            if self._faults.lose_lines > 0:
                self._faults.lose_lines -= 1
            elif not self._faults.mute:
                await asyncio.sleep(self._faults.delay_seconds)
                await response.write(wire.encode(line) + b"\n")
            await self._wait_for_change(line.state, known)

    def _line(self, sequence: int, known: set[str]) -> reports.EventLine:
        cached = set(self._model.cached)
        return reports.EventLine(
            sequence=sequence,
            state=self._state(),
            incarnation=self._faults.incarnation,
            running=self._model.running,
            waiting=self._model.waiting,
            age_ms=round(self._faults.delay_seconds * 1000),
            held=sorted(cached - known),
            dropped=sorted(known - cached),
        )

    def _state(self) -> str:
        return "leaving" if self._is_leaving() else "live"

    async def _wait_for_change(self, state: str, known: set[str]) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + LINE_SECONDS
        while loop.time() < until:
            await asyncio.sleep(CHECK_SECONDS)
            if self._state() != state or set(self._model.cached) != known:
                return

    async def _post_order(self, http_request: web.Request):
        body = await http_request.read()
        order = msgspec.json.decode(body, type=orders.OrderDocument)
        if self._faults.fenced and order.fencing_number < self._number:
            return web.Response(status=orders.STATUS_FENCED)
        self._number = max(self._number, order.fencing_number)
        await asyncio.sleep(self._faults.order_seconds)
        self._taken.append(order)
        if self._faults.lose_orders > 0:
            self._faults.lose_orders -= 1
            http_request.transport.abort()
        return web.Response()

    async def _put_faults(self, http_request: web.Request):
        body = await http_request.read()
        self._faults = msgspec.json.decode(body, type=Faults)
        return web.Response()

    async def _get_orders(self, _: web.Request):
        return web.Response(body=wire.encode(self._taken))
