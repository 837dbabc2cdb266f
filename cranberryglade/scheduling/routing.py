"""Which endpoint, or which peer, gets a request."""

from collections.abc import Iterable

from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools


def choose_member(
    pool: pools.Pool, request: messages.Request
) -> pools.Member | None:
    """The endpoint with the most free room; None when all are full."""
    del request
    free = [m for m in pool.members.values() if m.free_slots > 0]
    return max(
        free, key=lambda m: (m.free_slots, m.endpoint.name), default=None
    )


def choose_peer(offers: Iterable[fleet.Offer]) -> messages.Peer | None:
    """The peer that could start the request soonest; None if there is none."""
    best = min(offers, key=_preference, default=None)
    return best.peer if best else None


def _preference(offer: fleet.Offer):
    digest = offer.digest
    return (-digest.free_slots, digest.wait_seconds, offer.peer.name)
