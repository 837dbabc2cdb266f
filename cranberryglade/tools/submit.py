"""Commands for callers: send, cancel and explain requests, obtain tickets."""

import json
import pathlib
from typing import TextIO

import click
import msgspec
from returns.result import Success

from cranberryglade import explanations
from cranberryglade import wire
from cranberryglade.tools import client
from cranberryglade.tools import explanation_text
from cranberryglade.tools import loglines
from cranberryglade.tools import output
from cranberryglade.tools import sending

DEFAULT_PATIENCE_SECONDS = 30.0
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
@click.option("--prefix", default="", help="Name of the shared prompt prefix.")
@click.option(
    "--max-tokens",
    type=click.IntRange(1),
    help="Maximum number of tokens in the answer.",
)
@click.option(
    "--deadline-ms", type=click.IntRange(1), help="Time for the whole answer."
)
@click.option("--key", default="", help="Idempotency key of the request.")
@click.option("--ticket", default="", help="Ticket to send the request under.")
@click.option("--stream", is_flag=True, help="Print tokens as they arrive.")
@click.option(
    "--patience",
    default=DEFAULT_PATIENCE_SECONDS,
    show_default=True,
    type=click.FloatRange(min=0.0),
    help="Seconds during which refusals with a retry delay are retried.",
)
@output.connection_options
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
    twice. Exit code 3 means that it did not run, 4 that it may have run; in the
    latter case it is not sent again.

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
        payload=_parse_payload(payload),
        ticket=ticket or None,
        **fields,
    )

    async def work(http_client: client.Client) -> sending.Outcome:
        sender = sending.Sender(http_client, output.print_note)
        if not key and request.ticket is None:
            obtained = await sender.obtain_ticket()
            if isinstance(obtained, wire.VerdictDocument):
                return sending.Outcome(obtained, None, 0.0, 0)
            request.ticket = obtained
        return await sender.send(request, key, patience, on_token)

    streamed = request.stream and not connection.as_json
    on_token = _print_token if streamed else None
    outcome = connection.run(work)
    _print_outcome(connection, outcome, streamed)
    raise SystemExit(EXIT_CODES[outcome.document.verdict])


@click.command()
@click.argument("request_id")
@output.connection_options
def cancel(connection: output.Connection, request_id: str) -> None:
    r"""Cancels a request.

    Exit code 3 means that it did not run, 4 that it may have run, 0 that it
    had already run.

    \b
    Example:
      cranberryglade cancel wien-a.entry-1.c0ffee.7.2f1c...
    """
    path = f"{sending.REQUESTS_PATH}/{request_id}"
    reply = connection.call("DELETE", path)
    match wire.decode(reply.body, wire.VerdictDocument):
        case Success(document) if document.verdict in EXIT_CODES:
            outcome = sending.Outcome(document, None, 0.0, 1)
            _print_outcome(connection, outcome, False)
            raise SystemExit(EXIT_CODES[document.verdict])
        case _:
            raise output.CommandError(output.explain_refusal(reply))


@click.command()
@click.option(
    "--count", default=1, show_default=True, help="Number of tickets."
)
@output.connection_options
def tickets(connection: output.Connection, count: int) -> None:
    """Obtains tickets, the request ids under which requests are sent."""
    reply = connection.call(
        "POST", sending.TICKETS_PATH, wire.TicketsRequest(count=count)
    )
    document = output.decode_reply(reply, wire.TicketsDocument)
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
    help='Gateway logs to read instead; "-" for standard input.',
)
@output.connection_options
def explain(
    connection: output.Connection,
    request_id: str,
    logs: tuple[TextIO, ...],
) -> None:
    r"""Shows hop by hop why a request waited, ran or was refused.

    An organisation may query its own requests, an operator all of them.

    \b
    Examples:
      cranberryglade explain wien-a.entry-1.c0ffee.7.2f1c...
      cranberryglade explain 023eb90c4fc3c2b1 --logs front-1.log
    """
    if logs:
        _explain_from_logs(logs, request_id)
        return
    path = f"{sending.REQUESTS_PATH}/{request_id}/explanation"
    reply = connection.call("GET", path)
    explanation = output.decode_reply(reply, explanations.ExplanationDocument)
    if connection.as_json:
        output.print_json(explanation)
    else:
        click.echo(explanation_text.describe(explanation))


def _explain_from_logs(logs: tuple[TextIO, ...], request_id: str) -> None:
    lines = loglines.parse(line for file in logs for line in file)
    history = loglines.request_history(lines, request_id)
    if not history:
        raise output.CommandError(f"{request_id}: not found in these logs")
    for line in history:
        click.echo(str(line))


def _parse_payload(text: str | None) -> dict | None:
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
            "--payload: must be a JSON object", output.EXIT_INVALID
        )
    return payload


def _print_token(text: str) -> None:
    click.echo(text, nl=False)


def _print_outcome(
    connection: output.Connection, outcome: sending.Outcome, streamed: bool
) -> None:
    document = outcome.document
    if connection.as_json:
        output.print_json(document)
        return
    if streamed and outcome.first_token_seconds is not None:
        click.echo()
    if document.verdict == "ran":
        if not streamed:
            click.echo(_answer_text(document))
        output.print_note(
            f"ran in {outcome.total_seconds:.3f} s as {document.request_id}"
        )
        return
    text = f"{document.verdict}: {document.reason}"
    if document.retry_after_ms is not None:
        text += f"; retry after {document.retry_after_ms / 1000:.1f} s"
    if document.detail:
        text += f" ({document.detail})"
    if document.request_id:
        text += f"; request {document.request_id}"
    if document.verdict == "may_have_run":
        text += "; it is not sent again, because that could run it twice"
    output.print_note(text)


def _answer_text(document: wire.VerdictDocument) -> str:
    try:
        return msgspec.json.decode(
            document.answer, type=wire.AnswerDocument
        ).text
    except msgspec.MsgspecError:
        return bytes(document.answer).decode()
