"""Connections to endpoints through another instance.

Load pattern: an instance reaches no endpoint for seconds, while callers and the
other instances reach it. It goes on to serve its callers: another instance
passes the bytes of its connections on. All decisions stay with the first one.

An instance that passes on connects to endpoints directly, never through a
third one. Towards the first instance it sends frames, so that the end of an
answer can be told from the loss of a connection.
"""

import asyncio
from collections.abc import Callable
import functools
import struct

from cranberryglade import log
from cranberryglade.answer_grammar import closing
from cranberryglade.gateway import messages
from cranberryglade.gateway import opening
from cranberryglade.gateway import outbound
from cranberryglade.gateway import reachability
from cranberryglade.gateway import responding
from cranberryglade.gateway import small_reads
from cranberryglade.gateway import sockets
from cranberryglade.gateway import state
from cranberryglade.memory import budget as memory_budget
from cranberryglade.memory import holding

PATH = b"/tunnel/"
"""Path of a request for a tunnel; the endpoint's address follows."""

CONNECT_TIMEOUT_SECONDS = 0.25
"""Timeout of the connection to the endpoint."""

DELAY_SECONDS = 0.05
"""Time that a direct connection has before a tunnel is tried, too."""

STAGGER_SECONDS = 0.03
"""Time that an instance has to open a tunnel before the next one is asked, too;
those of one failure domain may be cut off together."""

MAX_TUNNELS = 512
"""Number of tunnels that an instance passes on at the same time."""

MAX_HELPERS = 3
"""Number of instances that are asked for one tunnel."""

REUSE_SECONDS = 2.0
"""Age up to which a tunnel is used again; then a direct connection is tried."""

MAX_FRAME_BYTES = 16_777_216
MAX_OPENING_BYTES = 1024
"""Largest first frame: that the tunnel is open, or why not."""

OPENED = b"opened"
FRAME_HEAD = struct.Struct("!I")
END = FRAME_HEAD.pack(0)

logger = log.get_logger(__name__)


def encode_frame(data: bytes) -> bytes:
    """Returns a frame: its length, then the data; without data, the end."""
    return FRAME_HEAD.pack(len(data)) + data


class TunnelServer:
    """Passes connections of other instances on to endpoints.

    Attributes:
        open_transports: the connections of the instances that use it.
    """

    __slots__ = ("_memory", "_state", "open_transports")

    def __init__(
        self,
        instance_state: state.InstanceState,
        memory: memory_budget.MemoryBudget | None = None,
    ):
        self._memory = memory or memory_budget.unlimited()
        self._state = instance_state
        self.open_transports: set[asyncio.Transport] = set()

    async def handle(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        """Opens a tunnel on the connection of a peer's request."""
        address = request.target.removeprefix(PATH).decode("latin-1")
        peer = _PeerSide(self.open_transports, self._memory)
        peer.attach(responder.take_connection())
        refusal = self._find_refusal(address)
        if refusal is None:
            refusal = await self._open(address, peer)
        if refusal is not None:
            logger.info("tunnel.refused", endpoint=address, reason=refusal)
            peer.transport.write(encode_frame(refusal.encode()))
            peer.transport.close()

    def close(self) -> None:
        """Closes all tunnels at once."""
        for transport in list(self.open_transports):
            transport.abort()

    def _find_refusal(self, address: str) -> str | None:
        if self._state.shutdown.begun:
            return "stopping"
        listed = {each.address for each in self._state.endpoints.values()}
        if address not in listed:
            return "unknown endpoint"
        if len(self.open_transports) > MAX_TUNNELS:
            return "too many tunnels"
        return None

    async def _open(self, address: str, peer: "_PeerSide") -> str | None:
        """Connects to the endpoint; returns why it failed, or None."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await self._connect(address, peer)
        except (OSError, TimeoutError) as error:
            return type(error).__name__
        self._state.metrics.count_event("tunnel_opened")
        return None

    async def _connect(self, address: str, peer: "_PeerSide") -> None:
        await asyncio.get_running_loop().create_connection(
            lambda: _EndpointSide(peer), *sockets.split_address(address)
        )


class _UntakenBytes:
    """Counts what one side of a tunnel has not taken yet.

    Reading from the other side pauses meanwhile, so that it does not grow.
    """

    __slots__ = ("_held", "_memory")

    def __init__(self, memory: memory_budget.MemoryBudget):
        self._memory = memory
        self._held: holding.Holding | None = None

    def take(self, transport: asyncio.Transport) -> None:
        """Counts what the transport has buffered."""
        self.give_back()
        now = asyncio.get_running_loop().time()
        self._held = self._memory.open(holding.Kind.TUNNEL, now)
        unsent = transport.get_write_buffer_size()
        self._memory.resize(self._held, unsent, now)

    def give_back(self) -> None:
        """Counts nothing any more; a second call does nothing."""
        self._memory.release(self._held)
        self._held = None


class _PeerSide(small_reads.Protocol):
    """The connection from the instance that uses a tunnel.

    Attributes:
        transport: the connection.
        endpoint: the connection to the endpoint; None before it is open.
        memory: what both sides of the tunnel are counted in.
    """

    def __init__(
        self,
        open_transports: set[asyncio.Transport],
        memory: memory_budget.MemoryBudget,
    ):
        self._open_transports = open_transports
        self.memory = memory
        self._untaken = _UntakenBytes(memory)
        self.transport: asyncio.Transport | None = None
        self.endpoint: asyncio.Transport | None = None

    def attach(self, transport: asyncio.Transport) -> None:
        """Takes over an open connection."""
        self.transport = transport
        self._open_transports.add(transport)
        transport.set_protocol(self)

    def data_received(self, data: bytes) -> None:
        if self.endpoint is not None:
            self.endpoint.write(data)

    def pause_writing(self) -> None:
        self._untaken.take(self.transport)
        if self.endpoint is not None:
            self.endpoint.pause_reading()

    def resume_writing(self) -> None:
        self._untaken.give_back()
        if self.endpoint is not None:
            self.endpoint.resume_reading()

    def connection_lost(self, exc) -> None:
        self._untaken.give_back()
        self._open_transports.discard(self.transport)
        if self.endpoint is not None:
            self.endpoint.abort()


class _EndpointSide(small_reads.Protocol):
    """The connection to the endpoint."""

    def __init__(self, peer: _PeerSide):
        self._peer = peer
        self._untaken = _UntakenBytes(peer.memory)
        self._transport: asyncio.Transport | None = None
        self._close_watch: closing.CloseWatch | None = None

    def connection_made(self, transport) -> None:
        self._transport = transport
        sockets.set_connection_options(
            transport.get_extra_info("socket"), outbound.TCP_USER_TIMEOUT_MS
        )
        if self._peer.transport.is_closing():
            transport.abort()
            return
        self._peer.endpoint = transport
        self._peer.transport.write(encode_frame(OPENED))

    def data_received(self, data: bytes) -> None:
        self._peer.transport.write(encode_frame(data))

    def eof_received(self) -> bool:
        self._close_watch = closing.CloseWatch(
            self._transport, self._settle_close
        )
        return self._close_watch.start()

    def _settle_close(self, is_end: bool) -> None:
        """Tells the end of the connection, unless it was a reset."""
        self._close_watch = None
        if is_end:
            self._peer.transport.write(END)
            self._transport.close()
        else:
            self._transport.abort()

    def pause_writing(self) -> None:
        self._untaken.take(self._peer.endpoint)
        self._peer.transport.pause_reading()

    def resume_writing(self) -> None:
        self._untaken.give_back()
        self._peer.transport.resume_reading()

    def connection_lost(self, exc) -> None:
        if self._close_watch is not None:
            self._close_watch.stop()
        self._untaken.give_back()
        self._peer.transport.close()


class _Tunnel(small_reads.Protocol):
    """The connection to the instance that passes on.

    Attributes:
        opened: is resolved once the endpoint is connected, or raises OSError.
        channel: gets what the endpoint sends.
    """

    def __init__(self, address: str):
        self._address = address
        self._transport: asyncio.Transport | None = None
        self._head = bytearray()
        self._left = 0
        self._answer = bytearray()
        self._ended = False
        self._dropped = False
        self.opened = asyncio.get_running_loop().create_future()
        # Who waited may be gone, as another instance was faster.
        self.opened.add_done_callback(_retrieve_failure)
        self.channel: outbound.Channel | None = None

    @property
    def _reads_on(self) -> bool:
        is_lost = self.channel is not None and self.channel.failed
        return not (self._ended or self._dropped or is_lost)

    def connection_made(self, transport) -> None:
        self._transport = transport
        host = self._address.encode()
        transport.write(
            b"POST %s%s HTTP/1.1\r\nHost: peer\r\n\r\n" % (PATH, host)
        )

    def data_received(self, data: bytes) -> None:
        position = 0
        while position < len(data) and self._reads_on:
            begin = position
            if self._left:
                position = min(len(data), begin + self._left)
                self._left -= position - begin
                self._receive(data[begin:position])
                continue
            position = begin + FRAME_HEAD.size - len(self._head)
            self._head += data[begin:position]
            if len(self._head) == FRAME_HEAD.size:
                self._begin_frame()
        if self.channel is not None:
            self.channel.more_announced = bool(self._head or self._left)

    def connection_lost(self, exc) -> None:
        if self.channel is not None:
            whole = self._ended and exc is None
            self.channel.connection_lost(
                None if whole else exc or ConnectionResetError()
            )
        elif not self.opened.done():
            self.opened.set_exception(ConnectionResetError())

    def _begin_frame(self) -> None:
        (self._left,) = FRAME_HEAD.unpack(self._head)
        self._head.clear()
        if self.channel is None:
            if not 0 < self._left <= MAX_OPENING_BYTES:
                self._drop("first frame of an impossible length")
        elif self._left > MAX_FRAME_BYTES:
            self._drop("frame too long")
        elif not self._left:
            self._ended = True
            if not self.channel.eof_received():
                self._transport.close()

    def _drop(self, reason: str) -> None:
        logger.info("tunnel.dropped", endpoint=self._address, reason=reason)
        self._refuse(reason)
        self._transport.abort()

    def _refuse(self, reason: str) -> None:
        self._dropped = True
        if not self.opened.done():
            self.opened.set_exception(ConnectionRefusedError(reason))

    def _receive(self, part: bytes) -> None:
        if self.channel is not None:
            self.channel.data_received(part)
            return
        if self.opened.done():
            return
        self._answer += part
        if self._left:
            return
        if self._answer != OPENED:
            self._refuse(self._answer.decode("latin-1"))
            return
        self.channel = outbound.Channel()
        self.channel.connection_made(self._transport)
        self.opened.set_result(self.channel)


def _retrieve_failure(opened: asyncio.Future) -> None:
    if not opened.cancelled():
        opened.exception()


class TunnelClient:
    """Opens connections to endpoints through other instances.

    It is a detour of `outbound.Pools`.
    """

    __slots__ = ("_helpers", "_on_cut_off", "_reachability")

    def __init__(
        self,
        helpers: Callable[[], list[str]],
        own_reachability: reachability.Reachability,
        on_cut_off: Callable[[], None],
    ):
        """Creates a client.

        Args:
            helpers: returns the addresses of the instances to ask, the best
                first.
            own_reachability: records which endpoints are out of reach.
            on_cut_off: called when this instance begins to be cut off.
        """
        self._helpers = helpers
        self._reachability = own_reachability
        self._on_cut_off = on_cut_off

    @property
    def delay_seconds(self) -> float:
        """Time after which a tunnel is tried beside a direct connection."""
        now = asyncio.get_running_loop().time()
        return 0.0 if self._reachability.is_cut_off(now) else DELAY_SECONDS

    def report_used(self, address: str) -> None:
        """Records that an endpoint was reached by a tunnel only."""
        now = asyncio.get_running_loop().time()
        if self._reachability.record_detour(address, now):
            self._on_cut_off()

    async def connect(self, address: str) -> outbound.Channel:
        """Opens a connection to an endpoint through another instance.

        Args:
            address: the endpoint's.

        Raises:
            OSError: no instance that was asked reaches the endpoint.
        """
        helpers = self._helpers()[:MAX_HELPERS]
        if not helpers:
            raise ConnectionRefusedError("no instance to ask")
        opened = await opening.open_first(
            [
                functools.partial(self._try_helper, helper, address)
                for helper in helpers
            ],
            STAGGER_SECONDS,
        )
        now = asyncio.get_running_loop().time()
        opened.connection.reuse_until = now + REUSE_SECONDS
        return opened.connection

    async def _try_helper(self, helper: str, address: str) -> outbound.Channel:
        try:
            return await self._connect_through(helper, address)
        except OSError as error:
            logger.info(
                "tunnel.failed",
                peer=helper,
                endpoint=address,
                reason=str(error) or type(error).__name__,
            )
            raise

    async def _connect_through(
        self, helper: str, address: str
    ) -> outbound.Channel:
        loop = asyncio.get_running_loop()
        transport, tunnel = await loop.create_connection(
            lambda: _Tunnel(address), *sockets.split_address(helper)
        )
        try:
            return await tunnel.opened
        except BaseException:
            transport.abort()
            raise
