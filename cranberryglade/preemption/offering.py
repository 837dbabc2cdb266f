"""Which attempts offer to yield their slots to more urgent requests.

Load pattern: the allocator picks from all running requests in one step, and so
must know beforehand which of them can go on elsewhere.
"""

from cranberryglade.gateway import configuration
from cranberryglade.gateway import exchanges

MOST_URGENT_RANK = 0


def rank(exchange: exchanges.Exchange) -> int:
    """Returns the urgency of the next attempt of a request.

    One that has yielded its slot takes the next that is free, as its caller
    leaves after a pause: behind equals, it could wait until their load ends.
    """
    return MOST_URGENT_RANK if exchange.yielded else exchange.admitted.rank


def offers(exchange: exchanges.Exchange, enabled: bool) -> bool:
    """Returns whether the next attempt of a request may be asked to yield.

    Args:
        exchange: the request.
        enabled: whether operators have switched preemption on.
    """
    route = exchange.admitted.route
    return (
        enabled
        and route.kind is configuration.Kind.RESUMABLE
        and not exchange.yielded
        and len(exchange.attempted_endpoints) + 1 < route.max_attempts
    )
