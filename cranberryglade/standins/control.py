"""Reports and orders of an engine stand-in."""

import asyncio
from collections.abc import Callable
import contextlib

from aiohttp import web
import msgspec

from cranberryglade import orders
from cranberryglade import reports
from cranberryglade import wire
from cranberryglade.standins import model

HEARTBEAT_SECONDS = 2.0
POLL_SECONDS = 0.05


class Faults(wire.Document):
    """Faults of the event stream and of orders.

    Attributes:
        lose_lines: number of the next event lines that are not sent.
        delay_seconds: delay of each event line, reported as its age.
        mute: send no event lines.
        incarnation: incarnation reported in event lines.
        fenced: refuse orders with an old fencing number.
        order_seconds: time that an order takes.
        lose_orders: number of the next orders that are carried out, but
            whose connection is aborted before the response.
    """

    lose_lines: int = 0
    delay_seconds: float = 0.0
    mute: bool = False
    incarnation: str = ""
    fenced: bool = False
    order_seconds: float = 0.0
    lose_orders: int = 0


class Control:
    """Publishes state, load and cache events, and accepts orders.

    Args:
        engine: the model whose load and cache are reported.
        is_leaving: returns whether the engine reports that it is leaving.
    """

    __slots__ = (
        "_faults",
        "_fencing_number",
        "_is_leaving",
        "_model",
        "_orders",
    )

    def __init__(
        self, engine: model.EngineModel, is_leaving: Callable[[], bool]
    ):
        self._model = engine
        self._is_leaving = is_leaving
        self._faults = Faults()
        self._fencing_number = 0
        self._orders: list[orders.OrderDocument] = []

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
        reported: set[str] = set()
        while True:
            sequence += 1
            line = self._event_line(sequence, reported)
            reported = set(self._model.cached)
            if self._faults.lose_lines > 0:
                self._faults.lose_lines -= 1
            elif not self._faults.mute:
                await asyncio.sleep(self._faults.delay_seconds)
                await response.write(wire.encode(line) + b"\n")
            await self._wait_for_change(line.state, reported)

    def _event_line(
        self, sequence: int, reported: set[str]
    ) -> reports.EventLine:
        cached = set(self._model.cached)
        return reports.EventLine(
            sequence=sequence,
            state=self._state(),
            incarnation=self._faults.incarnation,
            running=self._model.running,
            waiting=self._model.waiting,
            age_ms=round(self._faults.delay_seconds * 1000),
            held=sorted(cached - reported),
            dropped=sorted(reported - cached),
        )

    def _state(self) -> str:
        return "leaving" if self._is_leaving() else "live"

    async def _wait_for_change(self, state: str, reported: set[str]) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + HEARTBEAT_SECONDS
        while loop.time() < deadline:
            await asyncio.sleep(POLL_SECONDS)
            if self._state() != state or set(self._model.cached) != reported:
                return

    async def _post_order(self, http_request: web.Request):
        body = await http_request.read()
        order = msgspec.json.decode(body, type=orders.OrderDocument)
        if self._faults.fenced and order.fencing_number < self._fencing_number:
            return web.Response(status=orders.STATUS_FENCED)
        self._fencing_number = max(self._fencing_number, order.fencing_number)
        await asyncio.sleep(self._faults.order_seconds)
        self._orders.append(order)
        if self._faults.lose_orders > 0:
            self._faults.lose_orders -= 1
            http_request.transport.abort()
        return web.Response()

    async def _put_faults(self, http_request: web.Request):
        body = await http_request.read()
        self._faults = msgspec.json.decode(body, type=Faults)
        return web.Response()

    async def _get_orders(self, _: web.Request):
        return web.Response(body=wire.encode(self._orders))
