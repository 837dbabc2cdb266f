"""Age of the configuration in force, and what it may be used for."""

REVOCATION_MARGIN_SECONDS = 0.5
REVOCATION_MARGIN_FRACTION = 0.25
"""The margin is at most this fraction of the bound for revoked keys."""

PROBE_AFTER_SECONDS = 1.5
PROBE_AFTER_FRACTION = 0.4
"""The store is queried after at most this fraction of the time for which keys
are admitted, so that its answer reaches the peers before that time ends."""

MAX_AGE_TO_REJECT_UNKNOWN_SECONDS = 2.0


class ConfigurationAge:
    """Tracks when the configuration was last confirmed to be the newest.

    Load pattern: keys are revoked while an instance is cut off from the store;
    it must stop admitting keys before the bound for revoked keys passes, and
    no earlier than necessary.

    Times are seconds of a clock that also advances while the machine is
    suspended.
    """

    __slots__ = ("_confirmed", "_revoke_seconds")

    def __init__(self, revoke_seconds: float | None):
        """Initialises without a confirmation.

        Args:
            revoke_seconds: time after which a revoked key must no longer be
                admitted; None if there is no bound.
        """
        self._revoke_seconds = revoke_seconds
        self._confirmed: float | None = None

    def set_revoke_seconds(self, revoke_seconds: float | None) -> None:
        """Sets a new bound for revoked keys; None if there is none."""
        self._revoke_seconds = revoke_seconds

    def confirm(self, as_of: float) -> None:
        """Records that the configuration was the newest at a time."""
        if self._confirmed is None or as_of > self._confirmed:
            self._confirmed = as_of

    def age(self, now: float) -> float:
        """Returns the seconds since the last confirmation; inf without one."""
        if self._confirmed is None:
            return float("inf")
        return max(0.0, now - self._confirmed)

    def admits_keys(self, now: float) -> bool:
        """Returns whether a key in the configuration may be admitted."""
        if self._revoke_seconds is None:
            return self._confirmed is not None
        return self.age(now) < self._key_seconds

    def may_reject_unknown(self, now: float) -> bool:
        """Returns whether what it does not list may be rejected as unknown."""
        return self.age(now) < MAX_AGE_TO_REJECT_UNKNOWN_SECONDS

    def probe_due(self, now: float, delay_seconds: float = 0.0) -> bool:
        """Returns whether the store should be queried.

        Args:
            now: seconds of the clock.
            delay_seconds: additional delay, so that not all instances
                query the store at once.
        """
        after = PROBE_AFTER_SECONDS
        if self._revoke_seconds is not None:
            after = min(after, PROBE_AFTER_FRACTION * self._key_seconds)
        return self.age(now) > after + delay_seconds

    @property
    def _key_seconds(self) -> float:
        margin = min(
            REVOCATION_MARGIN_SECONDS,
            REVOCATION_MARGIN_FRACTION * self._revoke_seconds,
        )
        return self._revoke_seconds - margin
