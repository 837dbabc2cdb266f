"""The cost of distance between an endpoint and the instance that asks.

Load pattern: demand in each failure domain rises and falls by half in turn, so
that for some time one domain has more requests than its own endpoints can run
while others have room. A request runs in its own domain as long as that is not
slower than another domain by more than a factor. The allocator compares present
costs, so work spills over one request at a time and returns in the same way.
"""

from collections.abc import Callable

SLOW_PACE_FACTOR = 2.0
"""From this factor above the median pace on, an endpoint is slow. A slow one in
the own domain is not preferred to one of usual pace elsewhere."""

UNKNOWN_DOMAIN = ""


class Locality:
    """Failure domains of the instances, and the cost of distance.

    Attributes:
        remote_cost: factor on the cost of endpoints in another domain.
    """

    __slots__ = ("_domain_of", "remote_cost")

    def __init__(self, remote_cost: float):
        self._domain_of: Callable[[str], str] = lambda holder: UNKNOWN_DOMAIN
        self.remote_cost = remote_cost

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

    def is_own(self, holder: str, domain: str) -> bool | None:
        """Returns whether a domain is that of an instance; None if unknown."""
        holder_domain = self._domain_of(holder)
        return domain == holder_domain if holder_domain else None
