"""Stand-in of an endpoint on the users' platform, with faults by script."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

SEAL = "seal-of-{}"


@dataclasses.dataclass(slots=True)
class Received:
    """A request as it came in; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """Id of the submission."""
        return self.headers.get("x-attempt-id", "")


Behaviour = Callable[
    [Received, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class RunnerStandin:
    """Serves scripted behaviours, one for each request, then the default.

    Attributes:
        id: what requests must expect.
        received: all requests that came in, refused ones included.
        ran: submissions that it ran, in order.
        gone: submissions whose caller closed the connection meanwhile.
        script: behaviours for the next requests.
        usual: behaviour of all others.
    """

    def __init__(self, id_: str, usual: Behaviour | None = None):
        self.id = id_
        self.received: list[Received] = []
        self.ran: list[str] = []
        self.gone: list[str] = []
        self.script: list[Behaviour] = []
        self.usual = usual or self.whole
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Begins to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Closes its port and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, service: str, **changes) -> dict:
        """Its row in the list of endpoints."""
        return {
            "service": service,
            "address": self.address,
            "zone": "north",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        } | changes

    async def whole(self, received, reader, writer) -> None:
        """Runs a request and answers it whole."""
        self.ran.append(received.attempt)
        writer.write(self.answer(received, b"body of " + received.body))
        await writer.drain()

    async def full(self, received, reader, writer) -> None:
        """Refuses a request without running it."""
        writer.write(self._head(received, 503, ["X-Not-Executed: 1"], 0))
        await writer.drain()

    async def fail(self, received, reader, writer) -> None:
        """Runs a request, which fails."""
        self.ran.append(received.attempt)
        writer.write(self.answer(received, b"failed", 500))
        await writer.drain()

    async def lose(self, received, reader, writer) -> None:
        """Runs a request and resets the connection."""
        self.ran.append(received.attempt)
        writer.transport.abort()

    async def tear(self, received, reader, writer) -> None:
        """Runs a request and breaks off within the answer."""
        self.ran.append(received.attempt)
        writer.write(self.answer(received, b"a whole body")[:-4])
        await writer.drain()
        writer.close()

    async def hang(self, received, reader, writer) -> None:
        """Runs a request and is silent until the caller closes."""
        self.ran.append(received.attempt)
        await reader.read()
        self.gone.append(received.attempt)

    async def unframed(self, received, reader, writer) -> None:
        """Runs a request; the end of the connection ends the answer."""
        self.ran.append(received.attempt)
        lines = ["X-Response-Seal: " + SEAL.format(self.id)]
        writer.write(self._head(received, 200, lines, None))
        writer.write(b"unframed body")
        await writer.drain()
        writer.close()

    async def unsealed(self, received, reader, writer) -> None:
        """Answers with success, but without the stamp."""
        writer.write(self._head(received, 200, [], 2) + b"ok")
        await writer.drain()

    async def twice(self, received, reader, writer) -> None:
        """Answers whole, and then once more."""
        self.ran.append(received.attempt)
        answer = self.answer(received, b"body")
        writer.write(answer + answer)
        await writer.drain()

    async def nameless(self, received, reader, writer) -> None:
        """Answers with the stamp of a run, but without the id of one."""
        stranger = dataclasses.replace(received, headers={})
        answer = self.answer(stranger, b"of another")
        writer.write(answer.replace(b"X-Attempt-Id: \r\n", b""))
        await writer.drain()

    def late_extra(self, stranger: str) -> Behaviour:
        """Sends an answer to another submission before its own."""

        async def behave(received, reader, writer):
            self.ran.append(received.attempt)
            other = dataclasses.replace(
                received, headers={"x-attempt-id": stranger}
            )
            writer.write(self.answer(other, b"of another"))
            writer.write(self.answer(received, b"its own"))
            await writer.drain()

        return behave

    def resuming(self, breaks_at: int, last: int) -> Behaviour:
        """Streams on from what the caller has; the first time it breaks."""

        async def behave(received, reader, writer):
            seen = received.headers.get("last-event-id")
            if seen is None:
                await self.events(1, breaks_at, False)(received, reader, writer)
            else:
                await self.events(int(seen) + 1, last)(received, reader, writer)

        return behave

    def events(self, first: int, last: int, whole: bool = True) -> Behaviour:
        """Streams events of those ids, and breaks off unless whole."""

        async def behave(received, reader, writer):
            self.ran.append(received.attempt)
            lines = [
                "X-Response-Seal: " + SEAL.format(self.id),
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ]
            writer.write(self._head(received, 200, lines, None))
            for number in range(first, last + 1):
                writer.write(_chunk(event(number)))
                await writer.drain()
            if whole:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            else:
                writer.write(_chunk(event(last + 1)[:5]))
                await writer.drain()
                writer.close()

        return behave

    def answer(
        self, received: Received, body: bytes, status: int = 200
    ) -> bytes:
        """A whole answer with the stamp."""
        lines = ["X-Response-Seal: " + SEAL.format(self.id)]
        return self._head(received, status, lines, len(body)) + body

    def _head(self, received, status, lines, length) -> bytes:
        head = [f"HTTP/1.1 {status} Status", *lines]
        head.append(f"X-Attempt-Id: {received.attempt}")
        if length is not None:
            head.append(f"Content-Length: {length}")
        return ("\r\n".join(head) + "\r\n\r\n").encode()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while (received := await _read(reader)) is not None:
                self.received.append(received)
                await self._behave(received, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _behave(self, received, reader, writer) -> None:
        expected = received.headers.get("x-expect-instance", self.id)
        if expected != self.id:
            writer.write(self._head(received, 421, [], 0))
            await writer.drain()
            return
        behaviour = self.script.pop(0) if self.script else self.usual
        await behaviour(received, reader, writer)


def event(number: int) -> bytes:
    """One event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _read(reader: asyncio.StreamReader) -> Received | None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return Received(method, target, headers, await reader.readexactly(length))
