"""Writes HTTP answers to callers."""

import asyncio
import http
from typing import Protocol

from cranberryglade.gateway import messages

BODILESS_STATUSES = (204, 304)
"""Statuses whose answers have neither a body nor its framing."""


class CallerGoneError(Exception):
    """The caller closed its connection."""


class HeadRepeatedError(Exception):
    """A second head would stand in the body of the answer."""


class Connection(Protocol):
    """The part of a caller's connection that a responder uses."""

    @property
    def closing(self) -> bool:
        """Whether the connection is closed or closing."""

    @property
    def may_keep_alive(self) -> bool:
        """Whether the connection may be kept alive after the answer."""

    def write(self, data: bytes) -> None:
        """Writes encoded bytes of an answer without waiting."""

    async def wait_writable(self) -> None:
        """Waits until the write buffer has room.

        Raises:
            CallerGoneError: if the connection is lost meanwhile.
        """

    def stop_reading(self) -> None:
        """Reads no further request."""

    def finish_answer(self, keep_alive: bool) -> None:
        """Starts the next request, or closes the connection.

        Args:
            keep_alive: whether the connection stays open.
        """

    def abort(self) -> None:
        """Closes the connection at once; unsent data is discarded."""

    def detach(self) -> asyncio.Transport:
        """Gives the connection up to another protocol; returns it."""


class Responder:
    """Writes the answer to one request.

    Attributes:
        started: whether the head has been written.
        finished: whether the answer is whole; the connection may serve the next
            request.
    """

    __slots__ = (
        "_bodiless",
        "_chunked",
        "_connection",
        "_keep_alive",
        "finished",
        "started",
    )

    def __init__(
        self,
        connection: Connection,
        keep_alive: bool,
        asks_for_head: bool = False,
    ):
        """Creates the responder of a request.

        Args:
            connection: the caller's connection.
            keep_alive: whether the caller allows it to stay open.
            asks_for_head: whether the method is HEAD, so that no answer has a
                body.
        """
        self._connection = connection
        self._keep_alive = keep_alive
        self._bodiless = asks_for_head
        self._chunked = False
        self.started = False
        self.finished = False

    def take_connection(self) -> asyncio.Transport:
        """Returns the connection, to be used for something else."""
        return self._connection.detach()

    def start(
        self,
        status: int,
        reason: bytes,
        headers: list[messages.Header],
        length: int | None,
    ) -> None:
        """Writes the status line and the headers.

        Args:
            status: HTTP status.
            reason: reason phrase; empty for the standard one.
            headers: fields other than Content-Length, Transfer-Encoding and
                Connection, which are added here.
            length: bytes of the body; None for chunked encoding. Ignored for
                a status without a body, and if only the head was asked for,
                unless the length is known to be that of the body left out.

        Raises:
            CallerGoneError: if the connection is closed or closing.
            HeadRepeatedError: if the answer has begun.
        """
        if self.started:
            raise HeadRepeatedError
        if self._connection.closing:
            raise CallerGoneError
        if not self._connection.may_keep_alive:
            self._keep_alive = False
            self._connection.stop_reading()
        phrase = reason or usual_phrase(status)
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, phrase)]
        lines += [b"%s: %s\r\n" % (h.name, h.value) for h in headers]
        if status in BODILESS_STATUSES:
            self._bodiless = True
        elif self._bodiless:
            if length:
                lines.append(b"Content-Length: %d\r\n" % length)
        elif length is None:
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
        """Writes a part of the body and waits until the buffer has room.

        Does nothing for an answer without a body.

        Raises:
            CallerGoneError: if the connection is closed or lost meanwhile.
        """
        if not data or self._bodiless:
            return
        if self._connection.closing:
            raise CallerGoneError
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._connection.write(data)
        await self._connection.wait_writable()

    def finish(self) -> None:
        """Writes the end of the body and releases the connection."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self.finished = True
        self._connection.finish_answer(self._keep_alive)

    def abort(self) -> None:
        """Closes the connection at once.

        The caller can then tell that a started answer is incomplete.
        """
        self._connection.abort()

    def whole(
        self,
        status: int,
        headers: list[messages.Header],
        body: bytes,
        reason: bytes = b"",
    ) -> None:
        """Writes a whole answer.

        Args:
            status: HTTP status.
            headers: fields other than those on framing and connection.
            body: the whole body; left out if only the head was asked for.
            reason: reason phrase; empty for the standard one.

        Raises:
            CallerGoneError: if the connection is closed or closing.
            HeadRepeatedError: if the answer has begun.
        """
        self.start(status, reason, headers, len(body))
        if body and not self._bodiless:
            self._connection.write(body)
        self.finish()


def usual_phrase(status: int) -> bytes:
    """Returns the standard reason phrase; "Status" for unknown statuses."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
