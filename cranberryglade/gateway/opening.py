"""Opens a connection in several ways; the first to succeed is used."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import Generic
from typing import Protocol
from typing import TypeVar


class Abortable(Protocol):
    """A connection."""

    def abort(self) -> None:
        """Closes the connection at once."""


Connection = TypeVar("Connection", bound=Abortable)


@dataclasses.dataclass(slots=True, frozen=True)
class Opened(Generic[Connection]):
    """A connection that was opened.

    Attributes:
        connection: the connection.
        position: which of the ways led to it, from 0.
    """

    connection: Connection
    position: int


async def open_first(
    openers: Sequence[Callable[[], Awaitable[Connection]]],
    delay_seconds: float,
) -> Opened[Connection]:
    """Opens a connection in the first way that succeeds.

    The next way is tried when all before have failed, or after a delay, beside
    them. Connections that are not used are closed.

    Args:
        openers: open the connection, in the order in which they are tried; at
            least one.
        delay_seconds: time that a way has before the next one is tried, too.

    Raises:
        OSError: if all fail; the failure of the first.
    """
    attempts: list[asyncio.Task[Connection]] = []
    opened: Opened[Connection] | None = None
    try:
        for number, opener in enumerate(openers, 1):
            attempts.append(asyncio.ensure_future(opener()))
            is_last = number == len(openers)
            seconds = None if is_last else delay_seconds
            opened = await _wait_for_first(attempts, seconds)
            if opened is not None:
                return opened
        return Opened(attempts[0].result(), 0)
    finally:
        for attempt in attempts:
            _discard(attempt, opened)


async def _wait_for_first(
    attempts: list[asyncio.Task[Connection]], seconds: float | None
) -> Opened[Connection] | None:
    """Waits for the first of several attempts that succeeds.

    Args:
        attempts: the attempts; earlier ones precede later ones.
        seconds: timeout; None to wait until all have ended.

    Returns:
        Its connection; None if there is none in time.
    """
    try:
        async with asyncio.timeout(seconds):
            while True:
                for position, attempt in enumerate(attempts):
                    if _succeeded(attempt):
                        return Opened(attempt.result(), position)
                waiting = [each for each in attempts if not each.done()]
                if not waiting:
                    return None
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    except TimeoutError:
        return None


def _succeeded(attempt: asyncio.Task[Connection]) -> bool:
    return attempt.done() and attempt.exception() is None


def _discard(
    attempt: asyncio.Task[Connection], opened: Opened[Connection] | None
) -> None:
    """Ends an attempt, unless its connection is used."""
    if not attempt.done():
        attempt.cancel()
    elif _succeeded(attempt):
        connection = attempt.result()
        if opened is None or connection is not opened.connection:
            connection.abort()
