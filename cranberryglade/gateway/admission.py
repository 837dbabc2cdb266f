"""Decides whether a request may be served: route, key, freshness."""

import dataclasses
import random

from cranberryglade.gateway import catalogue
from cranberryglade.gateway import freshness
from cranberryglade.gateway import messages

SOON_SECONDS = 0.4
RANKS = 100
"""Ranks of routes; those of organisations go before them."""

WAIT_AIMS = 2.5
WAIT_SHARE = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class Admitted:
    """A request that may run.

    Attributes:
        route: the route that it takes.
        service: the service that shall run it.
        organisation: holder of its key; None on anonymous routes.
        rank: urgency; 0 is the most urgent.
        cost: what it counts against the quota.
        seconds: time until its final answer is due.
        wait_seconds: time that it may wait for a slot.
    """

    route: catalogue.Route
    service: str
    organisation: catalogue.Organisation | None
    rank: int
    cost: float
    seconds: float
    wait_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Rejected:
    """A request that is not served.

    Attributes:
        status: HTTP status of the answer.
        reason: why, for logs and the answer.
        retry_after_seconds: when to come back; None if it would not help.
    """

    status: int
    reason: str
    retry_after_seconds: float | None = None


class Admission:
    """Checks requests against the configuration in force; sans I/O."""

    __slots__ = ("_freshness", "_random")

    def __init__(self, fresh: freshness.Freshness, randomness: random.Random):
        self._freshness = fresh
        self._random = randomness

    def decide(
        self,
        facts: messages.Facts,
        known: catalogue.Catalogue | None,
        now: float,
    ) -> Admitted | Rejected:
        """Decides on one request.

        Args:
            facts: what its headers say.
            known: the configuration in force; None if there is none yet.
            now: seconds of the clock that counts while the machine sleeps.
        """
        if known is None:
            return Rejected(503, "no_configuration", SOON_SECONDS)
        route = known.route(facts.host, facts.path)
        if route is None:
            return self._absent(404, "no_route", now)
        holder = None
        if known.has_keys and not (route.anonymous and not facts.key):
            if not self._freshness.admits_keys(now):
                return Rejected(503, "configuration_too_old", SOON_SECONDS)
            holder = known.holder(facts.key)
            if holder is None and not route.anonymous:
                return self._absent(401, "unknown_key", now)
        return self._admitted(facts, route, holder)

    def _absent(self, status: int, reason: str, now: float) -> Rejected:
        if self._freshness.knows_absence(now):
            return Rejected(status, reason)
        return Rejected(503, f"{reason}_yet", SOON_SECONDS)

    def _admitted(
        self,
        facts: messages.Facts,
        route: catalogue.Route,
        holder: catalogue.Organisation | None,
    ) -> Admitted:
        seconds = route.timeout_seconds
        if facts.patience_seconds is not None:
            seconds = min(seconds, facts.patience_seconds)
        rank = route.rank
        if holder is not None and holder.rank is not None:
            rank += holder.rank * RANKS
        return Admitted(
            route=route,
            service=self._service(route),
            organisation=holder,
            rank=rank,
            cost=cost(facts, holder),
            seconds=seconds,
            wait_seconds=min(
                WAIT_SHARE * seconds, WAIT_AIMS * route.aim_seconds
            ),
        )

    def _service(self, route: catalogue.Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._random.choices(route.shares, weights)[0].service


def cost(facts: messages.Facts, holder: catalogue.Organisation | None) -> float:
    """What a request counts against the quota of its organisation."""
    if holder is None or not holder.counts_tokens:
        return 1.0
    if not facts.sized:
        return float(holder.plain_tokens)
    return float(facts.prompt_tokens + facts.output_tokens)
