"""What the demonstration found, from the callers' and the endpoints' side."""

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
        deployment: its name.
        tier: name of the tier.
        offered: requests sent.
        in_time: requests answered whole and in time.
        share: in_time of offered, 0 to 1.
        began_in_time: those of in_time whose first token was in time, too.
    """

    deployment: str
    tier: str
    offered: int
    in_time: int
    share: float
    began_in_time: int


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """All findings of a run.

    Attributes:
        goodput: by deployment and tier.
        prefill_tokens: prompt tokens that were sent to engines.
        wasted_tokens: those whose answer did not reach its caller in time.
        refusals: how often each reason was given, retries included.
        may_have_run: final verdicts by cause.
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
        """Whether something happened that must never happen."""
        return bool(self.ran_twice or self.untrue)


def read_runs(directory: pathlib.Path) -> list[wire.EngineRequest]:
    """Reads what the endpoints let in, from all their files."""
    runs = []
    for path in sorted(directory.glob("*.runs")):
        for line in path.read_bytes().splitlines():
            runs.append(wire.decode(line, wire.EngineRequest).unwrap())
    return runs


def evaluate(
    results: dict[str, list[load.Result]], runs: list[wire.EngineRequest]
) -> Report:
    """Compares what callers were told with what endpoints let in."""
    by_reference = collections.defaultdict(list)
    for run in runs:
        by_reference[reference(run)].append(run)
    everything = [r for found in results.values() for r in found]
    refusals = collections.Counter(
        reason for result in everything for reason in result.refused
    )
    uncertain = collections.Counter(
        r.reason for r in everything if r.verdict == "may_have_run"
    )
    useful = {
        r.reference for r in everything if r.in_time and not r.kind.service
    }
    prefill = sum(run.prompt_tokens for run in runs if not run.payload)
    needed = sum(
        by_reference[name][-1].prompt_tokens
        for name in useful
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
            for r in everything
            if r.kind.once and len(by_reference[r.reference]) > 1
        ],
        [
            r.reference
            for r in everything
            if r.verdict == "not_run" and by_reference[r.reference]
        ],
    )


def reference(run: wire.EngineRequest) -> str:
    """The unique name of the request behind a run."""
    return (run.payload or {}).get("reference", run.prompt)


def _goodput(results: dict[str, list[load.Result]]) -> list[TierGoodput]:
    rows = []
    for deployment, found in results.items():
        tiers = collections.defaultdict(list)
        for result in found:
            tiers[result.kind.tier].append(result)
        for tier, members in tiers.items():
            good = sum(r.in_time for r in members)
            began = sum(r.began_in_time for r in members)
            share = good / len(members)
            rows.append(
                TierGoodput(deployment, tier, len(members), good, share, began)
            )
    return rows


def describe(report: Report) -> str:
    """Writes a report as text."""
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
        output.table(head, rows),
        "",
        f"Wasted prefill: {report.wasted_tokens} of {report.prefill_tokens} "
        f"prompt tokens ({share:.1%})",
        f"Refusals by reason: {_counts(report.refusals)}",
        f"May have run, by cause: {_counts(report.may_have_run)}",
        f"Once-only requests that ran twice: {_names(report.ran_twice)}",
        f'"Not run" that was untrue: {_names(report.untrue)}',
    ]
    return "\n".join(lines)


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{k} {v}" for k, v in counts.items()) or "none"


def _names(names: list[str]) -> str:
    return json.dumps(names) if names else "none"
