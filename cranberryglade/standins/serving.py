"""Runs one stand-in as a process of its own."""

import asyncio
import signal
import sys

from aiohttp import web

from cranberryglade import listeners
from cranberryglade import wire


class Listening(wire.Document):
    """The line that a stand-in prints once it listens.

    Attributes:
        event: "listening".
        name: name of the stand-in.
        address: address that it listens on, as HOST:PORT.
    """

    event: str
    name: str
    address: str


def serve(name: str, address: str, app: web.Application) -> None:
    """Serves until SIGTERM or SIGINT; exits with 1 if it cannot listen.

    Args:
        name: name of the stand-in.
        address: address to listen on, as HOST:PORT; port 0 for a free one.
        app: application to serve.
    """
    try:
        asyncio.run(_serve(name, address, app))
    except OSError as error:
        sys.exit(f"{name}: cannot listen on {address}: {error.strerror}")


async def _serve(name: str, address: str, app: web.Application) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    listener = listeners.Listener.open(address)
    runner = await listener.serve(app)
    line = Listening(event="listening", name=name, address=listener.address)
    sys.stdout.write(wire.encode(line).decode() + "\n")
    sys.stdout.flush()
    await stop.wait()
    await runner.cleanup()
