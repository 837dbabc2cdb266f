"""Idle timeout for reading an answer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

Sink = Callable[[bytes], asyncio.Future | None]
T = TypeVar("T")


class IdleTimeoutError(TimeoutError):
    """Nothing arrived within the idle timeout."""


async def run_with_idle_timeout(
    start: Callable[[Sink], Awaitable[T]], sink: Sink, seconds: float
) -> T:
    """Runs a reader until it ends or its idle timeout expires.

    Args:
        start: starts the reader, which passes the bytes it receives to the
            sink that is its argument.
        sink: receives these bytes. It may return a future; until that is
            done, the reader is expected to pause, and the idle timeout does
            not run.
        seconds: the idle timeout.

    Returns:
        The result of the reader. The reader is cancelled if this call is
        cancelled.

    Raises:
        IdleTimeoutError: nothing arrived for `seconds`; the reader was
            cancelled.
    """
    loop = asyncio.get_running_loop()
    last_received_at = loop.time()
    backpressure: asyncio.Future | None = None

    def forward(events: bytes) -> asyncio.Future | None:
        nonlocal last_received_at, backpressure
        last_received_at = loop.time()
        backpressure = sink(events)
        return backpressure

    reader = asyncio.ensure_future(start(forward))
    try:
        while True:
            if backpressure is not None and not backpressure.done():
                last_received_at = loop.time()
            remaining = last_received_at + seconds - loop.time()
            if remaining <= 0:
                raise IdleTimeoutError
            await asyncio.wait({reader}, timeout=remaining)
            if reader.done():
                return reader.result()
    finally:
        reader.cancel()
