"""Section `[preemption]` of a gateway's settings file."""

import dataclasses

from cranberryglade import options

DEFAULT_ENABLED = False


@dataclasses.dataclass(slots=True, frozen=True)
class PreemptionOptions:
    """Whether urgent requests may take slots from running ones.

    Attributes:
        enabled: whether running work is preempted, and refused requests keep
            their places.
    """

    enabled: bool = DEFAULT_ENABLED


SECTION = (
    options.Option(
        "enabled",
        options.parse_flag,
        "`yes` or `no`",
        DEFAULT_ENABLED,
        "whether resumable streams yield their slots to urgent requests, and "
        "refused requests that come back when told keep their places",
    ),
)
