"""Checks the guarantees against what callers and endpoints observed."""

import bisect
import collections
from collections.abc import Iterator
import dataclasses

from cranberryglade.soak import losses
from cranberryglade.soak import observations
from cranberryglade.soak import rollout_checks

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that state that the request has not run and will not run."""

QUARANTINED_BODY = b"quarantined"
"""Body of the answer to a request with a prompt part that is quarantined."""

CONTACT_SECONDS = 3.0
"""Time in which instances that are in touch learn what the others know."""

CRASHES_UNTIL_KNOWN = 5
MAX_LATE_CRASHING_RUNS = 3
"""Requests with a crashing part that may still run once it should be known."""

LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
"""In a window, an endpoint gets at most LIMIT_FACTOR times what the limit that
it names allows, and LIMIT_SLACK requests."""

TIMEOUT_SLACK_SECONDS = 0.5
MIN_RECOVERED_SHARE = 0.9


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A broken guarantee.

    Attributes:
        guarantee: short name of the guarantee.
        id: the request; empty if it concerns no single one.
        detail: what was observed.
    """

    guarantee: str
    id: str
    detail: str


def check(
    history: observations.History, bounds: observations.Bounds
) -> list[Violation]:
    """Returns the violations of all guarantees."""
    return [
        violation
        for checker in (
            _check_single_run,
            _check_refusals,
            _check_responses,
            _check_streams,
            _check_versions,
            _check_timeouts,
            _check_planned_stops,
            _check_losses,
            _check_stop_durations,
            _check_revoked_keys,
            _check_quota,
            _check_retries,
            _check_recovery,
            _check_crashing_parts,
            _check_sound_parts,
            _check_named_limits,
            _check_rollouts,
            _check_crowds,
            _check_processes,
        )
        for violation in checker(history, bounds)
    ]


def _check_single_run(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    seen = set()
    for run in history.runs:
        submission = history.submissions.get(run.id)
        if submission is None:
            yield Violation("unasked", run.id, "no caller sent it")
        elif submission.route in ("pay", "note") and run.id in seen:
            yield Violation(
                "once", run.id, f"{submission.route} ran more than once"
            )
        seen.add(run.id)


def _check_refusals(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    ran = {run.id for run in history.runs}
    for each in history.submissions.values():
        once = each.route in ("pay", "note")
        if once and each.status in NOT_RUN_STATUSES and each.id in ran:
            yield Violation(
                "truth", each.id, f"status {each.status}, but it ran"
            )


def _check_responses(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    ran = {run.id for run in history.runs}
    for each in history.submissions.values():
        if each.unreadable:
            yield Violation("own answer", each.id, each.unreadable)
        if each.status != 200 or not each.whole or each.abandoned:
            continue
        if not each.sealed or each.id not in ran:
            yield Violation(
                "own answer", each.id, "status 200, but no seal or no run"
            )
        elif each.route in ("look", "pay") and each.id not in str(each.body):
            yield Violation(
                "own answer", each.id, f"response body {each.body!r}"
            )


def _check_streams(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    for each in history.submissions.values():
        if each.route not in observations.STREAM_ROUTES or each.status != 200:
            continue
        lines = each.body.decode().splitlines()
        ids = [line[4:] for line in lines if line.startswith("id: ")]
        first = each.resumed_after + 1
        wanted = [str(number) for number in range(first, bounds.events + 1)]
        if each.whole and ids != wanted:
            yield Violation("stream", each.id, f"complete, with events {ids}")
        elif ids[:-1] != wanted[: len(ids[:-1])]:
            # The last event may be incomplete, so its id is not compared.
            yield Violation("stream", each.id, f"incomplete, with events {ids}")


def _check_versions(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    for each in history.submissions.values():
        if each.route not in observations.STREAM_ROUTES or each.status != 200:
            continue
        versions = each.versions
        if each.resumes:
            versions = versions | history.submissions[each.resumes].versions
        if len(versions) > 1:
            yield Violation("version", each.id, f"events of {versions}")


def _check_timeouts(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    for each in history.submissions.values():
        allowed = bounds.timeout_seconds + TIMEOUT_SLACK_SECONDS
        took = each.ended - each.sent
        if took > allowed + each.lag_seconds and not observations.any_overlaps(
            history.disturbed, each
        ):
            yield Violation("held", each.id, f"ended after {took:.2f} s")


def _check_planned_stops(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    """Yields what ran and got nothing in a planned stop, without excuses."""
    ran = {run.id for run in history.runs}
    for each in history.submissions.values():
        lost = each.status == 0 and each.id in ran and not each.abandoned
        if (
            lost
            and observations.any_overlaps(history.stops, each)
            and not observations.any_overlaps(history.disturbed, each)
        ):
            yield Violation("stop", each.id, "ran, but lost in a planned stop")


def _check_losses(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    for loss in losses.find(history, bounds):
        yield Violation(loss.clause, loss.id, loss.detail)


def _check_stop_durations(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    for detail in history.late_stops:
        yield Violation("stop in time", "", detail)


def _check_revoked_keys(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    for run in history.runs:
        each = history.submissions.get(run.id)
        if each is None or not each.second_key:
            continue
        for period in history.revocations:
            # A gateway that was paused may not read the request until the
            # key has been restored.
            within = run.at < period.ended
            if within and each.sent > period.begun + bounds.revoke_seconds:
                late = each.sent - period.begun
                yield Violation(
                    "key", run.id, f"ran, sent {late:.2f} s after revocation"
                )


def _check_quota(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    times = [
        run.at
        for run in history.runs
        if (each := history.submissions.get(run.id)) and each.second_key
    ]
    for at, count in _count_windows(times, bounds.quota_window_seconds):
        if count > bounds.quota:
            yield Violation("quota", "", f"{count} from {at:.2f} s")
            return


def _check_retries(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    seen: set[str] = set()
    retries = []
    for run in history.runs:
        if run.id in seen:
            retries.append(run.at)
        seen.add(run.id)
    sent = sorted(each.sent for each in history.submissions.values())
    window = bounds.retry_window_seconds
    for at, count in _count_windows(retries, window):
        last = bisect.bisect_right(sent, at + window)
        requests = last - bisect.bisect_left(sent, at - window)
        if count > bounds.retry_ratio * requests + bounds.retry_slack:
            yield Violation(
                "repeats", "", f"{count} retries, {requests} requests"
            )
            return


def _check_recovery(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    late = [
        each
        for each in history.submissions.values()
        if each.sent > history.recovery_due and not each.second_key
    ]
    served = sum(each.status == 200 and each.whole for each in late)
    abandoned = sum(each.abandoned for each in late)
    if late and served < MIN_RECOVERED_SHARE * (len(late) - abandoned):
        statuses = collections.Counter(each.status for each in late)
        detail = f"{served} of {len(late)} served; by status {dict(statuses)}"
        yield Violation("recovery", "", detail)


def _check_crashing_parts(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    runs = collections.defaultdict(list)
    for run in history.runs:
        submission = history.submissions.get(run.id)
        if submission is not None and submission.crashing_part:
            runs[submission.crashing_part].append((run.at, submission))
    for part, ran in runs.items():
        if len(ran) < CRASHES_UNTIL_KNOWN:
            continue
        known_at = ran[CRASHES_UNTIL_KNOWN - 1][0] + CONTACT_SECONDS
        late = [
            each.id
            for at, each in ran
            if at > known_at
            and not observations.any_overlaps(history.disturbed, each)
        ]
        if len(late) > MAX_LATE_CRASHING_RUNS:
            detail = f"{len(ran)} runs, {len(late)} once it was known"
            yield Violation("crashing part", part, detail)


def _check_sound_parts(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    for each in history.submissions.values():
        if each.body == QUARANTINED_BODY and not each.crashing_part:
            yield Violation("sound part", each.id, "refused as quarantined")


def _check_named_limits(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    for period in history.limits:
        first = period.begun + CONTACT_SECONDS
        last = period.ended - LIMIT_WINDOW_SECONDS
        times = [
            arrival.at
            for arrival in history.arrivals
            if arrival.endpoint == period.endpoint
            and first <= arrival.at < period.ended
        ]
        most = LIMIT_FACTOR * period.per_second * LIMIT_WINDOW_SECONDS
        for at, count in _count_windows(times, LIMIT_WINDOW_SECONDS):
            if at <= last and count > most + LIMIT_SLACK:
                detail = f"{count} at {period.per_second} a second"
                yield Violation("named limit", period.endpoint, detail)
                break


def _check_crowds(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    excused = history.disturbed + history.stops
    for each in history.probes:
        if not each.answered and not any(
            period.overlaps(each.gateway, each.begun, each.ended)
            for period in excused
        ):
            detail = f"no answer from gate-{each.gateway} after {each.crowd}"
            yield Violation("crowd", "", detail)


def _check_processes(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    for detail in history.ended_processes:
        yield Violation("process", "", detail)


def _check_rollouts(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Violation]:
    for guarantee, detail in rollout_checks.find(history, bounds):
        yield Violation(guarantee, "", detail)


def _count_windows(
    times: list[float], seconds: float
) -> Iterator[tuple[float, int]]:
    times = sorted(times)
    for first, at in enumerate(times):
        yield at, bisect.bisect_left(times, at + seconds) - first
