"""Which endpoints and instances there are.

The platform's lagging list introduces them; direct probes tell whether a peer
is there. A list that is missing or old never empties the view.
"""

from __future__ import annotations

import asyncio

import reactivex
from reactivex import subject
from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade import peers
from cranberryglade import platform
from cranberryglade import settings
from cranberryglade import subscriptions
from cranberryglade import wire
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler

FAILED_PROBES = 3
KINDS = {
    "engine": messages.EndpointKind.ENGINE,
    "service": messages.EndpointKind.SERVICE,
}

logger = log.get_logger(__name__)


class Membership:
    """The view of one instance, as a stream of events for the core."""

    __slots__ = (
        "_addresses",
        "_client",
        "_core",
        "_failures",
        "_own",
        "_peers",
        "_platform",
        "_settings",
        "_subject",
        "_subscription",
    )

    def __init__(
        self,
        own: messages.Peer,
        configured: settings.Settings,
        client: peers.PeerClient,
        platform_client: platform.PlatformClient,
        subscription: subscriptions.Subscription,
        core: scheduler.Scheduler,
    ):
        self._own = own
        self._settings = configured
        self._client = client
        self._platform = platform_client
        self._subscription = subscription
        self._core = core
        self._addresses: dict[str, str] = {}
        self._peers: dict[str, messages.Peer] = {}
        self._failures: dict[str, int] = {}
        self._subject: subject.Subject = subject.Subject()

    @property
    def stream(self) -> reactivex.Observable:
        """Events for the core."""
        return self._subject

    @property
    def peers(self) -> list[messages.Peer]:
        """The peers that answer."""
        return list(self._peers.values())

    def find(self, instance: str, incarnation: str) -> messages.Peer | None:
        """The peer of that name, if the same process still answers."""
        peer = self._peers.get(instance)
        if peer is None or peer.incarnation != incarnation:
            return None
        return peer

    def own_digest(self) -> wire.DigestDocument:
        """What peers are told."""
        return wire.DigestDocument(
            instance=self._own.name,
            incarnation=self._own.incarnation,
            address=self._own.address,
            failure_domain=self._own.failure_domain,
            version=self._subscription.version,
            targets=list(self._core.digests()),
        )

    def heard(self, digest: wire.DigestDocument) -> None:
        """Takes in what a peer says of itself."""
        peer = messages.Peer(
            digest.instance,
            digest.incarnation,
            digest.address,
            digest.failure_domain,
        )
        self._addresses[peer.name] = peer.address
        self._failures[peer.name] = 0
        self._peers[peer.name] = peer
        self._subject.on_next(
            messages.PeerReported(peer, tuple(digest.targets))
        )

    async def run_list(self, period_seconds: float) -> None:
        """Reads the platform's list for ever."""
        while True:
            await self.read_list()
            await asyncio.sleep(period_seconds)

    async def run_probes(self, period_seconds: float) -> None:
        """Probes the peers for ever."""
        while True:
            await asyncio.gather(
                *(self._probe(name) for name in list(self._addresses))
            )
            await asyncio.sleep(period_seconds)

    async def read_list(self) -> None:
        """Reads the platform's list once."""
        match await self._platform.instances():
            case Success(listed):
                for instance in listed.instances:
                    self._take(instance)
            case Failure(error):
                logger.warning("instances not read", error=str(error))

    def _take(self, instance: wire.InstanceDocument) -> None:
        if instance.role == "entry":
            if instance.name != self._own.name:
                self._addresses.setdefault(instance.name, instance.address)
            return
        if instance.state == "leaving":
            self._subject.on_next(
                messages.EndpointLeaving(
                    instance.name, instance.incarnation, "platform list"
                )
            )
            return
        self._subject.on_next(messages.EndpointJoined(_endpoint(instance)))

    async def _probe(self, name: str) -> None:
        address = self._addresses[name]
        answer = await self._client.exchange_digests(address, self.own_digest())
        match answer:
            case Success(digest):
                self.heard(digest)
            case Failure(_):
                self._missed(name)

    def _missed(self, name: str) -> None:
        failures = self._failures.get(name, 0) + 1
        self._failures[name] = failures
        if failures >= FAILED_PROBES and name in self._peers:
            del self._peers[name]
            logger.warning("peer lost", peer=name)
            self._subject.on_next(messages.PeerGone(name))


def _endpoint(instance: wire.InstanceDocument) -> messages.Endpoint:
    return messages.Endpoint(
        instance.name,
        instance.incarnation,
        instance.address,
        instance.target,
        instance.failure_domain,
        KINDS.get(instance.role, messages.EndpointKind.ENGINE),
        instance.generation,
        instance.slots,
        instance.fenced,
    )
