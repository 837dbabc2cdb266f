"""Start and graceful stop of one instance."""

import asyncio

from cranberryglade import charts
from cranberryglade import log

logger = log.get_logger(__name__)


class Lifecycle:
    """Steps through the instance chart and tells when to stop."""

    __slots__ = ("_chart", "_state", "_stop")

    def __init__(self):
        self._chart = charts.load("instance")
        self._state = self._chart.initial
        self._stop = asyncio.Event()

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
        self._stop.set()

    async def stop_requested(self) -> None:
        """Waits for the first stop request."""
        await self._stop.wait()
