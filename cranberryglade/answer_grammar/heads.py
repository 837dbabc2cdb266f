"""Checks the head of an answer against the grammar, and reads its framing.

A parser takes more than the grammar allows, each its own. A head is therefore
checked here, whole, before a parser reads its last byte.
"""

import dataclasses
import enum
import re

from cranberryglade.answer_grammar import faults

LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"

NO_CONTENT_STATUS = 204
NOT_MODIFIED_STATUS = 304
INTERIM_STATUSES = range(100, 200)
"""Interim responses, which are ignored."""

HEAD_ONLY_STATUSES = frozenset(
    (*INTERIM_STATUSES, NO_CONTENT_STATUS, NOT_MODIFIED_STATUS)
)
"""Statuses whose answers never have a body."""

SWITCHING_PROTOCOLS_STATUS = 101

_VERSION = rb"HTTP/1\.[01]"
_STATUS = rb"[1-5][0-9][0-9]"
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*+"

HEAD = re.compile(
    rb"HTTP/1\.([01]) (%b)(?: %b)?\r\n(?:%b:%b\r\n)*+\r\n"
    % (_STATUS, _TEXT, _TOKEN, _TEXT)
)
"""The blank before a reason may be absent with it (RFC 9112, section 4)."""

VERSION = re.compile(_VERSION + rb" ")
STATUS = re.compile(_STATUS + rb"(?: |\Z)")
TOKEN = re.compile(_TOKEN)
TEXT = re.compile(_TEXT)

LENGTH_FIELD = b"\ncontent-length:"
CODING_FIELD = b"\ntransfer-encoding:"
"""Beginnings of lines that state a framing, in lower case."""

CHUNKED = b"chunked"
MAX_LENGTH_DIGITS = 18
"""Most digits of a length, without zeros before it; it fits into 64 bits."""

JOINED = re.compile(rb"HTTP/1\.[0-9] [0-9]{3}")
"""The beginning of an answer, which stands within no field of a head."""

JOINED_HINT = b"HTTP/1."

Kind = faults.Kind
MalformedAnswerError = faults.MalformedAnswerError


class Framing(enum.Enum):
    """How the end of an answer's body is marked.

    Attributes:
        NO_BODY: there is no body.
        LENGTH: by its length.
        CHUNKED: by the last chunk.
        CONNECTION_CLOSE: by the end of the connection.
    """

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_CLOSE = "connection_close"


@dataclasses.dataclass(slots=True)
class Head:
    """What the head of an answer states of its body.

    Attributes:
        status: HTTP status.
        framing: how the end of the body is marked.
        length: bytes of the body; 0 unless that marks its end.
        is_interim: whether another head follows, that of the answer itself.
    """

    status: int
    framing: Framing
    length: int = 0
    is_interim: bool = False


def read(raw: bytes, asks_for_head: bool = False) -> Head:
    r"""Returns what a head states of its body.

    Args:
        raw: the head with the empty line at its end.
        asks_for_head: whether the method of the request is HEAD.

    Raises:
        MalformedAnswerError: if the grammar does not allow it.

    >>> read(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n").length
    2
    >>> read(b"HTTP/1.1 000 OK\r\n\r\n")
    Traceback (most recent call last):
    cranberryglade.answer_grammar.faults.MalformedAnswerError: status: b'000 OK'
    """
    found = HEAD.fullmatch(raw)
    if found is None:
        raise diagnose(raw)
    if raw.find(JOINED_HINT, 1) >= 0:
        joined = JOINED.search(raw, 1)
        if joined:
            raise MalformedAnswerError(Kind.JOINED, raw[joined.start() :])
    minor_version, status_text = found.groups()
    status = int(status_text)
    framing, length = _read_framing(raw.lower(), minor_version)
    if status in HEAD_ONLY_STATUSES:
        has_body = framing is Framing.CHUNKED or length > 0
        _check_without_body(status, minor_version, has_body)
        return Head(status, Framing.NO_BODY, 0, status in INTERIM_STATUSES)
    return Head(status, Framing.NO_BODY if asks_for_head else framing, length)


def _read_framing(lowered: bytes, minor_version: bytes) -> tuple[Framing, int]:
    """Returns the framing that a head states, and the length of the body.

    Args:
        lowered: the head in lower case.
        minor_version: digit behind "HTTP/1.".

    Raises:
        MalformedAnswerError: if it states none that is known, or several.
    """
    lengths = lowered.count(LENGTH_FIELD)
    codings = lowered.count(CODING_FIELD)
    if lengths + codings > 1:
        raise MalformedAnswerError(Kind.FRAMING, "stated more than once")
    if lengths:
        value = _find_value(lowered, LENGTH_FIELD)
        digits = value.lstrip(b"0") or b"0"
        if not value.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
            raise MalformedAnswerError(Kind.FRAMING, value)
        return Framing.LENGTH, int(digits)
    if codings:
        value = _find_value(lowered, CODING_FIELD)
        # Another coding would be lost with the field, which is not passed on.
        if value != CHUNKED or minor_version == b"0":
            raise MalformedAnswerError(Kind.FRAMING, value)
        return Framing.CHUNKED, 0
    return Framing.CONNECTION_CLOSE, 0


def _find_value(lowered: bytes, field: bytes) -> bytes:
    """Returns the value of a field that a head has, without blanks around."""
    begin = lowered.index(field) + len(field)
    return lowered[begin : lowered.index(LINE_END, begin)].strip(b" \t")


def _check_without_body(
    status: int, minor_version: bytes, has_body: bool
) -> None:
    """Checks the head of an answer whose status has no body.

    Raises:
        MalformedAnswerError: if it states one, unless that of 304 is left out;
            if an interim response is not of HTTP/1.1, or answers a wish to
            upgrade, which nobody has.
    """
    if status in INTERIM_STATUSES:
        is_unasked = status == SWITCHING_PROTOCOLS_STATUS
        if has_body or is_unasked or minor_version == b"0":
            raise MalformedAnswerError(Kind.INTERIM, f"{status}")
    elif status == NO_CONTENT_STATUS and has_body:
        raise MalformedAnswerError(Kind.FRAMING, "204 with a body")


def diagnose(raw: bytes) -> MalformedAnswerError:
    """Returns what is wrong with the beginning of a head, from left to right.

    Args:
        raw: a head that the grammar does not allow, or its beginning up to
            the first bytes that are wrong, or more.
    """
    status_line, *lines = raw.removesuffix(HEAD_END).split(LINE_END)
    return _diagnose_status_line(status_line) or _diagnose_fields(lines)


def _diagnose_status_line(line: bytes) -> MalformedAnswerError | None:
    version = VERSION.match(line)
    if not version:
        return MalformedAnswerError(Kind.VERSION, line)
    rest = line[version.end() :]
    status = STATUS.match(rest)
    if not status:
        return MalformedAnswerError(Kind.STATUS, rest)
    if not TEXT.fullmatch(rest, status.end()):
        return MalformedAnswerError(Kind.REASON, rest[status.end() :])
    return None


def _diagnose_fields(lines: list[bytes]) -> MalformedAnswerError:
    for number, line in enumerate(lines):
        if line[:1] in (b" ", b"\t") and number:
            return MalformedAnswerError(Kind.FIELD_VALUE, line)
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.fullmatch(name):
            return MalformedAnswerError(Kind.FIELD_NAME, line)
        if not TEXT.fullmatch(value):
            return MalformedAnswerError(Kind.FIELD_VALUE, line)
    return MalformedAnswerError(Kind.FRAMING, b"\r\n".join(lines))
