"""The answers under way and those kept for callers who ask again."""

import asyncio
import collections

from cranberryglade import verdicts
from cranberryglade.scheduling import answers

KEPT_ANSWERS = 20_000
KEPT_BYTES = 33_554_432


class Exchange:
    """One request's answer as far as it has arrived.

    Any number of callers may follow it from its beginning.
    """

    __slots__ = (
        "_changed",
        "_chunks",
        "_finished",
        "_organisation",
        "_request_id",
        "_size",
        "_verdict",
    )

    def __init__(self, request_id: str, organisation: str):
        self._request_id = request_id
        self._organisation = organisation
        self._chunks: list[bytes] = []
        self._size = 0
        self._verdict: verdicts.Verdict | None = None
        self._changed = asyncio.Event()
        self._finished = asyncio.Event()

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
        return self._size

    def append(self, events: bytes) -> None:
        """Adds token events."""
        if events:
            self._chunks.append(events)
            self._size += len(events)
            self._changed.set()

    def restart(self) -> None:
        """Drops what an attempt that did not end has delivered."""
        self._chunks.clear()
        self._size = 0

    def finish(self, verdict: verdicts.Verdict) -> None:
        """Sets the final verdict."""
        self._verdict = verdict
        self._changed.set()
        self._finished.set()

    async def finished(self) -> verdicts.Verdict:
        """Waits for the final verdict."""
        await self._finished.wait()
        return self._verdict

    async def follow(self):
        """Yields the token events in order until the verdict is final."""
        position = 0
        while True:
            while position < len(self._chunks):
                position += 1
                yield self._chunks[position - 1]
            if self._verdict is not None:
                return
            self._changed.clear()
            await self._changed.wait()

    def events(self) -> bytes:
        """The token events."""
        return b"".join(self._chunks)

    def data(self) -> list[bytes]:
        """The JSON of each token event."""
        events = b"".join(self._chunks).split(answers.SEPARATOR)
        return [answers.event_data(event) for event in events if event]


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
