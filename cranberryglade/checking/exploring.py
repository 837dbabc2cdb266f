"""Tries orders of events: all up to a depth, then random walks.

Some random walks begin with steps towards a cell that was not seen before.
Hypothesis generates and shrinks the random walks.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import itertools

import hypothesis
from hypothesis import strategies

from cranberryglade.checking import aiming
from cranberryglade.checking import observed
from cranberryglade.checking import request_life
from cranberryglade.checking import steps
from cranberryglade.checking import world

PARTS = 2
MAX_PART_STEPS = 8
MAX_FIRST_SENDS = 3
"""Requests that are sent first, before any other step."""

MAX_WALKS = 1_000_000
BATCH_WALKS = 25
"""Walks that are generated from one seed; each batch has a seed of its own, and
aims at the cells that were not seen before it began."""

MAX_SHRINKING_WALKS = 200
MAX_QUICK_TURNS = 12
"""Turns of the event loop after which the next step may come at the latest, if
it does not wait until nothing is left to do."""

Play = Callable[[steps.Trace], world.Result]


@dataclasses.dataclass(slots=True, frozen=True)
class Found:
    """A walk that showed what must not happen.

    Attributes:
        trace: its steps.
        violations: what it showed.
    """

    trace: steps.Trace
    violations: tuple[observed.Violation, ...]


class ViolatedError(Exception):
    """A walk showed a violation."""


class Exploration:
    """Plays walks and keeps count of them.

    Attributes:
        walks: number of walks so far.
        depth: number of steps up to which all orders have been tried.
        visited: the cells that requests came through.
        excused: the cells that excused an end.
        found: the shortest walk that showed a violation; None if none did.
    """

    __slots__ = (
        "_is_over",
        "_on_walk",
        "_play",
        "depth",
        "excused",
        "found",
        "visited",
        "walks",
    )

    def __init__(
        self,
        is_over: Callable[[], bool],
        on_walk: Callable[[int], None] = lambda walks: None,
        play: Play = world.play,
    ):
        """Begins without walks.

        Args:
            is_over: returns whether no further walk should begin.
            on_walk: is told the number of walks after each.
            play: plays a trace.
        """
        self._is_over = is_over
        self._on_walk = on_walk
        self._play = play
        self.walks = 0
        self.depth = 0
        self.visited: set[request_life.Position] = set()
        self.excused: set[request_life.Position] = set()
        self.found: Found | None = None

    @property
    def never_reached(self) -> list[request_life.Position]:
        """The cells that can happen and that no request came through."""
        return [
            position
            for position, cell in request_life.TABLE.items()
            if not isinstance(cell.outcome, request_life.CannotHappen)
            and position not in self.visited
        ]

    def try_all(self, depth: int) -> None:
        """Tries all orders up to a number of steps, shorter ones first.

        A walk with a step that had no effect is not continued: it shows what a
        shorter one does.
        """
        level: list[steps.Trace] = [()]
        for reached in range(1, depth + 1):
            following = []
            for trace in _extend(level):
                if self.found or self._is_over():
                    return
                if self.play(trace).effective == trace:
                    following.append(trace)
            level = following
            self.depth = reached

    def walk_randomly(self, seed: int, walks: int = MAX_WALKS) -> None:
        """Tries random walks, and shortens the first that fails.

        Args:
            seed: the same seed tries the same walks.
            walks: most walks.
        """
        for batch in range(-(-walks // BATCH_WALKS)):
            if self.found or self._is_over():
                return
            left = min(BATCH_WALKS, walks - batch * BATCH_WALKS)
            self._walk_batch(f"{seed} {batch}", left)

    def _walk_batch(self, seed: str, walks: int) -> None:
        latest = MAX_SHRINKING_WALKS

        @hypothesis.seed(seed)
        @hypothesis.settings(
            max_examples=walks,
            database=None,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
            phases=[hypothesis.Phase.generate, hypothesis.Phase.shrink],
            report_multiple_bugs=False,
            verbosity=hypothesis.Verbosity.quiet,
        )
        @hypothesis.given(traces(aiming.aimed(self.never_reached)))
        def explore(trace):
            nonlocal latest
            if self.found:
                latest -= 1
            if latest < 0 or (self.found is None and self._is_over()):
                return
            if self.play(trace).violations:
                raise ViolatedError()

        try:
            explore()
        except (ViolatedError, hypothesis.errors.Flaky):
            assert self.found
        if self.found:
            self.play(self._play(self.found.trace).effective)

    def play(self, trace: steps.Trace) -> world.Result:
        """Plays a trace and counts it; returns what it showed."""
        result = self._play(trace)
        self.walks += 1
        self.visited |= result.visited
        self.excused |= result.excused
        if result.violations and self._is_shorter(trace):
            self.found = Found(trace, result.violations)
        self._on_walk(self.walks)
        return result

    def _is_shorter(self, trace: steps.Trace) -> bool:
        return self.found is None or len(trace) <= len(self.found.trace)


def traces(
    beginnings: Sequence[steps.Trace] = (),
) -> strategies.SearchStrategy[steps.Trace]:
    """Returns a strategy for traces.

    Args:
        beginnings: half of the traces begin with one of these, if there are
            any.
    """
    verb = strategies.sampled_from(_WEIGHTED_VERBS)
    quick = strategies.integers(0, MAX_QUICK_TURNS)
    turns = strategies.one_of(
        strategies.none(), strategies.none(), strategies.none(), quick
    )
    step = verb.flatmap(
        lambda chosen: strategies.builds(
            steps.Step,
            strategies.just(chosen),
            strategies.sampled_from(steps.subjects(chosen)),
            turns,
        )
    )
    send = strategies.sampled_from(
        [steps.Step(steps.Verb.SEND, name) for name in steps.REQUESTS]
    )
    # Several lists, as Hypothesis keeps each of them short.
    part = strategies.lists(step, max_size=MAX_PART_STEPS)
    sent = strategies.lists(send, max_size=MAX_FIRST_SENDS, unique=True)
    if beginnings:
        sent |= strategies.sampled_from(beginnings)
    return strategies.builds(
        lambda sent, first, *rest: (*sent, first, *itertools.chain(*rest)),
        sent,
        step,
        *[part] * PARTS,
    )


def _extend(level: list[steps.Trace]) -> Iterator[steps.Trace]:
    for trace in level:
        for step in steps.alphabet():
            yield (*trace, step)


_WEIGHTED_VERBS = (
    [steps.Verb.SEND] * 6
    + [steps.Verb.EVENT, steps.Verb.RESET, steps.Verb.WAIT] * 3
    + [steps.Verb.FINISH, steps.Verb.START] * 2
    + list(steps.Verb)
)
"""Verbs, those that bring a request on its way more often."""
