"""Commands for callers: send a request, obtain tickets, explain a request."""

import json
import pathlib
from typing import TextIO

import click
import msgspec
from returns.result import Success

from cranberryglade import explanations
from cranberryglade import wire
from cranberryglade.tools import client
from cranberryglade.tools import describing
from cranberryglade.tools import loglines
from cranberryglade.tools import output
from cranberryglade.tools import sending

PATIENCE_SECONDS = 30.0
EXIT_CODES = {
    "ran": output.EXIT_DONE,
    "not_run": output.EXIT_NOT_RUN,
    "may_have_run": output.EXIT_MAY_HAVE_RUN,
}


@click.command()
@click.argument("kind")
@click.option("--prompt", default="", help="Text for a model.")
@click.option(
    "--prompt-file",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="File that holds the text for a model.",
)
@click.option("--payload", help="JSON object for a plain service.")
@click.option("--prefix", default="", help="Name of the shared prompt part.")
@click.option("--max-tokens", type=click.IntRange(1), help="Longest answer.")
@click.option("--deadline-ms", type=click.IntRange(1), help="For the whole.")
@click.option("--key", default="", help="Idempotency key of your own.")
@click.option("--ticket", default="", help="Ticket obtained before.")
@click.option("--stream", is_flag=True, help="Print tokens as they come.")
@click.option(
    "--patience",
    default=PATIENCE_SECONDS,
    show_default=True,
    type=click.FloatRange(min=0.0),
    help="Seconds to go on sending after refusals that say when to return.",
)
@output.connected
def submit(
    connection: output.Connection,
    kind: str,
    prompt: str,
    prompt_file: pathlib.Path | None,
    payload: str | None,
    key: str,
    ticket: str,
    patience: float,
    **fields,
) -> None:
    r"""Sends a request of a KIND and prints its answer.

    Without --key or --ticket a ticket is obtained first, so that nothing runs
    twice. Exit code 3 says that it did not run, 4 that it may have run; then
    nothing is sent again.

    \b
    Examples:
      cranberryglade submit counter-question --prompt "Got M8 bolts?" --stream
      cranberryglade submit reservation --payload '{"item": 7}' --key till-3/88
    """
    if key and ticket:
        raise output.CommandError(
            "give --key or --ticket, not both", output.EXIT_INVALID
        )
    request = wire.RequestDocument(
        kind=kind,
        prompt=output.read_file(prompt_file) if prompt_file else prompt,
        payload=_payload(payload),
        ticket=ticket or None,
        **fields,
    )

    async def work(called: client.Client) -> sending.Outcome:
        sender = sending.Sender(called, output.note)
        if not key and request.ticket is None:
            obtained = await sender.ticket()
            if isinstance(obtained, wire.VerdictDocument):
                return sending.Outcome(obtained, None, 0.0, 0)
            request.ticket = obtained
        return await sender.send(request, key, patience, tokens)

    shows_tokens = request.stream and not connection.as_json
    tokens = _echo if shows_tokens else None
    outcome = connection.run(work)
    _report(connection, outcome, shows_tokens)
    raise SystemExit(EXIT_CODES[outcome.document.verdict])


@click.command()
@click.argument("request_id")
@output.connected
def cancel(connection: output.Connection, request_id: str) -> None:
    r"""Withdraws a request.

    Exit code 3 says that it did not run, 4 that it may have run, 0 that it
    had run before.

    \b
    Example:
      cranberryglade cancel wien-a.entry-1.c0ffee.7.2f1c...
    """
    path = f"{sending.REQUESTS_PATH}/{request_id}"
    reply = connection.ask("DELETE", path)
    match wire.decode(reply.body, wire.VerdictDocument):
        case Success(document) if document.verdict in EXIT_CODES:
            outcome = sending.Outcome(document, None, 0.0, 1)
            _report(connection, outcome, False)
            raise SystemExit(EXIT_CODES[document.verdict])
        case _:
            raise output.CommandError(output.explain_refusal(reply))


@click.command()
@click.option("--count", default=1, show_default=True, help="How many.")
@output.connected
def tickets(connection: output.Connection, count: int) -> None:
    """Obtains tickets: request ids under which to send requests."""
    reply = connection.ask(
        "POST", sending.TICKETS_PATH, wire.TicketsRequest(count=count)
    )
    document = output.decode(reply, wire.TicketsDocument)
    if connection.as_json:
        output.print_json(document)
        return
    for ticket in document.tickets:
        click.echo(ticket)


@click.command()
@click.argument("request_id")
@click.option(
    "--logs",
    type=click.File(encoding="utf-8", errors="replace"),
    multiple=True,
    help='Logs of gateways to read instead; "-" is standard input.',
)
@output.connected
def explain(
    connection: output.Connection,
    request_id: str,
    logs: tuple[TextIO, ...],
) -> None:
    r"""Says hop by hop why a request waited, ran or was refused.

    An organisation may ask about its own requests, an operator about all.

    \b
    Examples:
      cranberryglade explain wien-a.entry-1.c0ffee.7.2f1c...
      cranberryglade explain 023eb90c4fc3c2b1 --logs front-1.log
    """
    if logs:
        _explain_from(logs, request_id)
        return
    path = f"{sending.REQUESTS_PATH}/{request_id}/explanation"
    reply = connection.ask("GET", path)
    found = output.decode(reply, explanations.ExplanationDocument)
    if connection.as_json:
        output.print_json(found)
    else:
        click.echo(describing.describe(found))


def _explain_from(logs: tuple[TextIO, ...], request_id: str) -> None:
    lines = loglines.read(line for file in logs for line in file)
    story = loglines.way(lines, request_id)
    if not story:
        raise output.CommandError(f"{request_id}: in none of these logs")
    for line in story:
        click.echo(str(line))


def _payload(text: str | None) -> dict | None:
    if text is None:
        return None
    try:
        payload = json.loads(text)
    except ValueError as error:
        raise output.CommandError(
            f"--payload: {error}", output.EXIT_INVALID
        ) from error
    if not isinstance(payload, dict):
        raise output.CommandError(
            "--payload: a JSON object", output.EXIT_INVALID
        )
    return payload


def _echo(text: str) -> None:
    click.echo(text, nl=False)


def _report(
    connection: output.Connection, outcome: sending.Outcome, shown: bool
) -> None:
    document = outcome.document
    if connection.as_json:
        output.print_json(document)
        return
    if shown and outcome.first_token_seconds is not None:
        click.echo()
    if document.verdict == "ran":
        if not shown:
            click.echo(_answer(document))
        output.note(
            f"ran in {outcome.total_seconds:.3f} s as {document.request_id}"
        )
        return
    text = f"{document.verdict}: {document.reason}"
    if document.retry_after_ms is not None:
        text += f"; come back in {document.retry_after_ms / 1000:.1f} s"
    if document.detail:
        text += f" ({document.detail})"
    if document.request_id:
        text += f"; request {document.request_id}"
    if document.verdict == "may_have_run":
        text += "; it is not sent again, because that could run it twice"
    output.note(text)


def _answer(document: wire.VerdictDocument) -> str:
    try:
        return msgspec.json.decode(
            document.answer, type=wire.AnswerDocument
        ).text
    except msgspec.MsgspecError:
        return bytes(document.answer).decode()
