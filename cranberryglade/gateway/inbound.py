"""Connections of callers: reads whole requests, writes answers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import httptools

from cranberryglade.gateway import catalogue
from cranberryglade.gateway import messages
from cranberryglade.gateway import responding
from cranberryglade.gateway import sockets

LONGEST_QUEUE = 8
"""Requests that a caller may send ahead on one connection."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
SILENCE_MS = 3000
LINGER_SECONDS = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Flaw:
    """Why a request cannot be read, and the status that says so."""

    status: int
    reason: str


Handler = Callable[[messages.Request, responding.Responder], Awaitable[None]]


class Listener:
    """What all connections of one address share.

    Attributes:
        limits: bounds in force; replaced with the configuration.
        stopping: whether answers ask callers to connect elsewhere.
        connections: those that are open.
    """

    __slots__ = ("_on_flaw", "connections", "handler", "limits", "stopping")

    def __init__(
        self,
        handler: Handler,
        on_flaw: Callable[[Flaw], None],
    ):
        self.handler = handler
        self._on_flaw = on_flaw
        self.limits = catalogue.Limits()
        self.stopping = False
        self.connections: set[Connection] = set()

    @property
    def busy(self) -> int:
        """Connections with a request under way."""
        return sum(1 for each in self.connections if each.busy)

    def flawed(self, flaw: Flaw) -> None:
        """Reports a request that could not be read."""
        self._on_flaw(flaw)

    async def serve(self, host: str, port: int) -> asyncio.Server:
        """Begins to accept connections."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: Connection(self), host, port, backlog=512
        )


class Connection(asyncio.Protocol):
    """One connection of a caller; one request at a time."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_chunked",
        "_flaw",
        "_header_bytes",
        "_headers",
        "_headers_done",
        "_listener",
        "_loop",
        "_paused",
        "_parser",
        "_queue",
        "_reading",
        "_target",
        "_task",
        "_timer",
        "_transport",
    )

    def __init__(self, listener: Listener):
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._queue: list[messages.Request] = []
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._paused: asyncio.Future | None = None
        self._flaw: Flaw | None = None
        self._reading = False
        self._reset()

    @property
    def busy(self) -> bool:
        """Whether a request is read or answered."""
        return self._task is not None or self._reading

    @property
    def closing(self) -> bool:
        """Whether nothing more can be written."""
        return self._transport is None or self._transport.is_closing()

    @property
    def stays_open(self) -> bool:
        """Whether the caller may go on using the connection."""
        return not self._listener.stopping

    def connection_made(self, transport) -> None:
        """Begins to wait for a first request."""
        self._transport = transport
        self._listener.connections.add(self)
        sockets.bound_silence(transport.get_extra_info("socket"), SILENCE_MS)
        self._expect(self._listener.limits.idle_seconds, self._idle)

    def connection_lost(self, exc) -> None:
        """Cancels what was under way."""
        self._listener.connections.discard(self)
        self._stop_timer()
        if self._task is not None:
            self._task.cancel()
        if self._paused is not None and not self._paused.done():
            self._paused.set_exception(responding.CallerGoneError())

    def pause_writing(self) -> None:
        """Lets writers wait."""
        self._paused = self._loop.create_future()

    def resume_writing(self) -> None:
        """Lets writers go on."""
        if self._paused is not None and not self._paused.done():
            self._paused.set_result(None)
        self._paused = None

    async def drained(self) -> None:
        """Waits until the caller has read enough."""
        if self._paused is not None:
            await self._paused

    def write(self, data: bytes) -> None:
        """Writes bytes of an answer."""
        self._transport.write(data)

    def answered(self, keep_alive: bool) -> None:
        """Goes on to the next request, or closes."""
        self._task = None
        if not keep_alive:
            self._close_softly()
        elif self._queue:
            self._begin(self._queue.pop(0))
        elif self._flaw is not None:
            self._refuse()
        else:
            self._transport.resume_reading()
            if not self._reading:
                self._expect(self._listener.limits.idle_seconds, self._idle)

    def break_off(self) -> None:
        """Resets the connection."""
        self._task = None
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is under way."""
        if not self.busy:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self._flaw is not None:
            return
        if not self._headers_done:
            self._header_bytes += len(data)
        if not self._reading:
            self._reading = True
            self._expect(self._listener.limits.header_seconds, self._late)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(Flaw(400, "upgrade"))
        except httptools.HttpParserError as error:
            if self._flaw is None:
                self._fail(Flaw(400, type(error).__name__))
        else:
            self._check_sizes()

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._reading = True

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header field."""
        self._headers.append(messages.Header(name, value))

    def on_headers_complete(self) -> None:
        """Checks the head and waits for the body."""
        self._headers_done = True
        size = sum(len(h.name) + len(h.value) + 4 for h in self._headers)
        if size + len(self._target) > self._listener.limits.header_bytes:
            self._fail(Flaw(431, "headers too large"))
            return
        for header in self._headers:
            name = header.name.lower()
            if name == b"content-length":
                if int(header.value) > self._listener.limits.body_bytes:
                    self._fail(Flaw(413, "body too large"))
            elif name == b"transfer-encoding":
                self._chunked = True
            elif name == b"expect" and self._task is None:
                self._transport.write(CONTINUE)
        self._expect(self._listener.limits.idle_seconds, self._late)

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._listener.limits.body_bytes:
            if self._flaw is None:
                self._fail(Flaw(413, "body too large"))
        else:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Hands the request on, or queues it behind the one under way."""
        if self._flaw is not None:
            return
        self._reading = False
        self._stop_timer()
        version = self._parser.get_http_version()
        request = messages.Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
            chunked=self._chunked,
            keep_alive=self._parser.should_keep_alive() and version == "1.1",
            arrived=self._loop.time(),
        )
        self._reset()
        if self._task is None:
            self._begin(request)
        else:
            self._queue.append(request)
            if len(self._queue) >= LONGEST_QUEUE:
                self._transport.pause_reading()

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[messages.Header] = []
        self._headers_done = False
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._chunked = False

    def _check_sizes(self) -> None:
        longest = self._listener.limits.header_bytes
        waiting = self._flaw is None and not self._headers_done
        if waiting and self._header_bytes > longest:
            self._fail(Flaw(431, "headers too large"))

    def _begin(self, request: messages.Request) -> None:
        self._stop_timer()
        responder = responding.Responder(self, request.keep_alive)
        self._task = self._loop.create_task(
            self._listener.handler(request, responder)
        )

    def _fail(self, flaw: Flaw) -> None:
        self._flaw = flaw
        self._reading = False
        self._stop_timer()
        self._listener.flawed(flaw)
        if self._task is None and not self._queue:
            self._refuse()

    def _refuse(self) -> None:
        responder = responding.Responder(self, False)
        body = self._flaw.reason.encode()
        responder.whole(self._flaw.status, [], body)

    def _late(self) -> None:
        self._fail(Flaw(408, "request not complete in time"))

    def _idle(self) -> None:
        self._transport.close()

    def _close_softly(self) -> None:
        # Unread bytes would turn the close into a reset, which can destroy
        # the answer on its way.
        if self._flaw is not None and self._transport.can_write_eof():
            self._transport.write_eof()
            self._expect(LINGER_SECONDS, self._idle)
        else:
            self._transport.close()

    def _expect(self, seconds: float, then) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, then)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
