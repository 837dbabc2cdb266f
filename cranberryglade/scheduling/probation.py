"""Probation of endpoints that fail or are slower than their generation.

A suspected endpoint gets no requests during a pause, then one at a time. Each
answer at a normal pace doubles its concurrency limit until the limit reaches
its slots and the endpoint is trusted again. Each further suspicion before that
starts over with a pause twice as long, up to a maximum.
"""

import heapq

from cranberryglade.scheduling import pools
from cranberryglade.scheduling import speeds

FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 16.0
SLOW_TOKEN_RATIO = 2.5
SLOW_FIRST_TOKEN_RATIO = 4.0
MIN_SLOW_FIRST_TOKEN_SECONDS = 0.15
NORMAL_TOKEN_RATIO = 1.6
OVERDUE_RATIO = 1.5
OVERDUE_GRACE_SECONDS = 0.5


class Probation:
    """Suspects and readmits endpoints, in O(log n) time for each event."""

    __slots__ = ("_overdue", "_pauses", "_sequence")

    def __init__(self):
        self._overdue = []
        self._pauses = []
        self._sequence = 0

    def next_wake(self) -> float | None:
        """Returns when `expire_timers` is due next, in seconds, or None."""
        while self._overdue and self._overdue[0][2].ended:
            heapq.heappop(self._overdue)
        heaps = [heap for heap in (self._overdue, self._pauses) if heap]
        return min((heap[0][0] for heap in heaps), default=None)

    def track_attempt(
        self, attempt: pools.Attempt, longest_seconds: float, now: float
    ):
        """Schedules the check whether an attempt is overdue.

        Args:
            attempt: an attempt that begins.
            longest_seconds: predicted time to its longest answer.
            now: current time in seconds.
        """
        due = now + longest_seconds * OVERDUE_RATIO + OVERDUE_GRACE_SECONDS
        self._push(self._overdue, due, attempt)

    def expire_timers(self, now: float) -> list[pools.EndpointState]:
        """Ends the pauses that are over.

        Returns:
            The trusted endpoints with an overdue attempt.
        """
        while self._pauses and self._pauses[0][0] <= now:
            member = heapq.heappop(self._pauses)[2]
            member.probation_limit = max(1, member.probation_limit or 0)
        overdue = []
        while self._overdue and self._overdue[0][0] <= now:
            attempt = heapq.heappop(self._overdue)[2]
            if not attempt.ended and attempt.member.probation_limit is None:
                overdue.append(attempt.member)
        return overdue

    def suspect(self, member: pools.EndpointState, now: float) -> None:
        """Pauses an endpoint; does nothing if it is already paused."""
        if member.probation_limit == 0:
            return
        pause = FIRST_PAUSE_SECONDS * 2**member.suspicions
        member.probation_limit = 0
        member.suspicions += 1
        until = now + min(LONGEST_PAUSE_SECONDS, pause)
        self._push(self._pauses, until, member)

    def record_first_token(
        self, attempt: pools.Attempt, seconds: float
    ) -> bool:
        """Returns whether a first token makes its endpoint suspect.

        The second slow first token in a row does.

        Args:
            attempt: the attempt that it belongs to.
            seconds: time from the dispatch to the first token.
        """
        member = attempt.member
        slow = seconds > max(
            MIN_SLOW_FIRST_TOKEN_SECONDS,
            attempt.expected_first_token_seconds * SLOW_FIRST_TOKEN_RATIO,
        )
        member.consecutive_slow_first_tokens = (
            member.consecutive_slow_first_tokens + 1 if slow else 0
        )
        return member.consecutive_slow_first_tokens > 1

    def record_answer(
        self,
        attempt: pools.Attempt,
        generation_speed: speeds.Speed,
        token_seconds: float,
    ) -> bool:
        """Returns whether the pace of an answer makes its endpoint suspect.

        An answer at a normal pace raises the limit of an endpoint on probation.

        Args:
            attempt: the attempt that was answered.
            generation_speed: average of the endpoint's generation.
            token_seconds: mean time between two tokens of the answer.
        """
        member = attempt.member
        if token_seconds > generation_speed.token_seconds * SLOW_TOKEN_RATIO:
            return True
        if (
            member.probation_limit
            and token_seconds
            < generation_speed.token_seconds * NORMAL_TOKEN_RATIO
        ):
            self._raise_limit(member)
        return False

    def _raise_limit(self, member: pools.EndpointState) -> None:
        member.probation_limit *= 2
        if member.probation_limit >= member.endpoint.slots:
            member.probation_limit = None
            member.suspicions = 0

    def _push(self, heap, at: float, item) -> None:
        self._sequence += 1
        heapq.heappush(heap, (at, self._sequence, item))
