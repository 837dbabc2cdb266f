"""The command that generates the configuration of a new deployment."""

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
INTERACTIVE_SOURCE = "answers"
QUESTIONS = {
    ("deployment", "name"): "Name of the deployment",
    ("deployment", "weighs"): (
        "What weighs more, late answers or wasted prefill"
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
PLURALS = {
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
    help="Answers in INI or JSON; prompts for them when absent.",
)
@click.option(
    "--output",
    "directory",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    default=".",
    show_default=True,
    help="Directory for configuration.ini and one NAME.ini per instance.",
)
@click.option("--force", is_flag=True, help="Overwrite files that exist.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def questionnaire(
    answers_path: pathlib.Path | None,
    directory: pathlib.Path,
    force: bool,
    as_json: bool,
) -> None:
    r"""Prompts for the properties of a deployment and writes its configuration.

    Tokens that the answers do not contain are generated and printed once; the
    configuration contains only their SHA-256 digests.

    \b
    Examples:
      cranberryglade questionnaire
      cranberryglade questionnaire --answers samples/werkliste/answers.ini \
          --output /tmp/werkliste
    """
    if answers_path is None:
        checked = questions.validate(_prompt_sections(), INTERACTIVE_SOURCE)
    else:
        checked = questions.parse(
            output.read_file(answers_path), str(answers_path)
        )
    match checked:
        case Failure(problems):
            _fail(problems)
        case Success(answers):
            _write_files(
                generation.generate(answers), directory, force, as_json
            )


def _fail(problems: list[options.Problem]) -> None:
    text = "\n".join(str(problem) for problem in problems)
    raise output.CommandError(text, output.EXIT_INVALID)


def _write_files(
    generated: generation.GeneratedFiles,
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
    existing = [name for name in files if (directory / name).exists()]
    if existing and not force:
        raise output.CommandError(
            f"{directory}: {', '.join(existing)} exist; --force overwrites them"
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
        click.echo("Tokens, shown only once:")
    for secret in generated.secrets:
        click.echo(f"  {secret.section}: {secret.token}")


def _prompt_sections() -> dict[str, dict[str, str]]:
    sections = {
        "deployment": _prompt_section(
            "deployment", configuration.DEPLOYMENT_OPTIONS
        )
    }
    for kind, declared in questions.NAMED_SECTIONS.items():
        click.echo(f"\nEnter the {PLURALS[kind]}; an empty name ends the list.")
        while name := _prompt_name(kind, sections):
            choices = [
                _limit_to_entered(option, sections) for option in declared
            ]
            sections[f"{kind} {name}"] = _prompt_section(kind, choices)
    sections["platform"] = _prompt_section(
        "platform", questions.UNNAMED_SECTIONS["platform"]
    )
    return sections


def _prompt_name(kind: str, sections: dict[str, dict[str, str]]) -> str:
    required = kind in questions.REQUIRED_SECTIONS and not _section_names(
        kind, sections
    )

    def parse(text: str) -> str:
        if not text and required:
            raise ValueError(text)
        return options.parse_name(text) if text else ""

    return _prompt(
        f"Name of the next {kind}", parse, configuration.NAME_FORMAT, ""
    )


def _section_names(kind: str, sections: dict[str, dict[str, str]]) -> list[str]:
    pairs = (section.split(" ", 1) for section in sections if " " in section)
    return [name for found, name in pairs if found == kind]


def _limit_to_entered(
    option: options.Option, sections: dict[str, dict[str, str]]
) -> options.Option:
    """Limits an option that refers to other sections to those entered."""
    names = _section_names(option.name, sections)
    if not names:
        return option
    return dataclasses.replace(
        option,
        parse=options.choice(names),
        allowed="one of " + ", ".join(names),
    )


def _prompt_section(
    kind: str, declared: Sequence[options.Option]
) -> dict[str, str]:
    answers = {}
    for option in declared:
        question = QUESTIONS.get((kind, option.name))
        if question is None:
            continue
        answers[option.name] = _prompt_option(question, option)
    return answers


def _prompt_option(question: str, option: options.Option) -> str:
    default = None
    if option.default is not options.REQUIRED:
        default = options.format_value(option.default)

    def parse(text: str) -> str:
        option.parse(text)
        return text

    return _prompt(question, parse, option.allowed, default)


def _prompt(
    question: str,
    parse: Callable[[str], str],
    allowed: str,
    default: str | None,
) -> str:
    def process(text: str) -> str:
        try:
            return parse(text)
        except ValueError as error:
            raise click.BadParameter(f"allowed is {allowed}") from error

    return click.prompt(
        question
        if allowed == configuration.NAME_FORMAT
        else f"{question} ({allowed})",
        default=default,
        value_proc=process,
        show_default=bool(default),
    )
