"""Tells refused requests when to come back, and knows them when they do.

Load pattern: for six seconds, 1.5 times the usual load meets full engines.
Some hundred requests a second are refused for want of a slot, and their callers
come back once. If all of them are told the same time, they meet the same
queue and are refused again, for good.
"""

import dataclasses
import math

from cranberryglade.gateway import budgets
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages

WINDOW_SECONDS = 2.0
"""Time over which the work that slots become free of is measured."""

MIN_RATE_SHARE = 0.1
"""Least share of that work that a rank is expected to get, although more urgent
ranks have lately taken all of it."""

MAX_RETURN_SECONDS = 10.0
"""No caller is told a longer time: beyond it the load is not foreseen."""

SPREAD_STEP = (math.sqrt(5) - 1) / 2
"""Multiples of it, without their whole parts, are spread evenly."""

MIN_KEPT_SHARE = 0.5
"""A request that comes back after less than this share of the time that it was
told is treated as a new one, so that asking early gains nothing."""

RETENTION_SECONDS = 15.0
"""A request that comes back later than this is treated as a new one."""

MAX_PROMISES = 20_000
"""Most promises that are kept, of some 300 bytes each; the oldest go first."""


@dataclasses.dataclass(slots=True, frozen=True)
class Promise:
    """A time at which a refused request may come back.

    Times are seconds of the loop's clock.

    Attributes:
        since: when the request was first queued.
        made_at: when it was refused.
        due: when a slot is expected to be free for it.
    """

    since: float
    made_at: float
    due: float

    def is_kept_at(self, now: float) -> bool:
        """Returns whether a request that comes back now has waited."""
        return now >= self.made_at + MIN_KEPT_SHARE * (self.due - self.made_at)


class ReturnSchedule:
    """Times to come back for the requests of one service; performs no I/O.

    Each refused request gets the next part of the work that its rank can have,
    behind what waits and behind those that were refused before it.
    """

    __slots__ = ("_freed", "_granted", "_promises", "_spread", "_tails")

    def __init__(self):
        self._freed = budgets.SlidingWindow(WINDOW_SECONDS)
        self._granted: dict[int, budgets.SlidingWindow] = {}
        self._promises: dict[str, Promise] = {}
        self._tails: dict[int, float] = {}
        self._spread = 0.0

    def __len__(self) -> int:
        """Returns the number of promises that are kept."""
        return len(self._promises)

    def record_freed(self, work_units: float, now: float) -> None:
        """Counts the size of a request whose slot has become free."""
        self._freed.add(work_units, now)

    def record_granted(self, request: messages.SlotRequest, now: float) -> None:
        """Counts the size of a request that has got a slot."""
        window = self._granted.get(request.rank)
        if window is None:
            window = budgets.SlidingWindow(WINDOW_SECONDS)
            self._granted[request.rank] = window
        window.add(endpoint_states.work_units(request), now)

    def promise(
        self,
        waiting: endpoint_states.QueuedRequest,
        ahead: float,
        least_wait: float,
        nominal_rate: float,
        now: float,
    ) -> float:
        """Returns the seconds after which a refused request may come back.

        Args:
            waiting: the request, as it was queued.
            ahead: size of the requests that wait and precede it.
            least_wait: seconds that it would wait at the least.
            nominal_rate: units of work a second that all slots do, if they
                run at the usual pace; used until slots have become free.
            now: seconds of the loop's clock.
        """
        request = waiting.request
        rate = self._rate(request.rank, nominal_rate, now)
        wait = max(least_wait, ahead / rate)
        begins = max(now + wait, self._tail(request.rank, now))
        size = endpoint_states.work_units(request)
        due = begins + size / rate
        if due > now + MAX_RETURN_SECONDS:
            self._tails[request.rank] = now + MAX_RETURN_SECONDS
            due = now + self._spread_seconds()
        else:
            self._tails[request.rank] = due
        self._keep(request, Promise(waiting.place, now, due), now)
        return due - now

    def _spread_seconds(self) -> float:
        """Returns a time in the second half of the longest, spread evenly.

        Callers that were all told the longest time would come back at once.
        """
        self._spread = (self._spread + SPREAD_STEP) % 1.0
        return MAX_RETURN_SECONDS * (0.5 + 0.5 * self._spread)

    def redeem(
        self, request: messages.SlotRequest, now: float
    ) -> Promise | None:
        """Returns and forgets the promise to a request that has come back.

        None if there was none, or the request has come back too early.
        """
        self._expire(now)
        key = _key(request)
        promise = self._promises.get(key)
        if promise is None or not promise.is_kept_at(now):
            return None
        return self._promises.pop(key)

    def _rate(self, rank: int, nominal_rate: float, now: float) -> float:
        """Returns the work a second that a rank can have."""
        freed = self._freed.total(now) / WINDOW_SECONDS
        if not freed:
            return nominal_rate
        taken = sum(
            window.total(now)
            for other, window in self._granted.items()
            if other < rank
        )
        least = MIN_RATE_SHARE * freed
        return max(least, freed - taken / WINDOW_SECONDS)

    def _tail(self, rank: int, now: float) -> float:
        """Returns up to when the work of a rank is promised away."""
        for other, tail in list(self._tails.items()):
            if tail <= now:
                del self._tails[other]
        tails = [tail for other, tail in self._tails.items() if other <= rank]
        return max(tails, default=now)

    def _keep(
        self, request: messages.SlotRequest, promise: Promise, now: float
    ) -> None:
        key = _key(request)
        if not key:
            return
        self._promises.pop(key, None)
        self._promises[key] = promise
        self._expire(now)

    def _expire(self, now: float) -> None:
        while self._promises:
            key, oldest = next(iter(self._promises.items()))
            expired = oldest.made_at + RETENTION_SECONDS <= now
            if not expired and len(self._promises) <= MAX_PROMISES:
                return
            del self._promises[key]


def _key(request: messages.SlotRequest) -> str:
    """Returns what a request and its repetition have in common.

    The last part is the digest of the request; "" if it has none.
    """
    return request.parts[-1] if request.parts else ""
