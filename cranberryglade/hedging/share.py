"""Limits the hedges of one service to a share of its requests.

An instance has one for the requests that it counts: its own, or, as the
allocator, those of all instances.

Load pattern: all endpoints of a service slow down at once, so that every answer
is late. Hedges must not add more than a fixed share to such a load.
"""

import random

from cranberryglade.gateway import budgets

MAX_TOKENS = 5.0
"""Hedges that can be made at once. With 3, late answers that come
close together left part of the share unused."""

WINDOW_SECONDS = 60.0
"""Sliding window in which requests are counted."""


class HedgeShare:
    """Tokens for the hedges of one service; performs no I/O.

    Each request adds a share of a token, and each hedge takes one. So in any
    time, hedges are at most the share of the requests and MAX_TOKENS.
    """

    __slots__ = ("_hedgeable", "_requests", "_tokens")

    def __init__(self, randomness: random.Random):
        """Creates one with less than one token.

        Args:
            randomness: draws the fraction of a token that it begins with. The
                instances together then make their share of hedges, also while
                each has too few requests for a whole one.
        """
        self._tokens = randomness.random()
        self._requests = budgets.SlidingWindow(WINDOW_SECONDS)
        self._hedgeable = budgets.SlidingWindow(WINDOW_SECONDS)

    @property
    def has_token(self) -> bool:
        """Whether a hedge can be made now."""
        return self._tokens >= 1.0

    def record_request(self, share: float, hedgeable: bool, now: float) -> None:
        """Counts a request, which earns a share of a hedge.

        Args:
            share: hedges for each request.
            hedgeable: whether the request may be hedged itself.
            now: seconds of the loop's clock.
        """
        self._tokens = min(MAX_TOKENS, self._tokens + share)
        self._requests.add(1, now)
        if hedgeable:
            self._hedgeable.add(1, now)

    def covered(self, share: float, now: float) -> float:
        """Returns which part of the requests that may be hedged can be.

        Args:
            share: hedges for each request.
            now: seconds of the loop's clock.
        """
        hedgeable = self._hedgeable.total(now)
        if not hedgeable:
            return 0.0
        return min(1.0, share * self._requests.total(now) / hedgeable)

    def try_take(self) -> bool:
        """Takes a token; returns whether there was one."""
        if not self.has_token:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Gives a token back whose hedge was not sent."""
        self._tokens = min(MAX_TOKENS, self._tokens + 1.0)
