"""Counts of the decisions on placement, and the log line of their sums."""

import dataclasses

SUMMARY_SECONDS = 10.0
"""Time between two log lines."""


@dataclasses.dataclass(slots=True)
class Counts:
    """Numbers of decisions.

    Attributes:
        own: grants of endpoints in the domain of the instance that asked.
        other: grants of endpoints in another domain.
        slowed: how often an endpoint was found to be slower than usual.
        spared: how often urgent work was kept from such an endpoint.
        prefixed: grants of endpoints that had lately read a prompt part.
        reordered: grants before the first request in the queue, to one of the
            endpoint's domain.
    """

    own: int = 0
    other: int = 0
    slowed: int = 0
    spared: int = 0
    prefixed: int = 0
    reordered: int = 0

    def since(self, earlier: "Counts") -> "Counts":
        """Returns what was counted since an earlier copy."""
        before = dataclasses.asdict(earlier)
        return Counts(
            **{
                name: value - before[name]
                for name, value in dataclasses.asdict(self).items()
            }
        )


class Summaries:
    """Says when the sums are to be logged; performs no I/O."""

    __slots__ = ("_at", "_told")

    def __init__(self):
        self._at = 0.0
        self._told = Counts()

    def take(self, counts: Counts, now: float) -> Counts | None:
        """Returns what was counted since the last time, if that is due.

        Args:
            counts: the counts so far.
            now: seconds of the loop's clock.
        """
        if now - self._at < SUMMARY_SECONDS:
            return None
        self._at = now
        since = counts.since(self._told)
        self._told = dataclasses.replace(counts)
        return since if since != Counts() else None
