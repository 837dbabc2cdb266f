"""Which endpoints and instances there are.

The platform's lagging list and the settings introduce them; gossip tells
whether an instance is there. A list that is missing or old never empties the
view.
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

from cranberryglade import digests
from cranberryglade import log
from cranberryglade import peers
from cranberryglade import revisions
from cranberryglade import settings
from cranberryglade import subscriptions
from cranberryglade import tables
from cranberryglade import wire
from cranberryglade.scheduling import gossip
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import news
from cranberryglade.scheduling import scheduler

DIGEST_PATH = "/v1/peer/digest"
CONFIGURATION_PATH = "/v1/peer/configuration"
JITTER = 0.2
LISTED_SIGN_SPREAD_SECONDS = 0.5
ALL_ENTRIES_SECONDS = 600.0
KINDS = {
    "engine": messages.EndpointKind.ENGINE,
    "service": messages.EndpointKind.SERVICE,
}

logger = log.get_logger(__name__)


class Membership:
    """The view of one instance, as a stream of events for the core."""

    __slots__ = (
        "_all_entries_at",
        "_client",
        "_core",
        "_gossip",
        "_has_tried",
        "_is_cut_off",
        "_is_stopping",
        "_learning",
        "_listed",
        "_own",
        "_platform",
        "_random",
        "_settings",
        "_spreading",
        "_subject",
        "_subscription",
        "_tag",
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
        self._listed: set[str] = set()
        self._tag = ""
        self._all_entries_at: float | None = None
        self._has_tried = False
        self._is_cut_off = False
        self._is_stopping = False
        self._learning: asyncio.Task | None = None
        self._spreading: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self._subject: subject.Subject = subject.Subject()

    @property
    def stream(self) -> reactivex.Observable:
        """Events for the core."""
        return self._subject

    @property
    def peers(self) -> list[messages.Peer]:
        """The peers that answer."""
        return self._gossip.peers

    @property
    def entries(self) -> list[news.Entry]:
        """What the peers that answer say of themselves."""
        return self._gossip.entries

    @property
    def is_introduced(self) -> bool:
        """Whether the list and the instances on it have been tried once."""
        return self._has_tried and self._gossip.is_settled

    def find(self, instance: str, incarnation: str) -> messages.Peer | None:
        """The peer of that name, if the same process still answers."""
        for peer in self._gossip.peers:
            if (peer.name, peer.incarnation) == (instance, incarnation):
                return peer
        return None

    def is_listed(self, endpoint: str) -> bool:
        """Whether the last list that was read shows an endpoint."""
        return endpoint in self._listed

    def announce(
        self, sign: messages.EndpointLeaving, within_seconds: float = 0.0
    ) -> None:
        """Takes in a sign of leaving and tells the peers of the own domain.

        Args:
            sign: the endpoint process and where the sign comes from.
            within_seconds: how long to wait for others to spread it first.
        """
        self._subject.on_next(sign)
        if self._gossip.mark(self._core.marks()) and self._spreading is None:
            self._spreading = asyncio.get_running_loop().call_later(
                self._random.uniform(0.0, within_seconds), self._spread
            )

    def stop(self) -> None:
        """Tells the peers that this instance feeds no endpoint any more."""
        self._is_stopping = True
        self._spread()

    def answer_to(self, message: news.Message, is_bound: bool) -> bytes:
        """Takes in a peer's message and writes the answer.

        Args:
            message: what the peer sent.
            is_bound: whether it was sent to this very process; if not, it may
                be a repetition, and only tells whom to ask.
        """
        if is_bound:
            self._hear(message)
        else:
            peer = message.own.peer
            self._gossip.introduce(peer.name, peer.address, peer.failure_domain)
        return self._message(message.own.peer.name)

    async def run_list(self, period_seconds: float) -> None:
        """Reads the platform's list for ever, at a jittered period."""
        for address in self._settings.contacts:
            self._gossip.introduce(address, address, "")
        while True:
            await self.read_list()
            await asyncio.sleep(self._jittered(period_seconds))

    async def run_probes(self, period_seconds: float) -> None:
        """Exchanges messages with peers for ever, at a jittered period."""
        while True:
            self._mark()
            for event in self._gossip.expire(self._now):
                self._subject.on_next(event)
            for contact in self._gossip.tick(self._now):
                self._spawn(self._exchange(contact))
            await asyncio.sleep(self._jittered(period_seconds))

    async def read_list(self) -> None:
        """Reads the platform's list once."""
        read = await self._platform.instances(
            self._tag, failure_domain=self._own.failure_domain
        )
        match read:
            case Success(listed):
                self._is_cut_off = False
                if listed.instances is not None:
                    self._tag = listed.tag
                    self._take_list(listed.instances)
            case Failure(error):
                if not self._is_cut_off:
                    logger.warning("instances not read", error=str(error))
                self._is_cut_off = True
        await self._read_all_entries()
        self._has_tried = True

    def close(self) -> None:
        """Stops what is under way."""
        for task in self._tasks:
            task.cancel()
        if self._spreading is not None:
            self._spreading.cancel()

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _jittered(self, seconds: float) -> float:
        return seconds * self._random.uniform(1 - JITTER, 1 + JITTER)

    async def _read_all_entries(self) -> None:
        due = self._all_entries_at
        if due is not None and self._now < due:
            return
        match await self._platform.instances("", role="entry"):
            case Success(listed) if listed.instances is not None:
                for instance in listed.instances:
                    self._introduce(instance)
                self._gossip.retire({item.name for item in listed.instances})
                self._all_entries_at = self._now + self._jittered(
                    ALL_ENTRIES_SECONDS
                )

    def _take_list(self, listed: Iterable[wire.InstanceDocument]) -> None:
        entries = [item for item in listed if item.role == "entry"]
        endpoints = [item for item in listed if item.role != "entry"]
        self._listed = {item.name for item in endpoints}
        for instance in entries:
            self._introduce(instance)
        for instance in endpoints:
            self._take_endpoint(instance)

    def _introduce(self, instance: wire.InstanceDocument) -> None:
        self._gossip.introduce(
            instance.name, instance.address, instance.failure_domain
        )

    def _take_endpoint(self, instance: wire.InstanceDocument) -> None:
        if instance.state == "leaving":
            sign = messages.EndpointLeaving(
                instance.name, instance.incarnation, "platform list"
            )
            self.announce(sign, LISTED_SIGN_SPREAD_SECONDS)
        self._subject.on_next(messages.EndpointJoined(_endpoint(instance)))

    def _mark(self) -> None:
        self._gossip.mark(self._core.marks())

    def _message(self, to: str) -> bytes:
        return digests.encode(
            self._gossip.message(
                to,
                self._subscription.accepted.version,
                () if self._is_stopping else self._core.digests(),
                self._now,
                feeds=not self._is_stopping,
            )
        )

    def _hear(self, message: news.Message, is_answer: bool = False) -> None:
        events = self._gossip.hear(message, self._now, is_answer)
        if events is None:
            return
        for event in events:
            self._subject.on_next(event)
        self._mark()
        if message.own.version > self._subscription.accepted.version:
            self._learn(message.own.peer)

    async def _exchange(self, contact: news.Contact) -> None:
        answer = await self._client.call(
            contact.address,
            contact.incarnation,
            DIGEST_PATH,
            self._message(contact.name),
        )
        match answer.bind(digests.decode):
            case Success(message):
                self._hear(message, is_answer=True)
                stranger = message.own.peer.name != contact.name
                if stranger and contact.name != contact.address:
                    self._missed(contact)
            case Failure(_):
                self._missed(contact)

    def _missed(self, contact: news.Contact) -> None:
        for event in self._gossip.miss(contact.name):
            logger.warning("peer lost", peer=contact.name)
            self._subject.on_next(event)

    def _spread(self) -> None:
        if self._spreading is not None:
            self._spreading.cancel()
        self._spreading = None
        for contact in self._gossip.neighbours():
            self._spawn(self._exchange(contact))

    def _learn(self, peer: messages.Peer) -> None:
        if self._learning is None or self._learning.done():
            self._learning = self._spawn(self._fetch_configuration(peer))

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
                self._subscription.take_update(update, known)
            case Failure(error):
                logger.warning(
                    "configuration not learnt", peer=peer.name, error=error
                )

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


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
