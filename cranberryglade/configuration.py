"""The configuration that all instances of a deployment share.

It is INI text in a table of the platform's store. This module parses and
checks it; `subscriptions` fetches it, and `editing` and `proposals` change it.
"""

import configparser
import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import options

NAME_FORMAT = "lower-case letters, digits and hyphens, at most 63"
DIGEST_FORMAT = "a SHA-256 digest of 64 hexadecimal digits"
MILLISECONDS_FORMAT = "a whole number of milliseconds from 1 to 3600000"
MAXIMUM_MILLISECONDS = 3_600_000

PRIORITIES = ("goodput", "prefill")
TARGET_KINDS = ("model", "service")

DEPLOYMENT_OPTIONS = (
    options.Option(
        "name", options.parse_name, NAME_FORMAT, about="name of the deployment"
    ),
    options.Option(
        "weighs",
        options.choice(PRIORITIES),
        "one of " + ", ".join(PRIORITIES),
        PRIORITIES[0],
        about="the team's priority; recorded for its operators",
    ),
)
TARGET_OPTIONS = (
    options.Option(
        "kind",
        options.choice(TARGET_KINDS),
        "one of " + ", ".join(TARGET_KINDS),
        TARGET_KINDS[0],
        about="a model behind engines, or a plain service",
    ),
    options.Option(
        "fenced",
        options.parse_flag,
        "yes or no",
        False,
        about="whether its endpoints refuse orders with an old fencing number",
    ),
)
TIER_OPTIONS = (
    options.Option(
        "rank",
        options.number(0, 15),
        "a whole number from 0 (highest) to 15",
        about="order in which load is shed: highest number first",
    ),
    options.Option(
        "first_token_ms",
        options.number(1, MAXIMUM_MILLISECONDS),
        MILLISECONDS_FORMAT,
        510,
        about="time within which the first token is due",
    ),
)
ORGANISATION_OPTIONS = (
    options.Option(
        "token_sha256",
        options.parse_digest,
        DIGEST_FORMAT,
        about="digest of the token that authenticates it",
    ),
    options.Option(
        "weight",
        options.number(0.01, 1000.0, float),
        "a number from 0.01 to 1000",
        1.0,
        about="its share of capacity, relative to the others",
    ),
)
OPERATOR_OPTIONS = (
    options.Option(
        "token_sha256",
        options.parse_digest,
        DIGEST_FORMAT,
        about="digest of the token that authenticates it",
    ),
)
RULE_OPTIONS = (
    options.Option(
        "target",
        options.parse_name,
        NAME_FORMAT,
        about="model or service that serves such requests",
    ),
    options.Option(
        "tier",
        options.parse_name,
        "the name of a tier section",
        about="tier of such requests",
    ),
    options.Option(
        "idempotent",
        options.parse_flag,
        "yes or no",
        False,
        about="whether such a request may be dispatched more than once",
    ),
    options.Option(
        "deadline_ms",
        options.number(1, MAXIMUM_MILLISECONDS),
        MILLISECONDS_FORMAT,
        30_000,
        about="default time for the whole answer if the caller sets none",
    ),
    options.Option(
        "max_tokens",
        options.number(0, 1_000_000),
        "a whole number from 0 (a plain service) to 1000000",
        1024,
        about="maximum length of an answer; 0 for a plain service",
    ),
)
SECTION_OPTIONS = {
    "target": TARGET_OPTIONS,
    "tier": TIER_OPTIONS,
    "organisation": ORGANISATION_OPTIONS,
    "operator": OPERATOR_OPTIONS,
    "rule": RULE_OPTIONS,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A model or a plain service.

    Attributes:
        name: name by which rules refer to it.
        kind: "model" or "service".
        fenced: whether its endpoints refuse orders with an old fencing number.
    """

    name: str
    kind: str
    fenced: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Tier:
    """Priority class of requests.

    Attributes:
        name: its name.
        rank: 0 to 15; requests of the highest number are shed first.
        first_token_ms: time within which the first token is due.
    """

    name: str
    rank: int
    first_token_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """Sender of requests; capacity is shared in proportion to weight."""

    name: str
    token_sha256: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Operator:
    """Person or program that may administer the deployment."""

    name: str
    token_sha256: str


@dataclasses.dataclass(slots=True, frozen=True)
class Rule:
    """Settings for requests of one kind.

    Attributes:
        name: kind of request.
        target: model or service that serves it.
        tier: name of its tier.
        idempotent: whether it may be dispatched more than once.
        deadline_ms: deadline if the caller sets none.
        max_tokens: maximum length of an answer; 0 for a plain service.
    """

    name: str
    target: str
    tier: str
    idempotent: bool
    deadline_ms: int
    max_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """One checked version of the shared configuration.

    Attributes:
        version: number of the version; it only increases.
        deployment: name of the deployment.
        weighs: the team's priority, "goodput" or "prefill" (less waste).
        targets: models and services by name.
        tiers: tiers by name.
        organisations: organisations by name.
        operators: operators by name.
        rules: rules by kind of request.
        text: the INI text.
    """

    version: int
    deployment: str
    weighs: str
    targets: dict[str, Target]
    tiers: dict[str, Tier]
    organisations: dict[str, Organisation]
    operators: dict[str, Operator]
    rules: dict[str, Rule]
    text: str

    def is_fenced(self, target: str) -> bool:
        """Returns whether a target's endpoints refuse an old fencing number."""
        declared = self.targets.get(target)
        return declared is not None and declared.fenced

    def weight(self, organisation: str) -> float:
        """Returns the weight of an organisation; 1 if it is not configured."""
        declared = self.organisations.get(organisation)
        return declared.weight if declared else 1.0


def parse(
    text: str, version: int, source: str = "configuration"
) -> Result[Configuration, list[options.Problem]]:
    """Parses and checks a whole configuration.

    Args:
        text: INI text.
        version: number of the version.
        source: name of the text in problems.

    Returns:
        The configuration, or every problem in the text.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        line = str(error).splitlines()[0]
        return Failure([options.Problem(source, "-", "", line, "INI text")])
    problems = []
    sections = {kind: {} for kind in SECTION_OPTIONS}
    deployment = {}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        values = dict(parser[section])
        if section == "deployment":
            result = options.read_section(
                source, section, values, DEPLOYMENT_OPTIONS
            )
            deployment = result.value_or(values)
        elif kind in SECTION_OPTIONS and options.NAME_PATTERN.fullmatch(name):
            result = options.read_section(
                source, section, values, SECTION_OPTIONS[kind]
            )
            sections[kind][name] = result.value_or(None)
        else:
            allowed = "deployment, or a kind and a name: " + ", ".join(
                SECTION_OPTIONS
            )
            result = Failure(
                [options.Problem(source, section, "", "(unknown)", allowed)]
            )
        problems += result.swap().value_or([])
    if not deployment:
        problems.append(
            options.Problem(
                source, "deployment", "name", "(missing)", NAME_FORMAT
            )
        )
    problems += _check_references(source, sections)
    if problems:
        return Failure(problems)
    return Success(_build(version, deployment, sections, text))


def _check_references(source, sections) -> list[options.Problem]:
    problems = []
    for name, rule in sections["rule"].items():
        if rule is None or rule["tier"] in sections["tier"]:
            continue
        allowed = "one of " + (", ".join(sections["tier"]) or "no tier")
        problems.append(
            options.Problem(
                source, f"rule {name}", "tier", rule["tier"], allowed
            )
        )
    return problems


def _build(version, deployment, sections, text) -> Configuration:
    return Configuration(
        version,
        deployment["name"],
        deployment["weighs"],
        {n: Target(n, **v) for n, v in sections["target"].items()},
        {n: Tier(n, **v) for n, v in sections["tier"].items()},
        {n: Organisation(n, **v) for n, v in sections["organisation"].items()},
        {n: Operator(n, **v) for n, v in sections["operator"].items()},
        {n: Rule(n, **v) for n, v in sections["rule"].items()},
        text,
    )
