"""The one account of the bytes that an instance holds for others."""

import collections
import sys

from cranberryglade import log
from cranberryglade.memory import decisions
from cranberryglade.memory import holding
from cranberryglade.memory import system_memory

STEP_BYTES = 262_144
"""Bytes by which a holder that waited may grow at once."""

LARGE_SHARE = 0.875
"""Fraction of the budget that bodies above SMALL_BYTES may fill; the rest is
for small ones."""

OVERDRAFT_SHARE = 1.125
"""Fraction of the budget up to which one answer goes on though all is taken."""

LOG_SECONDS = 1.0
"""Shortest time between two lines that say that memory is short."""

TRIM_BYTES = 8_388_608
"""Released bytes after which freed memory is given back to the system."""

logger = log.get_logger(__name__)


class MemoryBudget:
    """Bytes that holders take and give back; performs no I/O.

    Bytes that were read are taken in any case, as they are in memory already.
    The answer says whether the holder may read more. If not, it waits until
    `tick` calls its `resume` or `refuse`.

    Attributes:
        limit_bytes: what all holders may take together.
        refused: requests refused and connections closed for want of memory.
        paused: waits that began for want of memory.
    """

    __slots__ = (
        "_held_by_kind",
        "_holders",
        "_logged_at",
        "_owners",
        "_promised",
        "_released",
        "_waiting",
        "limit_bytes",
        "paused",
        "refused",
    )

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self._holders: dict[holding.Holding, None] = {}
        self._waiting: dict[holding.Holding, None] = {}
        self._held_by_kind = dict.fromkeys(holding.Kind, 0)
        self._owners: collections.Counter[str] = collections.Counter()
        self._promised = 0
        self._logged_at = -LOG_SECONDS
        self._released = 0
        self.paused = 0
        self.refused = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that all holders have taken."""
        return sum(self._held_by_kind.values())

    @property
    def waiting_count(self) -> int:
        """Number of holders that wait to go on reading."""
        return len(self._waiting)

    def held_by(self, kind: holding.Kind) -> int:
        """Returns the bytes that holders of a kind have taken."""
        return self._held_by_kind[kind]

    def open(
        self,
        kind: holding.Kind,
        now: float,
        owner: str = "",
        expected: int = 0,
    ) -> holding.Holding:
        """Returns a new holder that has taken nothing.

        Args:
            kind: what it holds.
            now: seconds of the loop's clock.
            owner: who it holds for; "" for nobody in particular.
            expected: bytes that it will hold in the end; 0 if unknown.
        """
        held = holding.Holding(
            kind, owner, now, expected=expected, moved_at=now
        )
        self._holders[held] = None
        return held

    def grow(self, held: holding.Holding, more: int, now: float) -> bool:
        """Takes bytes that were read.

        Args:
            held: the holder.
            more: the bytes.
            now: seconds of the loop's clock.

        Returns:
            Whether the holder may go on reading; else it waits.
        """
        self.resize(held, held.size + more, now)
        if held.waits_since is not None:
            return False
        if held.size <= held.allowed or self._has_room(held):
            return True
        held.waits_since = now
        self._waiting[held] = None
        self.paused += 1
        return False

    def resize(self, held: holding.Holding, size: int, now: float) -> None:
        """Sets the bytes that a holder has taken; it never waits for these."""
        if held not in self._holders or size == held.size:
            return
        self._promised -= held.promised
        self._add(held, size - held.size)
        self._promised += held.promised
        grown = held.size - held.moved_size
        if grown < 0 or grown >= decisions.PROGRESS_BYTES:
            held.moved_at = now
            held.moved_size = held.size

    def change_kind(self, held: holding.Holding, kind: holding.Kind) -> None:
        """Makes a holder one of another kind, which does not wait."""
        self._stop_waiting(held)
        self._promised -= held.promised
        held.allowed = 0
        size = held.size
        self._add(held, -size)
        held.kind = kind
        self._add(held, size)

    def release(self, held: holding.Holding | None) -> None:
        """Gives back all that a holder took; a second call does nothing."""
        if held is None or held not in self._holders:
            return
        del self._holders[held]
        self._stop_waiting(held)
        self._promised -= held.promised
        held.allowed = 0
        self._released += held.size
        self._add(held, -held.size)

    def tick(self, now: float) -> None:
        """Lets those go on that memory is left for, and ends those that yield.

        Args:
            now: seconds of the loop's clock.
        """
        if self._waiting:
            self._log_shortage(now)
            ordered = decisions.reading_order(
                self._waiting, self._owners, self.limit_bytes
            )
            left = [each for each in ordered if not self._allow(each, now)]
            if left:
                self._make_room(left, now)
        if self._released >= TRIM_BYTES:
            self._released = 0
            system_memory.trim()

    def _log_shortage(self, now: float) -> None:
        if now - self._logged_at < LOG_SECONDS:
            return
        self._logged_at = now
        logger.info(
            "memory.short",
            waiting=len(self._waiting),
            held_bytes=self.held_bytes,
            limit_bytes=self.limit_bytes,
            paused=self.paused,
            refused=self.refused,
        )

    def _has_room(self, held: holding.Holding) -> bool:
        if held.kind is holding.Kind.ANSWER:
            if held.size <= decisions.SMALL_BYTES:
                return True
            share = 1.0
        else:
            is_small = held.size <= decisions.SMALL_BYTES
            share = 1.0 if is_small else LARGE_SHARE
        return self.held_bytes + self._promised <= share * self.limit_bytes

    def _allow(self, held: holding.Holding, now: float) -> bool:
        is_answer = held.kind is holding.Kind.ANSWER
        step = decisions.remaining(held)
        if not is_answer or not held.expected:
            step = min(STEP_BYTES, step)
        is_small = held.size + step <= decisions.SMALL_BYTES
        share = 1.0 if is_answer or is_small else LARGE_SHARE
        taken = self.held_bytes + self._promised
        if taken + step > share * self.limit_bytes and not (
            is_answer and self._may_overdraw(taken)
        ):
            return False
        self._stop_waiting(held)
        held.allowed = held.size + step
        held.moved_at = now
        self._promised += step
        held.resume()
        return True

    def _may_overdraw(self, taken: int) -> bool:
        # Answers that are read in part would wait for each other without end.
        if taken <= OVERDRAFT_SHARE * self.limit_bytes:
            return True
        is_read = self._held_by_kind[holding.Kind.UNREAD] == 0
        return is_read and self._promised == 0

    def _make_room(self, left: list[holding.Holding], now: float) -> None:
        # What one tick may give out; the next one makes more room.
        needed = decisions.remaining(left[0])
        oversized = decisions.find_oversized_owner(
            left, self._owners, self.limit_bytes
        )
        yielding = decisions.find_yielding(
            self._holders, self._owners, needed, now, oversized
        )
        overdue = [
            each
            for each in decisions.find_overdue(left, now)
            if each not in yielding
        ]
        for each in (*yielding, *overdue):
            self.refused += 1
            each.refuse()
        if yielding or overdue:
            logger.info(
                "memory.made_room",
                yielding=len(yielding),
                overdue=len(overdue),
                waiting=len(self._waiting),
                held_bytes=self.held_bytes,
                limit_bytes=self.limit_bytes,
            )

    def _stop_waiting(self, held: holding.Holding) -> None:
        held.waits_since = None
        self._waiting.pop(held, None)

    def _add(self, held: holding.Holding, more: int) -> None:
        held.size += more
        self._held_by_kind[held.kind] += more
        if held.owner:
            self._owners[held.owner] += more
            if not self._owners[held.owner]:
                del self._owners[held.owner]


def unlimited() -> MemoryBudget:
    """Returns a budget that no holder ever waits for."""
    return MemoryBudget(sys.maxsize)
