"""Decodes replies of the store, or returns why they cannot be used."""

from typing import TypeVar

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import decoding
from cranberryglade.gateway import fetching
from cranberryglade.gateway import ports

STATUS_ERRORS = {
    404: ports.StoreError.ABSENT,
    410: ports.StoreError.HISTORY_LOST,
    412: ports.StoreError.CONFLICT,
}

Value = TypeVar("Value")


def body(
    reply: Result[fetching.Reply, str],
) -> Result[bytes, ports.StoreError]:
    """Returns the body of a reply of success, or why there is none."""
    match reply:
        case Failure(_):
            return Failure(ports.StoreError.UNREACHABLE)
        case Success(fetching.Reply(status=200, body=found)):
            return Success(found)
        case Success(other):
            refused = ports.StoreError.REFUSED
            return Failure(STATUS_ERRORS.get(other.status, refused))


def decode(
    encoded: bytes, kind: type[Value]
) -> Result[Value, ports.StoreError]:
    """Decodes JSON to a value of a type."""
    return decoding.from_json(encoded, kind).alt(
        lambda problem: ports.StoreError.UNREADABLE
    )


def decode_reply(
    reply: Result[fetching.Reply, str], kind: type[Value]
) -> Result[Value, ports.StoreError]:
    """Decodes the body of a reply of success."""
    return body(reply).bind(lambda found: decode(found, kind))
