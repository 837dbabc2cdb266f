"""The program cranberrygladed."""

import asyncio
import gc
import sys

import click
from returns.result import Failure
from returns.result import Success
import uvloop

from cranberryglade import instance
from cranberryglade import log
from cranberryglade import settings

EXIT_SETTINGS = 2
EXIT_ADDRESS = 1
COLLECTOR_THRESHOLDS = (50_000, 20, 100)


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False),
    help="INI file, as described in docs/settings.md.",
)
def main(path: str) -> None:
    """Runs one instance of the request scheduler until SIGTERM."""
    match settings.read(path):
        case Failure(problems):
            for problem in problems:
                click.echo(str(problem), err=True)
            sys.exit(EXIT_SETTINGS)
        case Success(configured):
            _run(configured)


def _run(configured: settings.Settings) -> None:
    log.configure(configured.log_level, configured.instance)
    _tune_collector()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(configured))
    except OSError as error:
        click.echo(f"cannot listen: {error}", err=True)
        sys.exit(EXIT_ADDRESS)


async def _serve(configured: settings.Settings) -> None:
    await instance.Instance(configured).run()


def _tune_collector() -> None:
    # A full garbage collection pauses every stream: freezing what exists at
    # the start keeps it small, the thresholds keep it rare.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
