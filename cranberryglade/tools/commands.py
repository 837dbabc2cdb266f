"""The cranberryglade program, with its commands."""

import click

from cranberryglade import configuration
from cranberryglade.tools import bench
from cranberryglade.tools import changes
from cranberryglade.tools import check
from cranberryglade.tools import configure
from cranberryglade.tools import demo
from cranberryglade.tools import observe
from cranberryglade.tools import place
from cranberryglade.tools import questionnaire
from cranberryglade.tools import replay
from cranberryglade.tools import soak
from cranberryglade.tools import standins
from cranberryglade.tools import submit

EPILOG = """\b
Exit codes:
  0  done, or the request ran
  1  failed: unreachable, refused or unreadable
  2  wrong usage, settings, answers or configuration
  3  the request did not run
  4  the request may have run
  5  another change was accepted first
"""


@click.group(epilog=EPILOG)
@click.version_option(package_name="cranberryglade")
def main() -> None:
    """Client of the cranberryglade request scheduler."""


for command in (
    bench.bench,
    check.check,
    configure.config,
    *(changes.make_group(kind) for kind in configuration.SECTION_OPTIONS),
    demo.demo,
    observe.drain,
    observe.endpoints,
    observe.order,
    observe.status,
    observe.watch,
    place.place,
    questionnaire.questionnaire,
    replay.replay,
    replay.trace_group,
    soak.soak,
    standins.standin,
    submit.cancel,
    submit.explain,
    submit.submit,
    submit.tickets,
):
    main.add_command(command)
