"""State of a request from its admission to its final answer."""

import asyncio
import dataclasses

from cranberryglade.gateway import admission
from cranberryglade.gateway import attempt_streams
from cranberryglade.gateway import dialect
from cranberryglade.gateway import event_streams
from cranberryglade.gateway import http_fields
from cranberryglade.gateway import messages
from cranberryglade.gateway import responding
from cranberryglade.gateway import sending
from cranberryglade.gateway import tentative_origins


class YieldedError(Exception):
    """The current attempt of a request is to yield its slot."""


class Attempt:
    """An attempt of a request at one endpoint.

    Attributes:
        endpoint: where it runs.
        slot_request: asked for its slot.
        opening: sends it; ends with its result, which for a stream is its head.
        sent: is resolved with the time at which it was sent, seconds of the
            loop's clock.
        in_progress: whether the request counts it as in progress.
        is_current: whether its answer is the one that is awaited or relayed;
            not so while it is to replace another.
        is_hedge: whether it was begun as the answer of another is late.
        retry_reserved_at: when its retry was taken from the budget, seconds of
            the loop's clock; None if it is no retry, or once it was sent.
        hedge_taken_at: when it was taken from the share of hedges, seconds of
            the loop's clock; None if it is no hedge.
        late_after_seconds: as in `messages.Granted`.
        failure: why it has no answer that can be relayed; "" if it has one.
        stream: its stream, once its head was received; None before.
        answered_at: when its answer was received whole, seconds of the loop's
            clock; None before, and for a stream.
    """

    __slots__ = (
        "answered_at",
        "endpoint",
        "failure",
        "in_progress",
        "is_current",
        "hedge_taken_at",
        "is_hedge",
        "late_after_seconds",
        "opening",
        "retry_reserved_at",
        "sent",
        "slot_request",
        "stream",
    )

    def __init__(
        self,
        endpoint: messages.Endpoint,
        slot_request: messages.SlotRequest,
        retry_reserved_at: float | None = None,
        is_hedge: bool = False,
        hedge_taken_at: float | None = None,
        late_after_seconds: float | None = None,
    ):
        """Creates an attempt; `opening` must be set before use."""
        self.endpoint = endpoint
        self.slot_request = slot_request
        self.retry_reserved_at = retry_reserved_at
        self.opening: asyncio.Task[sending.Result] | None = None
        self.sent: asyncio.Future[float] = (
            asyncio.get_running_loop().create_future()
        )
        self.in_progress = True
        self.is_current = False
        self.is_hedge = is_hedge
        self.hedge_taken_at = hedge_taken_at
        self.late_after_seconds = late_after_seconds
        self.failure = ""
        self.stream: attempt_streams.AttemptStream | None = None
        self.answered_at: float | None = None

    @property
    def first_answer_seconds(self) -> float | None:
        """Seconds from its sending to its answer, or its stream's first events.

        None if it has none.
        """
        at = self.answered_at
        if self.stream is not None:
            at = self.stream.first_events_at
        if at is None or not self.sent.done():
            return None
        return at - self.sent.result()

    def record_sent(self) -> None:
        """Records that the request was sent now."""
        self.sent.set_result(asyncio.get_running_loop().time())

    def take_retry(self) -> float | None:
        """Returns when its retry was taken from the budget, and forgets it."""
        reserved_at, self.retry_reserved_at = self.retry_reserved_at, None
        return reserved_at

    def stop(self) -> None:
        """Stops it; its connection is closed."""
        if not self.opening.done():
            self.opening.cancel()
            return
        if self.opening.cancelled() or self.opening.exception() is not None:
            return
        match self.opening.result():
            case sending.StreamStarted(channel=channel):
                channel.abort()


def is_answer(result: sending.Result) -> bool:
    """Returns whether the result of an attempt can be relayed as a success."""
    match result:
        case sending.StreamStarted():
            return True
        case sending.Answer(outcome=outcome):
            return outcome is messages.Outcome.SERVED
    return False


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request in progress.

    Attributes:
        request: the request as it was read.
        facts: its decoded headers.
        admitted: its route, organisation, rank and cost.
        parts: what it has in common with others, as in `crash_evidence`; its
            own digest is the last.
        responder: writes its answer.
        deadline: when its final answer is due, seconds of the loop's clock.
        arrived: when its last byte was read, seconds of the loop's clock.
        splitter: splits its stream into whole events.
        timeout: ends it at a time; None before it is served.
        attempted_endpoints: the endpoints that it was sent to, in order.
        excluded_endpoints: ids of the endpoints that it must not be sent to
            again.
        cost_submitted: whether its cost was part of an earlier slot request.
        hedge_taken_at: when a hedge was taken from its share that no attempt
            has yet, seconds of the loop's clock; None if there is none.
        hedge_is_common: whether the hedge is one of the share that the
            allocator holds.
        stream_head: head of the first stream, which the caller received; None
            before it.
        origin: what began its stream; None before the first event.
        attempts_in_progress: number of attempts in progress; two while a silent
            one is being replaced.
        process_is_certain: whether the last stream certainly came from the
            listed process of its endpoint.
        tentative: what that origin rests on if another process than the listed
            one may have begun the stream; None if that is excluded.
        earlier_attempt_may_have_run: whether an earlier attempt may have run.
        fallback_answer: the last failure answer, relayed if no later attempt
            succeeds.
        waited_seconds: seconds spent waiting for slots.
        refusal: why no further attempt was made when one was last considered;
            "" if one was.
        retry_reserved_at: when a retry was taken from the budget that no
            attempt has yet, seconds of the loop's clock.
        replacement: the attempt that is to replace a silent one, and goes on
            when the current one ends.
        last_received_at: when the last part of its answer arrived, or the
            request if there is none, seconds of the loop's clock.
        version: version of the configuration at its start.
        crashes: number of endpoints that crashed while they ran it.
        answer_framing: how the end of the last attempt's answer is marked;
            None if the attempt had no answer that can be relayed.
        receiving: ends the wait for its endpoint; None unless it waits.
        yield_requested: whether its current attempt is to yield its slot.
        yielded: whether one was asked to and agreed.
    """

    request: messages.Request
    facts: messages.RequestMetadata
    admitted: admission.Admitted
    parts: tuple[str, ...]
    responder: responding.Responder
    deadline: float
    arrived: float
    splitter: event_streams.EventSplitter
    timeout: asyncio.Timeout | None = None
    attempted_endpoints: list[messages.Endpoint] = dataclasses.field(
        default_factory=list
    )
    excluded_endpoints: list[str] = dataclasses.field(default_factory=list)
    cost_submitted: bool = False
    hedge_taken_at: float | None = None
    hedge_is_common: bool = False
    stream_head: dialect.AnswerHead | None = None
    origin: messages.StreamOrigin | None = None
    attempts_in_progress: int = 0
    process_is_certain: bool = False
    tentative: tentative_origins.TentativeOrigin | None = None
    earlier_attempt_may_have_run: bool = False
    fallback_answer: sending.Answer | None = None
    waited_seconds: float = 0.0
    refusal: str = ""
    retry_reserved_at: float | None = None
    replacement: Attempt | None = None
    last_received_at: float = dataclasses.field(init=False)
    version: int = 0
    crashes: int = 0
    answer_framing: dialect.Framing | None = None
    receiving: asyncio.Timeout | None = None
    yield_requested: bool = False
    yielded: bool = False

    def __post_init__(self):
        """Counts its silence from its arrival."""
        self.last_received_at = self.arrived

    @property
    def begun(self) -> bool:
        """Whether the caller has got the beginning of its answer."""
        return self.responder.started

    @property
    def digest(self) -> str:
        """Names what it asks for, as `request_digests` does."""
        return self.parts[-1]

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run it, or may still run it."""
        return (
            self.attempts_in_progress > 0 or self.earlier_attempt_may_have_run
        )

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the final answer is due."""
        return self.deadline - asyncio.get_running_loop().time()

    @property
    def awaits_endpoint(self) -> bool:
        """Whether it waits for its endpoint, and nothing else goes on."""
        return self.receiving is not None and not self.receiving.expired()

    def request_yield(self) -> None:
        """Ends the wait for its endpoint, with YieldedError."""
        self.yield_requested = True
        self.receiving.reschedule(asyncio.get_running_loop().time())

    def take_replacement(self) -> Attempt | None:
        """Returns the attempt that is to go on, if any, and forgets it."""
        attempt, self.replacement = self.replacement, None
        return attempt

    def open_stream(
        self, attempt: Attempt, opened: sending.StreamStarted
    ) -> None:
        """Makes the stream of an attempt whose head was received.

        That of one beside the current attempt goes on after the same event.
        """
        if attempt.stream is not None:
            return
        splitter = self.splitter
        if not attempt.is_current:
            splitter = splitter.fork()
            self._begin_join(splitter)
        attempt.stream = attempt_streams.AttemptStream(opened, splitter)

    def make_current(self, attempt: Attempt) -> None:
        """Makes an attempt the one whose answer is awaited or relayed."""
        attempt.is_current = True
        if attempt.stream is not None:
            self.splitter = attempt.stream.splitter
        else:
            self._begin_join(self.splitter)
        self.answer_framing = None

    def _begin_join(self, splitter: event_streams.EventSplitter) -> None:
        if self.begun:
            # The end of a stream with a length is that of its last event.
            bytes_left = self.answer_framing is dialect.Framing.LENGTH
            splitter.begin_join(bytes_left)

    def may_be_sent_to(self, endpoint: messages.Endpoint) -> bool:
        """Returns whether an endpoint that was granted may still run it."""
        if endpoint.leaving:
            return False
        return self.origin is None or self.origin.admits(endpoint)

    def goes_on_with(self, result: sending.Result) -> bool:
        """Returns whether the result of a further attempt can be relayed."""
        if not is_answer(result):
            return False
        match result:
            case sending.StreamStarted(head=head):
                return not self.find_mismatch(head)
        return True

    def find_mismatch(self, head: dialect.AnswerHead) -> str:
        """Returns why a stream cannot go on in the caller's answer.

        Args:
            head: head of the stream.

        Returns:
            Why; "" if it can.
        """
        first = self.stream_head
        if first is None:
            return ""
        if head.status != first.status:
            return f"stream goes on with status {head.status}"
        media_type = http_fields.media_type(head.headers)
        if media_type != http_fields.media_type(first.headers):
            return "stream goes on as another media type"
        return ""

    def answer_log_fields(self) -> dict[str, str | int]:
        """Returns log fields: how the answer of the last attempt ended."""
        if self.answer_framing is None:
            return {}
        return {
            "framing": self.answer_framing.value,
            "last_event": self.splitter.last_id,
            "incomplete_event_bytes": len(self.splitter.pending),
        }

    def torn_log_fields(self, now: float) -> dict[str, str | int]:
        """Returns log fields on an answer that was begun and not ended."""
        return {
            "silent_ms": round((now - self.last_received_at) * 1000),
            "begun_at_version": self.version,
            "refusal": self.refusal,
        }


@dataclasses.dataclass(slots=True, frozen=True)
class RequestResult:
    """How a request ended.

    Attributes:
        status: HTTP status of the answer; 0 if the connection was closed
            without a whole answer.
        reason: why, for logs and metrics.
    """

    status: int
    reason: str
