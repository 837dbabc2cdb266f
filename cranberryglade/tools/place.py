"""The command that shows where a request would go now, and why."""

from urllib import parse

import click

from cranberryglade.gateway import status
from cranberryglade.placement import explaining
from cranberryglade.tools import output

COLUMNS = explaining.EndpointTerms.__struct_fields__


@click.command()
@click.argument("host")
@click.argument("path")
@click.option("--instance", default="", help="Instance that it arrives at.")
@click.option(
    "--prompt-tokens",
    default=0,
    type=click.IntRange(0),
    help="Length of its prompt.",
)
@click.option(
    "--output-tokens",
    default=0,
    type=click.IntRange(0),
    help="Expected length of its answer.",
)
@output.connection_options
def place(connection: output.Connection, host: str, path: str, **query) -> None:
    r"""Shows where a request for HOST and PATH would go now, and why.

    Nothing is sent to an endpoint. The address is that of the metrics of the
    gateway that grants the slots; the token is the request's API key. The cost
    of each endpoint is listed with its terms, the best first.

    \b
    Example:
      cranberryglade place api.example.com /search/x --address 10.0.0.4:7601
    """
    fields = parse.urlencode({"host": host, "path": path, **query})
    reply = connection.call("GET", f"{status.PLACE_PATH.decode()}?{fields}")
    if reply.status in (400, 409):
        raise output.CommandError(reply.body.decode())
    placement = output.decode_reply(reply, explaining.Placement)
    if connection.as_json:
        output.print_json(placement)
        return
    organisation = placement.organisation or "anonymous"
    click.echo(f"route    {placement.route}, {organisation}")
    click.echo(f"from     {placement.instance}")
    click.echo(f"waiting  {placement.waiting} requests")
    for service in placement.services:
        chosen = service.chosen or "none is free: it would wait"
        click.echo(f"\n{service.service} ({service.weight:.0%}): {chosen}")
        rows = [
            tuple(_text(getattr(each, name)) for name in COLUMNS)
            for each in service.endpoints
        ]
        click.echo(output.format_table(COLUMNS, rows))


def _text(value: str | float | None) -> str | float:
    return "" if value is None else value
