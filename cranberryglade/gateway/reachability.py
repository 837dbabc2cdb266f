"""Whether this instance reaches the endpoints, or only others do.

A failed connection alone tells nothing of its cause; one that another instance
makes to the same endpoint shows that the endpoint is sound.
"""

from cranberryglade import log

CUT_OFF_SECONDS = 3.0
"""How long an endpoint counts as out of reach after a connection to it
succeeded only through another instance."""

MIN_ENDPOINTS = 2
"""With this many endpoints out of reach, the instance counts as cut off."""

logger = log.get_logger(__name__)


class Reachability:
    """Endpoints that only other instances reach; performs no I/O.

    Times are seconds of the loop's clock.
    """

    __slots__ = ("_until",)

    def __init__(self):
        self._until: dict[str, float] = {}

    def is_cut_off(self, now: float) -> bool:
        """Returns whether several endpoints are out of reach."""
        return sum(until > now for until in self._until.values()) >= (
            MIN_ENDPOINTS
        )

    def record_detour(self, address: str, now: float) -> bool:
        """Records that an endpoint was reached through another instance only.

        Returns:
            Whether this instance counts as cut off since.
        """
        before = self.is_cut_off(now)
        self._until = {
            each: until for each, until in self._until.items() if until > now
        }
        self._until[address] = now + CUT_OFF_SECONDS
        begins = self.is_cut_off(now) and not before
        if begins:
            logger.warning("endpoints.cut_off", out_of_reach=len(self._until))
        return begins
