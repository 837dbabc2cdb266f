"""Membership: the endpoints and instances that this instance knows.

Endpoints come from the platform's list, which lags; instances come from that
list and from the contacts in the settings. Gossip detects whether an instance
is reachable. A list that cannot be read, is empty or is out of date removes
neither endpoints nor reachable instances.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import random

import reactivex
from reactivex import subject
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import gossip_encoding
from cranberryglade import log
from cranberryglade import peers
from cranberryglade import revisions
from cranberryglade import settings
from cranberryglade import subscriptions
from cranberryglade import tables
from cranberryglade import wire
from cranberryglade.scheduling import gossip
from cranberryglade.scheduling import gossip_messages
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler

DIGEST_PATH = "/v1/peer/digest"
CONFIGURATION_PATH = "/v1/peer/configuration"
JITTER_RATIO = 0.2
LISTED_DEPARTURE_DELAY_SECONDS = 0.5
FULL_LIST_PERIOD_SECONDS = 600.0
ENDPOINT_KINDS = {
    "engine": messages.EndpointKind.ENGINE,
    "service": messages.EndpointKind.SERVICE,
}

logger = log.get_logger(__name__)


class Membership:
    """The membership view of one instance, published as scheduler events."""

    __slots__ = (
        "_client",
        "_core",
        "_notice_timer",
        "_fetch_task",
        "_full_list_due_at",
        "_gossip",
        "_is_list_unreadable",
        "_is_stopping",
        "_list_attempted",
        "_list_tag",
        "_listed_endpoints",
        "_own",
        "_platform",
        "_random",
        "_settings",
        "_subject",
        "_subscription",
        "_tasks",
    )

    def __init__(
        self,
        own: messages.Peer,
        configured: settings.Settings,
        client: peers.PeerClient,
        platform_client: tables.Tables,
        subscription: subscriptions.Subscription,
        core: scheduler.Scheduler,
        generator: random.Random,
    ):
        self._own = own
        self._settings = configured
        self._client = client
        self._platform = platform_client
        self._subscription = subscription
        self._core = core
        self._random = generator
        self._gossip = gossip.Gossip(own, generator)
        self._listed_endpoints: set[str] = set()
        self._list_tag = ""
        self._full_list_due_at: float | None = None
        self._list_attempted = False
        self._is_list_unreadable = False
        self._is_stopping = False
        self._fetch_task: asyncio.Task | None = None
        self._notice_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self._subject: subject.Subject = subject.Subject()

    @property
    def events(self) -> reactivex.Observable:
        """Membership events for the scheduler."""
        return self._subject

    @property
    def peers(self) -> list[messages.Peer]:
        """The reachable peers, with a few contacts in other failure domains."""
        return self._gossip.peers

    @property
    def peer_entries(self) -> list[gossip_messages.HeartbeatEntry]:
        """The newest gossip entry of each reachable peer."""
        return self._gossip.entries

    @property
    def is_discovery_done(self) -> bool:
        """Whether initial discovery is done.

        That is: the list has been read once, successfully or not, and enough
        peers have answered or no probe of a new instance is queued.
        """
        return self._list_attempted and self._gossip.is_settled

    def find(self, instance: str, incarnation: str) -> messages.Peer | None:
        """Returns the peer if this incarnation of it is reachable, or None."""
        for peer in self._gossip.peers:
            if (peer.name, peer.incarnation) == (instance, incarnation):
                return peer
        return None

    def is_listed(self, endpoint: str) -> bool:
        """Returns whether the last list that was read contains the endpoint."""
        return endpoint in self._listed_endpoints

    def announce_departure(
        self,
        departure: messages.EndpointLeaving,
        maximum_delay_seconds: float = 0.0,
    ) -> None:
        """Records that an endpoint leaves and notifies peers.

        Only peers in the own failure domain are notified, and only if the
        departure was not known before.

        Args:
            departure: the endpoint process and the source of the information.
            maximum_delay_seconds: upper bound of the random delay before
                peers are notified. All departures recorded meanwhile are sent
                at once. The delay lets instances that read the same list
                notify each other at different times.
        """
        self._subject.on_next(departure)
        if self._gossip.set_departures(self._core.departure_records()):
            self.notify_peers(maximum_delay_seconds)

    def notify_peers(self, maximum_delay_seconds: float = 0.0) -> None:
        """Exchanges messages with all peers of the own failure domain.

        Args:
            maximum_delay_seconds: upper bound of a random delay before; all
                news until then is sent at once.
        """
        if self._notice_timer is None:
            self._notice_timer = asyncio.get_running_loop().call_later(
                self._random.uniform(0.0, maximum_delay_seconds),
                self._exchange_with_neighbours,
            )

    def stop(self) -> None:
        """Notifies peers that this instance no longer owns endpoints.

        All later messages say so too, and carry no digests.
        """
        self._is_stopping = True
        self._exchange_with_neighbours()

    def handle_message(
        self, message: gossip_messages.GossipMessage, is_bound: bool
    ) -> bytes:
        """Handles a peer's gossip message and returns the encoded answer.

        Args:
            message: the peer's message.
            is_bound: whether its signature is bound to the incarnation of
                this instance. If not, the message may be a replay: only the
                sender's name, address and failure domain are used, so that
                the sender can be probed.

        Returns:
            The answer as `gossip_encoding.encode` writes it.
        """
        if is_bound:
            self._apply_message(message)
        else:
            peer = message.own.peer
            self._gossip.add_instance(
                peer.name, peer.address, peer.failure_domain
            )
        return self._encode_message(message.own.peer.name)

    async def poll_list(self, period_seconds: float) -> None:
        """Reads the platform's list until cancelled.

        The contacts in the settings are introduced first.

        Args:
            period_seconds: mean time between reads, varied by JITTER_RATIO.
        """
        for address in self._settings.contacts:
            self._gossip.add_instance(address, address, "")
        while True:
            await self.read_list()
            await asyncio.sleep(self._jittered(period_seconds))

    async def run_probes(self, period_seconds: float) -> None:
        """Probes peers and expires old contacts until cancelled.

        Args:
            period_seconds: mean time between probes, varied by JITTER_RATIO.
        """
        while True:
            self._update_departures()
            for event in self._gossip.expire(self._now):
                self._subject.on_next(event)
            for contact in self._gossip.tick(self._now):
                self._spawn(self._exchange(contact))
            await asyncio.sleep(self._jittered(period_seconds))

    async def read_list(self) -> None:
        """Reads the platform's list once and applies it if it has changed.

        A failed read changes nothing; of several in a row the first is logged.
        """
        read = await self._platform.instances(
            self._list_tag, failure_domain=self._own.failure_domain
        )
        match read:
            case Success(listed):
                self._is_list_unreadable = False
                if listed.instances is not None:
                    self._list_tag = listed.tag
                    self._apply_list(listed.instances)
            case Failure(error):
                if not self._is_list_unreadable:
                    logger.warning("instances.read_failed", error=str(error))
                self._is_list_unreadable = True
        await self._read_all_instances()
        self._list_attempted = True

    def close(self) -> None:
        """Cancels the pending exchanges and timers."""
        for task in self._tasks:
            task.cancel()
        if self._notice_timer is not None:
            self._notice_timer.cancel()

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _jittered(self, seconds: float) -> float:
        return seconds * self._random.uniform(
            1 - JITTER_RATIO, 1 + JITTER_RATIO
        )

    async def _read_all_instances(self) -> None:
        due = self._full_list_due_at
        if due is not None and self._now < due:
            return
        match await self._platform.instances("", role="entry"):
            case Success(listed) if listed.instances is not None:
                for instance in listed.instances:
                    self._introduce(instance)
                self._gossip.remove_unlisted(
                    {item.name for item in listed.instances}
                )
                self._full_list_due_at = self._now + self._jittered(
                    FULL_LIST_PERIOD_SECONDS
                )

    def _apply_list(self, listed: Iterable[wire.InstanceDocument]) -> None:
        instances = [item for item in listed if item.role == "entry"]
        endpoints = [item for item in listed if item.role != "entry"]
        self._listed_endpoints = {item.name for item in endpoints}
        for instance in instances:
            self._introduce(instance)
        for endpoint in endpoints:
            self._apply_endpoint(endpoint)

    def _introduce(self, instance: wire.InstanceDocument) -> None:
        self._gossip.add_instance(
            instance.name, instance.address, instance.failure_domain
        )

    def _apply_endpoint(self, listed: wire.InstanceDocument) -> None:
        if listed.state == "leaving":
            departure = messages.EndpointLeaving(
                listed.name, listed.incarnation, "platform list"
            )
            self.announce_departure(departure, LISTED_DEPARTURE_DELAY_SECONDS)
        self._subject.on_next(messages.EndpointJoined(_to_endpoint(listed)))

    def _update_departures(self) -> None:
        self._gossip.set_departures(self._core.departure_records())

    def _encode_message(self, receiver: str) -> bytes:
        return gossip_encoding.encode(
            self._gossip.message(
                receiver,
                self._subscription.accepted.version,
                () if self._is_stopping else self._core.digests(),
                self._now,
                not self._is_stopping,
                self._core.crash_reports(self._now),
                self._core.quarantines(self._now),
            )
        )

    def _apply_message(
        self, message: gossip_messages.GossipMessage, is_answer: bool = False
    ) -> None:
        events = self._gossip.receive(message, self._now, is_answer)
        if events is None:
            return
        for event in events:
            self._subject.on_next(event)
        self._update_departures()
        if message.own.version > self._subscription.accepted.version:
            self._start_fetch(message.own.peer)

    async def _exchange(self, contact: gossip_messages.Contact) -> None:
        answer = await self._client.call(
            contact.address,
            contact.incarnation,
            DIGEST_PATH,
            self._encode_message(contact.name),
        )
        match answer.bind(gossip_encoding.decode):
            case Success(message):
                self._apply_message(message, is_answer=True)
                is_other_instance = message.own.peer.name != contact.name
                if is_other_instance and contact.name != contact.address:
                    self._record_missed_probe(contact)
            case Failure(_):
                self._record_missed_probe(contact)

    def _record_missed_probe(self, contact: gossip_messages.Contact) -> None:
        for event in self._gossip.record_failed_probe(contact.name):
            logger.warning("peer.lost", peer=contact.name)
            self._subject.on_next(event)

    def _exchange_with_neighbours(self) -> None:
        if self._notice_timer is not None:
            self._notice_timer.cancel()
        self._notice_timer = None
        for contact in self._gossip.domain_contacts():
            self._spawn(self._exchange(contact))

    def _start_fetch(self, peer: messages.Peer) -> None:
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = self._spawn(self._fetch_configuration(peer))

    async def _fetch_configuration(self, peer: messages.Peer) -> None:
        known = self._subscription.accepted.version
        answer: Result[bytes, str] = await self._client.call(
            peer.address,
            peer.incarnation,
            CONFIGURATION_PATH,
            wire.encode(revisions.UpdateRequest(known_version=known)),
        )
        match answer.bind(lambda data: wire.decode(data, revisions.Update)):
            case Success(update):
                self._subscription.apply_update(update, known)
            case Failure(error):
                logger.warning(
                    "configuration.fetch_failed", peer=peer.name, error=error
                )

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _to_endpoint(listed: wire.InstanceDocument) -> messages.Endpoint:
    return messages.Endpoint(
        listed.name,
        listed.incarnation,
        listed.address,
        listed.target,
        listed.failure_domain,
        ENDPOINT_KINDS.get(listed.role, messages.EndpointKind.ENGINE),
        listed.generation,
        listed.slots,
        listed.fenced,
    )
