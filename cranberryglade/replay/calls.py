"""What callers do with the answers they get, and what became of each call."""

import dataclasses
import enum

from cranberryglade import verdicts
from cranberryglade.replay import traces


class Outcome(enum.Enum):
    """What became of a call."""

    OPEN = "open"
    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    UNKNOWN = "may have run"


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One request of a caller, from offering it to its end.

    Attributes:
        request: the line of the trace.
        offered_at: when it was sent, in seconds.
        returning: whether it follows an earlier refusal.
        instance: number of the instance that took it.
        name: name under which it was sent last.
        outcome: what became of it.
        reason: why it was refused or is unknown.
        ended_at: when its outcome was known.
        first_at: when its first token came; None before.
        last_at: when its latest token came.
    """

    request: traces.Request
    offered_at: float
    returning: bool = False
    instance: int = 0
    name: str = ""
    outcome: Outcome = Outcome.OPEN
    reason: str = ""
    ended_at: float = 0.0
    first_at: float | None = None
    last_at: float = 0.0
    retry_after: float | None = None

    @property
    def deadline(self) -> float:
        """When the whole answer must be there."""
        return self.offered_at + self.request.deadline_seconds

    @property
    def first_token_deadline(self) -> float:
        """When the first token must be there."""
        return self.offered_at + self.request.first_token_seconds

    def finish(self, verdict: verdicts.Verdict, now: float) -> None:
        """Takes in the final verdict."""
        self.ended_at = now
        match verdict:
            case verdicts.Ran():
                in_time = now <= self.deadline
                self.outcome = Outcome.IN_TIME if in_time else Outcome.LATE
            case verdicts.NotRun(reason=reason, retry_after_seconds=retry):
                self.outcome = Outcome.REFUSED
                self.reason = reason.value
                self.retry_after = retry
            case verdicts.MayHaveRun(reason=reason):
                self.outcome = Outcome.UNKNOWN
                self.reason = reason.value
