"""Commands that start stand-ins."""

import click

from cranberryglade.standins import engine
from cranberryglade.standins import model
from cranberryglade.standins import platform
from cranberryglade.standins import service
from cranberryglade.standins import serving

address_option = click.option(
    "--address",
    default="127.0.0.1:0",
    show_default=True,
    help="Where to listen; port 0 takes a free one.",
)


@click.group()
def standin() -> None:
    """Starts a stand-in for a system around the scheduler."""


@standin.command("platform")
@address_option
def start_platform(address: str) -> None:
    """Table service, object store and instance list."""
    serving.serve("platform", address, platform.PlatformStandin().application())


@standin.command("engine")
@address_option
@click.option("--batch", default=8, show_default=True)
@click.option(
    "--step-ms", default=10.0, show_default=True, help="Time of one step."
)
def start_engine(address: str, batch: int, step_ms: float) -> None:
    """A model engine that batches continuously."""
    speed = model.Speed(batch=batch, step_seconds=step_ms / 1000)
    serving.serve("engine", address, engine.EngineStandin(speed).application())


@standin.command("service")
@address_option
def start_service(address: str) -> None:
    """A plain service that counts its effects."""
    serving.serve("service", address, service.ServiceStandin().application())
