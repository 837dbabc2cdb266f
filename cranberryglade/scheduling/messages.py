"""Events that enter the scheduler core and actions that leave it.

All times are seconds of the runtime's monotonic clock; all lengths are tokens.
"""

import dataclasses
import enum

from cranberryglade import decoding
from cranberryglade import verdicts


class EndpointKind(enum.Enum):
    """Type of back end behind an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointProcess:
    """One process of an endpoint.

    Attributes:
        endpoint: the platform's name of the endpoint.
        incarnation: id of the process behind the name.
    """

    endpoint: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """One back end that requests can be sent to.

    Attributes:
        name: the platform's name of the endpoint.
        incarnation: id of the process behind the name; a new process has a
            new one.
        address: "host:port".
        target: the model or service that it offers.
        failure_domain: the failure domain that it runs in.
        kind: engine or plain service.
        generation: hardware generation.
        slots: number of requests that it is built to run concurrently.
        fenced: whether it refuses orders with an old fencing number.
    """

    name: str
    incarnation: str
    address: str
    target: str
    failure_domain: str
    kind: EndpointKind = EndpointKind.ENGINE
    generation: str = "g1"
    slots: int = 8
    fenced: bool = False

    @property
    def process(self) -> EndpointProcess:
        """The process behind the name."""
        return EndpointProcess(self.name, self.incarnation)


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """The properties of a request that decisions use; excludes its body.

    Attributes:
        request_id: unique id, which includes the name of the home.
        organisation: the organisation that sends it and is charged for it.
        kind: name of the rule of the configuration that applies.
        target: the model or service requested.
        rank: rank of the tier; 0 is the highest.
        idempotent: whether it may be dispatched more than once.
        prompt_tokens: length of the prompt.
        output_tokens: upper bound of the answer's length.
        prefix: digest of the part of the prompt that requests share, or "".
        deadline: time by which the whole answer must have arrived.
        first_token_deadline: time by which its first token must have arrived.
        key: the caller's own idempotency key, or "".
        delegated: whether a peer delegated it and remains its home.
        weight: weight of the organisation when capacity is shared.
        streamed: whether the caller reads tokens as they arrive.
        fingerprint: digest of the request's content, or "".
    """

    request_id: str
    organisation: str
    kind: str
    target: str
    rank: int
    idempotent: bool
    prompt_tokens: int
    output_tokens: int
    prefix: str
    deadline: float
    first_token_deadline: float
    key: str = ""
    delegated: bool = False
    weight: float = 1.0
    streamed: bool = False
    fingerprint: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class TargetDigest:
    """Load of one target at one instance, as sent to its peers.

    Attributes:
        target: the model or service.
        free_slots: number of requests that it could dispatch immediately.
        waiting: number of requests in the queue.
        worst_rank: rank of the lowest tier in the queue, or -1 if it is empty.
        wait_seconds: expected wait of a new request of the highest tier.
        waits: expected wait in seconds by rank, from 0 on; the last applies
            to all lower tiers.
        rate: slot seconds of work completed per second.
    """

    target: str
    free_slots: int
    waiting: int
    worst_rank: int
    wait_seconds: float
    waits: tuple[float, ...] = ()
    rate: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Peer:
    """Another instance of the system, as last reported."""

    name: str
    incarnation: str
    address: str
    failure_domain: str

    @property
    def home(self) -> str:
        """The part of a request id that names this incarnation."""
        return f"{self.failure_domain}.{self.name}.{self.incarnation}"


def split_request_id(request_id: str) -> tuple[str, int]:
    """Returns the home and the sequence number in a request id.

    An id of another form gives "" and 0.

    >>> split_request_id("wien-a.entry-1.c0ffee.7.5167")
    ('wien-a.entry-1.c0ffee', 7)
    >>> split_request_id("r1")
    ('', 0)
    """
    parts = request_id.rsplit(".", 2)
    sequence = decoding.parse_count(parts[1]) if len(parts) == 3 else None
    return ("", 0) if sequence is None else (parts[0], sequence)


@dataclasses.dataclass(slots=True, frozen=True)
class Submitted:
    """A caller or a peer submitted a request."""

    request: Request


class ClaimOutcome(enum.Enum):
    """Outcome of the claim of a caller's key.

    Attributes:
        WON: the request holds the key.
        UNAVAILABLE: the platform did not settle the claim.
        LOST: another request with the same content holds the key.
        REUSED: a request with other content holds the key.
    """

    WON = "won"
    UNAVAILABLE = "unavailable"
    LOST = "lost"
    REUSED = "reused"


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimSettled:
    """The claim of a caller's key was settled.

    Attributes:
        request_id: the request that claimed the key.
        outcome: outcome of the claim.
        holder: id of the request that holds the key, or "" if unknown.
        version: version of the row that names the holder.
        retry_after_seconds: delay before the claim may be retried; 0 if the
            platform gave none.
    """

    request_id: str
    outcome: ClaimOutcome
    holder: str = ""
    version: int = 0
    retry_after_seconds: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Cancelled:
    """The caller cancelled the request."""

    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class FirstToken:
    """The first token of an attempt arrived."""

    request_id: str
    attempt: int


@dataclasses.dataclass(slots=True, frozen=True)
class Answered:
    """An attempt ended with its whole answer.

    Attributes:
        request_id: the request.
        attempt: number of the attempt, from 1 on.
        output_tokens: length of the answer.
    """

    request_id: str
    attempt: int
    output_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptFailed:
    """An attempt ended without its whole answer.

    Attributes:
        request_id: the request.
        attempt: number of the attempt, from 1 on.
        verdict: NotRun or MayHaveRun.
    """

    request_id: str
    attempt: int
    verdict: verdicts.Verdict


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointJoined:
    """A list of endpoints shows an endpoint as live."""

    endpoint: Endpoint


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLeaving:
    """An endpoint must get no new work.

    Attributes:
        name: the endpoint.
        incarnation: the process behind the name; "" for any.
        source: the source that reported it.
    """

    name: str
    incarnation: str
    source: str


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointGone:
    """An endpoint no longer exists."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointReachability:
    """An endpoint became reachable for this instance, or unreachable.

    Attributes:
        name: the endpoint.
        incarnation: the process behind the name.
        is_reachable: whether it is reachable.
    """

    name: str
    incarnation: str
    is_reachable: bool


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReported:
    """An engine reported its load, with a delay.

    Attributes:
        name: the endpoint.
        running: number of requests in its batch.
        waiting: number of requests that it accepted but does not run yet.
        age_seconds: age of the figures.
    """

    name: str
    running: int
    waiting: int
    age_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class CacheReported:
    """An engine reported that it caches a prefix or has evicted it."""

    name: str
    prefix: str
    cached: bool


@dataclasses.dataclass(slots=True, frozen=True)
class PeerReported:
    """A peer is live and reported its load.

    Attributes:
        peer: the peer.
        digests: one digest of its load for each target.
        owner: whether it can own endpoints; not while it stops.
    """

    peer: Peer
    digests: tuple[TargetDigest, ...]
    owner: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class PeerGone:
    """A peer is unreachable or has left."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class LostAttempt:
    """An attempt that ran at an endpoint when it crashed.

    Attributes:
        part: what it has in common with others, as in `crash_evidence`; an
            attempt with several parts is reported once for each.
        running_seconds: how long it had run.
    """

    part: str
    running_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class CrashReported:
    """A peer reported that an endpoint crashed.

    Attributes:
        process: the process that ended.
        attempts: the attempts that ran there.
        age_seconds: time since the crash.
    """

    process: EndpointProcess
    attempts: tuple[LostAttempt, ...]
    age_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineReported:
    """A peer reported a quarantine of prefixes.

    Attributes:
        prefixes: the prefixes; requests with all of them are refused.
        remaining_seconds: time until it ends.
        generation: rises each time the same prefixes are quarantined.
        lifted: whether it was ended early.
    """

    prefixes: tuple[str, ...]
    remaining_seconds: float
    generation: int
    lifted: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed and no other event has occurred."""


@dataclasses.dataclass(slots=True, frozen=True)
class StopRequested:
    """The instance must stop gracefully."""


@dataclasses.dataclass(slots=True, frozen=True)
class CutRequested:
    """The instance must stop immediately: every request gets its verdict."""


Event = (
    Submitted
    | ClaimSettled
    | Cancelled
    | FirstToken
    | Answered
    | AttemptFailed
    | EndpointJoined
    | EndpointLeaving
    | EndpointGone
    | EndpointReachability
    | LoadReported
    | CacheReported
    | PeerReported
    | PeerGone
    | CrashReported
    | QuarantineReported
    | Tick
    | StopRequested
    | CutRequested
)


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """Claim the caller's key at the platform and report ClaimSettled.

    Attributes:
        request_id: the request that claims the key.
        organisation: the organisation that the key belongs to.
        key: the caller's own idempotency key.
        fingerprint: digest of the request's content.
        expected_version: version of the row to replace; 0 to insert one.
    """

    request_id: str
    organisation: str
    key: str
    fingerprint: str = ""
    expected_version: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class AttachCaller:
    """Attach the caller to a request that this instance already has.

    Attributes:
        request_id: the id under which it was first submitted.
        verdict: its verdict; None while it is not final.
    """

    request_id: str
    verdict: verdicts.Verdict | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Reject:
    """Refuse a submission without changing the request of the same id."""

    request_id: str
    verdict: verdicts.NotRun


@dataclasses.dataclass(slots=True, frozen=True)
class Dispatch:
    """Send the request to an endpoint."""

    request_id: str
    attempt: int
    endpoint: Endpoint


@dataclasses.dataclass(slots=True, frozen=True)
class Delegate:
    """Delegate the request to a peer; this instance remains its home."""

    request_id: str
    attempt: int
    peer: Peer


@dataclasses.dataclass(slots=True, frozen=True)
class Relay:
    """Get the answer from the home of the request that holds the key."""

    request_id: str
    attempt: int
    holder: str


@dataclasses.dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt whose answer is no longer needed.

    Attributes:
        request_id: the request.
        attempt: number of the attempt, from 1 on.
        endpoint: the endpoint that it was dispatched to, or None.
        peer: the peer that it was delegated to, or None.
    """

    request_id: str
    attempt: int
    endpoint: Endpoint | None = None
    peer: Peer | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class NotifyPeers:
    """Exchange messages with the peers of the failure domain at once."""


@dataclasses.dataclass(slots=True, frozen=True)
class Finish:
    """Send the caller the final verdict."""

    request_id: str
    verdict: verdicts.Verdict


@dataclasses.dataclass(slots=True, frozen=True)
class Measure:
    """One number that a decision compared.

    Attributes:
        name: name of the quantity, including its unit.
        value: the number.
    """

    name: str
    value: float


@dataclasses.dataclass(slots=True, frozen=True)
class Fact:
    """One decision and the reason for it.

    Attributes:
        at: time of the decision, in seconds of the runtime's clock.
        request_id: the request, or "" for a decision about no request.
        decision: name of the decision.
        reason: reason for the decision.
        subject: endpoint or peer concerned, or "".
        measures: the numbers compared.
    """

    at: float
    request_id: str
    decision: str
    reason: str
    subject: str = ""
    measures: tuple[Measure, ...] = ()


Action = (
    Claim
    | AttachCaller
    | Reject
    | Dispatch
    | Delegate
    | Relay
    | CancelAttempt
    | NotifyPeers
    | Finish
    | Fact
)
