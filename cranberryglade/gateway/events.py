"""Cuts a stream of server-sent events at whole events."""

END = b"\n\n"
LONGEST_EVENT_BYTES = 1_048_576


class EventTooLongError(Exception):
    """An event has no end."""


class EventCutter:
    """Keeps what is not yet a whole event, and the id of the last whole one."""

    __slots__ = ("_pending", "last_id")

    def __init__(self, last_id: str):
        self._pending = b""
        self.last_id = last_id

    @property
    def pending(self) -> bytes:
        """The beginning of an event whose end has not come."""
        return self._pending

    def feed(self, data: bytes) -> bytes:
        r"""Takes bytes in and returns the whole events, unchanged.

        >>> cutter = EventCutter("")
        >>> cutter.feed(b"id: 7\ndata: a\n\nid: 8")
        b'id: 7\ndata: a\n\n'
        >>> cutter.last_id, cutter.pending
        ('7', b'id: 8')
        """
        data = self._pending + data
        end = b"\r\n\r\n" if b"\r\n" in data else END
        at = data.rfind(end) + len(end)
        if at < len(end):
            at = 0
        whole, self._pending = data[:at], data[at:]
        self._note_id(whole)
        if len(self._pending) > LONGEST_EVENT_BYTES:
            raise EventTooLongError
        return whole

    def restart(self) -> None:
        """Drops the unfinished event, which a resumed stream repeats."""
        self._pending = b""

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.splitlines()):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                return
