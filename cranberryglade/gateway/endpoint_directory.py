"""List of endpoints that outlasts outages of the platform's store.

Entries can expire while the store is unreachable although their endpoints are
running; such endpoints register again soon after the store returns. Entries
that are missing right after an outage are therefore retained for a while.
"""

import dataclasses

from cranberryglade.gateway import messages

RECOVERY_GRACE_SECONDS = 2.3


@dataclasses.dataclass(slots=True)
class Entry:
    """An endpoint and the version of its row in the store."""

    endpoint: messages.Endpoint
    version: int


class EndpointDirectory:
    """The endpoints in use; performs no I/O."""

    __slots__ = (
        "_store_unreachable",
        "_store_back_at",
        "_removals",
        "_entries",
        "_version",
    )

    def __init__(self):
        self._entries: dict[str, Entry] = {}
        self._removals: dict[str, float] = {}
        self._store_unreachable = False
        self._store_back_at = float("-inf")
        self._version = 0

    @property
    def version(self) -> int:
        """The newest version among the rows that were applied."""
        return self._version

    @property
    def entries(self) -> list[Entry]:
        """The endpoints and the versions of their rows."""
        return list(self._entries.values())

    @property
    def endpoints(self) -> dict[str, messages.Endpoint]:
        """The endpoints by id."""
        return {name: entry.endpoint for name, entry in self._entries.items()}

    @property
    def next_expiry(self) -> float | None:
        """Time at which `expire` is next due; None if nothing expires."""
        return min(self._removals.values(), default=None)

    def store_lost(self) -> None:
        """Records that the store is unreachable."""
        self._store_unreachable = True

    def store_regained(self, now: float) -> None:
        """Records that the store is reachable again."""
        if self._store_unreachable:
            self._store_unreachable = False
            self._store_back_at = now

    def put(self, endpoint: messages.Endpoint, version: int) -> bool:
        """Applies a row unless it is stale; returns whether it took effect."""
        self._version = max(self._version, version)
        known = self._entries.get(endpoint.id)
        if known is not None and known.version >= version:
            return False
        self._removals.pop(endpoint.id, None)
        self._entries[endpoint.id] = Entry(endpoint, version)
        return known is None or known.endpoint != endpoint

    def remove(self, id_: str, version: int, now: float) -> bool:
        """Removes an entry, with a delay during and right after an outage.

        Returns:
            Whether the endpoint was removed at once.
        """
        self._version = max(self._version, version)
        known = self._entries.get(id_)
        if known is None or known.version > version:
            return False
        until = self._store_back_at + RECOVERY_GRACE_SECONDS
        if now < until or self._store_unreachable:
            self._removals.setdefault(id_, max(until, now))
            return False
        del self._entries[id_]
        self._removals.pop(id_, None)
        return True

    def keep_only(self, ids: set[str], version: int, now: float) -> bool:
        """Removes the entries that a complete read of the store lacks.

        Returns:
            Whether an endpoint was removed at once.
        """
        missing = self._entries.keys() - ids
        return any([self.remove(id_, version, now) for id_ in missing])

    def set_applied_version(self, version: int) -> None:
        """Records that all rows up to a version have been applied."""
        self._version = max(self._version, version)

    def expire(self, now: float) -> bool:
        """Removes entries that are due; returns whether there were any."""
        due = [id_ for id_, at in self._removals.items() if at <= now]
        for id_ in due:
            del self._removals[id_]
            self._entries.pop(id_, None)
        return bool(due)
