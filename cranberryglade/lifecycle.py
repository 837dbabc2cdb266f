"""Start and graceful stop of one instance."""

import asyncio

from aiohttp import web

from cranberryglade import charts
from cranberryglade import log

OPERATOR_PATHS = "/v1/operators/"

logger = log.get_logger(__name__)


class Lifecycle:
    """Steps through the instance chart and tells when to stop."""

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
        """State of the instance chart."""
        return self._state

    @property
    def ready(self) -> bool:
        """Whether the balancer may send new requests."""
        return self._state == "serving"

    def step(self, event: str) -> None:
        """Takes one transition of the chart."""
        self._state = self._chart.step(self._state, event)
        logger.info("instance state", state=self._state)

    def request_stop(self) -> None:
        """Begins a graceful stop; the second call cuts what is in flight."""
        self.step("stop")
        if self._stop.is_set():
            logger.warning("cutting", in_flight=self._in_flight)
            self._cut.set()
        self._stop.set()

    async def cut_requested(self) -> None:
        """Waits for the second stop request."""
        await self._cut.wait()

    async def idle(self) -> None:
        """Waits until nobody is being answered."""
        await self._idle.wait()

    @web.middleware
    async def count(self, http_request: web.Request, handler):
        """Counts those who are being answered; operators do not count."""
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

    async def stop_requested(self) -> None:
        """Waits for the first stop request."""
        await self._stop.wait()
