"""The program cranberryglade."""

import click

from cranberryglade.tools import replay
from cranberryglade.tools import standins


@click.group()
def main() -> None:
    """Client of the cranberryglade request scheduler."""


main.add_command(standins.standin)
main.add_command(replay.replay)
main.add_command(replay.trace_group)
