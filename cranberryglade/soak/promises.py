"""The promises, checked from what callers and endpoints have seen."""

import bisect
import collections
from collections.abc import Iterator
import dataclasses

TRUTHFUL_STATUSES = (408, 421, 429, 503)
"""Each says that the request has not run and never will."""

HELD_SLACK_SECONDS = 0.5
SERVED_AT_THE_END = 0.9


@dataclasses.dataclass(slots=True)
class Submission:
    """A request as its caller saw it.

    Attributes:
        id: names it.
        route: its kind.
        gateway: where it was sent.
        second_key: whether the second organisation sent it.
        sent: seconds of the loop's clock.
        ended: when its answer or the end of the connection came.
        status: of the answer; 0 if the connection ended.
        whole: whether the answer had its end.
        stamped: whether an endpoint's stamp came with it.
        body: of the answer.
        abandoned: whether the caller left on purpose.
        lag_seconds: longest delay of the soak's own loop meanwhile.
    """

    id: str
    route: str
    gateway: int
    second_key: bool
    sent: float
    ended: float = 0.0
    status: int = 0
    whole: bool = False
    stamped: bool = False
    body: bytes = b""
    abandoned: bool = False
    lag_seconds: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """A request that an endpoint began to work on."""

    id: str
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Period:
    """A time in which something held everywhere."""

    begun: float
    ended: float


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """A time in which something held for one gateway."""

    gateway: int
    begun: float
    ended: float

    def covers(self, gateway: int, begun: float, ended: float) -> bool:
        """Whether it touches that time at that gateway."""
        return (
            self.gateway == gateway
            and begun <= self.ended
            and ended >= self.begun
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """What the gateways were told to keep.

    Attributes:
        timeout_seconds: of every route.
        revoke_seconds: until a key that was taken away is refused.
        quota: requests of the second organisation in one window.
        quota_window_seconds: that window.
        repeats_ratio: repeats allowed for each submission.
        repeats_slack: repeats allowed beyond that.
        repeats_window_seconds: the window in which they are counted.
        events: events of a whole stream.
    """

    timeout_seconds: float
    revoke_seconds: float
    quota: float
    quota_window_seconds: float
    repeats_ratio: float
    repeats_slack: float
    repeats_window_seconds: float
    events: int


@dataclasses.dataclass(slots=True)
class Ledger:
    """All that was seen in one run of the soak.

    Attributes:
        submissions: requests of callers, by id.
        runs: requests that endpoints ran, in order.
        disturbed: gateways that were killed, paused or newly started.
        stops: planned stops, from the signal until the process was gone.
        keyless: when the second key was taken away, confirmed, until it was
            about to be given back.
        overstays: planned stops that took longer than the time for them.
        calm_from: when the last fault was over and all should recover.
    """

    submissions: dict[str, Submission] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    disturbed: list[Span] = dataclasses.field(default_factory=list)
    stops: list[Span] = dataclasses.field(default_factory=list)
    keyless: list[Period] = dataclasses.field(default_factory=list)
    overstays: list[str] = dataclasses.field(default_factory=list)
    calm_from: float = float("inf")


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A promise that was broken."""

    promise: str
    id: str
    detail: str


def check(ledger: Ledger, bounds: Bounds) -> list[Violation]:
    """Checks all promises."""
    return [
        violation
        for checker in (
            _once,
            _truthful,
            _own_answers,
            _streams,
            _held,
            _stops,
            _overstays,
            _keys,
            _quota,
            _repeats,
            _recovery,
        )
        for violation in checker(ledger, bounds)
    ]


def _once(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    seen = set()
    for run in ledger.runs:
        submission = ledger.submissions.get(run.id)
        if submission is None:
            yield Violation("unasked", run.id, "nobody sent it")
        elif submission.route in ("pay", "note") and run.id in seen:
            yield Violation("once", run.id, f"{submission.route} ran again")
        seen.add(run.id)


def _truthful(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    ran = {run.id for run in ledger.runs}
    for each in ledger.submissions.values():
        once = each.route in ("pay", "note")
        if once and each.status in TRUTHFUL_STATUSES and each.id in ran:
            yield Violation("truth", each.id, f"{each.status}, but it ran")


def _own_answers(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    ran = {run.id for run in ledger.runs}
    for each in ledger.submissions.values():
        if each.status != 200 or not each.whole or each.abandoned:
            continue
        if not each.stamped or each.id not in ran:
            yield Violation("own answer", each.id, "success without a run")
        elif each.route in ("look", "pay") and each.id not in str(each.body):
            yield Violation("own answer", each.id, f"got {each.body!r}")


def _streams(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    for each in ledger.submissions.values():
        if each.route not in ("write", "note") or each.status != 200:
            continue
        lines = each.body.decode().splitlines()
        ids = [line[4:] for line in lines if line.startswith("id: ")]
        wanted = [str(number) for number in range(1, bounds.events + 1)]
        if each.whole and ids != wanted:
            yield Violation("stream", each.id, f"whole with events {ids}")
        elif ids[:-1] != wanted[: len(ids[:-1])]:
            yield Violation("stream", each.id, f"events {ids}")


def _held(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    for each in ledger.submissions.values():
        allowed = bounds.timeout_seconds + HELD_SLACK_SECONDS
        took = each.ended - each.sent
        if took > allowed + each.lag_seconds and not _touched(
            ledger.disturbed, each
        ):
            yield Violation("held", each.id, f"{took:.2f} s")


def _stops(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    ran = {run.id for run in ledger.runs}
    for each in ledger.submissions.values():
        lost = each.status == 0 and each.id in ran and not each.abandoned
        if (
            lost
            and _touched(ledger.stops, each)
            and not _touched(ledger.disturbed, each)
        ):
            yield Violation("stop", each.id, "lost by a planned stop")


def _overstays(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    for detail in ledger.overstays:
        yield Violation("stop in time", "", detail)


def _keys(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    for run in ledger.runs:
        each = ledger.submissions.get(run.id)
        if each is None or not each.second_key:
            continue
        for gone in ledger.keyless:
            # A paused gateway may read it when the key is back.
            within = run.at < gone.ended
            if within and each.sent > gone.begun + bounds.revoke_seconds:
                late = each.sent - gone.begun
                yield Violation("key", run.id, f"ran {late:.2f} s after")


def _quota(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    times = [
        run.at
        for run in ledger.runs
        if (each := ledger.submissions.get(run.id)) and each.second_key
    ]
    for at, count in _windows(times, bounds.quota_window_seconds):
        if count > bounds.quota:
            yield Violation("quota", "", f"{count} from {at:.2f} s on")
            return


def _repeats(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    seen: set[str] = set()
    repeats = []
    for run in ledger.runs:
        if run.id in seen:
            repeats.append(run.at)
        seen.add(run.id)
    sent = sorted(each.sent for each in ledger.submissions.values())
    window = bounds.repeats_window_seconds
    for at, count in _windows(repeats, window):
        last = bisect.bisect_right(sent, at + window)
        asked = last - bisect.bisect_left(sent, at - window)
        if count > bounds.repeats_ratio * asked + bounds.repeats_slack:
            yield Violation("repeats", "", f"{count} for {asked} requests")
            return


def _recovery(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    late = [
        each
        for each in ledger.submissions.values()
        if each.sent > ledger.calm_from and not each.second_key
    ]
    served = sum(each.status == 200 and each.whole for each in late)
    left = sum(each.abandoned for each in late)
    if late and served < SERVED_AT_THE_END * (len(late) - left):
        statuses = collections.Counter(each.status for each in late)
        detail = f"{served} of {len(late)} served; by status {dict(statuses)}"
        yield Violation("recovery", "", detail)


def _touched(spans: list[Span], each: Submission) -> bool:
    return any(s.covers(each.gateway, each.sent, each.ended) for s in spans)


def _windows(times: list[float], seconds: float) -> Iterator[tuple[float, int]]:
    times = sorted(times)
    for first, at in enumerate(times):
        yield at, bisect.bisect_left(times, at + seconds) - first
