"""Benchmark commands; docs/CAPACITY.md has their results."""

import asyncio
import time

import click
import msgspec
import uvloop

from cranberryglade.tools import benchallocator
from cranberryglade.tools import benchengine
from cranberryglade.tools import benchload
from cranberryglade.tools import benchslopes
from cranberryglade.tools import processes


@click.group()
def bench() -> None:
    """Benchmarks a running daemon, or single parts of the scheduler."""


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


@bench.command("allocator")
@click.option(
    "--instances",
    default=195,
    show_default=True,
    help="Number of instances, with the allocator.",
)
@click.option(
    "--endpoints",
    default=59,
    show_default=True,
    help="Number of endpoints of the service.",
)
@click.option(
    "--slots", default=4, show_default=True, help="Slots of an endpoint."
)
@click.option(
    "--load",
    default=0.7,
    show_default=True,
    help="Requests that arrive, as a share of what the endpoints can run.",
)
@click.option(
    "--answer-seconds",
    default=0.35,
    show_default=True,
    help="Mean time that a request holds its slot.",
)
@click.option(
    "--organisations", default=19, show_default=True, help="Their number."
)
@click.option(
    "--seconds", default=5.0, show_default=True, help="Simulated time."
)
@click.option("--seed", default=1, show_default=True, help="Seed of the load.")
@click.option(
    "--remote-cost",
    default=1.0,
    show_default=True,
    help="Factor on the cost of endpoints in another failure domain.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def measure_allocator(as_json: bool, **options) -> None:
    """Prints the processor time of an allocator, by type of message."""
    measured = benchallocator.measure(benchallocator.Plan(**options))
    if as_json:
        click.echo(msgspec.json.encode(measured).decode())
        return
    click.echo(
        f"{measured.plan.requests_per_second:,.0f} requests/s:"
        f" {measured.cores:.3f} cores,"
        f" {measured.granted:,} granted, {measured.denied:,} denied,"
        f" at most {measured.most_waiting:,} waiting"
    )
    for kind, count in measured.counts.items():
        cost = measured.microseconds[kind]
        click.echo(f"  {kind:<12}  {count:>9,}  {cost:>10,.1f} us each")


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
