"""Decides whether a request waits until an instance that starts can admit it.

Load pattern: all instances are killed at once, and callers connect again to
those that are just starting. These need a few round trips to the store and to
each other before they may admit a request. A refusal would use up a retry of
each caller, and bring all of them back at the same moment.
"""

import dataclasses

WARMUP_SECONDS = 1.0
"""Time after the start in which an instance that has no confirmed configuration
is likely to get one. Afterwards the store is out of reach."""

POLL_SECONDS = 0.01
"""Time between two decisions on a request that waits."""


@dataclasses.dataclass(slots=True, frozen=True)
class Warmup:
    """The start of an instance; times are seconds of the loop's clock.

    Attributes:
        started_at: when the process started.
        max_wait_seconds: longest wait of a request; 0 for none.
    """

    started_at: float
    max_wait_seconds: float

    def wait_until(self, arrived: float) -> float:
        """Returns until when a request that cannot be admitted yet waits.

        Args:
            arrived: when the request was read.
        """
        ends_at = self.started_at + WARMUP_SECONDS
        return min(arrived + self.max_wait_seconds, ends_at)
