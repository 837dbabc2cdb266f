"""Servers and callers that send bytes without end."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import dataclasses
import gc
import socket
import threading
import time
import tracemalloc

from cranberryglade.tests import gateway_cluster

BLOCK = b"x" * 16_384
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
SEALED = b"X-Response-Seal: s\r\nX-Attempt-Id: a-1\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"

ENDLESS_HEADS = {
    "reason phrase": (b"HTTP/1.1 200 ", BLOCK),
    "header line": (HEAD + b"X-Long: ", BLOCK),
    "header name": (HEAD, BLOCK),
    "header lines": (HEAD, b"X-More: y\r\n" * 1000),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500),
    "interim headers": (
        b"",
        b"HTTP/1.1 103 Early Hints\r\nLink: y\r\n\r\n" * 500,
    ),
    "empty fields": (HEAD, b"a:\r\n" * 4000),
    "not HTTP": (b"", BLOCK),
}
"""Answers whose head does not end: how they begin, and what is repeated."""

ENDLESS_FRAMING = {
    "chunk line": (CHUNKED + SEALED + b"\r\n1;", BLOCK),
    "chunk size": (CHUNKED + SEALED + b"\r\n", b"0" * 16_384),
    "trailer line": (CHUNKED + SEALED + b"\r\n0\r\nX-Long: ", BLOCK),
    "trailer lines": (
        CHUNKED + SEALED + b"\r\n0\r\n",
        b"X-More: y\r\n" * 1000,
    ),
    "empty trailers": (CHUNKED + SEALED + b"\r\n0\r\n", b"a:\r\n" * 4000),
}
"""The same of answers whose body is complete or does not go on."""


@dataclasses.dataclass(slots=True)
class Peak:
    """The most that a block of code took at once, of what is measured.

    Attributes:
        size: bytes of memory, or seconds of a turn of the loop.
    """

    size: float = 0


@contextlib.contextmanager
def measure_memory() -> Iterator[Peak]:
    """Measures the most memory of the block; the size is set at its end."""
    peak = Peak()
    tracemalloc.start()
    try:
        yield peak
    finally:
        _, peak.size = tracemalloc.get_traced_memory()
        tracemalloc.stop()


@contextlib.asynccontextmanager
async def measure_turns() -> AsyncIterator[Peak]:
    """Measures the longest turn of the loop; the size is set at its end.

    It is in seconds of the thread's processor time, so that other processes
    do not add to it, nor does the collection of what earlier tests left.
    """
    gc.collect()
    peak = Peak()
    ended = asyncio.Event()
    watch = asyncio.create_task(_watch_turns(peak, ended))
    try:
        yield peak
    finally:
        ended.set()
        await watch


async def _watch_turns(peak: Peak, ended: asyncio.Event) -> None:
    last = time.thread_time()
    while not ended.is_set():
        await asyncio.sleep(0)
        now = time.thread_time()
        peak.size = max(peak.size, now - last)
        last = now


class ThreadedServer:
    """As EndlessServer, in threads of its own, as fast as it is read."""

    MIN_WRITE_BYTES = 1_000_000

    def __init__(self, beginning: bytes, block: bytes):
        self._beginning = beginning
        self._block = block * (1 + self.MIN_WRITE_BYTES // len(block))
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=128)

    @property
    def address(self) -> str:
        """Address that it listens on, as HOST:PORT."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    def __enter__(self):
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_):
        # Closing alone does not wake the thread that accepts.
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                opened, _ = self._socket.accept()
                threading.Thread(
                    target=self._flood, args=(opened,), daemon=True
                ).start()

    def _flood(self, opened: socket.socket) -> None:
        with opened, contextlib.suppress(OSError):
            opened.recv(65_536)
            opened.sendall(self._beginning)
            while True:
                opened.sendall(self._block)


class EndlessServer:
    """Answers each request with a beginning and then a block, repeatedly.

    Attributes:
        sent: bytes sent so far, over all connections.
        connections: connections accepted so far.
        open: connections that are open.
    """

    def __init__(self, beginning: bytes, block: bytes, pause_seconds=0.0):
        self.sent = 0
        self.connections = 0
        self.open = 0
        self._beginning = beginning
        self._block = block
        self._pause_seconds = pause_seconds
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Address that it listens on, as HOST:PORT."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self.open += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            await self.flood(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.close()

    async def flood(self, writer) -> None:
        """Sends until the other side closes the connection.

        Raises:
            ConnectionError: when it does.
        """
        data = self._beginning
        while True:
            writer.write(data + self._block)
            self.sent += len(data) + len(self._block)
            data = b""
            await writer.drain()
            await asyncio.sleep(self._pause_seconds)


@contextlib.asynccontextmanager
async def flooded_cluster(
    beginning: bytes,
    block: bytes,
    endpoints: int = 1,
    slots: int = 4,
    pause_seconds: float = 0.0,
):
    """Yields a cluster whose first endpoint is an EndlessServer, and that."""
    cluster = gateway_cluster.Cluster(runners=endpoints)
    server = EndlessServer(beginning, block, pause_seconds)
    async with server, cluster:
        cluster.register_runner(
            cluster.runners[0], address=server.address, born=2, slots=slots
        )
        await cluster.wait_for_endpoints(
            lambda known: known["i-0"].address == server.address
        )
        yield cluster, server
