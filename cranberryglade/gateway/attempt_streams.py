"""The stream of one attempt, as whole events."""

import asyncio

from cranberryglade.gateway import dialect
from cranberryglade.gateway import event_streams
from cranberryglade.gateway import outbound
from cranberryglade.gateway import sending

Part = outbound.Event | event_streams.StreamError


class AttemptStream:
    """Receives the events of an attempt, and judges where they end.

    Attributes:
        splitter: splits the stream into whole events.
        first_events_at: when its first events arrived, seconds of the loop's
            clock; None before.
    """

    __slots__ = (
        "_channel",
        "_framing",
        "_has_events",
        "_held",
        "_names_request",
        "first_events_at",
        "splitter",
    )

    def __init__(
        self,
        opened: sending.StreamStarted,
        splitter: event_streams.EventSplitter,
    ):
        """Creates one of which nothing was received but its head.

        Args:
            opened: the stream.
            splitter: splits it into whole events.
        """
        self._channel = opened.channel
        self._framing = opened.head.framing
        self._names_request = opened.names_request
        self._has_events = False
        self._held: Part | None = None
        self.first_events_at: float | None = None
        self.splitter = splitter

    @property
    def trailing(self) -> bytes:
        """Blank lines behind the last event, if this attempt sent that."""
        return b"" if self.splitter.awaits_join else self.splitter.pending

    async def receive(self) -> Part:
        """Returns the next part; data as the whole events in it.

        Loses nothing if it is cancelled.
        """
        held, self._held = self._held, None
        if held is not None:
            return held
        part = await self._channel.next_event()
        if not isinstance(part, outbound.Data):
            return part
        try:
            events = self.splitter.feed(part.data)
        except event_streams.StreamError as error:
            return error
        if events and not self._has_events:
            self._has_events = True
            self.first_events_at = asyncio.get_running_loop().time()
        return outbound.Data(events)

    async def wait_for_proof(self) -> str:
        """Waits until it is certain whether the attempt goes on.

        It does with its first event, or a proper end. `receive` returns what
        was received once more. Loses nothing if it is cancelled.

        Returns:
            Why it does not go on; "" if it does.
        """
        while True:
            part = await self.receive()
            if part != outbound.Data(b""):
                self._held = part
                return self.find_problem(part)

    def is_sound(self, part: Part) -> bool:
        """Returns whether the attempt goes on or ends properly with a part."""
        return not self.find_problem(part)

    def find_problem(self, part: Part) -> str:
        """Returns why the stream breaks off with a part; "" if it does not."""
        match part:
            case outbound.Data():
                return ""
            case event_streams.StreamError() as error:
                return str(error)
            case outbound.End():
                return self._find_early_end()
            case outbound.AnswerLost(reason):
                return f"stream {reason}"
            case dialect.AnswerHead():
                return "stream torn"

    def _find_early_end(self) -> str:
        """Returns why the stream must not end here; "" if it may."""
        if self.splitter.within_event:
            return "stream ended inside an event"
        if self.splitter.awaits_join and not self._says_nothing_left():
            return "stream went on without events"
        # A framed stream may be empty, as when the caller resumes one and
        # nothing was left; its endpoint alone vouches for that. If
        # it is not framed, it may as well have broken off at its beginning.
        unframed = self._framing is dialect.Framing.CONNECTION_CLOSE
        if unframed and not self._has_events:
            return "stream ended without events"
        return ""

    def _says_nothing_left(self) -> bool:
        """Returns whether no events were left, as this further attempt says.

        Load pattern: an endpoint pauses or breaks off behind the last event,
        before the end of its stream. The next one has nothing to send. Only a
        framed answer to this very request vouches for that, and not against
        what was seen to follow the last event.
        """
        splitter = self.splitter
        framed = self._framing in (
            dialect.Framing.CHUNKED,
            dialect.Framing.LENGTH,
        )
        vouched = framed and self._names_request and splitter.only_comments
        return vouched and not splitter.more_left
