"""HTTP server for callers: parses whole requests and writes the answers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import sys

import httptools

from cranberryglade import log
from cranberryglade.gateway import accepting
from cranberryglade.gateway import configuration
from cranberryglade.gateway import half_closing
from cranberryglade.gateway import messages
from cranberryglade.gateway import responding
from cranberryglade.gateway import small_reads
from cranberryglade.gateway import sockets
from cranberryglade.memory import budget as memory_budget
from cranberryglade.memory import connection_limit
from cranberryglade.memory import holding

MAX_PIPELINED_REQUESTS = 8
"""Pipelined requests in the queue of a connection that pause its reading."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Interim response to a request with an Expect header."""

TCP_USER_TIMEOUT_MS = 10_000
"""TCP_USER_TIMEOUT of callers' connections; it also ends those whose caller
does not read for so long."""

MIN_UNREAD_SECONDS = 4.0
"""Least time for which a caller may take nothing of an answer."""

UNREAD_POLL_SECONDS = 0.1
"""Time between two looks at what a caller has taken of an answer."""

MIN_TIMER_SECONDS = 0.001
"""Less than this left of a time counts as nothing."""

SHORTAGE_RETRY_SECONDS = 1.0
"""Retry-After of a request that is refused for want of memory or descriptors.
"""

LOGGED_CLOSES = 256
"""One line is logged for so many connections closed for want of descriptors."""

MAX_CLOSING = 64
"""Connections beyond the limit that may still take the answer of a refusal."""

AUTHORIZATION = b"authorization"
"""Header field by whose value the memory of requests is shared out."""

logger = log.get_logger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class ReadFailure:
    """Why a request was rejected while it was read.

    Attributes:
        status: HTTP status of the answer.
        reason: body of the answer, also logged.
        retry_after_seconds: when to try again; None if that is of no use.
    """

    status: int
    reason: str
    retry_after_seconds: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class WholeRequest:
    """A request that is read, and the memory that it takes until its answer.

    Attributes:
        request: the request.
        held: what its body takes; None without a body.
    """

    request: messages.Request
    held: holding.Holding | None


Handler = Callable[[messages.Request, responding.Responder], Awaitable[None]]


class Listener:
    """Accepts connections at one or more addresses.

    Attributes:
        handler: called with each request and the responder for its answer.
        limits: size limits and timeouts in force; replaced when the
            configuration changes.
        memory: the account of what callers' connections hold.
        open_limit: the connections by what they do, and how many may be open.
        stopping: whether answers carry "Connection: close".
        connections: the open connections.
    """

    __slots__ = (
        "_on_read_failure",
        "connections",
        "handler",
        "limits",
        "memory",
        "open_limit",
        "stopping",
    )

    def __init__(
        self,
        handler: Handler,
        on_read_failure: Callable[[ReadFailure], None],
        memory: memory_budget.MemoryBudget | None = None,
        max_connections: int = sys.maxsize,
    ):
        self.open_limit: connection_limit.ConnectionLimit[Connection] = (
            connection_limit.ConnectionLimit(max_connections)
        )
        self.memory = memory or memory_budget.unlimited()
        self.handler = handler
        self._on_read_failure = on_read_failure
        self.limits = configuration.Limits()
        self.stopping = False
        self.connections: set[Connection] = set()

    @property
    def busy(self) -> int:
        """Number of connections with a request in progress."""
        return sum(1 for each in self.connections if each.busy)

    @property
    def untaken(self) -> int:
        """Number of connections whose caller has not taken all of an answer."""
        return sum(1 for each in self.connections if each.untaken)

    def report_read_failure(self, failure: ReadFailure) -> None:
        """Reports a request that was rejected while it was read."""
        self._on_read_failure(failure)

    def close_excess(self) -> None:
        """Closes connections for which there are too few descriptors."""
        while (excess := self.open_limit.find_excess()) is not None:
            if not self.open_limit.closed % LOGGED_CLOSES:
                logger.info(
                    "connections.short",
                    open=len(self.connections),
                    closed=self.open_limit.closed,
                )
            self.open_limit.closed += 1
            self.open_limit.remove(excess)
            most = self.open_limit.most + MAX_CLOSING
            excess.close_excess(at_once=len(self.connections) > most)

    def serve(self, host: str, port: int) -> accepting.Acceptor:
        """Starts to accept connections.

        Args:
            host: address to bind.
            port: TCP port to bind.

        Returns:
            What accepts them; the caller closes it.

        Raises:
            OSError: if the address cannot be bound.
        """
        return accepting.Acceptor.listen(host, port, lambda: Connection(self))


class Connection(small_reads.Protocol):
    """One connection of a caller.

    Pipelined requests are queued and handled one at a time.
    """

    __slots__ = (
        "_body",
        "_chunked",
        "_read_failure",
        "_half_close",
        "_headers",
        "_headers_done",
        "_held",
        "_listener",
        "_loop",
        "_overhead_bytes",
        "_parser",
        "_queue",
        "_reading_request",
        "_target",
        "_task",
        "_timer",
        "_transport",
        "_unread",
        "_write_resumed",
    )

    def __init__(self, listener: Listener):
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._queue: list[WholeRequest] = []
        self._held: holding.Holding | None = None
        self._unread: holding.Holding | None = None
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._write_resumed: asyncio.Future | None = None
        self._read_failure: ReadFailure | None = None
        self._half_close: half_closing.HalfClose | None = None
        self._reading_request = False
        self._reset_request()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or handled."""
        return self._task is not None or self._reading_request

    @property
    def untaken(self) -> bool:
        """Whether the caller has not taken all that was written."""
        return not self.closing and half_closing.has_unsent(self._transport)

    @property
    def closing(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._transport is None or self._transport.is_closing()

    @property
    def _resting(self) -> bool:
        """Whether no request is in progress, nor waits in the socket.

        Load pattern: callers go on to send on kept connections while the
        instance stops, and it reads late. What has arrived is answered.
        """
        if self.busy or self._half_close is not None:
            return False
        opened = self._transport.get_extra_info("socket")
        return not sockets.has_unread(opened)

    @property
    def may_keep_alive(self) -> bool:
        """Whether the connection may be kept alive after the answer.

        While the listener stops, only for requests that were read already, or
        in part.
        """
        if not self._listener.stopping:
            return True
        return bool(self._queue) or self._reading_request

    def connection_made(self, transport) -> None:
        """Registers the connection and starts the idle timeout."""
        self._transport = transport
        self._listener.connections.add(self)
        sockets.set_connection_options(
            transport.get_extra_info("socket"), TCP_USER_TIMEOUT_MS
        )
        self._start_idle_timer()
        self._listener.open_limit.rest(self)
        self._listener.close_excess()

    def connection_lost(self, exc) -> None:
        """Cancels the handler and fails a write that waits."""
        self._listener.connections.discard(self)
        self._listener.open_limit.remove(self)
        self._stop_timer()
        if self._half_close is not None:
            self._half_close.stop()
        if self._task is not None:
            self._task.cancel()
        self._release_all()
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_exception(responding.CallerGoneError())
            # Nobody waits if the answer was written at once.
            self._write_resumed.exception()

    def pause_writing(self) -> None:
        """Makes `wait_writable` wait: the write buffer is full."""
        self._write_resumed = self._loop.create_future()
        now = self._loop.time()
        self._unread = self._memory.open(holding.Kind.UNREAD, now)
        self._unread.refuse = self._drop_unread
        self._note_unread()

    def resume_writing(self) -> None:
        """Ends the wait in `wait_writable`."""
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        self._write_resumed = None
        self._memory.release(self._unread)
        self._unread = None

    async def wait_writable(self) -> None:
        """Waits until the write buffer has room.

        Raises:
            CallerGoneError: if the connection is lost meanwhile.
        """
        if self._write_resumed is not None:
            await self._write_resumed

    def write(self, data: bytes) -> None:
        """Writes encoded bytes of an answer without waiting."""
        self._transport.write(data)

    def stop_reading(self) -> None:
        """Reads no further request, as the connection closes with the answer.

        One that is read is owed an answer; one that is not, its caller can send
        to another instance. `drop_if_left` notices a caller that leaves.
        """
        # The rest of a rejected request is read and ignored.
        if self._read_failure is None:
            self._transport.pause_reading()

    def finish_answer(self, keep_alive: bool) -> None:
        """Starts the next request, or closes the connection.

        Args:
            keep_alive: whether the connection stays open.
        """
        self._task = None
        if not keep_alive:
            self._close_gracefully()
        elif self._queue:
            self._start_handler(self._queue.pop(0))
        elif self._read_failure is not None:
            self._send_error()
        elif self._listener.stopping and self._resting:
            # A request that arrived now could be dropped with the process.
            self._close_gracefully()
        elif self._held is not None and self._held.waits_since is not None:
            # Reading goes on once there is memory.
            pass
        else:
            self._transport.resume_reading()
            if self._reading_request:
                self._listener.open_limit.read(self)
                self._start_request_timer()
            else:
                self._listener.open_limit.rest(self)
                self._start_idle_timer()

    def abort(self) -> None:
        """Closes the connection at once; unsent data is discarded."""
        self._task = None
        self._transport.abort()

    def detach(self) -> asyncio.Transport:
        """Gives the connection up to another protocol; returns it."""
        self._stop_timer()
        self._task = None
        self._listener.connections.discard(self)
        self._listener.open_limit.remove(self)
        self._release_all()
        return self._transport

    def close_excess(self, at_once: bool) -> None:
        """Closes the connection, as too many are open.

        A request that is being read is refused; it has not run.

        Args:
            at_once: whether there is no time for an answer.
        """
        if at_once:
            self._transport.abort()
        elif self._reading_request:
            self._refuse("connections short")
        elif self._resting:
            # A request that has arrived is read and answered first.
            self._transport.close()

    def drop_if_left(self) -> None:
        """Drops the connection if its caller left while nothing is read."""
        is_reading = self._transport.is_reading()
        if is_reading or self._half_close or self.closing or not self.busy:
            return
        if sockets.has_ended(self._transport.get_extra_info("socket")):
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if not self._resting:
            return
        if half_closing.has_unsent(self._transport):
            self._close_gracefully()
        else:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; after a rejected request they are ignored."""
        if self._read_failure is not None:
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Its request is answered without; nothing can follow it.
            self._transport.pause_reading()
        except httptools.HttpParserError as error:
            if self._read_failure is None:
                self._reject(ReadFailure(400, type(error).__name__))
        else:
            self._check_sizes()
        self._take_memory()

    def on_message_begin(self) -> None:
        """Marks the connection as reading a request (parser callback)."""
        # The parser goes on with what arrived behind a rejected request.
        self._reading_request = self._read_failure is None
        if self._reading_request:
            self._start_request_timer()
            if self._task is None:
                self._listener.open_limit.read(self)

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target (parser callback)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header field; ignores trailer fields (parser callback)."""
        if not self._headers_done:
            self._headers.append(messages.Header(name, value))

    def on_headers_complete(self) -> None:
        """Checks the size limits and starts the body timeout (parser callback).

        Sends the interim response if the caller expects one and no earlier
        request is being handled.
        """
        self._headers_done = True
        self._overhead_bytes = 0
        if self._read_failure is None:
            self._check_headers()
        if self._read_failure is None:
            self._start_request_timer()

    def _check_headers(self) -> None:
        size = sum(len(h.name) + len(h.value) + 4 for h in self._headers)
        if size + len(self._target) > self._listener.limits.max_header_bytes:
            self._reject(ReadFailure(431, "headers too large"))
            return
        expects_continue = False
        for header in self._headers:
            name = header.name.lower()
            if name == b"content-length":
                if int(header.value) > self._listener.limits.max_body_bytes:
                    self._reject(ReadFailure(413, "body too large"))
            elif name == b"transfer-encoding":
                self._chunked = True
                if header.value.strip().lower() != b"chunked":
                    self._reject(ReadFailure(501, "transfer coding"))
            elif name == b"expect":
                expects_continue = True
        if expects_continue and self._read_failure is None and not self._task:
            self._transport.write(CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body, up to the limit (parser callback)."""
        self._overhead_bytes = 0
        if self._read_failure is not None:
            return
        if len(self._body) + len(data) <= self._listener.limits.max_body_bytes:
            self._body += data
        else:
            self._reject(ReadFailure(413, "body too large"))

    def on_message_complete(self) -> None:
        """Starts the handler, or queues the request (parser callback)."""
        if self._read_failure is not None:
            return
        self._reading_request = False
        self._stop_timer()
        version = self._parser.get_http_version()
        request = messages.Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=bytes(self._body),
            chunked=self._chunked,
            keep_alive=(
                self._parser.should_keep_alive()
                and not self._parser.should_upgrade()
                and version == "1.1"
            ),
            arrived=self._loop.time(),
        )
        whole = WholeRequest(request, self._keep_memory(request.arrived))
        self._reset_request()
        if self._task is None:
            self._start_handler(whole)
        else:
            self._queue.append(whole)
            if len(self._queue) >= MAX_PIPELINED_REQUESTS:
                self._transport.pause_reading()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[messages.Header] = []
        self._headers_done = False
        self._overhead_bytes = 0
        self._body = bytearray()
        self._chunked = False

    @property
    def _memory(self) -> memory_budget.MemoryBudget:
        return self._listener.memory

    def _take_memory(self) -> None:
        """Counts what was read of a body; stops reading if it is too much."""
        if not self._body or self._read_failure is not None:
            return
        now = self._loop.time()
        if self._held is None:
            self._held = self._open_body(now)
        more = allocated_bytes(len(self._body)) - self._held.size
        if more and not self._memory.grow(self._held, more, now):
            self._transport.pause_reading()
            self._stop_timer()

    def _open_body(self, now: float) -> holding.Holding:
        fields = {each.name.lower(): each.value for each in self._headers}
        owner = fields.get(AUTHORIZATION, b"").decode("latin-1")
        held = self._memory.open(
            holding.Kind.REQUEST,
            now,
            owner or str(self._transport.get_extra_info("peername")),
            allocated_bytes(int(fields.get(b"content-length", b"0"))),
        )
        held.resume = self._resume_body
        held.refuse = self._refuse_body
        return held

    def _keep_memory(self, now: float) -> holding.Holding | None:
        """Counts the body of a whole request as kept until its answer."""
        held = self._held
        self._held = None
        if held is None and self._body:
            held = self._open_body(now)
        if held is not None:
            self._memory.resize(held, len(self._body), now)
            self._memory.change_kind(held, holding.Kind.KEPT)
        return held

    def _resume_body(self) -> None:
        if len(self._queue) >= MAX_PIPELINED_REQUESTS or self.closing:
            return
        self._transport.resume_reading()
        self._start_request_timer()

    def _refuse_body(self) -> None:
        self._refuse("memory short")

    def _refuse(self, reason: str) -> None:
        if self.closing:
            self._release_body()
            return
        # What follows is read and ignored, so that the answer arrives.
        self._transport.resume_reading()
        self._reject(ReadFailure(503, reason, SHORTAGE_RETRY_SECONDS))

    def _release_body(self) -> None:
        self._memory.release(self._held)
        self._held = None
        self._body = bytearray()

    def _release_all(self) -> None:
        self._release_body()
        self._memory.release(self._unread)
        self._unread = None
        for each in self._queue:
            self._memory.release(each.held)

    def _note_unread(self) -> None:
        """Counts what the caller has not taken of an answer."""
        if self._unread is not None:
            unsent = self._transport.get_write_buffer_size()
            self._memory.resize(self._unread, unsent, self._loop.time())

    def _drop_unread(self) -> None:
        if self._unread is None or self.closing:
            return
        before = self._unread.size
        self._note_unread()
        if self._unread.size >= before:
            self._transport.abort()

    def _check_sizes(self) -> None:
        # Between two parts of a body there are framing and trailer fields.
        limit = self._listener.limits.max_header_bytes
        if self._read_failure is None and self._overhead_bytes > limit:
            what = "framing" if self._headers_done else "headers"
            self._reject(ReadFailure(431, f"{what} too large"))

    def _start_handler(self, whole: WholeRequest) -> None:
        if not self._reading_request:
            self._stop_timer()
        self._listener.open_limit.serve(self)
        request = whole.request
        responder = responding.Responder(
            self, request.keep_alive, request.method == messages.HEAD
        )
        self._task = self._loop.create_task(
            self._listener.handler(request, responder)
        )
        self._task.add_done_callback(
            lambda task: self._end_unanswered(task, responder)
        )
        self._task.add_done_callback(lambda _: self._memory.release(whole.held))

    def _end_unanswered(
        self, task: asyncio.Task, responder: responding.Responder
    ) -> None:
        """Ends a request whose handler has ended without an answer."""
        if task is not self._task or self.closing:
            return
        logger.error("request.unanswered", cancelled=task.cancelled())
        if responder.started:
            responder.abort()
        else:
            # It may have run.
            responder.whole(502, [], b"internal error")

    def _reject(self, failure: ReadFailure) -> None:
        if self._read_failure is not None:
            return
        self._read_failure = failure
        self._reading_request = False
        self._stop_timer()
        self._release_body()
        self._listener.report_read_failure(failure)
        if self._task is None and not self._queue:
            self._send_error()

    def _send_error(self) -> None:
        asks_for_head = self._parser.get_method() == messages.HEAD
        responder = responding.Responder(self, False, asks_for_head)
        failure = self._read_failure
        headers = []
        if failure.retry_after_seconds is not None:
            seconds = b"%.2f" % failure.retry_after_seconds
            headers.append(messages.Header(b"Retry-After", seconds))
        responder.whole(failure.status, headers, failure.reason.encode())

    def _on_request_timeout(self) -> None:
        self._reject(ReadFailure(408, "request not complete in time"))

    def _start_request_timer(self) -> None:
        """Starts the timeout of the request that is being read.

        None runs out while this side does not read.
        """
        if not self._transport.is_reading():
            self._stop_timer()
            return
        limits = self._listener.limits
        seconds = (
            limits.idle_timeout_seconds
            if self._headers_done
            else limits.header_timeout_seconds
        )
        self._start_timer(seconds, self._on_request_timeout)

    def _start_idle_timer(self) -> None:
        unsent = half_closing.find_unsent(self._transport)
        now = self._loop.time()
        if unsent:
            self._watch_unread(unsent, now)
        else:
            self._wait_idle(now)

    def _watch_unread(self, unsent: int, progress_at: float) -> None:
        self._start_timer(
            UNREAD_POLL_SECONDS, lambda: self._on_unread(unsent, progress_at)
        )

    def _on_unread(self, unsent_before: int, progress_at: float) -> None:
        self._note_unread()
        unsent = half_closing.find_unsent(self._transport)
        now = self._loop.time()
        limit = self._listener.limits.idle_timeout_seconds
        if not unsent:
            self._wait_idle(now)
        elif unsent < unsent_before:
            self._watch_unread(unsent, now)
        elif now - progress_at < max(limit, MIN_UNREAD_SECONDS):
            self._watch_unread(unsent, progress_at)
        else:
            # Its caller does not read the answer, which would stay in memory.
            self._transport.abort()

    def _wait_idle(self, idle_since: float) -> None:
        self._start_timer(
            self._idle_seconds_left(idle_since),
            lambda: self._on_idle(idle_since),
        )

    def _on_idle(self, idle_since: float) -> None:
        # The limit may have grown meanwhile, and the caller relies on it.
        if self._idle_seconds_left(idle_since) > MIN_TIMER_SECONDS:
            self._wait_idle(idle_since)
        else:
            self._transport.close()

    def _idle_seconds_left(self, idle_since: float) -> float:
        limit = self._listener.limits.idle_timeout_seconds
        return max(0.0, idle_since + limit - self._loop.time())

    def _close_gracefully(self) -> None:
        rejected = self._read_failure is not None
        stopping = self._listener.stopping
        if not (rejected or stopping) or not self._transport.can_write_eof():
            self._transport.close()
            return
        self._stop_timer()
        self.stop_reading()
        # While the instance stops, the end of the drain is the bound.
        self._half_close = half_closing.HalfClose(
            self._transport, patient=stopping
        )

    def _start_timer(self, seconds: float, callback) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def allocated_bytes(size: int) -> int:
    """Returns what the buffer of a body takes: an eighth more than its bytes.

    >>> allocated_bytes(1000)
    1125
    """
    return size + (size >> 3)
