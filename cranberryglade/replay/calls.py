"""Calls: requests as callers see them, with their outcomes."""

import dataclasses
import enum

from cranberryglade import verdicts
from cranberryglade.replay import traces


class Outcome(enum.Enum):
    """Outcome of a call."""

    OPEN = "open"
    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    UNKNOWN = "may have run"


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One request of a caller, from its first sending to its outcome.

    Times are seconds of virtual time.

    Attributes:
        request: the trace line of the request.
        offered_at: when it was first sent.
        is_retry: whether it retries a refused call.
        instance: not used.
        request_id: request id under which it was last sent.
        outcome: its outcome; OPEN until the final verdict.
        reason: reason of the verdict if it was refused or may have run.
        ended_at: when the final verdict arrived.
        first_token_at: when its first token arrived; None before.
        last_token_at: when its latest token arrived.
        retry_after_seconds: seconds after which the refusal allows a retry;
            None if it names no time.
    """

    request: traces.Request
    offered_at: float
    is_retry: bool = False
    instance: int = 0
    request_id: str = ""
    outcome: Outcome = Outcome.OPEN
    reason: str = ""
    ended_at: float = 0.0
    first_token_at: float | None = None
    last_token_at: float = 0.0
    retry_after_seconds: float | None = None

    @property
    def deadline(self) -> float:
        """Virtual time by which the whole answer must have arrived."""
        return self.offered_at + self.request.deadline_seconds

    @property
    def first_token_deadline(self) -> float:
        """Virtual time by which the first token must have arrived."""
        return self.offered_at + self.request.first_token_seconds

    def finish(self, verdict: verdicts.Verdict, now: float) -> None:
        """Records the final verdict, which arrives at `now` in seconds."""
        self.ended_at = now
        match verdict:
            case verdicts.Ran():
                in_time = now <= self.deadline
                self.outcome = Outcome.IN_TIME if in_time else Outcome.LATE
            case verdicts.NotRun(reason=reason, retry_after_seconds=retry):
                self.outcome = Outcome.REFUSED
                self.reason = reason.value
                self.retry_after_seconds = retry
            case verdicts.MayHaveRun(reason=reason):
                self.outcome = Outcome.UNKNOWN
                self.reason = reason.value
