"""Datagrams that instances send each other.

They are small, may be lost, and can be processed twice with the same result.
"""

import msgspec
from returns.result import Result

from cranberryglade import decoding
from cranberryglade.gateway import capacity
from cranberryglade.gateway import configuration
from cranberryglade.gateway import messages


class HeldSlot(msgspec.Struct, array_like=True, frozen=True):
    """A request of the sender that holds a slot of an endpoint."""

    id: str
    endpoint: str


class QuotaUsage(msgspec.Struct, array_like=True, frozen=True):
    """Usage of a quota by requests of the sender.

    Attributes:
        organisation: name of the organisation that has the quota.
        cost: tokens or requests, by the unit of the quota.
        age_seconds: time since they were charged, rounded down to a whole
            step of `quotas.REPORT_STEP_SECONDS`.
    """

    organisation: str
    cost: decoding.Quantity
    age_seconds: decoding.Number


class KnownPeriod(msgspec.Struct, array_like=True, frozen=True):
    """A time of which all usage of quotas by an instance is known.

    Attributes:
        began_seconds: time since its beginning.
        ended_seconds: time since its end.
    """

    began_seconds: decoding.Quantity
    ended_seconds: decoding.Quantity


class Report(msgspec.Struct, array_like=True, frozen=True):
    """What the allocator needs to know of the sender's requests.

    Attributes:
        held: requests that hold slots of endpoints.
        usage: usage within the current quota window that was not granted by
            the receiver in its present incarnation.
        earlier: times before the sender's present incarnation of which it
            reports the usage, too.
    """

    held: list[HeldSlot]
    usage: list[QuotaUsage]
    earlier: list[KnownPeriod] = []


class Status(msgspec.Struct, array_like=True, frozen=True):
    """Status of an instance, by which others compare versions.

    Attributes:
        configuration: version in force; 0 if none.
        confirmed_ms: milliseconds since the configuration was last confirmed
            to be the newest; -1 if it never was.
        endpoints: newest version among the rows of endpoints.
        members: number of instances that it knows, itself included.
        age_ms: milliseconds since its present incarnation began.
        era: era of the store that the version of endpoints belongs to.
        cut_off: whether it reaches endpoints only through other instances.
        stopping: whether it stops.
    """

    configuration: int
    confirmed_ms: int
    endpoints: int
    members: int
    age_ms: int
    era: int = 0
    cut_off: bool = False
    stopping: bool = False


class LeavingEndpoint(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint that announced to the sender that it leaves.

    Attributes:
        id: its id.
        started_ms: when its process started, milliseconds of Unix time.
    """

    id: str
    started_ms: int


class EndpointLimit(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """A limit that an endpoint names, or its end.

    Attributes:
        endpoint: id of the endpoint.
        started_ms: when its process started, milliseconds of Unix time.
        per_second: the limit, in requests a second.
        ended: whether the endpoint does not name it any more.
        age_ms: milliseconds since it was observed.
    """

    endpoint: str
    started_ms: int
    per_second: float
    ended: bool
    age_ms: int


class QuarantineEntry(msgspec.Struct, array_like=True, frozen=True):
    """A quarantine of requests whose prompts have all of some parts.

    Attributes:
        parts: ids of the parts, sorted.
        remaining_ms: milliseconds until it ends.
        generation: as in `quarantine.Entry`.
        lifted: as in `quarantine.Entry`.
    """

    parts: list[str]
    remaining_ms: int
    generation: int
    lifted: bool


class SuspectPart(msgspec.Struct, array_like=True, frozen=True):
    """A suspicion of the allocator, as in `crash_evidence.Suspicion`."""

    part: str
    crashes: int
    endpoints: int


class Ping(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A heartbeat that asks for a Pong.

    Attributes:
        name: the sender.
        incarnation: the sender's present incarnation.
        address: host and port where the sender receives datagrams, and calls
            of its peers.
        domain: the sender's failure domain.
        sequence: number of the heartbeat, repeated in the answer.
        status: the sender's status.
        report: the sender's requests; None unless the receiver is the
            allocator.
        leaving: endpoints that leave although their entries do not show it.
        quarantine: some of the quarantines, in turn.
        suspects: the strongest suspicions; None unless the sender is the
            allocator.
        limits: limits that endpoints name, those observed last.
        capacity: as in `capacity.of_machine`.
    """

    name: str
    incarnation: str
    address: str
    domain: str
    sequence: int
    status: Status
    report: Report | None
    leaving: list[LeavingEndpoint] = []
    quarantine: list[QuarantineEntry] = []
    suspects: list[SuspectPart] | None = None
    limits: list[EndpointLimit] = []
    capacity: decoding.Quantity = capacity.DEFAULT_CAPACITY


class MemberInfo(msgspec.Struct, array_like=True, frozen=True):
    """An instance that has lately sent a heartbeat to the sender.

    Attributes:
        name: its name.
        address: host and port where it receives datagrams.
        domain: its failure domain.
        capacity: as in `capacity.of_machine`.
    """

    name: str
    address: str
    domain: str
    capacity: decoding.Quantity = capacity.DEFAULT_CAPACITY


class Pong(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """The answer to a Ping.

    Attributes:
        name: the sender.
        incarnation: the sender's present incarnation.
        sequence: number of the Ping.
        status: the sender's status.
        other: one more instance, so that new instances become known to all;
            None if there is none or the instances are few.
        quarantine: some of the quarantines, in turn.
    """

    name: str
    incarnation: str
    sequence: int
    status: Status
    other: MemberInfo | None
    quarantine: list[QuarantineEntry] = []


class SlotRequest(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """A slot request to the allocator; repeated until it is answered.

    Attributes:
        name: the sender.
        id: id of the request, unique among all instances.
        service: the service that runs it.
        rank: urgency; 0 is the most urgent.
        kind: which repeats are allowed.
        prompt_tokens: length of the prompt; 0 for plain calls.
        output_tokens: expected length of the answer; 0 for plain calls.
        wait_ms: milliseconds from now that it may wait for a slot.
        target_ms: milliseconds from now until it should have its first answer.
        avoid: endpoints that it was sent to already.
        organisation: whose quota it is charged to; "" if none.
        cost: the charge; 0 if it was charged before.
        software_version: the only version that may run it; None for any.
        parts: what it has in common with other requests, as in
            `crash_evidence`.
        yields: whether it may be asked to yield its slot.
    """

    name: str
    id: str
    service: str
    rank: int
    kind: configuration.Kind
    prompt_tokens: int
    output_tokens: int
    wait_ms: int
    target_ms: int
    avoid: list[str]
    organisation: str
    cost: decoding.Quantity
    software_version: str | None = None
    parts: list[str] = []
    yields: bool = False


class Queued(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """The request waits in the queue; a decision follows."""

    id: str


class Grant(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """The request is granted a slot.

    Attributes:
        id: id of the request.
        endpoint: id of the endpoint.
        late_after_ms: milliseconds after which its answer is late; 0 for none.
    """

    id: str
    endpoint: str
    late_after_ms: int = 0


class Deny(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """The request is denied a slot.

    Attributes:
        id: id of the request.
        reason: the reason, for logs.
        retry_after_ms: milliseconds after which a retry makes sense.
        waiting: number of requests in the queue at the decision, for logs.
    """

    id: str
    reason: str
    retry_after_ms: int
    waiting: int


class Release(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The request no longer needs its slot, or no longer waits.

    Attributes:
        id: id of the request.
        outcome: how it ended.
        parts: as in SlotRequest, if the outcome tells something of them.
        first_answer_ms: milliseconds from its sending to its answer, or its
            stream's first events; -1 if it had none. Of an abandoned hedge, or
            an attempt that its hedge overtook: to its end, -1 if never sent.
    """

    id: str
    outcome: messages.Outcome
    parts: list[str] = []
    first_answer_ms: int = -1


class Leaving(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """The sender is stopping and is no longer chosen as the allocator."""

    name: str
    incarnation: str


class OriginRecord(msgspec.Struct, array_like=True, frozen=True):
    """What began a stream.

    Attributes:
        attempt: id of the caller's attempt that brought its first event.
        service: the service that it came from.
        software_version: software version of the endpoint that sent it.
    """

    attempt: str
    service: str
    software_version: str


class Origins(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Origins of streams of the sender, which the receiver keeps."""

    records: list[OriginRecord]


class OriginQuery(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """Asks for the origin of a stream that a caller resumes.

    Attributes:
        name: the sender.
        number: repeated in the reply.
        attempt: id of the attempt that brought its first event; "" if unknown.
        service: the service that runs it; "" if there are several.
    """

    name: str
    number: int
    attempt: str
    service: str


class OriginReply(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """The reply to an OriginQuery.

    Attributes:
        number: number of the query.
        origin: the origin; None if the sender does not know it.
        software_versions: versions that the sender knows endpoints of the
            service to have or to have had lately.
    """

    number: int
    origin: OriginRecord | None
    software_versions: list[str]


class OriginsStored(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Tells that the store has origins which the receiver has sent.

    Attributes:
        attempts: ids of the attempts that brought the first events.
    """

    attempts: list[str]


class GrantedUsage(msgspec.Struct, array_like=True, frozen=True):
    """Usage of a quota, with who granted it.

    Attributes:
        organisation: name of the organisation that has the quota.
        cost: tokens or requests, by the unit of the quota.
        age_seconds: time since they were charged, rounded down to a whole
            step of `final_usage.AGE_STEP_SECONDS`.
        granter: incarnation that granted it; "" without an allocator.
    """

    organisation: str
    cost: decoding.Quantity
    age_seconds: decoding.Quantity
    granter: str


class FinalUsage(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """All usage of quotas by an incarnation that has used its last.

    Its contacts get it, and tell it to the next incarnation of its name.

    Attributes:
        name: name of the instance.
        incarnation: the incarnation that has ended.
        periods: the times in which all usage is listed.
        usage: the usage in them.
    """

    name: str
    incarnation: str
    periods: list[KnownPeriod]
    usage: list[GrantedUsage]


class Preempt(msgspec.Struct, array_like=True, tag=17, frozen=True):
    """Asks the holder of a slot to yield it to a more urgent request.

    If it is lost, the request goes on.

    Attributes:
        id: id of the request that runs.
    """

    id: str


class Kept(msgspec.Struct, array_like=True, tag=18, frozen=True):
    """The answer to a Preempt for a request that cannot yield its slot.

    Attributes:
        id: id of the request that runs, or has ended.
    """

    id: str


OriginMessage = Origins | OriginQuery | OriginReply | OriginsStored

Datagram = (
    Ping
    | Pong
    | SlotRequest
    | Queued
    | Grant
    | Deny
    | Release
    | Leaving
    | EndpointLimit
    | OriginMessage
    | FinalUsage
    | Preempt
    | Kept
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(message: Datagram) -> bytes:
    """Encodes a datagram as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Result[Datagram, str]:
    """Decodes a datagram, or returns why it cannot be decoded.

    >>> decode(encode(Queued("a.1")))
    <Success: Queued(id='a.1')>
    """
    return decoding.attempt(_decoder.decode, data)
