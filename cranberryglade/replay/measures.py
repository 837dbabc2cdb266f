"""The figures of one replay."""

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
        verdicts.Reason.DEADLINE,
        verdicts.Reason.DEADLINE_PASSED,
        verdicts.Reason.SHED,
    )
)


class TierFigures(msgspec.Struct):
    """Figures of one tier.

    Attributes:
        offered: requests of the trace.
        in_time: answered whole within the deadline.
        late: answered whole after it.
        refused: refused as not run.
        unknown: may have run.
        goodput: in_time divided by offered.
        first_token_ms: percentiles 50, 95 and 99.
        gap_ms: the same of the time between two tokens.
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

    Attributes:
        policy: its name.
        tiers: figures by rank, of requests to engines.
        services: figures of requests to plain services; None without any.
        goodput: of all tiers together.
        of_bound: answers in time divided by those of the all-knowing queue.
        prefill_lost: part of all prefill done for attempts that were dropped,
            cut, late or started again.
        prefill_repeated: part done though another endpoint held the prefix.
        refusals: by reason.
        refusal_lag_ms: percentiles 50, 95 and the longest time from the moment
            when the deadline could no longer be met to the refusal.
        returned: calls that followed a retry time.
        returned_in_time: part of them answered in time.
        least_share: smallest part of its fair share that an organisation with
            waiting work got; None when none had to wait.
        least_share_of: that organisation.
        peer_messages: messages between instances.
        peer_bytes: bytes of these.
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


def percentile(values: list[float], part: float) -> float:
    """The value at that percentile; 0 if there are none.

    >>> percentile([3.0, 1.0, 2.0], 50)
    2.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part / 100))]


def figures(result: runs.Result) -> Figures:
    """Works out the figures of a replay."""
    made = [call for call in result.calls if call.request.max_tokens]
    plain = [call for call in result.calls if not call.request.max_tokens]
    ranks = sorted({call.request.rank for call in made})
    in_time = _count(made, calls.Outcome.IN_TIME)
    possible = sum(bound.answered(result.trace).values())
    prefill = result.around.prefill
    shares = result.shares.ratios()
    least = min(shares, key=shares.get, default="")
    returned = _count(result.returning, calls.Outcome.IN_TIME)
    return Figures(
        policy=result.policy,
        tiers={
            rank: _tier(
                [call for call in made if call.request.rank == rank],
                result.gaps.get(rank, {}),
            )
            for rank in ranks
        },
        services=_tier(plain, {}) if plain else None,
        goodput=in_time / max(1, len(made)),
        of_bound=in_time / max(1, possible),
        prefill_lost=prefill.lost / max(1, prefill.total),
        prefill_repeated=prefill.repeated / max(1, prefill.total),
        refusals=_refusals(result.calls),
        refusal_lag_ms=_refusal_lags(result),
        returned=len(result.returning),
        returned_in_time=(
            returned / len(result.returning) if result.returning else None
        ),
        least_share=shares.get(least),
        least_share_of=least,
        peer_messages=result.around.messages,
        peer_bytes=result.around.bytes,
    )


def _count(made: list[calls.Call], outcome: calls.Outcome) -> int:
    return sum(call.outcome is outcome for call in made)


def _tier(made: list[calls.Call], gaps: dict[int, int]) -> TierFigures:
    in_time = _count(made, calls.Outcome.IN_TIME)
    first = [
        (call.first_at - call.offered_at) * 1000
        for call in made
        if call.first_at is not None
    ]
    return TierFigures(
        offered=len(made),
        in_time=in_time,
        late=_count(made, calls.Outcome.LATE),
        refused=_count(made, calls.Outcome.REFUSED),
        unknown=_count(made, calls.Outcome.UNKNOWN),
        goodput=in_time / max(1, len(made)),
        first_token_ms=[percentile(first, part) for part in PERCENTILES],
        gap_ms=_gap_percentiles(gaps),
    )


def _gap_percentiles(counts: dict[int, int]) -> list[float]:
    total = sum(counts.values())
    found = []
    for part in PERCENTILES:
        left = total * part / 100
        value = 0
        for value in sorted(counts):  # noqa: B007
            left -= counts[value]
            if left < 0:
                break
        found.append(float(value))
    return found


def _refusals(made: list[calls.Call]) -> dict[str, int]:
    refused = [c.reason for c in made if c.outcome is calls.Outcome.REFUSED]
    return dict(collections.Counter(refused).most_common())


def _refusal_lags(result: runs.Result) -> list[float]:
    lags = [
        max(0.0, call.ended_at - _hopeless_at(call, result.trace)) * 1000
        for call in result.calls
        if call.outcome is calls.Outcome.REFUSED and call.reason in LOAD_REASONS
    ]
    return [percentile(lags, 50), percentile(lags, 95), max(lags, default=0.0)]


def _hopeless_at(call: calls.Call, trace: traces.Trace) -> float:
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
