"""Commands that start stand-ins."""

import pathlib

import click
from returns.result import Failure
from returns.result import Success

from cranberryglade import wire
from cranberryglade.standins import engine
from cranberryglade.standins import model
from cranberryglade.standins import platform
from cranberryglade.standins import recording
from cranberryglade.standins import service
from cranberryglade.standins import serving
from cranberryglade.tools import output

address_option = click.option(
    "--address",
    default="127.0.0.1:0",
    show_default=True,
    help="Address to listen on; port 0 selects a free one.",
)


runs_option = click.option(
    "--runs-file",
    default="",
    help="File to append accepted requests to, one JSON line each.",
)
spans_option = click.option(
    "--spans-file",
    default="",
    help="File to append spans to, one JSON line each.",
)


@click.group()
def standin() -> None:
    """Starts a stand-in for an external system."""


@standin.command("platform")
@address_option
@click.option(
    "--instances",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="JSON file with the initial instance list, as in samples/.",
)
def start_platform(address: str, instances: pathlib.Path | None) -> None:
    """Serves a table service, an object store and an instance list."""
    listed = _read_instances(instances) if instances else []
    serving.serve(
        "platform", address, platform.PlatformStandin(listed).application()
    )


@standin.command("engine")
@address_option
@click.option(
    "--batch", default=8, show_default=True, help="Requests run at once."
)
@click.option(
    "--step-ms", default=10.0, show_default=True, help="Time of one step."
)
@runs_option
@spans_option
def start_engine(
    address: str,
    batch: int,
    step_ms: float,
    runs_file: str,
    spans_file: str,
) -> None:
    """Serves a model engine with continuous batching."""
    speed = model.Speed(batch=batch, step_seconds=step_ms / 1000)
    recorder = recording.Recorder("engine", runs_file, spans_file)
    serving.serve(
        "engine", address, engine.EngineStandin(speed, recorder).application()
    )


@standin.command("service")
@address_option
@runs_option
@spans_option
def start_service(address: str, runs_file: str, spans_file: str) -> None:
    """Serves a plain service that counts its effects."""
    recorder = recording.Recorder("service", runs_file, spans_file)
    serving.serve(
        "service", address, service.ServiceStandin(recorder).application()
    )


def _read_instances(path: pathlib.Path) -> list[wire.InstanceDocument]:
    data = output.read_file(path).encode()
    match wire.decode(data, wire.InstanceList):
        case Success(listed):
            return listed.instances
        case Failure(detail):
            raise output.CommandError(f"{path}: {detail}", output.EXIT_INVALID)
