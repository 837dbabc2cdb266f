"""Section `[preemption]` of a gateway's settings file."""

import dataclasses

from cranberryglade import options

DEFAULT_ENABLED = False


@dataclasses.dataclass(slots=True, frozen=True)
class PreemptionOptions:
    """Whether urgent requests may take slots from running ones.

    Attributes:
        enabled: whether slots are reserved and running work is preempted.
    """

    enabled: bool = DEFAULT_ENABLED


SECTION = (
    options.Option(
        "enabled",
        options.parse_flag,
        "`yes` or `no`",
        DEFAULT_ENABLED,
        "whether slots are kept free for urgent requests, and resumable "
        "streams give way to them",
    ),
)
