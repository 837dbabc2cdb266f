"""How commands connect, print and exit."""

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
ADDRESS = "127.0.0.1:8080"


class CommandError(click.ClickException):
    """Ends a command with a message and an exit code."""

    def __init__(self, message: str, code: int = EXIT_FAILED):
        super().__init__(message)
        self.exit_code = code


@dataclasses.dataclass(slots=True, frozen=True)
class Connection:
    """Whom a command calls and how it prints.

    Attributes:
        address: an instance, "host:port".
        token: token of an organisation or an operator.
        as_json: whether the output is for programs.
    """

    address: str
    token: str
    as_json: bool

    def run(self, work: Callable[[client.Client], Coroutine]) -> Any:
        """Runs a coroutine function with a client."""
        return asyncio.run(self._run(work))

    async def _run(self, work: Callable[[client.Client], Coroutine]) -> Any:
        async with client.Client(self.address, self.token) as called:
            return await work(called)

    def ask(
        self,
        method: str,
        path: str,
        document: wire.Document | None = None,
    ) -> client.Reply:
        """Makes one call; exits with a message if there is no answer."""
        return expect(
            self.run(lambda called: called.call(method, path, document))
        )


def connected(command: Callable) -> Callable:
    """Gives a command the options of a connection."""

    @click.option(
        "--address",
        default=ADDRESS,
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
    @click.option(
        "--json", "as_json", is_flag=True, help="Print JSON for programs."
    )
    @functools.wraps(command)
    def wrapped(address: str, token: str, as_json: bool, **values):
        return command(Connection(address, token, as_json), **values)

    return wrapped


def expect(result: Result[client.Reply, client.Unanswered]) -> client.Reply:
    """Returns the reply, or exits with a message if there is none."""
    match result:
        case Success(reply):
            return reply
        case Failure(unanswered):
            raise CommandError(str(unanswered))


def decode(reply: client.Reply, kind: Any) -> Any:
    """Reads the document of a good reply; exits with a message otherwise."""
    if reply.status != 200:
        raise CommandError(explain_refusal(reply))
    match wire.decode(reply.body, kind):
        case Success(document):
            return document
        case Failure(detail):
            raise CommandError(f"the answer could not be read: {detail}")


def explain_refusal(reply: client.Reply) -> str:
    """Says in words why a call was refused."""
    match wire.decode(reply.body, editing.ProblemsDocument):
        case Success(document):
            return _problems(document)
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


def _problems(document: editing.ProblemsDocument) -> str:
    lines = list(document.problems)
    for title, revision in (
        ("present", document.present),
        ("proposed", document.proposed),
    ):
        if revision is not None:
            lines += [f"{title}, by {revision.operator}:", revision.text]
    return "\n".join(lines)


def read_file(path: pathlib.Path) -> str:
    """Reads a text file that a command was given."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}", EXIT_INVALID) from error


def note(message: str) -> None:
    """Prints progress to standard error."""
    click.echo(message, err=True)


def print_json(document: Any) -> None:
    """Prints a document for programs."""
    click.echo(msgspec.json.encode(document))


def table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Sets rows in columns.

    >>> print(table(("tier", "rank"), [("desk", 0)]))
    tier  rank
    desk     0
    """
    cells = [tuple(head), *(tuple(_cell(item) for item in r) for r in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(head))]
    right = [
        bool(rows) and all(isinstance(r[i], int | float) for r in rows)
        for i in range(len(head))
    ]
    lines = [
        "  ".join(
            item.rjust(width) if to_right else item.ljust(width)
            for item, width, to_right in zip(row, widths, right, strict=True)
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
