"""Listening sockets whose address is known before anything is served."""

import socket

from aiohttp import web

from cranberryglade import guards

BACKLOG = 1024
SHUTDOWN_SECONDS = 1.0


class Listener:
    """One bound socket; port 0 in the settings becomes a free port."""

    __slots__ = ("_socket",)

    def __init__(self, bound: socket.socket):
        self._socket = bound

    @classmethod
    def open(cls, address: str) -> "Listener":
        """Binds "host:port".

        Raises:
            OSError: the address cannot be used.
        """
        host, _, port = address.rpartition(":")
        bound = socket.create_server((host, int(port)), backlog=BACKLOG)
        return cls(bound)

    @property
    def address(self) -> str:
        """The bound "host:port"."""
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    async def serve(self, app: web.Application) -> web.AppRunner:
        """Starts serving an application."""
        runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        await runner.setup()
        await guards.Site(runner, self._socket).start()
        return runner
