"""The command that explores the life of a request."""

import contextlib
import dataclasses
import json
import pathlib
import sys
import time

import click
from returns.result import Failure
from returns.result import Success
import structlog

from cranberryglade.checking import request_life
from cranberryglade.checking import steps

EXIT_VIOLATED = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """What an exploration showed, as JSON.

    Attributes:
        walks: number of walks.
        depth: number of steps up to which all orders were tried.
        seconds: how long it took.
        trace: the walk that showed a violation; empty if none did.
        violations: what it showed.
        visited: cells that requests came through.
        excused: cells that excused an end.
        never_reached: cells that can happen and were not visited.
    """

    walks: int
    depth: int
    seconds: float
    trace: list[str]
    violations: list[str]
    visited: list[str]
    excused: list[str]
    never_reached: list[str]


@click.command()
@click.option(
    "--depth",
    type=click.IntRange(min=1),
    default=2,
    show_default=True,
    help="Number of steps up to which all orders are tried.",
)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the random walks."
)
@click.option(
    "--seconds",
    type=click.FloatRange(min=0, min_open=True),
    default=60.0,
    show_default=True,
    help="Time after which no further walk begins.",
)
@click.option(
    "--replay",
    "trace_file",
    type=click.Path(path_type=pathlib.Path),
    help="Plays the trace in this file, and nothing else.",
)
@click.option("--json", "as_json", is_flag=True, help="Prints JSON.")
def check(depth, seed, seconds, trace_file, as_json) -> None:
    r"""Explores what may become of requests on a real gateway.

    All orders of events up to a depth are tried, then random ones. Exits with 1
    if a request ended in a way that the table in docs/model.md does not
    allow; its trace is printed. Cells that no request came through are listed
    and do not count: without a violation it exits with 0, even if no cell was
    visited. With --replay, 0 means that this trace showed no violation; the
    cells that it was not meant to visit are listed as never reached.

    \b
    Examples:
      cranberryglade check --depth 2 --seconds 120 --seed 7
      cranberryglade check --replay found.trace
    """
    with _without_logs():
        if trace_file is None:
            report = _explore(depth, seed, seconds)
        else:
            report = _replay(_read_trace(trace_file))
    _print(report, as_json)
    if report.violations:
        sys.exit(EXIT_VIOLATED)


@contextlib.contextmanager
def _without_logs():
    """Discards the log lines of the gateways under test."""
    # Loggers that are in use keep this list, so that it is changed in place.
    processors = structlog.get_config()["processors"]
    saved = list(processors)
    processors[:] = [_drop]
    try:
        yield
    finally:
        processors[:] = saved


def _drop(logger, method_name, event):
    raise structlog.DropEvent


def _read_trace(path: pathlib.Path) -> steps.Trace:
    match steps.read(path):
        case Success(trace):
            return trace
        case Failure(steps.TraceError(line, reason)):
            place = f"{path}:{line}" if line else str(path)
            raise click.UsageError(f"{place}: {reason}")


def _explore(depth: int, seed: int, seconds: float) -> Report:
    exploring = _load_exploring()
    began = time.monotonic()
    exploration = exploring.Exploration(
        lambda: time.monotonic() - began >= seconds, _show_progress
    )
    exploration.try_all(depth)
    exploration.walk_randomly(seed)
    _end_progress()
    return _report(exploration, time.monotonic() - began)


def _replay(trace: steps.Trace) -> Report:
    exploring = _load_exploring()
    began = time.monotonic()
    exploration = exploring.Exploration(lambda: False)
    exploration.play(trace)
    return _report(exploration, time.monotonic() - began)


def _load_exploring():
    # Hypothesis is installed with the tools for development only.
    try:
        from cranberryglade.checking import exploring
    except ModuleNotFoundError as error:
        raise click.UsageError(
            f"{error.name} is missing; install cranberryglade[dev]"
        ) from error
    return exploring


def _report(exploration, seconds: float) -> Report:
    found = exploration.found
    return Report(
        walks=exploration.walks,
        depth=exploration.depth,
        seconds=round(seconds, 1),
        trace=[str(step) for step in found.trace] if found else [],
        violations=[
            f"{each.request or 'gateway'}: {each.detail}"
            for each in (found.violations if found else ())
        ],
        visited=_name(exploration.visited),
        excused=_name(exploration.excused),
        never_reached=_name(exploration.never_reached),
    )


def _name(positions) -> list[str]:
    return [
        f"{position.state.value}: {position.event.value}"
        for position in request_life.TABLE
        if position in set(positions)
    ]


def _print(report: Report, as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(report)))
        return
    click.echo(
        f"{report.walks} walks in {report.seconds} s, all orders of "
        f"{report.depth} steps"
    )
    click.echo(
        f"cells: {len(report.visited)} visited, {len(report.excused)} "
        f"excused an end, {len(report.never_reached)} never reached"
    )
    for cell in report.never_reached:
        click.echo(f"  never reached: {cell}")
    for violation in report.violations:
        click.echo(f"violation: {violation}")
    for step in report.trace:
        click.echo(f"  {step}")


def _show_progress(walks: int) -> None:
    if sys.stderr.isatty():
        click.echo(f"\r{walks} walks", nl=False, err=True)


def _end_progress() -> None:
    if sys.stderr.isatty():
        click.echo(err=True)
