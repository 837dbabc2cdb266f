"""Converts slot requests and decisions to and from datagrams.

Any number of a datagram has a meaning here, and any number can be sent.
"""

import math

from cranberryglade import crash_evidence
from cranberryglade import quarantine
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import messages

MAX_DURATION_MS = 2**53
MAX_COUNT = 2**53
"""Counts are limited to this, so that they can be raised and sent again."""

MAX_LIMIT_PER_SECOND = 1e9


def encode_decision(
    decision: messages.Decision | messages.Preempted,
) -> datagrams.Datagram:
    """Returns the datagram of a decision."""
    match decision:
        case messages.Granted(id=id_, endpoint=endpoint):
            late_after = decision.late_after_seconds
            if late_after is None:
                return datagrams.Grant(id_, endpoint)
            late_after_ms = max(1, _milliseconds(late_after))
            return datagrams.Grant(id_, endpoint, late_after_ms)
        case messages.Preempted(id=id_):
            return datagrams.Preempt(id_)
        case messages.Denied(id=id_, reason=reason, retry_after_seconds=after):
            waiting = decision.waiting
            return datagrams.Deny(id_, reason, _milliseconds(after), waiting)


def decode_grant(grant: datagrams.Grant) -> messages.Granted:
    """Returns the grant that a datagram carries."""
    late_after = None
    if grant.late_after_ms > 0:
        late_after = _seconds(grant.late_after_ms)
    return messages.Granted(grant.id, grant.endpoint, late_after)


def decode_denial(deny: datagrams.Deny) -> messages.Denied:
    """Returns the denial that a datagram carries."""
    after = max(0.0, _seconds(deny.retry_after_ms))
    return messages.Denied(deny.id, deny.reason, after, deny.waiting)


def encode_release(
    id_: str,
    outcome: messages.Outcome,
    parts: list[str],
    first_answer_seconds: float | None,
) -> datagrams.Release:
    """Returns the datagram of a release."""
    first_answer_ms = -1
    if first_answer_seconds is not None:
        first_answer_ms = max(0, _milliseconds(first_answer_seconds))
    return datagrams.Release(id_, outcome, parts, first_answer_ms)


def decode_first_answer(release: datagrams.Release) -> float | None:
    """Returns the seconds to the first answer of a release, if it had one."""
    if release.first_answer_ms < 0:
        return None
    return _seconds(release.first_answer_ms)


def encode_slot_request(
    name: str, request: messages.SlotRequest, now: float
) -> datagrams.SlotRequest:
    """Returns the datagram of a slot request, with times as durations."""
    return datagrams.SlotRequest(
        name=name,
        id=request.id,
        service=request.service,
        rank=request.rank,
        kind=request.kind,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        wait_ms=max(0, _milliseconds(request.wait_until - now)),
        target_ms=_milliseconds(request.first_answer_due - now),
        avoid=list(request.excluded_endpoints),
        organisation=request.organisation,
        cost=request.cost,
        software_version=request.software_version,
        parts=list(request.parts),
        yields=request.yields,
    )


def decode_slot_request(
    ask: datagrams.SlotRequest, now: float
) -> messages.SlotRequest:
    """Returns the slot request of a datagram, with times of this clock."""
    return messages.SlotRequest(
        id=ask.id,
        service=ask.service,
        rank=ask.rank,
        kind=ask.kind,
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        wait_until=now + _seconds(ask.wait_ms),
        first_answer_due=now + _seconds(ask.target_ms),
        excluded_endpoints=tuple(ask.avoid),
        organisation=ask.organisation,
        cost=ask.cost,
        software_version=ask.software_version,
        parts=tuple(ask.parts),
        yields=ask.yields,
        # The sender may have taken no hedge from a share of its own.
        takes_common_hedge=ask.rank == messages.HEDGE_RANK,
    )


def encode_quarantine(
    entry: quarantine.Entry, now: float
) -> datagrams.QuarantineEntry:
    """Returns a quarantine as a heartbeat holds it."""
    return datagrams.QuarantineEntry(
        list(entry.parts),
        max(0, _milliseconds(entry.until - now)),
        entry.generation,
        entry.lifted,
    )


def decode_quarantine(
    entry: datagrams.QuarantineEntry, now: float
) -> quarantine.Entry:
    """Returns a quarantine of a heartbeat, with times of this clock."""
    return quarantine.Entry(
        tuple(entry.parts),
        now + _seconds(entry.remaining_ms),
        _count(entry.generation),
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
        max(0, _milliseconds(now - limit.observed_at)),
    )


def decode_limit(
    news: datagrams.EndpointLimit, now: float
) -> endpoint_limits.EndpointLimit:
    """Returns the limit of a datagram, with times of this clock."""
    return endpoint_limits.EndpointLimit(
        news.endpoint,
        news.started_ms,
        _limit(news.per_second),
        news.ended,
        now - max(0.0, _seconds(news.age_ms)),
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
        suspect.part, _count(suspect.crashes), _count(suspect.endpoints)
    )


def _milliseconds(seconds: float) -> int:
    # Of NaN, too, max returns its first argument.
    milliseconds = max(-MAX_DURATION_MS, seconds * 1000)
    return round(min(MAX_DURATION_MS, milliseconds))


def _seconds(milliseconds: int) -> float:
    return max(-MAX_DURATION_MS, min(MAX_DURATION_MS, milliseconds)) / 1000


def _count(number: int) -> int:
    return max(0, min(MAX_COUNT, number))


def _limit(per_second: float) -> float:
    """Returns a limit as it is applied; none in effect for other numbers."""
    usable = math.isfinite(per_second) and per_second >= 0
    limited = per_second if usable else MAX_LIMIT_PER_SECOND
    return min(limited, MAX_LIMIT_PER_SECOND)
