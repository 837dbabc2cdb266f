"""Checks responses before aiohttp reads them, and reads streamed bodies.

aiohttp opens the connection and sends the request. What it then receives was
checked against the grammar of an answer, as its own parser takes more.

The body of a chunked event stream can be read directly from the transport and
passed to a callback in the same iteration of the event loop, without a task per
chunk. At its end aiohttp receives an empty body, so that it returns the
connection to its pool.

A connection on which anything arrives behind an answer is closed: aiohttp would
read it as the answer to the next request.
"""

import asyncio
from collections.abc import Callable
import contextlib
import functools
import re

import aiohttp

from cranberryglade import log
from cranberryglade.answer_grammar import chunks
from cranberryglade.answer_grammar import closing
from cranberryglade.answer_grammar import faults
from cranberryglade.answer_grammar import heads
from cranberryglade.answer_grammar import parsing
from cranberryglade.answer_grammar import reporting
from cranberryglade.gateway import small_reads

HEAD_END = heads.HEAD_END
LINE_END = heads.LINE_END
CARRIAGE_RETURN, LINE_FEED = LINE_END
LAST_CHUNK = b"0\r\n\r\n"
STREAM_STATUS = 200
STREAM_TYPE = b"text/event-stream"
MAX_BUFFERED_BYTES = 65_536
MAX_CHUNK_BYTES = 1_048_576
MAX_CHUNK_SIZE_LINE_BYTES = 256
MAX_TRAILER_BYTES = 8192
MAX_HEAD_BYTES = 65_536
"""Most bytes of a head, and of the interim responses before it, which are
ignored."""

CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]+")
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")

Consumer = Callable[[bytes], asyncio.Future | None]
Rejection = Callable[[], aiohttp.ClientPayloadError]
"""Returns why a response is rejected, a new error for each that is told."""


logger = log.get_logger(__name__)


class BrokenBodyError(ConnectionError):
    """A chunk, or the framing of the body, is too long."""


class HeadTooLongError(aiohttp.ClientPayloadError):
    """The head of a response, or what precedes it, is too long."""


class MalformedResponseError(aiohttp.ClientPayloadError):
    """A response is not what the grammar allows.

    Attributes:
        fault: what is wrong with it.
    """

    def __init__(self, fault: faults.Fault):
        super().__init__(f"{fault.kind.value}: {fault.detail}")
        self.fault = fault


class Response(aiohttp.ClientResponse):
    """A response.

    Attributes:
        is_first: whether its request was the first one on its connection.
        body: what it was received by; None before its request is sent.
    """

    is_first = False
    body: "Body | None" = None

    async def start(self, connection: aiohttp.connector.Connection):
        """Waits for the head of the response.

        Raises:
            ClientPayloadError: if it was rejected, or what followed it so far.
        """
        await super().start(connection)
        error = self.body.error
        if error is not None:
            raise error
        return self


class CheckedRequest(aiohttp.ClientRequest):
    """A request whose response is checked by Body, and read by aiohttp."""

    reads_streams_directly = False

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
        body.reset(self.method == "HEAD", self.reads_streams_directly)
        body.request_count += 1
        self.response_class = Response
        response = await super().send(conn)
        response.is_first = body.request_count == 1
        response.body = body
        body.response = response
        return response


class Request(CheckedRequest):
    """A request whose streamed response body is read by Body."""

    reads_streams_directly = True


class _AnswerEnd:
    """Tells a parser the end of its answer, and checks the trailer fields."""

    __slots__ = ("_in_body", "parser")

    def __init__(self):
        self._in_body = False
        self.parser = parsing.AnswerParser(self)

    def on_headers_complete(self) -> None:
        """Begins the body (parser callback)."""
        self._in_body = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Checks a trailer field (parser callback)."""
        if self._in_body:
            chunks.check_trailer_field(name)

    def on_message_complete(self) -> None:
        """Ends the answer (parser callback)."""
        self.parser.end_message()


class Body(small_reads.Protocol):
    """Protocol between a transport and the protocol of aiohttp.

    It checks all responses, and passes them through to aiohttp except the
    bodies of event streams, which go to a consumer.

    Attributes:
        request_count: number of requests that were sent on the connection.
        response: the response that is received; None before its request is
            sent.
    """

    __slots__ = (
        "_asks_for_head",
        "_chunks",
        "_close_watch",
        "_ends_at_close",
        "_reads_streams",
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
        "_rejection",
        "request_count",
        "response",
    )

    def __init__(self, protocol, transport: asyncio.Transport):
        self._loop = asyncio.get_running_loop()
        self._protocol = protocol
        self._transport = transport
        self.request_count = 0
        self.reset()

    @property
    def error(self) -> aiohttp.ClientPayloadError | None:
        """Why the response was rejected; None if it was not."""
        return self._rejection and self._rejection()

    @property
    def in_body(self) -> bool:
        """Whether a streamed body has started and not ended."""
        return self._in_body

    def reset(
        self, asks_for_head: bool = False, reads_streams: bool = True
    ) -> None:
        """Resets the state for the head of the next response.

        Args:
            asks_for_head: whether the method of its request is HEAD.
            reads_streams: whether the body of an event stream is kept for
                `deliver`.
        """
        self._asks_for_head = asks_for_head
        self._reads_streams = reads_streams
        self._chunks: parsing.AnswerParser | None = None
        self._close_watch: closing.CloseWatch | None = None
        self._ends_at_close = False
        self._rejection: Rejection | None = None
        self.response: Response | None = None
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
                a chunk or its framing is too long.
            MalformedResponseError: the chunked encoding is malformed.
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
        """Passes the end of the data on to aiohttp.

        Returns:
            Whether the connection stays open until it is certain that its end
            is that of the response.
        """
        if not self._ends_at_close:
            return self._protocol.eof_received()
        self._close_watch = closing.CloseWatch(
            self._transport, self._settle_close
        )
        return self._close_watch.start()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails an unfinished body and passes the event on to aiohttp."""
        if self._close_watch is not None:
            self._close_watch.stop()
        if self._ends_at_close:
            # aiohttp would take it for the end of the response.
            self._lose(
                functools.partial(MalformedResponseError, closing.CUT_BY_RESET)
            )
        self._in_body = False
        self._fail(
            ConnectionResetError("connection closed before the end of the body")
        )
        self._protocol.connection_lost(exc)

    def _settle_close(self, is_end: bool) -> None:
        """Ends the response, or rejects it, as its connection has ended."""
        self._close_watch = None
        self._ends_at_close = False
        if is_end:
            self._protocol.eof_received()
            self._transport.close()
        else:
            self._reject(closing.CUT_BY_RESET)

    def pause_writing(self) -> None:
        """Passes the request to pause on to aiohttp."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Passes the request to resume on to aiohttp."""
        self._protocol.resume_writing()

    def _receive_head(self, data: bytes) -> None:
        data = self._head + data
        while (end := data.find(HEAD_END)) >= 0:
            end += len(HEAD_END)
            try:
                head = heads.read(data[:end], self._asks_for_head)
            except faults.MalformedAnswerError as error:
                self._reject(error.fault)
                return
            if not head.is_interim:
                self._begin_body(head, data, end)
                return
            self._interim_bytes += end
            data = data[end:]
        self._head = data
        if self._interim_bytes + len(data) > MAX_HEAD_BYTES:
            self._lose(HeadTooLongError)
            self._transport.abort()

    def _begin_body(self, head: heads.Head, data: bytes, end: int) -> None:
        """Passes a head on, and what follows it.

        Args:
            head: what the head states.
            data: the head, and what was received behind it.
            end: position behind the head.
        """
        self._head = None
        if self._reads_streams and _is_event_stream(head, data[:end]):
            self._in_body = True
            self._buffer = data[end:]
            self._protocol.read_timeout = None
            self._protocol.data_received(data[:end])
            return
        match head.framing:
            case heads.Framing.CHUNKED:
                self._chunks = _AnswerEnd().parser
                self._protocol.force_close()
            case heads.Framing.CONNECTION_CLOSE:
                self._ends_at_close = True
                self._protocol.force_close()
            case _:
                self._left = end + head.length
        self._pass_on(data)

    def _pass_on(self, data: bytes) -> None:
        if self._ends_at_close:
            self._protocol.data_received(data)
            return
        try:
            size = self._count_answer_bytes(data)
        except faults.MalformedAnswerError as error:
            self._reject(error.fault)
            return
        if size:
            self._protocol.data_received(data[:size])
        if size < len(data):
            self._close_spoiled()

    def _count_answer_bytes(self, data: bytes) -> int:
        """Returns how many of the bytes belong to the answer.

        Raises:
            MalformedAnswerError: if its chunks are malformed.
        """
        if self._left is not None:
            size = min(len(data), self._left)
            self._left -= size
            return size
        size = self._chunks.feed(data, stops_at_end=True)
        if self._chunks.is_between_answers:
            self._left = 0
        return size

    def _reject(self, fault: faults.Fault) -> None:
        """Loses a response that is malformed."""
        reporting.report(fault, self._transport.get_extra_info("peername"))
        self._lose(functools.partial(MalformedResponseError, fault))
        self._transport.abort()

    def _lose(self, rejection: Rejection) -> None:
        """Fails the response."""
        self._rejection = rejection
        self._ends_at_close = False
        if self.response is not None and self.response.content is not None:
            self.response.content.set_exception(self.error)
        self._protocol.set_exception(self.error)
        self._fail(self.error)

    def _close_spoiled(self) -> None:
        logger.info(
            "connection.spoiled",
            peer=self._transport.get_extra_info("peername"),
        )
        self._transport.abort()

    def _buffer_data(self, data: bytes) -> None:
        self._buffer += data
        if len(self._buffer) > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _receive_body(self, data: bytes) -> None:
        try:
            if self._buffer or not self._deliver_single_chunk(data):
                self._deliver_chunks(self._buffer + data)
        except faults.MalformedAnswerError as error:
            self._reject(error.fault)
        except Exception as error:
            self._fail(error)

    def _deliver_single_chunk(self, data: bytes) -> bool:
        line_end = data.find(LINE_END, 0, MAX_CHUNK_SIZE_LINE_BYTES)
        if line_end < 0 or not CHUNK_SIZE.fullmatch(data, 0, line_end):
            return False
        size = int(data[:line_end], 16)
        if size <= 0 or len(data) != line_end + size + 4:
            return False
        if data[-1] != LINE_FEED or data[-2] != CARRIAGE_RETURN:
            return False
        drained = self._consumer(data[line_end + 2 : -2])
        if drained is not None:
            self._pause_until(drained)
        return True

    def _deliver_chunks(self, data: bytes) -> None:
        received = []
        start = 0
        size = None
        ended = False
        end = 0
        while (line_end := data.find(LINE_END, start)) >= 0:
            size = parse_chunk_size(data[start:line_end])
            if size == 0:
                end = data.find(HEAD_END, line_end) + len(HEAD_END)
                ended = end >= len(HEAD_END)
                if ended:
                    chunks.check_trailer(data[line_end + len(LINE_END) : end])
                break
            chunk_start = line_end + len(LINE_END)
            chunk_end = chunk_start + size
            if len(data) < chunk_end + len(LINE_END):
                break
            if not data.startswith(LINE_END, chunk_end):
                raise faults.MalformedAnswerError(
                    faults.Kind.CHUNK, data[chunk_end:]
                )
            received.append(data[chunk_start:chunk_end])
            start = chunk_end + len(LINE_END)
        if size == 0 and not ended:
            _check_unfinished_trailer(data[start:])
        elif line_end < 0:
            _check_unfinished_size_line(data[start:])
        self._buffer = b"" if ended else data[start:]
        if received:
            drained = self._consumer(b"".join(received))
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


def _is_event_stream(head: heads.Head, raw: bytes) -> bool:
    is_chunked = head.framing is heads.Framing.CHUNKED
    is_success = head.status == STREAM_STATUS
    return is_success and is_chunked and STREAM_TYPE in raw.lower()


def _check_unfinished_size_line(data: bytes) -> None:
    """Checks the beginning of a line with the size of a chunk.

    Raises:
        MalformedAnswerError: if it has ended without a carriage return.
        BrokenBodyError: if it is too long.
    """
    if b"\n" in data:
        raise faults.MalformedAnswerError(faults.Kind.CHUNK, data)
    if len(data) > MAX_CHUNK_SIZE_LINE_BYTES:
        raise BrokenBodyError("chunk size line is too long")


def _check_unfinished_trailer(data: bytes) -> None:
    """Checks the last chunk, without the end of its trailer.

    Raises:
        MalformedAnswerError: if a line has ended without a carriage return.
        BrokenBodyError: if it is too long.
    """
    if BARE_LINE_FEED.search(data):
        raise faults.MalformedAnswerError(faults.Kind.TRAILER, data)
    if len(data) > MAX_TRAILER_BYTES:
        raise BrokenBodyError("trailer is too long")


def parse_chunk_size(line: bytes) -> int:
    """Returns the size of a chunk.

    Args:
        line: the line before it, without its end.

    Raises:
        MalformedAnswerError: if the grammar does not allow the line.
        BrokenBodyError: if the chunk is too large.
    """
    size = chunks.read_size(line)
    if size > MAX_CHUNK_BYTES:
        raise BrokenBodyError("chunk size is too large")
    return size
