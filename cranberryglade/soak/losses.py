"""Finds requests that gateways lost: read, or passed on, and not answered."""

import collections
from collections.abc import Iterator
import dataclasses

from cranberryglade.soak import observations

MAX_LOST_ON_KEPT_CONNECTIONS = 3
CHANGE_FACTOR = 3.0
"""Beside a change of the configuration, a gateway may cut this many times the
share of its requests that it cuts at other times."""

CHANGE_TIME_SHARE = 0.7
"""Beside a change, a request that has used this share of its timeout may be
cut."""

STOP_SLACK_SECONDS = 1.0
STOP_SENT_SECONDS = 3.0
LAST_SHARE_OF_GRACE = 1 / 6
"""A request that was sent within STOP_SENT_SECONDS of SIGTERM may be cut if its
endpoint is still at work in the last share of the grace period."""

BREAKING_FAULTS = (
    "reset",
    "truncate",
    "break_off",
    "reset_unframed",
    "lose_end",
    observations.CRASH,
)
"""Faults in which an endpoint breaks off its answer."""

UNJOINABLE_FAULT = "truncate"
"""Fault in which an endpoint breaks off an answer that is no stream of events,
so that no other endpoint can go on with it."""

SOUND_FAULTS = ("", "fall_silent", "slow")
"""Faults of arrivals whose endpoint is sound; silence and delay are none."""


@dataclasses.dataclass(slots=True, frozen=True)
class Loss:
    """A request that was lost, or several.

    Attributes:
        clause: short name of the clause that it breaks.
        id: the request; empty if it concerns several.
        detail: what was observed.
    """

    clause: str
    id: str
    detail: str


Arrivals = dict[str, list[observations.Arrival]]


def find(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[Loss]:
    """Yields what was lost on kept connections and beside planned work.

    Args:
        history: what was observed.
        bounds: the limits that count.
    """
    search = _Search(history, bounds)
    yield from search.on_kept_connections()
    yield from search.in_stops()
    yield from search.in_reloads()
    yield from search.beside_changes()


class _Search:
    def __init__(
        self, history: observations.History, bounds: observations.Bounds
    ):
        self._history = history
        self._bounds = bounds
        self._arrivals: Arrivals = collections.defaultdict(list)
        for arrival in history.arrivals:
            self._arrivals[arrival.id].append(arrival)
        self._ran = {run.id for run in history.runs}
        self._cut = [
            each
            for each in history.submissions.values()
            if each.cut and not self._is_excused(each)
        ]
        self._lost = [each for each in self._cut if not self._harmed(each)]

    def on_kept_connections(self) -> Iterator[Loss]:
        """Yields one loss if too many requests were lost at any time."""
        lost = [
            each.id
            for each in self._cut
            if each.kept
            and not each.status
            and self._passed_on_to_sound(each)
            and self._in_touch(each)
        ]
        if len(lost) > MAX_LOST_ON_KEPT_CONNECTIONS:
            detail = f"{len(lost)} passed on, no answer: {' '.join(lost)}"
            yield Loss("kept connection", "", detail)

    def in_stops(self) -> Iterator[Loss]:
        """Yields the requests that were lost around SIGTERM."""
        spare = self._bounds.grace_seconds + STOP_SLACK_SECONDS
        for each in self._lost:
            for stop in self._history.stops:
                within = stop.begun <= each.ended <= stop.begun + spare
                is_its = stop.gateway == each.gateway
                if within and is_its and not self._outlasts(each, stop):
                    yield Loss("stop", each.id, self._describe(each, stop))
                    break

    def in_reloads(self) -> Iterator[Loss]:
        """Yields the requests that were lost after SIGHUP."""
        for each in self._lost:
            for reload in self._history.reloads:
                within = each.sent <= reload.ended
                is_its = reload.gateway == each.gateway
                if within and is_its and each.ended >= reload.begun:
                    yield Loss("reload", each.id, self._describe(each, reload))
                    break

    def beside_changes(self) -> Iterator[Loss]:
        """Yields the requests of gateways that cut too many at changes."""
        lost = [each for each in self._lost if not self._is_late(each)]
        for gateway in sorted({each.gateway for each in lost}):
            own = [each for each in lost if each.gateway == gateway]
            beside = [each for each in own if self._change(each)]
            others = len(own) - len(beside)
            ends = self._count_ends(gateway)
            share_beside = len(beside) / max(1, ends[True])
            share_others = others / max(1, ends[False])
            if share_beside > CHANGE_FACTOR * share_others:
                for each in beside:
                    detail = self._describe(each, self._change(each))
                    yield Loss("configuration", each.id, detail)

    def _count_ends(self, gateway: int) -> collections.Counter[bool]:
        """Counts requests of a gateway by whether they ended at a change."""
        return collections.Counter(
            self._change(each) is not None
            for each in self._history.submissions.values()
            if each.gateway == gateway
        )

    def _change(
        self, each: observations.Submission
    ) -> observations.Period | None:
        """Returns the period of a change in which it ended."""
        for change in self._history.changes:
            if change.begun <= each.ended <= change.ended:
                return change
        return None

    def _harmed(self, each: observations.Submission) -> bool:
        """Returns whether an unplanned disturbance may have ended it."""
        return observations.any_overlaps(self._history.unplanned, each)

    def _in_touch(self, each: observations.Submission) -> bool:
        history = self._history
        return not any(
            observations.any_overlaps(periods, each)
            for periods in (history.unplanned, history.disturbed, history.stops)
        )

    def _is_excused(self, each: observations.Submission) -> bool:
        took = each.ended - each.sent
        return (
            took >= self._bounds.timeout_seconds
            or self._was_broken(each)
            or not self._is_owed(each)
        )

    def _is_owed(self, each: observations.Submission) -> bool:
        """Returns whether it was passed on, or read and left unanswered."""
        waited = each.ended - each.written
        allowed = self._bounds.answer_seconds + each.lag_seconds
        return self._passed_on(each) or waited > allowed

    def _passed_on(self, each: observations.Submission) -> bool:
        return each.id in self._arrivals or each.id in self._ran

    def _passed_on_to_sound(self, each: observations.Submission) -> bool:
        arrivals = self._arrivals.get(each.id, [])
        return any(arrival.fault in SOUND_FAULTS for arrival in arrivals)

    def _was_broken(self, each: observations.Submission) -> bool:
        """Returns whether its begun answer was broken by its endpoint or link.

        While none has begun, another attempt or a refusal is owed.
        """
        arrivals = self._arrivals.get(each.id, [])
        if not each.status or not arrivals:
            return False
        if any(arrival.fault == UNJOINABLE_FAULT for arrival in arrivals):
            return True
        ran = [
            arrival
            for arrival in arrivals
            if arrival.fault not in observations.NOT_RUN_FAULTS
        ]
        return bool(ran) and self._breaks(ran[-1], each)

    def _breaks(
        self, last: observations.Arrival, each: observations.Submission
    ) -> bool:
        """Returns whether the last attempt that ran was broken off."""
        return last.fault in BREAKING_FAULTS or any(
            period.endpoint == last.endpoint
            and period.overlaps(each.sent, each.ended)
            for period in self._history.impaired
        )

    def _is_late(self, each: observations.Submission) -> bool:
        used = each.ended - each.sent
        return used >= CHANGE_TIME_SHARE * self._bounds.timeout_seconds

    def _outlasts(
        self, each: observations.Submission, stop: observations.GatewayPeriod
    ) -> bool:
        """Returns whether its endpoint was at work when the grace time ended.

        Args:
            each: a request that was sent early enough for that to count.
            stop: the planned stop.
        """
        grace = self._bounds.grace_seconds
        last = stop.begun + grace * (1 - LAST_SHARE_OF_GRACE)
        at_work = any(
            arrival.at <= stop.begun + grace and arrival.ended >= last
            for arrival in self._arrivals.get(each.id, [])
        )
        return at_work and each.sent <= stop.begun + STOP_SENT_SECONDS

    def _describe(
        self,
        each: observations.Submission,
        work: observations.GatewayPeriod | observations.Period,
    ) -> str:
        arrivals = [
            f"{arrival.endpoint} {arrival.at - each.sent:.3f} to "
            f"{arrival.ended - each.sent:.3f} s {arrival.fault}".rstrip()
            for arrival in self._arrivals.get(each.id, [])
        ]
        return (
            f"gate-{each.gateway}, {each.route}, status {each.status}, "
            f"{'kept' if each.kept else 'new'} connection, sent "
            f"{each.sent - work.begun:+.3f} s from planned work, cut after "
            f"{each.ended - each.sent:.3f} s; at {arrivals}"
        )
