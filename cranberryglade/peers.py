"""Client for the other instances: signed calls, delegation, forwarding."""

import dataclasses
import hashlib
import hmac
from typing import TypeVar

import aiohttp
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import bodies
from cranberryglade import idle_timeout
from cranberryglade import limited_reading
from cranberryglade import streams
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import answers
from cranberryglade.scheduling import messages

T = TypeVar("T")

CONNECT_TIMEOUT_SECONDS = 0.5
MAX_REPLY_BYTES = 8_388_608
"""Largest reply of a peer other than a stream."""

LOOKUP_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
IDLE_TIMEOUT_MARGIN_SECONDS = 10.0
SIGNATURE_HEADER = "X-Peer-Signature"
STATUS_OTHER_INCARNATION = 401
PEER_REPLACED = verdicts.NotRun(verdicts.Reason.CONNECTION_REFUSED, 0.1)
OMITTED_DEFAULT_HEADERS = (
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "User-Agent",
)


@dataclasses.dataclass(slots=True, frozen=True)
class LookupReply:
    """A peer's response to a lookup.

    Attributes:
        status: HTTP status.
        body: JSON of the response.
    """

    status: int
    body: bytes


class PeerKey:
    """Signs messages between instances and checks their signatures.

    A signature is bound to the incarnation of the receiver or, for an answer,
    to the signature of the request. A recorded message that is sent again is
    therefore refused by a later process, and a recorded answer is refused for
    another request.

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

    def sign(self, path: str, body: bytes, bound_to: str = "") -> str:
        """Returns the signature of a message in hexadecimal.

        Args:
            path: path that the message is sent to.
            body: the message.
            bound_to: incarnation of the receiver, or signature of the request
                for an answer; "" if the incarnation is not known.
        """
        signed = f"{path}\n{bound_to}\n".encode() + body
        return hmac.new(self._key, signed, hashlib.sha256).hexdigest()

    def check(
        self, signature: str, path: str, body: bytes, bound_to: str = ""
    ) -> bool:
        """Returns whether a message was signed with this key.

        Args:
            signature: the signature that came with the message.
            path: path that the message was sent to.
            body: the message.
            bound_to: what the signature must be bound to, as for `sign`.
        """
        expected = self.sign(path, body, bound_to).encode()
        received = signature.encode(errors="replace")
        return hmac.compare_digest(expected, received)


@dataclasses.dataclass(slots=True, frozen=True)
class _SignedAnswer:
    body: bytes
    signature: str


class PeerClient:
    """HTTP client that all peers share."""

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
        """Posts a message to a peer and checks the signature of the answer.

        Args:
            address: "host:port" of the peer.
            incarnation: incarnation of the peer; "" if it is not known.
            path: path of the interface for peers.
            body: the message.

        Returns:
            The body of the answer, or the reason of the failure: the name of
            the exception, the status, or a wrong signature.
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

    async def call_decoded(
        self,
        peer: messages.Peer,
        path: str,
        document: wire.Document,
        document_type: type[T],
    ) -> Result[T, str]:
        """Sends a document to a peer and decodes the document in its answer.

        Args:
            peer: the peer.
            path: path of the interface for peers.
            document: the document to send.
            document_type: type of the document in the answer.

        Returns:
            The document, or the reason of the failure as a text.
        """
        answer = await self.call(
            peer.address, peer.incarnation, path, wire.encode(document)
        )
        return answer.bind(lambda data: wire.decode(data, document_type))

    async def _post(
        self, address: str, path: str, body: bytes, signature: str
    ) -> Result[_SignedAnswer, str]:
        try:
            async with self._session.post(
                f"http://{address}{path}",
                data=body,
                headers={SIGNATURE_HEADER: signature},
                skip_auto_headers=OMITTED_DEFAULT_HEADERS,
                timeout=self._probe_timeout,
            ) as response:
                data = await limited_reading.read_body(
                    response, MAX_REPLY_BYTES
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(type(error).__name__)
        if response.status != 200:
            return Failure(f"status {response.status}")
        return Success(
            _SignedAnswer(data, response.headers.get(SIGNATURE_HEADER, ""))
        )

    async def look_up(
        self, peer: messages.Peer, lookup: wire.LookupDocument
    ) -> Result[LookupReply, str]:
        """Looks up a request at a peer, or cancels it there.

        Args:
            peer: the peer.
            lookup: the request, and whether to cancel it.

        Returns:
            The peer's response, or the reason why there is none: the name of
            the exception, or "another process" if the address now belongs to
            another incarnation.
        """
        path = "/v1/peer/lookups"
        body = wire.encode(lookup)
        try:
            async with self._session.post(
                f"http://{peer.address}{path}",
                data=body,
                headers=self._headers(path, body, peer.incarnation),
                timeout=LOOKUP_TIMEOUT,
            ) as response:
                data = await limited_reading.read_body(
                    response, MAX_REPLY_BYTES
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(type(error).__name__)
        if response.status == STATUS_OTHER_INCARNATION:
            return Failure("another process")
        return Success(LookupReply(response.status, data))

    async def delegate(
        self,
        peer: messages.Peer,
        request: wire.DelegatedRequest,
        headers: dict[str, str],
        sink: streams.Sink,
    ) -> streams.Outcome:
        """Delegates a request whose home is this instance to a peer.

        Args:
            peer: the peer that dispatches the request.
            request: the request.
            headers: additional HTTP headers.
            sink: receives the token events.

        Returns:
            The outcome. If the peer's process has been replaced, the request
            counts as not sent (connection refused).
        """
        outcome = await self._send(
            peer, "/v1/peer/requests", request, headers, sink
        )
        match outcome:
            case verdicts.NotRun(reason=verdicts.Reason.UNAUTHENTICATED):
                return PEER_REPLACED
            case _:
                return outcome

    async def forward(
        self,
        peer: messages.Peer,
        request: wire.DelegatedRequest,
        headers: dict[str, str],
        sink: streams.Sink,
    ) -> streams.Outcome:
        """Forwards a caller's request to its home.

        Args:
            peer: the home.
            request: the request.
            headers: additional HTTP headers.
            sink: receives the token events.

        Returns:
            The outcome. If the home's process has been replaced, the request
            was not run (unauthenticated).
        """
        return await self._send(
            peer, "/v1/peer/submissions", request, headers, sink
        )

    async def _send(self, peer, path, request, headers, sink):
        body = wire.encode(request)
        timeout_seconds = (
            max(0, request.remaining_ms) / 1000 + IDLE_TIMEOUT_MARGIN_SECONDS
        )
        try:
            return await idle_timeout.run_with_idle_timeout(
                lambda monitored_sink: streams.read(
                    self._session,
                    "POST",
                    f"http://{peer.address}{path}",
                    body,
                    {**headers, **self._headers(path, body, peer.incarnation)},
                    answers.AnswerCheck(request.request_id),
                    monitored_sink,
                    # A peer that cannot read a request cannot name it.
                    trusts_unnamed_refusals=True,
                ),
                sink,
                timeout_seconds,
            )
        except idle_timeout.IdleTimeoutError:
            return verdicts.MayHaveRun(verdicts.Reason.PEER_LOST)

    def _headers(
        self, path: str, body: bytes, incarnation: str
    ) -> dict[str, str]:
        return {
            SIGNATURE_HEADER: self._key.sign(path, body, incarnation),
            "Content-Type": "application/json",
        }
