"""Departure records of endpoint processes, which override stale listings.

The platform's list lags and may be read from an old copy, and a peer may relay
old news. So a process that is leaving is recorded by name and incarnation, as
is each incarnation that another one has replaced.
"""

import collections
from collections.abc import Iterator
import dataclasses

KEPT_DEPARTURES = 4096
KEPT_REPLACED = 4096
RETENTION_SECONDS = 3600.0


@dataclasses.dataclass(slots=True, frozen=True)
class DepartureRecord:
    """One endpoint process that must get no new work.

    Attributes:
        name: the endpoint.
        incarnation: the process behind the name.
        since: time of the first notice, in seconds of the runtime's clock.
    """

    name: str
    incarnation: str
    since: float


class Departures:
    """Departure records by endpoint process, bounded in number and age."""

    __slots__ = ("_evicted", "_records", "_replaced")

    def __init__(self):
        self._records: collections.OrderedDict[
            tuple[str, str], DepartureRecord
        ] = collections.OrderedDict()
        self._replaced: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self._evicted = 0

    def __iter__(self) -> Iterator[DepartureRecord]:
        return iter(self._records.values())

    @property
    def evicted(self) -> int:
        """Number of departure records evicted because of the size limit."""
        return self._evicted

    def add(self, name: str, incarnation: str, now: float) -> bool:
        """Records that an endpoint process is leaving.

        Args:
            name: the endpoint.
            incarnation: the process behind the name.
            now: time in seconds of the runtime's clock.

        Returns:
            Whether this was not recorded before.
        """
        key = (name, incarnation)
        if key in self._records:
            return False
        self._records[key] = DepartureRecord(name, incarnation, now)
        if len(self._records) > KEPT_DEPARTURES:
            self._records.popitem(last=False)
            self._evicted += 1
        return True

    def is_leaving(self, name: str, incarnation: str) -> bool:
        """Returns whether a process is known to be leaving."""
        return (name, incarnation) in self._records

    def record_replacement(self, name: str, incarnation: str) -> None:
        """Records that another process has replaced this one."""
        self._replaced[name, incarnation] = None
        if len(self._replaced) > KEPT_REPLACED:
            self._replaced.popitem(last=False)

    def is_replaced(self, name: str, incarnation: str) -> bool:
        """Returns whether another process has replaced this one."""
        return (name, incarnation) in self._replaced

    def expire(self, now: float, present: set[tuple[str, str]]) -> None:
        """Removes departure records older than RETENTION_SECONDS.

        Args:
            now: time in seconds of the runtime's clock.
            present: name and incarnation of each known endpoint process; their
                records are kept.
        """
        old = [
            key
            for key, record in self._records.items()
            if now - record.since > RETENTION_SECONDS and key not in present
        ]
        for key in old:
            del self._records[key]
