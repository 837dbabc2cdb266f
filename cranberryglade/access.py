"""Authenticates organisations and operators by their bearer tokens."""

import hashlib
import hmac

from aiohttp import web

from cranberryglade import configuration

BEARER_PREFIX = "Bearer "


def token_digest(token: str) -> str:
    """Returns the SHA-256 hex digest by which a token is configured."""
    return hashlib.sha256(token.encode()).hexdigest()


def authenticate_organisation(
    http_request: web.Request, current: configuration.Configuration
) -> configuration.Organisation | None:
    """Returns the organisation whose token the request carries, or None."""
    return _authenticate(http_request, current.organisations.values())


def authenticate_operator(
    http_request: web.Request, current: configuration.Configuration
) -> configuration.Operator | None:
    """Returns the operator whose token the request carries, or None."""
    return _authenticate(http_request, current.operators.values())


def _authenticate(http_request: web.Request, principals):
    header = http_request.headers.get("Authorization", "")
    if not header.startswith(BEARER_PREFIX):
        return None
    token = header.removeprefix(BEARER_PREFIX)
    if not token.isascii():
        return None
    digest = token_digest(token)
    for principal in principals:
        if hmac.compare_digest(principal.token_sha256, digest):
            return principal
    return None
