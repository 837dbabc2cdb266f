"""The queue of the requests that wait for one target.

Tiers are served in strict priority order. Within a tier and lane, organisations
share by weighted start-time fair queueing: the next one is the one with the
least work served in relation to its weight. Within an organisation, the request
with the earliest latest start goes first. Every operation takes O(log n)
amortised time in the number of requests.
"""

import dataclasses
import enum
import heapq

from cranberryglade.scheduling import messages

# Entries that a list may hold beyond twice the waiting ones before removed
# entries are compacted away.
COMPACTION_SLACK_ENTRIES = 64


class Lane(enum.IntEnum):
    """Length class of a request; one lane does not block the other."""

    SHORT = 0
    LONG = 1


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """One waiting request.

    Attributes:
        request: the request.
        queued_at: when it was queued, in seconds.
        latest_start: time in seconds after which a start would miss the
            deadline.
        lane: by prompt length and expected run time.
        work: slot seconds it is expected to take.
        waiting: False once it has been dispatched or removed.
    """

    request: messages.Request
    queued_at: float
    latest_start: float
    lane: Lane = Lane.SHORT
    work: float = 0.0
    waiting: bool = True


class _Flow:
    """The waiting entries of one organisation in one tier and lane."""

    __slots__ = ("active", "heap", "organisation", "start_tag")

    def __init__(self, organisation: str):
        self.organisation = organisation
        self.start_tag = 0.0
        self.heap = []
        self.active = False

    def head(self) -> Entry | None:
        """Returns the entry to serve next; None if there is none."""
        _discard_removed(self.heap)
        return self.heap[0][2] if self.heap else None


class _FairQueue:
    """One tier of one lane: start-time fair queueing over organisations.

    The flow with the least start tag is served next; a flow that becomes active
    starts at the virtual time, so that idle time earns no credit.
    """

    __slots__ = ("_by_tag", "_flows", "_sequence", "_virtual_time")

    def __init__(self):
        self._flows: dict[str, _Flow] = {}
        self._by_tag = []
        self._virtual_time = 0.0
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
            flow.start_tag = max(flow.start_tag, self._virtual_time)
            self._push_flow(flow)

    def head(self) -> Entry | None:
        while self._by_tag:
            flow = self._by_tag[0][2]
            entry = flow.head()
            if entry is not None:
                return entry
            heapq.heappop(self._by_tag)
            flow.active = False
            if flow.start_tag <= self._virtual_time:
                del self._flows[flow.organisation]
        return None

    def charge(self, work: float) -> None:
        """Charges the flow at the head; `work` in slot seconds or tokens."""
        flow = heapq.heappop(self._by_tag)[2]
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += work / flow.head().request.weight
        self._push_flow(flow)

    def _push_flow(self, flow: _Flow) -> None:
        self._sequence += 1
        heapq.heappush(self._by_tag, (flow.start_tag, self._sequence, flow))


class _Backlog:
    """Running totals of one tier, and its entries by arrival."""

    __slots__ = (
        "by_arrival",
        "by_organisation",
        "count",
        "total_weight",
        "work",
    )

    def __init__(self):
        self.count = 0
        self.work = 0.0
        self.total_weight = 0.0
        self.by_organisation: dict[str, tuple[int, float]] = {}
        self.by_arrival: list[Entry] = []

    def add(self, entry: Entry) -> None:
        request = entry.request
        count, work = self.by_organisation.get(request.organisation, (0, 0.0))
        if not count:
            self.total_weight += request.weight
        self.by_organisation[request.organisation] = (
            count + 1,
            work + entry.work,
        )
        self.count += 1
        self.work += entry.work
        self.by_arrival.append(entry)

    def remove(self, entry: Entry) -> None:
        request = entry.request
        count, work = self.by_organisation[request.organisation]
        self.count -= 1
        self.work = self.work - entry.work if self.count else 0.0
        if count > 1:
            remaining = (count - 1, work - entry.work)
            self.by_organisation[request.organisation] = remaining
            return
        del self.by_organisation[request.organisation]
        self.total_weight -= request.weight

    def newest(self) -> Entry | None:
        while self.by_arrival and not self.by_arrival[-1].waiting:
            self.by_arrival.pop()
        return self.by_arrival[-1] if self.by_arrival else None

    def compact(self) -> None:
        if len(self.by_arrival) > 2 * self.count + COMPACTION_SLACK_ENTRIES:
            self.by_arrival = [
                entry for entry in self.by_arrival if entry.waiting
            ]


class Queue:
    """The requests that wait for one target, by tier, lane and organisation."""

    __slots__ = (
        "_backlogs",
        "_by_start",
        "_entries",
        "_fair_queues",
        "_sequence",
    )

    def __init__(self):
        self._entries: dict[str, Entry] = {}
        self._fair_queues: dict[tuple[int, Lane], _FairQueue] = {}
        self._backlogs: dict[int, _Backlog] = {}
        self._by_start = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def ranks(self) -> list[int]:
        """Ranks of the tiers with waiting requests, the highest tier first."""
        return sorted(r for r, b in self._backlogs.items() if b.count)

    @property
    def worst_rank(self) -> int:
        """Rank of the lowest tier with waiting requests; -1 if none waits."""
        return max(self.ranks, default=-1)

    def count(self, rank: int) -> int:
        """Returns the number of requests that wait in a tier."""
        backlog = self._backlogs.get(rank)
        return backlog.count if backlog else 0

    def work_up_to(self, rank: int) -> float:
        """Returns the slot seconds queued in a tier and all higher tiers."""
        return sum(b.work for r, b in self._backlogs.items() if r <= rank)

    def work_before(self, request: messages.Request) -> float:
        """Returns the slot seconds that are served before a new request.

        Within its own tier, fair sharing serves an organisation with little
        queued work before the backlog of the others is done.
        """
        ahead = self.work_up_to(request.rank - 1)
        backlog = self._backlogs.get(request.rank)
        if backlog is None:
            return ahead
        count, own_work = backlog.by_organisation.get(
            request.organisation, (0, 0.0)
        )
        total_weight = backlog.total_weight + (0 if count else request.weight)
        mean_work = backlog.work / backlog.count if backlog.count else 0.0
        fair_share = (own_work + mean_work) * total_weight / request.weight
        return ahead + min(backlog.work, fair_share)

    def push(self, entry: Entry) -> None:
        """Adds an entry to the queue."""
        request = entry.request
        self._entries[request.request_id] = entry
        fair_queue = self._fair_queues.setdefault(
            (request.rank, entry.lane), _FairQueue()
        )
        fair_queue.push(entry)
        backlog = self._backlogs.setdefault(request.rank, _Backlog())
        backlog.add(entry)
        self._sequence += 1
        item = (entry.latest_start, self._sequence, entry)
        heapq.heappush(self._by_start, item)

    def head(self, rank: int, lane: Lane) -> Entry | None:
        """Returns the next entry of a tier and lane; leaves it in the queue."""
        fair_queue = self._fair_queues.get((rank, lane))
        return fair_queue.head() if fair_queue else None

    def newest(self, rank: int) -> Entry | None:
        """Returns the waiting entry of a tier that was added last, or None."""
        backlog = self._backlogs.get(rank)
        return backlog.newest() if backlog else None

    def dequeue(self, entry: Entry) -> None:
        """Removes the head of its tier and lane; charges its organisation.

        The charge is the expected work in slot seconds or, if that is 0, the
        length of prompt and answer in tokens.
        """
        request = entry.request
        tokens = request.prompt_tokens + request.output_tokens
        self._fair_queues[(request.rank, entry.lane)].charge(
            entry.work or tokens
        )
        self.remove(request.request_id)

    def remove(self, request_id: str) -> Entry | None:
        """Removes a request; returns None if it is not queued."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return None
        entry.waiting = False
        backlog = self._backlogs[entry.request.rank]
        backlog.remove(entry)
        backlog.compact()
        self._compact()
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

    def _compact(self) -> None:
        if (
            len(self._by_start)
            > 2 * len(self._entries) + COMPACTION_SLACK_ENTRIES
        ):
            kept = [item for item in self._by_start if item[2].waiting]
            heapq.heapify(kept)
            self._by_start = kept


def _discard_removed(heap) -> None:
    while heap and not heap[0][2].waiting:
        heapq.heappop(heap)
