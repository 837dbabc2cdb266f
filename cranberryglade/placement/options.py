"""Section `[placement]` of a gateway's settings file."""

import dataclasses

from cranberryglade import options

DEFAULT_REMOTE_COST = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementOptions:
    """Terms of the cost of an endpoint.

    Attributes:
        remote_cost: factor on the cost of endpoints in another failure domain
            than the instance that sends the request; 1 makes no difference.
        recent_pace: whether urgent work is kept from endpoints that are slower
            than usual for a short time.
    """

    remote_cost: float = DEFAULT_REMOTE_COST
    recent_pace: bool = False


SECTION = (
    options.Option(
        "remote_cost",
        options.number(1.0, 4.0, float),
        "a number from 1 to 4",
        DEFAULT_REMOTE_COST,
        "factor on the cost of endpoints in another failure domain than the "
        "instance that sends the request; 1 makes no difference",
    ),
    options.Option(
        "recent_pace",
        options.parse_flag,
        "yes or no",
        False,
        "whether urgent work is kept from endpoints that are slower than usual "
        "for a short time",
    ),
)
