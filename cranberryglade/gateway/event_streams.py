"""Splits a stream of server-sent events into whole events.

The events of one answer may come from several attempts. The splitter checks
that each attempt goes on where the one before broke off, as far as the ids of
the events tell: they increase, but not always by one.
"""

import copy
import re

BLANK_LINES = (b"\n\n", b"\n\r\n", b"\r\r")
"""Ends of the last line of an event and of the blank line after it.

LF, CRLF and CR all end a line, and a stream may mix them.
"""

MAX_BLANK_LINE_BYTES = max(map(len, BLANK_LINES))

MAX_EVENT_BYTES = 1_048_576
"""Largest incomplete event that is buffered."""

LINE_END = rb"(?:\r\n|\n|\r)"
FIELD_LINES = re.compile(
    rb"(?:\xef\xbb\xbf)?(?:(?::[^\r\n]*|[A-Za-z][A-Za-z0-9_-]*(?::[^\r\n]*)?)?"
    + LINE_END
    + rb")*+"
)
"""Lines of events: fields, comments and blank lines. Names of fields that are
not known are allowed, as a platform may have its own."""

NUMBERED_EVENT = re.compile(
    rb"(?:[A-Za-z][A-Za-z0-9_-]*:[^\r\n]*\n)*?id: ?([0-9]{1,18})\n"
    rb"(?:(?!id:)[A-Za-z][A-Za-z0-9_-]*:[^\r\n]*\n)*\n"
)
"""One whole event with a number as its id, the usual case."""

COMMENTS = re.compile(rb"(?:(?::[^\r\n]*)?" + LINE_END + rb")*+")
"""Lines that say nothing: comments and blank lines."""

MAX_ID_DIGITS = 18
"""Digits of an id up to which it is compared as a number."""

MIN_COUNTED_EVENTS = 2
"""Number of ids from which their step can be told."""


class StreamError(Exception):
    """The stream cannot be relayed; the text says why, for logs."""


class EventTooLongError(StreamError):
    """An incomplete event exceeds MAX_EVENT_BYTES."""

    def __init__(self):
        super().__init__("event too long")


class ForeignBytesError(StreamError):
    """The stream has bytes that are no events."""

    def __init__(self):
        super().__init__("stream has other bytes than events")


class WrongEventError(StreamError):
    """The stream does not go on where the attempt before broke off."""

    def __init__(self):
        super().__init__("stream goes on at another event")


class EventSplitter:
    """Buffers a stream until its events are whole.

    Attributes:
        last_id: id of the last whole event; the id given at the start, if no
            event with an id has followed.
        resumable: whether a stream that goes on after `last_id` repeats no
            event: not if the last event had no id.
        awaits_join: whether a further attempt has begun and none of its events
            has arrived.
        more_left: whether more is known to follow the last whole event, as an
            earlier attempt had begun to send it.
        only_comments: whether a further attempt has sent nothing but comments.
    """

    __slots__ = (
        "_first_id",
        "_id_count",
        "_pending",
        "awaits_join",
        "last_id",
        "more_left",
        "only_comments",
        "resumable",
    )

    def __init__(self, last_id: str):
        self._pending = bytearray()
        self._first_id = ""
        self._id_count = 0
        self.last_id = last_id
        self.resumable = True
        self.awaits_join = False
        self.more_left = False
        self.only_comments = True

    @property
    def pending(self) -> bytes:
        """The incomplete event at the end of the stream so far."""
        return bytes(self._pending)

    @property
    def within_event(self) -> bool:
        """Whether the stream so far ends inside an event.

        Blank lines after the last event do not begin another one.
        """
        return bool(self._pending.strip(b"\r\n"))

    def feed(self, data: bytes) -> bytes:
        r"""Returns the events that the data completes, unchanged.

        Args:
            data: the next bytes of the stream.

        Raises:
            StreamError: if an incomplete event is too large, or the events
                cannot follow those before.

        >>> splitter = EventSplitter("")
        >>> splitter.feed(b"id: 7\ndata: a\n\nid: 8")
        b'id: 7\ndata: a\n\n'
        >>> splitter.last_id, splitter.pending
        ('7', b'id: 8')
        """
        if not self._pending and not self.awaits_join:
            usual = NUMBERED_EVENT.fullmatch(data)
            if usual is not None:
                id_ = usual[1].decode()
                self._count_ids(id_, id_, 1)
                return data
        # What was searched before is not searched again, but for a blank line
        # that began in it.
        searched = max(0, len(self._pending) - MAX_BLANK_LINE_BYTES)
        self._pending += data
        whole_bytes = _whole_bytes(self._pending, searched)
        whole = bytes(self._pending[:whole_bytes])
        del self._pending[:whole_bytes]
        if whole:
            self._check(whole)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLongError
        # Comments and blank lines alone do not show whose stream it is.
        return b"" if self.awaits_join else whole

    def begin_join(self, bytes_left: bool = False) -> None:
        """Begins a further attempt, which goes on after the last whole event.

        It repeats the incomplete event, which is dropped.

        Args:
            bytes_left: whether the attempt before had stated that its stream
                is longer.
        """
        self.more_left = self.more_left or self.within_event or bytes_left
        self._pending.clear()
        self.awaits_join = True
        self.only_comments = True

    def fork(self) -> "EventSplitter":
        """Returns a copy for an attempt beside the one that this one splits."""
        return copy.deepcopy(self)

    def _check(self, whole: bytes) -> None:
        if not FIELD_LINES.fullmatch(whole):
            raise ForeignBytesError
        if self.awaits_join:
            self._check_join(whole)
        self._update_last_id(whole)

    def _check_join(self, whole: bytes) -> None:
        first_id = None
        for line in whole.splitlines():
            if _has_id(line):
                first_id = _decode_id(line)
            elif line.startswith(b"data") and first_id is None:
                first_id = ""
            elif not line and first_id is not None:
                break
        if first_id is None:
            if not COMMENTS.fullmatch(whole):
                self.only_comments = False
            return
        if self.last_id and not self._may_follow(first_id):
            raise WrongEventError
        self.awaits_join = False
        self.more_left = False

    def _may_follow(self, id_: str) -> bool:
        if not _is_number(self.last_id):
            return id_ not in ("", self.last_id)
        if not _is_number(id_):
            return False
        step = int(id_) - int(self.last_id)
        return step == 1 if self._counts_by_one() else step > 0

    def _counts_by_one(self) -> bool:
        if self._id_count < MIN_COUNTED_EVENTS:
            return False
        if not _is_number(self._first_id):
            return False
        return int(self.last_id) - int(self._first_id) == self._id_count - 1

    def _update_last_id(self, whole: bytes) -> None:
        has_data = False
        ends_without_id = False
        for line in reversed(whole.splitlines()):
            if _has_id(line):
                first_id = next(filter(_has_id, whole.splitlines()))
                self._count_ids(
                    _decode_id(first_id), _decode_id(line), _ids_in(whole)
                )
                self.resumable = not ends_without_id
                return
            if not line:
                ends_without_id = has_data
            elif line.startswith(b"data"):
                has_data = True
        if has_data:
            self.resumable = False

    def _count_ids(self, first_id: str, last_id: str, count: int) -> None:
        self._first_id = self._first_id or first_id
        self._id_count += count
        self.last_id = last_id
        self.resumable = True


def _has_id(line: bytes) -> bool:
    return line.startswith(b"id:")


def _decode_id(line: bytes) -> str:
    return line[3:].strip().decode("latin-1")


def _ids_in(events: bytes) -> int:
    return (
        events.startswith(b"id:")
        + events.count(b"\nid:")
        + events.count(b"\rid:")
    )


def _is_number(id_: str) -> bool:
    return id_.isascii() and id_.isdigit() and len(id_) <= MAX_ID_DIGITS


def _whole_bytes(data: bytearray, begin: int) -> int:
    """Returns the number of bytes up to the end of the last whole event.

    Args:
        data: the stream.
        begin: where to begin the search.
    """
    ends = [
        start + len(blank)
        for blank in BLANK_LINES
        if (start := data.rfind(blank, begin)) >= 0
    ]
    return max(ends, default=0)
