"""Commands that generate and replay traces."""

import pathlib
import sys

import click
import msgspec

from cranberryglade.replay import generator
from cranberryglade.replay import measures
from cranberryglade.replay import reports
from cranberryglade.replay import runs
from cranberryglade.replay import traces
from cranberryglade.scheduling import policies

POLICY_NAMES = [policy.name for policy in policies.POLICIES]


@click.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path, exists=True))
@click.option(
    "--policy",
    "chosen",
    multiple=True,
    type=click.Choice(POLICY_NAMES),
    help="Policy to replay; all of them when absent.",
)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the callers."
)
@click.option(
    "--scene",
    "scenes",
    multiple=True,
    help="Scene of faults to replay, or 'all'; none when absent.",
)
@click.option(
    "--instances", type=int, help="Number of instances instead of the trace's."
)
@click.option(
    "--report",
    type=click.Path(path_type=pathlib.Path),
    help="File for a plot over time (PNG).",
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON line per policy."
)
def replay(path, chosen, seed, scenes, instances, report, as_json) -> None:
    r"""Replays the trace at PATH under one policy or all, in virtual time.

    \b
    Examples:
      cranberryglade replay samples/traces/werkliste-overload.jsonl
      cranberryglade replay samples/traces/tulikalpa-steady.jsonl \
        --policy predictive --scene straggler --report straggler.png
    """
    try:
        trace = traces.read(path)
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    unknown = set(scenes) - set(trace.scenes) - {"all"}
    if unknown:
        available = ", ".join(trace.scenes) or "none"
        raise click.BadParameter(f"scenes of this trace: {available}")
    selected = set(trace.scenes) if "all" in scenes else set(scenes)
    trace = trace.with_scenes(selected)
    if instances:
        header = msgspec.structs.replace(trace.header, instances=instances)
        trace = msgspec.structs.replace(trace, header=header)
    results = [_run(trace, name, seed) for name in chosen or POLICY_NAMES]
    found = [measures.figures(result) for result in results]
    for line in found if as_json else []:
        click.echo(msgspec.json.encode(line))
    if not as_json:
        click.echo(reports.table(trace, found))
    if report is not None:
        reports.plot(results, report)


def _run(trace: traces.Trace, policy: str, seed: int) -> runs.Result:
    def progress(seconds: float) -> None:
        if sys.stderr.isatty():
            click.echo(f"\r{policy}: {seconds:.0f} s", nl=False, err=True)

    result = runs.Run(trace, policy, seed).run(progress)
    progress(trace.duration_seconds)
    return result


@click.group("trace")
def trace_group() -> None:
    """Generates traces."""


@trace_group.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--deployment",
    type=click.Choice(sorted(generator.DEPLOYMENTS)),
    required=True,
    help="Deployment whose requests, organisations and endpoints are used.",
)
@click.option(
    "--load",
    default=0.7,
    show_default=True,
    help="Load as a fraction of capacity.",
)
@click.option("--seconds", default=120.0, help="Time in which requests arrive.")
@click.option("--seed", default=1, help="Seed of the random numbers.")
@click.option("--instances", default=2, help="Number of entry instances.")
def make(path, deployment, load, seconds, seed, instances) -> None:
    r"""Writes a generated trace to PATH.

    \b
    Example:
      cranberryglade trace make new.jsonl --deployment werkliste --load 1.5
    """
    trace = generator.make(deployment, load, seconds, seed, instances)
    traces.write(path, trace)
    click.echo(f"{len(trace.requests)} requests")
