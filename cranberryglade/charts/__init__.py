"""State charts, defined in TOML files, and their interpreter."""

import functools
import importlib.resources
import tomllib


class IllegalTransitionError(ValueError):
    """The chart has no transition for an event in the current state."""


class Chart:
    """One state chart, read from a TOML file of this package.

    >>> chart = load("request")
    >>> chart.step(chart.initial, "claimed")
    'waiting'
    >>> chart.is_final("answered")
    True
    """

    __slots__ = ("_final", "_initial", "_name", "_transitions")

    def __init__(self, name, initial, final, transitions):
        self._name = name
        self._initial = initial
        self._final = frozenset(final)
        self._transitions = {
            (state, event): target
            for state, events in transitions.items()
            for event, target in events.items()
        }

    @property
    def initial(self) -> str:
        """The initial state."""
        return self._initial

    def is_final(self, state: str) -> bool:
        """Returns whether the state is final, so that no event may follow."""
        return state in self._final

    def step(self, state: str, event: str) -> str:
        """Returns the state that follows when an event occurs in a state.

        Raises:
            IllegalTransitionError: the chart has no such transition.
        """
        target = self._transitions.get((state, event))
        if target is None:
            raise IllegalTransitionError(
                f"chart {self._name}: no {event!r} in state {state!r}"
            )
        return target


@functools.cache
def load(name: str) -> Chart:
    """Returns the chart in the file NAME.toml of this package, cached."""
    path = importlib.resources.files(__name__) / f"{name}.toml"
    data = tomllib.loads(path.read_text(encoding="utf-8"))
    return Chart(name, data["initial"], data["final"], data["transitions"])
