"""What the stages of the gateway tell each other about one request."""

import dataclasses
import enum

from cranberryglade.gateway import catalogue


@dataclasses.dataclass(slots=True, frozen=True)
class Header:
    """One header field as it was received."""

    name: bytes
    value: bytes


@dataclasses.dataclass(slots=True)
class Request:
    """A whole request of a caller, as read from its connection.

    Attributes:
        method: HTTP method.
        target: path and query, unchanged.
        headers: all fields in order.
        body: the whole body, decoded from chunks.
        chunked: whether the caller sent the body in chunks.
        keep_alive: whether the caller lets the connection stay open.
        arrived: when its last byte was read, seconds of the loop's clock.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    chunked: bool
    keep_alive: bool
    arrived: float


@dataclasses.dataclass(slots=True, frozen=True)
class Facts:
    """What the headers of a request say, decoded by the dialect.

    Attributes:
        id: names the submission in logs and at the endpoint.
        host: value of the Host header.
        path: path without the query.
        key: API key; "" if none.
        patience_seconds: how long the caller waits; None if it did not say.
        prompt_tokens: length of the prompt; 0 if it did not say.
        output_tokens: most tokens of the answer; 0 if it did not say.
        sized: whether it gave token counts at all.
        expected_tokens: the caller's guess at the length of the answer.
        last_event: id of the last event that the caller has; "" if none.
    """

    id: str
    host: str
    path: str
    key: str
    patience_seconds: float | None
    prompt_tokens: int
    output_tokens: int
    sized: bool
    expected_tokens: int
    last_event: str


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """An engine or plain service that takes requests.

    Attributes:
        id: its identity, which it checks in requests.
        service: the service that it belongs to.
        address: host and port.
        domain: its failure domain.
        slots: requests that it runs at once.
        leaving: whether it takes no new requests.
        born: start of its present life, milliseconds of Unix time.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool
    born: int


OVER_QUOTA = "over_quota"


class Outcome(enum.Enum):
    """How an attempt at an endpoint ended.

    Attributes:
        SERVED: a whole answer.
        FAILED: the endpoint ran it and answered with a failure.
        REFUSED: the endpoint said that it did not run it.
        UNREACHABLE: no connection was made, so nothing was sent.
        MISDIRECTED: another endpoint has the address; it did not run it.
        LOST: it was sent, and no whole answer came.
        ABANDONED: the caller left, or its time was over.
    """

    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    ABANDONED = "abandoned"

    @property
    def unsent(self) -> bool:
        """Whether it is certain that the endpoint did not run it."""
        return self in (
            Outcome.REFUSED,
            Outcome.UNREACHABLE,
            Outcome.MISDIRECTED,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Need:
    """What a request asks of an endpoint.

    Attributes:
        id: names the request among those of its instance.
        service: the service that shall run it.
        rank: urgency; 0 is the most urgent.
        kind: what of it may be repeated.
        prompt_tokens: length of the prompt; 0 for plain calls.
        output_tokens: expected length of the answer; 0 for plain calls.
        until: when waiting is no longer of use, seconds of the clock.
        aim: when it should have its first answer, seconds of the clock.
        avoid: endpoints that it was sent to already.
        organisation: whose quota it counts against; "" if none.
        cost: what it counts; 0 if it was counted before.
    """

    id: str
    service: str
    rank: int
    kind: catalogue.Kind
    prompt_tokens: int
    output_tokens: int
    until: float
    aim: float
    avoid: tuple[str, ...] = ()
    organisation: str = ""
    cost: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """A slot of an endpoint for one request."""

    id: str
    endpoint: str


@dataclasses.dataclass(slots=True, frozen=True)
class Denied:
    """No slot in time.

    Attributes:
        id: the request.
        reason: why, for logs.
        retry_after_seconds: when it is worth coming back.
        waiting: requests that waited when it was decided, for logs.
    """

    id: str
    reason: str
    retry_after_seconds: float
    waiting: int = 0


Decision = Granted | Denied
