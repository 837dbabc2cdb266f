"""Section `[warmup]` of a gateway's settings file."""

import dataclasses

from cranberryglade import options

DEFAULT_MAX_WAIT_MS = 0


@dataclasses.dataclass(slots=True, frozen=True)
class WarmupOptions:
    """How long requests wait while an instance starts.

    Attributes:
        max_wait_ms: longest wait of a request for the first confirmed
            configuration, in milliseconds; 0 refuses it at once.
    """

    max_wait_ms: int = DEFAULT_MAX_WAIT_MS


SECTION = (
    options.Option(
        "max_wait_ms",
        options.number(0, 2000),
        "a whole number from 0 to 2000",
        DEFAULT_MAX_WAIT_MS,
        "longest wait of a request for the first confirmed configuration while "
        "an instance starts, in milliseconds; 0 refuses it at once",
    ),
)
