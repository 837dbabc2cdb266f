"""Endpoints that asked this instance to send them nothing for a while."""

from collections.abc import Iterable
import random

from cranberryglade import log
from cranberryglade.gateway import messages

MAX_PAUSE_SECONDS = 300.0
"""Longest pause that an endpoint can ask for."""

RETURN_SPREAD = 0.25
"""Share of a pause by which it is prolonged at random, so that the instances do
not all return at once."""

MAX_RETURN_SPREAD_SECONDS = 1.0

logger = log.get_logger(__name__)


class EndpointPauses:
    """Pauses that endpoints asked for; performs no I/O.

    A pause ends with the process of the endpoint. Times are seconds of the
    loop's clock.
    """

    __slots__ = ("_pauses", "_random")

    def __init__(self, randomness: random.Random):
        self._random = randomness
        self._pauses: dict[messages.EndpointProcess, float] = {}

    def record(
        self, endpoint: messages.Endpoint, seconds: float, now: float
    ) -> None:
        """Records that an endpoint asked for a pause.

        Args:
            endpoint: the endpoint, as it was when the request was sent.
            seconds: how long; limited to MAX_PAUSE_SECONDS.
            now: the present time.
        """
        if seconds <= 0:
            return
        limited = min(seconds, MAX_PAUSE_SECONDS)
        spread = min(RETURN_SPREAD * limited, MAX_RETURN_SPREAD_SECONDS)
        until = now + limited + self._random.uniform(0.0, spread)
        process = endpoint.process
        self._pauses[process] = max(until, self._pauses.get(process, until))
        logger.info(
            "endpoint.paused",
            endpoint=endpoint.id,
            asked_s=round(seconds, 3),
            pause_s=round(self._pauses[process] - now, 3),
        )

    def is_paused(self, endpoint: messages.Endpoint, now: float) -> bool:
        """Returns whether nothing may be sent to an endpoint now."""
        return self._pauses.get(endpoint.process, now) > now

    def paused_ids(
        self, listed: dict[str, messages.Endpoint], now: float
    ) -> list[str]:
        """Returns the ids of the listed endpoints that are paused now."""
        for process, until in list(self._pauses.items()):
            if until <= now:
                del self._pauses[process]
        return [
            process.endpoint
            for process in self._pauses
            if process.endpoint in listed
            and listed[process.endpoint].process == process
        ]

    def seconds_left(
        self, endpoints: Iterable[messages.Endpoint], now: float
    ) -> float | None:
        """Returns the time until the first of some endpoints may be sent to.

        None if that is now, or there are none.
        """
        ends = []
        for each in endpoints:
            if not self.is_paused(each, now):
                return None
            ends.append(self._pauses[each.process])
        return min(ends) - now if ends else None
