"""The program cranberryglade."""

import click

from cranberryglade.tools import bench
from cranberryglade.tools import standins


@click.group()
def main() -> None:
    """Client of the cranberryglade request scheduler."""


main.add_command(standins.standin)
main.add_command(bench.bench)
