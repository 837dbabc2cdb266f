"""Converts slot requests and decisions to and from datagrams."""

from cranberryglade import crash_evidence
from cranberryglade import quarantine
from cranberryglade.gateway import configuration
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import messages


def encode_decision(decision: messages.Decision) -> datagrams.Datagram:
    """Returns the datagram of a decision."""
    match decision:
        case messages.Granted(id=id_, endpoint=endpoint):
            return datagrams.Grant(id_, endpoint)
        case messages.Denied(id=id_, reason=reason, retry_after_seconds=after):
            waiting = decision.waiting
            return datagrams.Deny(id_, reason, round(after * 1000), waiting)


def decode_denial(deny: datagrams.Deny) -> messages.Denied:
    """Returns the denial that a datagram carries."""
    after = deny.retry_after_ms / 1000
    return messages.Denied(deny.id, deny.reason, after, deny.waiting)


def encode_slot_request(
    name: str, request: messages.SlotRequest, now: float
) -> datagrams.SlotRequest:
    """Returns the datagram of a slot request, with times as durations."""
    return datagrams.SlotRequest(
        name=name,
        id=request.id,
        service=request.service,
        rank=request.rank,
        kind=request.kind.value,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        wait_ms=max(0, round((request.wait_until - now) * 1000)),
        target_ms=round((request.first_answer_due - now) * 1000),
        avoid=list(request.excluded_endpoints),
        organisation=request.organisation,
        cost=request.cost,
        software_version=request.software_version,
        parts=list(request.parts),
    )


def decode_slot_request(
    ask: datagrams.SlotRequest, now: float
) -> messages.SlotRequest:
    """Returns the slot request of a datagram, with times of this clock."""
    return messages.SlotRequest(
        id=ask.id,
        service=ask.service,
        rank=ask.rank,
        kind=configuration.Kind(ask.kind),
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        wait_until=now + ask.wait_ms / 1000,
        first_answer_due=now + ask.target_ms / 1000,
        excluded_endpoints=tuple(ask.avoid),
        organisation=ask.organisation,
        cost=ask.cost,
        software_version=ask.software_version,
        parts=tuple(ask.parts),
    )


def encode_quarantine(
    entry: quarantine.Entry, now: float
) -> datagrams.QuarantineEntry:
    """Returns a quarantine as a heartbeat holds it."""
    return datagrams.QuarantineEntry(
        list(entry.parts),
        max(0, round((entry.until - now) * 1000)),
        entry.generation,
        entry.lifted,
    )


def decode_quarantine(
    entry: datagrams.QuarantineEntry, now: float
) -> quarantine.Entry:
    """Returns a quarantine of a heartbeat, with times of this clock."""
    return quarantine.Entry(
        tuple(entry.parts),
        now + entry.remaining_ms / 1000,
        entry.generation,
        entry.lifted,
    )


def encode_limit(
    limit: endpoint_limits.EndpointLimit, now: float
) -> datagrams.EndpointLimit:
    """Returns the datagram of a limit."""
    return datagrams.EndpointLimit(
        limit.endpoint,
        limit.started_ms,
        limit.per_second,
        limit.ended,
        max(0, round((now - limit.observed_at) * 1000)),
    )


def decode_limit(
    news: datagrams.EndpointLimit, now: float
) -> endpoint_limits.EndpointLimit:
    """Returns the limit of a datagram, with times of this clock."""
    return endpoint_limits.EndpointLimit(
        news.endpoint,
        news.started_ms,
        news.per_second,
        news.ended,
        now - news.age_ms / 1000,
    )


def encode_suspicion(
    suspicion: crash_evidence.Suspicion,
) -> datagrams.SuspectPart:
    """Returns a suspicion as a heartbeat holds it."""
    return datagrams.SuspectPart(
        suspicion.part, suspicion.crashes, suspicion.endpoints
    )


def decode_suspicion(
    suspect: datagrams.SuspectPart,
) -> crash_evidence.Suspicion:
    """Returns a suspicion of a heartbeat."""
    return crash_evidence.Suspicion(
        suspect.part, suspect.crashes, suspect.endpoints
    )
