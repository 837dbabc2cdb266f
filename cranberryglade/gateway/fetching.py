"""HTTP client for calls to the store and to peers."""

import asyncio
import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade.gateway import messages
from cranberryglade.gateway import outbound

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout of a connection attempt."""

MAX_IDLE_SECONDS = 5.0
"""Longest idle time after which a connection is used again."""

MAX_REPLY_BYTES = 16_777_216
"""Largest body of a reply."""


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """An HTTP request.

    Attributes:
        method: HTTP method.
        target: path and query.
        body: JSON body; empty for none.
        timeout_seconds: time until the reply must be whole.
    """

    method: str
    target: str
    body: bytes = b""
    timeout_seconds: float = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """A whole HTTP response.

    Attributes:
        status: HTTP status.
        body: the whole body.
        headers: all fields in order.
    """

    status: int
    body: bytes
    headers: list[messages.Header] = dataclasses.field(default_factory=list)


class Fetcher:
    """Makes calls to one address over pooled connections."""

    __slots__ = ("_address", "_pool")

    def __init__(self, address: str):
        self._address = address
        self._pool = outbound.Pool(address)

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    async def fetch(self, call: Call) -> Result[Reply, str]:
        """Makes a call; it is not retried.

        Args:
            call: the request.

        Returns:
            The reply, whatever its status; a failure is "timeout", the name
            of the error on connecting, or why the connection was lost.
        """
        channel = self._pool.take_idle(MAX_IDLE_SECONDS)
        try:
            async with asyncio.timeout(call.timeout_seconds):
                if channel is None:
                    channel = await self._pool.connect(CONNECT_TIMEOUT_SECONDS)
                    channel.enable_keepalive()
                result = await self._exchange(channel, call)
        except TimeoutError:
            result = Failure("timeout")
            # If connections have gone silent, those that rest have, too.
            self._pool.close()
        except OSError as error:
            return Failure(type(error).__name__)
        except asyncio.CancelledError:
            if channel is not None:
                channel.abort()
            raise
        match result:
            case Success(_):
                self._pool.put_back(channel)
            case Failure(_) if channel is not None:
                channel.abort()
        return result

    async def _exchange(
        self, channel: outbound.Channel, call: Call
    ) -> Result[Reply, str]:
        request = (
            f"{call.method} {call.target} HTTP/1.1\r\nHost: {self._address}\r\n"
        )
        if call.body:
            request += (
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(call.body)}\r\n"
            )
        channel.send(f"{request}\r\n".encode(), call.body)
        head = await channel.next_event()
        if isinstance(head, outbound.AnswerLost):
            return Failure(head.reason)
        match await channel.read_body(MAX_REPLY_BYTES):
            case outbound.AnswerLost(reason):
                return Failure(reason)
            case body:
                return Success(Reply(head.status, body, head.headers))
