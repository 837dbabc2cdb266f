"""Signs that endpoints leave, which outlive stale signs that they live.

The platform's list lags and may be read from an old copy, and a peer may
repeat what it heard long ago. So a sign of leaving is kept by name and
incarnation, and so is each incarnation that another one has replaced.
"""

import collections
from collections.abc import Iterator
import dataclasses

KEPT_MARKS = 4096
KEPT_REPLACED = 4096
RETENTION_SECONDS = 3600.0


@dataclasses.dataclass(slots=True, frozen=True)
class Mark:
    """One endpoint process that must get no new work.

    Attributes:
        name: the endpoint.
        incarnation: which process behind the name.
        since: when the first sign arrived, in seconds of the runtime's clock.
    """

    name: str
    incarnation: str
    since: float


class Departures:
    """Marks by endpoint process, bounded in number and age."""

    __slots__ = ("_dropped", "_marks", "_replaced")

    def __init__(self):
        self._marks: collections.OrderedDict[tuple[str, str], Mark] = (
            collections.OrderedDict()
        )
        self._replaced: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self._dropped = 0

    def __iter__(self) -> Iterator[Mark]:
        return iter(self._marks.values())

    @property
    def dropped(self) -> int:
        """Marks forgotten for want of room."""
        return self._dropped

    def add(self, name: str, incarnation: str, now: float) -> bool:
        """Keeps a sign of leaving; False if it was known."""
        key = (name, incarnation)
        if key in self._marks:
            return False
        self._marks[key] = Mark(name, incarnation, now)
        if len(self._marks) > KEPT_MARKS:
            self._marks.popitem(last=False)
            self._dropped += 1
        return True

    def is_leaving(self, name: str, incarnation: str) -> bool:
        """Tells whether a process has given a sign of leaving."""
        return (name, incarnation) in self._marks

    def replace(self, name: str, incarnation: str) -> None:
        """Keeps that another process has taken over the name."""
        self._replaced[name, incarnation] = None
        if len(self._replaced) > KEPT_REPLACED:
            self._replaced.popitem(last=False)

    def is_replaced(self, name: str, incarnation: str) -> bool:
        """Tells whether a process has been followed by another one."""
        return (name, incarnation) in self._replaced

    def expire(self, now: float, present: set[tuple[str, str]]) -> None:
        """Forgets old marks of endpoint processes that are not present."""
        old = [
            key
            for key, mark in self._marks.items()
            if now - mark.since > RETENTION_SECONDS and key not in present
        ]
        for key in old:
            del self._marks[key]
