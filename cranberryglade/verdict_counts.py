"""Counts final verdicts, and the reasons of those that are uncertain."""

import collections

from cranberryglade import metrics
from cranberryglade import verdicts


class VerdictCounter:
    """Counts the final verdicts of one instance."""

    __slots__ = ("_metrics", "_uncertain")

    def __init__(self, sink: metrics.Metrics):
        self._metrics = sink
        self._uncertain: collections.Counter[str] = collections.Counter()

    @property
    def uncertain(self) -> dict[str, int]:
        """Number of requests that may have run, by reason."""
        return dict(self._uncertain)

    def add(self, verdict: verdicts.Verdict) -> None:
        """Counts a final verdict, here and in the metrics."""
        name = type(verdict).__name__.lower()
        self._metrics.count(f"verdict.{name}")
        if isinstance(verdict, verdicts.MayHaveRun):
            reason = verdict.reason.value
            self._uncertain[reason] += 1
            self._metrics.count(f"verdict.{name}.{reason}")
