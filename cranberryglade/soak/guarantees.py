"""Checks the guarantees against what callers and endpoints observed."""

import bisect
import collections
from collections.abc import Iterator
import dataclasses

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that state that the request has not run and will not run."""

STREAM_ROUTES = ("write", "note")

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


@dataclasses.dataclass(slots=True)
class Submission:
    """A request as its caller observed it.

    Attributes:
        id: request id.
        route: name of its route.
        gateway: number of the gateway that it was sent to.
        second_key: whether it was sent with the second organisation's key.
        sent: when it was sent, in seconds of the event loop's clock.
        ended: when its response was read, its connection ended or its caller
            gave up; on the same clock.
        status: status of the response; 0 if there was none.
        whole: whether the response was complete.
        sealed: whether the response had an endpoint's response seal.
        body: body of the response, as far as it was received.
        abandoned: whether the caller gave up deliberately, or the run ended
            first.
        lag_seconds: total delay of the soak's own event loop since `sent`.
        resumes: request whose broken stream it resumes; "" if none.
        resumed_after: number of the last event of that stream.
        crashing_part: part of its prompt that crashes endpoints; "" if none.
        unreadable: why what its caller received is no answer; "" if it is one,
            or nothing was received.
    """

    id: str
    route: str
    gateway: int
    second_key: bool
    sent: float
    ended: float = 0.0
    status: int = 0
    whole: bool = False
    sealed: bool = False
    body: bytes = b""
    abandoned: bool = False
    lag_seconds: float = 0.0
    resumes: str = ""
    resumed_after: int = 0
    crashing_part: str = ""
    unreadable: str = ""

    @property
    def resumable(self) -> bool:
        """Whether a caller may resume its broken stream."""
        broken = self.status == 200 and not self.whole
        first = self.route == "write" and not self.resumes
        return broken and first and self.last_event > 0

    @property
    def last_event(self) -> int:
        """Number of the last whole event that its caller received."""
        ids = self._fields(b"id: ")
        return int(ids[-1]) if ids else 0

    @property
    def versions(self) -> set[bytes]:
        """Software versions that its events came from."""
        return {text.rpartition(b" ")[0] for text in self._fields(b"data: ")}

    def _fields(self, name: bytes) -> list[bytes]:
        """Returns the values of a field in the whole events of the body."""
        whole = self.body.rpartition(b"\n\n")[0]
        return [
            line.removeprefix(name)
            for line in whole.split(b"\n")
            if line.startswith(name)
        ]


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """A request that an endpoint started to run.

    Attributes:
        id: request id.
        at: when it started, in seconds of the event loop's clock.
    """

    id: str
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        endpoint: id of the endpoint.
        at: when, in seconds of the event loop's clock.
    """

    endpoint: str
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class LimitPeriod:
    """A period in which an endpoint named a limit.

    Attributes:
        endpoint: id of the endpoint.
        per_second: the limit, in requests a second.
        begun: when it began to, in seconds of the event loop's clock.
        ended: when it stopped, on the same clock.
    """

    endpoint: str
    per_second: float
    begun: float
    ended: float


@dataclasses.dataclass(slots=True, frozen=True)
class Period:
    """A period for all gateways, in seconds of the event loop's clock."""

    begun: float
    ended: float


@dataclasses.dataclass(slots=True, frozen=True)
class GatewayPeriod:
    """A period for one gateway, in seconds of the event loop's clock."""

    gateway: int
    begun: float
    ended: float

    def overlaps(self, gateway: int, begun: float, ended: float) -> bool:
        """Returns whether it overlaps a period of that gateway."""
        return (
            self.gateway == gateway
            and begun <= self.ended
            and ended >= self.begun
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """The limits that the guarantees are checked against.

    Attributes:
        timeout_seconds: timeout of every route.
        revoke_seconds: longest time until a revoked key is refused.
        quota: most requests of the second organisation that may run in one
            quota window.
        quota_window_seconds: length of the quota window.
        retry_ratio: retries allowed for each request sent.
        retry_slack: retries allowed in addition.
        retry_window_seconds: length of the window that retries are counted
            in.
        events: number of events in a complete stream.
    """

    timeout_seconds: float
    revoke_seconds: float
    quota: float
    quota_window_seconds: float
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    events: int


@dataclasses.dataclass(slots=True)
class History:
    """Everything observed in one run of the soak.

    Attributes:
        submissions: requests of callers, by id.
        runs: requests that endpoints started to run, in order.
        arrivals: requests that reached endpoints, in order.
        limits: periods in which endpoints named a limit.
        disturbed: periods in which a gateway was killed, paused or
            restarting, extended by run.SETTLE_SECONDS.
        stops: planned stops, from the signal until the process had ended.
        revocations: periods in which the second key was revoked: from the
            confirmed write until just before the key is restored.
        late_stops: descriptions of the planned stops that exceeded the grace
            period.
        recovery_due: when all faults are over and the gateways should have
            recovered, in seconds of the event loop's clock.
    """

    submissions: dict[str, Submission] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    limits: list[LimitPeriod] = dataclasses.field(default_factory=list)
    disturbed: list[GatewayPeriod] = dataclasses.field(default_factory=list)
    stops: list[GatewayPeriod] = dataclasses.field(default_factory=list)
    revocations: list[Period] = dataclasses.field(default_factory=list)
    late_stops: list[str] = dataclasses.field(default_factory=list)
    recovery_due: float = float("inf")


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


def check(history: History, bounds: Bounds) -> list[Violation]:
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
            _check_stop_durations,
            _check_revoked_keys,
            _check_quota,
            _check_retries,
            _check_recovery,
            _check_crashing_parts,
            _check_sound_parts,
            _check_named_limits,
        )
        for violation in checker(history, bounds)
    ]


def _check_single_run(history: History, bounds: Bounds) -> Iterator[Violation]:
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


def _check_refusals(history: History, bounds: Bounds) -> Iterator[Violation]:
    ran = {run.id for run in history.runs}
    for each in history.submissions.values():
        once = each.route in ("pay", "note")
        if once and each.status in NOT_RUN_STATUSES and each.id in ran:
            yield Violation(
                "truth", each.id, f"status {each.status}, but it ran"
            )


def _check_responses(history: History, bounds: Bounds) -> Iterator[Violation]:
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


def _check_streams(history: History, bounds: Bounds) -> Iterator[Violation]:
    for each in history.submissions.values():
        if each.route not in STREAM_ROUTES or each.status != 200:
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


def _check_versions(history: History, bounds: Bounds) -> Iterator[Violation]:
    for each in history.submissions.values():
        if each.route not in STREAM_ROUTES or each.status != 200:
            continue
        versions = each.versions
        if each.resumes:
            versions = versions | history.submissions[each.resumes].versions
        if len(versions) > 1:
            yield Violation("version", each.id, f"events of {versions}")


def _check_timeouts(history: History, bounds: Bounds) -> Iterator[Violation]:
    for each in history.submissions.values():
        allowed = bounds.timeout_seconds + TIMEOUT_SLACK_SECONDS
        took = each.ended - each.sent
        if took > allowed + each.lag_seconds and not _overlaps_any(
            history.disturbed, each
        ):
            yield Violation("held", each.id, f"ended after {took:.2f} s")


def _check_planned_stops(
    history: History, bounds: Bounds
) -> Iterator[Violation]:
    ran = {run.id for run in history.runs}
    for each in history.submissions.values():
        lost = each.status == 0 and each.id in ran and not each.abandoned
        if (
            lost
            and _overlaps_any(history.stops, each)
            and not _overlaps_any(history.disturbed, each)
        ):
            yield Violation("stop", each.id, "ran, but lost in a planned stop")


def _check_stop_durations(
    history: History, bounds: Bounds
) -> Iterator[Violation]:
    for detail in history.late_stops:
        yield Violation("stop in time", "", detail)


def _check_revoked_keys(
    history: History, bounds: Bounds
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


def _check_quota(history: History, bounds: Bounds) -> Iterator[Violation]:
    times = [
        run.at
        for run in history.runs
        if (each := history.submissions.get(run.id)) and each.second_key
    ]
    for at, count in _count_windows(times, bounds.quota_window_seconds):
        if count > bounds.quota:
            yield Violation("quota", "", f"{count} from {at:.2f} s")
            return


def _check_retries(history: History, bounds: Bounds) -> Iterator[Violation]:
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


def _check_recovery(history: History, bounds: Bounds) -> Iterator[Violation]:
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
    history: History, bounds: Bounds
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
            if at > known_at and not _overlaps_any(history.disturbed, each)
        ]
        if len(late) > MAX_LATE_CRASHING_RUNS:
            detail = f"{len(ran)} runs, {len(late)} once it was known"
            yield Violation("crashing part", part, detail)


def _check_sound_parts(history: History, bounds: Bounds) -> Iterator[Violation]:
    for each in history.submissions.values():
        if each.body == QUARANTINED_BODY and not each.crashing_part:
            yield Violation("sound part", each.id, "refused as quarantined")


def _check_named_limits(
    history: History, bounds: Bounds
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


def _overlaps_any(spans: list[GatewayPeriod], each: Submission) -> bool:
    return any(s.overlaps(each.gateway, each.sent, each.ended) for s in spans)


def _count_windows(
    times: list[float], seconds: float
) -> Iterator[tuple[float, int]]:
    times = sorted(times)
    for first, at in enumerate(times):
        yield at, bisect.bisect_left(times, at + seconds) - first
