"""Who may do what: organisations' and operators' tokens."""

import hashlib
import hmac

from aiohttp import web

from cranberryglade import configuration

SCHEME = "Bearer "


def token_digest(token: str) -> str:
    """The form in which the configuration keeps a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def organisation(
    http_request: web.Request, current: configuration.Configuration
) -> configuration.Organisation | None:
    """The organisation whose token the request carries."""
    return _holder(http_request, current.organisations.values())


def operator(
    http_request: web.Request, current: configuration.Configuration
) -> configuration.Operator | None:
    """The operator whose token the request carries."""
    return _holder(http_request, current.operators.values())


def _holder(http_request: web.Request, holders):
    header = http_request.headers.get("Authorization", "")
    if not header.startswith(SCHEME):
        return None
    token = header.removeprefix(SCHEME)
    if not token.isascii():
        return None
    digest = token_digest(token)
    for holder in holders:
        if hmac.compare_digest(holder.token_sha256, digest):
            return holder
    return None
