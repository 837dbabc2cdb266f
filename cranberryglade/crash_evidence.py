"""Finds what crashes endpoints, by the crashes that it ran in.

A part is what requests have in common: a part of their prompts, or the whole
request, by its digest, which its repeats share.

Load pattern: requests that share one part arrive at any instance: no two alike,
or one request again and again. Each crashes the endpoint that runs it, and with
it requests that are sound and share the other parts. A part is suspected by the
crashes that happened while it ran, one after the other; a whole answer on it
clears it. Requests with a suspected part run one at a time, so that a crash has
one possible cause and few are needed to find it.

Endpoints also crash by themselves, in series or all at once. Much more is
therefore asked of a part that had whole answers lately, or that did not run in
most of the crashes.
"""

from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
import heapq

from cranberryglade import recent_map

REQUEST_PREFIX = "-"
"""First character of the digests of whole requests, which no id of a prompt
part has; sorts before those."""

SUSPECT_ENDPOINTS = 2
"""A part is suspected once this many endpoints crashed while it ran."""

QUARANTINE_CRASHES = 3
"""A part is quarantined after this many crashes in a row, each of a request
that began when the one before was known."""

WEAK_EVIDENCE_QUARANTINE_CRASHES = 5
"""More crashes are needed for a part that did not run in MOST_CRASHES since its
first, while another part without whole answers ran in all of its crashes (that
may have crashed endpoints to which requests were sent again), and if it is not
known what else ran in the latest crash."""

MOST_CRASHES = 0.75
HALF_OF_CRASHES = 0.5
"""A part that did not run in so many since its first is not quarantined."""

ANSWERED_SUSPECT_CRASHES = 3
ANSWERED_QUARANTINE_CRASHES = 8
"""Crashes in a row after which a part that had whole answers lately is
suspected, and quarantined."""

RECORD_SECONDS = 600.0
"""How long a crash counts."""

MAX_RECORDS = 4096
"""Number of parts whose crashes are recorded, and of prompt parts and of whole
requests whose answers are; the oldest are dropped first."""

SHARED_SUSPICIONS = 8
"""Suspicions that a heartbeat holds; those with most crashes."""


@dataclasses.dataclass(slots=True, frozen=True)
class RunningAttempt:
    """An attempt that ran at an endpoint when it crashed.

    Attributes:
        parts: what it has in common with other requests.
        began_at: when it got its slot, seconds of the loop's clock.
    """

    parts: tuple[str, ...]
    began_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Suspicion:
    """Crashes while a part ran, since its last whole answer.

    Attributes:
        part: id of the part.
        crashes: crashes in a row, each of a request that began when the one
            before was known.
        endpoints: number of endpoints that crashed.
    """

    part: str
    crashes: int
    endpoints: int


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """The likeliest cause of a crash.

    Attributes:
        parts: ids of the parts that cannot be told apart; none if there is
            too little evidence.
        crashes: most crashes in a row while one of the likely parts ran.
        running: number of parts that ran in the crash.
    """

    parts: tuple[str, ...]
    crashes: int
    running: int


@dataclasses.dataclass(slots=True)
class _Record:
    """Crashes while a part ran.

    Attributes:
        earlier: crashes of all parts before its first.
        crashes: as in Suspicion.
        endpoints: as in Suspicion.
        counted_at: when `crashes` last rose.
        processes: the processes that crashed.
    """

    earlier: int
    crashes: int = 0
    endpoints: int = 0
    counted_at: float = float("-inf")
    processes: set[Hashable] = dataclasses.field(default_factory=set)

    def add(self, process: Hashable, began_at: float, now: float) -> None:
        if process in self.processes:
            return
        self.endpoints += 1
        self.processes.add(process)
        if began_at > self.counted_at:
            self.crashes += 1
            self.counted_at = now


def request_parts(prompt_parts: Iterable[str], digest: str) -> tuple[str, ...]:
    """Returns what a request has in common with others.

    A prompt part that could be taken for a digest does not count.

    Args:
        prompt_parts: parts of its prompt that others may share.
        digest: the digest of the whole request, after REQUEST_PREFIX; "" if it
            has none.

    >>> request_parts(["a0", "-f00d"], "-beef")
    ('a0', '-beef')
    """
    shared = [p for p in prompt_parts if not p.startswith(REQUEST_PREFIX)]
    return (*shared, digest) if digest else tuple(shared)


class CrashEvidence:
    """Crashes and whole answers by part; performs no I/O.

    Times are seconds of the loop's clock.
    """

    __slots__ = (
        "_answered_prompt_parts",
        "_answered_requests",
        "_crashed",
        "_crashes",
        "_records",
    )

    def __init__(self):
        # Many requests are unlike all others, and must not displace the parts
        # of prompts.
        self._answered_prompt_parts: recent_map.RecentMap[str, bool] = (
            recent_map.RecentMap(RECORD_SECONDS, MAX_RECORDS)
        )
        self._answered_requests: recent_map.RecentMap[str, bool] = (
            recent_map.RecentMap(RECORD_SECONDS, MAX_RECORDS)
        )
        self._crashed: recent_map.RecentMap[Hashable, bool] = (
            recent_map.RecentMap(RECORD_SECONDS, MAX_RECORDS)
        )
        self._records: recent_map.RecentMap[str, _Record] = (
            recent_map.RecentMap(RECORD_SECONDS, MAX_RECORDS)
        )
        self._crashes = 0

    @property
    def suspected_count(self) -> int:
        """Number of suspected parts."""
        return sum(map(self._is_suspect, self._records))

    def suspected(self, parts: tuple[str, ...]) -> set[str]:
        """Returns those of some parts that are suspected.

        Only one request with such a part may run at a time.
        """
        if not self._records:
            return set()
        return set(filter(self._is_suspect, parts))

    def was_answered(self, part: str) -> bool:
        """Returns whether a part had whole answers lately."""
        return part in self._answered(part)

    def record_crash(
        self,
        process: Hashable,
        running: Iterable[RunningAttempt],
        now: float,
        complete: bool = True,
    ) -> Finding | None:
        """Records that an endpoint crashed, and what ran there.

        To be called again for attempts that become known later.

        Args:
            process: the process that ended.
            running: the attempts that ran there.
            now: the present time.
            complete: whether no other attempts ran there.

        Returns:
            The likeliest cause; None if no part ran.
        """
        latest: dict[str, float] = {}
        for attempt in running:
            for part in attempt.parts:
                known = latest.get(part, attempt.began_at)
                latest[part] = max(known, attempt.began_at)
        if latest:
            self._crashes += process not in self._crashed
            complete = complete and self._crashed.get(process) is not False
            self._crashed.set(process, complete, now)
        for part, began_at in latest.items():
            record = self._records.get(part) or _Record(self._crashes - 1)
            record.add(process, began_at, now)
            self._records.set(part, record, now)
        recorded = [part for part in latest if part in self._records]
        return self._judge(recorded, complete)

    def record_served(self, parts: tuple[str, ...], now: float) -> None:
        """Records a whole answer, which clears all parts of its request."""
        self.clear(parts)
        for part in parts:
            self._answered(part).set(part, True, now)

    def clear(self, parts: Iterable[str]) -> None:
        """Drops the suspicions against parts."""
        for part in parts:
            self._records.discard(part)

    def suspect(self, parts: Iterable[str], now: float) -> None:
        """Suspects parts so that one further crash is enough."""
        for part in parts:
            crashes = self._crashes_needed(part) - 1
            endpoints = max(crashes, SUSPECT_ENDPOINTS)
            self._set_record(part, crashes, endpoints, now)

    def suspicions(self) -> list[Suspicion]:
        """Returns the suspicions to share, those with most crashes."""
        told = (self._to_share(*item) for item in self._records.items())
        return heapq.nlargest(
            SHARED_SUSPICIONS,
            (each for each in told if each.crashes),
            key=lambda each: (each.crashes, each.endpoints),
        )

    def adopt(self, suspicions: Iterable[Suspicion], now: float) -> None:
        """Replaces the suspicions by those of the allocator."""
        self._records.clear()
        for each in suspicions:
            self._set_record(each.part, each.crashes, each.endpoints, now)

    def expire(self, now: float) -> None:
        """Drops what is too old."""
        self._answered_prompt_parts.expire(now)
        self._answered_requests.expire(now)
        self._crashed.expire(now)
        self._records.expire(now)

    def _answered(self, part: str) -> recent_map.RecentMap[str, bool]:
        """Returns the answered parts of the same kind."""
        if part.startswith(REQUEST_PREFIX):
            return self._answered_requests
        return self._answered_prompt_parts

    def _judge(self, parts: list[str], complete: bool) -> Finding | None:
        if not parts:
            return None
        likely = [p for p in parts if self._is_enough(p, parts, complete)]
        # What had no whole answer is likelier.
        likely = [p for p in likely if not self.was_answered(p)] or likely
        most = max(self._records.get(part).crashes for part in likely or parts)
        tied = [p for p in likely if self._records.get(p).crashes == most]
        return Finding(tuple(tied), most, len(parts))

    def _is_enough(self, part: str, running: list[str], complete: bool) -> bool:
        """Returns whether the crashes of a part may be put down to it.

        Args:
            part: id of the part.
            running: the parts that ran in its latest crash.
            complete: whether these are all.
        """
        record = self._records.get(part)
        needed = self._crashes_needed(part)
        presence = record.endpoints / max(1, self._crashes - record.earlier)
        if (
            not complete
            or presence < MOST_CRASHES
            or self._is_overshadowed(record, running)
        ):
            needed = max(needed, WEAK_EVIDENCE_QUARANTINE_CRASHES)
        return record.crashes >= needed and presence >= HALF_OF_CRASHES

    def _is_overshadowed(self, record: _Record, running: list[str]) -> bool:
        """Returns whether one other part ran in all crashes of a part.

        Parts with as many crashes in a row do not count: they cannot be told
        apart, and are found together.
        """
        others = [
            self._records.get(part)
            for part in running
            if not self.was_answered(part)
        ]
        return any(
            other.crashes < record.crashes
            and other.endpoints >= record.endpoints
            and other.processes >= record.processes
            for other in others
        )

    def _crashes_needed(self, part: str) -> int:
        if self.was_answered(part):
            return ANSWERED_QUARANTINE_CRASHES
        return QUARANTINE_CRASHES

    def _is_suspect(self, part: str) -> bool:
        record = self._records.get(part)
        if record is None:
            return False
        if self.was_answered(part):
            return record.crashes >= ANSWERED_SUSPECT_CRASHES
        return record.endpoints >= SUSPECT_ENDPOINTS

    def _to_share(self, part: str, record: _Record) -> Suspicion:
        """Returns a suspicion for others, who may not know of whole answers.

        What was answered is told with fewer crashes, so that others ask for
        as many more as this instance does.
        """
        if not self.was_answered(part):
            return Suspicion(part, record.crashes, record.endpoints)
        missing = max(0, ANSWERED_QUARANTINE_CRASHES - record.crashes)
        crashes = max(0, QUARANTINE_CRASHES - missing)
        return Suspicion(part, crashes, record.endpoints)

    def _set_record(
        self, part: str, crashes: int, endpoints: int, now: float
    ) -> None:
        earlier = self._crashes - endpoints
        record = _Record(earlier, crashes, endpoints, counted_at=now)
        self._records.set(part, record, now)
