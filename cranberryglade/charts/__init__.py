"""State charts kept as data files and the interpreter that steps them."""

import functools
import importlib.resources
import tomllib


class IllegalTransitionError(ValueError):
    """An event arrived in a state whose chart has no transition for it."""


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
        """The state in which every instance of the chart starts."""
        return self._initial

    def is_final(self, state: str) -> bool:
        """Tells whether nothing can follow the state."""
        return state in self._final

    def step(self, state: str, event: str) -> str:
        """Returns the state that follows.

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
    """Reads the chart of that name from the package's files."""
    path = importlib.resources.files(__name__) / f"{name}.toml"
    data = tomllib.loads(path.read_text(encoding="utf-8"))
    return Chart(name, data["initial"], data["final"], data["transitions"])
