"""Which requests this instance is the home of, and what became of them."""

import collections
import dataclasses

from cranberryglade import verdicts
from cranberryglade.scheduling import messages

KEPT_TOMBSTONES = 100_000


@dataclasses.dataclass(slots=True, eq=False)
class Record:
    """One request that is not final yet.

    Attributes:
        request: what was asked.
        state: state of the request chart.
        attempt: number of dispatches so far.
        endpoint: where it runs, or None.
        peer: to whom it is delegated, or None.
        dispatched_at: when the current attempt began, in seconds.
    """

    request: messages.Request
    state: str
    attempt: int = 0
    endpoint: messages.Endpoint | None = None
    peer: messages.Peer | None = None
    dispatched_at: float = 0.0


class Claims:
    """Deduplicates requests in memory, within one turn of the loop."""

    __slots__ = ("_dropped", "_keys", "_live", "_tombstones")

    def __init__(self):
        self._live: dict[str, Record] = {}
        self._keys: dict[str, str] = {}
        self._tombstones: collections.OrderedDict[str, verdicts.Verdict] = (
            collections.OrderedDict()
        )
        self._dropped = 0

    def __len__(self) -> int:
        return len(self._live)

    @property
    def dropped(self) -> int:
        """How many tombstones have been forgotten for want of room."""
        return self._dropped

    def find(self, request: messages.Request) -> str | None:
        """The id under which the same request is already known here."""
        if request.request_id in self._live:
            return request.request_id
        if request.request_id in self._tombstones:
            return request.request_id
        if request.key:
            return self._keys.get(_scoped(request))
        return None

    def open(self, request: messages.Request, state: str) -> Record:
        """Starts the record of a request that is new here."""
        record = Record(request, state)
        self._live[request.request_id] = record
        if request.key:
            self._keys[_scoped(request)] = request.request_id
        return record

    def get(self, request_id: str) -> Record | None:
        """The record of a request that is not final."""
        return self._live.get(request_id)

    def close(self, request_id: str, verdict: verdicts.Verdict) -> None:
        """Turns a record into a tombstone."""
        record = self._live.pop(request_id)
        self._tombstones[request_id] = verdict
        if isinstance(verdict, verdicts.NotRun) and record.request.key:
            self._keys.pop(_scoped(record.request), None)
        if len(self._tombstones) > KEPT_TOMBSTONES:
            self._tombstones.popitem(last=False)
            self._dropped += 1


def _scoped(request: messages.Request) -> str:
    return f"{request.organisation}\0{request.key}"
