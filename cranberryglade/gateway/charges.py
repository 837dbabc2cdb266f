"""Counts what requests cost against the quotas, and undoes it for some."""

import dataclasses

from cranberryglade.gateway import datagrams
from cranberryglade.gateway import messages
from cranberryglade.gateway import quotas

CAUTION_ALONE = 0.5
"""Part of its share of a quota that an instance uses without an allocator."""

NOBODY = ""
"""Granter of what an instance has granted to itself alone."""


@dataclasses.dataclass(slots=True, frozen=True)
class Recollection:
    """What is known at this instance of what the quotas have spent.

    Attributes:
        leading_seconds: how long it has been the allocator; 0 if it is not,
            but was asked by one that does not hear the allocator.
        known: instances that there are, this one included.
        ages: of the lives of those that have reported what they spent, this
            one included, in seconds.
    """

    leading_seconds: float
    known: int
    ages: tuple[float, ...]

    def share(self, window_seconds: float) -> float:
        """The part of a quota that may be granted.

        >>> old = 60.0
        >>> Recollection(20.0, 2, (old, old)).share(8.0)
        1.0
        >>> Recollection(0.0, 2, (old, 0.0)).share(8.0)
        0.5
        >>> Recollection(2.0, 2, (2.0, 2.0)).share(8.0)
        0.25
        """
        heard = min(1.0, len(self.ages) / self.known)
        # Where a cut divides the instances, each side has an allocator. The
        # larger side leaves to the others what they may grant themselves.
        if 2 * len(self.ages) > self.known:
            reached = 1 - CAUTION_ALONE * (1 - heard)
        else:
            reached = CAUTION_ALONE * heard
        return min(reached, self._remembered(window_seconds))

    def _remembered(self, window_seconds: float) -> float:
        """The part of the window of which all is known that was granted."""
        # What was granted here is known; what others granted before that is
        # known from the lives that were there.
        here = min(1.0, self.leading_seconds / window_seconds)
        told = [max(here, min(1.0, age / window_seconds)) for age in self.ages]
        silent = max(0, self.known - len(self.ages))
        return (sum(told) + silent * here) / max(self.known, len(told))


@dataclasses.dataclass(slots=True, frozen=True)
class Charge:
    """A cost that was counted for a request that still waits."""

    account: quotas.Quotas
    organisation: str
    cost: float
    at: float


class Charges:
    """Charges requests when they ask, and gives back when they are denied.

    Load pattern: more requests than slots, so that many wait and are denied;
    what did not run must not use up the quota of its organisation.
    """

    __slots__ = ("_alone", "_counted", "_ledger", "_open")

    def __init__(self, counted: quotas.Quotas, alone: quotas.Quotas):
        """Sets it up.

        Args:
            counted: quotas while this instance counts for all.
            alone: quotas while no allocator answers.
        """
        self._counted = counted
        self._alone = alone
        self._ledger = quotas.Ledger()
        self._open: dict[str, Charge] = {}

    @property
    def window_seconds(self) -> float:
        """The window in which quotas are counted."""
        return self._counted.window_seconds

    def tolerate(self, tolerance: quotas.Tolerance) -> None:
        """Takes in by how much quotas may be exceeded."""
        self._counted.tolerate(tolerance)
        self._alone.tolerate(tolerance)

    def report(self, holder: str, spends: list[quotas.Spend]) -> None:
        """Takes in what an instance spent that was not granted here."""
        self._counted.report(holder, spends)

    def charge(
        self, need: messages.Need, recalled: Recollection, now: float
    ) -> float:
        """Counts a request; returns 0, or the seconds until it would fit."""
        share = recalled.share(self.window_seconds)
        return self._take(self._counted, need, share, now)

    def charge_alone(
        self, need: messages.Need, known: int, now: float
    ) -> float:
        """The same while no allocator answers, within a fixed share."""
        return self._take(self._alone, need, CAUTION_ALONE / known, now)

    def keep(self, id_: str) -> None:
        """The request was granted a slot."""
        self._open.pop(id_, None)

    def refund(self, id_: str) -> None:
        """The request does not run."""
        charge = self._open.pop(id_, None)
        if charge is not None:
            charge.account.give_back(
                charge.organisation, charge.cost, charge.at
            )

    def note(self, need: messages.Need, granter: str, now: float) -> None:
        """Keeps in mind what a request of this instance has spent.

        Args:
            need: the request, which has a slot now.
            granter: the life that granted it; NOBODY if no allocator did.
            now: seconds of the clock.
        """
        if need.cost and need.organisation:
            self._ledger.add(
                quotas.Spend(need.organisation, need.cost, now, granter)
            )

    def unknown_to(self, life: str, now: float) -> list[datagrams.Spent]:
        """What requests of this instance spent that a life did not grant."""
        return self._ledger.unknown_to(life, self.window_seconds, now)

    def expire(self, now: float) -> None:
        """Forgets requests of which nothing was heard for a window."""
        oldest = now - self.window_seconds
        for id_, charge in list(self._open.items()):
            if charge.at < oldest:
                del self._open[id_]

    def _take(
        self,
        account: quotas.Quotas,
        need: messages.Need,
        share: float,
        now: float,
    ) -> float:
        wait = account.take(need.organisation, need.cost, share, now)
        if wait == 0.0 and need.cost:
            self._open[need.id] = Charge(
                account, need.organisation, need.cost, now
            )
        return wait
