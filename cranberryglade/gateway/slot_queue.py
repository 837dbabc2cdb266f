"""The queue of the requests that wait for a slot of one service.

Load pattern: for seconds at a time there are more requests than slots, and
thousands wait. Which one is next is found without going through the others.
"""

from collections.abc import Iterable
import dataclasses
import heapq
import itertools

from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages

MIN_COMPACTION = 64
"""A heap with fewer entries than this is not rebuilt without the stale ones."""

Entry = tuple[int, float, int, endpoint_states.QueuedRequest]
"""Rank, place, and a number that orders entries of the same place."""


LoadKey = tuple[int, str | None]
"""A rank, and the only software version that may run the requests, if any."""


@dataclasses.dataclass(slots=True)
class RankLoad:
    """Requests of one or several ranks.

    Attributes:
        requests: their number.
        work_units: their size, as in `endpoint_states.work_units`.
    """

    requests: float = 0
    work_units: float = 0.0

    def change(self, request: messages.SlotRequest, sign: int) -> None:
        """Adds a request (1), or takes it out (-1)."""
        self.requests += sign
        self.work_units += sign * endpoint_states.work_units(request)


class SlotQueue:
    """Requests that wait for a slot of one service; performs no I/O.

    Lower ranks are served first. Within a rank, requests that can still get
    their first answer in time precede those that are late already, in the order
    of their arrival: under overload, serving the oldest first would make all of
    them late. A request that is found to be late stays behind the others.
    """

    __slots__ = (
        "_blocked",
        "_late",
        "_late_ids",
        "_late_loads",
        "_numbers",
        "_timely",
        "_timely_loads",
        "_waiting",
    )

    def __init__(self):
        self._waiting: dict[str, endpoint_states.QueuedRequest] = {}
        self._timely: list[Entry] = []
        self._late: list[Entry] = []
        self._blocked: list[Entry] = []
        self._late_ids: set[str] = set()
        self._timely_loads: dict[LoadKey, RankLoad] = {}
        self._late_loads: dict[LoadKey, RankLoad] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Returns the number of requests."""
        return len(self._waiting)

    def load_up_to(
        self, rank: int, version: str | None = None, share: float = 1.0
    ) -> RankLoad:
        """Returns the requests of a rank and of more urgent ones.

        Args:
            rank: the rank.
            version: if given, requests that only other software versions may
                run are left out.
            share: what requests that all versions may run count for then.
        """
        loads = [*self._timely_loads.items(), *self._late_loads.items()]
        return _sum_up_to(rank, loads, version, share)

    def timely_load_up_to(
        self, rank: int, version: str | None = None, share: float = 1.0
    ) -> RankLoad:
        """Returns those of them that are not known to be late."""
        return _sum_up_to(rank, self._timely_loads.items(), version, share)

    def oldest_late(self, rank: int) -> float | None:
        """Returns since when a late request waits that precedes others.

        None if there is none of the rank or of a more urgent one.
        """
        entry = self._first_of(self._late)
        if entry is None or entry[0] > rank:
            return None
        return entry[-1].queued_at

    def add(self, waiting: endpoint_states.QueuedRequest) -> None:
        """Adds a request."""
        self._waiting[waiting.request.id] = waiting
        _change(self._timely_loads, waiting.request, 1)
        heapq.heappush(self._timely, self._entry(waiting))

    def remove(self, id_: str) -> endpoint_states.QueuedRequest | None:
        """Removes and returns a request, if it waits here."""
        waiting = self._waiting.pop(id_, None)
        if waiting is None:
            return None
        late = id_ in self._late_ids
        self._late_ids.discard(id_)
        loads = self._late_loads if late else self._timely_loads
        _change(loads, waiting.request, -1)
        limit = MIN_COMPACTION + 2 * len(self._waiting)
        if len(self._timely) + len(self._late) > limit:
            self._timely = self._without_stale(self._timely)
            self._late = self._without_stale(self._late)
        return waiting

    def first(
        self, pace: float, now: float
    ) -> endpoint_states.QueuedRequest | None:
        """Returns the request to be served next, without those set aside.

        Args:
            pace: expected seconds of an endpoint for each unit of work.
            now: seconds of the loop's clock.
        """
        timely = self._first_timely(pace, now)
        late = self._first_of(self._late)
        if timely is None or late is None:
            entry = timely or late
        else:
            # Of the same rank, the timely one.
            entry = late if late[0] < timely[0] else timely
        return entry[-1] if entry is not None else None

    def first_timely(
        self, most: int, pace: float, now: float
    ) -> list[endpoint_states.QueuedRequest]:
        """Returns the first requests of one rank that can be on time.

        Those that were set aside are left out.

        Args:
            most: how many at the most.
            pace: expected seconds of an endpoint for each unit of work.
            now: seconds of the loop's clock.
        """
        taken: list[Entry] = []
        while len(taken) < most:
            entry = self._first_timely(pace, now)
            if entry is None or (taken and entry[0] != taken[0][0]):
                break
            taken.append(heapq.heappop(self._timely))
        for entry in taken:
            heapq.heappush(self._timely, entry)
        return [entry[-1] for entry in taken]

    def set_aside(self, waiting: endpoint_states.QueuedRequest) -> None:
        """Skips a request, which cannot run at any free endpoint."""
        for heap in (self._timely, self._late):
            if heap and heap[0][-1] is waiting:
                heapq.heappush(self._blocked, heapq.heappop(heap))

    def restore(self, most: int | None = None) -> None:
        """Puts requests that were set aside back into their places.

        Args:
            most: how many, those that are served first; None for all.
        """
        count = len(self._blocked)
        for _ in range(count if most is None else min(most, count)):
            entry = heapq.heappop(self._blocked)
            late = entry[-1].request.id in self._late_ids
            heapq.heappush(self._late if late else self._timely, entry)

    def _first_timely(self, pace: float, now: float) -> Entry | None:
        while True:
            entry = self._first_of(self._timely)
            if entry is None or not entry[-1].is_late(pace, now):
                return entry
            self._mark_late(heapq.heappop(self._timely))

    def _mark_late(self, entry: Entry) -> None:
        request = entry[-1].request
        self._late_ids.add(request.id)
        _change(self._timely_loads, request, -1)
        _change(self._late_loads, request, 1)
        heapq.heappush(self._late, entry)

    def _first_of(self, heap: list[Entry]) -> Entry | None:
        while heap and not self._waits(heap[0][-1]):
            heapq.heappop(heap)
        return heap[0] if heap else None

    def _waits(self, waiting: endpoint_states.QueuedRequest) -> bool:
        return self._waiting.get(waiting.request.id) is waiting

    def _without_stale(self, heap: list[Entry]) -> list[Entry]:
        kept = [entry for entry in heap if self._waits(entry[-1])]
        heapq.heapify(kept)
        return kept

    def _entry(self, waiting: endpoint_states.QueuedRequest) -> Entry:
        number = next(self._numbers)
        return (waiting.request.rank, waiting.place, number, waiting)


def _sum_up_to(
    rank: int,
    loads: Iterable[tuple[LoadKey, RankLoad]],
    version: str | None,
    share: float,
) -> RankLoad:
    total = RankLoad()
    for (each, only), load in loads:
        if each > rank or (version is not None and only not in (None, version)):
            continue
        counts = share if version is not None and only is None else 1.0
        total.requests += counts * load.requests
        total.work_units += counts * load.work_units
    return total


def _change(
    loads: dict[LoadKey, RankLoad], request: messages.SlotRequest, sign: int
) -> None:
    key = (request.rank, request.software_version)
    load = loads.setdefault(key, RankLoad())
    load.change(request, sign)
    if not load.requests:
        del loads[key]
