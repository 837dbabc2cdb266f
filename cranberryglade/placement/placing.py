"""Terms of the cost of an endpoint beside its speed; performs no I/O.

Load pattern: uneven demand in the failure domains, on endpoints whose speeds
differ and change. All of the state is soft: a new allocator begins without it
and learns.
"""

from collections.abc import Iterable

from cranberryglade.gateway import endpoint_group
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.gateway import slot_queue
from cranberryglade.placement import counts
from cranberryglade.placement import local_order
from cranberryglade.placement import locality
from cranberryglade.placement import options
from cranberryglade.placement import preference
from cranberryglade.placement import recent_pace
from cranberryglade.placement import recent_uses

CONNECTION_SECONDS = 0.8
"""A connection counts as just used for this time: less than the idle time after
which an instance sends no request on it that may run only once."""

READ_SECONDS = 9.0
"""An endpoint counts as having read a part for this time: what some endpoint
has read is charged if it is read again within 10 s."""


class Placing:
    """What requests prefer among the endpoints.

    Attributes:
        counts: counts of the decisions.
        distance: the cost of distance.
    """

    __slots__ = (
        "_connections",
        "_is_on",
        "_options",
        "_reads",
        "_recent",
        "_saves_connections",
        "_saves_reading",
        "_summaries",
        "counts",
        "distance",
    )

    def __init__(self, placement: options.PlacementOptions):
        self._options = placement
        self._is_on = placement != options.PlacementOptions()
        self._saves_connections = placement.new_connection_cost != 1.0
        self._saves_reading = placement.reread_cost != 1.0
        self._connections = recent_uses.RecentUses(CONNECTION_SECONDS)
        self._reads = recent_uses.RecentUses(READ_SECONDS)
        self._summaries = counts.Summaries()
        self._recent = (
            recent_pace.RecentPaces() if placement.recent_pace else None
        )
        self.counts = counts.Counts()
        self.distance = locality.Locality(placement.remote_cost)

    @property
    def orders_domains(self) -> bool:
        """Whether endpoints are ordered by failure domain, too."""
        return self.distance.is_on

    def preference(
        self, holder: str, request: messages.SlotRequest, now: float
    ) -> preference.Preference | None:
        """Returns what a request prefers; None if it prefers nothing.

        Args:
            holder: the instance that asks.
            request: the request.
            now: seconds of the loop's clock.
        """
        if not self._is_on:
            return None
        connected = readers = []
        if self._saves_connections:
            connected = self._connections.find(holder, now)
        if self._saves_reading:
            readers = self._readers(request.parts, now)
        return preference.Preference(
            request,
            now,
            self.distance,
            self.distance.domain_of(holder),
            self._recent,
            self.counts,
            connected,
            self._options.new_connection_cost if connected else 1.0,
            readers,
            self._options.reread_cost if readers else 1.0,
        )

    def find_local(
        self,
        queue: slot_queue.SlotQueue,
        group: endpoint_group.EndpointGroup,
        first: endpoint_states.QueuedRequest,
        state: endpoint_states.EndpointState,
        now: float,
    ) -> endpoint_states.QueuedRequest | None:
        """Returns a request that may go before the first one, if any.

        Args:
            queue: the requests that wait.
            group: the endpoints of their service.
            first: the request that is next.
            state: the endpoint that it would get.
            now: seconds of the loop's clock.
        """
        if not self.distance.is_on or len(queue) < 2:
            return None
        if self.distance.is_own(first.holder, state.domain) is not False:
            return None
        pace = group.median_pace
        waiting = queue.first_timely(local_order.MAX_CONSIDERED, pace, now)
        if len(waiting) < 2 or waiting[0] is not first:
            return None
        gap = local_order.slot_gap(group.load, first.request, pace)
        return local_order.choose(
            waiting, state.domain, self.distance, pace, gap, now
        )

    def record_grant(
        self,
        holder: str,
        request: messages.SlotRequest,
        endpoint: messages.Endpoint,
        now: float,
    ) -> None:
        """Records a grant.

        Args:
            holder: the instance that asked.
            request: the request.
            endpoint: the endpoint that runs it.
            now: seconds of the loop's clock.
        """
        is_own = self.distance.is_own(holder, endpoint.domain)
        self.counts.own += is_own is True
        self.counts.other += is_own is False
        if self._saves_connections:
            self._connections.discard(holder, endpoint.id)
        if self._saves_reading:
            known = [
                self._reads.record(part, endpoint.id, now)
                for part in request.parts
            ]
            self.counts.prefixed += any(known)

    def record_served(
        self,
        lease: endpoint_states.Lease,
        first_answer_seconds: float | None,
        now: float,
    ) -> None:
        """Records a whole answer.

        Args:
            lease: the slot that its request had.
            first_answer_seconds: time to the first answer; None if unknown.
            now: seconds of the loop's clock.
        """
        if self._saves_connections:
            self._connections.record(lease.holder, lease.endpoint, now)
        if self._recent is None or first_answer_seconds is None:
            return
        if lease.request is None or first_answer_seconds <= 0:
            return
        sample = recent_pace.make_sample(
            lease.request, first_answer_seconds, now - lease.granted_at
        )
        begins = self._recent.record(lease.endpoint, sample, now)
        self.counts.slowed += begins

    def forget_endpoints(self, listed: Iterable[str]) -> None:
        """Drops what is kept of endpoints that are gone."""
        if self._recent is not None:
            self._recent.forget(listed)

    def take_summary(self, now: float) -> counts.Counts | None:
        """Returns what was counted since the last summary, if one is due."""
        return self._summaries.take(self.counts, now) if self._is_on else None

    def _readers(self, parts: tuple[str, ...], now: float) -> list[str]:
        # The last part includes the most of the prompt.
        for part in reversed(parts):
            found = self._reads.find(part, now)
            if found:
                return found
        return []
