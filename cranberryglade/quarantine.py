"""Bars requests that crash endpoints, or that have parts that do so.

The instances tell each other of it, so that a request is refused wherever it
arrives; `crash_evidence` finds the parts.
"""

from collections.abc import Iterable
import dataclasses
from typing import Any
from typing import Protocol

from cranberryglade import crash_evidence
from cranberryglade import log

QUARANTINE_SECONDS = 600.0
ANSWERED_QUARANTINE_SECONDS = 10.0
"""How long a first quarantine lasts; then one request at a time may run again,
and its crash starts a longer one."""

QUARANTINE_GROWTH = 3.0
MAX_QUARANTINE_SECONDS = 3600.0

MAX_ENTRIES = 1024
"""Number of quarantines that are kept; those that end first are dropped."""

MAX_ENTRY_PARTS = 4

SHARED_ENTRIES = 4
"""Quarantines that a heartbeat holds: the newest, and others in turn."""

logger = log.get_logger(__name__)


class Log(Protocol):
    """Gets the decisions, by the names and fields of structured logs."""

    def info(self, event: str, **fields: Any) -> None:
        """Logs a usual event."""

    def warning(self, event: str, **fields: Any) -> None:
        """Logs an event that an operator should look at."""


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """A quarantine of the requests that have all of some parts.

    Mostly there is one part. There are several while the crashes cannot tell
    which of them is the cause.

    Attributes:
        parts: ids of the parts, as in `crash_evidence`, sorted.
        until: when it ends, seconds of the loop's clock.
        generation: rises each time the same parts are quarantined.
        lifted: whether it was ended early.
    """

    parts: tuple[str, ...]
    until: float
    generation: int = 1
    lifted: bool = False

    def in_force(self, now: float) -> bool:
        """Returns whether it applies."""
        return not self.lifted and now < self.until

    def replaces(self, other: "Entry") -> bool:
        """Returns whether it is newer than another one on the same parts."""
        return (self.generation, self.lifted) > (other.generation, other.lifted)


class Quarantine:
    """Quarantined parts; performs no I/O.

    Times are seconds of the loop's clock.

    Attributes:
        evidence: which parts are suspected, and why.
        revision: rises when a quarantine begins or changes.
    """

    __slots__ = (
        "_entries",
        "_groups",
        "_log",
        "_rotation",
        "_unsaved",
        "evidence",
        "revision",
    )

    def __init__(self, log_to: Log = logger):
        self._log = log_to
        self.evidence = crash_evidence.CrashEvidence()
        self._entries: dict[tuple[str, ...], Entry] = {}
        # Entries with several parts; a dict keeps their order.
        self._groups: dict[tuple[str, ...], None] = {}
        self._unsaved: dict[tuple[str, ...], Entry] = {}
        self._rotation = 0
        self.revision = 0

    @property
    def is_empty(self) -> bool:
        """Whether there are no entries."""
        return not self._entries

    @property
    def entries(self) -> list[Entry]:
        """All quarantines, and for a while those that have ended."""
        return list(self._entries.values())

    def find(self, parts: tuple[str, ...], now: float) -> Entry | None:
        """Returns the quarantine that bars a request, if there is one."""
        if not self._entries or not parts:
            return None
        present = set(parts)
        for entry in self._entries_with(parts):
            if entry.in_force(now) and present.issuperset(entry.parts):
                return entry
        return None

    def record_crash(
        self,
        process: Any,
        running: Iterable[crash_evidence.RunningAttempt],
        now: float,
        complete: bool = True,
    ) -> None:
        """Records that an endpoint crashed; quarantines the likeliest cause.

        Args:
            process: the process that ended; a data class whose fields are
                logged.
            running: the attempts that ran there.
            now: the present time.
            complete: whether no other attempts ran there.
        """
        finding = self.evidence.record_crash(process, running, now, complete)
        if finding is None:
            return
        self._log.info(
            "endpoint.crashed",
            **dataclasses.asdict(process),
            parts=finding.running,
            most_crashes=finding.crashes,
        )
        if finding.parts:
            reason = f"{finding.crashes} crashes in a row"
            self._impose(finding.parts, now, reason)

    def record_served(self, parts: tuple[str, ...], now: float) -> None:
        """Records a whole answer, which clears all parts of its request."""
        self.evidence.record_served(parts, now)
        for entry in self._entries_with(parts):
            if not entry.in_force(now):
                continue
            cleared = set(parts).intersection(entry.parts)
            remaining = tuple(p for p in entry.parts if p not in cleared)
            self.lift(entry.parts, now, "answered")
            self.evidence.clear(cleared)
            if remaining:
                self._impose(remaining, now, "others answered")

    def lift(self, parts: tuple[str, ...], now: float, reason: str) -> bool:
        """Ends a quarantine early; returns whether there was one.

        Its parts stay suspected, so that one further crash starts it again.
        """
        entry = self._entries.get(tuple(sorted(parts)))
        if entry is None or not entry.in_force(now):
            return False
        self._end(entry, now)
        self._log.info("quarantine.lifted", parts=entry.parts, reason=reason)
        return True

    def merge(self, entry: Entry, now: float, source: str) -> bool:
        """Applies a quarantine that a peer or the store has.

        Args:
            entry: the quarantine.
            now: the present time.
            source: where it comes from, for the log.

        Returns:
            Whether it was news.
        """
        if entry.until <= now or not entry.parts:
            return False
        known = self._entries.get(entry.parts)
        if known is not None and not entry.replaces(known):
            return False
        until = min(entry.until, now + MAX_QUARANTINE_SECONDS)
        if entry.lifted:
            self.evidence.suspect(entry.parts, now)
        self._keep(dataclasses.replace(entry, until=until))
        self._log.info(
            "quarantine.learned",
            parts=entry.parts,
            lifted=entry.lifted,
            source=source,
        )
        return True

    def shared_entries(self) -> list[Entry]:
        """Returns the quarantines for the next heartbeat."""
        known = list(self._entries.values())
        if len(known) <= SHARED_ENTRIES:
            return known
        older = known[:-1]
        self._rotation += SHARED_ENTRIES - 1
        chosen = [
            older[(self._rotation + offset) % len(older)]
            for offset in range(SHARED_ENTRIES - 1)
        ]
        return [known[-1], *chosen]

    def take_unsaved(self) -> list[Entry]:
        """Returns the changes made here since the last call, to be stored."""
        unsaved, self._unsaved = self._unsaved, {}
        return list(unsaved.values())

    def save_again(self, entries: Iterable[Entry]) -> None:
        """Marks quarantines as not stored, unless they changed since."""
        for entry in entries:
            self._unsaved.setdefault(entry.parts, entry)

    def expire(self, now: float, stores_ends: bool = True) -> None:
        """Drops what is too old, and ends quarantines whose time is over.

        Args:
            now: the present time.
            stores_ends: whether this instance is to store these ends; one of
                all instances is enough.
        """
        self.evidence.expire(now)
        for entry in self.entries:
            if now < entry.until:
                continue
            if entry.lifted:
                self._forget(entry.parts)
                continue
            self._end(entry, now, stores_ends)
            self._log.info("quarantine.ended", parts=entry.parts)

    def _entries_with(self, parts: tuple[str, ...]) -> list[Entry]:
        """Returns the entries that have any of some parts."""
        present = set(parts)
        names = [(part,) for part in parts]
        names += [each for each in self._groups if not present.isdisjoint(each)]
        return [self._entries[name] for name in names if name in self._entries]

    def _end(self, entry: Entry, now: float, stores_end: bool = True) -> None:
        """Ends a quarantine; it stays known as lifted for a while."""
        until = now + MAX_QUARANTINE_SECONDS
        self.evidence.suspect(entry.parts, now)
        self._keep(dataclasses.replace(entry, until=until, lifted=True))
        self._unsaved.pop(entry.parts, None)
        if stores_end:
            self._unsaved[entry.parts] = self._entries[entry.parts]

    def _impose(self, parts: tuple[str, ...], now: float, reason: str) -> None:
        chosen = tuple(sorted(parts)[:MAX_ENTRY_PARTS])
        for known in self._entries.values():
            if known.in_force(now) and set(known.parts) <= set(chosen):
                return
        for known in self.entries:
            if known.in_force(now) and set(known.parts) > set(chosen):
                self._end(known, now)
        earlier = self._entries.get(chosen)
        generation = earlier.generation + 1 if earlier else 1
        seconds = self._quarantine_seconds(chosen, generation)
        entry = Entry(chosen, now + seconds, generation)
        self._keep(entry)
        self._unsaved[chosen] = entry
        self._log.warning(
            "quarantine.imposed",
            parts=chosen,
            reason=reason,
            lasts_s=round(seconds),
        )

    def _quarantine_seconds(
        self, parts: tuple[str, ...], generation: int
    ) -> float:
        first = QUARANTINE_SECONDS
        if any(map(self.evidence.was_answered, parts)):
            first = ANSWERED_QUARANTINE_SECONDS
        grown = first * QUARANTINE_GROWTH ** min(generation - 1, 10)
        return min(grown, MAX_QUARANTINE_SECONDS)

    def _keep(self, entry: Entry) -> None:
        self._forget(entry.parts)
        self._entries[entry.parts] = entry
        self.revision += 1
        if len(entry.parts) > 1:
            self._groups[entry.parts] = None
        while len(self._entries) > MAX_ENTRIES:
            first = min(self._entries.values(), key=lambda each: each.until)
            self._forget(first.parts)
            self._log.warning("quarantine.dropped", parts=first.parts)

    def _forget(self, parts: tuple[str, ...]) -> None:
        self._entries.pop(parts, None)
        self._groups.pop(parts, None)
