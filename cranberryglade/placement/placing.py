"""Terms of the cost of an endpoint beside its speed; performs no I/O.

Load pattern: uneven demand in the failure domains, on endpoints whose speeds
differ. All of the state is soft: a new allocator begins without it and learns.
"""

from cranberryglade.placement import locality
from cranberryglade.placement import options
from cranberryglade.placement import preference


class Placing:
    """What requests prefer among the endpoints.

    Attributes:
        distance: the cost of distance.
    """

    __slots__ = ("distance",)

    def __init__(self, placement: options.PlacementOptions):
        self.distance = locality.Locality(placement.remote_cost)

    @property
    def orders_domains(self) -> bool:
        """Whether endpoints are ordered by failure domain, too."""
        return self.distance.is_on

    def preference(self, holder: str) -> preference.Preference | None:
        """Returns the preference of a request; None if it has none."""
        domain = self.distance.domain_of(holder)
        if not domain:
            return None
        return preference.Preference(self.distance, domain)

    def record_grant(self, holder: str, domain: str) -> None:
        """Records a grant of an endpoint in a domain."""
        self.distance.record_grant(holder, domain)
