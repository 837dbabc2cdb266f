"""Benchmark commands; docs/CAPACITY.md has their results."""

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
    """Benchmarks a running daemon, or the scheduler core alone."""


@bench.command("engine")
@click.option(
    "--address",
    default="127.0.0.1:0",
    show_default=True,
    help="Address to listen on; port 0 selects a free one.",
)
@click.option(
    "--interval-ms",
    default=48.0,
    show_default=True,
    help="Time between two tokens of a stream.",
)
def start_engine(address: str, interval_ms: float) -> None:
    """Serves streams of one event per interval until it is stopped."""
    _run(_serve_engine(address, interval_ms / 1000))


@bench.command("load")
@click.option("--address", required=True, help="Caller address of the daemon.")
@click.option("--token", required=True, help="Token of an organisation.")
@click.option("--kind", required=True, help="Kind of every request.")
@click.option(
    "--rate", default=180.0, show_default=True, help="Requests per second."
)
@click.option(
    "--tokens", default=244, show_default=True, help="Tokens in each answer."
)
@click.option(
    "--ramp-seconds",
    default=14.0,
    show_default=True,
    help="Warm-up time before the measurement.",
)
@click.option(
    "--seconds",
    default=10.0,
    show_default=True,
    help="Duration of the measurement.",
)
@click.option(
    "--pid", default=0, help="Id of a process whose usage is measured."
)
@click.option(
    "--keyed", is_flag=True, help="Give each request a key of its own."
)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the sending times."
)
def send_load(**options) -> None:
    """Sends streamed requests and prints the measurements as JSON."""
    report = _run(benchload.run(benchload.Plan(**options)))
    click.echo(msgspec.json.encode(report).decode())


@bench.command("slopes")
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def print_slopes(as_json: bool) -> None:
    """Prints how decision time and memory grow with the size of the state."""
    for slope in benchslopes.measure_all():
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
    "--seconds",
    default=10.0,
    show_default=True,
    help="Duration of the measurement.",
)
def measure_rest(pids: tuple[int, ...], seconds: float) -> None:
    """Prints the mean resource usage of running daemons as JSON."""
    before = [processes.usage(pid) for pid in pids]
    time.sleep(seconds)
    after = [processes.usage(pid) for pid in pids]
    mean = processes.mean_usage(before, after, seconds)
    click.echo(msgspec.json.encode(mean).decode())


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
