"""Parses header fields of HTTP."""

import math
import re

from cranberryglade import decoding
from cranberryglade import log
from cranberryglade.gateway import messages

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Fields that concern one connection only."""

LOGGED_CHARACTERS = 40
"""Length of an unreadable value in the log."""

MAX_TOKENS = 2**31
"""Greatest number of tokens that a request is taken to state."""

DECIMAL = re.compile(rb"\d+(\.\d*)?|\.\d+")
BEARER = re.compile(r"bearer +(\S+)", re.IGNORECASE)

logger = log.get_logger(__name__)


def connection_options(headers: list[messages.Header]) -> set[bytes]:
    """Returns the names that the Connection fields list, in lower case."""
    return {
        name.strip().lower()
        for header in headers
        if header.name.lower() == b"connection"
        for name in header.value.split(b",")
    }


def media_type(headers: list[messages.Header]) -> bytes:
    """Returns the media type of a body, in lower case; b"" if unknown."""
    for header in headers:
        if header.name.lower() == b"content-type":
            return header.value.partition(b";")[0].strip().lower()
    return b""


def without_port(value: str) -> str:
    """Returns the host of a Host field, in lower case."""
    return value.rsplit(":", 1)[0].lower() if ":" in value else value.lower()


def bearer_token(value: str) -> str:
    """Returns the token of an Authorization field; "" if there is none."""
    match = BEARER.fullmatch(value)
    return match.group(1) if match else ""


def parse_retry_after(text: str) -> float | None:
    """Returns the seconds of a Retry-After field; None if it has none."""
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < float("inf"):
        logger.warning("retry_after.unreadable", value=text[:LOGGED_CHARACTERS])
        return None
    return value


def keep_alive_timeout(value: bytes) -> float | None:
    """Returns the seconds of a Keep-Alive field; None if it states none."""
    match = re.search(rb"timeout=(\d+)", value)
    return float(match.group(1)) if match else None


def parse_token_count(text: str) -> int:
    """Returns a number of tokens; 0 for a text that states none.

    >>> parse_token_count("1460"), parse_token_count("9" * 5000)
    (1460, 2147483648)
    """
    if not (text.isascii() and text.isdigit()):
        return 0
    count = decoding.parse_count(text, MAX_TOKENS)
    return MAX_TOKENS if count is None else count


def parse_decimal(value: bytes) -> float:
    """Returns a decimal number; NaN for other texts and endless numbers.

    >>> parse_decimal(b" 2.5 "), parse_decimal(b"9" * 400), parse_decimal(b"x")
    (2.5, nan, nan)
    """
    text = value.strip()
    number = float(text) if DECIMAL.fullmatch(text) else math.nan
    return number if math.isfinite(number) else math.nan


def encode_value(text: str) -> bytes:
    """Encodes the value of a field; as UTF-8 if it needs to be."""
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return text.encode("utf-8", "replace")
