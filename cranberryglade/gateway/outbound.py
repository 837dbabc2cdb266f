"""Connections to endpoints: sends one request at a time, reads its answer."""

import asyncio
import collections
import dataclasses

import httptools

from cranberryglade.gateway import dialect
from cranberryglade.gateway import messages
from cranberryglade.gateway import sockets

HIGH_WATER_BYTES = 262_144
SILENCE_MS = 2000
SKIPPED_STATUSES = range(100, 200)
BODILESS = (204, 304)


@dataclasses.dataclass(slots=True, frozen=True)
class Data:
    """A part of the body of an answer."""

    data: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """The answer is whole."""


@dataclasses.dataclass(slots=True, frozen=True)
class Lost:
    """Nothing more will come on this connection.

    Attributes:
        reason: what ended it.
    """

    reason: str


Event = dialect.AnswerHead | Data | End | Lost


class Channel(asyncio.Protocol):
    """One connection to an endpoint.

    Attributes:
        used: requests sent on it.
        idle_since: when its last answer ended, seconds of the loop's clock.
    """

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._transport = None
        self._events: collections.deque[Event] = collections.deque()
        self._waiter: asyncio.Future | None = None
        self._buffered = 0
        self._busy = False
        self._bodiless = False
        self._until_close = False
        self._headers: list[messages.Header] = []
        self._reason = b""
        self._dead = ""
        self.used = 0
        self.idle_since = 0.0
        self.idle_limit: float | None = None
        self.reusable = False

    @property
    def usable(self) -> bool:
        """Whether another request can be sent."""
        clean = not self._dead and not self._events
        return clean and not self._transport.is_closing()

    def connection_made(self, transport) -> None:
        """Keeps the transport."""
        self._transport = transport
        sockets.bound_silence(transport.get_extra_info("socket"), SILENCE_MS)

    def probe(self) -> None:
        """Lets the system notice when the connection has gone silent."""
        sockets.probe_silence(self._transport.get_extra_info("socket"))

    def send(self, head: bytes, body: bytes, bodiless: bool = False) -> None:
        """Sends a request.

        Args:
            head: request line and headers.
            body: whole body.
            bodiless: whether the answer has no body whatever its head says.
        """
        self.used += 1
        self._busy = True
        self._bodiless = bodiless
        self._transport.write(head + body if len(body) < 4096 else head)
        if len(body) >= 4096:
            self._transport.write(body)

    async def next(self) -> Event:
        """Waits for the next part of the answer."""
        while not self._events:
            if self._dead:
                return Lost(self._dead)
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        if isinstance(event, Data):
            self._buffered -= len(event.data)
            if self._buffered <= HIGH_WATER_BYTES and not self._dead:
                self._transport.resume_reading()
        return event

    async def body(self, longest_bytes: int) -> bytes | Lost:
        """Reads the rest of an answer; Lost if it is not whole or too long."""
        parts = []
        size = 0
        while True:
            match await self.next():
                case Data(data):
                    parts.append(data)
                    size += len(data)
                    if size > longest_bytes:
                        return Lost("answer too long")
                case End():
                    return b"".join(parts)
                case Lost() as lost:
                    return lost

    def finished(self) -> bool:
        """Ends an exchange; returns whether the connection can be kept."""
        self._busy = False
        self.idle_since = self._loop.time()
        unsent = self._transport.get_write_buffer_size()
        return self.usable and self.reusable and not unsent

    def abort(self) -> None:
        """Drops the connection at once."""
        self._dead = self._dead or "dropped"
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if not self._busy:
            # Bytes that belong to no request make the connection useless.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("unreadable answer")
            self._transport.abort()

    def eof_received(self) -> bool:
        """Ends an answer whose length is the connection's."""
        if self._until_close:
            self._until_close = False
            self._put(End())
        return False

    def connection_lost(self, exc) -> None:
        """Tells the reader."""
        self._fail("reset" if exc else "closed")

    def on_message_begin(self) -> None:
        """Starts an answer."""
        self._headers = []
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Takes a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header field."""
        self._headers.append(messages.Header(name, value))

    def on_headers_complete(self) -> None:
        """Hands the head on."""
        status = self._parser.get_status_code()
        if status in SKIPPED_STATUSES:
            return
        self.reusable = self._parser.should_keep_alive()
        self._put(dialect.AnswerHead(status, self._reason, self._headers))
        names = {header.name.lower() for header in self._headers}
        framed = names & {b"content-length", b"transfer-encoding"}
        if self._bodiless:
            self.reusable = False
            self._put(End())
        elif not framed and status not in BODILESS:
            self._until_close = True
            self.reusable = False

    def on_body(self, data: bytes) -> None:
        """Hands a part of the body on."""
        self._put(Data(data))
        self._buffered += len(data)
        if self._buffered > HIGH_WATER_BYTES:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Hands the end on."""
        if self._parser.get_status_code() in SKIPPED_STATUSES:
            return
        if not self._until_close and not self._bodiless:
            self._put(End())

    def _put(self, event: Event) -> None:
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, reason: str) -> None:
        if not self._dead:
            self._dead = reason
            self._put(Lost(reason))


class Pool:
    """Kept connections to one endpoint address."""

    __slots__ = ("_address", "_idle")

    def __init__(self, address: str):
        self._address = address
        self._idle: list[Channel] = []

    def kept(self, longest_idle_seconds: float) -> Channel | None:
        """The connection used last, if it has not idled too long."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            channel = self._idle.pop()
            limit = longest_idle_seconds
            if channel.idle_limit is not None:
                limit = min(limit, channel.idle_limit)
            if channel.usable and now - channel.idle_since < limit:
                return channel
            channel.abort()
        return None

    async def connect(self, timeout_seconds: float) -> Channel:
        """Opens a connection; raises OSError or TimeoutError."""
        host, port = sockets.split(self._address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_seconds):
            _, channel = await loop.create_connection(Channel, host, port)
        return channel

    def keep(self, channel: Channel) -> None:
        """Takes a connection back after a whole answer."""
        if channel.finished():
            self._idle.append(channel)
        else:
            channel.abort()

    def close(self) -> None:
        """Drops the kept connections."""
        for channel in self._idle:
            channel.abort()
        self._idle.clear()


class Pools:
    """Pools by address."""

    __slots__ = ("_pools",)

    def __init__(self):
        self._pools: dict[str, Pool] = {}

    def at(self, address: str) -> Pool:
        """The pool of an address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = Pool(address)
        return pool

    def keep_only(self, addresses: set[str]) -> None:
        """Drops the connections to all other addresses."""
        for address in self._pools.keys() - addresses:
            self._pools.pop(address).close()
