"""The command that runs the soak."""

import asyncio
import pathlib
import secrets
import signal
import sys
import tempfile

import click

from cranberryglade.soak import run

EXIT_BROKEN = 1
FRESH_SEEDS = 1_000_000


@click.command()
@click.option(
    "--seed",
    "first",
    type=int,
    help="First seed; drawn when absent.",
)
@click.option("--runs", default=1, show_default=True, help="Seeds in a row.")
@click.option(
    "--seconds", default=12.0, show_default=True, help="Time with faults."
)
@click.option(
    "--gateways", default=4, show_default=True, help="Gateway processes."
)
@click.option(
    "--endpoints", default=3, show_default=True, help="Stand-ins of endpoints."
)
@click.option(
    "--logs",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Where the gateways' logs are kept; dropped when absent.",
)
def soak(first, runs, seconds, gateways, endpoints, logs) -> None:
    r"""Runs real gateways under random faults and checks the promises.

    Exits with 1 if a promise was broken; the seed brings its faults about
    again.

    \b
    Examples:
      cranberryglade soak --runs 20
      cranberryglade soak --seed 4 --seconds 30 --logs soak-logs
    """
    begun = secrets.randbelow(FRESH_SEEDS) if first is None else first
    broken = 0
    for seed in range(begun, begun + runs):
        outcome = _play(seed, seconds, gateways, endpoints, logs)
        broken += bool(outcome.violations)
        click.echo(
            f"seed {seed}: {outcome.faults} faults, "
            f"{outcome.served} of {outcome.submissions} served, "
            f"{len(outcome.violations)} broken"
        )
        for each in outcome.violations:
            click.echo(f"  {each.promise}: {each.id} {each.detail}")
    if broken:
        sys.exit(EXIT_BROKEN)


def _play(seed, seconds, gateways, endpoints, logs) -> run.Outcome:
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs / f"seed-{seed}" if logs else pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        played = run.Soak(folder, seed, seconds, gateways, endpoints)
        return asyncio.run(_until_stopped(played))


async def _until_stopped(played: run.Soak) -> run.Outcome:
    # Being asked to stop must not leave the gateways behind.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await played.run()
