"""Tables and plots of replay results."""

import collections
import pathlib

import matplotlib

from cranberryglade.replay import calls
from cranberryglade.replay import measures
from cranberryglade.replay import runs
from cranberryglade.replay import traces

WINDOW_SECONDS = 5.0


def table(trace: traces.Trace, all_figures: list[measures.Figures]) -> str:
    """Returns a comparison of policies as text.

    It has a table with one row for each policy, a table with one row for each
    policy and tier, and the refusals of each policy by reason.

    Args:
        trace: the replayed trace.
        all_figures: figures of each policy.
    """
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
    lines += [_overall_row(figures) for figures in all_figures]
    lines += [
        "",
        f"{'policy':18}{'tier':>6}{'offered':>8}{'goodput':>9}{'late':>6}"
        f"{'refused':>8}{'unknown':>8}"
        f"{'first token ms 50/95/99':>28}{'between ms 50/95/99':>24}",
    ]
    lines += [row for figures in all_figures for row in _tier_rows(figures)]
    lines += ["", "refusals"]
    lines += [
        f"{figures.policy:18}{_refusal_reasons(figures)}"
        for figures in all_figures
    ]
    return "\n".join(lines)


def _overall_row(figures: measures.Figures) -> str:
    returned = "-"
    if figures.returned_in_time is not None:
        returned = f"{figures.returned_in_time:.1%} of {figures.returned}"
    share = "-"
    if figures.least_share is not None:
        share = f"{figures.least_share:.2f} {figures.least_share_of}"
    return (
        f"{figures.policy:18}{figures.goodput:>9.2%}{figures.of_bound:>9.2%}"
        f"{figures.prefill_lost:>8.2%}{figures.prefill_repeated:>9.2%}"
        f"{returned:>15}{_join_values(figures.refusal_lag_ms):>20}{share:>24}"
        f"{figures.peer_messages:>10}{figures.peer_bytes:>10}"
    )


def _tier_rows(figures: measures.Figures) -> list[str]:
    rows: list[tuple[object, measures.TierFigures]] = [*figures.tiers.items()]
    if figures.services is not None:
        rows.append(("plain", figures.services))
    return [
        f"{figures.policy:18}{rank:>6}{tier.offered:>8}{tier.goodput:>9.2%}"
        f"{tier.late:>6}{tier.refused:>8}{tier.unknown:>8}"
        f"{_join_values(tier.first_token_ms):>28}{_join_values(tier.gap_ms):>24}"
        for rank, tier in rows
    ]


def _refusal_reasons(figures: measures.Figures) -> str:
    counted = [
        f"{reason} {count}" for reason, count in figures.refusals.items()
    ]
    return ", ".join(counted) or "none"


def _join_values(values: list[float]) -> str:
    return " / ".join(f"{value:.0f}" for value in values)


def plot(results: list[runs.Result], path: pathlib.Path) -> None:
    """Plots goodput by tier and late and refused calls over time.

    Args:
        results: results of the policies; each gets a row of two plots.
        path: file to write; its suffix selects the image format.
    """
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
        tier_calls = [
            call for call in engine_calls if call.request.rank == rank
        ]
        offered = _count_by_window(tier_calls)
        answered = _count_by_window(
            [
                call
                for call in tier_calls
                if call.outcome is calls.Outcome.IN_TIME
            ]
        )
        window_starts = sorted(offered)
        goodputs = [answered[start] / offered[start] for start in window_starts]
        axes.plot(window_starts, goodputs, label=f"tier {rank}")
    axes.set(title=result.policy, xlabel="offered at, s", ylabel="goodput")
    axes.set_ylim(0, 1.05)
    axes.legend()


def _plot_outcomes(axes, result: runs.Result) -> None:
    for outcome in (calls.Outcome.LATE, calls.Outcome.REFUSED):
        counted = _count_by_window(
            [c for c in result.calls if c.outcome is outcome]
        )
        window_starts = sorted(counted)
        axes.plot(
            window_starts,
            [counted[start] for start in window_starts],
            label=outcome.value,
        )
    axes.set(xlabel="offered at, s", ylabel=f"in {WINDOW_SECONDS:.0f} s")
    axes.legend()


def _count_by_window(group: list[calls.Call]) -> collections.Counter[float]:
    return collections.Counter(
        call.offered_at // WINDOW_SECONDS * WINDOW_SECONDS for call in group
    )
