"""Commands that measure speed; see docs/CAPACITY.md for what they gave."""

import asyncio
import time

import click
import msgspec
import uvloop

from cranberryglade.tools import benchengine
from cranberryglade.tools import benchload
from cranberryglade.tools import benchslopes
from cranberryglade.tools import processes


@click.group()
def bench() -> None:
    """Measures a running daemon, or the scheduler core alone."""


@bench.command("engine")
@click.option(
    "--address",
    default="127.0.0.1:0",
    show_default=True,
    help="Where to listen; port 0 takes a free one.",
)
@click.option(
    "--interval-ms",
    default=48.0,
    show_default=True,
    help="Time between two tokens of a stream.",
)
def start_engine(address: str, interval_ms: float) -> None:
    """Serves streams of one event per interval until it is ended."""
    _run(_serve_engine(address, interval_ms / 1000))


@bench.command("load")
@click.option("--address", required=True, help="The daemon's, for callers.")
@click.option("--token", required=True, help="An organisation's token.")
@click.option("--kind", required=True, help="Kind of every request.")
@click.option(
    "--rate", default=180.0, show_default=True, help="Requests per second."
)
@click.option(
    "--tokens", default=244, show_default=True, help="Length of each answer."
)
@click.option(
    "--ramp-seconds",
    default=14.0,
    show_default=True,
    help="Time before anything is measured.",
)
@click.option(
    "--seconds", default=10.0, show_default=True, help="Time measured."
)
@click.option("--pid", default=0, help="Process whose usage is measured.")
@click.option(
    "--keyed", is_flag=True, help="Give each request a key of its own."
)
@click.option(
    "--seed", default=1, show_default=True, help="Of the sending times."
)
def send_load(**options) -> None:
    """Sends streamed requests and prints what was measured as JSON."""
    report = _run(benchload.run(benchload.Plan(**options)))
    click.echo(msgspec.json.encode(report).decode())


@bench.command("slopes")
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def print_slopes(as_json: bool) -> None:
    """Prints how time and memory of the decisions grow with their state."""
    for slope in benchslopes.all_slopes():
        if as_json:
            click.echo(msgspec.json.encode(slope).decode())
            continue
        click.echo(
            f"{slope.name}: {slope.slope:g} {slope.unit} per {slope.per}"
        )
        for size, value in zip(slope.sizes, slope.values, strict=True):
            click.echo(f"  {size:>9,}  {value:>16,.2f} {slope.unit}")


@bench.command("rest")
@click.argument("pids", type=int, nargs=-1, required=True)
@click.option(
    "--seconds", default=10.0, show_default=True, help="Time measured."
)
def measure_rest(pids: tuple[int, ...], seconds: float) -> None:
    """Measures what running daemons spend, and prints the mean as JSON."""
    before = [processes.usage(pid) for pid in pids]
    time.sleep(seconds)
    after = [processes.usage(pid) for pid in pids]
    spent = processes.spending(before, after, seconds)
    click.echo(msgspec.json.encode(spent).decode())


async def _serve_engine(address: str, interval: float) -> None:
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    server = await loop.create_server(
        lambda: benchengine.BenchEngine(loop, interval), host, int(port)
    )
    bound = server.sockets[0].getsockname()
    click.echo(msgspec.json.encode({"address": f"{bound[0]}:{bound[1]}"}))
    await server.serve_forever()


def _run(coroutine):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)
