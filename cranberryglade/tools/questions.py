"""Defines the questions of the questionnaire and validates the answers.

Answers files are INI with the sections below, or JSON with the same names:
`{"deployment": {...}, "tier": {"counter": {...}}}`.
"""

import configparser
import dataclasses
import json
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import configuration
from cranberryglade import options

ANSWER_TOKENS = {"none": 0, "short": 128, "long": 2048}
DEADLINES_MS = {"none": 5_000, "short": 10_000, "long": 120_000}
ANSWER_LENGTHS = tuple(ANSWER_TOKENS)
TOKEN_FORMAT = "8 to 200 printable characters without spaces"
MAXIMUM_TOKEN_CHARACTERS = 200
MINIMUM_TOKEN_CHARACTERS = 8


def _parse_token(text: str) -> str:
    long_enough = len(text) >= MINIMUM_TOKEN_CHARACTERS
    if not long_enough or len(text) > MAXIMUM_TOKEN_CHARACTERS:
        raise ValueError(text)
    if not text.isascii() or not text.isprintable() or " " in text:
        raise ValueError(text)
    return text


def _parse_key(text: str) -> str:
    options.parse_secret(text)
    return text


_NAME = configuration.NAME_FORMAT
_RULE = {option.name: option for option in configuration.RULE_OPTIONS}
_ORGANISATION = {o.name: o for o in configuration.ORGANISATION_OPTIONS}
_TOKEN = options.Option(
    "token",
    _parse_token,
    TOKEN_FORMAT,
    "",
    secret=True,
    about="its token; generated and printed once when absent",
)
_ADDRESS = '"host:port"'
_KEY = "at least 32 hexadecimal digits"

UNNAMED_SECTIONS = {
    "deployment": configuration.DEPLOYMENT_OPTIONS,
    "platform": (
        options.Option(
            "address",
            options.parse_address,
            _ADDRESS,
            "127.0.0.1:8090",
            about="address of the platform's services",
        ),
    ),
    "keys": (
        options.Option(
            "peer",
            _parse_key,
            _KEY,
            "",
            secret=True,
            about="key that instances share; generated when absent",
        ),
        options.Option(
            "ticket",
            _parse_key,
            _KEY,
            "",
            secret=True,
            about="key that signs request ids; generated when absent",
        ),
    ),
}
NAMED_SECTIONS = {
    "target": configuration.TARGET_OPTIONS,
    "tier": configuration.TIER_OPTIONS,
    "request": (
        _RULE["target"],
        _RULE["tier"],
        options.Option(
            "repeatable",
            options.parse_flag,
            "yes or no",
            False,
            about="whether such a request may run more than once",
        ),
        options.Option(
            "answer",
            options.choice(ANSWER_LENGTHS),
            "one of " + ", ".join(ANSWER_LENGTHS),
            "short",
            about="none for a plain service, up to 128 tokens, or up to 2048",
        ),
        options.Option(
            "deadline_ms",
            options.number(0, configuration.MAXIMUM_MILLISECONDS),
            "milliseconds up to 3600000; 0 for the default of the length",
            0,
            about="time for the whole answer",
        ),
    ),
    "organisation": (_ORGANISATION["weight"], _TOKEN),
    "operator": (_TOKEN,),
    "instance": (
        options.Option(
            "failure_domain",
            options.parse_name,
            _NAME,
            about="failure domain in which the instance runs",
        ),
        options.Option(
            "caller_address",
            options.parse_address,
            _ADDRESS,
            about="address at which callers reach it",
        ),
        options.Option(
            "peer_address",
            options.parse_address,
            _ADDRESS,
            about="address at which the other instances reach it",
        ),
    ),
}
REQUIRED_SECTIONS = ("tier", "request", "organisation", "operator")


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A model or service that serves requests.

    Attributes:
        name: its name.
        kind: "model" or "service".
        fenced: whether its endpoints refuse orders with an old fencing number.
    """

    name: str
    kind: str
    fenced: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Tier:
    """A priority class of requests.

    Attributes:
        name: its name.
        rank: its rank; requests of rank 0 are shed last.
        first_token_ms: time for the first token, in milliseconds.
    """

    name: str
    rank: int
    first_token_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """A kind of request.

    Attributes:
        name: name of the kind.
        target: model or service that serves it.
        tier: name of its tier.
        repeatable: whether it may run more than once.
        answer: "none" (a plain service), "short" or "long".
        deadline_ms: time for the whole answer; 0 for the default of its length.
    """

    name: str
    target: str
    tier: str
    repeatable: bool
    answer: str
    deadline_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation that sends requests.

    Attributes:
        name: its name.
        weight: its share of capacity, relative to the other organisations.
        token: its token; "" to generate one.
    """

    name: str
    weight: float
    token: str


@dataclasses.dataclass(slots=True, frozen=True)
class Operator:
    """An operator of the deployment.

    Attributes:
        name: name of the operator.
        token: token of the operator; "" to generate one.
    """

    name: str
    token: str


@dataclasses.dataclass(slots=True, frozen=True)
class Instance:
    """An entry instance.

    Attributes:
        name: its name.
        failure_domain: the failure domain in which it runs.
        caller_address: "host:port" for callers.
        peer_address: "host:port" for the other instances.
    """

    name: str
    failure_domain: str
    caller_address: str
    peer_address: str


@dataclasses.dataclass(slots=True, frozen=True)
class Answers:
    """All answers about one deployment; an empty key is to be generated."""

    deployment: str
    weighs: str
    platform_address: str
    peer_key: str
    ticket_key: str
    targets: list[Target]
    tiers: list[Tier]
    requests: list[Request]
    organisations: list[Organisation]
    operators: list[Operator]
    instances: list[Instance]


def parse(text: str, source: str) -> Result[Answers, list[options.Problem]]:
    """Parses and validates an answers file in INI or JSON.

    Args:
        text: text of the file; JSON if it begins with a brace.
        source: name of the file in the problems returned.
    """
    parse_text = _parse_json if text.lstrip().startswith("{") else _parse_ini
    return parse_text(text, source).bind(lambda found: validate(found, source))


def _parse_ini(text: str, source: str):
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        line = str(error).splitlines()[0]
        return Failure([options.Problem(source, "-", "", line, "INI text")])
    return Success({name: dict(parser[name]) for name in parser.sections()})


def _parse_json(text: str, source: str):
    try:
        found = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Failure(
            [options.Problem(source, "-", "", str(error), "JSON text")]
        )
    sections = {}
    for kind, values in found.items():
        if not isinstance(values, dict):
            return Failure(
                [options.Problem(source, kind, "", str(values), "an object")]
            )
        if kind not in NAMED_SECTIONS:
            sections[kind] = _to_texts(values)
            continue
        for name, section in values.items():
            if not isinstance(section, dict):
                section = {"": section}
            sections[f"{kind} {name}"] = _to_texts(section)
    return Success(sections)


def _to_texts(values: dict[str, Any]) -> dict[str, str]:
    return {name: options.format_value(value) for name, value in values.items()}


def validate(
    sections: dict[str, dict[str, str]], source: str
) -> Result[Answers, list[options.Problem]]:
    """Validates answers given as texts by section.

    Args:
        sections: options by section, such as "tier counter".
        source: name of the answers in the problems returned.
    """
    problems: list[options.Problem] = []
    values: dict[str, dict] = {kind: {} for kind in NAMED_SECTIONS}
    for section, texts in sections.items():
        kind, _, name = section.partition(" ")
        if kind not in NAMED_SECTIONS or not options.NAME_PATTERN.fullmatch(
            name
        ):
            if section not in UNNAMED_SECTIONS:
                problems.append(_unknown_section(source, section))
            continue
        result = options.read_section(
            source, section, texts, NAMED_SECTIONS[kind]
        )
        values[kind][name] = result.value_or({})
        problems += result.swap().value_or([])
    for section, declared in UNNAMED_SECTIONS.items():
        texts = sections.get(section, {})
        result = options.read_section(source, section, texts, declared)
        values[section] = result.value_or({})
        problems += result.swap().value_or([])
    problems += [
        options.Problem(source, f"{kind} NAME", "", "(missing)", "one or more")
        for kind in REQUIRED_SECTIONS
        if not values[kind]
    ]
    if not problems:
        problems = _check_references(source, values)
    return Failure(problems) if problems else Success(_build(values))


def _unknown_section(source: str, section: str) -> options.Problem:
    named_sections = ", ".join(f"{kind} NAME" for kind in NAMED_SECTIONS)
    allowed = ", ".join(UNNAMED_SECTIONS) + ", " + named_sections
    return options.Problem(source, section, "", "(unknown)", allowed)


def _check_references(source: str, values) -> list[options.Problem]:
    problems = []
    for name, request in values["request"].items():
        for field in ("target", "tier"):
            if request[field] in values[field] or not values[field]:
                continue
            allowed = "one of " + ", ".join(values[field])
            problems.append(
                options.Problem(
                    source, f"request {name}", field, request[field], allowed
                )
            )
    return problems


def _build(values) -> Answers:
    return Answers(
        values["deployment"]["name"],
        values["deployment"]["weighs"],
        values["platform"]["address"],
        values["keys"]["peer"],
        values["keys"]["ticket"],
        [Target(n, **v) for n, v in values["target"].items()],
        [Tier(n, **v) for n, v in values["tier"].items()],
        [Request(n, **v) for n, v in values["request"].items()],
        [Organisation(n, **v) for n, v in values["organisation"].items()],
        [Operator(n, **v) for n, v in values["operator"].items()],
        [Instance(n, **v) for n, v in values["instance"].items()],
    )
