"""Holds organisations to their quotas, over all instances."""

import collections
from collections.abc import Callable
import dataclasses
import math

from cranberryglade.gateway import budgets
from cranberryglade.gateway import catalogue
from cranberryglade.gateway import datagrams

Lookup = Callable[[str], catalogue.Organisation | None]

TOLERANCE_USED = 0.1
"""Part of the tolerance that is granted; the rest covers what is spent on
both sides of a failover."""

REPORT_STEP_SECONDS = 1.0
LEAST_WAIT_SECONDS = 0.01


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

    def limit(self, holder: catalogue.Organisation) -> float:
        """What an organisation may spend in one window."""
        whole = holder.rate * self.window_seconds + holder.burst
        return whole + TOLERANCE_USED * (self.ratio * whole + self.slack)


@dataclasses.dataclass(slots=True)
class Account:
    """What one organisation has spent and may spend.

    Attributes:
        spent: costs granted here, in a sliding window.
        limit: what it may spend in a window, by the newest configuration.
        former: the limit before that, if it was higher.
        lowered: when the limit became lower.
    """

    spent: budgets.Window
    limit: float
    former: float = 0.0
    lowered: float = -math.inf

    def resize(self, limit: float, now: float) -> None:
        """Takes in the limit of the newest configuration."""
        if limit < self.limit:
            self.former = self.limit
            self.lowered = now
        self.limit = limit

    def allowed(self, window_seconds: float, now: float) -> float:
        """The limit now; a lower one comes into force over one window."""
        old = max(0.0, 1 - (now - self.lowered) / window_seconds)
        return self.limit + old * max(0.0, self.former - self.limit)


@dataclasses.dataclass(slots=True, frozen=True)
class Spend:
    """A cost that an organisation has spent.

    Attributes:
        organisation: its name.
        cost: what was counted.
        at: when, seconds of the loop's clock.
        granter: the life of the instance that granted it; "" if the own one
            did so alone, or if it is not known.
    """

    organisation: str
    cost: float
    at: float
    granter: str


class Quotas:
    """The accounts of all organisations.

    Load pattern: one organisation sends many times its usual, through all
    instances at once. One instance counts for all of them, so that uneven
    arrivals do not refuse what the organisation may still spend. A window
    and not a token bucket: a bucket that a burst has emptied would refuse,
    for as long as the burst goes on, what a window still allows.
    """

    __slots__ = ("_accounts", "_lookup", "_reported", "_tolerance")

    def __init__(self, lookup: Lookup, tolerance: Tolerance):
        self._lookup = lookup
        self._tolerance = tolerance
        self._accounts: dict[str, Account] = {}
        self._reported: dict[str, list[Spend]] = {}

    @property
    def window_seconds(self) -> float:
        """The window in which quotas are counted."""
        return self._tolerance.window_seconds

    def tolerate(self, tolerance: Tolerance) -> None:
        """Takes in another tolerance."""
        self._tolerance = tolerance

    def report(self, holder: str, spends: list[Spend]) -> None:
        """Takes in what an instance spent that was not granted here.

        Args:
            holder: the instance; what it reported before is replaced.
            spends: what it spent within the window.
        """
        if spends:
            self._reported[holder] = spends
        else:
            self._reported.pop(holder, None)

    def take(
        self, organisation: str, cost: float, share: float, now: float
    ) -> float:
        """Takes a cost; returns 0, or the seconds until it would fit.

        A cost above the whole limit fits when nothing else was spent.

        Args:
            organisation: its name; "" for requests that need no key.
            cost: what the request counts.
            share: part of the quota that is counted here.
            now: seconds of the clock.
        """
        account = self._account(organisation, now) if cost else None
        if account is None:
            return 0.0
        allowed = share * account.allowed(self.window_seconds, now)
        others = self._spent_elsewhere(organisation, now)
        missing = account.spent.total(now) + others + cost - allowed
        missing = min(missing, account.spent.total(now) + others)
        if missing > 0:
            wait = account.spent.seconds_until_less_by(missing, now)
            return max(LEAST_WAIT_SECONDS, wait)
        account.spent.add(cost, now)
        return 0.0

    def give_back(self, organisation: str, cost: float, taken: float) -> None:
        """Undoes what was taken at that time for a request that did not run."""
        account = self._accounts.get(organisation)
        if account is not None and cost:
            account.spent.take_back(cost, taken)

    def _account(self, organisation: str, now: float) -> Account | None:
        holder = self._lookup(organisation)
        if holder is None or holder.rate <= 0:
            return None
        limit = self._tolerance.limit(holder)
        account = self._accounts.get(organisation)
        if account is None:
            account = Account(budgets.Window(self.window_seconds), limit)
            self._accounts[organisation] = account
        account.resize(limit, now)
        return account

    def _spent_elsewhere(self, organisation: str, now: float) -> float:
        oldest = now - self.window_seconds
        return math.fsum(
            spend.cost
            for spends in self._reported.values()
            for spend in spends
            if spend.organisation == organisation and spend.at > oldest
        )


class Ledger:
    """What the requests of one instance have spent, and who granted it.

    Load pattern: the instance that counts for all is killed while an
    organisation presses against its quota; its successor learns from the
    ledgers of the others what was spent in the present window.
    """

    __slots__ = ("_spends",)

    def __init__(self):
        self._spends: collections.deque[Spend] = collections.deque()

    def add(self, spend: Spend) -> None:
        """Notes a cost."""
        self._spends.append(spend)

    def unknown_to(
        self, granter: str, window_seconds: float, now: float
    ) -> list[datagrams.Spent]:
        """What others than one life have granted within the window."""
        while self._spends and self._spends[0].at < now - window_seconds:
            self._spends.popleft()
        sums: dict[tuple[str, int], float] = collections.defaultdict(float)
        for spend in self._spends:
            if spend.granter != granter:
                steps = int((now - spend.at) / REPORT_STEP_SECONDS)
                sums[spend.organisation, steps] += spend.cost
        return [
            datagrams.Spent(name, cost, round(steps * REPORT_STEP_SECONDS, 1))
            for (name, steps), cost in sums.items()
        ]


def spends(
    reported: list[datagrams.Spent], now: float, granter: str = ""
) -> list[Spend]:
    """Reads what another instance has reported."""
    return [
        Spend(each.organisation, each.cost, now - each.age_seconds, granter)
        for each in reported
    ]
