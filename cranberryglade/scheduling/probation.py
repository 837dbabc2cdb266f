"""Endpoints that are slower than their like, or fail, and their way back.

A suspected endpoint gets nothing for a while, then one request on trial. Every
good sign doubles what it may run at once until it is trusted again; a bad sign
starts over with a longer pause.
"""

import heapq

from cranberryglade.scheduling import pools
from cranberryglade.scheduling import speeds

FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 16.0
SLOW_RATIO = 2.5
SLOW_FIRST_RATIO = 4.0
LEAST_FIRST_SECONDS = 0.15
STEADY_RATIO = 1.6
OVERDUE_RATIO = 1.5
OVERDUE_GRACE_SECONDS = 0.5


class Probation:
    """Suspects endpoints and lets them back; O(log n) for each event."""

    __slots__ = ("_overdue", "_pauses", "_sequence")

    def __init__(self):
        self._overdue = []
        self._pauses = []
        self._sequence = 0

    def next_wake(self) -> float | None:
        """When an endpoint has to be looked at again, in seconds."""
        while self._overdue and self._overdue[0][2].ended:
            heapq.heappop(self._overdue)
        heaps = [heap for heap in (self._overdue, self._pauses) if heap]
        return min((heap[0][0] for heap in heaps), default=None)

    def watch(self, attempt: pools.Attempt, longest_seconds: float, now: float):
        """Expects an attempt to end in that time at most."""
        due = now + longest_seconds * OVERDUE_RATIO + OVERDUE_GRACE_SECONDS
        self._push(self._overdue, due, attempt)

    def wake(self, now: float) -> list[pools.Member]:
        """Lets endpoints out of their pause; returns those overdue."""
        while self._pauses and self._pauses[0][0] <= now:
            member = heapq.heappop(self._pauses)[2]
            member.trial = max(1, member.trial or 0)
        late = []
        while self._overdue and self._overdue[0][0] <= now:
            attempt = heapq.heappop(self._overdue)[2]
            if not attempt.ended and attempt.member.trial is None:
                late.append(attempt.member)
        return late

    def suspect(self, member: pools.Member, now: float) -> None:
        """Gives an endpoint nothing for a while."""
        if member.trial == 0:
            return
        pause = FIRST_PAUSE_SECONDS * 2**member.strikes
        member.trial = 0
        member.strikes += 1
        until = now + min(LONGEST_PAUSE_SECONDS, pause)
        self._push(self._pauses, until, member)

    def first_token(self, attempt: pools.Attempt, seconds: float) -> bool:
        """Tells from a first token whether to suspect the endpoint."""
        member = attempt.member
        slow = seconds > max(
            LEAST_FIRST_SECONDS, attempt.first_seconds * SLOW_FIRST_RATIO
        )
        member.slow_firsts = member.slow_firsts + 1 if slow else 0
        return member.slow_firsts > 1

    def answered(
        self,
        attempt: pools.Attempt,
        usual: speeds.Speed,
        token_seconds: float,
    ) -> bool:
        """Tells from the pace of an answer whether to suspect the endpoint."""
        member = attempt.member
        if token_seconds > usual.token_seconds * SLOW_RATIO:
            return True
        if member.trial and token_seconds < usual.token_seconds * STEADY_RATIO:
            self._trust(member)
        return False

    def _trust(self, member: pools.Member) -> None:
        member.trial *= 2
        if member.trial >= member.endpoint.slots:
            member.trial = None
            member.strikes = 0

    def _push(self, heap, at: float, item) -> None:
        self._sequence += 1
        heapq.heappush(heap, (at, self._sequence, item))
