"""HTTP client with connection pools, for endpoints, the store and peers."""

import asyncio
import collections
import dataclasses
import math
from typing import Protocol

from cranberryglade import log
from cranberryglade.answer_grammar import chunks
from cranberryglade.answer_grammar import closing
from cranberryglade.answer_grammar import faults
from cranberryglade.answer_grammar import heads
from cranberryglade.answer_grammar import parsing
from cranberryglade.answer_grammar import reporting
from cranberryglade.gateway import dialect
from cranberryglade.gateway import messages
from cranberryglade.gateway import opening
from cranberryglade.gateway import small_reads
from cranberryglade.gateway import sockets
from cranberryglade.memory import budget as memory_budget
from cranberryglade.memory import holding

HIGH_WATER_BYTES = 262_144
"""Unread bytes of an answer above which reading from the socket pauses."""

EVENT_BYTES = 256
"""What an unread part of an answer counts beside its data."""

MAX_OVERHEAD_BYTES = 65_536
"""Most bytes between two parts of an answer: a head, or the framing and trailer
fields of a body. Interim responses count as part of the head."""

FIELD_BYTES = 96
"""What a header or trailer field, or an interim response, counts beside its
bytes; an empty field takes memory and time, too."""

MAX_ANSWERS = 8
"""Most answers that are read in one exchange; all but one are late answers to
earlier requests."""

TCP_USER_TIMEOUT_MS = 2000
"""TCP_USER_TIMEOUT of the connections."""

HEAD_TOO_LONG = "head or framing too long"
UNREADABLE = "unreadable answer"


logger = log.get_logger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Data:
    """A part of an answer's body, without chunk framing."""

    data: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """The end of an answer that was received whole."""


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerLost:
    """The connection was lost, or the answer is too long or malformed.

    Attributes:
        reason: what ended it, for logs.
        fault: what is wrong with a malformed answer; None for others.
    """

    reason: str
    fault: faults.Fault | None = None


Event = dialect.AnswerHead | Data | End | AnswerLost


class TooLongError(Exception):
    """A head or the framing of a body is too long, or answers too many."""


class BodyMemory:
    """Memory that the body of an answer takes while it is read.

    Load pattern: many large answers at once, or answers that do not end. One
    that finds no memory left is not read further until there is some; a small
    one is read in any case. It gives back what it took at the end of the block.
    """

    __slots__ = ("_budget", "_held", "_loop", "_resumed")

    def __init__(
        self, budget: memory_budget.MemoryBudget, expected_bytes: int = 0
    ):
        self._budget = budget
        self._loop = asyncio.get_running_loop()
        self._held = budget.open(
            holding.Kind.ANSWER, self._loop.time(), expected=expected_bytes
        )
        self._held.resume = self._resume
        self._resumed: asyncio.Future | None = None

    def __enter__(self) -> "BodyMemory":
        return self

    def __exit__(self, *_) -> None:
        self._budget.release(self._held)

    def take(self, size: int) -> bool:
        """Takes memory for a part; returns whether more may be read."""
        return self._budget.grow(self._held, size, self._loop.time())

    async def wait(self) -> None:
        """Waits until more may be read."""
        self._resumed = self._loop.create_future()
        await self._resumed

    def _resume(self) -> None:
        if self._resumed is not None and not self._resumed.done():
            self._resumed.set_result(None)


class Channel(small_reads.Protocol):
    """A client connection that carries one request at a time.

    Attributes:
        request_count: number of requests sent on it.
        sent_at: when the last one was sent, seconds of the loop's clock.
        idle_since: when its last exchange ended, seconds of the loop's clock.
        max_idle_seconds: longest idle time in seconds after which it may be
            used again; None if the server stated none.
        reusable: whether the last answer lets the connection stay open.
        reuse_until: time after which it carries no further request, seconds of
            the loop's clock; infinite for a direct connection.
        more_announced: whether more bytes are known to be on their way.
        is_spoiled: whether bytes came that nothing had asked for.
    """

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._parser = parsing.AnswerParser(self)
        self._close_watch: closing.CloseWatch | None = None
        self._transport = None
        self._events: collections.deque[Event] = collections.deque()
        self._event_ready: asyncio.Future | None = None
        self._buffered = 0
        self._overhead_bytes = 0
        self._field_bytes = 0
        self._answer_count = 0
        self._in_body = False
        self._part = bytearray()
        self._in_exchange = False
        self._is_closed = False
        self._bodiless = False
        self._ends_at_close = False
        self._headers: list[messages.Header] = []
        self._reason = b""
        self._failure = ""
        self.request_count = 0
        self.sent_at = 0.0
        self.idle_since = 0.0
        self.max_idle_seconds: float | None = None
        self.reusable = False
        self.reuse_until = math.inf
        self.more_announced = False
        self.is_spoiled = False

    @property
    def reads_all(self) -> bool:
        """Whether an answer is read at once, as its request is still sent.

        The endpoint may reset the connection, and the loop writes next, which
        then discards what is not read.
        """
        return self._transport.get_write_buffer_size() > 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes of a request that the system has not taken yet."""
        return self._transport.get_write_buffer_size()

    @property
    def usable(self) -> bool:
        """Whether another request can be sent on it.

        Not if anything was received behind the last answer, however little:
        it would be read as the beginning of the next one.
        """
        sound = not self._failure and not self._transport.is_closing()
        return sound and self._is_clean()

    @property
    def failed(self) -> bool:
        """Whether it was closed, here or by the server."""
        return bool(self._failure)

    def is_live(self, max_idle_seconds: float) -> bool:
        """Returns whether it is open, and in use or was so lately."""
        if self._failure or self._transport.is_closing():
            return False
        idle_seconds = self._loop.time() - self.idle_since
        return self._in_exchange or idle_seconds < max_idle_seconds

    def connection_made(self, transport) -> None:
        """Stores the transport and sets the socket options."""
        self._transport = transport
        sockets.set_connection_options(
            transport.get_extra_info("socket"), TCP_USER_TIMEOUT_MS
        )

    def enable_keepalive(self) -> None:
        """Enables TCP keepalive, which detects an unreachable server."""
        sockets.enable_keepalive(self._transport.get_extra_info("socket"))

    def send(self, head: bytes, body: bytes, bodiless: bool = False) -> None:
        """Sends a request.

        Args:
            head: request line and headers, encoded.
            body: the whole body.
            bodiless: whether the answer has no body regardless of its
                headers, as for HEAD.
        """
        self.request_count += 1
        self.sent_at = self._loop.time()
        self._in_exchange = True
        self._answer_count = 0
        self._bodiless = bodiless
        self._parser.expect(asks_for_head=bodiless)
        self._transport.write(head + body if len(body) < 4096 else head)
        if len(body) >= 4096:
            self._transport.write(body)

    async def next_event(self) -> Event:
        """Waits for the next part of the answer.

        Returns:
            The head, then parts of the body, then End; AnswerLost at any point
            if the connection fails.
        """
        while not self._events:
            if self._failure:
                return AnswerLost(self._failure)
            self._event_ready = self._loop.create_future()
            try:
                await self._event_ready
            finally:
                self._event_ready = None
        event = self._events.popleft()
        self._buffered -= _size(event)
        if self._buffered <= HIGH_WATER_BYTES and not self._failure:
            self._transport.resume_reading()
        return event

    async def closes_within(self, seconds: float) -> bool:
        """Returns whether the server closes the idle connection in a time."""
        try:
            async with asyncio.timeout(seconds):
                await self.next_event()
        except TimeoutError:
            return False
        return True

    async def read_body(
        self,
        max_bytes: int,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> bytes | AnswerLost:
        """Reads the rest of an answer; pauses while no memory is left for it.

        Args:
            max_bytes: the largest body that is accepted.
            budget: what the body is taken from; None for no limit.

        Returns:
            The body; AnswerLost if it is incomplete or too long.
        """
        body = bytearray()
        budget = budget or memory_budget.unlimited()
        with BodyMemory(budget, self._announced_bytes(max_bytes)) as memory:
            while True:
                match await self.next_event():
                    case Data(data):
                        if len(body) + len(data) > max_bytes:
                            return AnswerLost("answer too long")
                        body += data
                        if not memory.take(len(data)):
                            # Nothing more piles up in the meantime.
                            self._transport.pause_reading()
                            await memory.wait()
                            self._transport.resume_reading()
                    case End():
                        return bytes(body)
                    case AnswerLost() as lost:
                        return lost

    def finish_exchange(self) -> bool:
        """Ends an exchange.

        Returns:
            Whether the connection can be used for another request.
        """
        self._in_exchange = False
        self.idle_since = self._loop.time()
        if self.reusable and not self._failure and not self._is_clean():
            self._report_spoiled()
        unsent = self._transport.get_write_buffer_size()
        return self.usable and self.reusable and not unsent

    def abort(self) -> None:
        """Closes the connection at once; does nothing if it is closed."""
        self._failure = self._failure or "dropped"
        if not self._is_closed:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes the connection on invalid ones."""
        if not self._in_exchange:
            # Data outside an exchange would be read as the next answer.
            self._report_spoiled()
            self.abort()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed(data)
        except faults.MalformedAnswerError as error:
            self._reject(UNREADABLE, error.fault)
            return
        except TooLongError as error:
            self._reject(str(error))
            return
        self._emit_part()
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._reject(HEAD_TOO_LONG)

    def _reject(self, reason: str, fault: faults.Fault | None = None) -> None:
        """Closes the connection on bytes that are no part of an answer."""
        if fault is not None:
            peer = self._transport.get_extra_info("peername")
            reporting.report(fault, peer)
        self._emit_part()
        self._fail(reason, fault)
        self._transport.abort()

    def _announced_bytes(self, max_bytes: int) -> int:
        """Returns the length that the head states, up to a limit; else 0."""
        head = self._parser.head
        return 0 if head is None else min(head.length, max_bytes)

    def _is_clean(self) -> bool:
        at_end = self._parser.is_between_answers
        return at_end and not self.more_announced and not self._events

    def _report_spoiled(self) -> None:
        self.is_spoiled = True
        logger.info(
            "connection.spoiled",
            peer=self._transport.get_extra_info("peername"),
        )

    def eof_received(self) -> bool:
        """Ends an answer that is delimited by the end of the connection.

        Returns:
            Whether the connection stays open until it is certain that the
            endpoint closed it, and did not reset it.
        """
        if not self._ends_at_close:
            return False
        self._close_watch = closing.CloseWatch(
            self._transport, self._settle_close
        )
        return self._close_watch.start()

    def _settle_close(self, is_end: bool) -> None:
        """Ends the answer, or rejects it, as its connection has ended."""
        self._close_watch = None
        self._ends_at_close = False
        if is_end:
            self._emit(End())
            self._transport.close()
        else:
            self._reject("reset", closing.CUT_BY_RESET)

    def connection_lost(self, exc) -> None:
        """Reports the loss to the reader."""
        self._is_closed = True
        if self._close_watch is not None:
            self._close_watch.stop()
        self._fail("reset" if exc else "closed")

    def on_message_begin(self) -> None:
        """Resets the head of the answer (parser callback)."""
        self._headers = []
        self._reason = b""
        self._in_body = False
        self._count_field(0)

    def on_status(self, reason: bytes) -> None:
        """Appends a part of the reason phrase (parser callback)."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header field; ignores trailer fields (parser callback)."""
        self._count_field(len(name) + len(value))
        if self._in_body:
            chunks.check_trailer_field(name)
        else:
            self._headers.append(messages.Header(name, value))

    def on_headers_complete(self) -> None:
        """Emits the head and determines how the body ends (parser callback)."""
        head = self._parser.head
        if head.is_interim:
            return
        self._answer_count += 1
        if self._answer_count > MAX_ANSWERS:
            raise TooLongError("too many answers")
        self._in_body = True
        self.reusable = self._parser.keeps_alive
        self._emit(
            dialect.AnswerHead(
                head.status, self._reason, self._headers, head.framing
            )
        )
        if self._bodiless:
            self.reusable = False
            self._emit(End())
        elif head.framing is heads.Framing.CONNECTION_CLOSE:
            self._ends_at_close = True
            self.reusable = False

    def on_body(self, data: bytes) -> None:
        """Appends to the part of the body just received (parser callback)."""
        self._part += data

    def on_message_complete(self) -> None:
        """Emits the end of a framed answer (parser callback)."""
        self._parser.end_message()
        if self._parser.head.is_interim:
            return
        if not self._ends_at_close and not self._bodiless:
            self._emit_part()
            self._emit(End())

    def _count_field(self, size: int) -> None:
        self._field_bytes += size + FIELD_BYTES
        if self._field_bytes > MAX_OVERHEAD_BYTES:
            raise TooLongError(HEAD_TOO_LONG)

    def _emit_part(self) -> None:
        # One event for all that came at once, however small its chunks are.
        if self._part:
            self._emit(Data(bytes(self._part)))
            self._part.clear()

    def _emit(self, event: Event) -> None:
        self._events.append(event)
        self._overhead_bytes = 0
        self._field_bytes = 0
        self._buffered += _size(event)
        if self._buffered > HIGH_WATER_BYTES:
            self._transport.pause_reading()
        if self._event_ready is not None and not self._event_ready.done():
            self._event_ready.set_result(None)

    def _fail(self, reason: str, fault: faults.Fault | None = None) -> None:
        if not self._failure:
            self._failure = reason
            self._emit(AnswerLost(reason, fault))


def _size(event: Event) -> int:
    return EVENT_BYTES + (len(event.data) if isinstance(event, Data) else 0)


class Detour(Protocol):
    """Another way to an address that cannot be reached directly."""

    @property
    def delay_seconds(self) -> float:
        """Time after which it is tried beside the direct way."""

    async def connect(self, address: str) -> Channel:
        """Opens a connection.

        Raises:
            OSError: if that fails.
        """

    def report_used(self, address: str) -> None:
        """Records that it led to an address, and the direct way did not."""


class Pool:
    """Idle connections to one address."""

    __slots__ = ("_address", "_detour", "_idle")

    def __init__(self, address: str, detour: Detour | None = None):
        self._address = address
        self._detour = detour
        self._idle: list[Channel] = []

    def take_idle(self, max_idle_seconds: float) -> Channel | None:
        """Removes and returns the most recently used idle connection.

        Connections that are closed or were idle for too long are dropped.

        Args:
            max_idle_seconds: longest idle time; a shorter limit of the
                connection itself takes precedence.

        Returns:
            The connection; None if there is none.
        """
        now = asyncio.get_running_loop().time()
        while self._idle:
            channel = self._idle.pop()
            limit = max_idle_seconds
            if channel.max_idle_seconds is not None:
                limit = min(limit, channel.max_idle_seconds)
            fresh = now - channel.idle_since < limit
            if channel.usable and fresh and now < channel.reuse_until:
                return channel
            channel.abort()
        return None

    async def connect(self, timeout_seconds: float) -> Channel:
        """Opens a connection, which is not part of the pool until `put_back`.

        Raises:
            OSError: if the connection cannot be established.
            TimeoutError: if that takes longer than the timeout.
        """
        async with asyncio.timeout(timeout_seconds):
            if self._detour is None:
                return await self._open()
            return await self._open_either_way()

    async def _open_either_way(self) -> Channel:
        """Opens a connection directly, or by the detour if that is faster.

        Raises:
            OSError: if neither leads to the address.
        """
        ways = (self._open, lambda: self._detour.connect(self._address))
        opened = await opening.open_first(ways, self._detour.delay_seconds)
        if opened.position > 0:
            self._detour.report_used(self._address)
        return opened.connection

    async def _open(self) -> Channel:
        host, port = sockets.split_address(self._address)
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_connection(Channel, host, port)
        return channel

    def put_back(self, channel: Channel) -> None:
        """Returns a connection to the pool after a whole answer.

        It is closed instead if it cannot carry another request.
        """
        if not channel.finish_exchange():
            channel.abort()
            return
        self._idle.append(channel)
        if not math.isinf(channel.reuse_until):
            loop = asyncio.get_running_loop()
            loop.call_at(channel.reuse_until, self._drop_expired)

    def _drop_expired(self) -> None:
        """Closes idle connections that may not be used again."""
        now = asyncio.get_running_loop().time()
        for channel in self._idle:
            if channel.reuse_until <= now:
                channel.abort()
        self._idle = [each for each in self._idle if each.reuse_until > now]

    def close_direct(self) -> None:
        """Closes the idle connections that lead to the address directly."""
        kept = [each for each in self._idle if not math.isinf(each.reuse_until)]
        for channel in self._idle:
            if channel not in kept:
                channel.abort()
        self._idle = kept

    def close(self) -> None:
        """Closes the idle connections."""
        for channel in self._idle:
            channel.abort()
        self._idle.clear()


class Pools:
    """Connection pools by address.

    Attributes:
        pool_type: class of the pools; tests replace it.
    """

    __slots__ = ("_detour", "_pools", "pool_type")

    def __init__(self, detour: Detour | None = None):
        self._detour = detour
        self._pools: dict[str, Pool] = {}
        self.pool_type = Pool

    def for_address(self, address: str) -> Pool:
        """Returns the pool of an address; creates it if necessary."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = self.pool_type(address, self._detour)
        return pool

    def close_direct(self) -> None:
        """Closes all idle connections that do not lead through an instance."""
        for pool in self._pools.values():
            pool.close_direct()

    def close_others(self, addresses: set[str]) -> None:
        """Closes the pools of all other addresses."""
        for address in self._pools.keys() - addresses:
            self._pools.pop(address).close()
