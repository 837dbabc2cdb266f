"""Checks that an answer is whole: contiguous offsets, matching end marker.

An answer is a stream of server-sent events. Token events have their offset as
the event id; the last event is named "end" and contains the request id and the
number of tokens.
"""

import msgspec

from cranberryglade import decoding

TOKEN_PREFIX = b"id: "
END_PREFIX = b"event: end\n"
EVENT_SEPARATOR = b"\n\n"

MAX_EVENT_BYTES = 1_048_576
"""Largest incomplete event that is buffered."""


class BrokenAnswerError(ValueError):
    """The stream is not a contiguous part of the expected answer."""


class EndMarker(msgspec.Struct):
    """Data of the last event.

    Attributes:
        request_id: the request that was answered.
        count: number of token events before it.
    """

    request_id: str
    count: int


class AnswerCheck:
    r"""Checks one answer across all the connections that transfer it.

    >>> check = AnswerCheck("r1")
    >>> check.feed(b'id: 0\ndata: {"text": "a"}\n\nid: 1')
    b'id: 0\ndata: {"text": "a"}\n\n'
    >>> check.next_offset
    1
    """

    __slots__ = ("_complete", "_next_offset", "_partial", "_request_id")

    def __init__(self, request_id: str):
        self._request_id = request_id
        self._next_offset = 0
        self._partial = b""
        self._complete = False

    @property
    def request_id(self) -> str:
        """The request whose answer this is."""
        return self._request_id

    @property
    def next_offset(self) -> int:
        """Offset of the first token that has not arrived."""
        return self._next_offset

    @property
    def complete(self) -> bool:
        """Whether the end marker has arrived and matches the answer."""
        return self._complete

    def reconnect(self) -> None:
        """Discards an incomplete event before another connection is read."""
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Parses the next bytes of the stream.

        Args:
            data: bytes of the stream, split anywhere.

        Returns:
            The token events that became complete and are new; tokens that
            were already seen are left out.

        Raises:
            BrokenAnswerError: an offset is invalid or missing, a token follows
                the end marker, the marker does not match the answer, or an
                event is too long.
        """
        if (
            data.startswith(b"id: %d\n" % self._next_offset)
            and data.find(EVENT_SEPARATOR) == len(data) - len(EVENT_SEPARATOR)
            and not self._partial
            and not self._complete
        ):
            self._next_offset += 1
            return data
        return self._parse_events(self._partial + data)

    def _parse_events(self, data: bytes) -> bytes:
        end = data.rfind(EVENT_SEPARATOR)
        begin = 0 if end < 0 else end + len(EVENT_SEPARATOR)
        self._partial = data[begin:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise BrokenAnswerError("event is too long")
        if end < 0:
            return b""
        accepted = [
            event + EVENT_SEPARATOR
            for event in data[:end].split(EVENT_SEPARATOR)
            if self._parse_event(event)
        ]
        return b"".join(accepted)

    def _parse_event(self, event: bytes) -> bool:
        if event.startswith(TOKEN_PREFIX):
            return self._parse_token(event)
        if event.startswith(END_PREFIX):
            self._parse_end(event)
        return False

    def _parse_token(self, event: bytes) -> bool:
        try:
            offset = int(event[len(TOKEN_PREFIX) : event.index(b"\n")])
        except ValueError as error:
            raise BrokenAnswerError("token event has no numeric id") from error
        if offset < self._next_offset:
            return False
        if offset > self._next_offset or self._complete:
            raise BrokenAnswerError(f"unexpected token offset {offset}")
        self._next_offset += 1
        return True

    def _parse_end(self, event: bytes) -> None:
        data = event[len(END_PREFIX) + len(b"data: ") :]
        try:
            end = msgspec.json.decode(data, type=EndMarker)
        except decoding.ERRORS as error:
            raise BrokenAnswerError("end marker is not readable") from error
        if end.request_id != self._request_id:
            raise BrokenAnswerError("end marker names another request")
        if end.count != self._next_offset:
            raise BrokenAnswerError(f"end marker has wrong count {end.count}")
        self._complete = True


def end_event(request_id: str, count: int) -> bytes:
    """Returns the last event of an answer."""
    marker = msgspec.json.encode(EndMarker(request_id, count))
    return END_PREFIX + b"data: " + marker + EVENT_SEPARATOR


def token_event(offset: int, data: bytes) -> bytes:
    """Returns one token event; `data` is JSON on one line."""
    return b"id: %d\ndata: %b\n\n" % (offset, data)


def event_data(event: bytes) -> bytes:
    """Returns the JSON of one token event."""
    return event.split(b"\ndata: ", 1)[1]
