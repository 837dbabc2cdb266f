"""Counts what requests cost against the quotas, and undoes it for some."""

import dataclasses

from cranberryglade.gateway import messages
from cranberryglade.gateway import quotas

CAUTION_ALONE = 0.5
"""Part of its share of a quota that an instance uses without an allocator."""


@dataclasses.dataclass(slots=True, frozen=True)
class Standing:
    """How much of the quotas may be granted at this instance.

    Attributes:
        leading_seconds: how long it has been the allocator; None if it is
            not, but was asked by one that does not hear the allocator.
        known: instances that there are, this one included.
        present: those of them that are heard.
        remembering: those present, each by the part of the window that its
            present life remembers.
    """

    leading_seconds: float | None
    known: int
    present: int
    remembering: float

    def share(self, window_seconds: float) -> float:
        """The part of a quota that may be granted.

        >>> Standing(20.0, 6, 6, 6).share(8.0)
        1.0
        >>> Standing(0.0, 6, 6, 3).share(8.0)
        0.5
        >>> Standing(20.0, 6, 4, 4).share(8.0)
        0.8333333333333333
        >>> Standing(20.0, 6, 2, 2).share(8.0)
        0.16666666666666666
        """
        heard = min(1.0, self.present / self.known)
        if self.leading_seconds is None:
            return heard
        # Where a cut divides the instances, each side has an allocator. The
        # larger side leaves to the others what they may grant themselves.
        if 2 * self.present > self.known:
            reached = 1 - CAUTION_ALONE * (1 - heard)
        else:
            reached = CAUTION_ALONE * heard
        # What was granted before is known from those who remember it.
        settled = min(1.0, self.leading_seconds / window_seconds)
        remembered = min(1.0, self.remembering / self.known)
        return min(reached, settled + (1 - settled) * remembered)


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

    __slots__ = ("_alone", "_counted", "_open")

    def __init__(self, counted: quotas.Quotas, alone: quotas.Quotas):
        """Sets it up.

        Args:
            counted: quotas while this instance counts for all.
            alone: quotas while no allocator answers.
        """
        self._counted = counted
        self._alone = alone
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
        self, need: messages.Need, standing: Standing, now: float
    ) -> float:
        """Counts a request; returns 0, or the seconds until it would fit."""
        share = standing.share(self.window_seconds)
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
