"""What the baselines have in common."""

from cranberryglade import verdicts
from cranberryglade.scheduling import claims
from cranberryglade.scheduling import decisions
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import lives
from cranberryglade.scheduling import messages


class BaselinePlacement:
    """Counts what endpoints run and learns from nothing else."""

    __slots__ = ("_decisions", "_fleet", "_lives")

    def __init__(
        self,
        collected: decisions.Decisions,
        known: fleet.Fleet,
        living: lives.Lives,
    ):
        self._decisions = collected
        self._fleet = known
        self._lives = living

    def ended(self, record: claims.Record, output_tokens: int | None) -> None:
        """Gives back the slot of an attempt.

        Args:
            record: the request, before its state changes.
            output_tokens: length of a whole answer; None if it failed.
        """
        del output_tokens
        if record.endpoint is None:
            return
        member = self._fleet.member(record.endpoint.name)
        if member and member.endpoint == record.endpoint:
            member.outstanding -= 1

    def handed_back(
        self, record: claims.Record, verdict: verdicts.NotRun
    ) -> None:
        """Does nothing."""

    def first_token(self, record: claims.Record) -> None:
        """Does nothing."""

    def load(self, event: messages.LoadReported) -> None:
        """Does nothing."""

    def cache(self, event: messages.CacheReported) -> None:
        """Does nothing."""
