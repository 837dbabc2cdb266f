"""State of one instance, from its start to its graceful stop."""

import asyncio

from aiohttp import web

from cranberryglade import charts
from cranberryglade import log

OPERATOR_PATHS = "/v1/operators/"

logger = log.get_logger(__name__)


class Lifecycle:
    """Follows the instance chart and signals when to stop."""

    __slots__ = ("_chart", "_cut", "_idle", "_in_flight", "_state", "_stop")

    def __init__(self):
        self._chart = charts.load("instance")
        self._state = self._chart.initial
        self._stop = asyncio.Event()
        self._cut = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._in_flight = 0

    @property
    def state(self) -> str:
        """Current state in the instance chart."""
        return self._state

    @property
    def ready(self) -> bool:
        """Whether a load balancer may send new requests."""
        return self._state == "serving"

    def transition(self, event: str) -> None:
        """Makes the transition of the chart for an event.

        Args:
            event: name of an event of the instance chart.
        """
        self._state = self._chart.step(self._state, event)
        logger.info("instance.state_changed", state=self._state)

    def request_stop(self) -> None:
        """Begins a graceful stop; a second call cuts requests in flight."""
        self.transition("stop")
        if self._stop.is_set():
            logger.warning("cut.requested", in_flight=self._in_flight)
            self._cut.set()
        self._stop.set()

    async def wait_for_cut_request(self) -> None:
        """Waits for the second stop request."""
        await self._cut.wait()

    async def wait_until_idle(self) -> None:
        """Waits until no request is in flight."""
        await self._idle.wait()

    @web.middleware
    async def count_in_flight(self, http_request: web.Request, handler):
        """Middleware that counts requests in flight, except operators'."""
        if http_request.path.startswith(OPERATOR_PATHS):
            return await handler(http_request)
        self._in_flight += 1
        self._idle.clear()
        try:
            return await handler(http_request)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def wait_for_stop_request(self) -> None:
        """Waits for the first stop request."""
        await self._stop.wait()
