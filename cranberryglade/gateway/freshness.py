"""How far the configuration in force can be relied on."""

MARGIN_SECONDS = 0.5
MARGIN_SHARE = 0.25
"""The margin is at most this part of the bound for keys taken away."""

PROBE_AFTER_SECONDS = 1.5
PROBE_SHARE = 0.4
"""The store is asked after at most this part of the time for which keys are
admitted, so that its answer reaches the peers before that ends."""

UNSURE_AFTER_SECONDS = 2.0


class Freshness:
    """Knows when the configuration was last confirmed to be the newest.

    Load pattern: keys are taken away while an instance is cut off; it must
    stop to admit keys before the bound for that passes, and not earlier than
    it needs to.

    Times are seconds of a clock that also counts while the machine sleeps.
    """

    __slots__ = ("_confirmed", "_revoke_seconds")

    def __init__(self, revoke_seconds: float | None):
        """Args: revoke_seconds: bound for keys taken away; None if none."""
        self._revoke_seconds = revoke_seconds
        self._confirmed: float | None = None

    def bound(self, revoke_seconds: float | None) -> None:
        """Takes in another bound for keys taken away; None if none."""
        self._revoke_seconds = revoke_seconds

    def confirm(self, as_of: float) -> None:
        """Takes in that it was the newest at that time."""
        if self._confirmed is None or as_of > self._confirmed:
            self._confirmed = as_of

    def age(self, now: float) -> float:
        """Seconds since then."""
        if self._confirmed is None:
            return float("inf")
        return max(0.0, now - self._confirmed)

    def admits_keys(self, now: float) -> bool:
        """Whether a key that it lists may be relied on."""
        if self._revoke_seconds is None:
            return self._confirmed is not None
        return self.age(now) < self._admitted_seconds

    def knows_absence(self, now: float) -> bool:
        """Whether what it does not list may be told to be unknown."""
        return self.age(now) < UNSURE_AFTER_SECONDS

    def probe_due(self, now: float, patience_seconds: float = 0.0) -> bool:
        """Whether the store should be asked."""
        after = PROBE_AFTER_SECONDS
        if self._revoke_seconds is not None:
            after = min(after, PROBE_SHARE * self._admitted_seconds)
        return self.age(now) > after + patience_seconds

    @property
    def _admitted_seconds(self) -> float:
        margin = min(MARGIN_SECONDS, MARGIN_SHARE * self._revoke_seconds)
        return self._revoke_seconds - margin
