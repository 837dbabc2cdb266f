"""Counts final verdicts, and for those that are uncertain their cause."""

import collections

from cranberryglade import metrics
from cranberryglade import verdicts


class Tally:
    """Counts the verdicts that one instance gave."""

    __slots__ = ("_metrics", "_uncertain")

    def __init__(self, sink: metrics.Metrics):
        self._metrics = sink
        self._uncertain: collections.Counter[str] = collections.Counter()

    @property
    def uncertain(self) -> dict[str, int]:
        """How many requests may have run, by cause."""
        return dict(self._uncertain)

    def add(self, verdict: verdicts.Verdict) -> None:
        """Counts a final verdict."""
        name = type(verdict).__name__.lower()
        self._metrics.count(f"verdict.{name}")
        if isinstance(verdict, verdicts.MayHaveRun):
            cause = verdict.reason.value
            self._uncertain[cause] += 1
            self._metrics.count(f"verdict.{name}.{cause}")
