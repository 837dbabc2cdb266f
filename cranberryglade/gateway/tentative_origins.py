"""Origins of streams whose endpoint may have been another process by then."""

import dataclasses
import itertools

from cranberryglade import recent_map
from cranberryglade.gateway import endpoint_processes
from cranberryglade.gateway import messages
from cranberryglade.gateway import stream_origins


@dataclasses.dataclass(slots=True, frozen=True)
class TentativeOrigin:
    """What has begun a stream if the listed process did.

    Attributes:
        endpoint: the endpoint as it was listed.
        begun: when the stream began, seconds of the loop's clock.
    """

    endpoint: messages.Endpoint
    begun: float


class TentativeOrigins:
    """Tentative origins by attempt; performs no I/O.

    Times are seconds of the loop's clock.
    """

    __slots__ = ("_origins",)

    def __init__(self):
        self._origins: recent_map.RecentMap[str, TentativeOrigin] = (
            recent_map.RecentMap(
                stream_origins.RETENTION_SECONDS, stream_origins.MAX_ORIGINS
            )
        )

    def __len__(self) -> int:
        """Returns the number of origins that are tentative."""
        return len(self._origins)

    def add(self, attempt: str, origin: TentativeOrigin) -> None:
        """Adds an origin."""
        self._origins.set(attempt, origin, origin.begun)

    def discard(self, attempt: str) -> None:
        """Drops the origin of an attempt, if it is tentative."""
        self._origins.discard(attempt)

    def confirm(self, until: float) -> None:
        """Drops those of streams that began before a confirmation."""
        earlier = itertools.takewhile(
            lambda each: each[1].begun <= until, self._origins.items()
        )
        for attempt, _ in list(earlier):
            self._origins.discard(attempt)

    def take_all(self) -> dict[str, TentativeOrigin]:
        """Removes and returns all, as nothing will confirm them."""
        taken = dict(self._origins.items())
        self._origins.clear()
        return taken

    def take_refuted(
        self, listed: dict[str, messages.Endpoint]
    ) -> dict[str, TentativeOrigin]:
        """Removes and returns those that another process may have begun.

        Args:
            listed: the endpoints as they are listed now.
        """
        taken = {
            attempt: origin
            for attempt, origin in self._origins.items()
            if endpoint_processes.is_replaced(origin.endpoint, listed)
        }
        for attempt in taken:
            self._origins.discard(attempt)
        return taken
