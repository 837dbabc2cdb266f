"""Tables and plots of replays."""

import collections
import pathlib

import matplotlib

from cranberryglade.replay import calls
from cranberryglade.replay import measures
from cranberryglade.replay import runs
from cranberryglade.replay import traces

WINDOW_SECONDS = 5.0


def table(trace: traces.Trace, found: list[measures.Figures]) -> str:
    """The comparison as text, a block for each figure."""
    header = trace.header
    scenes = ", ".join(trace.scenes) or "no fault"
    lines = [
        f"{header.name}: {len(trace.requests)} requests, "
        f"{header.instances} instances, {scenes}",
        "",
        f"{'policy':18}{'goodput':>9}{'of bound':>9}{'lost':>8}{'repeated':>9}"
        f"{'returned':>15}{'refusal lag ms':>20}{'least share':>24}"
        f"{'messages':>10}{'bytes':>10}",
    ]
    lines += [_overall(line) for line in found]
    lines += [
        "",
        f"{'policy':18}{'tier':>6}{'offered':>8}{'goodput':>9}{'late':>6}"
        f"{'refused':>8}{'unknown':>8}"
        f"{'first token ms 50/95/99':>28}{'between ms 50/95/99':>24}",
    ]
    lines += [row for line in found for row in _by_tier(line)]
    lines += ["", "refusals"]
    lines += [f"{line.policy:18}{_reasons(line)}" for line in found]
    return "\n".join(lines)


def _overall(line: measures.Figures) -> str:
    returned = "-"
    if line.returned_in_time is not None:
        returned = f"{line.returned_in_time:.1%} of {line.returned}"
    share = "-"
    if line.least_share is not None:
        share = f"{line.least_share:.2f} {line.least_share_of}"
    return (
        f"{line.policy:18}{line.goodput:>9.2%}{line.of_bound:>9.2%}"
        f"{line.prefill_lost:>8.2%}{line.prefill_repeated:>9.2%}"
        f"{returned:>15}{_joined(line.refusal_lag_ms):>20}{share:>24}"
        f"{line.peer_messages:>10}{line.peer_bytes:>10}"
    )


def _by_tier(line: measures.Figures) -> list[str]:
    rows: list[tuple[object, measures.TierFigures]] = [*line.tiers.items()]
    if line.services is not None:
        rows.append(("plain", line.services))
    return [
        f"{line.policy:18}{rank:>6}{tier.offered:>8}{tier.goodput:>9.2%}"
        f"{tier.late:>6}{tier.refused:>8}{tier.unknown:>8}"
        f"{_joined(tier.first_token_ms):>28}{_joined(tier.gap_ms):>24}"
        for rank, tier in rows
    ]


def _reasons(line: measures.Figures) -> str:
    named = [f"{reason} {count}" for reason, count in line.refusals.items()]
    return ", ".join(named) or "none"


def _joined(values: list[float]) -> str:
    return " / ".join(f"{value:.0f}" for value in values)


def plot(results: list[runs.Result], path: pathlib.Path) -> None:
    """Draws goodput by tier and answers lost over time."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, rows = pyplot.subplots(
        len(results), 2, squeeze=False, figsize=(12, 3 * len(results))
    )
    for result, (left, right) in zip(results, rows, strict=True):
        _plot_goodput(left, result)
        _plot_outcomes(right, result)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_goodput(axes, result: runs.Result) -> None:
    engine_calls = [c for c in result.calls if c.request.max_tokens]
    for rank in sorted({call.request.rank for call in engine_calls}):
        made = [call for call in engine_calls if call.request.rank == rank]
        offered = _windows(made)
        answered = _windows(
            [call for call in made if call.outcome is calls.Outcome.IN_TIME]
        )
        moments = sorted(offered)
        parts = [answered[moment] / offered[moment] for moment in moments]
        axes.plot(moments, parts, label=f"tier {rank}")
    axes.set(title=result.policy, xlabel="offered at, s", ylabel="goodput")
    axes.set_ylim(0, 1.05)
    axes.legend()


def _plot_outcomes(axes, result: runs.Result) -> None:
    for outcome in (calls.Outcome.LATE, calls.Outcome.REFUSED):
        counted = _windows([c for c in result.calls if c.outcome is outcome])
        moments = sorted(counted)
        axes.plot(moments, [counted[m] for m in moments], label=outcome.value)
    axes.set(xlabel="offered at, s", ylabel=f"in {WINDOW_SECONDS:.0f} s")
    axes.legend()


def _windows(made: list[calls.Call]) -> collections.Counter[float]:
    return collections.Counter(
        call.offered_at // WINDOW_SECONDS * WINDOW_SECONDS for call in made
    )
