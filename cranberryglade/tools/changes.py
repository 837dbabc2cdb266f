"""Commands that change one tier, target, organisation, operator or rule.

Each reads the configuration in force, changes one section and proposes the
result for the version that it read. If another change was accepted first, it
starts again, unless that change was to the same section.
"""

from collections.abc import Callable
import dataclasses

import click

from cranberryglade import access
from cranberryglade import configuration
from cranberryglade import options
from cranberryglade.tools import configure
from cranberryglade.tools import generation
from cranberryglade.tools import output
from cranberryglade.tools import sections

MAXIMUM_ATTEMPTS = 5
DIGEST_OPTION = "token_sha256"
DESCRIPTIONS = {
    "tier": "how urgent requests are; rank 0 is shed last",
    "organisation": "who sends requests, and their share of capacity",
    "operator": "who may watch and change the deployment",
    "rule": "kinds of request: where they go, which may be repeated",
    "target": "models and services that rules send requests to",
}


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A change to one section.

    Attributes:
        section: name of the section, such as "tier counter".
        values: options to set, as texts.
        is_addition: whether the section is added; otherwise it must exist.
    """

    section: str
    values: dict[str, str]
    is_addition: bool


def apply(connection: output.Connection, change: Change) -> int:
    """Proposes a change and returns the version that contains it.

    Raises:
        CommandError: the change conflicts with another, is invalid or got no
            reply.
    """
    previous = None
    for _ in range(MAXIMUM_ATTEMPTS):
        row = configure.fetch_current(connection)
        current = sections.parse(row.value).get(change.section)
        _check_presence(change, current, previous, row.version)
        merged = {**(current or {}), **change.values}
        if current == merged:
            output.print_note(f"version {row.version} already contains this")
            return row.version
        text = sections.replace(row.value, change.section, merged)
        reply = configure.send_proposal(connection, text, row.version)
        if reply.status == 200:
            return row.version + 1
        if reply.status != 409:
            code = configure.EXIT_CODES.get(reply.status, output.EXIT_FAILED)
            raise output.CommandError(output.explain_refusal(reply), code)
        previous = current if current is not None else {}
        output.print_note(f"conflict on version {row.version}; trying again")
    raise output.CommandError(
        f"{MAXIMUM_ATTEMPTS} conflicts in a row; nothing was changed",
        output.EXIT_CONFLICT,
    )


def _check_presence(
    change: Change,
    current: dict[str, str] | None,
    previous: dict[str, str] | None,
    version: int,
) -> None:
    if change.is_addition and current is not None and current != change.values:
        raise output.CommandError(
            f"[{change.section}] exists in version {version}; change it",
            output.EXIT_CONFLICT,
        )
    if not change.is_addition and current is None:
        raise output.CommandError(
            f"[{change.section}] is not in version {version}; add it",
            output.EXIT_FAILED,
        )
    if not change.is_addition and previous is not None and current != previous:
        raise output.CommandError(
            f"[{change.section}] was changed by another operator: "
            f"it was {previous}, version {version} has {current}; "
            "nothing was changed",
            output.EXIT_CONFLICT,
        )


def make_group(kind: str) -> click.Group:
    """Returns the commands about one kind of section."""
    declared = configuration.SECTION_OPTIONS[kind]

    @click.group(kind, help=f"{kind.capitalize()}s: {DESCRIPTIONS[kind]}.")
    def commands() -> None:
        pass

    commands.add_command(_list_command(kind, declared))
    commands.add_command(_change_command(kind, declared, adds=True))
    commands.add_command(_change_command(kind, declared, adds=False))
    return commands


def _list_command(kind: str, declared) -> click.Command:
    @click.command("list", help=f"Lists the {kind}s in force.")
    @output.connection_options
    def list_all(connection: output.Connection) -> None:
        row = configure.fetch_current(connection)
        by_name = {
            section.partition(" ")[2]: values
            for section, values in sections.parse(row.value).items()
            if section.startswith(f"{kind} ")
        }
        if connection.as_json:
            output.print_json(by_name)
            return
        names = [option.name for option in declared]
        rows = [
            (name, *(_cell_text(values, option) for option in declared))
            for name, values in by_name.items()
        ]
        click.echo(output.format_table((kind, *names), rows))

    return list_all


def _cell_text(values: dict[str, str], option: options.Option) -> str:
    default = option.default
    if default is options.REQUIRED:
        default = "-"
    text = values.get(option.name, options.format_value(default))
    return text[:12] + "..." if option.name == DIGEST_OPTION else text


def _change_command(kind: str, declared, adds: bool) -> click.Command:
    verb = "add" if adds else "change"
    has_token = any(option.name == DIGEST_OPTION for option in declared)

    @click.command(verb, help=_help(kind, declared, verb))
    @click.argument("name")
    @output.connection_options
    def change(connection: output.Connection, name: str, **arguments) -> None:
        if not options.NAME_PATTERN.fullmatch(name):
            raise output.CommandError(
                f"name {name}: allowed is {configuration.NAME_FORMAT}",
                output.EXIT_INVALID,
            )
        new_token = arguments.pop("new_token", False)
        values = {k: v for k, v in arguments.items() if v is not None}
        token = ""
        if has_token and DIGEST_OPTION not in values and (adds or new_token):
            token = generation.new_token()
            values[DIGEST_OPTION] = access.token_digest(token)
        if not values and not adds:
            raise output.CommandError(
                "nothing to change; see --help", output.EXIT_INVALID
            )
        version = apply(connection, Change(f"{kind} {name}", values, adds))
        _report(connection, version, token)

    command: Callable = change
    for option in reversed(declared):
        command = click.option(
            "--" + option.name.replace("_", "-"),
            option.name,
            help=_option_help(option, adds),
        )(command)
    if has_token and not adds:
        command = click.option(
            "--new-token", is_flag=True, help="Generate a new token."
        )(command)
    return command


def _report(connection: output.Connection, version: int, token: str) -> None:
    if connection.as_json:
        output.print_json({"version": version, "token": token or None})
        return
    configure.report_version(connection, version)
    if token:
        click.echo(f"token, shown only once: {token}")


def _option_help(option: options.Option, adds: bool) -> str:
    text = option.allowed[0].upper() + option.allowed[1:]
    if not adds:
        return text + "."
    if option.name == DIGEST_OPTION:
        return text + "; a token is generated when this is absent."
    if option.default is options.REQUIRED:
        return text + "; required."
    return f"{text}; default {options.format_value(option.default)}."


def _help(kind: str, declared, verb: str) -> str:
    article = "an" if kind[0] in "aeiou" else "a"
    flags = {
        "tier": "counter --rank 0 --first-token-ms 510",
        "organisation": "store-17 --weight 2",
        "operator": "night-shift",
        "rule": "deposit --target lists --tier counter --idempotent no",
        "target": "lists --kind service --fenced no",
    }[kind]
    return (
        f"{verb.capitalize()}s {article} {kind}.\n\n\b\nExample:\n"
        f"  cranberryglade {kind} {verb} {flags}"
    )
