"""Charges requests to quotas, and refunds those that do not run."""

import dataclasses

from cranberryglade.gateway import datagrams
from cranberryglade.gateway import final_usage
from cranberryglade.gateway import messages
from cranberryglade.gateway import quotas

ISOLATED_SHARE_FRACTION = 0.5
"""Fraction of its quota share that an instance uses without an allocator."""

UNRECORDED_FRACTION = 0.3
"""Usage of a quota is stored from this part of it on; an organisation without a
record has used less."""

ASSUMED_UNRECORDED_FRACTION = 0.5
"""Part of a quota that counts as used by organisations without a record, as
their usage may have risen since it was last stored."""

STORED = ""
"""Reporter of the usage that the store had at the start."""

NO_ALLOCATOR = ""
"""Granter of usage that an instance granted without an allocator."""


@dataclasses.dataclass(slots=True, frozen=True)
class UsageKnowledge:
    """What this instance knows of the usage of quotas.

    Attributes:
        allocating_seconds: how long it has been the allocator; 0 if it is not
            but was asked by an instance that cannot reach the allocator.
        instance_count: number of known instances, including this one.
        reporter_ages: seconds of which the usage is known, of each instance
            that has reported it, including this one: those since its start,
            and those before that it has reported, too.
        has_stored_usage: whether the usage before the start is known from the
            store, as far as it was large.
    """

    allocating_seconds: float
    instance_count: int
    reporter_ages: tuple[float, ...]
    has_stored_usage: bool = False

    def share(self, window_seconds: float) -> float:
        """Returns the fraction of a quota that may be granted.

        >>> old = 60.0
        >>> UsageKnowledge(20.0, 2, (old, old)).share(8.0)
        1.0
        >>> UsageKnowledge(0.0, 2, (old, 0.0)).share(8.0)
        0.5
        >>> UsageKnowledge(2.0, 2, (2.0, 2.0)).share(8.0)
        0.25
        >>> UsageKnowledge(2.0, 2, (2.0, 2.0), True).share(8.0)
        0.625
        """
        reporting = min(1.0, len(self.reporter_ages) / self.instance_count)
        # If the network is partitioned, each side has an allocator. The
        # larger side leaves the others what they may grant themselves.
        if 2 * len(self.reporter_ages) > self.instance_count:
            allowed = 1 - ISOLATED_SHARE_FRACTION * (1 - reporting)
        else:
            allowed = ISOLATED_SHARE_FRACTION * reporting
        known = self._known_fraction(window_seconds)
        if self.has_stored_usage:
            known += (1 - known) * (1 - ASSUMED_UNRECORDED_FRACTION)
        return min(allowed, known)

    def log_fields(self, window_seconds: float) -> dict[str, float | bool]:
        """Returns log fields on the share and what it was made of."""
        young = [age for age in self.reporter_ages if age < window_seconds]
        return {
            "share": round(self.share(window_seconds), 4),
            "instances": self.instance_count,
            "reporters": len(self.reporter_ages),
            "young_reporters": len(young),
            "youngest_s": round(min(self.reporter_ages), 3),
            "allocating_s": round(self.allocating_seconds, 3),
            "stored_usage": self.has_stored_usage,
        }

    def _known_fraction(self, window_seconds: float) -> float:
        """Returns the fraction of the window whose grants are known."""
        # Grants made here are known; earlier grants of others are known from
        # the instances that were running then and have reported.
        own_fraction = min(1.0, self.allocating_seconds / window_seconds)
        fractions = [
            max(own_fraction, min(1.0, age / window_seconds))
            for age in self.reporter_ages
        ]
        unreported = max(0, self.instance_count - len(self.reporter_ages))
        return (sum(fractions) + unreported * own_fraction) / max(
            self.instance_count, len(fractions)
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Charge:
    """The cost of a request that waits for a decision.

    Attributes:
        account: the quotas that it was charged to.
        organisation: name of the organisation.
        cost: the cost that was charged.
        at: when, seconds of the loop's clock.
    """

    account: quotas.Quotas
    organisation: str
    cost: float
    at: float


class Charges:
    """Charges requests when they ask for a slot; refunds them on denial.

    Load pattern: more requests than slots, so that many wait and are denied;
    requests that did not run must not use up their organisation's quota.
    """

    __slots__ = (
        "_isolated",
        "_ledger",
        "_earlier",
        "_known_share",
        "_pending",
        "_shared",
        "_stored_at",
    )

    def __init__(self, shared: quotas.Quotas, isolated: quotas.Quotas):
        """Initialises with no charges.

        Args:
            shared: quotas while this instance counts for all instances.
            isolated: quotas while no allocator answers.
        """
        self._shared = shared
        self._isolated = isolated
        self._ledger = quotas.Ledger()
        self._pending: dict[str, Charge] = {}
        self._earlier: final_usage.FinalUsage | None = None
        self._stored_at: float | None = None
        self._known_share: tuple[UsageKnowledge, float, float] | None = None

    @property
    def has_stored_usage(self) -> bool:
        """Whether it counts the usage that the store had at the start."""
        return self._stored_at is not None

    @property
    def earlier_periods(self) -> tuple[final_usage.Period, ...]:
        """Times before the start of which it has the usage of this instance."""
        return self._earlier.periods if self._earlier is not None else ()

    @property
    def window_seconds(self) -> float:
        """Length of the window over which usage is counted."""
        return self._shared.window_seconds

    def set_tolerance(self, tolerance: quotas.OverrunTolerance) -> None:
        """Sets by how much quotas may be overrun."""
        self._shared.set_tolerance(tolerance)
        self._isolated.set_tolerance(tolerance)

    def record_report(self, holder: str, usages: list[quotas.Usage]) -> None:
        """Records usage at an instance that was not granted here."""
        self._shared.record_report(holder, usages)

    def record_stored(self, usages: list[quotas.Usage], now: float) -> None:
        """Records the usage before the start, as the store has it.

        It counts for one window. Organisations without usage there used less
        than UNRECORDED_FRACTION.
        """
        self._stored_at = now
        self._shared.record_report(STORED, usages)
        self._isolated.record_report(STORED, usages)

    def forget_stored(self) -> None:
        """Drops the usage from the store, as others report the same."""
        self._stored_at = None
        self._shared.record_report(STORED, [])
        self._isolated.record_report(STORED, [])

    def usage_to_store(self, now: float) -> list[datagrams.QuotaUsage]:
        """Returns the usage of organisations that used much."""
        usages = self._shared.large_usage(UNRECORDED_FRACTION, now)
        return quotas.encode_usage(usages, now)

    def charge(
        self,
        request: messages.SlotRequest,
        knowledge: UsageKnowledge,
        now: float,
    ) -> float:
        """Charges a request; returns 0, or the seconds until it would fit."""
        share = self._share(knowledge)
        return self._charge(self._shared, request, share, now)

    def fits(self, request: messages.SlotRequest, now: float) -> bool:
        """Returns whether the known usage leaves room for a request."""
        return self._shared.fits(request.organisation, request.cost, now)

    def charge_isolated(
        self, request: messages.SlotRequest, instance_count: int, now: float
    ) -> float:
        """Charges a request while no allocator answers.

        Args:
            request: the request.
            instance_count: number of instances that share the quota.
            now: seconds of the loop's clock.

        Returns:
            0, or the seconds until it would fit into this instance's share.
        """
        return self._charge(
            self._isolated,
            request,
            ISOLATED_SHARE_FRACTION / instance_count,
            now,
        )

    def log_fields(
        self,
        request: messages.SlotRequest,
        knowledge: UsageKnowledge,
        now: float,
    ) -> dict[str, float | str]:
        """Returns log fields on a request that does not fit into its quota."""
        return _standing_fields(
            self._shared, request, now
        ) | knowledge.log_fields(self.window_seconds)

    def isolated_log_fields(
        self, request: messages.SlotRequest, instance_count: int, now: float
    ) -> dict[str, float | str]:
        """Returns the same for a request charged while no allocator answers.

        Args:
            request: the request.
            instance_count: number of instances that share the quota.
            now: seconds of the loop's clock.
        """
        share = ISOLATED_SHARE_FRACTION / instance_count
        return _standing_fields(self._isolated, request, now) | {
            "share": round(share, 4),
            "instances": instance_count,
            "isolated": True,
        }

    def make_final(self, id_: str) -> None:
        """Makes a charge final, as the request has a slot."""
        self._pending.pop(id_, None)

    def refund(self, id_: str) -> None:
        """Refunds the charge of a request that does not run."""
        charge = self._pending.pop(id_, None)
        if charge is not None:
            charge.account.refund(charge.organisation, charge.cost, charge.at)

    def record_usage(
        self, request: messages.SlotRequest, granter: str, now: float
    ) -> None:
        """Records usage by a request of this instance.

        Args:
            request: the request, which has a slot now.
            granter: incarnation that granted it; NO_ALLOCATOR without an
                allocator.
            now: seconds of the loop's clock.
        """
        if request.cost and request.organisation:
            self._ledger.add(
                quotas.Usage(request.organisation, request.cost, now, granter)
            )

    def usage_not_granted_by(
        self, granter: str, now: float
    ) -> list[datagrams.QuotaUsage]:
        """Returns usage by this instance that `granter` did not grant."""
        return self._ledger.usage_not_granted_by(
            granter, self.window_seconds, now
        )

    def adopt(self, final: final_usage.FinalUsage) -> bool:
        """Adds the usage of an earlier incarnation of this instance.

        Returns:
            Whether it is new; a later one replaces an earlier one, which it
            contains as far as it was known.
        """
        earlier = self._earlier
        if earlier is not None and (
            earlier.incarnation == final.incarnation
            or earlier.ended_at >= final.ended_at
        ):
            return False
        self._earlier = final
        self._ledger.set_earlier(final.usages)
        return True

    def final_usage(
        self, incarnation: str, started_at: float, now: float
    ) -> final_usage.FinalUsage:
        """Returns all usage by requests of this instance.

        To be called when it will charge nothing more.

        Args:
            incarnation: the incarnation of this instance.
            started_at: when it began, seconds of the loop's clock.
            now: seconds of the loop's clock.
        """
        own_period = final_usage.Period(started_at, now)
        return final_usage.FinalUsage(
            incarnation,
            (*self.earlier_periods, own_period),
            tuple(self._ledger.usages(self.window_seconds, now)),
        )

    def expire(self, now: float) -> None:
        """Ends what is older than a window.

        Charges without a decision become final, and the usage from the store
        is dropped.
        """
        oldest = now - self.window_seconds
        if self._stored_at is not None and self._stored_at < oldest:
            self.forget_stored()
        for id_, charge in list(self._pending.items()):
            if charge.at < oldest:
                del self._pending[id_]

    def _share(self, knowledge: UsageKnowledge) -> float:
        """Returns `knowledge.share`, computed once for the same knowledge."""
        window = self.window_seconds
        if self._known_share is not None:
            last_knowledge, last_window, share = self._known_share
            if last_knowledge is knowledge and last_window == window:
                return share
        share = knowledge.share(window)
        self._known_share = (knowledge, window, share)
        return share

    def _charge(
        self,
        account: quotas.Quotas,
        request: messages.SlotRequest,
        share: float,
        now: float,
    ) -> float:
        wait = account.charge(request.organisation, request.cost, share, now)
        if wait == 0.0 and request.cost:
            self._pending[request.id] = Charge(
                account, request.organisation, request.cost, now
            )
        return wait


def _standing_fields(
    account: quotas.Quotas, request: messages.SlotRequest, now: float
) -> dict[str, float | str]:
    standing = account.standing(request.organisation, now)
    if standing is None:
        return {}
    return {
        "organisation": request.organisation,
        "cost": request.cost,
        "used": round(standing.used),
        "limit": round(standing.limit),
    }
