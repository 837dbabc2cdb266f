"""Stand-in of an endpoint of the platform, with scripted behaviours."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from cranberryglade.gateway import dialect
from cranberryglade.standins import connections

SEAL = "seal-of-{}"

EVENT_TEXT = "piece"

LAST_CHUNK = b"0\r\n\r\n"
"""End of a body in chunks."""

INCOMPLETE_EVENT_BYTES = 5
"""Bytes of an event that are sent before a stream breaks off within it."""

DELIVERY_SECONDS = 0.05
"""Time for sent data to arrive before a reset, which could discard it."""


@dataclasses.dataclass(slots=True)
class Received:
    """A request as it was received.

    Attributes:
        method: request method.
        target: request target: path and query.
        headers: header fields by lower-case name.
        body: request body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def prompt_parts(self) -> list[str]:
        """Ids of the parts of its prompt."""
        prompt = self.headers.get("x-prompt-prefix", "")
        return [part.partition(":")[0] for part in prompt.split(",")]

    @property
    def request_id(self) -> str:
        """Request id from X-Attempt-Id; empty if it is missing."""
        return self.headers.get("x-attempt-id", "")


Behaviour = Callable[
    [Received, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class EndpointStandin:
    """Answers requests by a script of behaviours, then by a default one.

    Attributes:
        id: its endpoint id; a request that expects another one gets 421.
        received: all requests received, refused ones included.
        ran: ids of the requests that it ran, in order.
        disconnected: ids of the requests whose caller disconnected during
            `hang`.
        script: behaviours for the next requests, one for each.
        default_behaviour: behaviour once the script is empty.
        leaving: whether its answers state that it is about to stop.
        limit: requests a second that its answers state as its limit; "" if
            none.
        brittle: refusals a second that it withstands, as its answers state;
            "" if they do not.
        event_gap_seconds: time between two events of a stream.
        event_text: text in the data of its events.
        software_version: version in its row.
        connections: number of connections accepted so far.
        crashed: whether it has crashed since its last start.
        silence_over: ends its silences when it is set.
        started_ms: when its process started, in its row; rises with each
            start.
    """

    def __init__(self, id_: str, usual: Behaviour | None = None):
        self.id = id_
        self.received: list[Received] = []
        self.ran: list[str] = []
        self.disconnected: list[str] = []
        self.script: list[Behaviour] = []
        self.default_behaviour = usual or self.succeed
        self.leaving = False
        self.limit = ""
        self.brittle = ""
        self.event_gap_seconds = 0.0
        self.event_text = EVENT_TEXT
        self.software_version = "v1"
        self.connections = 0
        self.crashed = False
        self.silence_over = asyncio.Event()
        self.started_ms = 1
        self._address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Address that it listens on, or did until it crashed; HOST:PORT."""
        return self._address

    @property
    def open_connections(self) -> int:
        """Number of connections that are open."""
        return len(self._writers)

    async def start(self, port: int = 0) -> None:
        """Starts listening on a loopback port, also after a crash.

        Args:
            port: the port; 0 for any that is free.
        """
        self._server = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = f"{host}:{port}"
        self.started_ms += self.crashed
        self.crashed = False

    async def stop(self) -> None:
        """Stops listening and aborts all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def crash(self) -> None:
        """Ends as a process does: the system closes all its sockets."""
        self.crashed = True
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    def entry(self, service: str, **changes) -> dict:
        """Returns its row for the list of endpoints."""
        return {
            "service": service,
            "address": self.address,
            "zone": "north",
            "version": self.software_version,
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.started_ms,
        } | changes

    async def succeed(self, received, reader, writer) -> None:
        """Runs a request and sends a complete response."""
        self.ran.append(received.request_id)
        writer.write(self.answer(received, b"body of " + received.body))
        await writer.drain()

    async def serve_by_target(self, received, reader, writer) -> None:
        """Streams three events on routes for streams, and succeeds on others.

        The routes are those of `operator_configuration`.
        """
        streams = received.target.startswith(("/write/", "/note/"))
        behave = self.events(1, 3) if streams else self.succeed
        await behave(received, reader, writer)

    async def refuse(self, received, reader, writer) -> None:
        """Refuses a request with 503 and X-Not-Executed."""
        await self._refuse(received, writer, [])

    def ask_for_pause(self, retry_after: str) -> Behaviour:
        """Returns a behaviour that refuses a request and asks for a pause.

        Args:
            retry_after: value of the Retry-After header.
        """

        async def behave(received, reader, writer):
            lines = [f"Retry-After: {retry_after}"]
            await self._refuse(received, writer, lines)

        return behave

    async def _refuse(self, received, writer, header_lines) -> None:
        lines = ["X-Not-Executed: 1", *header_lines]
        writer.write(self._head(received, 503, lines, 0))
        await writer.drain()

    def refusal(self, received, identified: bool = True) -> bytes:
        """Returns the refusal of a request, with its id or without."""
        head = self._head(received, 503, ["X-Not-Executed: 1"], 0)
        if identified:
            return head
        id_line = f"X-Attempt-Id: {received.request_id}\r\n"
        return head.replace(id_line.encode(), b"")

    async def misdirect(self, received, reader, writer) -> None:
        """Says with 421 that another endpoint was meant."""
        writer.write(self._head(received, 421, [], 0))
        await writer.drain()

    async def fail(self, received, reader, writer) -> None:
        """Runs a request and answers with status 500."""
        self.ran.append(received.request_id)
        writer.write(self.answer(received, b"failed", 500))
        await writer.drain()

    async def reset(self, received, reader, writer) -> None:
        """Runs a request and resets the connection."""
        self.ran.append(received.request_id)
        writer.transport.abort()

    async def truncate(self, received, reader, writer) -> None:
        """Runs a request and closes the connection within the response."""
        self.ran.append(received.request_id)
        writer.write(self.answer(received, b"a whole body")[:-4])
        await writer.drain()
        writer.close()

    async def hang(self, received, reader, writer) -> None:
        """Runs a request and sends nothing until the caller disconnects."""
        self.ran.append(received.request_id)
        await reader.read()
        self.disconnected.append(received.request_id)

    async def unframed(self, received, reader, writer) -> None:
        """Runs a request; the response ends where the connection does."""
        self.ran.append(received.request_id)
        lines = ["X-Response-Seal: " + SEAL.format(self.id)]
        writer.write(self._head(received, 200, lines, None))
        writer.write(b"unframed body")
        await writer.drain()
        writer.close()

    async def unsealed(self, received, reader, writer) -> None:
        """Answers with status 200, but without a response seal."""
        writer.write(self._head(received, 200, [], 2) + b"ok")
        await writer.drain()

    async def duplicate(self, received, reader, writer) -> None:
        """Runs a request and sends its response twice."""
        self.ran.append(received.request_id)
        answer = self.answer(received, b"body")
        writer.write(answer + answer)
        await writer.drain()

    async def unidentified(self, received, reader, writer) -> None:
        """Answers with a response seal, but without a request id."""
        without_id = dataclasses.replace(received, headers={})
        answer = self.answer(without_id, b"of another")
        writer.write(answer.replace(b"X-Attempt-Id: \r\n", b""))
        await writer.drain()

    def silent_first(self, seconds: float, otherwise: Behaviour) -> Behaviour:
        """Returns a behaviour that is silent for a time, then goes on.

        Args:
            seconds: how long it sends nothing.
            otherwise: what follows, unless the caller disconnects meanwhile.
        """

        async def behave(received, reader, writer):
            if await self._is_kept_waiting(received, reader, seconds):
                await otherwise(received, reader, writer)

        return behave

    def silent_within(
        self,
        silent_after: int,
        last: int,
        seconds: float,
        lost_after: int | None = None,
        first: int = 1,
        within_event: bool = False,
    ) -> Behaviour:
        """Returns a behaviour that streams, and falls silent once in between.

        A stream that is resumed elsewhere is sent without silence.

        Args:
            silent_after: number of the event that the silence follows.
            last: number of the last event of the stream.
            seconds: how long the silence lasts.
            lost_after: number of the event after the silence at which the
                stream breaks off; None if it is sent to its end.
            first: number of its first event.
            within_event: whether the silence comes within the next event.
        """

        async def behave(received, reader, writer):
            seen = int(received.headers.get("last-event-id") or 0)
            if seen >= first:
                await self.events(seen + 1, last)(received, reader, writer)
                return
            encode = await self._send_events(
                received,
                writer,
                dialect.Framing.CHUNKED,
                range(first, silent_after + 1),
            )
            begun = b""
            if within_event:
                begun = self._incomplete_event(silent_after + 1)
                writer.write(encode(begun))
            if await self._is_kept_waiting(received, reader, seconds):
                numbers = range(silent_after + 1, (lost_after or last) + 1)
                rest = [event(number, self.event_text) for number in numbers]
                if begun:
                    rest[0] = rest[0].removeprefix(begun)
                for each in rest:
                    writer.write(encode(each))
                if lost_after is None:
                    writer.write(LAST_CHUNK)
                await writer.drain()
                if lost_after is not None:
                    writer.transport.abort()

        return behave

    async def _is_kept_waiting(
        self, received: Received, reader: asyncio.StreamReader, seconds: float
    ) -> bool:
        """Waits, until `silence_over` at most.

        Returns:
            Whether the caller stays connected that long.
        """
        reading = asyncio.ensure_future(reader.read())
        speaking = asyncio.ensure_future(self.silence_over.wait())
        waits = (reading, speaking)
        await asyncio.wait(
            waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        has_left = reading.done()
        for each in waits:
            each.cancel()
        await asyncio.gather(*waits, return_exceptions=True)
        if has_left:
            self.disconnected.append(received.request_id)
        return not has_left

    def in_chunks(self, body: bytes) -> Behaviour:
        """Returns a behaviour that runs a request and answers in chunks.

        Args:
            body: what follows the head, with its framing, valid or not.
        """

        async def behave(received, reader, writer):
            self.ran.append(received.request_id)
            lines = ["X-Response-Seal: " + SEAL.format(self.id)]
            lines.append("Transfer-Encoding: chunked")
            writer.write(self._head(received, 200, lines, None) + body)
            await writer.drain()

        return behave

    def crashing_on(self, part: str, otherwise: Behaviour) -> Behaviour:
        """Returns a behaviour that crashes when it answers certain requests.

        Args:
            part: id of the prompt part that the requests have in common.
            otherwise: behaviour for all other requests.
        """
        return self.crashing_if(
            lambda received: part in received.prompt_parts, otherwise
        )

    def crashing_if(
        self, is_faulty: Callable[[Received], bool], otherwise: Behaviour
    ) -> Behaviour:
        """Returns a behaviour that crashes when it answers certain requests.

        Args:
            is_faulty: returns whether a request is one of them.
            otherwise: behaviour for all other requests.
        """

        async def behave(received, reader, writer):
            if not is_faulty(received):
                await otherwise(received, reader, writer)
                return
            await self.in_chunks(b"")(received, reader, writer)
            self.crash()

        return behave

    def unsolicited(self, other_id: str) -> Behaviour:
        """Returns a behaviour that first answers a request with another id.

        Args:
            other_id: request id in the response that precedes the right one.
        """

        async def behave(received, reader, writer):
            self.ran.append(received.request_id)
            other = dataclasses.replace(
                received, headers={"x-attempt-id": other_id}
            )
            writer.write(self.answer(other, b"of another"))
            writer.write(self.answer(received, b"its own"))
            await writer.drain()

        return behave

    def resuming(
        self,
        breaks_at: int,
        last: int,
        framing: dialect.Framing = dialect.Framing.CHUNKED,
    ) -> Behaviour:
        """Returns a behaviour that breaks a stream once and resumes it.

        Args:
            breaks_at: number of the last whole event before the break, which
                happens if the request has no Last-Event-ID.
            last: number of the last event of the stream.
            framing: as for `events`.
        """

        async def behave(received, reader, writer):
            seen = received.headers.get("last-event-id")
            if seen is None:
                stream = self.events(1, breaks_at, False, framing)
            else:
                stream = self.events(int(seen) + 1, last, True, framing)
            await stream(received, reader, writer)

        return behave

    def events(
        self,
        first: int,
        last: int,
        whole: bool = True,
        framing: dialect.Framing = dialect.Framing.CHUNKED,
    ) -> Behaviour:
        """Returns a behaviour that streams a range of events.

        Args:
            first: number of the first event.
            last: number of the last event of the stream.
            whole: whether the stream ends properly; if not, the connection
                is closed within the next event.
            framing: how the end of the stream is marked: CHUNKED or
                CONNECTION_CLOSE.
        """

        async def behave(received, reader, writer):
            encode = await self._send_events(
                received, writer, framing, range(first, last + 1)
            )
            if not whole:
                writer.write(encode(self._incomplete_event(last + 1)))
            elif framing is dialect.Framing.CHUNKED:
                writer.write(LAST_CHUNK)
            await writer.drain()
            if not whole or framing is dialect.Framing.CONNECTION_CLOSE:
                writer.close()

        return behave

    def ended_within_event(self, last: int) -> Behaviour:
        """Returns a behaviour that ends a stream properly, but in an event.

        Args:
            last: number of the last whole event, which the beginning of the
                next one and the last chunk follow.
        """

        async def behave(received, reader, writer):
            encode = await self._send_events(
                received, writer, dialect.Framing.CHUNKED, range(1, last + 1)
            )
            writer.write(encode(self._incomplete_event(last + 1)))
            writer.write(LAST_CHUNK)
            await writer.drain()

        return behave

    async def head_only(self, received, reader, writer) -> None:
        """Begins a stream and sends none of it until the caller disconnects."""
        await self._send_events(
            received, writer, dialect.Framing.CHUNKED, range(0)
        )
        await writer.drain()
        await reader.read()
        self.disconnected.append(received.request_id)

    def without_end(
        self, last: int, body_bytes: int | None = None, first: int = 1
    ) -> Behaviour:
        """Returns a behaviour that closes a stream behind an event.

        Args:
            last: number of the last event that is sent.
            body_bytes: length that the head states; None for chunks.
            first: number of the first event.
        """
        framing = dialect.Framing.LENGTH
        if body_bytes is None:
            framing = dialect.Framing.CHUNKED

        async def behave(received, reader, writer):
            await self._send_events(
                received, writer, framing, range(first, last + 1), body_bytes
            )
            await asyncio.sleep(DELIVERY_SECONDS)
            writer.close()

        return behave

    def reset_unframed(self, last: int, first: int = 1) -> Behaviour:
        """Returns a behaviour that resets an answer without framing.

        Args:
            last: number of the last whole event.
            first: number of the first event.
        """

        async def behave(received, reader, writer):
            await self._send_events(
                received,
                writer,
                dialect.Framing.CONNECTION_CLOSE,
                range(first, last + 1),
            )
            await asyncio.sleep(DELIVERY_SECONDS)
            connections.reset(writer)

        return behave

    def crashing_between_events(self, last: int) -> Behaviour:
        """Returns a behaviour that crashes within a stream without framing.

        Args:
            last: number of the last event before the crash; whole events only
                are sent.
        """

        async def behave(received, reader, writer):
            await self._send_events(
                received,
                writer,
                dialect.Framing.CONNECTION_CLOSE,
                range(1, last + 1),
            )
            await asyncio.sleep(DELIVERY_SECONDS)
            self.crash()

        return behave

    async def _send_events(
        self,
        received: Received,
        writer: asyncio.StreamWriter,
        framing: dialect.Framing,
        numbers: range,
        body_bytes: int | None = None,
    ) -> Callable[[bytes], bytes]:
        """Runs a request and sends the head and whole events of its stream.

        Args:
            received: the request.
            writer: its connection.
            framing: how the end of the stream is marked.
            numbers: numbers of the events.
            body_bytes: length of the body if that marks its end.

        Returns:
            Encodes further bytes of the body as the framing demands.
        """
        self.ran.append(received.request_id)
        lines = [
            "X-Response-Seal: " + SEAL.format(self.id),
            "Content-Type: text/event-stream",
        ]
        is_chunked = framing is dialect.Framing.CHUNKED
        if is_chunked:
            lines.append("Transfer-Encoding: chunked")
        encode = chunk if is_chunked else bytes
        writer.write(self._head(received, 200, lines, body_bytes))
        for number in numbers:
            writer.write(encode(event(number, self.event_text)))
            await writer.drain()
            await asyncio.sleep(self.event_gap_seconds)
        return encode

    def _incomplete_event(self, number: int) -> bytes:
        return event(number, self.event_text)[:INCOMPLETE_EVENT_BYTES]

    def stream_head(self, received: Received) -> bytes:
        """Returns the head of a stream in chunks."""
        lines = [
            "X-Response-Seal: " + SEAL.format(self.id),
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        return self._head(received, 200, lines, None)

    def answer(
        self, received: Received, body: bytes, status: int = 200
    ) -> bytes:
        """Returns a complete response with the response seal."""
        lines = ["X-Response-Seal: " + SEAL.format(self.id)]
        return self._head(received, status, lines, len(body)) + body

    def _head(self, received, status, header_lines, length) -> bytes:
        head = [f"HTTP/1.1 {status} Status", *header_lines]
        head.append(f"X-Attempt-Id: {received.request_id}")
        if self.leaving:
            head.append("Server-Leaving: 1")
        if self.limit:
            head.append(f"Server-Limit: {self.limit}")
        if self.brittle:
            head.append(f"Server-Brittle: {self.brittle}")
        if length is not None:
            head.append(f"Content-Length: {length}")
        return ("\r\n".join(head) + "\r\n\r\n").encode()

    async def _serve_connection(self, reader, writer) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while (received := await _read_request(reader)) is not None:
                self.received.append(received)
                await self._respond(received, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, received, reader, writer) -> None:
        expected = received.headers.get("x-expect-instance", self.id)
        if expected != self.id:
            writer.write(self._head(received, 421, [], 0))
            await writer.drain()
            return
        behaviour = (
            self.script.pop(0) if self.script else self.default_behaviour
        )
        await behaviour(received, reader, writer)


def event(number: int, text: str = EVENT_TEXT) -> bytes:
    """Returns the server-sent event with that number as its id."""
    return f"id: {number}\ndata: {text} {number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """Returns bytes as a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _read_request(reader: asyncio.StreamReader) -> Received | None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return Received(method, target, headers, await reader.readexactly(length))
