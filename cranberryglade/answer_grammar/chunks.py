"""Checks the framing of a chunked body against the grammar."""

import re

from cranberryglade.answer_grammar import faults
from cranberryglade.answer_grammar import heads

_EXTENSION = rb";%b(?:=(?:%b|%b))?+" % (
    heads.TOKEN.pattern,
    heads.TOKEN.pattern,
    rb'"(?:[\t\x20!\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*+"',
)
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]++)(?:%b)*+" % _EXTENSION)
"""`int` would also take signs, spaces, underscores and "0x"."""

TRAILER = re.compile(
    rb"(?:%b:%b\r\n)*+\r\n" % (heads.TOKEN.pattern, heads.TEXT.pattern)
)
FRAMING_FIELDS = (b"content-length", b"transfer-encoding")
"""Fields that must not stand in a trailer."""

Kind = faults.Kind
MalformedAnswerError = faults.MalformedAnswerError


def read_size(line: bytes) -> int:
    """Returns the size of a chunk, of any number of digits.

    Args:
        line: the line before it, without its end.

    Raises:
        MalformedAnswerError: if it has anything but a hexadecimal number and
            chunk extensions.

    >>> read_size(b'001f;name="a value"')
    31
    """
    found = SIZE_LINE.fullmatch(line)
    if not found:
        raise MalformedAnswerError(Kind.CHUNK, line)
    return int(found[1], 16)


def check_trailer(raw: bytes) -> None:
    """Checks what stands behind the last chunk.

    Args:
        raw: the trailer fields, and the empty line at their end.

    Raises:
        MalformedAnswerError: if the grammar does not allow it.
    """
    if not TRAILER.fullmatch(raw):
        raise MalformedAnswerError(Kind.TRAILER, raw)
    for line in raw.split(heads.LINE_END):
        check_trailer_field(line.partition(b":")[0])


def check_trailer_field(name: bytes) -> None:
    """Checks the name of a field behind the last chunk.

    Raises:
        MalformedAnswerError: if it must not stand there.
    """
    if name.lower() in FRAMING_FIELDS:
        raise MalformedAnswerError(Kind.TRAILER, name)
