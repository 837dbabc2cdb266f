"""Endpoints that answer before they have received a request."""

import contextlib
import enum
import socket
import struct
import threading
import time

RESET_AFTER_SECONDS = 0.05
"""Time for what was sent to arrive before the reset."""

READ_BYTES = 65_536
LINGER_OFF = struct.pack("ii", 1, 0)

BODY = b"id: 1\ndata: piece 1\n\n"
"""Body of the answers; an event, so that it also suits a stream."""


class Ending(enum.Enum):
    """What follows an answer without a length.

    Attributes:
        RESET: the connection is reset.
        CLOSED_UNREAD: it is closed with unread bytes, which resets it.
        ENDED_AND_RESET: its end is sent, then it is reset.
        ENDED_AND_CLOSED_UNREAD: its end is sent, then it is closed unread.
        ENDED: its end is sent, and the request read to its end.
    """

    RESET = "reset"
    CLOSED_UNREAD = "closed unread"
    ENDED_AND_RESET = "ended and reset"
    ENDED_AND_CLOSED_UNREAD = "ended and closed unread"
    ENDED = "ended"


class EarlyEndpoint:
    """Answers the first request on each connection before it is whole.

    Use as a context manager.

    Attributes:
        address: HOST:PORT.
        connections: number of connections on which it answered.
    """

    def __init__(self, ending: Ending, answer: bytes = b""):
        """Creates one that listens.

        Args:
            ending: what follows the answer.
            answer: the answer; by default one without a length.
        """
        self._ending = ending
        self._given = answer
        self._listening = socket.create_server(("127.0.0.1", 0))
        host, port = self._listening.getsockname()
        self.address = f"{host}:{port}"
        self.connections = 0

    def __enter__(self) -> "EarlyEndpoint":
        threading.Thread(target=self._serve, daemon=True).start()
        return self

    def __exit__(self, *_) -> None:
        self._listening.close()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                opened, _ = self._listening.accept()
                with contextlib.suppress(OSError):
                    self._answer(opened)

    def _answer(self, opened: socket.socket) -> None:
        head = opened.recv(2000)
        if not head:
            opened.close()
            return
        self.connections += 1
        name, _, rest = head.partition(b"X-Attempt-Id: ")
        request_id = rest.partition(b"\r\n")[0] if name else b""
        opened.sendall(
            self._given
            or b"HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n"
            b"Content-Type: text/event-stream\r\n"
            b"X-Attempt-Id: %b\r\n\r\n%b"
            % (request_id, BODY)
        )
        if self._ending.value.startswith("ended"):
            opened.shutdown(socket.SHUT_WR)
        if self._ending is Ending.ENDED:
            while opened.recv(READ_BYTES):
                pass
        else:
            time.sleep(RESET_AFTER_SECONDS)
        if self._ending in (Ending.RESET, Ending.ENDED_AND_RESET):
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
        opened.close()
