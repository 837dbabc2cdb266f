"""What one request prefers among the endpoints of its service."""

import dataclasses
import math

from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.placement import counts
from cranberryglade.placement import locality
from cranberryglade.placement import recent_pace

URGENT_RANK = 0

SPARED_WEIGHT = 100.0
"""Factor on the cost of a slowed endpoint for urgent work, which so gets any
other free one."""


@dataclasses.dataclass(slots=True, frozen=True)
class Preference:
    """Factors on the costs of endpoints, for one request.

    Attributes:
        request: the request.
        now: seconds of the loop's clock.
        distance: the cost of distance.
        domain: failure domain of the instance that asks; "" if unknown.
        recent: the present paces of the endpoints; None if they do not matter.
        connected: ids of endpoints to which the instance has a connection that
            it used just before.
        new_connection_cost: factor on the cost of the others.
        readers: ids of endpoints that have lately read a part of the prompt.
        reread_cost: factor on the cost of the others.
        counted: counts of the decisions.
    """

    request: messages.SlotRequest
    now: float
    distance: locality.Locality
    domain: str
    recent: recent_pace.RecentPaces | None
    counted: counts.Counts
    connected: list[str]
    new_connection_cost: float
    readers: list[str]
    reread_cost: float

    @property
    def favoured(self) -> list[str]:
        """Ids of endpoints that cost less than others."""
        return self.connected + self.readers

    @property
    def usual_weight(self) -> float:
        """Least factor on the cost of an endpoint that is not favoured."""
        return self.new_connection_cost * self.reread_cost

    @property
    def remote_weight(self) -> float:
        """The same for an endpoint outside the domain."""
        remote = self.distance.remote_cost if self.domain else 1.0
        return remote * self.usual_weight

    def weigh(
        self,
        state: endpoint_states.EndpointState,
        cost: endpoint_states.Cost,
        median_pace: float,
    ) -> float:
        """Returns the factor on the cost of an endpoint.

        Args:
            state: the endpoint.
            cost: its present cost.
            median_pace: median of the paces of the endpoints.

        Returns:
            The factor; infinity if it must not get the request now.
        """
        pace = state.seconds_per_work_unit
        weight = 1.0
        if self.domain:
            weight = self.distance.weigh(
                self.domain, state.domain, pace, median_pace
            )
        if state.endpoint.id not in self.connected:
            weight *= self.new_connection_cost
        if state.endpoint.id not in self.readers:
            weight *= self.reread_cost
        if self.recent is None:
            return weight
        return weight * self._weigh_slowdown(state, cost, median_pace)

    def _weigh_slowdown(
        self,
        state: endpoint_states.EndpointState,
        cost: endpoint_states.Cost,
        median_pace: float,
    ) -> float:
        slowdown = self.recent.factor(state.endpoint.id, self.now)
        if slowdown <= 1.0:
            return 1.0
        if self.request.rank != URGENT_RANK:
            # The cost contains what running requests have shown.
            return max(1.0, slowdown / state.overdue_factor(cost))
        self.counted.spared += 1
        slowed_pace = state.seconds_per_work_unit * slowdown
        waits = self._is_late(slowed_pace) and not self._is_late(median_pace)
        return math.inf if waits else SPARED_WEIGHT

    def _is_late(self, pace: float) -> bool:
        seconds = endpoint_states.first_answer_seconds(self.request, pace)
        return self.now + seconds > self.request.first_answer_due
