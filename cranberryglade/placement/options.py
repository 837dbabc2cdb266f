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
        new_connection_cost: factor on the cost of endpoints to which the
            instance has no connection that it used just before; 1 makes no
            difference.
        reread_cost: factor on the cost of endpoints that have not lately read
            a part of the prompt; 1 makes no difference.
    """

    remote_cost: float = DEFAULT_REMOTE_COST
    recent_pace: bool = False
    new_connection_cost: float = 1.0
    reread_cost: float = 1.0


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
    options.Option(
        "new_connection_cost",
        options.number(1.0, 2.0, float),
        "a number from 1 to 2",
        1.0,
        "factor on the cost of endpoints to which the instance has no "
        "connection that it used just before; 1 makes no difference",
    ),
    options.Option(
        "reread_cost",
        options.number(1.0, 2.0, float),
        "a number from 1 to 2",
        1.0,
        "factor on the cost of endpoints that have not lately read a part of "
        "the prompt; 1 makes no difference",
    ),
)
