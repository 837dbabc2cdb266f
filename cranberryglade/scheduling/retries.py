"""Limit on the share of retries among dispatches."""

REFILL_PER_REQUEST = 0.1
BURST = 10.0


class RetryBudget:
    """A token bucket that first dispatches fill and retries drain.

    >>> budget = RetryBudget()
    >>> budget.try_spend()
    True
    """

    __slots__ = ("_tokens",)

    def __init__(self):
        self._tokens = BURST

    def deposit(self) -> None:
        """Adds REFILL_PER_REQUEST tokens for a new request, up to BURST."""
        self._tokens = min(BURST, self._tokens + REFILL_PER_REQUEST)

    def try_spend(self) -> bool:
        """Spends the token for one retry; returns False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
