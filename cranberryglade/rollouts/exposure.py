"""Limits how many requests an unproven version gets over all instances.

Load pattern: the allocator ends, or two act at once, while a bad version runs.
Grants are reserved in the store before they are made. A successor counts all
that is reserved as made, so the sum stays within the limit.
"""

import dataclasses

CANARY_PART = 0.5
"""Part of the limit that the canary phase uses. The rest covers what is granted
between the promotion and a verdict."""

RESERVATION = 40
"""Most grants that are reserved by one write."""

LOW_RESERVATION = 10
"""Below this number of reserved grants, more are reserved."""


@dataclasses.dataclass(slots=True, frozen=True)
class Limit:
    """Most requests that an unproven version gets.

    Attributes:
        share: fraction of the requests of its service.
        slack: requests in addition.
    """

    share: float
    slack: float


class ExposureBudget:
    """Grants of the new version in the canary phase; performs no I/O.

    Attributes:
        requests: requests that reached the service since the order.
        reserved: grants that are reserved in the store.
    """

    __slots__ = ("_limit", "_unused", "requests", "reserved")

    def __init__(self, limit: Limit, requests: int = 0, reserved: int = 0):
        """Creates a budget of which all that is reserved counts as used.

        Args:
            limit: the limit on the whole rollout.
            requests: requests that predecessors counted.
            reserved: grants that predecessors reserved.
        """
        self._limit = limit
        self._unused = 0
        self.requests = requests
        self.reserved = reserved

    @property
    def unused(self) -> int:
        """Grants that may be made now."""
        return self._unused

    @property
    def wanted(self) -> int:
        """The number of reserved grants to store next."""
        limit = self._limit
        allowed = CANARY_PART * (limit.share * self.requests + limit.slack)
        if self._unused >= LOW_RESERVATION:
            return self.reserved
        return max(
            self.reserved, min(int(allowed), self.reserved + RESERVATION)
        )

    def use(self) -> None:
        """Counts a grant."""
        self._unused = max(0, self._unused - 1)

    def confirm(self, reserved: int) -> None:
        """Adds grants whose reservation is stored."""
        self._unused += reserved - self.reserved
        self.reserved = reserved
