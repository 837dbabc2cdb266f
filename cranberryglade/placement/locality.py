"""The cost of distance between an endpoint and the instance that asks.

Load pattern: demand in each failure domain rises and falls by half in turn, so
that for some time one domain has more requests than its own endpoints can run
while others have room. A request runs in its own domain as long as that is not
slower than another domain by more than a factor. The allocator compares present
costs, so work spills over one request at a time and returns in the same way.
"""

from collections.abc import Callable
import dataclasses

SLOW_PACE_FACTOR = 2.0
"""From this factor above the median pace on, an endpoint is slow. A slow one in
the own domain is not preferred to one of usual pace elsewhere."""

SUMMARY_SECONDS = 10.0
"""Time between two log lines on the grants."""

UNKNOWN_DOMAIN = ""


@dataclasses.dataclass(slots=True, frozen=True)
class GrantCounts:
    """Grants by distance.

    Attributes:
        own: grants of endpoints in the domain of the instance that asked.
        other: grants of endpoints in another domain.
    """

    own: int = 0
    other: int = 0

    def __sub__(self, earlier: "GrantCounts") -> "GrantCounts":
        """Returns what was granted since an earlier count."""
        return GrantCounts(self.own - earlier.own, self.other - earlier.other)

    @property
    def own_share(self) -> float:
        """Share of the grants that stayed in the domain."""
        return self.own / max(1, self.own + self.other)


class Locality:
    """Failure domains of the instances, and grants by distance.

    Attributes:
        remote_cost: factor on the cost of endpoints in another domain.
        counts: grants so far.
    """

    __slots__ = ("_domain_of", "_logged", "_logged_at", "counts", "remote_cost")

    def __init__(self, remote_cost: float):
        self._domain_of: Callable[[str], str] = lambda holder: UNKNOWN_DOMAIN
        self._logged = GrantCounts()
        self._logged_at = 0.0
        self.remote_cost = remote_cost
        self.counts = GrantCounts()

    @property
    def is_on(self) -> bool:
        """Whether distance matters."""
        return self.remote_cost != 1.0

    def set_domains(self, domain_of: Callable[[str], str]) -> None:
        """Sets the source of the instances' failure domains.

        Args:
            domain_of: returns the domain of an instance; "" if it is unknown.
        """
        self._domain_of = domain_of

    def domain_of(self, holder: str) -> str:
        """Returns the domain of an instance; "" if it does not matter."""
        return self._domain_of(holder) if self.is_on else UNKNOWN_DOMAIN

    def weigh(
        self, holder_domain: str, domain: str, pace: float, median_pace: float
    ) -> float:
        """Returns the factor on the cost of an endpoint.

        Args:
            holder_domain: domain of the instance that asks; "" if unknown.
            domain: domain of the endpoint.
            pace: usual seconds of the endpoint for each unit of work.
            median_pace: median of the paces of the endpoints.
        """
        if not holder_domain:
            return 1.0
        weight = 1.0 if domain == holder_domain else self.remote_cost
        is_slow = pace > SLOW_PACE_FACTOR * median_pace
        return weight * self.remote_cost if is_slow else weight

    def record_grant(self, holder: str, domain: str) -> None:
        """Counts a grant of an endpoint in a domain; unknown ones are not."""
        holder_domain = self._domain_of(holder)
        if not holder_domain:
            return
        own, other = self.counts.own, self.counts.other
        if domain == holder_domain:
            own += 1
        else:
            other += 1
        self.counts = GrantCounts(own, other)

    def take_summary(self, now: float) -> GrantCounts | None:
        """Returns the grants since the last summary, if one is due."""
        if not self.is_on or now - self._logged_at < SUMMARY_SECONDS:
            return None
        self._logged_at = now
        since = self.counts - self._logged
        self._logged = self.counts
        return since if since != GrantCounts() else None
