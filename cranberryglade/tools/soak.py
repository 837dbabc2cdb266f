"""The command that runs the soak test."""

import asyncio
import pathlib
import secrets
import signal
import sys
import tempfile

import click

from cranberryglade.soak import run

EXIT_VIOLATED = 1
SEED_LIMIT = 1_000_000


@click.command()
@click.option(
    "--seed",
    "first",
    type=int,
    help="First seed; random when absent.",
)
@click.option(
    "--runs", default=1, show_default=True, help="Number of consecutive seeds."
)
@click.option(
    "--seconds", default=12.0, show_default=True, help="Duration of the faults."
)
@click.option(
    "--gateways", default=4, show_default=True, help="Gateway processes."
)
@click.option(
    "--endpoints", default=3, show_default=True, help="Stand-ins for endpoints."
)
@click.option(
    "--logs",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Directory for the gateways' logs; discarded when absent.",
)
def soak(first, runs, seconds, gateways, endpoints, logs) -> None:
    r"""Runs real gateways under random faults and checks their guarantees.

    Exits with 1 if a guarantee was violated; the same seed reproduces the same
    faults.

    \b
    Examples:
      cranberryglade soak --runs 20
      cranberryglade soak --seed 4 --seconds 30 --logs soak-logs
    """
    first_seed = secrets.randbelow(SEED_LIMIT) if first is None else first
    violated_runs = 0
    for seed in range(first_seed, first_seed + runs):
        outcome = _run_soak(seed, seconds, gateways, endpoints, logs)
        violated_runs += bool(outcome.violations)
        click.echo(
            f"seed {seed}: {outcome.faults} faults, "
            f"{outcome.served} of {outcome.submissions} served, "
            f"{len(outcome.violations)} violations"
        )
        for violation in outcome.violations:
            click.echo(
                f"  {violation.guarantee}: {violation.id} {violation.detail}"
            )
    if violated_runs:
        sys.exit(EXIT_VIOLATED)


def _run_soak(seed, seconds, gateways, endpoints, logs) -> run.Outcome:
    with tempfile.TemporaryDirectory() as temporary:
        directory = logs / f"seed-{seed}" if logs else pathlib.Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        soak_run = run.Soak(directory, seed, seconds, gateways, endpoints)
        return asyncio.run(_until_stopped(soak_run))


async def _until_stopped(soak_run: run.Soak) -> run.Outcome:
    # Cancels the run on SIGTERM, so that it stops its gateways.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await soak_run.run()
