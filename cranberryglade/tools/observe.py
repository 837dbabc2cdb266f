"""Commands that show a deployment and give orders to its endpoints."""

import click
import msgspec

from cranberryglade import operators
from cranberryglade.scheduling import messages
from cranberryglade.tools import client
from cranberryglade.tools import output

FACTS_PATH = "/v1/operators/facts"
ORDER_KINDS = ("load", "role", "drain")
ORDER_EXIT_CODES = {409: output.EXIT_NOT_RUN, 504: output.EXIT_MAY_HAVE_RUN}


@click.command()
@output.connection_options
def status(connection: output.Connection) -> None:
    """Shows state, version, peers and load by target of one instance."""
    reply = connection.call("GET", "/v1/operators/status")
    document = output.decode_reply(reply, operators.StatusDocument)
    if connection.as_json:
        output.print_json(document)
        return
    confirmed = document.confirmed_seconds_ago
    ago = "never" if confirmed is None else f"{confirmed:.1f} s ago"
    click.echo(f"instance    {document.instance} ({document.state})")
    click.echo(f"version     {document.version}, confirmed {ago}")
    if document.accepted_version > document.version:
        click.echo(
            f"accepted    {document.accepted_version}, not in force here:"
        )
    for problem in document.problems:
        click.echo(f"            {problem}")
    click.echo(f"unfinished  {document.unfinished} requests")
    for cause, count in document.uncertain.items():
        click.echo(f"uncertain   {count} requests: {cause}")
    versions = {p.instance: p.version for p in document.peer_versions}
    peers = [f"{n} (version {versions.get(n, '?')})" for n in document.peers]
    click.echo(f"peers       {', '.join(peers) or 'none'}")
    rows = [
        (t.target, t.free_slots, t.waiting, t.wait_seconds)
        for t in document.targets
    ]
    head = ("target", "free slots", "waiting", "expected wait (s)")
    click.echo(output.format_table(head, rows))


@click.command()
@output.connection_options
def endpoints(connection: output.Connection) -> None:
    """Lists the endpoints as one instance sees them."""
    reply = connection.call("GET", "/v1/operators/endpoints")
    document = output.decode_reply(reply, list[operators.EndpointStatus])
    if connection.as_json:
        output.print_json(document)
        return
    names = operators.EndpointStatus.__struct_fields__
    rows = [tuple(getattr(row, name) for name in names) for row in document]
    click.echo(output.format_table(names, rows))


@click.command()
@click.argument("endpoint")
@output.connection_options
def drain(connection: output.Connection, endpoint: str) -> None:
    r"""Stops new work to an ENDPOINT; requests that run there continue.

    \b
    Example:
      cranberryglade drain assistant-3
    """
    reply = connection.call(
        "POST",
        "/v1/operators/drain",
        operators.DrainRequest(endpoint=endpoint),
    )
    drained = output.decode_reply(reply, operators.DrainDocument)
    if connection.as_json:
        output.print_json(drained)
    else:
        click.echo(f"{endpoint} gets no new work from now on")


@click.command()
@click.argument("endpoint")
@click.argument("kind", type=click.Choice(ORDER_KINDS))
@click.argument("value", default="")
@output.connection_options
def order(
    connection: output.Connection, endpoint: str, kind: str, value: str
) -> None:
    r"""Orders an ENDPOINT to load VALUE, take the role VALUE, or drain.

    The order is sent under a lease with a fencing number. Exit code 3 means
    that it was not carried out, 4 that it may have been.

    \b
    Examples:
      cranberryglade order assistant-3 load adapter-7
      cranberryglade order assistant-3 role prefill
    """
    reply = connection.call(
        "POST",
        "/v1/operators/orders",
        operators.OrderRequest(endpoint=endpoint, kind=kind, value=value),
    )
    if reply.status in ORDER_EXIT_CODES:
        raise output.CommandError(
            output.explain_refusal(reply), ORDER_EXIT_CODES[reply.status]
        )
    outcome = output.decode_reply(reply, operators.OrderOutcome)
    if connection.as_json:
        output.print_json(outcome)
    else:
        click.echo(f"done with fencing number {outcome.fencing_number}")


@click.command()
@click.option("--request", "request_id", default="", help="Only this request.")
@click.option("--organisation", default="", help="Only this organisation.")
@click.option(
    "--decision", default="", help="Only this decision, such as refused."
)
@click.option(
    "--count", default=0, help="Stop after this many decisions; 0 for no limit."
)
@output.connection_options
def watch(
    connection: output.Connection,
    request_id: str,
    organisation: str,
    decision: str,
    count: int,
) -> None:
    r"""Shows the decisions of an instance as it makes them.

    \b
    Examples:
      cranberryglade watch
      cranberryglade watch --decision refused --organisation store-wien
    """
    filters = {
        "request": request_id,
        "organisation": organisation,
        "decision": decision,
    }
    query = "&".join(f"{name}={text}" for name, text in filters.items() if text)
    path = f"{FACTS_PATH}?{query}" if query else FACTS_PATH

    async def work(http_client: client.Client) -> None:
        remaining = count
        async for part in http_client.stream("GET", path):
            if isinstance(part, client.Reply):
                if part.status != 200:
                    raise output.CommandError(
                        f"refused with status {part.status}; "
                        "check that the token is an operator's"
                    )
                continue
            _print_fact(connection, part)
            remaining -= 1
            if remaining == 0:
                return

    try:
        connection.run(work)
    except client.ConnectionLostError as error:
        raise output.CommandError(str(error)) from error
    except KeyboardInterrupt:
        return


def _print_fact(connection: output.Connection, line: bytes) -> None:
    if connection.as_json:
        click.echo(line.rstrip())
        return
    fact = msgspec.json.decode(line, type=messages.Fact)
    measures = " ".join(f"{m.name}={m.value:.3g}" for m in fact.measures)
    parts = (
        f"{fact.at:.3f}",
        f"{fact.decision:<10}",
        fact.request_id or "-",
        fact.subject,
        f"({fact.reason})",
        measures,
    )
    click.echo(" ".join(part for part in parts if part))
