"""What is wrong with bytes that were to be an answer."""

import dataclasses
import enum

MAX_DETAIL_CHARACTERS = 80
"""Longest detail of a fault; the rest is cut off."""


class Kind(enum.Enum):
    """The part of an answer that is malformed, from left to right.

    Attributes:
        VERSION: what stands before the status is not "HTTP/1.0 " or
            "HTTP/1.1 ".
        STATUS: it is not three digits from 100 to 599.
        REASON: it has a control character.
        FIELD_NAME: it is not a token, or no colon follows.
        FIELD_VALUE: it has a control character, or goes on in the next line.
        JOINED: a field has the beginning of another answer in it.
        FRAMING: the end of the body is not stated, or in two ways.
        INTERIM: an interim response has a body, or ends the connection.
        CHUNK: a chunk, its size, its extensions or its end.
        TRAILER: a field behind the last chunk.
        CUT: the connection was reset where only its close ends the answer.
    """

    VERSION = "version"
    STATUS = "status"
    REASON = "reason"
    FIELD_NAME = "field name"
    FIELD_VALUE = "field value"
    JOINED = "joined"
    FRAMING = "framing"
    INTERIM = "interim"
    CHUNK = "chunk"
    TRAILER = "trailer"
    CUT = "cut"


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """What is wrong with an answer.

    Attributes:
        kind: the part of it.
        detail: that part as ASCII, at most MAX_DETAIL_CHARACTERS long.
    """

    kind: Kind
    detail: str


class MalformedAnswerError(Exception):
    """Received bytes are not an answer.

    Attributes:
        fault: what is wrong with them.
    """

    def __init__(self, kind: Kind, detail: bytes | str):
        """Creates one.

        Args:
            kind: the part that is malformed.
            detail: that part, of any length.
        """
        # Escapes lengthen it, so that it is cut before and after.
        text = ascii(detail[:MAX_DETAIL_CHARACTERS])
        self.fault = Fault(kind, text[:MAX_DETAIL_CHARACTERS])
        super().__init__(f"{kind.value}: {self.fault.detail}")
