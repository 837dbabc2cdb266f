"""The configuration that all instances of a deployment share.

It is INI text at one row of the platform's table service. This module checks
it; `subscriptions` fetches it and `operators` changes it.
"""

import configparser
import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import options

NAME = "lower-case letters, digits and hyphens, at most 63"
DIGEST = "a SHA-256 digest of 64 hexadecimal digits"
MILLISECONDS = "a whole number of milliseconds from 1 to 3600000"
MAXIMUM_MILLISECONDS = 3_600_000

PRIORITIES = ("goodput", "prefill")
TARGET_KINDS = ("model", "service")

DEPLOYMENT = (
    options.Option(
        "name", options.parse_name, NAME, about="name of the deployment"
    ),
    options.Option(
        "weighs",
        options.choice(PRIORITIES),
        "one of " + ", ".join(PRIORITIES),
        PRIORITIES[0],
        about="what weighs more to the team; recorded for its operators",
    ),
)
TARGET = (
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
TIER = (
    options.Option(
        "rank",
        options.number(0, 15),
        "a whole number from 0 (highest) to 15",
        about="order in which load is shed: the highest number first",
    ),
    options.Option(
        "first_token_ms",
        options.number(1, MAXIMUM_MILLISECONDS),
        MILLISECONDS,
        510,
        about="time within which the first token is due",
    ),
)
ORGANISATION = (
    options.Option(
        "token_sha256",
        options.parse_digest,
        DIGEST,
        about="digest of the token with which it is recognised",
    ),
    options.Option(
        "weight",
        options.number(0.01, 1000.0, float),
        "a number from 0.01 to 1000",
        1.0,
        about="its share of capacity, relative to the others",
    ),
)
OPERATOR = (
    options.Option(
        "token_sha256",
        options.parse_digest,
        DIGEST,
        about="digest of the token with which it is recognised",
    ),
)
RULE = (
    options.Option(
        "target",
        options.parse_name,
        NAME,
        about="model or service that serves such requests",
    ),
    options.Option(
        "tier",
        options.parse_name,
        "the name of a tier section",
        about="their tier",
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
        MILLISECONDS,
        30_000,
        about="time for the whole answer when the caller gives none",
    ),
    options.Option(
        "max_tokens",
        options.number(0, 1_000_000),
        "a whole number from 0 (a plain service) to 1000000",
        1024,
        about="longest answer; 0 for a plain service",
    ),
)
KINDS = {
    "target": TARGET,
    "tier": TIER,
    "organisation": ORGANISATION,
    "operator": OPERATOR,
    "rule": RULE,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A model or a plain service.

    Attributes:
        name: what rules call it.
        kind: "model" or "service".
        fenced: whether its endpoints refuse orders with an old fencing number.
    """

    name: str
    kind: str
    fenced: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Tier:
    """How urgent requests are; rank 0 is shed last."""

    name: str
    rank: int
    first_token_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """Who sends requests; capacity is shared by weight."""

    name: str
    token_sha256: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Operator:
    """Who may change the configuration."""

    name: str
    token_sha256: str


@dataclasses.dataclass(slots=True, frozen=True)
class Rule:
    """What applies to requests of one kind.

    Attributes:
        name: the kind.
        target: model or service that serves it.
        tier: name of its tier.
        idempotent: whether it may be dispatched more than once.
        deadline_ms: deadline when the caller gives none.
        max_tokens: longest answer; 0 for a plain service.
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
        version: number that only grows.
        deployment: name of the deployment.
        weighs: what counts more there, "goodput" or "prefill" (less waste).
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
        """Whether the endpoints of a target refuse orders that are old."""
        declared = self.targets.get(target)
        return declared is not None and declared.fenced

    def weight(self, organisation: str) -> float:
        """Weight of an organisation; 1 for one that is not in this version."""
        declared = self.organisations.get(organisation)
        return declared.weight if declared else 1.0


def parse(
    text: str, version: int, source: str = "configuration"
) -> Result[Configuration, list[options.Problem]]:
    """Checks a whole configuration given as INI text."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        line = str(error).splitlines()[0]
        return Failure([options.Problem(source, "-", "", line, "INI text")])
    problems = []
    found = {kind: {} for kind in KINDS}
    deployment = {}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        values = dict(parser[section])
        if section == "deployment":
            result = options.read_section(source, section, values, DEPLOYMENT)
            deployment = result.value_or(values)
        elif kind in KINDS and options.NAME_PATTERN.fullmatch(name):
            result = options.read_section(source, section, values, KINDS[kind])
            found[kind][name] = result.value_or(None)
        else:
            allowed = "deployment, or a kind and a name: " + ", ".join(KINDS)
            result = Failure(
                [options.Problem(source, section, "", "(unknown)", allowed)]
            )
        problems += result.swap().value_or([])
    if not deployment:
        problems.append(
            options.Problem(source, "deployment", "name", "(missing)", NAME)
        )
    problems += _check_references(source, found)
    if problems:
        return Failure(problems)
    return Success(_build(version, deployment, found, text))


def _check_references(source, found) -> list[options.Problem]:
    problems = []
    for name, rule in found["rule"].items():
        if rule is None or rule["tier"] in found["tier"]:
            continue
        allowed = "one of " + (", ".join(found["tier"]) or "no tier")
        problems.append(
            options.Problem(
                source, f"rule {name}", "tier", rule["tier"], allowed
            )
        )
    return problems


def _build(version, deployment, found, text) -> Configuration:
    return Configuration(
        version,
        deployment["name"],
        deployment["weighs"],
        {n: Target(n, **v) for n, v in found["target"].items()},
        {n: Tier(n, **v) for n, v in found["tier"].items()},
        {n: Organisation(n, **v) for n, v in found["organisation"].items()},
        {n: Operator(n, **v) for n, v in found["operator"].items()},
        {n: Rule(n, **v) for n, v in found["rule"].items()},
        text,
    )
