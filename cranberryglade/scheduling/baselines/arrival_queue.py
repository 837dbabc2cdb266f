"""The queue of the baseline policies: by tier, then arrival."""

import dataclasses
import heapq

from cranberryglade.scheduling import messages


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """One waiting request.

    Attributes:
        request: the request.
        queued_at: when it was queued, in seconds.
        latest_start: time in seconds after which a start would miss the
            deadline.
        waiting: False once it has been removed.
    """

    request: messages.Request
    queued_at: float
    latest_start: float
    waiting: bool = True


class ArrivalQueue:
    """Waiting requests by tier, then arrival; operations take O(log n)."""

    __slots__ = ("_by_order", "_by_start", "_counts", "_entries", "_sequence")

    def __init__(self):
        self._entries: dict[str, Entry] = {}
        self._by_order = []
        self._by_start = []
        self._counts: dict[int, int] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def worst_rank(self) -> int:
        """Rank of the lowest tier with waiting requests; -1 if none waits."""
        return max(
            (rank for rank, count in self._counts.items() if count),
            default=-1,
        )

    def count_up_to(self, rank: int) -> int:
        """Returns the number of requests waiting in a tier and all higher."""
        return sum(
            count for other, count in self._counts.items() if other <= rank
        )

    def push(
        self, request: messages.Request, now: float, latest_start: float
    ) -> None:
        """Adds a request; `now` and `latest_start` in seconds."""
        entry = Entry(request, now, latest_start)
        self._entries[request.request_id] = entry
        self._sequence += 1
        heapq.heappush(self._by_order, (request.rank, self._sequence, entry))
        heapq.heappush(self._by_start, (latest_start, self._sequence, entry))
        self._counts[request.rank] = self._counts.get(request.rank, 0) + 1

    def peek(self) -> messages.Request | None:
        """Returns the request to serve next, without removing it, or None."""
        _discard_removed(self._by_order)
        return self._by_order[0][2].request if self._by_order else None

    def remove(self, request_id: str) -> Entry | None:
        """Removes a request; returns None if it is not queued."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return None
        entry.waiting = False
        self._counts[entry.request.rank] -= 1
        return entry

    def next_expiry(self) -> float | None:
        """Returns the earliest latest start in seconds; None if none waits."""
        _discard_removed(self._by_start)
        return self._by_start[0][0] if self._by_start else None

    def pop_expired(self, now: float) -> Entry | None:
        """Removes and returns one request whose latest start has passed."""
        expiry = self.next_expiry()
        if expiry is None or expiry > now:
            return None
        return self.remove(self._by_start[0][2].request.request_id)


def _discard_removed(heap) -> None:
    while heap and not heap[0][2].waiting:
        heapq.heappop(heap)
