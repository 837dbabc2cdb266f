"""Enforces the quotas of organisations across all instances."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

from cranberryglade.gateway import budgets
from cranberryglade.gateway import configuration
from cranberryglade.gateway import datagrams

OrganisationLookup = Callable[[str], configuration.Organisation | None]

USED_TOLERANCE_FRACTION = 0.1
"""Fraction of the tolerated overrun that is granted; the rest covers usage on
both sides of a failover."""

REPORT_STEP_SECONDS = 1.0
MIN_WAIT_SECONDS = 0.01


@dataclasses.dataclass(slots=True, frozen=True)
class OverrunTolerance:
    """Overrun of a quota that the users accept.

    Attributes:
        window_seconds: window over which usage is measured.
        ratio: overrun allowed, as a fraction of the quota of a window.
        slack: overrun allowed beyond that, in units of cost.
    """

    window_seconds: float
    ratio: float
    slack: float

    def limit(self, organisation: configuration.Organisation) -> float:
        """Returns the cost that an organisation may use in one window."""
        quota = organisation.rate * self.window_seconds + organisation.burst
        return quota + USED_TOLERANCE_FRACTION * (
            self.ratio * quota + self.slack
        )


@dataclasses.dataclass(slots=True)
class Account:
    """Usage and limit of one organisation.

    Attributes:
        usage: costs granted here, in a sliding window.
        limit: cost allowed in a window by the newest configuration.
        previous_limit: what was allowed when it was last lowered; 0 if it never
            was.
        lowered_at: when it was last lowered, seconds of the loop's clock; minus
            infinity if it never was.
    """

    usage: budgets.SlidingWindow
    limit: float
    previous_limit: float = 0.0
    lowered_at: float = -math.inf

    def set_limit(
        self, limit: float, window_seconds: float, now: float
    ) -> None:
        """Sets the limit from the newest configuration."""
        if limit < self.limit:
            # An earlier decrease may not be in force in full yet.
            self.previous_limit = self.current_limit(window_seconds, now)
            self.lowered_at = now
        self.limit = limit

    def set_window(self, seconds: float) -> None:
        """Sets the window; a limit for another one does not go on in part."""
        self.usage.set_seconds(seconds)
        self.limit = 0.0
        self.previous_limit = 0.0

    def current_limit(self, window_seconds: float, now: float) -> float:
        """Returns the current limit; a decrease is phased in over a window."""
        remaining = max(0.0, 1 - (now - self.lowered_at) / window_seconds)
        return self.limit + remaining * max(
            0.0, self.previous_limit - self.limit
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Standing:
    """What an organisation used of its quota, and the quota.

    Attributes:
        used: cost that is counted in the present window.
        limit: cost allowed in a window.
    """

    used: float
    limit: float


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """Usage of a quota.

    Attributes:
        organisation: name of the organisation.
        cost: the cost that was charged.
        at: when, seconds of the loop's clock.
        granter: incarnation of the instance that granted it; "" if this
            instance did so without an allocator, or if it is unknown.
    """

    organisation: str
    cost: float
    at: float
    granter: str


class Quotas:
    """The accounts of all organisations.

    Load pattern: one organisation sends many times its usual load, through
    all instances at once. One instance counts for all of them, so that an
    uneven spread over the instances causes no refusals while quota is left.
    Usage is counted in a sliding window instead of a token bucket: for the
    rest of a burst, a bucket that the burst emptied would refuse requests
    that a window still allows.
    """

    __slots__ = ("_accounts", "_lookup", "_reported", "_tolerance")

    def __init__(self, lookup: OrganisationLookup, tolerance: OverrunTolerance):
        self._lookup = lookup
        self._tolerance = tolerance
        self._accounts: dict[str, Account] = {}
        self._reported: dict[str, list[Usage]] = {}

    @property
    def window_seconds(self) -> float:
        """Length of the window over which usage is counted."""
        return self._tolerance.window_seconds

    def set_tolerance(self, tolerance: OverrunTolerance) -> None:
        """Sets a new tolerance, and the window of all accounts."""
        if tolerance.window_seconds != self.window_seconds:
            for account in self._accounts.values():
                account.set_window(tolerance.window_seconds)
        self._tolerance = tolerance

    def record_report(self, holder: str, usages: list[Usage]) -> None:
        """Records usage at an instance that was not granted here.

        Args:
            holder: the instance; its previous report is replaced.
            usages: its usage within the window.
        """
        if usages:
            self._reported[holder] = usages
        else:
            self._reported.pop(holder, None)

    def charge(
        self, organisation: str, cost: float, share: float, now: float
    ) -> float:
        """Charges a cost, if it fits into the quota.

        A cost above the whole limit fits if there is no other usage in the
        window.

        Args:
            organisation: its name; "" for requests that need no key.
            cost: cost of the request.
            share: fraction of the quota that may be granted here.
            now: seconds of the loop's clock.

        Returns:
            0 if it was charged, otherwise the seconds until it would fit.
        """
        account = self._account(organisation, now) if cost else None
        if account is None:
            return 0.0
        limit = account.current_limit(self.window_seconds, now)
        used = self._used(organisation, account, now)
        excess = _excess(used, cost, share, limit)
        if excess > 0:
            wait = account.usage.seconds_until_expired(excess, now)
            return max(MIN_WAIT_SECONDS, wait)
        account.usage.add(cost, now)
        return 0.0

    def fits(self, organisation: str, cost: float, now: float) -> bool:
        """Returns whether a cost fits into what is left of the whole quota."""
        account = self._account(organisation, now) if cost else None
        if account is None:
            return True
        limit = account.current_limit(self.window_seconds, now)
        used = self._used(organisation, account, now)
        return _excess(used, cost, 1.0, limit) <= 0

    def standing(self, organisation: str, now: float) -> Standing | None:
        """Returns what an organisation used and may use, for the log."""
        account = self._account(organisation, now)
        if account is None:
            return None
        return Standing(
            self._used(organisation, account, now),
            account.current_limit(self.window_seconds, now),
        )

    def large_usage(self, fraction: float, now: float) -> list[Usage]:
        """Returns the usage of organisations that used much of their quotas.

        Args:
            fraction: least part of the quota that they used in the window.
            now: seconds of the loop's clock.
        """
        usages: list[Usage] = []
        reported = {
            usage.organisation
            for usages_of_one in self._reported.values()
            for usage in usages_of_one
        }
        for name in sorted(self._accounts.keys() | reported):
            account = self._account(name, now)
            if account is None:
                continue
            known = [
                Usage(name, cost, at, "")
                for at, cost in account.usage.amounts(now)
            ]
            known += self._reported_usages(name, now)
            limit = account.current_limit(self.window_seconds, now)
            if math.fsum(usage.cost for usage in known) >= fraction * limit:
                usages += known
        return usages

    def refund(self, organisation: str, cost: float, charged_at: float) -> None:
        """Refunds the cost charged at a time for a request that did not run."""
        account = self._accounts.get(organisation)
        if account is not None and cost:
            account.usage.subtract(cost, charged_at)

    def _account(self, name: str, now: float) -> Account | None:
        organisation = self._lookup(name)
        if organisation is None or organisation.rate <= 0:
            return None
        limit = self._tolerance.limit(organisation)
        account = self._accounts.get(name)
        if account is None:
            account = Account(budgets.SlidingWindow(self.window_seconds), limit)
            self._accounts[name] = account
        account.set_limit(limit, self.window_seconds, now)
        return account

    def _used(self, organisation: str, account: Account, now: float) -> float:
        return account.usage.total(now) + math.fsum(
            usage.cost for usage in self._reported_usages(organisation, now)
        )

    def _reported_usages(self, organisation: str, now: float) -> list[Usage]:
        oldest = now - self.window_seconds
        return [
            usage
            for usages in self._reported.values()
            for usage in usages
            if usage.organisation == organisation and usage.at > oldest
        ]


def _excess(used: float, cost: float, share: float, limit: float) -> float:
    excess = used + cost - share * limit
    # A cost above the whole limit fits if there is no other usage.
    return min(excess, used) if cost > limit else excess


class Ledger:
    """Usage by the requests of one instance, with who granted it.

    Load pattern: the allocator is killed while an organisation is at the
    limit of its quota; its successor gets the usage in the current window
    from the ledgers of the other instances.
    """

    __slots__ = ("_earlier", "_usages")

    def __init__(self):
        self._earlier: tuple[Usage, ...] = ()
        self._usages: collections.deque[Usage] = collections.deque()

    def add(self, usage: Usage) -> None:
        """Records usage."""
        self._usages.append(usage)

    def set_earlier(self, usages: tuple[Usage, ...]) -> None:
        """Sets the usage before the present incarnation."""
        self._earlier = usages

    def usages(self, window_seconds: float, now: float) -> list[Usage]:
        """Returns all usage within the window."""
        oldest = now - window_seconds
        while self._usages and self._usages[0].at < oldest:
            self._usages.popleft()
        self._earlier = tuple(
            usage for usage in self._earlier if usage.at >= oldest
        )
        return [*self._earlier, *self._usages]

    def usage_not_granted_by(
        self, granter: str, window_seconds: float, now: float
    ) -> list[datagrams.QuotaUsage]:
        """Returns usage within the window that `granter` did not grant.

        Args:
            granter: incarnation of an instance.
            window_seconds: length of the window.
            now: seconds of the loop's clock.

        Returns:
            Sums of cost, by organisation and by age in whole steps.
        """
        others = [
            usage
            for usage in self.usages(window_seconds, now)
            if usage.granter != granter
        ]
        return encode_usage(others, now)


def encode_usage(
    usages: Iterable[Usage], now: float
) -> list[datagrams.QuotaUsage]:
    """Returns sums of cost, by organisation and by age in whole steps."""
    sums: dict[tuple[str, int], float] = collections.defaultdict(float)
    for usage in usages:
        steps = int((now - usage.at) / REPORT_STEP_SECONDS)
        sums[usage.organisation, steps] += usage.cost
    return [
        datagrams.QuotaUsage(name, cost, round(steps * REPORT_STEP_SECONDS, 1))
        for (name, steps), cost in sums.items()
    ]


def decode_usage(
    reported: list[datagrams.QuotaUsage], now: float, granter: str = ""
) -> list[Usage]:
    """Converts reported usage, with ages, to times of the loop's clock."""
    return [
        Usage(each.organisation, each.cost, now - each.age_seconds, granter)
        for each in reported
    ]
