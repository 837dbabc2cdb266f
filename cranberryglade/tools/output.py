"""Connection, output and exit codes of the commands."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import dataclasses
import functools
import pathlib
from typing import Any

import click
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import editing
from cranberryglade import wire
from cranberryglade.tools import client

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_NOT_RUN = 3
EXIT_MAY_HAVE_RUN = 4
EXIT_CONFLICT = 5

ADDRESS_VARIABLE = "CRANBERRYGLADE_ADDRESS"
TOKEN_VARIABLE = "CRANBERRYGLADE_TOKEN"
DEFAULT_ADDRESS = "127.0.0.1:8080"


class CommandError(click.ClickException):
    """Ends a command with a message and an exit code."""

    def __init__(self, message: str, code: int = EXIT_FAILED):
        super().__init__(message)
        self.exit_code = code


@dataclasses.dataclass(slots=True, frozen=True)
class Connection:
    """The instance that a command calls and the format of its output.

    Attributes:
        address: caller address of the instance, "host:port".
        token: token of an organisation or an operator.
        as_json: whether to print JSON.
    """

    address: str
    token: str
    as_json: bool

    def run(self, work: Callable[[client.Client], Coroutine]) -> Any:
        """Runs a coroutine function with a new client; returns its result."""
        return asyncio.run(self._run(work))

    async def _run(self, work: Callable[[client.Client], Coroutine]) -> Any:
        async with client.Client(self.address, self.token) as http_client:
            return await work(http_client)

    def call(
        self,
        method: str,
        path: str,
        document: wire.Document | None = None,
    ) -> client.Reply:
        """Makes one call and returns the reply.

        Raises:
            CommandError: there was no reply.
        """
        return require_reply(
            self.run(
                lambda http_client: http_client.call(method, path, document)
            )
        )


def connection_options(command: Callable) -> Callable:
    """Adds the options of a connection to a command.

    The command gets a Connection as its first argument.
    """

    @click.option(
        "--address",
        default=DEFAULT_ADDRESS,
        envvar=ADDRESS_VARIABLE,
        show_default=True,
        show_envvar=True,
        help="Caller address of any instance.",
    )
    @click.option(
        "--token",
        default="",
        envvar=TOKEN_VARIABLE,
        show_envvar=True,
        help="Token of an organisation or an operator.",
    )
    @click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    @functools.wraps(command)
    def wrapper(address: str, token: str, as_json: bool, **values):
        return command(Connection(address, token, as_json), **values)

    return wrapper


def require_reply(
    result: Result[client.Reply, client.FailedCall],
) -> client.Reply:
    """Returns the reply of a call.

    Raises:
        CommandError: there was no reply.
    """
    match result:
        case Success(reply):
            return reply
        case Failure(unanswered):
            raise CommandError(str(unanswered))


def decode_reply(reply: client.Reply, kind: Any) -> Any:
    """Decodes the document of a reply with status 200.

    Raises:
        CommandError: the status is another, or the document is unreadable.
    """
    if reply.status != 200:
        raise CommandError(explain_refusal(reply))
    match wire.decode(reply.body, kind):
        case Success(document):
            return document
        case Failure(detail):
            raise CommandError(f"the reply could not be decoded: {detail}")


def explain_refusal(reply: client.Reply) -> str:
    """Returns the reason of a refusal as text."""
    match wire.decode(reply.body, editing.ProblemsDocument):
        case Success(document):
            return _problems_text(document)
    match wire.decode(reply.body, wire.VerdictDocument):
        case Success(document):
            text = f"{document.verdict}: {document.reason}"
            if document.detail:
                text += f" ({document.detail})"
            if document.reason == "unauthenticated":
                text += f"; give --token or set {TOKEN_VARIABLE}"
            return text
        case _:
            return f"status {reply.status}"


def _problems_text(document: editing.ProblemsDocument) -> str:
    lines = list(document.problems)
    for title, revision in (
        ("present", document.present),
        ("proposed", document.proposed),
    ):
        if revision is not None:
            lines += [f"{title}, by {revision.operator}:", revision.text]
    return "\n".join(lines)


def read_file(path: pathlib.Path) -> str:
    """Reads a UTF-8 text file.

    Raises:
        CommandError: the file could not be read or decoded.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}", EXIT_INVALID) from error


def print_note(message: str) -> None:
    """Prints progress to standard error."""
    click.echo(message, err=True)


def print_json(document: Any) -> None:
    """Prints a document as JSON."""
    click.echo(msgspec.json.encode(document))


def format_table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Formats rows in columns; columns of numbers are aligned to the right.

    >>> print(format_table(("tier", "rank"), [("desk", 0)]))
    tier  rank
    desk     0
    """
    cells = [tuple(head), *(tuple(_cell(item) for item in r) for r in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(head))]
    right_aligned = [
        bool(rows) and all(isinstance(r[i], int | float) for r in rows)
        for i in range(len(head))
    ]
    lines = [
        "  ".join(
            item.rjust(width) if to_right else item.ljust(width)
            for item, width, to_right in zip(
                row, widths, right_aligned, strict=True
            )
        ).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def _cell(item: Any) -> str:
    match item:
        case bool():
            return "yes" if item else "no"
        case float():
            return f"{item:.3f}"
        case _:
            return str(item)
