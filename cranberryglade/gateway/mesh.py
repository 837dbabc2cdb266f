"""Exchanges heartbeats and other datagrams with the other instances."""

import asyncio
from collections.abc import Callable
import dataclasses
import math

from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import bounded_warnings
from cranberryglade.gateway import capacity
from cranberryglade.gateway import conversions
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import membership
from cranberryglade.gateway import ports
from cranberryglade.gateway import process_pauses
from cranberryglade.gateway import sockets
from cranberryglade.gateway import state

MAX_PENDING_PINGS = 1024
"""Heartbeats whose time of sending is kept, to be matched with answers."""

STALE_SECONDS = 1.5
"""An instance whose configuration was confirmed longer ago also sends
heartbeats to instances that are not its contacts."""

IN_TOUCH_SECONDS = 2.5
"""An instance knows the store's endpoints if its configuration was confirmed
within this time."""

EXTRA_TARGETS = 2
"""How many of those get a heartbeat in each period."""

DISCARD_SECONDS = 0.02
"""For so long after a pause of this process, datagrams are discarded that tell
what was so when they were sent: they waited in the socket."""

NEW_CONTACTS_SECONDS = 0.005
"""Time from the notice that an instance stops to heartbeats to those that are
contacts in its stead; others may stop at the same time."""

DATED_DATAGRAMS = (
    datagrams.Ping
    | datagrams.Pong
    | datagrams.SlotRequest
    | datagrams.Queued
    | datagrams.Grant
    | datagrams.Deny
    | datagrams.EndpointLimit
    | datagrams.FinalUsage
)
"""What tells how things are when it is sent, and is sent again."""

logger = log.get_logger(__name__)

Handler = Callable[[str, datagrams.Datagram], None]
"""Gets the name of the sender, "" if unknown, and the datagram."""


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Confirmation:
    """What a peer told of a configuration that is not in force here yet.

    Attributes:
        version: its version.
        as_of: when it was the newest, seconds of the loop's clock.
    """

    version: int
    as_of: float


class Mesh(asyncio.DatagramProtocol):
    """Sends and receives heartbeats and other datagrams over UDP.

    Attributes:
        members: the other instances.
        stopping: whether this instance is stopping.
        answered: is set when an instance answers a heartbeat.
        newest_configuration: newest version that any of them has told.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        address: str,
        instance_state: state.InstanceState,
        on_message: Handler,
        on_status: Callable[[membership.Member, datagrams.Status], None],
        report: Callable[[membership.Member], datagrams.Report],
        own_capacity: float = capacity.DEFAULT_CAPACITY,
    ):
        """Connects it to the other components; `open` starts it.

        Args:
            name: name of this instance.
            domain: its failure domain.
            address: host and port at which it receives datagrams.
            instance_state: state of this instance.
            on_message: gets the datagrams that are not handled here.
            on_status: gets the status in each answer to a heartbeat.
            report: returns what the allocator gets with a heartbeat.
            own_capacity: as in `capacity.of_machine`.
        """
        self.members = membership.Membership(
            name, domain, asyncio.get_running_loop().time(), own_capacity
        )
        self.stopping = False
        self.answered = asyncio.Event()
        self.newest_configuration = 0
        self._expected = Confirmation(0, 0.0)
        self._name = name
        self._domain = domain
        self._capacity = own_capacity
        self._address = address
        self._state = instance_state
        self._on_message = on_message
        self._on_status = on_status
        self._report = report
        self._transport = None
        self._closed = False
        self._sequence = 0
        self._discard_until = float("-inf")
        self._unreadable = bounded_warnings.BoundedWarning(
            "datagram.unreadable", max_per_window=1
        )
        self._unreadable_members = bounded_warnings.BoundedWarning(
            "member.unreadable"
        )
        self._ping_times: dict[int, float] = {}
        self._asking_contacts: asyncio.TimerHandle | None = None
        self._reachable: set[str] = set()

    @property
    def incarnation(self) -> str:
        """The incarnation of this instance."""
        return self._state.incarnation

    @property
    def allocator(self) -> str:
        """Name of the instance that grants slots at present."""
        now = asyncio.get_running_loop().time()
        return self.members.allocator(now, self.stopping)

    async def open(self) -> None:
        """Binds the socket and starts to receive datagrams."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=sockets.split_address(self._address)
        )

    async def run(self) -> None:
        """Sends heartbeats periodically until cancelled.

        Opens the socket again if the system closed it.

        Raises:
            OSError: if it cannot be opened.
        """
        while True:
            if self._transport.is_closing() and not self._closed:
                await self.open()
            for member in self._heartbeat_targets():
                self.ping(member)
            self._log_reachability()
            await asyncio.sleep(self.members.heartbeat_seconds)

    def _heartbeat_targets(self) -> list[membership.Member]:
        members = self.members
        regular = members.contacts + members.stopping_contacts
        return regular + self._extra_targets()

    def _extra_targets(self) -> list[membership.Member]:
        """Returns further instances to send heartbeats to, if any.

        They are used while the configuration is stale, since all contacts may
        be cut off from the store. Successive calls rotate through them.
        """
        now = asyncio.get_running_loop().time()
        stale = self._state.configuration_age.age(now) > STALE_SECONDS
        if self.members.full_mesh or not stale:
            return []
        contacts = {member.name for member in self.members.contacts}
        candidates = [
            member
            for member in self.members.recent_senders(now)
            if member.name not in contacts
        ]
        offset = self._sequence % max(1, len(candidates))
        return (candidates[offset:] + candidates[:offset])[:EXTRA_TARGETS]

    def ping(self, member: membership.Member) -> None:
        """Sends one heartbeat.

        If the receiver is the allocator, it includes the requests of this
        instance that hold slots, and its usage of quotas.
        """
        self._sequence += 1
        self._ping_times[self._sequence] = asyncio.get_running_loop().time()
        self._ping_times.pop(self._sequence - MAX_PENDING_PINGS, None)
        allocator = self.allocator
        ping = datagrams.Ping(
            self._name,
            self._state.incarnation,
            self._address,
            self._domain,
            self._sequence,
            self._status(),
            self._report(member) if member.name == allocator else None,
            [
                datagrams.LeavingEndpoint(id_, started_ms)
                for id_, started_ms in self._state.directory.announced.items()
            ],
            self._quarantine(),
            self._suspects() if allocator == self._name else None,
            self._limits(),
            self._capacity,
        )
        self.send(member, ping)

    def send(
        self, member: membership.Member, message: datagrams.Datagram
    ) -> None:
        """Sends a datagram without guarantee of delivery."""
        if self._transport is None or self._transport.is_closing():
            return
        address = sockets.split_address(member.address)
        self._transport.sendto(datagrams.encode(message), address)

    def send_to(self, name: str, message: datagrams.Datagram) -> None:
        """Sends a datagram to an instance by name; ignores unknown names."""
        member = self.members.get(name)
        if member is not None:
            self.send(member, message)

    def leave(self) -> None:
        """Notifies all known instances that this one is stopping."""
        self.stopping = True
        leaving = datagrams.Leaving(self._name, self._state.incarnation)
        for member in self.members.all:
            self.send(member, leaving)

    def close(self) -> None:
        """Closes the socket."""
        self._closed = True
        if self._asking_contacts is not None:
            self._asking_contacts.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport) -> None:
        """Stores the transport, once the socket is bound."""
        self._transport = transport

    def connection_lost(self, exc) -> None:
        """Logs that the socket was closed, unless that was intended."""
        if not self._closed:
            logger.error("mesh.closed", exc_info=exc)

    def error_received(self, exc) -> None:
        """Counts an error that a send or receive operation raised."""
        self._state.metrics.count_event("datagram_error")

    def datagram_received(self, data: bytes, addr) -> None:
        """Decodes a datagram and handles it by its type.

        Slot requests, decisions and releases go to the message handler;
        datagrams that cannot be decoded are logged and dropped.
        """
        now = asyncio.get_running_loop().time()
        self._state.process_pauses.observe(now)
        match datagrams.decode(data):
            case Failure(problem):
                # A later build may send many of a kind that is unknown here.
                self._state.metrics.count_event("datagram_unreadable")
                self._unreadable.log(problem=problem)
            case Success(message) if self._is_outdated(message, now):
                self._state.metrics.count_event("datagram_outdated")
            case Success(datagrams.Ping() as ping):
                self._receive_ping(ping)
            case Success(datagrams.Pong() as pong):
                self._receive_pong(pong)
            case Success(datagrams.Leaving(name=name, incarnation=incarnation)):
                self._learn_stopping(name, incarnation)
            case Success(datagrams.EndpointLimit() as limit):
                self._learn_limits([limit])
            case Success(message):
                sender = self.members.name_at(f"{addr[0]}:{addr[1]}")
                self._on_message(sender, message)

    def _is_outdated(self, message: datagrams.Datagram, now: float) -> bool:
        return now < self._discard_until and isinstance(
            message, DATED_DATAGRAMS
        )

    def ask_again(self) -> None:
        """Asks the other instances anew, after this process stood still.

        Answers to earlier heartbeats are ignored.
        """
        loop = asyncio.get_running_loop()
        self._ping_times.clear()
        self._discard_until = loop.time() + DISCARD_SECONDS
        loop.call_at(self._discard_until, self._ping_contacts)

    def _ping_contacts(self) -> None:
        for member in self.members.contacts:
            self.ping(member)

    def greet(self) -> None:
        """Tells all known instances that this one runs; they answer."""
        for member in self.members.all:
            self.ping(member)

    def _learn_stopping(self, name: str, incarnation: str) -> None:
        if self.members.record_stopping(name, incarnation):
            self._ask_new_contacts()

    def _ask_new_contacts(self) -> None:
        """Soon sends heartbeats to contacts that have not answered lately.

        Many instances may stop at once, and each changes the contacts.
        """
        if self._asking_contacts is None:
            loop = asyncio.get_running_loop()
            self._asking_contacts = loop.call_later(
                NEW_CONTACTS_SECONDS, self._ping_unproven_contacts
            )

    def _ping_unproven_contacts(self) -> None:
        self._asking_contacts = None
        now = asyncio.get_running_loop().time()
        proven = {member.name for member in self.members.reachable(now)}
        for member in self.members.contacts:
            if member.name not in proven:
                self.ping(member)

    def _receive_ping(self, ping: datagrams.Ping) -> None:
        now = asyncio.get_running_loop().time()
        sender = datagrams.MemberInfo(
            ping.name, ping.address, ping.domain, ping.capacity
        )
        member = self._register(sender, now)
        if member is None:
            return
        age = ping.status.age_ms / 1000
        self.members.record_heartbeat(ping.name, ping.incarnation, age, now)
        if ping.status.stopping:
            self._learn_stopping(ping.name, ping.incarnation)
        # Only an answer to an own heartbeat shows that both directions work,
        # so a heartbeat alone does not mark its sender as reachable.
        pong = datagrams.Pong(
            self._name,
            self._state.incarnation,
            ping.sequence,
            self._status(),
            self._choose_introduction(now),
            self._quarantine(),
        )
        self.send(member, pong)
        self._learn_quarantine(ping.name, ping.quarantine)
        self._adopt_suspects(ping)
        self._learn_limits(ping.limits)
        self._on_message(ping.name, ping)

    def _register(
        self, info: datagrams.MemberInfo, now: float
    ) -> membership.Member | None:
        if not sockets.is_ip_address(info.address):
            self._unreadable_members.log(
                member=info.name, problem="no usable address"
            )
            return None
        return self.members.register(
            info.name, info.address, info.domain, now, info.capacity
        )

    def _receive_pong(self, pong: datagrams.Pong) -> None:
        sent_at = self._ping_times.get(pong.sequence)
        member = self.members.get(pong.name)
        if sent_at is None or member is None:
            return
        now = asyncio.get_running_loop().time()
        age = pong.status.age_ms / 1000
        # A pong that was late shows nothing of the time in which it was.
        answered_at = min(now, sent_at + self.members.heartbeat_seconds)
        if self.members.record_answer(
            pong.name, pong.incarnation, age, answered_at
        ):
            logger.info("peer.heard", peer=pong.name, life=pong.incarnation)
        self._learn_quarantine(pong.name, pong.quarantine)
        if pong.other is not None:
            self._register(pong.other, now)
        status = pong.status
        if status.stopping:
            self._learn_stopping(pong.name, pong.incarnation)
        member.reported_instances = status.members
        member.cut_off = status.cut_off
        if status.confirmed_ms >= 0:
            member.confirmed_at = sent_at - status.confirmed_ms / 1000
        self._learn_configuration(status, sent_at)
        self._confirm_endpoints(status, sent_at)
        self._on_status(member, status)
        self.answered.set()

    def _learn_configuration(
        self, status: datagrams.Status, sent_at: float
    ) -> None:
        told = status.configuration
        self.newest_configuration = max(self.newest_configuration, told)
        if status.confirmed_ms < 0 or not told:
            return
        as_of = sent_at - status.confirmed_ms / 1000
        if told == self._state.version:
            self._state.configuration_age.confirm(as_of)
            self._state.process_pauses.confirm(
                process_pauses.Belief.CONFIGURATION, sent_at
            )
        elif told > self._state.version:
            self._expected = max(self._expected, Confirmation(told, as_of))

    def confirm_fetched(self) -> None:
        """Confirms a new configuration as of when its sender told it to be."""
        if self._expected.version == self._state.version:
            self._state.configuration_age.confirm(self._expected.as_of)

    def _confirm_endpoints(
        self, status: datagrams.Status, sent_at: float
    ) -> None:
        """Confirms the endpoints if a peer in touch knows nothing newer."""
        known = ports.Version(status.era, status.endpoints)
        in_touch = 0 <= status.confirmed_ms < IN_TOUCH_SECONDS * 1000
        if in_touch and known <= self._state.directory.version:
            self._state.process_pauses.confirm(
                process_pauses.Belief.ENDPOINTS, sent_at
            )

    def _learn_quarantine(
        self, peer: str, entries: list[datagrams.QuarantineEntry]
    ) -> None:
        now = asyncio.get_running_loop().time()
        for entry in entries:
            self._state.quarantine.merge(
                conversions.decode_quarantine(entry, now), now, peer
            )

    def _learn_limits(self, limits: list[datagrams.EndpointLimit]) -> None:
        now = asyncio.get_running_loop().time()
        for limit in limits:
            self._state.endpoint_limits.merge(
                conversions.decode_limit(limit, now)
            )

    def _adopt_suspects(self, ping: datagrams.Ping) -> None:
        if ping.suspects is None or ping.name != self.allocator:
            return
        self._state.quarantine.evidence.adopt(
            map(conversions.decode_suspicion, ping.suspects),
            asyncio.get_running_loop().time(),
        )

    def _quarantine(self) -> list[datagrams.QuarantineEntry]:
        now = asyncio.get_running_loop().time()
        return [
            conversions.encode_quarantine(entry, now)
            for entry in self._state.quarantine.shared_entries()
        ]

    def _limits(self) -> list[datagrams.EndpointLimit]:
        now = asyncio.get_running_loop().time()
        return [
            conversions.encode_limit(limit, now)
            for limit in self._state.endpoint_limits.shared()
        ]

    def _suspects(self) -> list[datagrams.SuspectPart]:
        return [
            conversions.encode_suspicion(suspicion)
            for suspicion in self._state.quarantine.evidence.suspicions()
        ]

    def _log_reachability(self) -> None:
        now = asyncio.get_running_loop().time()
        # All answer the greeting at the start; most are not asked again.
        contacts = {member.name for member in self.members.contacts}
        reachable = {
            member.name
            for member in self.members.reachable(now)
            if member.name in contacts
        }
        for name in self._reachable - reachable:
            logger.warning("peer.lost", peer=name)
            self._state.metrics.count_event("peer_lost")
        for name in reachable - self._reachable:
            logger.info("peer.regained", peer=name)
        self._reachable = reachable

    def _status(self) -> datagrams.Status:
        now = asyncio.get_running_loop().time()
        age = self._state.configuration_age.age(now)
        return datagrams.Status(
            self._state.version,
            # Rounded up: instances tell it on to each other again and again.
            math.ceil(age * 1000) if age != float("inf") else -1,
            self._state.directory.version.number,
            self.members.instance_count(now),
            int(self.members.uptime(now) * 1000),
            self._state.directory.version.era,
            self._state.reachability.is_cut_off(now),
            self.stopping,
        )

    def _choose_introduction(self, now: float) -> datagrams.MemberInfo | None:
        other = self.members.introduction(now)
        if other is None:
            return None
        return datagrams.MemberInfo(
            other.name, other.address, other.domain, other.capacity
        )
