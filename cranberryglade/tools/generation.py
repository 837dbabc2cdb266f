"""Generates the configuration and the daemons' settings from answers."""

import dataclasses
import secrets

from cranberryglade import access
from cranberryglade import options
from cranberryglade.tools import questions

TOKEN_BYTES = 24
KEY_BYTES = 32


@dataclasses.dataclass(slots=True, frozen=True)
class Secret:
    """A generated token, to be handed to its holder.

    Attributes:
        section: section of the holder, such as "organisation store-1".
        token: the token itself.
    """

    section: str
    token: str


@dataclasses.dataclass(slots=True, frozen=True)
class GeneratedFiles:
    """The generated texts and tokens.

    Attributes:
        configuration: INI text of the shared configuration.
        settings: INI text of the daemons' settings by instance name.
        secrets: the generated tokens; they are stored nowhere else.
    """

    configuration: str
    settings: dict[str, str]
    secrets: list[Secret]


def new_token() -> str:
    """Generates a random token."""
    return secrets.token_urlsafe(TOKEN_BYTES)


def generate(answers: questions.Answers) -> GeneratedFiles:
    """Generates the texts for answers, and any missing tokens and keys."""
    new_secrets: list[Secret] = []
    text = _configuration(answers, new_secrets)
    peer_key = answers.peer_key or secrets.token_hex(KEY_BYTES)
    ticket_key = answers.ticket_key or secrets.token_hex(KEY_BYTES)
    settings = {
        instance.name: _settings(answers, instance, peer_key, ticket_key)
        for instance in answers.instances
    }
    return GeneratedFiles(text, settings, new_secrets)


def _configuration(
    answers: questions.Answers, new_secrets: list[Secret]
) -> str:
    blocks = [
        _section("deployment", name=answers.deployment, weighs=answers.weighs)
    ]
    blocks += [
        _section(f"target {t.name}", kind=t.kind, fenced=t.fenced)
        for t in answers.targets
    ]
    blocks += [
        _section(f"tier {t.name}", rank=t.rank, first_token_ms=t.first_token_ms)
        for t in sorted(answers.tiers, key=lambda tier: tier.rank)
    ]
    blocks += [_rule(request) for request in answers.requests]
    for organisation in answers.organisations:
        section = f"organisation {organisation.name}"
        digest = _token_digest(section, organisation.token, new_secrets)
        blocks.append(
            _section(section, weight=organisation.weight, token_sha256=digest)
        )
    for operator in answers.operators:
        section = f"operator {operator.name}"
        digest = _token_digest(section, operator.token, new_secrets)
        blocks.append(_section(section, token_sha256=digest))
    return "\n".join(blocks)


def _rule(request: questions.Request) -> str:
    deadline_ms = request.deadline_ms or questions.DEADLINES_MS[request.answer]
    return _section(
        f"rule {request.name}",
        target=request.target,
        tier=request.tier,
        idempotent=request.repeatable,
        deadline_ms=deadline_ms,
        max_tokens=questions.ANSWER_TOKENS[request.answer],
    )


def _token_digest(section: str, token: str, new_secrets: list[Secret]) -> str:
    if not token:
        token = new_token()
        new_secrets.append(Secret(section, token))
    return access.token_digest(token)


def _settings(answers, instance, peer_key: str, ticket_key: str) -> str:
    blocks = [
        _section(
            "daemon",
            instance=instance.name,
            failure_domain=instance.failure_domain,
            caller_address=instance.caller_address,
            peer_address=instance.peer_address,
        ),
        _section("platform", address=answers.platform_address),
        _section("keys", peer=peer_key, ticket=ticket_key),
    ]
    return "\n".join(blocks)


def _section(name: str, /, **values) -> str:
    lines = [f"[{name}]"]
    lines += [
        f"{key} = {options.format_value(value)}"
        for key, value in values.items()
    ]
    return "\n".join(lines) + "\n"
