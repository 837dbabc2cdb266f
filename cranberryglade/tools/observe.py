"""Commands for operators who look at or drain a running deployment."""

import click
import msgspec

from cranberryglade import operators
from cranberryglade.scheduling import messages
from cranberryglade.tools import client
from cranberryglade.tools import output

FACTS_PATH = "/v1/operators/facts"
ORDERS = ("load", "role", "drain")
ORDER_EXIT_CODES = {409: output.EXIT_NOT_RUN, 504: output.EXIT_MAY_HAVE_RUN}


@click.command()
@output.connected
def status(connection: output.Connection) -> None:
    """Shows how one instance is: state, version, peers, load by target."""
    reply = connection.ask("GET", "/v1/operators/status")
    found = output.decode(reply, operators.StatusDocument)
    if connection.as_json:
        output.print_json(found)
        return
    confirmed = found.confirmed_seconds_ago
    ago = "never" if confirmed is None else f"{confirmed:.1f} s ago"
    click.echo(f"instance    {found.instance} ({found.state})")
    click.echo(f"version     {found.version}, confirmed {ago}")
    if found.accepted_version > found.version:
        click.echo(f"accepted    {found.accepted_version}, not in force here:")
    for problem in found.problems:
        click.echo(f"            {problem}")
    click.echo(f"unfinished  {found.unfinished} requests")
    for cause, count in found.uncertain.items():
        click.echo(f"uncertain   {count} requests: {cause}")
    versions = {p.instance: p.version for p in found.peer_versions}
    known = [f"{n} (knows {versions.get(n, '?')})" for n in found.peers]
    click.echo(f"peers       {', '.join(known) or 'none'}")
    rows = [
        (t.target, t.free_slots, t.waiting, t.wait_seconds)
        for t in found.targets
    ]
    head = ("target", "free slots", "waiting", "expected wait (s)")
    click.echo(output.table(head, rows))


@click.command()
@output.connected
def endpoints(connection: output.Connection) -> None:
    """Lists the endpoints as one instance sees them."""
    reply = connection.ask("GET", "/v1/operators/endpoints")
    found = output.decode(reply, list[operators.EndpointStatus])
    if connection.as_json:
        output.print_json(found)
        return
    names = operators.EndpointStatus.__struct_fields__
    rows = [tuple(getattr(row, name) for name in names) for row in found]
    click.echo(output.table(names, rows))


@click.command()
@click.argument("endpoint")
@output.connected
def drain(connection: output.Connection, endpoint: str) -> None:
    r"""Orders that an ENDPOINT get no new work; what runs there goes on.

    \b
    Example:
      cranberryglade drain assistant-3
    """
    reply = connection.ask(
        "POST",
        "/v1/operators/drain",
        operators.DrainRequest(endpoint=endpoint),
    )
    ordered = output.decode(reply, operators.DrainDocument)
    if connection.as_json:
        output.print_json(ordered)
    else:
        click.echo(f"{endpoint} gets no new work from now on")


@click.command()
@click.argument("endpoint")
@click.argument("kind", type=click.Choice(ORDERS))
@click.argument("value", default="")
@output.connected
def order(
    connection: output.Connection, endpoint: str, kind: str, value: str
) -> None:
    r"""Orders an ENDPOINT to load a VALUE, take a role, or drain.

    The order is given under a lease with a fencing number. Exit code 3 says
    that it was not carried out, 4 that it may have been.

    \b
    Examples:
      cranberryglade order assistant-3 load adapter-7
      cranberryglade order assistant-3 role prefill
    """
    reply = connection.ask(
        "POST",
        "/v1/operators/orders",
        operators.OrderRequest(endpoint=endpoint, kind=kind, value=value),
    )
    if reply.status in ORDER_EXIT_CODES:
        raise output.CommandError(
            output.explain_refusal(reply), ORDER_EXIT_CODES[reply.status]
        )
    done = output.decode(reply, operators.OrderOutcome)
    if connection.as_json:
        output.print_json(done)
    else:
        click.echo(f"done under fencing number {done.fencing_number}")


@click.command()
@click.option("--request", "request_id", default="", help="One request.")
@click.option("--organisation", default="", help="One organisation.")
@click.option("--decision", default="", help="One decision, such as refused.")
@click.option("--count", default=0, help="Stop after that many; 0 for never.")
@output.connected
def watch(
    connection: output.Connection,
    request_id: str,
    organisation: str,
    decision: str,
    count: int,
) -> None:
    r"""Shows the decisions of an instance as it takes them.

    \b
    Examples:
      cranberryglade watch
      cranberryglade watch --decision refused --organisation store-wien
    """
    wanted = {
        "request": request_id,
        "organisation": organisation,
        "decision": decision,
    }
    query = "&".join(f"{name}={text}" for name, text in wanted.items() if text)
    path = f"{FACTS_PATH}?{query}" if query else FACTS_PATH

    async def work(called: client.Client) -> None:
        left = count
        async for part in called.follow("GET", path):
            if isinstance(part, client.Reply):
                if part.status != 200:
                    raise output.CommandError(
                        f"refused: status {part.status}; is the "
                        "token an operator's?"
                    )
                continue
            _show(connection, part)
            left -= 1
            if left == 0:
                return

    try:
        connection.run(work)
    except client.LostError as error:
        raise output.CommandError(str(error)) from error
    except KeyboardInterrupt:
        return


def _show(connection: output.Connection, line: bytes) -> None:
    if connection.as_json:
        click.echo(line.rstrip())
        return
    fact = msgspec.json.decode(line, type=messages.Fact)
    numbers = " ".join(f"{m.name}={m.value:.3g}" for m in fact.measures)
    parts = (
        f"{fact.at:.3f}",
        f"{fact.decision:<10}",
        fact.request_id or "-",
        fact.subject,
        f"({fact.reason})",
        numbers,
    )
    click.echo(" ".join(part for part in parts if part))
