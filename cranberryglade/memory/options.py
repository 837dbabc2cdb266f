"""Section `[memory]` of a gateway's settings file."""

import dataclasses

from cranberryglade import options

DEFAULT_BUDGET_SHARE = 0.4


@dataclasses.dataclass(slots=True, frozen=True)
class MemoryOptions:
    """The memory that a gateway may hold for others.

    Attributes:
        budget_share: fraction of the machine's memory that bodies, answers
            and tunnels may take together.
    """

    budget_share: float = DEFAULT_BUDGET_SHARE


SECTION = (
    options.Option(
        "budget_share",
        options.number(0.05, 0.9, float),
        "a number from 0.05 to 0.9",
        DEFAULT_BUDGET_SHARE,
        "fraction of the machine's memory that bodies, answers and tunnels may "
        "take together",
    ),
)
