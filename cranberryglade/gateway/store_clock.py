"""When the store made an answer, by the clock of this instance."""

from cranberryglade import log
from cranberryglade.gateway import ports

MAX_DRIFT = 0.001
"""Fraction by which the two clocks may run apart."""

RESOLUTION_SECONDS = 0.001
"""The store names its time in whole milliseconds, rounded down."""

MAX_CLOCK_MS = 2**53
"""Greatest time of the store's clock that is used, exclusive."""

logger = log.get_logger(__name__)


def to_seconds(milliseconds: object) -> float | None:
    """Returns a time that the store named, in seconds; None if it is none."""
    match milliseconds:
        case bool():
            return None
        case int() | float() if abs(milliseconds) < MAX_CLOCK_MS:
            return milliseconds / 1000
    return None


class StoreClock:
    """Bounds from below when the store made its answers; no I/O.

    An answer proves what was in force when it was made, never when it was
    read: it may wait in a socket while this process stands still. It was made
    after it was asked for, which bounds by how much the store's clock is ahead
    of this one. The best of these bounds dates also the answers of long polls,
    which may have been made long after they were asked for.
    """

    __slots__ = ("_era", "_measured_at", "_offset")

    def __init__(self):
        self._era: int | None = None
        self._measured_at = 0.0
        self._offset = 0.0

    def date(self, answer: ports.Rows, asked_at: float, now: float) -> float:
        """Returns a time at which the answer had not yet been made.

        It is as late as can be shown, and no earlier than `asked_at`.

        Args:
            answer: the answer.
            asked_at: when it was asked for, seconds of the loop's clock.
            now: seconds of the same clock.
        """
        if answer.made_at is None:
            return asked_at
        self._measure(answer, asked_at, now)
        return max(asked_at, answer.made_at + self._offset)

    def _measure(self, answer: ports.Rows, asked_at: float, now: float) -> None:
        offset = asked_at - answer.made_at - RESOLUTION_SECONDS
        measured_at = asked_at
        if answer.version.era == self._era:
            known = self._offset - MAX_DRIFT * (now - self._measured_at)
            if answer.made_at + known > now:
                # The answer would be from the future.
                logger.warning("store.clock_stepped")
            elif known > offset:
                offset, measured_at = known, now
        self._era = answer.version.era
        self._offset = offset
        self._measured_at = measured_at
