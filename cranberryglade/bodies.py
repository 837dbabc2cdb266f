"""Reads streamed response bodies without a task per chunk.

aiohttp opens the connection, sends the request and reads the head. The body of
a chunked event stream is then read directly from the transport and passed to a
callback in the same iteration of the event loop. At its end aiohttp receives
an empty body, so that it returns the connection to its pool.

A connection on which anything arrives behind an answer is closed: aiohttp would
read it as the answer to the next request.
"""

import asyncio
from collections.abc import Callable
import contextlib
import re

import aiohttp

from cranberryglade import log
from cranberryglade.gateway import small_reads

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
STREAM_STATUS = b"HTTP/1.1 200 "
STREAM_FIELDS = (b"transfer-encoding: chunked", b"text/event-stream")
MAX_BUFFERED_BYTES = 65_536
MAX_CHUNK_BYTES = 1_048_576
MAX_CHUNK_SIZE_LINE_BYTES = 256
MAX_TRAILER_BYTES = 8192
INTERIM_STATUS = b"HTTP/1.1 1"
MAX_INTERIM_BYTES = 65_536
"""Most bytes of interim responses, which are ignored."""

STATUS_CODE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})")
BODILESS_STATUSES = (204, 304)
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]+)[ \t]*\r\n")
TRANSFER_ENCODING = b"\r\ntransfer-encoding:"

CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]+")
"""`int` would also take signs, spaces, underscores and "0x"."""

Consumer = Callable[[bytes], asyncio.Future | None]


logger = log.get_logger(__name__)


class BrokenBodyError(ConnectionError):
    """The body is not valid HTTP chunked encoding."""


class Response(aiohttp.ClientResponse):
    """A response.

    Attributes:
        is_first: whether its request was the first one on its connection.
    """

    is_first = False


class Request(aiohttp.ClientRequest):
    """A request whose streamed response body is read by Body."""

    async def send(self, conn: aiohttp.connector.Connection):
        """Sends the request after installing Body on the connection.

        Args:
            conn: the connection. A Body that an earlier request installed on
                it is used again.
        """
        transport = conn.transport
        body = transport.get_protocol()
        if not isinstance(body, Body):
            if conn.protocol.should_close:
                # Bytes came before any request.
                transport.abort()
            body = Body(conn.protocol, transport)
            transport.set_protocol(body)
        body.reset()
        body.request_count += 1
        self.response_class = Response
        response = await super().send(conn)
        response.is_first = body.request_count == 1
        return response


class Body(small_reads.Protocol):
    """Protocol between a transport and the protocol of aiohttp.

    It passes everything through to aiohttp except the bodies of event streams,
    which go to a consumer.

    Attributes:
        request_count: number of requests that were sent on the connection.
    """

    __slots__ = (
        "_consumer",
        "_completed",
        "_head",
        "_buffer",
        "_in_body",
        "_interim_bytes",
        "_left",
        "_loop",
        "_paused",
        "_protocol",
        "_transport",
        "request_count",
    )

    def __init__(self, protocol, transport: asyncio.Transport):
        self._loop = asyncio.get_running_loop()
        self._protocol = protocol
        self._transport = transport
        self.request_count = 0
        self.reset()

    @property
    def in_body(self) -> bool:
        """Whether a streamed body has started and not ended."""
        return self._in_body

    def reset(self) -> None:
        """Resets the state for the head of the next response."""
        self._head: bytes | None = b""
        self._left: int | None = None
        self._interim_bytes = 0
        self._in_body = False
        self._buffer = b""
        self._consumer: Consumer | None = None
        self._completed: asyncio.Future | None = None
        self._paused = False

    async def deliver(self, consumer: Consumer) -> None:
        """Passes the body to a consumer until the body ends.

        Args:
            consumer: called with the data as it arrives, without the chunk
                framing. If it returns a future, reading pauses until the
                future is done.

        Raises:
            ConnectionError: the connection closed before the body ended, or
                the chunked encoding is invalid.
            Exception: any exception that the consumer raised.
        """
        self._consumer = consumer
        self._completed = self._loop.create_future()
        buffered, self._buffer = self._buffer, b""
        self._resume(None)
        if buffered:
            self._receive_body(buffered)
        try:
            await self._completed
        finally:
            self._consumer = None

    def data_received(self, data: bytes) -> None:
        """Passes heads to aiohttp and streamed bodies to their consumer."""
        if self._consumer is not None:
            self._receive_body(data)
        elif self._in_body:
            self._buffer_data(data)
        elif self._head is None:
            self._pass_on(data)
        else:
            self._receive_head(data)

    def eof_received(self):
        """Passes the end of the data on to aiohttp."""
        return self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails an unfinished body and passes the event on to aiohttp."""
        self._in_body = False
        self._fail(
            ConnectionResetError("connection closed before the end of the body")
        )
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Passes the request to pause on to aiohttp."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Passes the request to resume on to aiohttp."""
        self._protocol.resume_writing()

    def _receive_head(self, data: bytes) -> None:
        data = self._skip_interim_responses(self._head + data)
        if self._interim_bytes > MAX_INTERIM_BYTES:
            self._transport.abort()
            return
        end = data.find(HEAD_END) + len(HEAD_END)
        if end < len(HEAD_END) and len(data) <= MAX_BUFFERED_BYTES:
            self._head = data
            return
        self._head = None
        if not _is_event_stream(data[:end]):
            self._left = _bytes_left(data[:end])
            if self._left is None:
                # Its end is not known here.
                self._protocol.force_close()
            else:
                self._left += end
            self._pass_on(data)
            return
        self._in_body = True
        self._buffer = data[end:]
        self._protocol.read_timeout = None
        self._protocol.data_received(data[:end])

    def _pass_on(self, data: bytes) -> None:
        if self._left is None:
            self._protocol.data_received(data)
            return
        answer = data[: self._left]
        self._left -= len(answer)
        if answer:
            self._protocol.data_received(answer)
        if len(answer) < len(data):
            self._close_spoiled()

    def _close_spoiled(self) -> None:
        logger.info(
            "connection.spoiled",
            peer=self._transport.get_extra_info("peername"),
        )
        self._transport.abort()

    def _skip_interim_responses(self, data: bytes) -> bytes:
        position = 0
        while data.startswith(INTERIM_STATUS, position):
            end = data.find(HEAD_END, position)
            if end < 0:
                break
            position = end + len(HEAD_END)
        self._interim_bytes += position
        return data[position:]

    def _buffer_data(self, data: bytes) -> None:
        self._buffer += data
        if len(self._buffer) > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _receive_body(self, data: bytes) -> None:
        try:
            if self._buffer or not self._deliver_single_chunk(data):
                self._deliver_chunks(self._buffer + data)
        except Exception as error:
            self._fail(error)

    def _deliver_single_chunk(self, data: bytes) -> bool:
        line_end = data.find(LINE_END, 0, MAX_CHUNK_SIZE_LINE_BYTES)
        if line_end < 0 or not CHUNK_SIZE.fullmatch(data, 0, line_end):
            return False
        size = int(data[:line_end], 16)
        if size <= 0 or len(data) != line_end + size + 4:
            return False
        drained = self._consumer(data[line_end + 2 : -2])
        if drained is not None:
            self._pause_until(drained)
        return True

    def _deliver_chunks(self, data: bytes) -> None:
        chunks = []
        start = 0
        size = None
        ended = False
        end = 0
        while (line_end := data.find(LINE_END, start)) >= 0:
            size = parse_chunk_size(data[start:line_end])
            if size == 0:
                end = data.find(HEAD_END, line_end) + len(HEAD_END)
                ended = end >= len(HEAD_END)
                break
            chunk_start = line_end + len(LINE_END)
            if len(data) < chunk_start + size + len(LINE_END):
                break
            chunks.append(data[chunk_start : chunk_start + size])
            start = chunk_start + size + len(LINE_END)
        if size == 0 and not ended and len(data) - start > MAX_TRAILER_BYTES:
            raise BrokenBodyError("trailer is too long")
        if line_end < 0 and len(data) - start > MAX_CHUNK_SIZE_LINE_BYTES:
            raise BrokenBodyError("chunk size line is too long")
        self._buffer = b"" if ended else data[start:]
        if chunks:
            drained = self._consumer(b"".join(chunks))
            if drained is not None:
                self._pause_until(drained)
        if ended:
            self._complete()
            if len(data) > end:
                self._close_spoiled()

    def _pause_until(self, drained: asyncio.Future) -> None:
        if not self._paused:
            self._paused = True
            self._transport.pause_reading()
            drained.add_done_callback(self._resume)

    def _resume(self, _) -> None:
        if self._paused:
            self._paused = False
            with contextlib.suppress(RuntimeError):
                self._transport.resume_reading()

    def _complete(self) -> None:
        self._resume(None)
        self._in_body = False
        self._consumer = None
        self._left = 0
        if not self._completed.done():
            self._completed.set_result(None)
        self._protocol.data_received(LAST_CHUNK)

    def _fail(self, error: Exception) -> None:
        self._consumer = None
        if self._completed is not None and not self._completed.done():
            self._completed.set_exception(error)


def streamed_body(response: aiohttp.ClientResponse) -> Body | None:
    """Returns the streamed body of a response.

    Returns:
        The body, or None if aiohttp reads it itself.
    """
    connection = response.connection
    if connection is None or connection.transport is None:
        return None
    body = connection.transport.get_protocol()
    return body if isinstance(body, Body) and body.in_body else None


def _bytes_left(head: bytes) -> int | None:
    """Returns the size of the body behind a head; None if it is not stated."""
    status = STATUS_CODE.match(head)
    if status is not None and int(status[1]) in BODILESS_STATUSES:
        return 0
    lowered = head.lower()
    lengths = CONTENT_LENGTH.findall(lowered)
    if len(lengths) != 1 or TRANSFER_ENCODING in lowered:
        return None
    return int(lengths[0])


def _is_event_stream(head: bytes) -> bool:
    if not head.startswith(STREAM_STATUS):
        return False
    lowered = head.lower()
    return all(field in lowered for field in STREAM_FIELDS)


def parse_chunk_size(line: bytes) -> int:
    """Returns the size of a chunk.

    Args:
        line: the line before it, without its end.

    Raises:
        BrokenBodyError: if it begins with anything but hexadecimal digits, or
            the chunk is too large.
    """
    digits = line.partition(b";")[0]
    if not CHUNK_SIZE.fullmatch(digits):
        raise BrokenBodyError("chunk size is not a number")
    size = int(digits, 16)
    if size > MAX_CHUNK_BYTES:
        raise BrokenBodyError("chunk size is too large")
    return size
