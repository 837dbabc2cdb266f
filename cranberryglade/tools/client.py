"""HTTP client of the command line."""

from collections.abc import AsyncIterator
from collections.abc import Mapping
import dataclasses

import aiohttp
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import bodies
from cranberryglade import wire

CONNECT_TIMEOUT_SECONDS = 2.0
MAXIMUM_LINE_BYTES = 1_048_576


@dataclasses.dataclass(slots=True, frozen=True)
class FailedCall:
    """A call that got no reply.

    Attributes:
        address: "host:port" that was called.
        detail: class name of the error.
        sent: whether the instance may have received the call.
    """

    address: str
    detail: str
    sent: bool

    def __str__(self) -> str:
        seen = "it may have been received" if self.sent else "nothing was sent"
        return f"{self.address} did not answer: {self.detail}; {seen}"


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """An HTTP response.

    Attributes:
        status: HTTP status.
        body: the whole body; b"" if it is streamed.
    """

    status: int
    body: bytes


class Client:
    """Calls one instance over HTTP.

    Args:
        address: "host:port" of the instance.
        token: token of an organisation or an operator; "" for none.
    """

    __slots__ = ("_address", "_headers", "_session")

    def __init__(self, address: str, token: str = ""):
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            request_class=bodies.CheckedRequest,
            read_bufsize=MAXIMUM_LINE_BYTES,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
        )

    @property
    def address(self) -> str:
        """The "host:port" of the instance."""
        return self._address

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *_) -> None:
        await self._session.close()

    async def call(
        self,
        method: str,
        path: str,
        document: wire.Document | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_seconds: float | None = None,
    ) -> Result[Reply, FailedCall]:
        """Makes one call and returns its whole reply.

        Args:
            method: HTTP method.
            path: path of the URL, with any query.
            document: body of the call; None for no body.
            headers: headers in addition to the token.
            timeout_seconds: time for the whole reply; None for no limit.
        """
        try:
            async with self._session.request(
                method,
                self._url(path),
                data=None if document is None else wire.encode(document),
                headers={**self._headers, **(headers or {})},
                timeout=aiohttp.ClientTimeout(
                    total=timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS
                ),
            ) as response:
                return Success(Reply(response.status, await response.read()))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(self._unanswered(error))

    async def stream(
        self,
        method: str,
        path: str,
        document: wire.Document | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> AsyncIterator[Reply | bytes]:
        """Makes one call; yields its status with an empty body, then its lines.

        The arguments are those of call().

        Raises:
            ConnectionLostError: the connection was not established or
                ended early.
        """
        try:
            async with self._session.request(
                method,
                self._url(path),
                data=None if document is None else wire.encode(document),
                headers={**self._headers, **(headers or {})},
            ) as response:
                yield Reply(response.status, b"")
                async for line in response.content:
                    yield line
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ConnectionLostError(self._unanswered(error)) from error

    def _url(self, path: str) -> str:
        return f"http://{self._address}{path}"

    def _unanswered(self, error: Exception) -> FailedCall:
        sent = not isinstance(error, aiohttp.ClientConnectorError)
        return FailedCall(self._address, type(error).__name__, sent)


class ConnectionLostError(Exception):
    """A streamed reply did not begin or ended early.

    Attributes:
        failed_call: details of the call.
    """

    def __init__(self, unanswered: FailedCall):
        super().__init__(str(unanswered))
        self.failed_call = unanswered
