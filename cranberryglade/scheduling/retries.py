"""How many requests may be sent again."""

REFILL_PER_REQUEST = 0.1
BURST = 10.0


class RetryBudget:
    """A bucket that ordinary requests fill and repeated dispatches drain.

    >>> budget = RetryBudget()
    >>> budget.take()
    True
    """

    __slots__ = ("_tokens",)

    def __init__(self):
        self._tokens = BURST

    def deposit(self) -> None:
        """Counts one request that was sent for the first time."""
        self._tokens = min(BURST, self._tokens + REFILL_PER_REQUEST)

    def take(self) -> bool:
        """Uses up one repeated dispatch; False when none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
