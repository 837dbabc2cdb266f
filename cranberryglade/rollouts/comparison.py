"""Compares the answers of a new version with those of the old one beside it.

Load pattern: a part of the answers fails or takes several times as long, at
once or later, under load only or on one route only. Meanwhile endpoints crash,
single ones fail, a third of them is several times slower, and load jumps. Each
answer is compared with the old version on the same route and at similar load.
"""

import collections
import dataclasses
import enum
import math
import statistics
from typing import NamedTuple

from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.rollouts import sequential_test
from cranberryglade.rollouts import version_test

FALSE_ROLLBACK_RATE = 0.001
"""Probability that a version as good as the old one is found bad. Half of it is
for the tests of whole versions, a quarter for the tests over all routes, and a
quarter for those of single routes."""

MAX_ANSWERS = 10_000
"""Answers of the new version within which that probability holds."""

MAX_TESTS = 45
"""Most tests of single routes: three measures on each of up to 15 routes."""

MIN_ERROR_RATE = 0.02
MIN_SLOW_RATE = 0.03
RATE_MARGIN = 1.5
"""Factor by which a good version may exceed the rate of the old one."""

MAX_EXPECTED_RATE = 0.85
SLOW_FACTOR = 2.0
"""An answer is slow if it takes this many times the old version's median."""

MIN_LEVEL = 3
"""Answers of an endpoint that its usual time needs."""

LEVEL_ANSWERS = 20
"""Latest answers of an endpoint that its usual time includes."""

SPELL_FACTOR = 2.5
"""An endpoint is slower than another one if it takes more than this many times
as long. Endpoints slow down by as much without any fault of their version."""

MIN_EXCESS_SECONDS = 0.025
"""A time counts as slow only if it exceeds the usual one by this much. Callers
do not notice less, and short times vary with the load of the machines."""

LEAST_LEVEL = 0.75
"""Least usual time of an endpoint, as a part of the old version's median."""

MEASURED_SHARE = 0.5
"""Part of the old endpoints whose usual times must be known before an endpoint
that is slower than all of them counts as slow by its version."""

MIN_REFERENCE = 20
"""Answers of the old version that a median needs."""

REFERENCE_ANSWERS = 200
"""Latest answers of the old version that a median or a rate includes."""

RENEWAL_ANSWERS = 10
"""A median or a highest time is computed anew after this many answers."""

RENEWAL_SHARE = 2.0
"""The highest of many endpoints is computed anew after this many answers for
each of them, so that an answer costs the same for any number."""

CROWDED_SHARE = 0.5
"""Share of an endpoint's slots in use from which on it is crowded."""

NO_ANSWER_SECONDS = 1.0
"""An abandoned attempt without any answer is bad after this time, if the old
version gives no other measure."""

COMMON_CAUSE_SECONDS = 0.25
"""Attempts that an endpoint breaks off within this time count as one."""

SPELL_SECONDS = 0.6
"""Slow answers of an endpoint within this time count as one. Endpoints slow
down for as long without any fault of their version."""

FREE_BAD_ANSWERS = 3
"""Bad answers of an endpoint that count in any case."""

MAX_ENDPOINT_SHARE = 1 / 3
"""Part of the bad answers that one of several endpoints may account for. More
of them are a fault of the endpoint, not of its version."""

DOUBT_LOGARITHM = 9.0
"""From this logarithm on, a version is not promoted without further answers."""

BROKEN = frozenset((messages.Outcome.LOST, messages.Outcome.CRASHED))
ERRORS = BROKEN | {
    messages.Outcome.FAILED,
    messages.Outcome.REFUSED,
    messages.Outcome.OVERLOADED,
    messages.Outcome.UNREACHABLE,
}

Route = tuple[int, str, bool]
"""Rank, kind, and whether the request has a prompt: what tells routes apart."""

ALL_ROUTES: Route = (-1, "", False)


class Measure(enum.Enum):
    """What makes an answer bad.

    Attributes:
        ERROR: it fails, breaks off, is refused or does not come.
        DURATION: its whole duration, for its size.
        FIRST: the time to its first part, for its size.
    """

    ERROR = "error"
    DURATION = "duration"
    FIRST = "first"


TIMES = (Measure.DURATION, Measure.FIRST)


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """How an attempt ended.

    Attributes:
        endpoint: id of the endpoint.
        route: its route.
        crowded: whether many requests ran at the endpoint.
        outcome: how it ended.
        seconds: its duration.
        first_seconds: time to its first part; None if there was none.
        work_units: size of the request.
        prompt_tokens: length of its prompt; 0 for plain calls.
        ended_at: when it ended, seconds of the loop's clock.
    """

    endpoint: str
    route: Route
    crowded: bool
    outcome: messages.Outcome
    seconds: float
    first_seconds: float | None
    work_units: float
    prompt_tokens: int
    ended_at: float

    def timing(self, measure: Measure) -> "Timing | None":
        """Returns a time of the answer; None if it has none."""
        match measure:
            case Measure.DURATION if self.outcome is messages.Outcome.SERVED:
                size = max(1.0, self.work_units)
                return Timing(self.endpoint, self.seconds, size)
            case Measure.FIRST if self.first_seconds is not None:
                size = max(1.0, self.prompt_tokens)
                return Timing(self.endpoint, self.first_seconds, size)
        return None


class Timing(NamedTuple):
    """A time of one answer.

    Attributes:
        endpoint: id of the endpoint.
        seconds: the time.
        size: what it is divided by to compare requests.
    """

    endpoint: str
    seconds: float
    size: float


def is_evidence(
    lease: endpoint_states.Lease,
    outcome: messages.Outcome,
    first_seconds: float | None,
) -> bool:
    """Returns whether the end of an attempt tells something of its version.

    A hedge, or a plain attempt that its hedge overtook, ends when the other one
    answers, so its time is not that of its endpoint.

    Args:
        lease: its lease.
        outcome: how it ended.
        first_seconds: as in `describe`.
    """
    request = lease.request
    if request is None or request.rank == messages.HEDGE_RANK:
        return False
    overtaken = (
        not request.kind.streams
        and outcome is messages.Outcome.ABANDONED
        and first_seconds is not None
    )
    return not overtaken


def describe(
    lease: endpoint_states.Lease,
    state: endpoint_states.EndpointState,
    outcome: messages.Outcome,
    first_seconds: float | None,
    now: float,
) -> Answer:
    """Describes the end of an attempt whose request is known.

    Args:
        lease: its lease, which has ended.
        state: its endpoint.
        outcome: how it ended.
        first_seconds: time to its first part; None if there was none.
        now: seconds of the loop's clock.
    """
    request = lease.request
    route = (request.rank, request.kind.value, request.prompt_tokens > 0)
    running = 1 + len(state.leases)
    return Answer(
        endpoint=state.endpoint.id,
        route=route,
        crowded=running > CROWDED_SHARE * state.endpoint.slots,
        outcome=outcome,
        seconds=now - lease.granted_at,
        first_seconds=first_seconds,
        work_units=lease.work_units,
        prompt_tokens=request.prompt_tokens,
        ended_at=now,
    )


class Reference:
    """Median time of the old version in one situation."""

    __slots__ = ("_added", "_early", "_median", "_values")

    def __init__(self):
        self._values: collections.deque[float] = collections.deque(
            maxlen=REFERENCE_ANSWERS
        )
        self._median: float | None = None
        self._added = 0
        self._early: list[Timing] = []

    def ratio(self, timing: Timing) -> float | None:
        """Returns a time relative to the median; None if it is unknown."""
        if not self._median:
            return None
        return timing.seconds / timing.size / self._median

    def add(self, timing: Timing) -> list[Timing]:
        """Includes an answer of the old version.

        Returns:
            Times that can be compared from now on. Endpoints that turn out to
            be slow get requests at first only.
        """
        self._values.append(timing.seconds / timing.size)
        self._early.append(timing)
        self._added += 1
        if self._added >= MIN_REFERENCE and not self._added % RENEWAL_ANSWERS:
            self._median = statistics.median(self._values)
        if not self._median:
            return []
        comparable, self._early = self._early, []
        return comparable


class Levels:
    """Usual times of endpoints, relative to the old version's median.

    A version of which a part of the answers is slow is told from a slow
    endpoint by the endpoint's faster answers.
    """

    __slots__ = ("_added", "_highest", "_latest", "_levels", "_renewal_at")

    def __init__(self):
        self._latest: dict[str, collections.deque[float]] = {}
        self._levels: dict[str, float] = {}
        self._highest = 0.0
        self._added = 0
        self._renewal_at = 0

    def highest(self, endpoints: int) -> float:
        """Returns the usual time of the slowest endpoint.

        Args:
            endpoints: number of endpoints; if too few of them have been
                measured, there is no highest time.
        """
        if len(self._latest) < max(1.0, MEASURED_SHARE * endpoints):
            return math.inf
        if self._added >= self._renewal_at:
            means = (statistics.fmean(each) for each in self._latest.values())
            self._highest = max(means, default=math.inf)
            pause = max(RENEWAL_ANSWERS, RENEWAL_SHARE * len(self._latest))
            self._renewal_at = self._added + round(pause)
        return self._highest

    def level(self, endpoint: str) -> float | None:
        """Returns the usual time of an endpoint; None if it is unknown."""
        return self._levels.get(endpoint)

    def rank(self, level: float, endpoints: int) -> float:
        """Returns which part of the endpoints is at least as slow as another.

        Endpoints that have not been measured count as slower.

        Args:
            level: usual time of the other endpoint.
            endpoints: number of endpoints.
        """
        count = max(endpoints, len(self._levels))
        faster = sum(
            SPELL_FACTOR * max(LEAST_LEVEL, each) < level
            for each in self._levels.values()
        )
        return (1 + count - faster) / (1 + count)

    def is_slow(self, timing: Timing, ratio: float, most: float) -> bool:
        """Returns whether an answer is slow.

        Args:
            timing: its time.
            ratio: the time, relative to the median.
            most: longest usual time that an endpoint may have.
        """
        level = self._levels.get(timing.endpoint, math.inf)
        usual = min(most, max(LEAST_LEVEL, level))
        if ratio <= SLOW_FACTOR * usual:
            return False
        return timing.seconds * (1 - usual / ratio) > MIN_EXCESS_SECONDS

    def add(self, endpoint: str, ratio: float) -> None:
        """Includes an answer."""
        self._added += 1
        latest = self._latest.get(endpoint)
        if latest is None:
            latest = collections.deque(maxlen=LEVEL_ANSWERS)
            self._latest[endpoint] = latest
        latest.append(ratio)
        if len(latest) >= MIN_LEVEL:
            self._levels[endpoint] = sorted(latest)[len(latest) // 4]


class BadRate:
    """The old version's highest rate of bad answers over some in a row.

    Load pattern: endpoints crash in bursts. A good version may meet one after
    the old version has met the one before.
    """

    __slots__ = ("_bad", "_highest", "_latest", "_least")

    def __init__(self, least: float):
        """Creates one that has no answers.

        Args:
            least: rate that is expected without any bad answer.
        """
        self._least = least
        self._latest: collections.deque[bool] = collections.deque()
        self._bad = 0
        self._highest = 0.0

    def add(self, bad: bool) -> None:
        """Includes an answer."""
        self._latest.append(bad)
        self._bad += bad
        if len(self._latest) > REFERENCE_ANSWERS:
            self._bad -= self._latest.popleft()
        count = max(len(self._latest), REFERENCE_ANSWERS // 2)
        self._highest = max(self._highest, self._bad / count)

    def expected(self) -> float:
        """Returns the probability that a good version's answer is bad."""
        rate = self._least + RATE_MARGIN * self._highest
        return min(MAX_EXPECTED_RATE, rate)


class Comparison:
    """Finds whether a new version is worse than the old one; performs no I/O.

    Attributes:
        answers: answers of the new version that were compared.
        bad_answers: those of them that were bad.
        reason: which test found the version bad; "" if none did so far.
    """

    __slots__ = (
        "_bad_by_endpoint",
        "_broken_at",
        "_common_alarm",
        "_errors",
        "_new_levels",
        "_old_levels",
        "_references",
        "_route_alarm",
        "_slow_at",
        "_slow_rates",
        "_tests",
        "_version_alarm",
        "_version_tests",
        "answers",
        "bad_answers",
        "reason",
    )

    def __init__(self):
        self._route_alarm = sequential_test.alarm_logarithm(
            MAX_ANSWERS, MAX_TESTS, FALSE_ROLLBACK_RATE / 4
        )
        self._common_alarm = sequential_test.alarm_logarithm(
            MAX_ANSWERS, len(Measure), FALSE_ROLLBACK_RATE / 4
        )
        self._version_alarm = version_test.alarm_logarithm(
            len(TIMES), FALSE_ROLLBACK_RATE / 2
        )
        self._version_tests = {
            each: version_test.VersionTest() for each in TIMES
        }
        self._references: dict[tuple[Measure, Route, bool], Reference] = {}
        self._errors: dict[Route, BadRate] = {}
        self._slow_rates = {each: BadRate(MIN_SLOW_RATE) for each in TIMES}
        self._old_levels = {each: Levels() for each in TIMES}
        self._new_levels = {each: Levels() for each in TIMES}
        self._tests: dict[
            tuple[Measure, Route], sequential_test.SequentialTest
        ] = {}
        self._broken_at: dict[str, float] = {}
        self._slow_at: dict[tuple[Measure, str], float] = {}
        self._bad_by_endpoint: dict[Measure, collections.Counter[str]] = {
            measure: collections.Counter() for measure in Measure
        }
        self.answers = 0
        self.bad_answers = 0
        self.reason = ""

    @property
    def doubt(self) -> str:
        """Which test comes near to finding it bad; "" if none does."""
        for key, test in self._tests.items():
            if test.logarithm >= DOUBT_LOGARITHM:
                return _describe(*key)
        return ""

    def add_old(self, answer: Answer) -> None:
        """Includes an answer of the old version."""
        bad = self._is_error(answer)
        if bad is not None and not self._has_common_cause(answer):
            for route in (answer.route, ALL_ROUTES):
                self._error_rate(route).add(bad)
        for measure in TIMES:
            timing = answer.timing(measure)
            if timing is not None:
                self._add_old_time(measure, answer, timing)

    def _add_old_time(
        self, measure: Measure, answer: Answer, timing: Timing
    ) -> None:
        reference = self._reference(measure, answer)
        levels = self._old_levels[measure]
        for comparable in reference.add(timing):
            ratio = reference.ratio(comparable)
            slow = levels.is_slow(comparable, ratio, math.inf)
            self._slow_rates[measure].add(slow)
            levels.add(comparable.endpoint, ratio)

    def add_new(
        self, answer: Answer, endpoints: int, old_endpoints: int
    ) -> None:
        """Includes an answer of the new version.

        Args:
            answer: the answer.
            endpoints: number of endpoints of that version.
            old_endpoints: number of endpoints of other versions.
        """
        self.answers += 1
        found = [self._add_error(answer, endpoints)]
        for measure in TIMES:
            found.append(
                self._add_time(measure, answer, endpoints, old_endpoints)
            )
        self.bad_answers += any(found)

    def _add_error(self, answer: Answer, endpoints: int) -> bool:
        """Tests an answer for an error; returns whether it was one."""
        bad = self._is_error(answer)
        if bad is None or self._has_common_cause(answer):
            return bool(bad)
        if bad and not self._counts(Measure.ERROR, answer.endpoint, endpoints):
            return True
        for route in (answer.route, ALL_ROUTES):
            rate = self._error_rate(route).expected()
            self._observe(Measure.ERROR, route, bad, rate)
        return bad

    def _add_time(
        self,
        measure: Measure,
        answer: Answer,
        endpoints: int,
        old_endpoints: int,
    ) -> bool:
        """Tests a time of an answer; returns whether it was slow."""
        timing = answer.timing(measure)
        if timing is None:
            return False
        ratio = self._reference(measure, answer).ratio(timing)
        if ratio is None:
            return False
        levels = self._new_levels[measure]
        most = self._old_levels[measure].highest(old_endpoints)
        slow = levels.is_slow(timing, ratio, most)
        levels.add(answer.endpoint, ratio)
        self._compare_levels(measure, answer.endpoint, old_endpoints)
        if slow and (
            self._is_same_spell(measure, answer)
            or not self._counts(measure, answer.endpoint, endpoints)
        ):
            return True
        rate = self._slow_rates[measure].expected()
        for route in (answer.route, ALL_ROUTES):
            self._observe(measure, route, slow, rate)
        return slow

    def _compare_levels(
        self, measure: Measure, endpoint: str, old_endpoints: int
    ) -> None:
        """Compares an endpoint with all old ones, once it is measured."""
        test = self._version_tests[measure]
        level = self._new_levels[measure].level(endpoint)
        if level is None or test.has_counted(endpoint):
            return
        rank = self._old_levels[measure].rank(level, old_endpoints)
        test.observe(endpoint, rank)
        if not self.reason and test.logarithm >= self._version_alarm:
            self.reason = f"{measure.value} of the whole version"

    def _is_same_spell(self, measure: Measure, answer: Answer) -> bool:
        """Returns whether a slow answer has the cause of the one before it.

        An endpoint, or an instance, that is slow for a moment delays all that
        runs there.
        """
        key = (measure, answer.endpoint)
        earlier = self._slow_at.get(key, -math.inf)
        if answer.ended_at - earlier < SPELL_SECONDS:
            return True
        self._slow_at[key] = answer.ended_at
        return False

    def _observe(
        self, measure: Measure, route: Route, bad: bool, rate: float
    ) -> None:
        test = self._tests.get((measure, route))
        if test is None:
            if len(self._tests) >= MAX_TESTS + len(Measure):
                return
            test = sequential_test.SequentialTest()
            self._tests[measure, route] = test
        test.observe(bad, rate)
        common = route == ALL_ROUTES
        alarm = self._common_alarm if common else self._route_alarm
        if bad and not self.reason and test.logarithm >= alarm:
            self.reason = _describe(measure, route)

    def _counts(self, measure: Measure, endpoint: str, endpoints: int) -> bool:
        """Returns whether a bad answer counts, and counts it.

        Those of an endpoint that accounts for too many do not.
        """
        counted = self._bad_by_endpoint[measure]
        share = max(MAX_ENDPOINT_SHARE, 1 / max(1, endpoints))
        if counted[endpoint] >= FREE_BAD_ANSWERS + share * counted.total():
            return False
        counted[endpoint] += 1
        return True

    def _error_rate(self, route: Route) -> BadRate:
        rate = self._errors.get(route)
        if rate is None:
            rate = self._errors[route] = BadRate(MIN_ERROR_RATE)
        return rate

    def _reference(self, measure: Measure, answer: Answer) -> Reference:
        key = (measure, answer.route, answer.crowded)
        return self._references.setdefault(key, Reference())

    def _is_error(self, answer: Answer) -> bool | None:
        """Returns whether an answer is an error; None if it tells nothing."""
        match answer.outcome:
            case messages.Outcome.SERVED:
                return False
            case messages.Outcome.ABANDONED:
                return self._is_silent(answer)
            case outcome if outcome in ERRORS:
                return True
        return None

    def _is_silent(self, answer: Answer) -> bool | None:
        """Returns True for an attempt that was given up for want of an answer.

        A caller that left earlier tells nothing.
        """
        if answer.first_seconds is not None:
            return None
        waited = Timing(
            answer.endpoint, answer.seconds, max(1.0, answer.prompt_tokens)
        )
        ratio = self._reference(Measure.FIRST, answer).ratio(waited)
        if ratio is None:
            return True if answer.seconds >= NO_ANSWER_SECONDS else None
        most = self._old_levels[Measure.FIRST].highest(0)
        return True if ratio > SLOW_FACTOR * most else None

    def _has_common_cause(self, answer: Answer) -> bool:
        """Returns whether an attempt broke off together with another one."""
        if answer.outcome not in BROKEN:
            return False
        earlier = self._broken_at.get(answer.endpoint)
        if (
            earlier is not None
            and answer.ended_at - earlier < COMMON_CAUSE_SECONDS
        ):
            return True
        self._broken_at[answer.endpoint] = answer.ended_at
        return False


def _describe(measure: Measure, route: Route) -> str:
    if route == ALL_ROUTES:
        return f"{measure.value} on all routes"
    rank, kind, _ = route
    return f"{measure.value} of rank {rank}, {kind}"
