"""The answers under way and those kept for callers who ask again."""

import asyncio
import collections
from typing import Protocol

from cranberryglade import verdicts
from cranberryglade.scheduling import answers

KEPT_ANSWERS = 20_000
KEPT_BYTES = 33_554_432
ANSWER_BYTES = 16_777_216
AHEAD_BYTES = 262_144


class Writer(Protocol):
    """Where a caller's answer is written as it comes."""

    def write(self, events: bytes) -> bool:
        """Writes token events, or nothing and returns False."""


class Exchange:
    """One request's answer as far as it has arrived.

    Any number of callers may follow it from its beginning. Each reads what is
    there at its own pace, and then has what comes written by the turn of the
    loop that brings it. A caller that falls behind goes back to reading.
    """

    __slots__ = (
        "_behind",
        "_data",
        "_organisation",
        "_passed_on",
        "_request_id",
        "_room",
        "_skip",
        "_starting",
        "_verdict",
        "_waiters",
        "_writers",
    )

    def __init__(self, request_id: str, organisation: str):
        self._request_id = request_id
        self._organisation = organisation
        self._data = bytearray()
        self._verdict: verdicts.Verdict | None = None
        self._starting: list[asyncio.Future] = []
        self._waiters: list[asyncio.Future] = []
        self._writers: dict[Writer, asyncio.Future] = {}
        self._behind: dict[Writer, int] = {}
        self._room: asyncio.Future | None = None
        self._passed_on = False
        self._skip = 0

    @property
    def request_id(self) -> str:
        """The request that is answered."""
        return self._request_id

    @property
    def organisation(self) -> str:
        """The only organisation that may read the answer."""
        return self._organisation

    @property
    def verdict(self) -> verdicts.Verdict | None:
        """The final verdict, or None while there is none."""
        return self._verdict

    @property
    def size(self) -> int:
        """Bytes held."""
        return len(self._data)

    def append(self, events: bytes) -> asyncio.Future | None:
        """Adds token events.

        Returns:
            None, or a future that is done when a caller has caught up.

        Raises:
            BrokenAnswerError: the answer is longer than any that is kept.
        """
        if self._skip:
            events = self._without_skipped(events)
        if not events:
            return self._room
        self._data += events
        if len(self._data) > ANSWER_BYTES:
            raise answers.BrokenAnswerError("too long")
        if self._starting:
            _wake(self._starting)
        if self._writers:
            self._write(events)
        return self._hold() if self._behind else None

    def restart(self) -> None:
        """Drops what an attempt that did not end has delivered.

        What a caller has already been given stays, and the next attempt is
        taken up behind it.
        """
        if self._passed_on:
            self._skip = self._data.count(answers.SEPARATOR)
        else:
            self._data.clear()

    def finish(self, verdict: verdicts.Verdict) -> None:
        """Sets the final verdict."""
        self._verdict = verdict
        self._release()
        for writer in list(self._writers):
            self._detach(writer, len(self._data))
        _wake(self._starting)
        _wake(self._waiters)

    async def finished(self) -> verdicts.Verdict:
        """Waits for the final verdict."""
        while self._verdict is None:
            await _wait(self._waiters)
        return self._verdict

    async def started(self) -> None:
        """Waits for the first token event or the final verdict."""
        if self._verdict is None and not self._data:
            await _wait(self._starting)

    def read(self, position: int, limit: int) -> bytes:
        """Reads bytes from a position on, at most `limit`."""
        self._passed_on = True
        return bytes(self._data[position : position + limit])

    def catch_up(self, writer: Writer, position: int) -> None:
        """Notes how far a caller that reads at its own pace has come."""
        self._behind[writer] = position
        if len(self._data) - position <= AHEAD_BYTES:
            self._release()

    def leave(self, writer: Writer) -> None:
        """Forgets a caller."""
        self._writers.pop(writer, None)
        if self._behind.pop(writer, None) is not None:
            self._release()

    async def pass_on(self, writer: Writer, position: int) -> int:
        """Has what comes written until the verdict, or the caller lags.

        Args:
            writer: the caller.
            position: what the caller has; all that is there.

        Returns:
            The position that the caller has reached.
        """
        if position < len(self._data) or self._verdict is not None:
            return position
        self._behind.pop(writer, None)
        future = asyncio.get_running_loop().create_future()
        self._writers[writer] = future
        try:
            return await future
        finally:
            self._writers.pop(writer, None)

    def events(self) -> bytes:
        """The token events."""
        return bytes(self._data)

    def data(self) -> list[bytes]:
        """The JSON of each token event."""
        events = bytes(self._data).split(answers.SEPARATOR)
        return [answers.event_data(event) for event in events if event]

    def _write(self, events: bytes) -> None:
        lagging = None
        for writer in self._writers:
            if not writer.write(events):
                lagging = lagging or []
                lagging.append(writer)
        for writer in lagging or ():
            self._behind[writer] = len(self._data) - len(events)
            self._detach(writer, self._behind[writer])

    def _detach(self, writer: Writer, position: int) -> None:
        future = self._writers.pop(writer)
        if not future.done():
            future.set_result(position)

    def _hold(self) -> asyncio.Future | None:
        if self._writers:
            return None
        if len(self._data) - max(self._behind.values()) <= AHEAD_BYTES:
            return None
        if self._room is None:
            self._room = asyncio.get_running_loop().create_future()
        return self._room

    def _release(self) -> None:
        room, self._room = self._room, None
        if room is not None and not room.done():
            room.set_result(None)

    def _without_skipped(self, events: bytes) -> bytes:
        separator = answers.SEPARATOR
        while self._skip and events:
            events = events[events.index(separator) + len(separator) :]
            self._skip -= 1
        return events


async def _wait(waiters: list[asyncio.Future]) -> None:
    waiter = asyncio.get_running_loop().create_future()
    waiters.append(waiter)
    await waiter


def _wake(waiters: list[asyncio.Future]) -> None:
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(None)
    waiters.clear()


class Exchanges:
    """Exchanges by request id; finished ones are kept within bounds."""

    __slots__ = ("_dropped", "_finished", "_finished_bytes", "_live")

    def __init__(self):
        self._live: dict[str, Exchange] = {}
        self._finished: collections.OrderedDict[str, Exchange] = (
            collections.OrderedDict()
        )
        self._finished_bytes = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """How many kept answers have been forgotten for want of room."""
        return self._dropped

    def open(self, request_id: str, organisation: str) -> Exchange:
        """Starts the exchange of a new request."""
        exchange = Exchange(request_id, organisation)
        self._live[request_id] = exchange
        return exchange

    def get(self, request_id: str) -> Exchange | None:
        """The exchange of a request, under way or kept."""
        live = self._live.get(request_id)
        return live or self._finished.get(request_id)

    def finished(self) -> list[Exchange]:
        """The kept exchanges, latest first."""
        return list(reversed(self._finished.values()))

    def forget(self, request_id: str) -> None:
        """Drops an exchange that was never used."""
        self._live.pop(request_id, None)

    def finish(self, request_id: str, verdict: verdicts.Verdict) -> None:
        """Ends an exchange and keeps its answer."""
        exchange = self._live.pop(request_id, None)
        if exchange is None:
            return
        exchange.finish(verdict)
        self._finished[request_id] = exchange
        self._finished_bytes += exchange.size
        while (
            len(self._finished) > KEPT_ANSWERS
            or self._finished_bytes > KEPT_BYTES
        ):
            _, oldest = self._finished.popitem(last=False)
            self._finished_bytes -= oldest.size
            self._dropped += 1
