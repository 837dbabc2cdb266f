"""Notices that this process stood still, and what it must ask again then."""

from collections.abc import Callable
import enum

from cranberryglade import log

MAX_TURN_SECONDS = 1.0
"""The process counts as paused if it ran nothing for longer. What happens in a
shorter pause is left to the ages of what it knows."""

MAX_ASKING_SECONDS = 1.0
"""If nobody answers for so long, requests that need no key are admitted by what
was known before the pause."""

ARREARS_SECONDS = 0.1
"""For so long after a pause, what is noticed may have arrived in it."""

logger = log.get_logger(__name__)


class Belief(enum.Enum):
    """What a process that stood still no longer knows to be so.

    Attributes:
        CONFIGURATION: that the configuration in force is the newest.
        ENDPOINTS: that the endpoints in use have not left.
    """

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"


class ProcessPauses:
    """Tells what was asked again since the process last stood still; no I/O.

    Load pattern: a process is frozen for seconds, or its machine suspended.
    When it runs again, requests, datagrams and answers of before wait in its
    sockets, and are read before anything new can arrive.

    Times are seconds of the loop's clock, as in `clock.BoottimeLoop`.
    """

    __slots__ = (
        "_last_turn",
        "_on_resumed",
        "_paused_at",
        "_resumed_at",
        "_unconfirmed",
    )

    def __init__(self, on_resumed: Callable[[], None] = lambda: None):
        """Initialises without a pause.

        Args:
            on_resumed: is called when a pause is noticed, to ask anew.
        """
        self._on_resumed = on_resumed
        self._last_turn: float | None = None
        self._paused_at = float("-inf")
        self._resumed_at = float("-inf")
        self._unconfirmed: set[Belief] = set()

    def set_on_resumed(self, on_resumed: Callable[[], None]) -> None:
        """Sets what is called when a pause is noticed."""
        self._on_resumed = on_resumed

    def observe(self, now: float) -> None:
        """Records that the process runs.

        To be called often, and before anything that came from outside is
        acted on.
        """
        last, self._last_turn = self._last_turn, now
        if last is None or now - last <= MAX_TURN_SECONDS:
            return
        logger.warning("process.paused", seconds=round(now - last, 2))
        self._paused_at = last
        self._resumed_at = now
        self._unconfirmed = set(Belief)
        self._on_resumed()

    def earliest_arrival(self, now: float) -> float:
        """Returns when something that is noticed now may have arrived.

        Args:
            now: the present time.
        """
        self.observe(now)
        just_resumed = now - self._resumed_at <= ARREARS_SECONDS
        return self._paused_at if just_resumed else now

    def confirm(self, belief: Belief, asked_at: float) -> None:
        """Records an answer to a question about a belief.

        Args:
            belief: what the answer confirms or brings up to date.
            asked_at: when the question was sent.
        """
        if belief not in self._unconfirmed or asked_at < self._resumed_at:
            return
        self._unconfirmed.discard(belief)
        logger.info("process.asked_again", belief=belief.value)

    def admits(self, now: float) -> bool:
        """Returns whether requests that need no key may be admitted."""
        self.observe(now)
        return (
            not self._unconfirmed or now - self._resumed_at > MAX_ASKING_SECONDS
        )

    def admits_keys(self) -> bool:
        """Returns whether keys may be admitted, if `admits` holds."""
        return Belief.CONFIGURATION not in self._unconfirmed
