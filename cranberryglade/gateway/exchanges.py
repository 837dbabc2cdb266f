"""State of a request from its admission to its final answer."""

import asyncio
import dataclasses

from cranberryglade.gateway import admission
from cranberryglade.gateway import dialect
from cranberryglade.gateway import event_streams
from cranberryglade.gateway import messages
from cranberryglade.gateway import responding
from cranberryglade.gateway import sending


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
        attempted_endpoints: the endpoints that it was sent to, in order.
        excluded_endpoints: ids of the endpoints that it must not be sent to
            again.
        cost_submitted: whether its cost was part of an earlier slot request.
        stream_head: head of the first stream, which the caller received; None
            before it.
        origin: what began its stream; None before the first event.
        attempt_in_progress: whether an attempt is in progress.
        earlier_attempt_may_have_run: whether an earlier attempt may have run.
        fallback_answer: the last failure answer, relayed if no later attempt
            succeeds.
        waited_seconds: seconds spent waiting for slots.
        failure: why the last attempt has no answer that can be relayed; "" if
            it has one.
        crashes: number of endpoints that crashed while they ran it.
        answer_framing: how the end of the last attempt's answer is marked;
            None if the attempt had no answer that can be relayed.
    """

    request: messages.Request
    facts: messages.RequestMetadata
    admitted: admission.Admitted
    parts: tuple[str, ...]
    responder: responding.Responder
    deadline: float
    arrived: float
    splitter: event_streams.EventSplitter
    attempted_endpoints: list[messages.Endpoint] = dataclasses.field(
        default_factory=list
    )
    excluded_endpoints: list[str] = dataclasses.field(default_factory=list)
    cost_submitted: bool = False
    stream_head: dialect.AnswerHead | None = None
    origin: messages.StreamOrigin | None = None
    attempt_in_progress: bool = False
    earlier_attempt_may_have_run: bool = False
    fallback_answer: sending.Answer | None = None
    waited_seconds: float = 0.0
    failure: str = ""
    crashes: int = 0
    answer_framing: dialect.Framing | None = None

    @property
    def digest(self) -> str:
        """Names what it asks for, as `request_digests` does."""
        return self.parts[-1]

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run it, or may still run it."""
        return self.attempt_in_progress or self.earlier_attempt_may_have_run

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the final answer is due."""
        return self.deadline - asyncio.get_running_loop().time()

    def attempt_timeout(self, seconds: float) -> float | None:
        """Returns the timeout of the current attempt.

        Guards against endpoints that accept requests and answer none of them
        although their health checks succeed.

        Args:
            seconds: the timeout if another attempt may follow.

        Returns:
            Seconds; None if the request may not be repeated or this is its
            last attempt, as only its deadline applies then.
        """
        route = self.admitted.route
        is_last = len(self.attempted_endpoints) >= route.max_attempts
        return None if is_last or not route.kind.retryable else seconds

    def may_be_sent_to(self, endpoint: messages.Endpoint) -> bool:
        """Returns whether an endpoint that was granted may still run it."""
        if endpoint.leaving:
            return False
        return self.origin is None or self.origin.admits(endpoint)

    def answer_log_fields(self) -> dict[str, str | int]:
        """Returns log fields: how the answer of the last attempt ended."""
        if self.answer_framing is None:
            return {}
        return {
            "framing": self.answer_framing.value,
            "last_event": self.splitter.last_id,
            "incomplete_event_bytes": len(self.splitter.pending),
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
