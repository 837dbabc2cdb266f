"""Answers in progress, and finished ones kept for callers that ask again."""

import asyncio
import collections
from typing import Protocol

from cranberryglade import verdicts
from cranberryglade.scheduling import answers

MAX_KEPT_ANSWERS = 20_000
MAX_KEPT_BYTES = 33_554_432
MAX_ANSWER_BYTES = 16_777_216
BACKPRESSURE_BYTES = 262_144


class Writer(Protocol):
    """Destination to which a caller's answer is written as it arrives."""

    def write(self, events: bytes) -> bool:
        """Writes all the token events or none of them.

        Returns:
            Whether they were written.
        """


class Exchange:
    """The answer to one request, as far as it has arrived.

    Any number of callers may read it from its beginning. Each first reads the
    buffered events at its own pace. Once it has caught up, new events are
    written to it in the same turn of the event loop in which they arrive. A
    caller that falls behind returns to reading from the buffer.
    """

    __slots__ = (
        "_lagging",
        "_data",
        "_organisation",
        "_was_read",
        "_request_id",
        "_backpressure",
        "_events_to_skip",
        "_start_waiters",
        "_verdict",
        "_finish_waiters",
        "_writers",
    )

    def __init__(self, request_id: str, organisation: str):
        self._request_id = request_id
        self._organisation = organisation
        self._data = bytearray()
        self._verdict: verdicts.Verdict | None = None
        self._start_waiters: list[asyncio.Future] = []
        self._finish_waiters: list[asyncio.Future] = []
        self._writers: dict[Writer, asyncio.Future] = {}
        self._lagging: dict[Writer, int] = {}
        self._backpressure: asyncio.Future | None = None
        self._was_read = False
        self._events_to_skip = 0

    @property
    def request_id(self) -> str:
        """Id of the request that is answered."""
        return self._request_id

    @property
    def organisation(self) -> str:
        """The only organisation that may read the answer."""
        return self._organisation

    @property
    def verdict(self) -> verdicts.Verdict | None:
        """The final verdict, or None while the request is in progress."""
        return self._verdict

    @property
    def size(self) -> int:
        """Bytes of the buffered token events."""
        return len(self._data)

    def append(self, events: bytes) -> asyncio.Future | None:
        """Appends token events and writes them to callers that keep up.

        Returns:
            None, or, while every caller is more than BACKPRESSURE_BYTES behind,
            a future to wait for before more is read. It is done when a caller
            is within BACKPRESSURE_BYTES again or leaves, or the exchange
            finishes.

        Raises:
            BrokenAnswerError: the answer is longer than MAX_ANSWER_BYTES.
        """
        if self._events_to_skip:
            events = self._drop_skipped(events)
        if not events:
            return self._backpressure
        self._data += events
        if len(self._data) > MAX_ANSWER_BYTES:
            raise answers.BrokenAnswerError("answer is too long")
        if self._start_waiters:
            _wake(self._start_waiters)
        if self._writers:
            self._write(events)
        return self._apply_backpressure() if self._lagging else None

    def restart(self) -> None:
        """Discards the events of an attempt that did not complete.

        If a caller has already read some of them, they all stay, and as many
        events are skipped at the beginning of the next attempt.
        """
        if self._was_read:
            self._events_to_skip = self._data.count(answers.EVENT_SEPARATOR)
        else:
            self._data.clear()

    def finish(self, verdict: verdicts.Verdict) -> None:
        """Sets the final verdict and wakes everything that waits for it."""
        self._verdict = verdict
        self._release_backpressure()
        for writer in list(self._writers):
            self._detach(writer, len(self._data))
        _wake(self._start_waiters)
        _wake(self._finish_waiters)

    async def finished(self) -> verdicts.Verdict:
        """Waits for the final verdict and returns it."""
        while self._verdict is None:
            await _wait(self._finish_waiters)
        return self._verdict

    async def started(self) -> None:
        """Waits for the first token event or the final verdict."""
        if self._verdict is None and not self._data:
            await _wait(self._start_waiters)

    def read(self, position: int, limit: int) -> bytes:
        """Returns at most `limit` bytes, starting at `position`."""
        self._was_read = True
        return bytes(self._data[position : position + limit])

    def record_position(self, writer: Writer, position: int) -> None:
        """Records the position of a caller that reads from the buffer."""
        self._lagging[writer] = position
        if len(self._data) - position <= BACKPRESSURE_BYTES:
            self._release_backpressure()

    def remove_writer(self, writer: Writer) -> None:
        """Removes a caller that no longer follows the answer."""
        self._writers.pop(writer, None)
        if self._lagging.pop(writer, None) is not None:
            self._release_backpressure()

    async def follow(self, writer: Writer, position: int) -> int:
        """Has new events written to a caller until it lags or all is written.

        Returns at once if the caller has not caught up with the buffer or the
        verdict is known.

        Args:
            writer: the caller.
            position: bytes that the caller has received.

        Returns:
            The position that the caller has reached, in bytes.
        """
        if position < len(self._data) or self._verdict is not None:
            return position
        self._lagging.pop(writer, None)
        future = asyncio.get_running_loop().create_future()
        self._writers[writer] = future
        try:
            return await future
        finally:
            self._writers.pop(writer, None)

    def events(self) -> bytes:
        """Returns the token events received so far."""
        return bytes(self._data)

    def data(self) -> list[bytes]:
        """Returns the JSON of each token event."""
        events = bytes(self._data).split(answers.EVENT_SEPARATOR)
        return [answers.event_data(event) for event in events if event]

    def _write(self, events: bytes) -> None:
        lagging = None
        for writer in self._writers:
            if not writer.write(events):
                lagging = lagging or []
                lagging.append(writer)
        for writer in lagging or ():
            self._lagging[writer] = len(self._data) - len(events)
            self._detach(writer, self._lagging[writer])

    def _detach(self, writer: Writer, position: int) -> None:
        future = self._writers.pop(writer)
        if not future.done():
            future.set_result(position)

    def _apply_backpressure(self) -> asyncio.Future | None:
        if self._writers:
            return None
        if len(self._data) - max(self._lagging.values()) <= BACKPRESSURE_BYTES:
            return None
        if self._backpressure is None:
            self._backpressure = asyncio.get_running_loop().create_future()
        return self._backpressure

    def _release_backpressure(self) -> None:
        backpressure, self._backpressure = self._backpressure, None
        if backpressure is not None and not backpressure.done():
            backpressure.set_result(None)

    def _drop_skipped(self, events: bytes) -> bytes:
        separator = answers.EVENT_SEPARATOR
        while self._events_to_skip and events:
            events = events[events.index(separator) + len(separator) :]
            self._events_to_skip -= 1
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
    """Exchanges by request id.

    Finished ones are kept, up to MAX_KEPT_ANSWERS of them and MAX_KEPT_BYTES in
    all; beyond that the oldest are evicted.
    """

    __slots__ = ("_dropped", "_finished", "_finished_bytes", "_unfinished")

    def __init__(self):
        self._unfinished: dict[str, Exchange] = {}
        self._finished: collections.OrderedDict[str, Exchange] = (
            collections.OrderedDict()
        )
        self._finished_bytes = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of kept answers evicted to stay within the bounds."""
        return self._dropped

    def open(self, request_id: str, organisation: str) -> Exchange:
        """Creates the exchange of a new request."""
        exchange = Exchange(request_id, organisation)
        self._unfinished[request_id] = exchange
        return exchange

    def get(self, request_id: str) -> Exchange | None:
        """Returns the exchange of a request, in progress or kept, or None."""
        unfinished = self._unfinished.get(request_id)
        return unfinished or self._finished.get(request_id)

    def finished(self) -> list[Exchange]:
        """Returns the kept exchanges, the latest first."""
        return list(reversed(self._finished.values()))

    def discard(self, request_id: str) -> None:
        """Removes an unfinished exchange without keeping it."""
        self._unfinished.pop(request_id, None)

    def finish(self, request_id: str, verdict: verdicts.Verdict) -> None:
        """Finishes an exchange and keeps its answer; ignores unknown ids."""
        exchange = self._unfinished.pop(request_id, None)
        if exchange is None:
            return
        exchange.finish(verdict)
        self._finished[request_id] = exchange
        self._finished_bytes += exchange.size
        while (
            len(self._finished) > MAX_KEPT_ANSWERS
            or self._finished_bytes > MAX_KEPT_BYTES
        ):
            _, oldest = self._finished.popitem(last=False)
            self._finished_bytes -= oldest.size
            self._dropped += 1
