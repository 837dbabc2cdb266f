"""Origins of streams by the attempt that brought their first event."""

from cranberryglade import recent_map
from cranberryglade.gateway import messages

RETENTION_SECONDS = 60.0
"""How long an origin is kept; longer than a stream and its resumptions last."""

MAX_ORIGINS = 65_536
"""Number of origins that are kept; beyond it the oldest are dropped."""


class StreamOrigins:
    """Origins of recent streams; performs no I/O.

    Times are seconds of the loop's clock.
    """

    __slots__ = ("_origins",)

    def __init__(self):
        self._origins: recent_map.RecentMap[str, messages.StreamOrigin] = (
            recent_map.RecentMap(RETENTION_SECONDS, MAX_ORIGINS)
        )

    def __len__(self) -> int:
        """Returns the number of origins that are kept."""
        return len(self._origins)

    def record(
        self, attempt: str, origin: messages.StreamOrigin, now: float
    ) -> None:
        """Records what began a stream; drops origins that are too old.

        Args:
            attempt: id of the attempt that brought its first event.
            origin: the service and software version that it came from.
            now: the present time.
        """
        self._origins.set(attempt, origin, now)
        self._origins.expire(now)

    def find(self, attempt: str, now: float) -> messages.StreamOrigin | None:
        """Returns the origin of an attempt's stream, if it is known."""
        self._origins.expire(now)
        return self._origins.get(attempt)

    def all(self, now: float) -> dict[str, messages.StreamOrigin]:
        """Returns all origins, by attempt."""
        self._origins.expire(now)
        return dict(self._origins.items())

    def of_service(
        self, service: str, now: float
    ) -> dict[str, messages.StreamOrigin]:
        """Returns the origins of a service's streams, by attempt."""
        self._origins.expire(now)
        return {
            attempt: origin
            for attempt, origin in self._origins.items()
            if origin.service == service
        }
