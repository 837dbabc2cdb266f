"""Decodes what other processes wrote; returns why it cannot, never raises.

Load pattern: another writer leaves one entry that is nested thousands of lists
deep, or holds a number beyond 64 bits. It is unusable; all others hold, and
whoever reads them goes on.
"""

from collections.abc import Callable
import sys
import tomllib
from typing import Annotated
from typing import TypeVar

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

T = TypeVar("T")

MAX_INTEGER = 2**63 - 1
"""Greatest integer that every encoding in use can hold."""

MAX_INTEGER_DIGITS = 19
MAX_NUMBER = sys.float_info.max
MAX_PROBLEM_CHARACTERS = 200

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Quantity = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A number that is neither negative nor infinite, nor NaN."""

Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]

ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)
"""All that decoders raise because of their input."""


def from_json(data: bytes | str | None, kind: type[T]) -> Result[T, str]:
    """Decodes JSON, or returns why it cannot be decoded.

    Args:
        data: the JSON; None is like no bytes.
        kind: type of the result.

    >>> from_json(b"[" * 3000, list).failure()
    'maximum recursion depth exceeded while deserializing an object'
    """
    return attempt(lambda: msgspec.json.decode(data or b"", type=kind))


def from_msgpack(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decodes MessagePack, or returns why it cannot be decoded."""
    return attempt(lambda: msgspec.msgpack.decode(data, type=kind))


def from_toml(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decodes TOML, or returns why it cannot be decoded."""
    return attempt(lambda: msgspec.convert(tomllib.loads(data.decode()), kind))


def attempt(decode: Callable[..., T], *arguments) -> Result[T, str]:
    """Calls a decoder; returns its result, or why its input is unreadable."""
    try:
        return Success(decode(*arguments))
    except ERRORS as error:
        problem = str(error) or type(error).__name__
        return Failure(problem[:MAX_PROBLEM_CHARACTERS])


def parse_count(text: str, most: int = MAX_INTEGER) -> int | None:
    """Parses decimal digits; None for other texts and greater numbers.

    >>> parse_count("0042"), parse_count("70000", 65535), parse_count("\u00b2")
    (42, None, None)
    """
    digits = text.lstrip("0") or text[:1]
    readable = digits.isascii() and digits.isdigit()
    if not readable or len(digits) > MAX_INTEGER_DIGITS:
        return None
    value = int(digits)
    return value if value <= most else None
