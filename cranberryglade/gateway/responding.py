"""Writes the answers to callers."""

import http
from typing import Protocol

from cranberryglade.gateway import messages


class CallerGoneError(Exception):
    """The caller closed its connection."""


class Connection(Protocol):
    """What a responder needs of a caller's connection."""

    @property
    def closing(self) -> bool:
        """Whether nothing more can be written."""

    @property
    def stays_open(self) -> bool:
        """Whether the caller may go on using it."""

    def write(self, data: bytes) -> None:
        """Writes bytes of an answer."""

    async def drained(self) -> None:
        """Waits until the caller has read enough."""

    def answered(self, keep_alive: bool) -> None:
        """Goes on to the next request, or closes."""

    def break_off(self) -> None:
        """Resets it."""


class Responder:
    """Writes the answer to one request."""

    __slots__ = ("_chunked", "_connection", "_keep_alive", "started")

    def __init__(self, connection: Connection, keep_alive: bool):
        self._connection = connection
        self._keep_alive = keep_alive
        self._chunked = False
        self.started = False

    def start(
        self,
        status: int,
        reason: bytes,
        headers: list[messages.Header],
        length: int | None,
    ) -> None:
        """Writes the head.

        Args:
            status: HTTP status.
            reason: reason phrase; empty for the usual one.
            headers: fields but for those on framing and connection.
            length: bytes of the body; None for a body in chunks.
        """
        if self._connection.closing:
            raise CallerGoneError
        self._keep_alive = self._keep_alive and self._connection.stays_open
        phrase = reason or usual_phrase(status)
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, phrase)]
        lines += [b"%s: %s\r\n" % (h.name, h.value) for h in headers]
        if length is None:
            self._chunked = True
            lines.append(b"Transfer-Encoding: chunked\r\n")
        else:
            lines.append(b"Content-Length: %d\r\n" % length)
        if not self._keep_alive:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self.started = True
        self._connection.write(b"".join(lines))

    async def send(self, data: bytes) -> None:
        """Writes a part of the body; waits while the caller reads slowly."""
        if not data:
            return
        if self._connection.closing:
            raise CallerGoneError
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._connection.write(data)
        await self._connection.drained()

    def finish(self) -> None:
        """Ends the answer."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._connection.answered(self._keep_alive)

    def abort(self) -> None:
        """Breaks the connection, so that the answer does not look whole."""
        self._connection.break_off()

    def whole(
        self,
        status: int,
        headers: list[messages.Header],
        body: bytes,
        reason: bytes = b"",
    ) -> None:
        """Writes a whole answer."""
        self.start(status, reason, headers, len(body))
        if body:
            self._connection.write(body)
        self.finish()


def usual_phrase(status: int) -> bytes:
    """The reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
