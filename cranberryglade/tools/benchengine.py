"""A lightweight engine for benchmarks: one token event per fixed interval.

It implements only the part of HTTP that the daemon uses and does not schedule
its requests, so that one process can serve several thousand streams.
"""

import asyncio
import time

import msgspec

from cranberryglade.scheduling import answers

HEAD_END = b"\r\n\r\n"
RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class _Request(msgspec.Struct):
    request_id: str
    max_tokens: int


class BenchEngine(asyncio.Protocol):
    """One connection of the engine.

    Each token event carries two times of the monotonic clock in nanoseconds:
    "at", when it was sent, and "after", how long after the request arrived.

    Args:
        loop: event loop that times the tokens.
        interval: time between two tokens of a stream, in seconds.
    """

    __slots__ = (
        "_buffer",
        "_interval",
        "_loop",
        "_received_ns",
        "_request",
        "_sent",
        "_start",
        "_timer",
        "_transport",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, interval: float):
        self._loop = loop
        self._interval = interval
        self._buffer = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport) -> None:
        """Stores the transport."""
        self._transport = transport

    def connection_lost(self, _) -> None:
        """Cancels the next token of the stream."""
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Starts a stream once the request is complete."""
        self._buffer += data
        head, separator, body = self._buffer.partition(HEAD_END)
        if not separator or len(body) < _content_length(head):
            return
        self._buffer = b""
        if not head.startswith(b"POST /v1/generate "):
            self._transport.write(NOT_FOUND)
            return
        self._received_ns = time.monotonic_ns()
        self._request = msgspec.json.decode(body, type=_Request)
        self._sent = 0
        self._start = self._loop.time()
        self._transport.write(RESPONSE_HEAD)
        self._send_token()

    def _send_token(self) -> None:
        now_ns = time.monotonic_ns()
        event = answers.token_event(
            self._sent,
            b'{"text":"word ","at":%d,"after":%d}'
            % (now_ns, now_ns - self._received_ns),
        )
        self._transport.write(_chunk(event))
        self._sent += 1
        if self._sent >= self._request.max_tokens:
            end = answers.end_event(self._request.request_id, self._sent)
            self._transport.write(_chunk(end) + LAST_CHUNK)
            return
        due = self._start + self._sent * self._interval
        self._timer = self._loop.call_at(due, self._send_token)


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
