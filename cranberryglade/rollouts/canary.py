"""Chooses the endpoints that get the requests of the canary phase.

Load pattern: a version is bad under load only. Few requests on many endpoints
put none of them under load, so one endpoint after the other is filled.
"""

from collections.abc import Sequence
import functools
import hashlib

from cranberryglade.gateway import messages

BURST_SECONDS = 1.0
"""Time after which the next endpoint follows, if one takes no requests."""


@functools.lru_cache(maxsize=8192)
def turn(endpoint: str) -> bytes:
    """Returns the place of an endpoint in the rotation.

    Endpoints with neighbouring ids often have the same hardware. In this order
    the first ones are a fair sample of their version.
    """
    return hashlib.blake2b(endpoint.encode(), digest_size=8).digest()


class CanaryRotation:
    """Goes through the endpoints of the new version; performs no I/O."""

    __slots__ = ("_began_at", "_current", "_left")

    def __init__(self):
        self._current = ""
        self._left = 0
        self._began_at = 0.0

    def current(
        self, endpoints: Sequence[messages.Endpoint], unused: int, now: float
    ) -> str:
        """Returns the endpoint that gets the next request; "" if none does.

        Args:
            endpoints: those of the new version, ordered by `turn`.
            unused: grants that the exposure limit admits.
            now: seconds of the loop's clock.
        """
        if not unused or not endpoints:
            return ""
        over = now - self._began_at >= BURST_SECONDS
        if self._left > 0 and not over:
            return self._current
        following = _following(endpoints, self._current)
        if unused < min(following.slots, len(endpoints)) and not over:
            return ""
        self._current = following.id
        self._left = following.slots
        self._began_at = now
        return self._current

    def use(self) -> None:
        """Counts a grant at the current endpoint."""
        self._left -= 1


def _following(
    endpoints: Sequence[messages.Endpoint], current: str
) -> messages.Endpoint:
    if not current:
        return endpoints[0]
    passed = turn(current)
    for endpoint in endpoints:
        if turn(endpoint.id) > passed:
            return endpoint
    return endpoints[0]
