"""Datagrams between the instances: heartbeats and who knows what."""

import asyncio
from collections.abc import Callable

from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import clock
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import members
from cranberryglade.gateway import sockets
from cranberryglade.gateway import state

REMEMBERED_PINGS = 1024
STALE_SECONDS = 1.5
"""With a configuration that was confirmed longer ago, an instance also asks
some that are not its contacts."""

OTHERS_ASKED = 2

logger = log.get_logger(__name__)

Handler = Callable[[str, datagrams.Datagram], None]


class Mesh(asyncio.DatagramProtocol):
    """Keeps in touch with the other instances.

    Attributes:
        members: the other instances.
        stopping: whether this instance is.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        address: str,
        known: state.State,
        on_message: Handler,
        on_standing: Callable[[members.Member, datagrams.Standing], None],
        report: Callable[[members.Member], datagrams.Report],
    ):
        self.members = members.Members(
            name, domain, asyncio.get_running_loop().time()
        )
        self.stopping = False
        self._name = name
        self._domain = domain
        self._address = address
        self._state = known
        self._on_message = on_message
        self._on_standing = on_standing
        self._report = report
        self._transport = None
        self._sequence = 0
        self._sent: dict[int, float] = {}
        self._touch: set[str] = set()

    @property
    def life(self) -> str:
        """The incarnation of this instance."""
        return self._state.incarnation

    @property
    def allocator(self) -> str:
        """The instance that grants slots at present."""
        now = asyncio.get_running_loop().time()
        return self.members.allocator(now, self.stopping)

    async def open(self) -> None:
        """Begins to read datagrams."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=sockets.split(self._address)
        )

    async def run(self) -> None:
        """Sends heartbeats for ever."""
        while True:
            for member in self.members.contacts + self._others():
                self.ping(member)
            self._watch()
            await asyncio.sleep(self.members.period)

    def _others(self) -> list[members.Member]:
        """Whom to ask beside the contacts, which may all be cut off."""
        stale = self._state.freshness.age(clock.steady_now()) > STALE_SECONDS
        if self.members.few or not stale:
            return []
        contacts = {member.name for member in self.members.contacts}
        now = asyncio.get_running_loop().time()
        known = [
            member
            for member in self.members.newcomers(now)
            if member.name not in contacts
        ]
        first = self._sequence % max(1, len(known))
        return (known[first:] + known[:first])[:OTHERS_ASKED]

    def ping(self, member: members.Member) -> None:
        """Sends one heartbeat."""
        self._sequence += 1
        self._sent[self._sequence] = clock.steady_now()
        self._sent.pop(self._sequence - REMEMBERED_PINGS, None)
        allocates = member.name == self.allocator
        ping = datagrams.Ping(
            self._name,
            self._state.incarnation,
            self._address,
            self._domain,
            self._sequence,
            self._standing(),
            self._report(member) if allocates else None,
        )
        self.send(member, ping)

    def send(self, member: members.Member, message: datagrams.Datagram) -> None:
        """Sends a datagram, which may be lost."""
        if self._transport is None or self._transport.is_closing():
            return
        address = sockets.split(member.address)
        self._transport.sendto(datagrams.encode(message), address)

    def send_to(self, name: str, message: datagrams.Datagram) -> None:
        """Sends a datagram to an instance by its name."""
        member = self.members.get(name)
        if member is not None:
            self.send(member, message)

    def leave(self) -> None:
        """Tells the others that this instance stops."""
        self.stopping = True
        farewell = datagrams.Leaving(self._name, self._state.incarnation)
        for member in self.members.all:
            self.send(member, farewell)

    def close(self) -> None:
        """Reads and sends no more datagrams."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def error_received(self, exc) -> None:
        """Counts what could not be sent."""
        self._state.metrics.event("datagram_error")

    def datagram_received(self, data: bytes, addr) -> None:
        """Takes in a datagram."""
        match datagrams.decode(data):
            case Failure(problem):
                logger.warning("datagram.unreadable", problem=problem)
            case Success(datagrams.Ping() as ping):
                self._take_ping(ping)
            case Success(datagrams.Pong() as pong):
                self._take_pong(pong)
            case Success(datagrams.Leaving(name=name, incarnation=life)):
                self.members.stopping(name, life)
            case Success(message):
                sender = self.members.at(f"{addr[0]}:{addr[1]}")
                self._on_message(sender, message)

    def _take_ping(self, ping: datagrams.Ping) -> None:
        now = asyncio.get_running_loop().time()
        member = self.members.learn(ping.name, ping.address, ping.domain, now)
        if member is None:
            return
        self.members.see(ping.name, now)
        # Only answers tell that the way is open in both directions.
        pong = datagrams.Pong(
            self._name,
            self._state.incarnation,
            ping.sequence,
            self._standing(),
            self._introduction(now),
        )
        self.send(member, pong)
        if ping.report is not None:
            self._on_message(ping.name, ping)

    def _take_pong(self, pong: datagrams.Pong) -> None:
        sent = self._sent.get(pong.sequence)
        member = self.members.get(pong.name)
        if sent is None or member is None:
            return
        now = asyncio.get_running_loop().time()
        age = pong.standing.age_ms / 1000
        if self.members.hear(pong.name, pong.incarnation, age, now):
            logger.info("peer.heard", peer=pong.name, life=pong.incarnation)
        if pong.other is not None:
            other = pong.other
            self.members.learn(other.name, other.address, other.domain, now)
        standing = pong.standing
        member.told = standing.members
        if standing.confirmed_ms >= 0:
            member.confirmed = now - standing.confirmed_ms / 1000
        same = standing.configuration == self._state.version
        if same and standing.confirmed_ms >= 0 and self._state.version:
            as_of = sent - standing.confirmed_ms / 1000
            self._state.freshness.confirm(as_of)
        self._on_standing(member, standing)

    def _watch(self) -> None:
        now = asyncio.get_running_loop().time()
        heard = {member.name for member in self.members.heard(now)}
        for name in self._touch - heard:
            logger.warning("peer.lost", peer=name)
            self._state.metrics.event("peer_lost")
        for name in heard - self._touch:
            logger.info("peer.regained", peer=name)
        self._touch = heard

    def _standing(self) -> datagrams.Standing:
        now = asyncio.get_running_loop().time()
        age = self._state.freshness.age(clock.steady_now())
        return datagrams.Standing(
            self._state.version,
            int(age * 1000) if age != float("inf") else -1,
            self._state.directory.version,
            self.members.known(now),
            int(self.members.age(now) * 1000),
        )

    def _introduction(self, now: float) -> datagrams.Introduction | None:
        known = self.members.newcomers(now)
        if not known or self.members.few:
            return None
        other = known[self._sequence % len(known)]
        return datagrams.Introduction(other.name, other.address, other.domain)
