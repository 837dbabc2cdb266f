"""The endpoints and peers that an instance knows."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from cranberryglade import charts
from cranberryglade.scheduling import action_collector
from cranberryglade.scheduling import departures
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import ownership
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import queues


@dataclasses.dataclass(slots=True, frozen=True)
class PeerDigest:
    """A peer with its reported load of one target."""

    peer: messages.Peer
    digest: messages.TargetDigest


@dataclasses.dataclass(slots=True, eq=False)
class _PeerLoad:
    peer: messages.Peer
    digests: dict[str, messages.TargetDigest]


class Fleet:
    """Endpoints of the own failure domain, in pools, and peers with their load.

    Endpoints of other failure domains are not kept: their requests go through
    the instances there.
    """

    __slots__ = (
        "_chart",
        "_collector",
        "_departures",
        "_instance",
        "_make_queue",
        "_owners",
        "_peers",
        "_pools",
        "_states",
        "_targets",
    )

    def __init__(
        self,
        instance: messages.Peer,
        collected: action_collector.ActionCollector,
        make_queue: Callable[[], queues.Queue] = queues.Queue,
    ):
        self._instance = instance
        self._make_queue = make_queue
        self._collector = collected
        self._chart = charts.load("endpoint")
        self._departures = departures.Departures()
        self._owners = ownership.Owners(instance.name)
        self._pools: dict[str, pools.Pool] = {}
        self._targets: dict[str, str] = {}
        self._states: dict[str, str] = {}
        self._peers: dict[str, _PeerLoad] = {}

    @property
    def departure_records(self) -> list[departures.DepartureRecord]:
        """The endpoint processes known to be leaving."""
        return list(self._departures)

    def pool(self, target: str) -> pools.Pool:
        """Returns the pool of a target; a new target gets an empty pool."""
        pool = self._pools.get(target)
        if pool is None:
            pool = self._pools[target] = pools.Pool(target, self._make_queue())
        return pool

    def all_pools(self) -> list[pools.Pool]:
        """Returns the pools of all targets."""
        return list(self._pools.values())

    def endpoint_state(self, name: str) -> pools.EndpointState | None:
        """Returns the record of an endpoint, or None if it is unknown."""
        target = self._targets.get(name)
        return self._pools[target].members.get(name) if target else None

    def chart_state(self, name: str) -> str | None:
        """Returns an endpoint's state in its chart, or None if unknown."""
        return self._states.get(name)

    def owns(self, name: str) -> bool:
        """Returns whether this instance owns the endpoint of that name."""
        return self._owners.owner(name) == self._instance.name

    def has_live_endpoint(self, target: str) -> bool:
        """Returns whether an endpoint of the target is live in the domain."""
        return any(
            self._states[name] == "live" for name in self.pool(target).members
        )

    def peer_digests(self, target: str) -> Iterator[PeerDigest]:
        """Yields the peers that reported load of a target."""
        for load in self._peers.values():
            digest = load.digests.get(target)
            if digest is not None:
                yield PeerDigest(load.peer, digest)

    def add_endpoint(self, endpoint: messages.Endpoint) -> None:
        """Adds an endpoint that a list shows as live.

        Endpoints of other failure domains are ignored, as are processes that
        another process has replaced.
        """
        if endpoint.failure_domain != self._instance.failure_domain:
            return
        if self._departures.is_replaced(endpoint.name, endpoint.incarnation):
            return
        known = self.endpoint_state(endpoint.name)
        if known and known.endpoint.incarnation == endpoint.incarnation:
            self._transition(endpoint.name, "listed")
            return
        if known:
            self._remove(endpoint.name, "replaced")
            self._departures.record_replacement(
                endpoint.name, known.endpoint.incarnation
            )
        self._add(endpoint)

    def mark_leaving(self, event: messages.EndpointLeaving) -> None:
        """Stops dispatches to an endpoint process that is leaving."""
        member = self.endpoint_state(event.name)
        incarnation = event.incarnation
        if not incarnation:
            if member is None:
                return
            incarnation = member.endpoint.incarnation
        if not self._departures.add(
            event.name, incarnation, self._collector.now
        ):
            return
        if member and member.endpoint.incarnation == incarnation:
            self._transition(event.name, "leaving", event.source)

    def update_reachability(self, event: messages.EndpointReachability) -> None:
        """Updates whether an endpoint process is reachable from here."""
        member = self.endpoint_state(event.name)
        if member and member.endpoint.incarnation == event.incarnation:
            self._transition(
                event.name, "answered" if event.is_reachable else "silent"
            )

    def remove_endpoint(self, name: str) -> None:
        """Removes an endpoint and expires old departure records."""
        if name in self._targets:
            self._remove(name, "dropped")
            present = {
                (member.endpoint.name, member.endpoint.incarnation)
                for pool in self._pools.values()
                for member in pool.members.values()
            }
            self._departures.expire(self._collector.now, present)

    def update_peer(self, event: messages.PeerReported) -> None:
        """Updates a peer's load and, in the own failure domain, the owners."""
        by_target = {digest.target: digest for digest in event.digests}
        self._peers[event.peer.name] = _PeerLoad(event.peer, by_target)
        if event.peer.failure_domain != self._instance.failure_domain:
            return
        if event.owner:
            self._update_owned(self._owners.add_instance(event.peer.name))
        else:
            self._update_owned(self._owners.remove_instance(event.peer.name))

    def remove_peer(self, name: str) -> None:
        """Removes a peer; its endpoints get other owners."""
        if self._peers.pop(name, None) is not None:
            self._update_owned(self._owners.remove_instance(name))

    def _add(self, endpoint: messages.Endpoint) -> None:
        name = endpoint.name
        self.pool(endpoint.target).members[name] = pools.EndpointState(endpoint)
        self._targets[name] = endpoint.target
        self._states[name] = self._chart.initial
        self._owners.add_endpoint(name)
        self._update_owned([name])
        self._collector.add_fact("", "endpoint joined", "platform list", name)
        if self._departures.is_leaving(name, endpoint.incarnation):
            self._transition(name, "leaving", "known sign")

    def _remove(self, name: str, event: str) -> None:
        self._transition(name, event)
        del self._states[name]
        pool = self._pools[self._targets.pop(name)]
        del pool.members[name]
        pool.update_serving()
        self._owners.remove_endpoint(name)

    def _transition(self, name: str, event: str, reason: str = "") -> None:
        before = self._states[name]
        self._states[name] = after = self._chart.step(before, event)
        if after != before:
            self.endpoint_state(name).leaving = after == "leaving"
            self._update_owned([name])
            self._collector.add_fact(
                "", f"endpoint {after}", reason or event, name
            )

    def _update_owned(self, names: list[str]) -> None:
        for name in names:
            self.endpoint_state(name).owned = (
                self.owns(name) and self._states[name] != "silent"
            )
        for target in {self._targets[name] for name in names}:
            self._pools[target].update_serving()
