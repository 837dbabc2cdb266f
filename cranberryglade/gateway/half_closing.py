"""Closes callers' connections in steps, so that no answer is cut on its way.

Closing a socket with unread bytes sends a reset, which discards what its caller
has not taken yet. Therefore only the sending side is closed at first.
"""

import asyncio
import socket

from cranberryglade.gateway import sockets

LINGER_SECONDS = 0.5
"""Time between the half-close of a connection, or the moment when its answer
has been taken, and its close."""

POLL_SECONDS = 0.05
"""Time between two looks at what the caller has taken."""


class HalfClose:
    """A connection whose sending side is closed, until all of it is.

    It is closed as soon as the caller, too, has closed its sending side and
    nothing is on its way any more.
    """

    __slots__ = ("_closes_at", "_loop", "_patient", "_timer", "_transport")

    def __init__(self, transport: asyncio.Transport, patient: bool):
        """Closes the sending side and starts to wait.

        Args:
            transport: the connection.
            patient: whether to wait without a bound until the caller has taken
                what was written, and while bytes of it are unread. Somebody
                else then closes the connection in the end.
        """
        self._loop = asyncio.get_running_loop()
        self._patient = patient
        self._transport = transport
        self._transport.write_eof()
        self._closes_at = self._loop.time() + LINGER_SECONDS
        self._timer = self._loop.call_later(POLL_SECONDS, self._poll)

    def stop(self) -> None:
        """Stops to wait, as the connection is closed."""
        self._timer.cancel()

    def _poll(self) -> None:
        opened = self._transport.get_extra_info("socket")
        if sockets.has_failed(opened):
            self._transport.abort()
        elif self._is_over(opened):
            self._transport.close()
        else:
            self._timer = self._loop.call_later(POLL_SECONDS, self._poll)

    def _is_over(self, opened: socket.socket) -> bool:
        now = self._loop.time()
        taken = not has_unsent(self._transport)
        if taken and sockets.has_ended(opened):
            return True
        if self._patient and not taken:
            self._closes_at = now + LINGER_SECONDS
        if self._patient and sockets.has_unread(opened):
            return False
        return now >= self._closes_at


def has_unsent(transport: asyncio.Transport) -> bool:
    """Returns whether the other side has not taken all that was written."""
    if transport.get_write_buffer_size():
        return True
    opened = transport.get_extra_info("socket")
    return sockets.unacknowledged_bytes(opened) > 0


def find_unsent(transport: asyncio.Transport) -> int:
    """Returns how many bytes the caller has not taken; 0 if the system has all.

    The system takes more only when much of its buffer is free, so that the
    bytes that it holds show first that a caller reads.
    """
    buffered = transport.get_write_buffer_size()
    if not buffered:
        return 0
    opened = transport.get_extra_info("socket")
    return buffered + sockets.unacknowledged_bytes(opened)
