"""Names requests by what they ask for, so that a repeat is recognised."""

import hashlib

from cranberryglade.gateway import messages

DIGEST_BYTES = 16

PREFIX = "="
"""First character of each digest, which no id of a prompt part has."""


def compute_digest(
    request: messages.Request, host: str, organisation: str
) -> str:
    """Returns the digest of a request.

    It is the same for each repeat of a request, whatever instance it arrives
    at. Headers and the order of the query's parameters do not count, as a
    caller may change them with each attempt.

    Args:
        request: the request as it was read.
        host: the host that it is for.
        organisation: name of the caller's organisation; "" if none.

    Returns:
        The digest, in hexadecimal after PREFIX.
    """
    path, _, query = request.target.partition(b"?")
    fields = (
        host.lower().encode("latin-1"),
        organisation.encode(),
        request.method,
        path,
        b"&".join(sorted(query.split(b"&"))),
        request.body,
    )
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        # With its length, no field can be taken for a part of another.
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return PREFIX + digest.hexdigest()
