"""Names requests by what they ask for, so that a repeat is recognised."""

import hashlib

import xxhash

from cranberryglade import crash_evidence
from cranberryglade.gateway import messages

DIGEST_BYTES = 16


def compute_digest(
    request: messages.Request,
    facts: messages.RequestMetadata,
    organisation: str,
) -> str:
    """Returns the digest of a request.

    It is the same for each repeat of a request, whatever instance it arrives
    at. Headers and the order of the query's parameters do not count, as a
    caller may change them with each attempt; only without a body, requests are
    told apart by their prompts.

    Args:
        request: the request as it was read.
        facts: its decoded headers.
        organisation: name of the caller's organisation; "" if none.

    Returns:
        The digest, in hexadecimal after crash_evidence.REQUEST_PREFIX.
    """
    path, _, query = request.target.partition(b"?")
    prompt = (*facts.prompt_parts, facts.own_prompt_part)
    fields = (
        facts.host.lower().encode("latin-1"),
        organisation.encode(),
        request.method,
        path,
        b"&".join(sorted(query.split(b"&"))),
        # Fast for large bodies; whoever finds two with one hash only confuses
        # requests of its own organisation.
        xxhash.xxh3_128_digest(request.body or ",".join(prompt).encode()),
    )
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        # With its length, no field can be taken for a part of another.
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return crash_evidence.REQUEST_PREFIX + digest.hexdigest()
