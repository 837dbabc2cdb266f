"""What one request prefers among the endpoints of its service."""

import dataclasses
from typing import Protocol

from cranberryglade.placement import locality


class Measured(Protocol):
    """What is known of an endpoint; implemented by `EndpointState`."""

    seconds_per_work_unit: float

    @property
    def domain(self) -> str:
        """Its failure domain."""


@dataclasses.dataclass(slots=True, frozen=True)
class Preference:
    """Factors on the costs of endpoints, for one request.

    Attributes:
        distance: the cost of distance.
        domain: failure domain of the instance that asks; "" if unknown.
    """

    distance: locality.Locality
    domain: str

    @property
    def remote_weight(self) -> float:
        """Least factor on the cost of an endpoint outside the domain."""
        return self.distance.remote_cost if self.domain else 1.0

    def weigh(self, state: Measured, median_pace: float) -> float:
        """Returns the factor on the cost of an endpoint."""
        return self.distance.weigh(
            self.domain,
            state.domain,
            state.seconds_per_work_unit,
            median_pace,
        )
