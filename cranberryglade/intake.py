"""Builds submissions for the core from the messages of callers and peers."""

import dataclasses
import hashlib

import msgspec

from cranberryglade import configuration
from cranberryglade import submissions
from cranberryglade import wire
from cranberryglade.scheduling import messages

CHARACTERS_PER_TOKEN = 4
FINGERPRINT_BYTES = 12


def from_caller(
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
    """Builds the submission of a caller's request.

    Args:
        document: the caller's request.
        rule: the configuration's rule for its kind.
        tier: the rule's tier.
        request_id: id of the request.
        organisation: name of the organisation that sent it.
        now: arrival time, in seconds of the runtime's monotonic clock.
        key: the caller's idempotency key, or "".
        span: tracing span of the hop that received it.
        weight: weight of the organisation when capacity is shared.

    Returns:
        The submission. The deadline and `max_tokens` are those of the rule
        where the caller states none, and `max_tokens` never exceeds the
        rule's bound.
    """
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


def from_peer(
    document: wire.DelegatedRequest,
    rule: configuration.Rule,
    tier: configuration.Tier,
    now: float,
    delegated: bool,
    span: object,
    weight: float = 1.0,
) -> submissions.Submission:
    """Builds the submission of a request that a peer delegated or forwarded.

    Args:
        document: the peer's message.
        rule: the configuration's rule for the request's kind.
        tier: the rule's tier.
        now: arrival time, in seconds of the runtime's monotonic clock.
        delegated: whether the peer remains the home of the request.
        span: tracing span of the hop that received it.
        weight: weight of the organisation when capacity is shared.

    Returns:
        The submission, with the time limits that the peer states. A
        delegated request is idempotent only if the rules of both instances
        say so.
    """
    base = from_caller(
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
        base.request,
        deadline=now + document.remaining_ms / 1000,
        first_token_deadline=now + document.first_token_ms / 1000,
        idempotent=base.request.idempotent
        and (document.idempotent or not delegated),
        delegated=delegated,
        streamed=True,
    )
    return dataclasses.replace(base, request=request)


def fingerprint(document: wire.RequestDocument) -> str:
    """Returns a digest of what is asked, regardless of how it is answered.

    It detects an idempotency key or a ticket that is reused for a request
    with another content.

    >>> first = wire.RequestDocument(kind="reservation", payload={"item": 7})
    >>> again = wire.RequestDocument(
    ...     kind="reservation", payload={"item": 7}, stream=True
    ... )
    >>> fingerprint(first) == fingerprint(again)
    True
    """
    content = msgspec.json.encode(
        [
            document.kind,
            document.prompt,
            document.prefix,
            document.max_tokens,
            document.payload,
        ],
        order="deterministic",
    )
    return hashlib.blake2b(content, digest_size=FINGERPRINT_BYTES).hexdigest()


def _prompt_tokens(document: wire.RequestDocument) -> int:
    if document.prompt_tokens is not None:
        return document.prompt_tokens
    return -(-len(document.prompt) // CHARACTERS_PER_TOKEN)
