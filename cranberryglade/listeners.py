"""Listening sockets that are bound before an application is served."""

import socket

from aiohttp import web

from cranberryglade import http_errors

BACKLOG = 1024
SHUTDOWN_SECONDS = 1.0


class Listener:
    """One bound socket, whose address is known before it is served."""

    __slots__ = ("_socket",)

    def __init__(self, bound: socket.socket):
        self._socket = bound

    @classmethod
    def open(cls, address: str) -> "Listener":
        """Binds a socket to "host:port"; port 0 selects a free port.

        Raises:
            OSError: the address cannot be bound.
            ValueError: the port is not a number.
        """
        host, _, port = address.rpartition(":")
        bound = socket.create_server((host, int(port)), backlog=BACKLOG)
        return cls(bound)

    @property
    def address(self) -> str:
        """The bound address, "host:port"."""
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    async def serve(self, app: web.Application) -> web.AppRunner:
        """Starts to serve an application on the socket.

        Returns:
            The runner; its cleanup() stops serving and waits for up to
            SHUTDOWN_SECONDS for open requests.
        """
        runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        await runner.setup()
        await http_errors.Site(runner, self._socket).start()
        return runner
