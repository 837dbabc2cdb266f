"""Events that enter the scheduler core and actions that leave it.

All times are seconds of the runtime's monotonic clock; all lengths are tokens.
"""

import dataclasses
import enum

from cranberryglade import verdicts


class EndpointKind(enum.Enum):
    """What stands behind an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """One back end that requests can be sent to.

    Attributes:
        name: the platform's name of the endpoint.
        incarnation: changes whenever the process behind the name is new.
        address: "host:port".
        target: the model or service it offers.
        failure_domain: where it runs.
        kind: engine or plain service.
        generation: hardware generation.
        slots: how many requests it is built to run at once.
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


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """What the decisions need to know of a request; the body stays outside.

    Attributes:
        request_id: names the home and is unique.
        organisation: who asks and is charged its share.
        kind: the rule of the configuration that applies.
        target: the model or service wanted.
        rank: rank of the tier; 0 is the highest.
        idempotent: whether it may be dispatched more than once.
        prompt_tokens: length of the prompt.
        output_tokens: upper bound of the answer's length.
        prefix: digest of the part of the prompt that requests share, or "".
        deadline: when the whole answer must be there.
        first_token_deadline: when its first token must be there.
        key: the caller's own idempotency key, or "".
        delegated: handed over by a peer, which remains the home.
        weight: of the organisation, when capacity is shared.
        streamed: the caller reads tokens as they come.
        fingerprint: digest of what is asked, or "".
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
    """What a peer says about one target.

    Attributes:
        target: the model or service.
        free_slots: dispatches it could make at once.
        waiting: requests queued.
        worst_rank: rank of the lowest tier that waits, or -1.
        wait_seconds: expected wait of a new request of the highest tier.
        waits: the same for each rank from 0 on; the last holds for all lower.
        rate: slot seconds of work that it gets done in a second.
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
    """Another instance of the system, as last heard of."""

    name: str
    incarnation: str
    address: str
    failure_domain: str

    @property
    def home(self) -> str:
        """The part of a request id that names this incarnation."""
        return f"{self.failure_domain}.{self.name}.{self.incarnation}"


def split_id(request_id: str) -> tuple[str, int]:
    """Returns the home and the sequence number that a request id names.

    >>> split_id("wien-a.entry-1.c0ffee.7.5167")
    ('wien-a.entry-1.c0ffee', 7)
    >>> split_id("r1")
    ('', 0)
    """
    parts = request_id.rsplit(".", 2)
    if len(parts) != 3 or not parts[1].isdecimal():
        return "", 0
    return parts[0], int(parts[1])


@dataclasses.dataclass(slots=True, frozen=True)
class Submitted:
    """A caller or a peer brought a request."""

    request: Request


class ClaimOutcome(enum.Enum):
    """What became of the claim of a caller's key."""

    WON = "won"
    UNAVAILABLE = "unavailable"
    LOST = "lost"
    REUSED = "reused"


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimSettled:
    """The platform answered a claim.

    Attributes:
        request_id: the request that claimed.
        outcome: what became of the claim.
        holder: the request that holds the key, or "" if that is not known.
        version: version of the row that names the holder.
        retry_after_seconds: when the platform may be asked again.
    """

    request_id: str
    outcome: ClaimOutcome
    holder: str = ""
    version: int = 0
    retry_after_seconds: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Cancelled:
    """The caller no longer wants the request."""

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
        attempt: which dispatch of it.
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
        attempt: which dispatch of it.
        verdict: NotRun or MayHaveRun.
    """

    request_id: str
    attempt: int
    verdict: verdicts.Verdict


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointJoined:
    """An endpoint is live."""

    endpoint: Endpoint


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLeaving:
    """An endpoint must get no new work.

    Attributes:
        name: the endpoint.
        incarnation: which process behind the name; "" for any.
        sign: which source said so.
    """

    name: str
    incarnation: str
    sign: str


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointGone:
    """An endpoint no longer exists."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointHeard:
    """An endpoint answered this instance, or has been silent for too long.

    Attributes:
        name: the endpoint.
        incarnation: which process behind the name.
        answers: whether it answers.
    """

    name: str
    incarnation: str
    answers: bool


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReported:
    """A stale report of an engine's load.

    Attributes:
        name: the endpoint.
        running: requests in its batch.
        waiting: requests it let in but does not run yet.
        age_seconds: how old the figures are.
    """

    name: str
    running: int
    waiting: int
    age_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class CacheReported:
    """An engine says that it holds or has dropped a prefix."""

    name: str
    prefix: str
    held: bool


@dataclasses.dataclass(slots=True, frozen=True)
class PeerReported:
    """A peer is live and says what it could take on.

    Attributes:
        peer: which one.
        digests: load by target.
        feeds: whether it feeds endpoints; not while it stops.
    """

    peer: Peer
    digests: tuple[TargetDigest, ...]
    feeds: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class PeerGone:
    """A peer is not reachable or has left."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; nothing else happened."""


@dataclasses.dataclass(slots=True, frozen=True)
class StopRequested:
    """The instance is to stop gracefully."""


@dataclasses.dataclass(slots=True, frozen=True)
class CutRequested:
    """The instance is to stop at once: every request gets its verdict."""


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
    | EndpointHeard
    | LoadReported
    | CacheReported
    | PeerReported
    | PeerGone
    | Tick
    | StopRequested
    | CutRequested
)


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """Claim the caller's key at the platform, then report ClaimSettled.

    Attributes:
        request_id: the request that is to hold the key.
        organisation: whose key it is.
        key: the caller's own idempotency key.
        fingerprint: digest of what is asked.
        expected_version: version of the row to replace; 0 to insert one.
    """

    request_id: str
    organisation: str
    key: str
    fingerprint: str = ""
    expected_version: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Join:
    """The request is already known here: attach the caller to it.

    Attributes:
        request_id: the id under which it is known.
        verdict: what became of it; None while it is not final.
    """

    request_id: str
    verdict: verdicts.Verdict | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Reject:
    """Refuse what was submitted without touching the request it names."""

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
    """Hand the request over to a peer; this instance remains its home."""

    request_id: str
    attempt: int
    peer: Peer


@dataclasses.dataclass(slots=True, frozen=True)
class Relay:
    """The key belongs to another request: have its home answer."""

    request_id: str
    attempt: int
    holder: str


@dataclasses.dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop an attempt whose answer nobody awaits.

    Attributes:
        request_id: the request.
        attempt: which dispatch of it.
        endpoint: where it runs, or None.
        peer: which peer has it, or None.
    """

    request_id: str
    attempt: int
    endpoint: Endpoint | None = None
    peer: Peer | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Finish:
    """Give the caller the final verdict."""

    request_id: str
    verdict: verdicts.Verdict


@dataclasses.dataclass(slots=True, frozen=True)
class Measure:
    """One number that a decision compared, with its unit in the name.

    Attributes:
        name: what was measured.
        value: the number.
    """

    name: str
    value: float


@dataclasses.dataclass(slots=True, frozen=True)
class Fact:
    """One decision and why it was taken.

    Attributes:
        at: when, in seconds of the runtime's clock.
        request_id: the request, or "" for facts about instances.
        decision: what was decided.
        reason: why.
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
    | Join
    | Reject
    | Dispatch
    | Delegate
    | Relay
    | CancelAttempt
    | Finish
    | Fact
)
