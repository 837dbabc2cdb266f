"""Talks to the other instances: digests, delegated and forwarded requests."""

import dataclasses
import hashlib
import hmac
from typing import TypeVar

import aiohttp
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import bodies
from cranberryglade import silence
from cranberryglade import streams
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import answers
from cranberryglade.scheduling import messages

T = TypeVar("T")

CONNECT_TIMEOUT_SECONDS = 0.5
LOOKUP_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
SILENCE_MARGIN_SECONDS = 10.0
SIGNATURE_HEADER = "X-Peer-Signature"
STATUS_OTHER_PROCESS = 401
REPLACED = verdicts.NotRun(verdicts.Reason.CONNECTION_REFUSED, 0.1)
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


@dataclasses.dataclass(slots=True, frozen=True)
class Found:
    """A peer's answer about a request: HTTP status and JSON."""

    status: int
    body: bytes


class PeerKey:
    """Signs messages between instances and checks their signatures.

    A signature is bound to the incarnation of the receiver or, for an answer,
    to the signature of the request, so that a message that was recorded and
    is sent again later is refused.

    >>> key = PeerKey(b"0" * 16)
    >>> signature = key.sign("/v1/peer/digest", b"{}", "i1")
    >>> key.check(signature, "/v1/peer/digest", b"{}", "i1")
    True
    >>> key.check(signature, "/v1/peer/digest", b"{}", "i2")
    False
    """

    __slots__ = ("_key",)

    def __init__(self, key: bytes):
        self._key = key

    def sign(self, path: str, body: bytes, bound: str = "") -> str:
        """Returns the signature of a message."""
        signed = f"{path}\n{bound}\n".encode() + body
        return hmac.new(self._key, signed, hashlib.sha256).hexdigest()

    def check(
        self, signature: str, path: str, body: bytes, bound: str = ""
    ) -> bool:
        """Tells whether an instance that has the key sent the message."""
        expected = self.sign(path, body, bound).encode()
        given = signature.encode(errors="replace")
        return hmac.compare_digest(expected, given)


@dataclasses.dataclass(slots=True, frozen=True)
class _Answer:
    body: bytes
    signature: str


class PeerClient:
    """One HTTP client for all peers."""

    __slots__ = ("_key", "_probe_timeout", "_session")

    def __init__(self, key: PeerKey, probe_timeout_seconds: float):
        self._key = key
        self._probe_timeout = aiohttp.ClientTimeout(total=probe_timeout_seconds)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            request_class=bodies.Request,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def call(
        self, address: str, incarnation: str, path: str, body: bytes
    ) -> Result[bytes, str]:
        """Sends a short message and returns the body of the answer.

        Args:
            address: where to send it.
            incarnation: the process meant; "" if that is not known.
            path: path of the interface for peers.
            body: the message.
        """
        signature = self._key.sign(path, body, incarnation)
        match await self._post(address, path, body, signature):
            case Success(answer):
                is_genuine = self._key.check(
                    answer.signature, path, answer.body, signature
                )
                if is_genuine:
                    return Success(answer.body)
                return Failure("signature of the answer")
            case Failure(error):
                return Failure(error)

    async def ask(
        self,
        peer: messages.Peer,
        path: str,
        document: wire.Document,
        kind: type[T],
    ) -> Result[T, str]:
        """Makes one short call to a peer and reads its answer."""
        answer = await self.call(
            peer.address, peer.incarnation, path, wire.encode(document)
        )
        return answer.bind(lambda data: wire.decode(data, kind))

    async def _post(
        self, address: str, path: str, body: bytes, signature: str
    ) -> Result[_Answer, str]:
        try:
            async with self._session.post(
                f"http://{address}{path}",
                data=body,
                headers={SIGNATURE_HEADER: signature},
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=self._probe_timeout,
            ) as response:
                data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(type(error).__name__)
        if response.status != 200:
            return Failure(f"status {response.status}")
        return Success(
            _Answer(data, response.headers.get(SIGNATURE_HEADER, ""))
        )

    async def look_up(
        self, peer: messages.Peer, asked: wire.LookupDocument
    ) -> Result[Found, str]:
        """Asks a peer about a request, or to cancel it."""
        path = "/v1/peer/lookups"
        body = wire.encode(asked)
        try:
            async with self._session.post(
                f"http://{peer.address}{path}",
                data=body,
                headers=self._headers(path, body, peer.incarnation),
                timeout=LOOKUP_TIMEOUT,
            ) as response:
                data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(type(error).__name__)
        if response.status == STATUS_OTHER_PROCESS:
            return Failure("another process")
        return Success(Found(response.status, data))

    async def delegate(
        self,
        peer: messages.Peer,
        request: wire.DelegatedRequest,
        headers: dict[str, str],
        sink: streams.Sink,
    ) -> streams.Ending:
        """Has a peer run a request of which this instance is the home."""
        ending = await self._send(
            peer, "/v1/peer/requests", request, headers, sink
        )
        match ending:
            case verdicts.NotRun(reason=verdicts.Reason.UNAUTHENTICATED):
                return REPLACED
            case _:
                return ending

    async def forward(
        self,
        peer: messages.Peer,
        request: wire.DelegatedRequest,
        headers: dict[str, str],
        sink: streams.Sink,
    ) -> streams.Ending:
        """Brings a caller's request to its home."""
        return await self._send(
            peer, "/v1/peer/submissions", request, headers, sink
        )

    async def _send(self, peer, path, request, headers, sink):
        body = wire.encode(request)
        bound = max(0, request.remaining_ms) / 1000 + SILENCE_MARGIN_SECONDS
        try:
            return await silence.bounded(
                lambda heard: streams.read(
                    self._session,
                    "POST",
                    f"http://{peer.address}{path}",
                    body,
                    {**headers, **self._headers(path, body, peer.incarnation)},
                    answers.AnswerCheck(request.request_id),
                    heard,
                ),
                sink,
                bound,
            )
        except silence.SilenceError:
            return verdicts.MayHaveRun(verdicts.Reason.PEER_LOST)

    def _headers(
        self, path: str, body: bytes, incarnation: str
    ) -> dict[str, str]:
        return {
            SIGNATURE_HEADER: self._key.sign(path, body, incarnation),
            "Content-Type": "application/json",
        }
