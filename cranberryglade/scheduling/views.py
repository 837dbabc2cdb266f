"""What one instance knows of each other instance."""

from collections.abc import Iterator
import dataclasses

from cranberryglade import charts
from cranberryglade.scheduling import news

FAILED_PROBES = 3
FAILED_PROBES_AFTER_RUMOUR = 2
KEPT_REPLACED = 8


@dataclasses.dataclass(slots=True, eq=False)
class View:
    """One other instance.

    Attributes:
        name: its name, or its address while the name is not known.
        address: where it was last said to be.
        failure_domain: where it runs; "" while that is not known.
        state: state of the peer chart.
        entry: the newest that is known of it.
        said_at: when it said so, in seconds of the own clock.
        direct_beat: beat of its newest message to this instance.
        failures: probes that failed one after another.
        rumoured: a peer says that it does not answer.
        relays: how often the entry has been passed on.
        asked_at: when it was last contacted.
        replaced: former incarnations.
    """

    name: str
    address: str
    failure_domain: str
    state: str
    entry: news.Entry | None = None
    said_at: float = float("-inf")
    direct_beat: int = 0
    failures: int = 0
    rumoured: bool = False
    relays: int = 0
    asked_at: float = float("-inf")
    replaced: list[str] = dataclasses.field(default_factory=list)

    @property
    def is_live(self) -> bool:
        """Whether the instance counts as a peer."""
        return self.state in ("live", "suspected")

    @property
    def incarnation(self) -> str:
        """The process behind the name; "" while it is not known."""
        return self.entry.peer.incarnation if self.entry else ""

    @property
    def contact(self) -> news.Contact:
        """Where to reach it.

        After a failed probe any process there may answer: the one that was
        known may have been replaced.
        """
        incarnation = "" if self.failures else self.incarnation
        return news.Contact(self.name, self.address, incarnation)


class Views:
    """Views by name; no other module changes their state."""

    __slots__ = ("_chart", "_views")

    def __init__(self):
        self._chart = charts.load("peer")
        self._views: dict[str, View] = {}

    def __iter__(self) -> Iterator[View]:
        return iter(self._views.values())

    def get(self, name: str) -> View | None:
        """The view of that name."""
        return self._views.get(name)

    def introduce(self, name: str, address: str, domain: str) -> View:
        """Returns the view of an instance, made if it is new.

        The address of an instance that answers is not overridden.
        """
        view = self._views.get(name)
        if view is None:
            view = View(name, address, domain, self._chart.initial)
            self._views[name] = view
        elif not view.is_live:
            view.address = address
            view.failure_domain = domain
        return view

    def forget(self, name: str) -> None:
        """Drops a view."""
        self._views.pop(name, None)

    def hear(self, view: View, entry: news.Entry, said_at: float) -> None:
        """Takes in the newest that an instance said of itself."""
        if view.entry and view.incarnation != entry.peer.incarnation:
            view.replaced.append(view.incarnation)
            del view.replaced[:-KEPT_REPLACED]
        view.entry = entry
        view.address = entry.peer.address
        view.failure_domain = entry.peer.failure_domain
        view.said_at = said_at
        view.relays = 0
        view.failures = 0
        view.rumoured = False
        view.state = self._chart.step(view.state, "heard")

    def miss(self, view: View) -> bool:
        """Takes in a failed probe; True if the instance is now lost."""
        view.failures += 1
        was_live = view.is_live
        needed = FAILED_PROBES
        if view.rumoured:
            needed = FAILED_PROBES_AFTER_RUMOUR
        event = "lost" if view.failures >= needed else "missed"
        view.state = self._chart.step(view.state, event)
        return was_live and not view.is_live
