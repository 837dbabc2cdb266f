"""Streamed bodies of responses, read without a task per chunk.

aiohttp makes the connection, sends the request and reads the head. The body of
a chunked event stream is then taken from the transport as it comes, and given
to a plain function in the same turn of the loop. Once it has ended, aiohttp is
shown an empty body, so that it puts the connection back into its pool.
"""

import asyncio
from collections.abc import Callable
import contextlib

import aiohttp

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
STREAM_STATUS = b"HTTP/1.1 200 "
STREAM_FIELDS = (b"transfer-encoding: chunked", b"text/event-stream")
HELD_BYTES = 65_536
CHUNK_BYTES = 16_777_216
SIZE_CHARACTERS = 256

Consumer = Callable[[bytes], asyncio.Future | None]


class BrokenBodyError(ConnectionError):
    """The body is not in chunks as HTTP has them."""


class Request(aiohttp.ClientRequest):
    """A request whose streamed answer can be taken from its connection."""

    async def send(self, conn: aiohttp.connector.Connection):
        """Sends the request."""
        transport = conn.transport
        body = transport.get_protocol()
        if not isinstance(body, Body):
            body = Body(conn.protocol, transport)
            transport.set_protocol(body)
        body.expect_head()
        return await super().send(conn)


class Body(asyncio.Protocol):
    """Stands between one connection and aiohttp's protocol for it."""

    __slots__ = (
        "_consumer",
        "_ended",
        "_head",
        "_held",
        "_in_body",
        "_loop",
        "_paused",
        "_protocol",
        "_transport",
    )

    def __init__(self, protocol, transport: asyncio.Transport):
        self._loop = asyncio.get_running_loop()
        self._protocol = protocol
        self._transport = transport
        self.expect_head()

    @property
    def in_body(self) -> bool:
        """Whether a streamed body has begun and not ended."""
        return self._in_body

    def expect_head(self) -> None:
        """The next bytes are the head of a response."""
        self._head: bytes | None = b""
        self._in_body = False
        self._held = b""
        self._consumer: Consumer | None = None
        self._ended: asyncio.Future | None = None
        self._paused = False

    async def deliver(self, consumer: Consumer) -> None:
        """Gives the body to a function until it ends.

        Args:
            consumer: is given each run of bytes; when it returns a future,
                nothing more is read until that is done.

        Raises:
            ConnectionError: the connection ended before the body did.
            Exception: whatever the consumer raised.
        """
        self._consumer = consumer
        self._ended = self._loop.create_future()
        held, self._held = self._held, b""
        self._resume(None)
        if held:
            self._take(held)
        try:
            await self._ended
        finally:
            self._consumer = None

    def data_received(self, data: bytes) -> None:
        """Passes heads on to aiohttp and bodies to their consumer."""
        if self._consumer is not None:
            self._take(data)
        elif self._in_body:
            self._hold(data)
        elif self._head is None:
            self._protocol.data_received(data)
        else:
            self._take_head(data)

    def eof_received(self):
        """Passes the end of the peer's data on."""
        return self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends a body that has not ended."""
        self._in_body = False
        self._fail(ConnectionResetError("the body was cut"))
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Passes the transport's wish on."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Passes the transport's wish on."""
        self._protocol.resume_writing()

    def _take_head(self, data: bytes) -> None:
        data = self._head + data
        end = data.find(HEAD_END) + len(HEAD_END)
        if end < len(HEAD_END) and len(data) <= HELD_BYTES:
            self._head = data
            return
        self._head = None
        if not _is_stream(data[:end]):
            self._protocol.data_received(data)
            return
        self._in_body = True
        self._held = data[end:]
        self._protocol.read_timeout = None
        self._protocol.data_received(data[:end])

    def _hold(self, data: bytes) -> None:
        self._held += data
        if len(self._held) > HELD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _take(self, data: bytes) -> None:
        try:
            if self._held or not self._take_one(data):
                self._take_many(self._held + data)
        except Exception as error:
            self._fail(error)

    def _take_one(self, data: bytes) -> bool:
        line_end = data.find(LINE_END, 0, SIZE_CHARACTERS)
        try:
            size = int(data[:line_end], 16)
        except ValueError:
            return False
        if size <= 0 or len(data) != line_end + size + 4:
            return False
        room = self._consumer(data[line_end + 2 : -2])
        if room is not None:
            self._pause(room)
        return True

    def _take_many(self, data: bytes) -> None:
        pieces = []
        start = 0
        ended = False
        while (line_end := data.find(LINE_END, start)) >= 0:
            size = _size(data[start:line_end])
            if size == 0:
                ended = data.find(HEAD_END, line_end) >= 0
                break
            piece = line_end + len(LINE_END)
            if len(data) < piece + size + len(LINE_END):
                break
            pieces.append(data[piece : piece + size])
            start = piece + size + len(LINE_END)
        if line_end < 0 and len(data) - start > SIZE_CHARACTERS:
            raise BrokenBodyError("chunk size")
        self._held = b"" if ended else data[start:]
        if pieces:
            room = self._consumer(b"".join(pieces))
            if room is not None:
                self._pause(room)
        if ended:
            self._end()

    def _pause(self, room: asyncio.Future) -> None:
        if not self._paused:
            self._paused = True
            self._transport.pause_reading()
            room.add_done_callback(self._resume)

    def _resume(self, _) -> None:
        if self._paused:
            self._paused = False
            with contextlib.suppress(RuntimeError):
                self._transport.resume_reading()

    def _end(self) -> None:
        self._resume(None)
        self._in_body = False
        self._consumer = None
        if not self._ended.done():
            self._ended.set_result(None)
        self._protocol.data_received(LAST_CHUNK)

    def _fail(self, error: Exception) -> None:
        self._consumer = None
        if self._ended is not None and not self._ended.done():
            self._ended.set_exception(error)


def of(response: aiohttp.ClientResponse) -> Body | None:
    """The streamed body of a response, unless aiohttp reads it itself."""
    connection = response.connection
    if connection is None or connection.transport is None:
        return None
    body = connection.transport.get_protocol()
    return body if isinstance(body, Body) and body.in_body else None


def _is_stream(head: bytes) -> bool:
    if not head.startswith(STREAM_STATUS):
        return False
    lowered = head.lower()
    return all(field in lowered for field in STREAM_FIELDS)


def _size(line: bytes) -> int:
    try:
        size = int(line.partition(b";")[0], 16)
    except ValueError as error:
        raise BrokenBodyError("chunk size") from error
    if not 0 <= size <= CHUNK_BYTES:
        raise BrokenBodyError("chunk size")
    return size
