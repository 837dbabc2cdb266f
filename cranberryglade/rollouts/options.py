"""Section `[rollouts]` of a gateway's settings file."""

import dataclasses

from cranberryglade import options

DEFAULT_CANARY_FRACTION = 0.6


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutOptions:
    """The steps of a rollout.

    Attributes:
        canary_fraction: fraction of a rollout's period in which the new
            version gets no more than the exposure that the platform allows.
    """

    canary_fraction: float = DEFAULT_CANARY_FRACTION


SECTION = (
    options.Option(
        "canary_fraction",
        options.number(0.1, 0.9, float),
        "a number from 0.1 to 0.9",
        DEFAULT_CANARY_FRACTION,
        "fraction of a rollout's period in which the new version gets no more "
        "than the exposure that the platform allows",
    ),
)
