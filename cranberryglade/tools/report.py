"""Compares the demonstration's results at callers and at endpoints."""

import collections
import dataclasses
import json
import pathlib

from cranberryglade import wire
from cranberryglade.tools import load
from cranberryglade.tools import output


@dataclasses.dataclass(slots=True, frozen=True)
class TierGoodput:
    """Goodput of one tier of one deployment.

    Attributes:
        deployment: name of the deployment.
        tier: name of the tier.
        offered: requests sent.
        in_time: requests whose whole answer arrived in time.
        share: in_time divided by offered, 0 to 1.
        began_in_time: those of in_time whose first token was also in time.
    """

    deployment: str
    tier: str
    offered: int
    in_time: int
    share: float
    began_in_time: int


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """All results of a run.

    Attributes:
        goodput: by deployment and tier.
        prefill_tokens: prompt tokens that were sent to engines.
        wasted_tokens: those of prefill_tokens that led to no answer in time; of
            a request that ran more than once, only the last run is useful.
        refusals: number of refusals by reason, retries included.
        may_have_run: number of final verdicts "may have run" by reason.
        ran_twice: references of once-only requests that ran more than once.
        untrue: references reported "not run" that had run.
    """

    goodput: list[TierGoodput]
    prefill_tokens: int
    wasted_tokens: int
    refusals: dict[str, int]
    may_have_run: dict[str, int]
    ran_twice: list[str]
    untrue: list[str]

    @property
    def violated(self) -> bool:
        """Whether a guarantee was violated."""
        return bool(self.ran_twice or self.untrue)


def read_runs(directory: pathlib.Path) -> list[wire.EngineRequest]:
    """Reads the requests that the endpoints accepted, from all *.runs files."""
    runs = []
    for path in sorted(directory.glob("*.runs")):
        for line in path.read_bytes().splitlines():
            runs.append(wire.decode(line, wire.EngineRequest).unwrap())
    return runs


def evaluate(
    results: dict[str, list[load.Result]], runs: list[wire.EngineRequest]
) -> Report:
    """Compares the callers' results with the requests endpoints accepted.

    Args:
        results: results by deployment.
        runs: requests that the endpoints accepted.
    """
    by_reference = collections.defaultdict(list)
    for run in runs:
        by_reference[request_reference(run)].append(run)
    all_results = [r for found in results.values() for r in found]
    refusals = collections.Counter(
        reason for result in all_results for reason in result.refusal_reasons
    )
    uncertain = collections.Counter(
        r.reason for r in all_results if r.verdict == "may_have_run"
    )
    references_in_time = {
        r.reference for r in all_results if r.in_time and not r.kind.service
    }
    prefill = sum(run.prompt_tokens for run in runs if not run.payload)
    needed = sum(
        by_reference[name][-1].prompt_tokens
        for name in references_in_time
        if by_reference[name]
    )
    return Report(
        _goodput(results),
        prefill,
        prefill - needed,
        dict(refusals.most_common()),
        dict(uncertain.most_common()),
        [
            r.reference
            for r in all_results
            if r.kind.at_most_once and len(by_reference[r.reference]) > 1
        ],
        [
            r.reference
            for r in all_results
            if r.verdict == "not_run" and by_reference[r.reference]
        ],
    )


def request_reference(run: wire.EngineRequest) -> str:
    """Returns the unique name of the request of a run."""
    return (run.payload or {}).get("reference", run.prompt)


def _goodput(results: dict[str, list[load.Result]]) -> list[TierGoodput]:
    rows = []
    for deployment, found in results.items():
        tiers = collections.defaultdict(list)
        for result in found:
            tiers[result.kind.tier].append(result)
        for tier, tier_results in tiers.items():
            in_time = sum(r.in_time for r in tier_results)
            began_in_time = sum(r.first_token_in_time for r in tier_results)
            share = in_time / len(tier_results)
            rows.append(
                TierGoodput(
                    deployment,
                    tier,
                    len(tier_results),
                    in_time,
                    share,
                    began_in_time,
                )
            )
    return rows


def describe(report: Report) -> str:
    """Formats a report as text."""
    rows = [dataclasses.astuple(row) for row in report.goodput]
    head = (
        "deployment",
        "tier",
        "offered",
        "in time",
        "share",
        "first token too",
    )
    share = report.wasted_tokens / max(1, report.prefill_tokens)
    lines = [
        "Goodput by tier",
        output.format_table(head, rows),
        "",
        f"Wasted prefill: {report.wasted_tokens} of {report.prefill_tokens} "
        f"prompt tokens ({share:.1%})",
        f"Refusals by reason: {_format_counts(report.refusals)}",
        f"May have run, by cause: {_format_counts(report.may_have_run)}",
        f"Once-only requests that ran twice: {_format_names(report.ran_twice)}",
        f'Reported "not run" but ran: {_format_names(report.untrue)}',
    ]
    return "\n".join(lines)


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{k} {v}" for k, v in counts.items()) or "none"


def _format_names(names: list[str]) -> str:
    return json.dumps(names) if names else "none"
