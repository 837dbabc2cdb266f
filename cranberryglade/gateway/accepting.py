"""Accepts connections until it is closed, and drops none that was accepted.

The server of asyncio accepts a connection in one turn of the loop and gives it
its protocol in the next. If it is closed in between, the connection stays open
and silent; connections that wait to be accepted are reset.
"""

import asyncio
from collections.abc import Callable
import socket

from cranberryglade import log

BACKLOG = 512
"""Most connections that wait to be accepted."""

FULL_PAUSE_SECONDS = 1.0
"""Pause after a connection could not be accepted, as without descriptors."""

logger = log.get_logger(__name__)


class Acceptor:
    """Accepts the connections of one listening socket."""

    __slots__ = ("_loop", "_make_protocol", "_opening", "_resuming", "_socket")

    def __init__(
        self,
        listening: socket.socket,
        make_protocol: Callable[[], asyncio.Protocol],
    ):
        """Starts to accept.

        Args:
            listening: a listening socket, which is closed with this.
            make_protocol: returns the protocol of a new connection.
        """
        self._loop = asyncio.get_running_loop()
        self._make_protocol = make_protocol
        self._opening: set[asyncio.Task] = set()
        self._resuming: asyncio.TimerHandle | None = None
        self._socket = listening
        self._socket.setblocking(False)
        self._watch()

    @classmethod
    def listen(
        cls,
        host: str,
        port: int,
        make_protocol: Callable[[], asyncio.Protocol],
    ) -> "Acceptor":
        """Binds a socket and starts to accept.

        Args:
            host: address to bind.
            port: TCP port to bind.
            make_protocol: returns the protocol of a new connection.

        Raises:
            OSError: if the address cannot be bound.
        """
        listening = socket.create_server((host, port), backlog=BACKLOG)
        return cls(listening, make_protocol)

    def close(self) -> None:
        """Accepts what waits, and then no more; a second call does nothing."""
        if self._socket.fileno() < 0:
            return
        self._accept_waiting()
        self._unwatch()
        self._socket.close()

    async def wait_opened(self) -> None:
        """Waits until all connections that were accepted are open."""
        if self._opening:
            await asyncio.wait(self._opening)

    def _watch(self) -> None:
        self._resuming = None
        self._loop.add_reader(self._socket.fileno(), self._accept_waiting)

    def _unwatch(self) -> None:
        self._loop.remove_reader(self._socket.fileno())
        if self._resuming is not None:
            self._resuming.cancel()
            self._resuming = None

    def _accept_waiting(self) -> None:
        for _ in range(BACKLOG):
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._pause(error)
                return
            self._open(accepted)

    def _pause(self, error: OSError) -> None:
        logger.error("connection.unaccepted", reason=str(error))
        self._unwatch()
        self._resuming = self._loop.call_later(FULL_PAUSE_SECONDS, self._watch)

    def _open(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        opening = self._loop.create_task(
            self._loop.connect_accepted_socket(self._make_protocol, accepted)
        )
        self._opening.add(opening)
        opening.add_done_callback(self._end_opening)

    def _end_opening(self, opening: asyncio.Task) -> None:
        self._opening.discard(opening)
        if opening.cancelled() or opening.exception() is None:
            return
        logger.error("connection.unopened", exc_info=opening.exception())
