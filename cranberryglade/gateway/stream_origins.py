"""Origins of streams by the attempt that brought their first event."""

import collections
import dataclasses

from cranberryglade.gateway import messages

RETENTION_SECONDS = 60.0
"""How long an origin is kept; longer than a stream and its resumptions last."""

MAX_ORIGINS = 65_536
"""Number of origins that are kept; beyond it the oldest are dropped."""


@dataclasses.dataclass(slots=True, frozen=True)
class _Entry:
    origin: messages.StreamOrigin
    recorded_at: float


class StreamOrigins:
    """Origins of recent streams; performs no I/O.

    Times are seconds of the loop's clock.
    """

    __slots__ = ("_entries",)

    def __init__(self):
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of origins that are kept."""
        return len(self._entries)

    def record(
        self, attempt: str, origin: messages.StreamOrigin, now: float
    ) -> None:
        """Records what began a stream; drops origins that are too old.

        Args:
            attempt: id of the attempt that brought its first event.
            origin: the service and software version that it came from.
            now: the present time.
        """
        self._entries[attempt] = _Entry(origin, now)
        self._entries.move_to_end(attempt)
        self._expire(now)

    def find(self, attempt: str, now: float) -> messages.StreamOrigin | None:
        """Returns the origin of an attempt's stream, if it is known."""
        self._expire(now)
        entry = self._entries.get(attempt)
        return None if entry is None else entry.origin

    def of_service(
        self, service: str, now: float
    ) -> dict[str, messages.StreamOrigin]:
        """Returns the origins of a service's streams, by attempt."""
        self._expire(now)
        return {
            attempt: entry.origin
            for attempt, entry in self._entries.items()
            if entry.origin.service == service
        }

    def _expire(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            recent = now - oldest.recorded_at < RETENTION_SECONDS
            if recent and len(self._entries) <= MAX_ORIGINS:
                return
            self._entries.popitem(last=False)
