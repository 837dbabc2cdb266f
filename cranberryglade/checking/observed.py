"""What is seen of a request from outside, and the judgement of its end."""

import dataclasses

from cranberryglade.checking import held_endpoints
from cranberryglade.checking import request_life
from cranberryglade.standins import callers

NOT_RUN_STATUSES = (408, 421, 429, 503)
SUCCESS = 200
NO_SLOT_STATUSES = (429, 503)

SILENT_SECONDS = 0.5
"""A silence after which another endpoint may be sought."""

State = request_life.State
Event = request_life.Event
Position = request_life.Position

_STREAMS = ("write", "note")
_ONCE_ONLY = "pay"


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """Something that must not happen.

    Attributes:
        request: name of the request; "" if it is none's.
        detail: what happened.
    """

    request: str
    detail: str


class Observed:
    """One request of a walk.

    Attributes:
        name: its name, which is also its id.
        parts: the bytes that the caller still has to send, in order.
        sent_at: when its last byte was sent; None before.
        read_whole: whether the gateway has surely read it.
        left: whether its caller has left.
        answer: what its caller got; None before its end.
        earlier: the request before it on its connection.
        crossed: whether the connection was closed when its first byte was sent,
            and its caller could not know that yet.
        attempts: the attempts of it that endpoints received.
        visited: the cells that it came through.
        excused_by: the cells that excused its end.
    """

    __slots__ = (
        "answer",
        "attempts",
        "crossed",
        "earlier",
        "excused_by",
        "left",
        "name",
        "parts",
        "read_whole",
        "sent_at",
        "visited",
    )

    def __init__(self, name: str, parts: list[bytes]):
        self.name = name
        self.parts = parts
        self.sent_at: float | None = None
        self.read_whole = False
        self.left = False
        self.answer: callers.Answer | None = None
        self.earlier: Observed | None = None
        self.crossed = False
        self.attempts: list[held_endpoints.Attempt] = []
        self.visited: set[Position] = set()
        self.excused_by: set[Position] = set()

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a stream."""
        return self.name in _STREAMS

    @property
    def in_progress(self) -> bool:
        """Whether its caller still waits for its end."""
        return self.answer is None and not self.left

    @property
    def live(self) -> list[held_endpoints.Attempt]:
        """Its attempts that are not over."""
        return [each for each in self.attempts if not each.over]

    @property
    def _is_behind_cut(self) -> bool:
        """Whether `request_life.BEHIND_CUT` holds."""
        earlier = self.earlier and self.earlier.answer
        return earlier is not None and earlier.status and not earlier.whole

    def state(self, now: float) -> State:
        """Returns its state, as far as it shows outside."""
        if self.answer is not None:
            return State.ANSWERED
        if self.parts:
            return State.HEAD if len(self.parts) > 1 else State.BODY
        live = self.live
        match live:
            case []:
                return self._state_without_attempt()
            case [attempt]:
                return self._state_of(attempt, now)
        return State.REPLACED

    def _state_without_attempt(self) -> State:
        if self.earlier is not None and self.earlier.in_progress:
            return State.QUEUED
        if self.is_stream and any(each.started for each in self.attempts):
            return State.BETWEEN
        may_have_run = any(not each.refused for each in self.attempts)
        return State.PASSED_ON if may_have_run else State.WAITING

    def _state_of(self, attempt: held_endpoints.Attempt, now: float) -> State:
        if now - attempt.active_at >= SILENT_SECONDS:
            return State.SILENT
        if not self.is_stream:
            return State.PASSED_ON
        if attempt.next_event > 1:
            return State.STREAMING
        return State.STREAM_BEGUN if attempt.started else State.PASSED_ON

    def visit(self, event: Event, now: float) -> None:
        """Notes that an event comes in the present state."""
        self.visited.add(Position(self.state(now), event))

    def judge(self, runs: int) -> list[Violation]:
        """Returns what is wrong with its end.

        Args:
            runs: how often endpoints ran it.
        """
        problems = list(self._judge_end(runs))
        if self.name == _ONCE_ONLY and runs > 1:
            problems.append(f"ran {runs} times")
        return [Violation(self.name, each) for each in problems]

    def _judge_end(self, runs: int):
        match self.answer:
            case _ if self.left:
                return
            case None:
                yield "has no end"
            case callers.Answer(status=0):
                yield from self._judge_missing()
            case callers.Answer(whole=False):
                yield from self._judge_cut()
            case callers.Answer(status=status) if status == SUCCESS:
                yield from self._judge_success(runs)
            case callers.Answer(status=status):
                yield from self._judge_error(status, runs)

    def _judge_missing(self):
        if not self.read_whole or self.crossed or self._is_behind_cut:
            return
        if not self._excuse(request_life.Dropped):
            yield "ends without an answer"

    def _judge_cut(self):
        if not self._excuse(request_life.Cut):
            yield "has a cut answer"

    def _judge_success(self, runs: int):
        if runs == 0:
            yield "is answered, but did not run"
        if self.answer.body != held_endpoints.whole_body(self.is_stream):
            yield f"has the body {self.answer.body!r}"

    def _judge_error(self, status: int, runs: int):
        if status in NOT_RUN_STATUSES and runs:
            yield f"is refused with {status}, but ran {runs} times"
        if status in NO_SLOT_STATUSES:
            position = Position(State.WAITING, Event.SLOT_REFUSED)
            self.visited.add(position)
            self.excused_by.add(position)
        elif not self._excuse_status(status):
            yield f"is answered with {status}, which no cell allows"

    def _excuse(self, kind: type) -> bool:
        return self._excuse_if(lambda ending: isinstance(ending, kind))

    def _excuse_status(self, status: int) -> bool:
        return self._excuse_if(
            lambda ending: (
                isinstance(ending, request_life.Answered)
                and status in ending.statuses
            )
        )

    def _excuse_if(self, allows) -> bool:
        self.excused_by |= {
            position
            for position in self.visited
            if any(
                map(
                    allows,
                    request_life.endings(request_life.TABLE[position].outcome),
                )
            )
        }
        return bool(self.excused_by)
