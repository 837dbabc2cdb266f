"""Admits or rejects requests by route, key and configuration age."""

import dataclasses
import random

from cranberryglade.gateway import configuration
from cranberryglade.gateway import configuration_age
from cranberryglade.gateway import messages
from cranberryglade.gateway import process_pauses

RETRY_AFTER_SECONDS = 0.4
ROUTE_RANKS = 100
"""Number of ranks of routes; an organisation's rank takes precedence."""

MAX_WAIT_PER_TARGET_LATENCY = 2.5
MAX_WAIT_PER_TIMEOUT = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class Admitted:
    """A request that may run.

    Attributes:
        route: the route that it takes.
        service: the service that runs it.
        organisation: the organisation of its key; None if it is anonymous.
        rank: urgency; 0 is the most urgent.
        cost: charge to the quota, in tokens or requests.
        timeout_seconds: time until its final answer is due.
        max_wait_seconds: longest time that it may wait for a slot.
    """

    route: configuration.Route
    service: str
    organisation: configuration.Organisation | None
    rank: int
    cost: float
    timeout_seconds: float
    max_wait_seconds: float

    @property
    def organisation_name(self) -> str:
        """Name of the organisation; "" if it is anonymous."""
        return self.organisation.name if self.organisation else ""


@dataclasses.dataclass(slots=True, frozen=True)
class Rejected:
    """A request that is not served.

    Attributes:
        status: HTTP status of the answer.
        reason: why, for logs and the answer.
        retry_after_seconds: time after which a retry may succeed; None if
            retrying would not help.
        unconfirmed: whether it may be admitted once the configuration is
            confirmed.
    """

    status: int
    reason: str
    retry_after_seconds: float | None = None
    unconfirmed: bool = False


class Admission:
    """Checks requests against the configuration in force; no I/O."""

    __slots__ = ("_config_age", "_pauses", "_random")

    def __init__(
        self,
        config_age: configuration_age.ConfigurationAge,
        pauses: process_pauses.ProcessPauses,
        randomness: random.Random,
    ):
        self._config_age = config_age
        self._pauses = pauses
        self._random = randomness

    def decide(
        self,
        facts: messages.RequestMetadata,
        config: configuration.Configuration | None,
        now: float,
    ) -> Admitted | Rejected:
        """Admits or rejects one request.

        Args:
            facts: the decoded headers of the request.
            config: the configuration in force; None if there is none yet.
            now: seconds of the clock that also advances while the machine is
                suspended.
        """
        if config is None:
            return _reject_unconfirmed("no_configuration")
        if not self._pauses.admits(now):
            return Rejected(503, "process_paused", RETRY_AFTER_SECONDS)
        route = config.route(facts.host, facts.path)
        if route is None:
            return self._reject_unlisted(404, "no_route", now)
        organisation = None
        if config.requires_keys and not (
            route.allow_anonymous and not facts.key
        ):
            if not self._admits_keys(now):
                return _reject_unconfirmed("configuration_too_old")
            organisation = config.organisation_of(facts.key)
            if organisation is None and not route.allow_anonymous:
                return self._reject_unlisted(401, "unknown_key", now)
        return self._admit(facts, route, organisation)

    def _admits_keys(self, now: float) -> bool:
        return self._config_age.admits_keys(now) and self._pauses.admits_keys()

    def _reject_unlisted(
        self, status: int, reason: str, now: float
    ) -> Rejected:
        if self._config_age.may_reject_unknown(now):
            return Rejected(status, reason)
        return _reject_unconfirmed(f"{reason}_yet")

    def _admit(
        self,
        facts: messages.RequestMetadata,
        route: configuration.Route,
        organisation: configuration.Organisation | None,
    ) -> Admitted:
        seconds = route.timeout_seconds
        if facts.caller_timeout_seconds is not None:
            seconds = min(seconds, facts.caller_timeout_seconds)
        rank = route.rank
        if organisation is not None and organisation.rank is not None:
            rank += organisation.rank * ROUTE_RANKS
        return Admitted(
            route=route,
            service=self._choose_service(route),
            organisation=organisation,
            rank=rank,
            cost=request_cost(facts, organisation),
            timeout_seconds=seconds,
            max_wait_seconds=min(
                MAX_WAIT_PER_TIMEOUT * seconds,
                MAX_WAIT_PER_TARGET_LATENCY * route.target_latency_seconds,
            ),
        )

    def _choose_service(self, route: configuration.Route) -> str:
        if len(route.service_weights) == 1:
            return route.service_weights[0].service
        weights = [share.weight for share in route.service_weights]
        return self._random.choices(route.service_weights, weights)[0].service


def _reject_unconfirmed(reason: str) -> Rejected:
    return Rejected(503, reason, RETRY_AFTER_SECONDS, unconfirmed=True)


def request_cost(
    facts: messages.RequestMetadata,
    organisation: configuration.Organisation | None,
) -> float:
    """Returns the charge of a request to its organisation's quota.

    It is in tokens or in requests, as the quota is.
    """
    if organisation is None or not organisation.counts_tokens:
        return 1.0
    if not facts.has_token_counts:
        return float(organisation.plain_tokens)
    return float(facts.prompt_tokens + facts.output_tokens)
