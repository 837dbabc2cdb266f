"""Turns what callers and peers send into submissions for the core."""

import dataclasses
import hashlib

import msgspec

from cranberryglade import configuration
from cranberryglade import submissions
from cranberryglade import wire
from cranberryglade.scheduling import messages

CHARACTERS_PER_TOKEN = 4
FINGERPRINT_BYTES = 12


def submission(
    document: wire.RequestDocument,
    rule: configuration.Rule,
    tier: configuration.Tier,
    request_id: str,
    organisation: str,
    now: float,
    key: str = "",
    span: object = None,
    weight: float = 1.0,
) -> submissions.Submission:
    """Builds the submission of a caller's request; `now` in seconds."""
    deadline_ms = document.deadline_ms or rule.deadline_ms
    return submissions.Submission(
        messages.Request(
            request_id=request_id,
            organisation=organisation,
            kind=rule.name,
            target=rule.target,
            rank=tier.rank,
            idempotent=rule.idempotent,
            prompt_tokens=_prompt_tokens(document),
            output_tokens=min(
                rule.max_tokens, document.max_tokens or rule.max_tokens
            ),
            prefix=document.prefix,
            deadline=now + deadline_ms / 1000,
            first_token_deadline=now + tier.first_token_ms / 1000,
            key=key,
            weight=weight,
            streamed=document.stream,
            fingerprint=fingerprint(document),
        ),
        document,
        span,
    )


def brought(
    document: wire.DelegatedRequest,
    rule: configuration.Rule,
    tier: configuration.Tier,
    now: float,
    delegated: bool,
    span: object,
    weight: float = 1.0,
) -> submissions.Submission:
    """Builds the submission of a request that a peer brought."""
    built = submission(
        document.request,
        rule,
        tier,
        document.request_id,
        document.organisation,
        now,
        document.key,
        span,
        weight,
    )
    request = dataclasses.replace(
        built.request,
        deadline=now + document.remaining_ms / 1000,
        first_token_deadline=now + document.first_token_ms / 1000,
        idempotent=built.request.idempotent
        and (document.idempotent or not delegated),
        delegated=delegated,
        streamed=True,
    )
    return dataclasses.replace(built, request=request)


def fingerprint(document: wire.RequestDocument) -> str:
    """Digest of what is asked, whatever way it is to be answered.

    >>> first = wire.RequestDocument(kind="reservation", payload={"item": 7})
    >>> again = wire.RequestDocument(
    ...     kind="reservation", payload={"item": 7}, stream=True
    ... )
    >>> fingerprint(first) == fingerprint(again)
    True
    """
    asked = msgspec.json.encode(
        [
            document.kind,
            document.prompt,
            document.prefix,
            document.max_tokens,
            document.payload,
        ],
        order="deterministic",
    )
    return hashlib.blake2b(asked, digest_size=FINGERPRINT_BYTES).hexdigest()


def _prompt_tokens(document: wire.RequestDocument) -> int:
    if document.prompt_tokens is not None:
        return document.prompt_tokens
    return -(-len(document.prompt) // CHARACTERS_PER_TOKEN)
