"""The command that asks a new team about its deployment."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import pathlib

import click
from returns.result import Failure
from returns.result import Success

from cranberryglade import configuration
from cranberryglade import options
from cranberryglade.tools import generation
from cranberryglade.tools import output
from cranberryglade.tools import questions

CONFIGURATION_FILE = "configuration.ini"
INTERACTIVE = "answers"
QUESTIONS = {
    ("deployment", "name"): "Name of the deployment",
    ("deployment", "weighs"): (
        "What weighs more, answers that are late or prefill thrown away"
    ),
    ("target", "kind"): "A model or a plain service",
    ("target", "fenced"): (
        "Do its endpoints refuse orders with an old fencing number"
    ),
    ("tier", "rank"): "Rank, 0 is shed last",
    ("tier", "first_token_ms"): "First token due within",
    ("request", "target"): "Which model or service runs it",
    ("request", "tier"): "Which tier is it in",
    ("request", "repeatable"): "May it run more than once",
    ("request", "answer"): "Length of the answer, none for a plain service",
    ("request", "deadline_ms"): ("Whole answer due within"),
    ("organisation", "weight"): "Share of capacity",
    ("platform", "address"): "Address of the platform's services",
    ("instance", "failure_domain"): "Failure domain",
    ("instance", "caller_address"): "Address for callers",
    ("instance", "peer_address"): "Address for the other instances",
}
LISTS = {
    "target": "models and services",
    "tier": "tiers",
    "request": "kinds of request",
    "organisation": "organisations",
    "operator": "operators",
    "instance": "entry instances",
}


@click.command()
@click.option(
    "--answers",
    "answers_path",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Answers in INI or JSON; without it you are asked.",
)
@click.option(
    "--output",
    "directory",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    default=".",
    show_default=True,
    help="Where configuration.ini and one NAME.ini per instance go.",
)
@click.option("--force", is_flag=True, help="Overwrite files that exist.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def questionnaire(
    answers_path: pathlib.Path | None,
    directory: pathlib.Path,
    force: bool,
    as_json: bool,
) -> None:
    r"""Asks about a deployment and writes its configuration.

    Tokens that the answers do not give are made up and printed once; the
    configuration holds their SHA-256 digests alone.

    \b
    Examples:
      cranberryglade questionnaire
      cranberryglade questionnaire --answers samples/werkliste/answers.ini \
          --output /tmp/werkliste
    """
    if answers_path is None:
        checked = questions.check(_ask_all(), INTERACTIVE)
    else:
        checked = questions.read(
            output.read_file(answers_path), str(answers_path)
        )
    match checked:
        case Failure(problems):
            _fail(problems)
        case Success(answers):
            _write(generation.generate(answers), directory, force, as_json)


def _fail(problems: list[options.Problem]) -> None:
    text = "\n".join(str(problem) for problem in problems)
    raise output.CommandError(text, output.EXIT_INVALID)


def _write(
    generated: generation.Generated,
    directory: pathlib.Path,
    force: bool,
    as_json: bool,
) -> None:
    match configuration.parse(generated.configuration, 1, CONFIGURATION_FILE):
        case Failure(problems):
            _fail(problems)
    files = {CONFIGURATION_FILE: generated.configuration}
    for name, text in generated.settings.items():
        files[f"{name}.ini"] = text
    present = [name for name in files if (directory / name).exists()]
    if present and not force:
        raise output.CommandError(
            f"{directory}: {', '.join(present)} exist; --force overwrites them"
        )
    directory.mkdir(parents=True, exist_ok=True)
    for name, text in files.items():
        (directory / name).write_text(text, encoding="utf-8")
    if as_json:
        output.print_json({"files": list(files), "secrets": generated.secrets})
        return
    for name in files:
        click.echo(f"wrote {directory / name}")
    if generated.secrets:
        click.echo("Tokens, shown this once:")
    for secret in generated.secrets:
        click.echo(f"  {secret.section}: {secret.token}")


def _ask_all() -> dict[str, dict[str, str]]:
    sections = {
        "deployment": _ask_section("deployment", configuration.DEPLOYMENT)
    }
    for kind, declared in questions.NAMED.items():
        click.echo(f"\nNow the {LISTS[kind]}; an empty name ends the list.")
        while name := _ask_name(kind, sections):
            known = [_known(option, sections) for option in declared]
            sections[f"{kind} {name}"] = _ask_section(kind, known)
    sections["platform"] = _ask_section(
        "platform", questions.SINGLE["platform"]
    )
    return sections


def _ask_name(kind: str, sections: dict[str, dict[str, str]]) -> str:
    needed = kind in questions.REQUIRED and not _names(kind, sections)

    def read(text: str) -> str:
        if not text and needed:
            raise ValueError(text)
        return options.parse_name(text) if text else ""

    return _prompt(f"Name of the next {kind}", read, configuration.NAME, "")


def _names(kind: str, sections: dict[str, dict[str, str]]) -> list[str]:
    pairs = (section.split(" ", 1) for section in sections if " " in section)
    return [name for found, name in pairs if found == kind]


def _known(
    option: options.Option, sections: dict[str, dict[str, str]]
) -> options.Option:
    """Narrows an option that names another section to what was entered."""
    names = _names(option.name, sections)
    if not names:
        return option
    return dataclasses.replace(
        option,
        parse=options.choice(names),
        allowed="one of " + ", ".join(names),
    )


def _ask_section(
    kind: str, declared: Sequence[options.Option]
) -> dict[str, str]:
    answers = {}
    for option in declared:
        question = QUESTIONS.get((kind, option.name))
        if question is None:
            continue
        answers[option.name] = _ask(question, option)
    return answers


def _ask(question: str, option: options.Option) -> str:
    default = None
    if option.default is not options.REQUIRED:
        default = options.text_of(option.default)

    def read(text: str) -> str:
        option.parse(text)
        return text

    return _prompt(question, read, option.allowed, default)


def _prompt(
    question: str,
    read: Callable[[str], str],
    allowed: str,
    default: str | None,
) -> str:
    def process(text: str) -> str:
        try:
            return read(text)
        except ValueError as error:
            raise click.BadParameter(f"allowed is {allowed}") from error

    return click.prompt(
        question
        if allowed == configuration.NAME
        else f"{question} ({allowed})",
        default=default,
        value_proc=process,
        show_default=bool(default),
    )
