"""Data that the stages of request handling pass to each other."""

import dataclasses
import enum

from cranberryglade.gateway import configuration

HEAD = b"HEAD"
"""The method whose answers have no body."""


@dataclasses.dataclass(slots=True, frozen=True)
class Header:
    """One header field as it was received."""

    name: bytes
    value: bytes


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request from a caller, as read from its connection.

    Attributes:
        method: HTTP method.
        target: path and query, unchanged.
        headers: all header fields in order.
        body: the complete body, decoded from chunks.
        chunked: whether the caller sent the body in chunks.
        keep_alive: whether the caller allows the connection to stay open.
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
class RequestMetadata:
    """Header fields of a request, as decoded by the dialect.

    Attributes:
        id: identifies the request in logs and at the endpoint.
        host: value of the Host header.
        path: path without the query.
        key: API key; "" if none.
        caller_timeout_seconds: timeout of the caller; None if not given.
        prompt_tokens: length of the prompt; 0 if not given.
        output_tokens: maximum length of the answer; 0 if not given.
        has_token_counts: whether token counts were given.
        expected_tokens: the caller's estimate of the length of the answer.
        last_event_id: id of the last event that the caller received; "" if
            none.
        resumed_attempt: id of the earlier attempt that brought the first event
            of the stream that the caller resumes; "" if none.
        prompt_parts: ids of the parts of the prompt that other requests may
            share, in order; without its last part.
        own_prompt_part: id of the last part of the prompt, which belongs to
            the request or its session; "" if there is none.
    """

    id: str
    host: str
    path: str
    key: str
    caller_timeout_seconds: float | None
    prompt_tokens: int
    output_tokens: int
    has_token_counts: bool
    expected_tokens: int
    last_event_id: str
    resumed_attempt: str
    prompt_parts: tuple[str, ...] = ()
    own_prompt_part: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointProcess:
    """One process of an endpoint.

    Attributes:
        endpoint: id of the endpoint.
        started_ms: when the process started, milliseconds of Unix time.
    """

    endpoint: str
    started_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """A process that runs requests: an engine or a plain service.

    Attributes:
        id: its id, which it compares with the one in each request.
        service: the service that it belongs to.
        address: host and port.
        domain: its failure domain.
        slots: number of requests that it runs at once.
        leaving: whether it accepts no new requests.
        started_ms: when its current process started, milliseconds of Unix time.
        software_version: version of its software; "" if it states none.
            Versions have no order.
        report_number: number of its report in the list of endpoints; starts
            anew with its process.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool
    started_ms: int
    software_version: str
    report_number: int = dataclasses.field(default=0, compare=False)

    @property
    def process(self) -> EndpointProcess:
        """Its current process."""
        return EndpointProcess(self.id, self.started_ms)


UNKNOWN_VERSION = "\0"
"""Software version of an origin that will not become known; no endpoint has
it."""


@dataclasses.dataclass(slots=True, frozen=True)
class StreamOrigin:
    """What began a stream; only endpoints of the same kind may continue it.

    The events of different services, or of different software versions of one
    service, do not fit together.

    Attributes:
        service: the service that the stream's first event came from.
        software_version: software version of the endpoint that sent it;
            UNKNOWN_VERSION if another process than the listed one may have.
    """

    service: str
    software_version: str

    @property
    def is_known(self) -> bool:
        """Whether the version is known."""
        return self.software_version != UNKNOWN_VERSION

    def admits(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint may continue the stream."""
        return (
            endpoint.service == self.service
            and endpoint.software_version == self.software_version
        )


HEDGE_RANK = 2**31 - 1
"""Rank of the slot requests of hedges: all that wait for a slot go first."""

OVER_QUOTA = "over_quota"
QUARANTINED = "quarantined"
ORIGIN_UNKNOWN = "origin_unknown"

HEDGES_USED_UP = "hedges_used_up"
"""Reason of the denial of a hedge beyond the service's common share."""

NO_ROOM = frozenset(("hopeless", "unreachable", "waited"))
"""Reasons of denials that pass: there are endpoints, but no slot for now."""


class Outcome(enum.Enum):
    """How an attempt at an endpoint ended.

    Attributes:
        SERVED: the endpoint gave a complete answer.
        FAILED: the endpoint ran the request and answered with a failure.
        REFUSED: the endpoint answered that it did not run the request.
        OVERLOADED: as REFUSED, and the endpoint states that it fails if it has
            to refuse requests often.
        UNREACHABLE: no connection was made, so nothing was sent.
        MISDIRECTED: another endpoint has the address and did not run it.
        LOST: the request was sent, and no complete answer arrived.
        CRASHED: as LOST, and the endpoint's process has ended.
        ABANDONED: the caller disconnected, or the timeout passed.
    """

    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"
    OVERLOADED = "overloaded"
    UNREACHABLE = "unreachable"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    CRASHED = "crashed"
    ABANDONED = "abandoned"

    @property
    def not_run(self) -> bool:
        """Whether the endpoint certainly did not run the request."""
        return self in (
            Outcome.REFUSED,
            Outcome.OVERLOADED,
            Outcome.UNREACHABLE,
            Outcome.MISDIRECTED,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class SlotRequest:
    """A request for a slot of an endpoint.

    Times are seconds of the loop's clock.

    Attributes:
        id: id of the request, unique among all instances.
        service: the service that runs it.
        rank: urgency; 0 is the most urgent.
        kind: how often it may run, and the form of its answer.
        prompt_tokens: length of the prompt; 0 for plain calls.
        output_tokens: expected length of the answer; 0 for plain calls.
        wait_until: time after which it no longer waits for a slot.
        first_answer_due: target time of its first answer.
        excluded_endpoints: endpoints that it was already sent to.
        organisation: organisation whose quota is charged; "" if none.
        cost: charge to the quota; 0 if it was charged before.
        software_version: the only version that may run it, as it resumes a
            stream; None for any.
        parts: what it has in common with other requests, as in
            `crash_evidence`.
        yields: whether it may be asked to yield its slot.
        takes_common_hedge: whether it is that of a hedge which the allocator's
            share is to cover; not sent, as the allocator covers all of them.
    """

    id: str
    service: str
    rank: int
    kind: configuration.Kind
    prompt_tokens: int
    output_tokens: int
    wait_until: float
    first_answer_due: float
    excluded_endpoints: tuple[str, ...] = ()
    organisation: str = ""
    cost: float = 0.0
    software_version: str | None = None
    parts: tuple[str, ...] = ()
    yields: bool = False
    takes_common_hedge: bool = False

    def may_run_at(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint of its service may run it."""
        return endpoint.id not in self.excluded_endpoints and (
            self.software_version in (None, endpoint.software_version)
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """A grant of a slot to one request.

    Attributes:
        id: id of the request.
        endpoint: id of the endpoint.
        late_after_seconds: time from which on its answer is late, and is hedged
            from the share that the allocator holds; None if the allocator tells
            none.
    """

    id: str
    endpoint: str
    late_after_seconds: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Denied:
    """A denial of a slot.

    Attributes:
        id: id of the request.
        reason: why, for logs.
        retry_after_seconds: time after which a retry may succeed.
        waiting: length of the queue at the decision, for logs.
    """

    id: str
    reason: str
    retry_after_seconds: float
    waiting: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Preempted:
    """A running request that is asked to yield its slot.

    Attributes:
        id: id of the request.
        endpoint: id of the endpoint that runs it.
    """

    id: str
    endpoint: str


Decision = Granted | Denied
