"""List of endpoints that outlasts outages of the platform's store.

Entries can expire while the store is unreachable although their endpoints are
running; such endpoints register again soon after the store returns. Entries
that are missing right after an outage are therefore retained for a while.
"""

import dataclasses

from cranberryglade.gateway import messages
from cranberryglade.gateway import ports

RECOVERY_GRACE_SECONDS = 2.3

REMOVAL_MEMORY_SECONDS = 60.0
"""How long a removed entry is remembered; older than any copy that the store
comes back from."""

WITHHOLDING_SECONDS = 5.0
"""Time after the store came back from an old copy in which an entry that had
been removed is not used. If its endpoint is gone, it is removed again by then.
"""


@dataclasses.dataclass(slots=True)
class Entry:
    """An endpoint and the version of its row in the store."""

    endpoint: messages.Endpoint
    version: ports.Version


@dataclasses.dataclass(slots=True, frozen=True)
class RemovedEntry:
    """An entry that was removed, and when, in seconds of the loop's clock."""

    entry: Entry
    removed_at: float


class EndpointDirectory:
    """The endpoints in use; performs no I/O."""

    __slots__ = (
        "_store_unreachable",
        "_store_back_at",
        "_pending_removals",
        "_removed",
        "_entries",
        "_leaving",
        "_version",
        "_withheld",
        "_withheld_until",
    )

    def __init__(self):
        self._entries: dict[str, Entry] = {}
        self._pending_removals: dict[str, float] = {}
        self._removed: dict[str, RemovedEntry] = {}
        self._leaving: dict[str, int] = {}
        self._withheld: dict[str, Entry] = {}
        self._withheld_until: float | None = None
        self._store_unreachable = False
        self._store_back_at = float("-inf")
        self._version = ports.NO_VERSION

    @property
    def version(self) -> ports.Version:
        """The newest version among the rows that were applied."""
        return self._version

    @property
    def entries(self) -> list[Entry]:
        """The endpoints and the versions of their rows."""
        return list(self._entries.values())

    def entry(self, id_: str) -> Entry | None:
        """Returns one endpoint and the version of its row, if it is listed."""
        return self._entries.get(id_)

    @property
    def endpoints(self) -> dict[str, messages.Endpoint]:
        """The endpoints by id."""
        return {
            name: self._with_announcement(entry.endpoint)
            for name, entry in self._entries.items()
        }

    @property
    def announced(self) -> dict[str, int]:
        """Starts of the endpoints that announced that they leave, by id.

        Without those whose entries show it; milliseconds of Unix time.
        """
        return dict(self._leaving)

    @property
    def next_expiry(self) -> float | None:
        """Time at which a removal is next due; None if there is none."""
        return min(self._pending_removals.values(), default=None)

    def store_lost(self) -> None:
        """Records that the store is unreachable."""
        self._store_unreachable = True

    def store_regained(self, now: float) -> None:
        """Records that the store is reachable again."""
        if self._store_unreachable:
            self._store_unreachable = False
            self._store_back_at = now

    def store_restored(self, now: float) -> None:
        """Records that the store has come back from an old copy.

        Endpoints whose rows it lost write them again soon, and rows that were
        removed are back although their endpoints may be gone.
        """
        self._store_back_at = now
        self._withheld_until = now + WITHHOLDING_SECONDS

    def put(self, endpoint: messages.Endpoint, version: ports.Version) -> bool:
        """Applies a row unless it is stale; returns whether it took effect."""
        self._version = max(self._version, version)
        known = self._entries.get(endpoint.id)
        if known is not None and known.version >= version:
            return False
        entry = Entry(endpoint, version)
        if known is not None and _is_old_copy(entry, known):
            self._pending_removals.pop(endpoint.id, None)
            self._entries[endpoint.id] = Entry(known.endpoint, version)
            return False
        if self._must_withhold(entry):
            self._withheld[endpoint.id] = entry
            return False
        self._removed.pop(endpoint.id, None)
        self._pending_removals.pop(endpoint.id, None)
        self._entries[endpoint.id] = entry
        announced = self._leaving.get(endpoint.id)
        if endpoint.leaving or announced != endpoint.started_ms:
            self._leaving.pop(endpoint.id, None)
        return known is None or known.endpoint != endpoint

    def put_ahead(
        self, endpoint: messages.Endpoint, version: ports.Version
    ) -> bool:
        """Applies a row while rows of lower versions may still be missing.

        `version` stays as it is, so that those are still read. A row of that
        version or a lower one was applied before, and may have been removed
        since.

        Returns:
            As `put`.
        """
        applied = self._version
        if version <= applied:
            return False
        changed = self.put(endpoint, version)
        self._version = applied
        return changed

    def remove(self, id_: str, version: ports.Version, now: float) -> bool:
        """Removes an entry, with a delay during and right after an outage.

        Returns:
            Whether the endpoint was removed at once.
        """
        self._version = max(self._version, version)
        self._withheld.pop(id_, None)
        known = self._entries.get(id_)
        if known is None or known.version > version:
            return False
        until = self._store_back_at + RECOVERY_GRACE_SECONDS
        if now < until or self._store_unreachable:
            self._pending_removals.setdefault(id_, max(until, now))
            return False
        self._drop(id_, now)
        return True

    def keep_only(
        self, ids: set[str], version: ports.Version, now: float
    ) -> bool:
        """Removes the entries that a complete read of the store lacks.

        Returns:
            Whether an endpoint was removed at once.
        """
        missing = (self._entries.keys() | self._withheld.keys()) - ids
        return any([self.remove(id_, version, now) for id_ in missing])

    def announce_leaving(self, id_: str, started_ms: int) -> bool:
        """Records that the process of an endpoint is about to stop.

        Args:
            id_: its id.
            started_ms: when that process started.

        Returns:
            Whether this was not known.
        """
        known = self._entries.get(id_)
        if known is None or known.endpoint.started_ms != started_ms:
            return False
        if known.endpoint.leaving or self._leaving.get(id_) == started_ms:
            return False
        self._leaving[id_] = started_ms
        return True

    def _with_announcement(
        self, endpoint: messages.Endpoint
    ) -> messages.Endpoint:
        if self._leaving.get(endpoint.id) != endpoint.started_ms:
            return endpoint
        return dataclasses.replace(endpoint, leaving=True)

    def set_applied_version(self, version: ports.Version) -> None:
        """Records that all rows up to a version have been applied."""
        self._version = max(self._version, version)

    def expire(self, now: float) -> bool:
        """Removes and restores entries that are due.

        Returns:
            Whether there were any.
        """
        restored = self._restore_withheld(now)
        due = [id_ for id_, at in self._pending_removals.items() if at <= now]
        for id_ in due:
            self._drop(id_, now)
        return restored or bool(due)

    def _must_withhold(self, entry: Entry) -> bool:
        if self._withheld_until is None:
            return False
        removed = self._removed.get(entry.endpoint.id)
        return (
            removed is not None
            and removed.entry.version.era != entry.version.era
            and removed.entry.endpoint.started_ms == entry.endpoint.started_ms
        )

    def _restore_withheld(self, now: float) -> bool:
        if self._withheld_until is None or now < self._withheld_until:
            return False
        self._withheld_until = None
        withheld, self._withheld = self._withheld, {}
        for id_, entry in withheld.items():
            self._removed.pop(id_, None)
            self._entries[id_] = entry
        return bool(withheld)

    def _drop(self, id_: str, now: float) -> None:
        self._pending_removals.pop(id_, None)
        self._leaving.pop(id_, None)
        entry = self._entries.pop(id_, None)
        if entry is not None:
            self._removed[id_] = RemovedEntry(entry, now)
        for old, removed in list(self._removed.items()):
            if now - removed.removed_at >= REMOVAL_MEMORY_SECONDS:
                del self._removed[old]


def _is_old_copy(entry: Entry, known: Entry) -> bool:
    """Returns whether a row of another era is older than a known entry.

    A store that came back from an old copy shows rows as they were. The
    endpoint's own start and report number tell how old they are.
    """
    if entry.version.era == known.version.era:
        return False
    return _report_order(entry.endpoint) <= _report_order(known.endpoint)


def _report_order(endpoint: messages.Endpoint) -> tuple[int, int]:
    return endpoint.started_ms, endpoint.report_number
