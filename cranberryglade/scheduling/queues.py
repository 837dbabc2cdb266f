"""The requests that wait for one target, in the order they are served.

Tiers come first. Within a tier and lane the organisations share by start-time
fair queueing: the one whose served tokens, divided by its weight, are furthest
behind goes next. Within an organisation the request goes next whose latest
start is nearest. Every operation is O(log n) in the number of requests.
"""

import dataclasses
import enum
import heapq

from cranberryglade.scheduling import messages

SPARE_ENTRIES = 64


class Lane(enum.IntEnum):
    """Requests that pass each other because their lengths differ."""

    SHORT = 0
    LONG = 1


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """One waiting request.

    Attributes:
        request: what waits.
        queued_at: since when, in seconds.
        latest_start: after this its deadline can no longer be met.
        lane: by the length of its prompt.
        work: slot seconds it is expected to take.
        waiting: False once it has been taken or removed.
    """

    request: messages.Request
    queued_at: float
    latest_start: float
    lane: Lane = Lane.SHORT
    work: float = 0.0
    waiting: bool = True


class _Flow:
    """What one organisation has waiting in one tier and lane."""

    __slots__ = ("active", "heap", "organisation", "tag")

    def __init__(self, organisation: str):
        self.organisation = organisation
        self.tag = 0.0
        self.heap = []
        self.active = False

    def head(self) -> Entry | None:
        """The entry to serve next."""
        _drop_taken(self.heap)
        return self.heap[0][2] if self.heap else None


class _Line:
    """One tier of one lane: flows by their tags."""

    __slots__ = ("_by_tag", "_flows", "_sequence", "_virtual")

    def __init__(self):
        self._flows: dict[str, _Flow] = {}
        self._by_tag = []
        self._virtual = 0.0
        self._sequence = 0

    def push(self, entry: Entry) -> None:
        organisation = entry.request.organisation
        flow = self._flows.get(organisation)
        if flow is None:
            flow = self._flows[organisation] = _Flow(organisation)
        self._sequence += 1
        item = (entry.latest_start, self._sequence, entry)
        heapq.heappush(flow.heap, item)
        if not flow.active:
            flow.active = True
            flow.tag = max(flow.tag, self._virtual)
            self._enter(flow)

    def head(self) -> Entry | None:
        while self._by_tag:
            flow = self._by_tag[0][2]
            entry = flow.head()
            if entry is not None:
                return entry
            heapq.heappop(self._by_tag)
            flow.active = False
            if flow.tag <= self._virtual:
                del self._flows[flow.organisation]
        return None

    def charge(self, work: float) -> None:
        """Charges the flow whose entry is at the head."""
        flow = heapq.heappop(self._by_tag)[2]
        self._virtual = max(self._virtual, flow.tag)
        flow.tag += work / flow.head().request.weight
        self._enter(flow)

    def _enter(self, flow: _Flow) -> None:
        self._sequence += 1
        heapq.heappush(self._by_tag, (flow.tag, self._sequence, flow))


class _Backlog:
    """Running sums of one tier."""

    __slots__ = ("by_organisation", "count", "newest", "weights", "work")

    def __init__(self):
        self.count = 0
        self.work = 0.0
        self.weights = 0.0
        self.by_organisation: dict[str, tuple[int, float]] = {}
        self.newest: list[Entry] = []

    def add(self, entry: Entry) -> None:
        request = entry.request
        count, work = self.by_organisation.get(request.organisation, (0, 0.0))
        if not count:
            self.weights += request.weight
        self.by_organisation[request.organisation] = (
            count + 1,
            work + entry.work,
        )
        self.count += 1
        self.work += entry.work
        self.newest.append(entry)

    def drop(self, entry: Entry) -> None:
        request = entry.request
        count, work = self.by_organisation[request.organisation]
        self.count -= 1
        self.work = self.work - entry.work if self.count else 0.0
        if count > 1:
            left = (count - 1, work - entry.work)
            self.by_organisation[request.organisation] = left
            return
        del self.by_organisation[request.organisation]
        self.weights -= request.weight

    def last(self) -> Entry | None:
        while self.newest and not self.newest[-1].waiting:
            self.newest.pop()
        return self.newest[-1] if self.newest else None

    def compact(self) -> None:
        if len(self.newest) > 2 * self.count + SPARE_ENTRIES:
            self.newest = [entry for entry in self.newest if entry.waiting]


class Queue:
    """What waits for one target."""

    __slots__ = ("_backlogs", "_by_start", "_entries", "_lines", "_sequence")

    def __init__(self):
        self._entries: dict[str, Entry] = {}
        self._lines: dict[tuple[int, Lane], _Line] = {}
        self._backlogs: dict[int, _Backlog] = {}
        self._by_start = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def ranks(self) -> list[int]:
        """Ranks of the tiers that wait, the highest tier first."""
        return sorted(r for r, b in self._backlogs.items() if b.count)

    @property
    def worst_rank(self) -> int:
        """Rank of the lowest tier that waits, or -1 when nothing does."""
        return max(self.ranks, default=-1)

    def count(self, rank: int) -> int:
        """Number of requests that wait in that tier."""
        backlog = self._backlogs.get(rank)
        return backlog.count if backlog else 0

    def work_up_to(self, rank: int) -> float:
        """Slot seconds that wait in that tier and the higher ones."""
        return sum(b.work for r, b in self._backlogs.items() if r <= rank)

    def work_before(self, request: messages.Request) -> float:
        """Slot seconds that would be served before a new request.

        Within its own tier an organisation with little waiting need not wait
        for all that the others have.
        """
        ahead = self.work_up_to(request.rank - 1)
        backlog = self._backlogs.get(request.rank)
        if backlog is None:
            return ahead
        count, own = backlog.by_organisation.get(request.organisation, (0, 0.0))
        weights = backlog.weights + (0 if count else request.weight)
        average = backlog.work / backlog.count if backlog.count else 0.0
        fair = (own + average) * weights / request.weight
        return ahead + min(backlog.work, fair)

    def push(self, entry: Entry) -> None:
        """Adds an entry."""
        request = entry.request
        self._entries[request.request_id] = entry
        line = self._lines.setdefault((request.rank, entry.lane), _Line())
        line.push(entry)
        backlog = self._backlogs.setdefault(request.rank, _Backlog())
        backlog.add(entry)
        self._sequence += 1
        item = (entry.latest_start, self._sequence, entry)
        heapq.heappush(self._by_start, item)

    def head(self, rank: int, lane: Lane) -> Entry | None:
        """The entry of a tier and lane to serve next, left in place."""
        line = self._lines.get((rank, lane))
        return line.head() if line else None

    def newest(self, rank: int) -> Entry | None:
        """The entry of a tier that was added last."""
        backlog = self._backlogs.get(rank)
        return backlog.last() if backlog else None

    def take(self, entry: Entry) -> None:
        """Takes out the head of a line and charges its organisation."""
        request = entry.request
        tokens = request.prompt_tokens + request.output_tokens
        self._lines[(request.rank, entry.lane)].charge(entry.work or tokens)
        self.remove(request.request_id)

    def remove(self, request_id: str) -> Entry | None:
        """Takes a request out, wherever it stands; None if it is not here."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return None
        entry.waiting = False
        backlog = self._backlogs[entry.request.rank]
        backlog.drop(entry)
        backlog.compact()
        self._compact()
        return entry

    def next_expiry(self) -> float | None:
        """The earliest moment at which a request becomes hopeless."""
        _drop_taken(self._by_start)
        return self._by_start[0][0] if self._by_start else None

    def pop_expired(self, now: float) -> Entry | None:
        """Takes out one request whose latest start has passed."""
        expiry = self.next_expiry()
        if expiry is None or expiry > now:
            return None
        return self.remove(self._by_start[0][2].request.request_id)

    def _compact(self) -> None:
        if len(self._by_start) > 2 * len(self._entries) + SPARE_ENTRIES:
            kept = [item for item in self._by_start if item[2].waiting]
            heapq.heapify(kept)
            self._by_start = kept


def _drop_taken(heap) -> None:
    while heap and not heap[0][2].waiting:
        heapq.heappop(heap)
