"""Finds the prefixes, and the requests, under which endpoints crash.

Load pattern: requests that share a prefix, or repeat one request, arrive at any
instance. Each crashes the endpoint that runs it, and with it all others that
run there; the endpoint is back after some seconds, as a new process.
"""

import dataclasses
from typing import Any

from cranberryglade import crash_evidence
from cranberryglade import quarantine
from cranberryglade import recent_map
from cranberryglade import verdicts
from cranberryglade.scheduling import action_collector
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import request_records
from cranberryglade.scheduling import request_table

CRASH_SECONDS = 5.0
"""An endpoint has crashed if it lost an answer and its process ended within
this time of each other."""

MAX_PROCESSES = 4096
"""Number of processes whose lost answers, and of those whose ends are kept."""

MAX_LOST_ATTEMPTS = 64
"""Number of lost answers that are kept for one process."""

EXPIRY_SECONDS = 1.0

REPORT_SECONDS = 5.0
"""How long peers are told of a crash."""

MAX_REPORTS = 8
MAX_REPORTED_ATTEMPTS = 16
"""Crashes that a message holds, the latest, and attempts of each."""

ENDPOINT_LOST = verdicts.MayHaveRun(verdicts.Reason.ENDPOINT_LOST)
LOST_VERDICTS = (
    verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST),
    ENDPOINT_LOST,
)
"""How the attempts fail that run at a process when it ends."""

Attempts = list[crash_evidence.RunningAttempt]


@dataclasses.dataclass(slots=True, frozen=True)
class _Crash:
    """A crash that peers are told of.

    Attributes:
        at: when it happened.
        attempts: the attempts that ran there.
    """

    at: float
    attempts: tuple[crash_evidence.RunningAttempt, ...]


class Crashes:
    """Lost answers, ended processes and the quarantine of prefixes.

    Times are seconds of the runtime's clock.
    """

    __slots__ = (
        "_changed",
        "_collector",
        "_crashes",
        "_ended",
        "_expires_at",
        "_lost",
        "_quarantine",
        "_request_table",
    )

    def __init__(
        self,
        collector: action_collector.ActionCollector,
        table: request_table.RequestTable,
    ):
        self._collector = collector
        self._request_table = table
        self._quarantine = quarantine.Quarantine(_FactLog(collector))
        self._lost: recent_map.RecentMap[messages.EndpointProcess, Attempts] = (
            recent_map.RecentMap(CRASH_SECONDS, MAX_PROCESSES)
        )
        self._ended: recent_map.RecentMap[messages.EndpointProcess, bool] = (
            recent_map.RecentMap(CRASH_SECONDS, MAX_PROCESSES)
        )
        self._crashes: recent_map.RecentMap[
            messages.EndpointProcess, _Crash
        ] = recent_map.RecentMap(REPORT_SECONDS, MAX_PROCESSES)
        self._changed = False
        self._expires_at = 0.0

    def quarantined_seconds(self, request: messages.Request) -> float | None:
        """Returns how long a request is refused, or None."""
        now = self._collector.now
        entry = self._quarantine.find(_parts(request), now)
        return None if entry is None else entry.until - now

    def take_change(self) -> bool:
        """Returns whether there are quarantines that it has not told of."""
        imposed = bool(self._quarantine.take_unsaved())
        if imposed:
            self._collector.add_action(messages.NotifyPeers())
        changed = self._changed or imposed
        self._changed = False
        return changed

    def reports(self, now: float) -> tuple[messages.CrashReported, ...]:
        """Returns the crashes to tell peers of."""
        recent = [
            (process, crash)
            for process, crash in self._crashes.items()
            if now - crash.at < REPORT_SECONDS
        ]
        return tuple(
            messages.CrashReported(
                process,
                tuple(
                    messages.LostAttempt(part, crash.at - attempt.began_at)
                    for attempt in crash.attempts[:MAX_REPORTED_ATTEMPTS]
                    for part in attempt.parts
                ),
                now - crash.at,
            )
            for process, crash in recent[-MAX_REPORTS:]
        )

    def quarantines(
        self, now: float
    ) -> tuple[messages.QuarantineReported, ...]:
        """Returns the quarantines for the next message to a peer."""
        return tuple(
            messages.QuarantineReported(
                entry.parts, entry.until - now, entry.generation, entry.lifted
            )
            for entry in self._quarantine.shared_entries()
            if entry.until > now
        )

    def learn_crash(self, report: messages.CrashReported) -> None:
        """Records a crash that a peer reported."""
        if not 0 <= report.age_seconds < REPORT_SECONDS:
            return
        at = self._collector.now - report.age_seconds
        attempts = [
            crash_evidence.RunningAttempt(
                (attempt.part,), at - attempt.running_seconds
            )
            for attempt in report.attempts
        ]
        self._record_crash(report.process, attempts, at)
        # All peers get the same reports, so that none needs to be told.
        if self._quarantine.take_unsaved():
            self._changed = True

    def learn_quarantine(self, report: messages.QuarantineReported) -> None:
        """Applies a quarantine that a peer reported."""
        now = self._collector.now
        entry = quarantine.Entry(
            report.prefixes,
            now + report.remaining_seconds,
            report.generation,
            report.lifted,
        )
        if self._quarantine.merge(entry, now, "peer"):
            self._changed = True

    def record_failure(
        self, record: request_records.RequestRecord, verdict: verdicts.Verdict
    ) -> None:
        """Records how an attempt failed, before the request's state changes."""
        lost = verdict in LOST_VERDICTS
        if not lost or record.endpoint is None:
            return
        process = record.endpoint.process
        now = self._collector.now
        attempts = [*(self._lost.get(process) or []), _running(record)]
        self._lost.set(process, attempts[-MAX_LOST_ATTEMPTS:], now)
        if process in self._ended or verdict == ENDPOINT_LOST:
            self.record_end(process)

    def record_end(self, process: messages.EndpointProcess) -> None:
        """Records that a process has ended or cannot be reached."""
        now = self._collector.now
        lost = self._lost.get(process)
        self._ended.set(process, True, now)
        self._lost.discard(process)
        if not lost:
            return
        running = [
            _running(record)
            for record in self._request_table.unfinished_records()
            if record.endpoint is not None
            and record.endpoint.process == process
        ]
        if self._record_crash(process, lost + running, now):
            self._collector.add_action(messages.NotifyPeers())

    def record_answer(self, record: request_records.RequestRecord) -> None:
        """Records a whole answer, which clears all parts of its request."""
        parts = _parts(record.request)
        self._quarantine.record_served(parts, self._collector.now)

    def expire(self) -> None:
        """Drops what is too old; does so once in EXPIRY_SECONDS at most."""
        now = self._collector.now
        if now < self._expires_at:
            return
        self._expires_at = now + EXPIRY_SECONDS
        self._lost.expire(now)
        self._ended.expire(now)
        self._crashes.expire(now)
        self._quarantine.expire(now, stores_ends=False)

    def _record_crash(
        self, process: messages.EndpointProcess, running: Attempts, at: float
    ) -> bool:
        """Records what ran in a crash; returns whether any of it was news."""
        known = self._crashes.get(process) or _Crash(at, ())
        known_parts = {p for attempt in known.attempts for p in attempt.parts}
        fresh = [
            attempt
            for attempt in running
            if not known_parts.issuperset(attempt.parts)
        ]
        if not fresh:
            return False
        now = self._collector.now
        crash = _Crash(known.at, (*known.attempts, *fresh))
        self._crashes.set(process, crash, now)
        self._quarantine.record_crash(process, fresh, now)
        return True


class _FactLog:
    """Turns the log lines of the quarantine into facts."""

    __slots__ = ("_collector",)

    def __init__(self, collector: action_collector.ActionCollector):
        self._collector = collector

    def info(self, event: str, **fields: Any) -> None:
        """Adds a fact."""
        subject = fields.get("endpoint") or ",".join(fields["parts"])
        measures = tuple(
            messages.Measure(name, float(value))
            for name, value in fields.items()
            if isinstance(value, int | float)
        )
        reason = str(fields.get("reason") or fields.get("source") or "")
        self._collector.add_fact(
            "", event.replace(".", " "), reason, subject, measures
        )

    def warning(self, event: str, **fields: Any) -> None:
        """Adds a fact."""
        self.info(event, **fields)


def _parts(request: messages.Request) -> tuple[str, ...]:
    """Returns what a request has in common with others."""
    prompt_parts = (request.prefix,) if request.prefix else ()
    digest = request.fingerprint
    return crash_evidence.request_parts(
        prompt_parts, digest and crash_evidence.REQUEST_PREFIX + digest
    )


def _running(
    record: request_records.RequestRecord,
) -> crash_evidence.RunningAttempt:
    return crash_evidence.RunningAttempt(
        _parts(record.request), record.dispatched_at
    )
