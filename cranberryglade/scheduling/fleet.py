"""The endpoints and peers that this instance knows of."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from cranberryglade.scheduling import decisions
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import ownership
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import queues


@dataclasses.dataclass(slots=True, frozen=True)
class Offer:
    """What one peer says about one target."""

    peer: messages.Peer
    digest: messages.TargetDigest


@dataclasses.dataclass(slots=True, eq=False)
class _PeerView:
    peer: messages.Peer
    digests: dict[str, messages.TargetDigest]


class Fleet:
    """Pools of endpoints by target, and peers with their digests."""

    __slots__ = (
        "_decisions",
        "_instance",
        "_make_queue",
        "_peers",
        "_pools",
        "_targets",
    )

    def __init__(
        self,
        instance: messages.Peer,
        collected: decisions.Decisions,
        make_queue: Callable[[], queues.Queue] = queues.Queue,
    ):
        self._instance = instance
        self._make_queue = make_queue
        self._decisions = collected
        self._pools: dict[str, pools.Pool] = {}
        self._targets: dict[str, str] = {}
        self._peers: dict[str, _PeerView] = {}

    def pool(self, target: str) -> pools.Pool:
        """The pool of a target, empty if nothing is known of it."""
        pool = self._pools.get(target)
        if pool is None:
            pool = self._pools[target] = pools.Pool(target, self._make_queue())
        return pool

    def all_pools(self) -> list[pools.Pool]:
        """The pools of all targets."""
        return list(self._pools.values())

    def member(self, name: str) -> pools.Member | None:
        """The endpoint of that name."""
        target = self._targets.get(name)
        return self._pools[target].members.get(name) if target else None

    def offers(self, target: str) -> Iterator[Offer]:
        """What the peers say about a target."""
        for view in self._peers.values():
            digest = view.digests.get(target)
            if digest is not None:
                yield Offer(view.peer, digest)

    def join_endpoint(self, endpoint: messages.Endpoint) -> None:
        """Takes in a live endpoint."""
        members = self.pool(endpoint.target).members
        known = members.get(endpoint.name)
        if known and known.endpoint.incarnation == endpoint.incarnation:
            return
        members[endpoint.name] = pools.Member(endpoint)
        self._targets[endpoint.name] = endpoint.target
        self._share_out()
        self._decisions.note(
            "", "endpoint joined", "platform list", endpoint.name
        )

    def leave_endpoint(self, event: messages.EndpointLeaving) -> None:
        """Gives an endpoint no new work from now on."""
        member = self.member(event.name)
        if member is None or member.leaving:
            return
        if event.incarnation not in ("", member.endpoint.incarnation):
            return
        member.leaving = True
        self._decisions.note("", "endpoint leaving", event.sign, event.name)

    def drop_endpoint(self, name: str) -> None:
        """Forgets an endpoint."""
        target = self._targets.pop(name, None)
        if target is not None:
            self._pools[target].members.pop(name, None)

    def see_peer(self, event: messages.PeerReported) -> None:
        """Takes in what a peer says."""
        known = event.peer.name in self._peers
        by_target = {digest.target: digest for digest in event.digests}
        self._peers[event.peer.name] = _PeerView(event.peer, by_target)
        if not known:
            self._share_out()

    def drop_peer(self, name: str) -> None:
        """Forgets a peer."""
        if self._peers.pop(name, None) is not None:
            self._share_out()

    def _share_out(self) -> None:
        names = self._domain_instances()
        for pool in self._pools.values():
            for member in pool.members.values():
                member.owned = self._owns(member.endpoint, names)

    def _domain_instances(self) -> list[str]:
        domain = self._instance.failure_domain
        peers = [
            view.peer.name
            for view in self._peers.values()
            if view.peer.failure_domain == domain
        ]
        return [self._instance.name, *peers]

    def _owns(self, endpoint: messages.Endpoint, names: list[str]) -> bool:
        if endpoint.failure_domain != self._instance.failure_domain:
            return False
        return ownership.owner(endpoint.name, names) == self._instance.name
