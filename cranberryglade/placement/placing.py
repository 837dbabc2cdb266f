"""Terms of the cost of an endpoint beside its speed; performs no I/O.

Load pattern: uneven demand in the failure domains, on endpoints whose speeds
differ and change. All of the state is soft: a new allocator begins without it
and learns.
"""

from collections.abc import Iterable

from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.placement import counts
from cranberryglade.placement import locality
from cranberryglade.placement import options
from cranberryglade.placement import preference
from cranberryglade.placement import recent_pace


class Placing:
    """What requests prefer among the endpoints.

    Attributes:
        counts: counts of the decisions.
        distance: the cost of distance.
    """

    __slots__ = ("_recent", "_summaries", "counts", "distance")

    def __init__(self, placement: options.PlacementOptions):
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
        domain = self.distance.domain_of(holder)
        if not domain and self._recent is None:
            return None
        return preference.Preference(
            request, now, self.distance, domain, self._recent, self.counts
        )

    def record_grant(self, holder: str, domain: str) -> None:
        """Records a grant of an endpoint in a domain."""
        is_own = self.distance.is_own(holder, domain)
        self.counts.own += is_own is True
        self.counts.other += is_own is False

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
        if not self.distance.is_on and self._recent is None:
            return None
        return self._summaries.take(self.counts, now)
