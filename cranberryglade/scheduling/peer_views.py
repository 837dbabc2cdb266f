"""Membership state of each other instance, as one instance knows it."""

from collections.abc import Iterator
import dataclasses

from cranberryglade import charts
from cranberryglade.scheduling import gossip_messages

FAILED_PROBES = 3  # in succession until an instance counts as unreachable
FAILED_PROBES_AFTER_NOTICE = 2
KEPT_REPLACED = 8


@dataclasses.dataclass(slots=True, eq=False)
class PeerView:
    """One other instance.

    Attributes:
        name: its name, or its address while the name is not known.
        address: latest known address, "host:port".
        failure_domain: the failure domain that it runs in; "" if unknown.
        state: state in the peer chart.
        entry: its newest heartbeat entry, or None.
        sent_at: when it sent that entry, in seconds of the own clock; for a
            relayed entry, computed from its age.
        direct_heartbeat: heartbeat of its newest message sent to this instance
            directly.
        failed_probes: number of consecutive failed probes.
        reported_unreachable: whether a peer reported it unreachable.
        relay_count: how often the entry has been relayed to others.
        probed_at: when it was last probed, in seconds of the own clock.
        replaced: former incarnations, the latest last.
    """

    name: str
    address: str
    failure_domain: str
    state: str
    entry: gossip_messages.HeartbeatEntry | None = None
    sent_at: float = float("-inf")
    direct_heartbeat: int = 0
    failed_probes: int = 0
    reported_unreachable: bool = False
    relay_count: int = 0
    probed_at: float = float("-inf")
    replaced: list[str] = dataclasses.field(default_factory=list)

    @property
    def is_live(self) -> bool:
        """Whether the instance is reachable or only suspected."""
        return self.state in ("live", "suspected")

    @property
    def incarnation(self) -> str:
        """Incarnation of the process behind the name; "" if unknown."""
        return self.entry.peer.incarnation if self.entry else ""

    @property
    def contact(self) -> gossip_messages.Contact:
        """Address and expected incarnation for the next probe.

        After a failed probe any process at the address may answer, as the
        known one may have been replaced.
        """
        incarnation = "" if self.failed_probes else self.incarnation
        return gossip_messages.Contact(self.name, self.address, incarnation)


class PeerViews:
    """Views by name; no other module changes their state."""

    __slots__ = ("_chart", "_views")

    def __init__(self):
        self._chart = charts.load("peer")
        self._views: dict[str, PeerView] = {}

    def __iter__(self) -> Iterator[PeerView]:
        return iter(self._views.values())

    def get(self, name: str) -> PeerView | None:
        """Returns the view of that name, or None."""
        return self._views.get(name)

    def get_or_add(self, name: str, address: str, domain: str) -> PeerView:
        """Returns the view of an instance and creates it if it is new.

        Address and failure domain of a reachable instance are not overwritten.
        """
        view = self._views.get(name)
        if view is None:
            view = PeerView(name, address, domain, self._chart.initial)
            self._views[name] = view
        elif not view.is_live:
            view.address = address
            view.failure_domain = domain
        return view

    def remove(self, name: str) -> None:
        """Removes a view, if it exists."""
        self._views.pop(name, None)

    def update(
        self,
        view: PeerView,
        entry: gossip_messages.HeartbeatEntry,
        sent_at: float,
    ) -> None:
        """Stores the newest entry of an instance and marks it as live.

        Args:
            view: the instance.
            entry: its entry.
            sent_at: when it sent the entry, in seconds of the own clock.
        """
        if view.entry and view.incarnation != entry.peer.incarnation:
            view.replaced.append(view.incarnation)
            del view.replaced[:-KEPT_REPLACED]
        view.entry = entry
        view.address = entry.peer.address
        view.failure_domain = entry.peer.failure_domain
        view.sent_at = sent_at
        view.relay_count = 0
        view.failed_probes = 0
        view.reported_unreachable = False
        view.state = self._chart.step(view.state, "heartbeat_received")

    def record_failed_probe(self, view: PeerView) -> bool:
        """Records a failed probe.

        Returns:
            Whether the instance has become unreachable by it.
        """
        view.failed_probes += 1
        was_live = view.is_live
        needed = FAILED_PROBES
        if view.reported_unreachable:
            needed = FAILED_PROBES_AFTER_NOTICE
        event = (
            "probes_exhausted"
            if view.failed_probes >= needed
            else "probe_failed"
        )
        view.state = self._chart.step(view.state, event)
        return was_live and not view.is_live
