"""Commands about the shared configuration as a whole."""

import asyncio
import pathlib
import secrets

import click
from returns.result import Failure
from returns.result import Success

from cranberryglade import configuration
from cranberryglade import editing
from cranberryglade import proposals
from cranberryglade import revisions
from cranberryglade import tables
from cranberryglade.platform import store
from cranberryglade.tools import client
from cranberryglade.tools import output

CONFIGURATION_PATH = "/v1/operators/configuration"
PROPOSAL_ATTEMPTS = 3
HISTORY_PATH = "/v1/operators/configuration/history"
FIRST_VERSION = 1
PLATFORM_TIMEOUT_SECONDS = 5.0
STATUS_UNCERTAIN = 503
EXIT_CODES = {409: output.EXIT_CONFLICT, 422: output.EXIT_INVALID}

file_argument = click.argument(
    "file", type=click.Path(dir_okay=False, path_type=pathlib.Path)
)


@click.group()
def config() -> None:
    """Checks, proposes and shows the shared configuration."""


@config.command()
@file_argument
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(file: pathlib.Path, as_json: bool) -> None:
    r"""Checks a configuration file without sending it.

    \b
    Example:
      cranberryglade config check samples/werkliste/configuration.ini
    """
    parsed = configuration.parse(
        output.read_file(file), FIRST_VERSION, str(file)
    )
    problems = [str(problem) for problem in parsed.swap().value_or([])]
    if as_json:
        output.print_json(editing.ProblemsDocument(problems=problems))
    for problem in [] if as_json else problems:
        click.echo(problem, err=True)
    if problems:
        raise SystemExit(output.EXIT_INVALID)
    if not as_json:
        found = parsed.unwrap()
        click.echo(
            f"{file}: deployment {found.deployment}, {len(found.tiers)} tiers, "
            f"{len(found.organisations)} organisations, "
            f"{len(found.rules)} rules"
        )


@config.command()
@file_argument
@click.option(
    "--expected-version",
    type=click.IntRange(min=0),
    help="Version that the file was derived from; the one in force if absent.",
)
@click.option(
    "--platform",
    "platform_address",
    help="Write the first version directly to the platform's table service.",
)
@output.connection_options
def propose(
    connection: output.Connection,
    file: pathlib.Path,
    expected_version: int | None,
    platform_address: str | None,
) -> None:
    r"""Proposes a configuration, unless another change was accepted first.

    A new deployment has no operators yet, so its first version is written
    directly to the platform; this requires write access to it.

    \b
    Examples:
      cranberryglade config propose next.ini --expected-version 7
      cranberryglade config propose first.ini --platform 127.0.0.1:8090
    """
    text = output.read_file(file)
    if platform_address is not None:
        version = asyncio.run(_write_first(platform_address, text, str(file)))
    else:
        if expected_version is None:
            expected_version = fetch_current(connection).version
        version = propose_text(connection, text, expected_version)
    report_version(connection, version)


@config.command()
@output.connection_options
def show(connection: output.Connection) -> None:
    """Prints the configuration in force."""
    row = fetch_current(connection)
    if connection.as_json:
        output.print_json(row)
        return
    click.echo(f"; version {row.version}")
    click.echo(row.value, nl=False)


@config.command()
@output.connection_options
def history(connection: output.Connection) -> None:
    """Lists the accepted versions, newest last."""
    reply = connection.call("GET", HISTORY_PATH)
    entries = output.decode_reply(reply, list[editing.HistoryEntry])
    if connection.as_json:
        output.print_json(entries)
        return
    rows = [(e.version, e.operator, e.accepted_at) for e in entries]
    click.echo(
        output.format_table(("version", "operator", "accepted at"), rows)
    )


def fetch_current(connection: output.Connection) -> tables.Row:
    """Returns the configuration in force."""
    return output.decode_reply(
        connection.call("GET", CONFIGURATION_PATH), tables.Row
    )


def send_proposal(
    connection: output.Connection, text: str, expected_version: int
) -> client.Reply:
    """Proposes a configuration; repeats the proposal if its outcome is unknown.

    The nonce is the same each time, so that a proposal that was accepted is
    recognised and one that was not is made again.
    """
    proposal = editing.ProposalDocument(
        expected_version=expected_version,
        text=text,
        nonce=secrets.token_hex(proposals.NONCE_BYTES),
    )
    for _ in range(PROPOSAL_ATTEMPTS):
        reply = connection.call("PUT", CONFIGURATION_PATH, proposal)
        if reply.status != STATUS_UNCERTAIN:
            break
        output.print_note(
            "the platform did not report the outcome; proposing again"
        )
    return reply


def propose_text(
    connection: output.Connection, text: str, expected_version: int
) -> int:
    """Proposes a configuration and returns its version.

    Raises:
        CommandError: the proposal was refused or got no reply.
    """
    reply = send_proposal(connection, text, expected_version)
    if reply.status == 200:
        return output.decode_reply(reply, tables.Row).version
    code = EXIT_CODES.get(reply.status, output.EXIT_FAILED)
    raise output.CommandError(output.explain_refusal(reply), code)


def report_version(connection: output.Connection, version: int) -> None:
    """Prints the version that contains a change."""
    if connection.as_json:
        output.print_json({"version": version})
    else:
        click.echo(f"version {version} is accepted")


async def _write_first(address: str, text: str, source: str) -> int:
    parsed = configuration.parse(text, FIRST_VERSION, source)
    if isinstance(parsed, Failure):
        problems = [str(problem) for problem in parsed.failure()]
        raise output.CommandError("\n".join(problems), output.EXIT_INVALID)
    timeout = PLATFORM_TIMEOUT_SECONDS
    client = store.StoreClient(address, timeout, timeout)
    rows = tables.Tables(client)
    try:
        outcome = await rows.transact(
            [
                tables.RowWrite(
                    table=revisions.TABLE,
                    key=revisions.CURRENT_KEY,
                    expected_version=0,
                    value=text,
                )
            ]
        )
        stored = await rows.row(revisions.TABLE, revisions.CURRENT_KEY)
    finally:
        client.close()
    match outcome, stored:
        case Success(written), _ if written.committed:
            return FIRST_VERSION
        case _, Success(row) if row.value == text:
            return row.version
        case Success(_), Success(row):
            raise output.CommandError(
                f"version {row.version} is in force already",
                output.EXIT_CONFLICT,
            )
        case _:
            raise output.CommandError(
                f"the platform did not answer: {outcome.failure()}"
            )
