"""Figures computed from the result of one replay."""

import collections

import msgspec

from cranberryglade import verdicts
from cranberryglade.replay import bound
from cranberryglade.replay import calls
from cranberryglade.replay import runs
from cranberryglade.replay import traces

PERCENTILES = (50, 95, 99)
LOAD_REASONS = frozenset(
    reason.value
    for reason in (
        verdicts.Reason.DEADLINE_CANNOT_BE_MET,
        verdicts.Reason.DEADLINE_PASSED,
        verdicts.Reason.SHED,
    )
)


class TierFigures(msgspec.Struct):
    """Figures of one tier.

    Attributes:
        offered: number of requests of the trace.
        in_time: number answered completely within the deadline.
        late: number answered completely after the deadline.
        refused: number refused without having run.
        unknown: number that may have run.
        goodput: in_time divided by offered.
        first_token_ms: percentiles 50, 95 and 99 of the time to the first
            token in milliseconds.
        gap_ms: percentiles 50, 95 and 99 of the time between two tokens in
            milliseconds.
    """

    offered: int
    in_time: int
    late: int
    refused: int
    unknown: int
    goodput: float
    first_token_ms: list[float]
    gap_ms: list[float]


class Figures(msgspec.Struct):
    """All figures of one policy on one trace.

    Shares and ratios are fractions, not percentages.

    Attributes:
        policy: name of the policy.
        tiers: figures by rank, of requests to engines.
        services: figures of requests to plain services; None if the trace has
            none.
        goodput: requests to engines answered in time, divided by all of them.
        of_bound: answers in time divided by those of the queue with full
            knowledge (module bound).
        prefill_lost: share of all prefill that was computed for attempts that
            were cancelled, were running on an engine that died, or were late.
        prefill_repeated: share of all prefill that was computed although
            another endpoint had the prefix in its cache.
        refusals: number of refused calls by reason.
        refusal_lag_ms: percentiles 50 and 95 and maximum of the time in
            milliseconds from when the deadline could no longer be met to the
            refusal, of calls refused because of load.
        returned: number of calls that retried a refused call after its retry
            time.
        returned_in_time: share of them that was answered in time; None if there
            were none.
        least_share: smallest ratio of tokens received to the fair share, among
            the organisations that had to wait; None if none had to wait.
        least_share_of: name of that organisation.
        peer_messages: number of messages between instances.
        peer_bytes: encoded size of these messages in bytes.
    """

    policy: str
    tiers: dict[int, TierFigures]
    services: TierFigures | None
    goodput: float
    of_bound: float
    prefill_lost: float
    prefill_repeated: float
    refusals: dict[str, int]
    refusal_lag_ms: list[float]
    returned: int
    returned_in_time: float | None
    least_share: float | None
    least_share_of: str
    peer_messages: int
    peer_bytes: int


def percentile(values: list[float], percent: float) -> float:
    """Returns the value at a percentile (0 to 100); 0 if there are no values.

    >>> percentile([3.0, 1.0, 2.0], 50)
    2.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def figures(result: runs.Result) -> Figures:
    """Computes the figures of a replay."""
    engine_calls = [call for call in result.calls if call.request.max_tokens]
    service_calls = [
        call for call in result.calls if not call.request.max_tokens
    ]
    ranks = sorted({call.request.rank for call in engine_calls})
    in_time = _count(engine_calls, calls.Outcome.IN_TIME)
    bound_in_time = sum(bound.max_answered_by_rank(result.trace).values())
    prefill = result.simulation.prefill_count
    shares = result.shares.ratios()
    least = min(shares, key=shares.get, default="")
    retried_in_time = _count(result.retries, calls.Outcome.IN_TIME)
    return Figures(
        policy=result.policy,
        tiers={
            rank: _tier(
                [call for call in engine_calls if call.request.rank == rank],
                result.token_gaps.get(rank, {}),
            )
            for rank in ranks
        },
        services=_tier(service_calls, {}) if service_calls else None,
        goodput=in_time / max(1, len(engine_calls)),
        of_bound=in_time / max(1, bound_in_time),
        prefill_lost=prefill.lost / max(1, prefill.total),
        prefill_repeated=prefill.repeated / max(1, prefill.total),
        refusals=_refusals(result.calls),
        refusal_lag_ms=_refusal_lags(result),
        returned=len(result.retries),
        returned_in_time=(
            retried_in_time / len(result.retries) if result.retries else None
        ),
        least_share=shares.get(least),
        least_share_of=least,
        peer_messages=result.simulation.message_count,
        peer_bytes=result.simulation.message_bytes,
    )


def _count(group: list[calls.Call], outcome: calls.Outcome) -> int:
    return sum(call.outcome is outcome for call in group)


def _tier(tier_calls: list[calls.Call], gaps: dict[int, int]) -> TierFigures:
    in_time = _count(tier_calls, calls.Outcome.IN_TIME)
    first = [
        (call.first_token_at - call.offered_at) * 1000
        for call in tier_calls
        if call.first_token_at is not None
    ]
    return TierFigures(
        offered=len(tier_calls),
        in_time=in_time,
        late=_count(tier_calls, calls.Outcome.LATE),
        refused=_count(tier_calls, calls.Outcome.REFUSED),
        unknown=_count(tier_calls, calls.Outcome.UNKNOWN),
        goodput=in_time / max(1, len(tier_calls)),
        first_token_ms=[percentile(first, percent) for percent in PERCENTILES],
        gap_ms=_gap_percentiles(gaps),
    )


def _gap_percentiles(counts: dict[int, int]) -> list[float]:
    total = sum(counts.values())
    values = []
    for percent in PERCENTILES:
        left = total * percent / 100
        value = 0
        for value in sorted(counts):  # noqa: B007
            left -= counts[value]
            if left < 0:
                break
        values.append(float(value))
    return values


def _refusals(group: list[calls.Call]) -> dict[str, int]:
    refused = [c.reason for c in group if c.outcome is calls.Outcome.REFUSED]
    return dict(collections.Counter(refused).most_common())


def _refusal_lags(result: runs.Result) -> list[float]:
    lags = [
        max(0.0, call.ended_at - _latest_start(call, result.trace)) * 1000
        for call in result.calls
        if call.outcome is calls.Outcome.REFUSED and call.reason in LOAD_REASONS
    ]
    return [percentile(lags, 50), percentile(lags, 95), max(lags, default=0.0)]


def _latest_start(call: calls.Call, trace: traces.Trace) -> float:
    request = call.request
    needed = min(
        line.factor
        * line.speed.alone_seconds(
            max(1, request.prompt_tokens - request.prefix_tokens),
            max(1, request.output_tokens),
        )
        for line in trace.endpoints
        if line.target == request.target
    )
    return max(call.offered_at, call.deadline - needed)
