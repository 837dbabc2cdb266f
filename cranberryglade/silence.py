"""Gives up on a giver from whom nothing has come for too long."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

Sink = Callable[[bytes], asyncio.Future | None]
T = TypeVar("T")


class SilenceError(TimeoutError):
    """Nothing has arrived within the bound."""


async def bounded(
    start: Callable[[Sink], Awaitable[T]], sink: Sink, seconds: float
) -> T:
    """Runs a reader until it ends or has been silent for too long.

    Args:
        start: begins to read and passes what arrives to the sink it is given.
        sink: is given what arrives; while a future that it has returned is
            not done, nothing is read and no silence is counted.
        seconds: longest silence.

    Raises:
        SilenceError: the reader was silent for that long and was cancelled.
    """
    loop = asyncio.get_running_loop()
    heard_at = loop.time()
    room: asyncio.Future | None = None

    def note(events: bytes) -> asyncio.Future | None:
        nonlocal heard_at, room
        heard_at = loop.time()
        room = sink(events)
        return room

    reading = asyncio.ensure_future(start(note))
    try:
        while True:
            if room is not None and not room.done():
                heard_at = loop.time()
            left = heard_at + seconds - loop.time()
            if left <= 0:
                raise SilenceError
            await asyncio.wait({reading}, timeout=left)
            if reading.done():
                return reading.result()
    finally:
        reading.cancel()
