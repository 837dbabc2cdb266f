"""Which endpoints there are, through outages of the platform's store.

Entries can lapse while the store is away although their endpoints live; such
endpoints write themselves again soon after its return. So what is missing
right after an outage is kept for a while.
"""

import dataclasses

from cranberryglade.gateway import messages

RETURN_SECONDS = 2.3


@dataclasses.dataclass(slots=True)
class Entry:
    """An endpoint with the version of its row."""

    endpoint: messages.Endpoint
    version: int


class Directory:
    """The endpoints in use; sans I/O."""

    __slots__ = ("_away", "_back_at", "_doomed", "_entries", "_version")

    def __init__(self):
        self._entries: dict[str, Entry] = {}
        self._doomed: dict[str, float] = {}
        self._away = False
        self._back_at = float("-inf")
        self._version = 0

    @property
    def version(self) -> int:
        """The newest version among the rows taken in."""
        return self._version

    @property
    def entries(self) -> list[Entry]:
        """The endpoints with the versions of their rows."""
        return list(self._entries.values())

    @property
    def listed(self) -> dict[str, messages.Endpoint]:
        """The endpoints by id."""
        return {name: entry.endpoint for name, entry in self._entries.items()}

    @property
    def next_wake(self) -> float | None:
        """When `expire` has to be called."""
        return min(self._doomed.values(), default=None)

    def store_lost(self) -> None:
        """Takes in that the store does not answer."""
        self._away = True

    def store_back(self, now: float) -> None:
        """Takes in that it answers again."""
        if self._away:
            self._away = False
            self._back_at = now

    def put(self, endpoint: messages.Endpoint, version: int) -> bool:
        """Takes in an entry; returns whether anything changed."""
        self._version = max(self._version, version)
        known = self._entries.get(endpoint.id)
        if known is not None and known.version >= version:
            return False
        self._doomed.pop(endpoint.id, None)
        self._entries[endpoint.id] = Entry(endpoint, version)
        return known is None or known.endpoint != endpoint

    def remove(self, id_: str, version: int, now: float) -> bool:
        """Takes in that an entry is gone; returns whether it is out of use."""
        self._version = max(self._version, version)
        known = self._entries.get(id_)
        if known is None or known.version > version:
            return False
        until = self._back_at + RETURN_SECONDS
        if now < until or self._away:
            self._doomed.setdefault(id_, max(until, now))
            return False
        del self._entries[id_]
        self._doomed.pop(id_, None)
        return True

    def keep_only(self, ids: set[str], version: int, now: float) -> bool:
        """Takes in a whole reading of the store."""
        missing = self._entries.keys() - ids
        return any([self.remove(id_, version, now) for id_ in missing])

    def caught_up(self, version: int) -> None:
        """Takes in that all rows up to a version have been taken in."""
        self._version = max(self._version, version)

    def expire(self, now: float) -> bool:
        """Drops what did not come back in time."""
        due = [id_ for id_, at in self._doomed.items() if at <= now]
        for id_ in due:
            del self._doomed[id_]
            self._entries.pop(id_, None)
        return bool(due)
