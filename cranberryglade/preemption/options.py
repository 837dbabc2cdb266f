"""Section `[preemption]` of a gateway's settings file."""

import dataclasses

from cranberryglade import options

DEFAULT_ENABLED = False
DEFAULT_SCHEDULE_RETURNS = False


@dataclasses.dataclass(slots=True, frozen=True)
class PreemptionOptions:
    """Whether urgent requests may take slots from running ones.

    Attributes:
        enabled: whether running work is preempted, and refused requests keep
            their places.
        schedule_returns: whether requests that are refused for want of a slot
            are told when one is expected to be free for them, each its own.
    """

    enabled: bool = DEFAULT_ENABLED
    schedule_returns: bool = DEFAULT_SCHEDULE_RETURNS


SECTION = (
    options.Option(
        "enabled",
        options.parse_flag,
        "`yes` or `no`",
        DEFAULT_ENABLED,
        "whether resumable streams yield their slots to urgent requests, and "
        "refused requests that come back when told keep their places",
    ),
    options.Option(
        "schedule_returns",
        options.parse_flag,
        "`yes` or `no`",
        DEFAULT_SCHEDULE_RETURNS,
        "whether requests that are refused for want of a slot are told when "
        "one is expected to be free for them, each its own",
    ),
)
