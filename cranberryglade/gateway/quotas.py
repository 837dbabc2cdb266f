"""Holds organisations to their quotas."""

from collections.abc import Callable
import dataclasses

from cranberryglade.gateway import budgets
from cranberryglade.gateway import catalogue

Lookup = Callable[[str], catalogue.Organisation | None]


TOLERANCE_USED = 0.75
"""Part of the tolerance that is granted; the rest covers miscounting."""


@dataclasses.dataclass(slots=True, frozen=True)
class Tolerance:
    """By how much the users let a quota be exceeded.

    Attributes:
        window_seconds: window in which it is judged.
        ratio: excess allowed, as a part of the quota of a window.
        slack: excess allowed beyond that.
    """

    window_seconds: float
    ratio: float
    slack: float

    def of(self, holder: catalogue.Organisation) -> float:
        """What an organisation may spend beyond its burst."""
        whole = holder.rate * self.window_seconds + holder.burst
        return TOLERANCE_USED * (self.ratio * whole + self.slack)


class Quotas:
    """The token buckets of all organisations.

    Load pattern: one organisation sends many times its usual, through all
    instances at once. One instance counts for all of them, so that uneven
    arrivals do not refuse what the organisation may still spend.
    """

    __slots__ = ("_begun", "_buckets", "_lookup", "_tolerance")

    def __init__(self, lookup: Lookup, tolerance: Tolerance, now: float):
        self._lookup = lookup
        self._tolerance = tolerance
        self._begun = now
        self._buckets: dict[str, budgets.Bucket] = {}

    def tolerate(self, tolerance: Tolerance) -> None:
        """Takes in another tolerance."""
        self._tolerance = tolerance

    def restart(self, now: float) -> None:
        """Begins anew, after another instance has counted for a while."""
        self._begun = now
        self._buckets.clear()

    def take(
        self, organisation: str, cost: float, share: float, now: float
    ) -> float:
        """Takes a cost; returns 0, or the seconds until it would fit.

        Args:
            organisation: its name; "" for requests that need no key.
            cost: what the request counts.
            share: part of the quota that is counted here.
            now: seconds of the clock.
        """
        bucket = self._bucket(organisation, share, now) if cost else None
        return bucket.take(cost, now) if bucket is not None else 0.0

    def give_back(self, organisation: str, cost: float) -> None:
        """Undoes `take` for a request that does not run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.give_back(cost)

    def _bucket(
        self, organisation: str, share: float, now: float
    ) -> budgets.Bucket | None:
        holder = self._lookup(organisation)
        if holder is None or holder.rate <= 0:
            return None
        rate = holder.rate * share
        burst = (holder.burst + self._tolerance.of(holder)) * share
        bucket = self._buckets.get(organisation)
        if bucket is None:
            bucket = budgets.Bucket(rate, burst, self._begun)
            self._buckets[organisation] = bucket
        bucket.resize(rate, burst, now)
        return bucket
