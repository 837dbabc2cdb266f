"""Forwards requests to endpoints, retries them, and answers the callers."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import itertools

from cranberryglade import crash_evidence
from cranberryglade import log
from cranberryglade.gateway import admission
from cranberryglade.gateway import allocation
from cranberryglade.gateway import budgets
from cranberryglade.gateway import configuration
from cranberryglade.gateway import dialect
from cranberryglade.gateway import endpoint_pauses
from cranberryglade.gateway import event_streams
from cranberryglade.gateway import exchanges
from cranberryglade.gateway import http_fields
from cranberryglade.gateway import messages
from cranberryglade.gateway import origin_sharing
from cranberryglade.gateway import request_digests
from cranberryglade.gateway import responding
from cranberryglade.gateway import sending
from cranberryglade.gateway import state
from cranberryglade.gateway import stream_relaying

ANSWER_MARGIN_SECONDS = 0.03
"""Time before a request's deadline at which a timeout is answered."""

MIN_ATTEMPT_SECONDS = 0.05
"""Time left to the deadline at or below which no further attempt is made."""

ATTEMPT_TIMEOUT_FACTOR = 2.0
"""Timeout of an attempt that can be retried, in target latencies."""

MAX_CRASHES_PER_REQUEST = 2
"""Endpoint crashes under one request after which it is not sent again."""

DEFAULT_RETRY_AFTER_SECONDS = 0.4
"""Default of the Retry-After header."""

STOPPING_RETRY_AFTER_SECONDS = 0.0
"""Retry-After of an instance that shuts down: the other instances serve."""

STOPPING = "stopping"
"""Reason of requests that a shutdown refuses or ends."""

logger = log.get_logger(__name__)


class Forwarder:
    """Serves requests of callers by attempts at one endpoint after another."""

    __slots__ = (
        "_admission",
        "_allocator",
        "_budget",
        "_dialect",
        "_origins",
        "_pauses",
        "_relay",
        "_request_numbers",
        "_running",
        "_sender",
        "_state",
    )

    def __init__(
        self,
        shared: state.InstanceState,
        translator: dialect.Dialect,
        admission_control: admission.Admission,
        allocator: allocation.Allocator,
        budget: budgets.RetryBudget,
        sender: sending.Sender,
        origins: origin_sharing.OriginSharing,
        pauses: endpoint_pauses.EndpointPauses,
    ):
        self._state = shared
        self._dialect = translator
        self._admission = admission_control
        self._allocator = allocator
        self._budget = budget
        self._sender = sender
        self._origins = origins
        self._pauses = pauses
        self._relay = stream_relaying.StreamRelay(origins)
        self._request_numbers = itertools.count()
        self._running: set[asyncio.Timeout] = set()

    async def handle(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        """Serves one request.

        Unexpected errors are logged and answered with 502, which does not say
        whether the request has run; nothing is raised other than
        CancelledError.

        Args:
            request: the request as it was read.
            responder: writes the answer.
        """
        try:
            await self._handle(request, responder)
        except responding.CallerGoneError:
            self._state.metrics.count_request("caller_gone", 0.0)
        except Exception:
            logger.exception("request.fault")
            self._state.metrics.count_event("request_fault")
            _answer_fault(responder)

    def end_all(self) -> None:
        """Ends the requests in progress, as the instance shuts down.

        They are answered when the loop runs next: those that have not run are
        refused, and those whose answer has begun are cut off.
        """
        now = asyncio.get_running_loop().time()
        for timeout in self._running:
            timeout.reschedule(now)

    async def _handle(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        try:
            facts = self._dialect.decode_request(request)
        except dialect.UnreadableRequestError as error:
            logger.info("request.unreadable", reason=str(error))
            responder.whole(400, [], str(error).encode())
            return
        admission_decision = self._admission.decide(
            facts, self._state.configuration, self._state.boottime_now()
        )
        match admission_decision:
            case admission.Rejected():
                self._reject(facts, responder, admission_decision)
            case admission.Admitted(timeout_seconds=seconds) if (
                not self._state.shutdown.accepts(
                    self._state.boottime_now(), seconds
                )
            ):
                rejected = admission.Rejected(
                    503, STOPPING, STOPPING_RETRY_AFTER_SECONDS
                )
                self._reject(facts, responder, rejected)
            case admission.Admitted():
                await self._serve(request, facts, admission_decision, responder)

    async def _serve(
        self,
        request: messages.Request,
        facts: messages.RequestMetadata,
        admitted: admission.Admitted,
        responder: responding.Responder,
    ) -> None:
        self._budget.record_request(
            admitted.service, asyncio.get_running_loop().time()
        )
        exchange = exchanges.Exchange(
            request=request,
            facts=facts,
            admitted=admitted,
            parts=crash_evidence.request_parts(
                facts.prompt_parts,
                request_digests.compute_digest(
                    request, facts, _organisation_name(admitted)
                ),
            ),
            responder=responder,
            deadline=request.arrived + admitted.timeout_seconds,
            arrived=request.arrived,
            splitter=event_streams.EventSplitter(facts.last_event_id),
        )
        try:
            latest = exchange.deadline - ANSWER_MARGIN_SECONDS
            async with self._end_by(latest):
                ended = await self._find_origin(exchange)
                if ended is None:
                    ended = await self._run_attempts(exchange)
        except TimeoutError:
            ended = self._give_up_late(exchange)
        except responding.CallerGoneError:
            ended = exchanges.RequestResult(0, "caller_gone")
        except asyncio.CancelledError:
            self._log_end(exchange, exchanges.RequestResult(0, "caller_gone"))
            raise
        self._log_end(exchange, ended)

    @contextlib.asynccontextmanager
    async def _end_by(self, latest: float) -> AsyncIterator[None]:
        """Raises TimeoutError at a time, or earlier in `end_all`."""
        async with asyncio.timeout_at(latest) as timeout:
            self._running.add(timeout)
            try:
                yield
            finally:
                self._running.discard(timeout)

    def _give_up_late(
        self, exchange: exchanges.Exchange
    ) -> exchanges.RequestResult:
        """Ends a request whose time is over, or whose instance shuts down."""
        if self._state.shutdown.has_ended(self._state.boottime_now()):
            return self._give_up(
                exchange, 502, STOPPING, STOPPING_RETRY_AFTER_SECONDS
            )
        return self._give_up(exchange, 504, "timeout")

    async def _find_origin(
        self, exchange: exchanges.Exchange
    ) -> exchanges.RequestResult | None:
        """Finds what began the stream that the caller resumes, if it does.

        Returns:
            None if the request may be sent; else how it ended.
        """
        facts = exchange.facts
        route = exchange.admitted.route
        resumes = facts.last_event_id or facts.resumed_attempt
        if not resumes or route.kind is not configuration.Kind.RESUMABLE:
            return None
        services = [each.service for each in route.service_weights]
        origin = await self._origins.find(facts.resumed_attempt, services)
        if origin is None:
            return self._give_up(exchange, 503, "origin_unknown")
        logger.info(
            "stream.resumed",
            id=facts.id,
            attempt=facts.resumed_attempt,
            service=origin.service,
            software_version=origin.software_version,
        )
        if origin.service not in services:
            return self._give_up(exchange, 503, "origin_not_on_route")
        exchange.origin = origin
        exchange.admitted = dataclasses.replace(
            exchange.admitted, service=origin.service
        )
        return None

    async def _run_attempts(
        self, exchange: exchanges.Exchange
    ) -> exchanges.RequestResult:
        while True:
            ended = self._refuse_quarantined(exchange)
            if ended is not None:
                return ended
            slot_request = self._build_slot_request(exchange)
            exchange.cost_submitted = True
            started = asyncio.get_running_loop().time()
            decision = await self._allocator.acquire(slot_request)
            exchange.waited_seconds += (
                asyncio.get_running_loop().time() - started
            )
            match decision:
                case messages.Denied():
                    return self._answer_denied(exchange, decision)
                case messages.Granted(endpoint=endpoint_id):
                    ended = await self._run_attempt(
                        exchange, slot_request, endpoint_id
                    )
            if ended is not None:
                return ended

    def _refuse_quarantined(
        self, exchange: exchanges.Exchange
    ) -> exchanges.RequestResult | None:
        """Ends a request that is quarantined, or that has such a part.

        Returns:
            How it ended; None if it may be sent.
        """
        now = asyncio.get_running_loop().time()
        entry = self._state.quarantine.find(exchange.parts, now)
        if entry is None:
            return None
        logger.info(
            "request.quarantined",
            id=exchange.facts.id,
            parts=entry.parts,
            ends_in_s=round(entry.until - now),
        )
        self._state.metrics.count_event("request_quarantined")
        return self._give_up(
            exchange, 502, messages.QUARANTINED, entry.until - now
        )

    def _answer_denied(
        self, exchange: exchanges.Exchange, denied: messages.Denied
    ) -> exchanges.RequestResult:
        retry_after = self._retry_after(exchange, denied)
        logger.info(
            "request.denied",
            id=exchange.facts.id,
            reason=denied.reason,
            retry_after_ms=round(retry_after * 1000),
            waiting=denied.waiting,
            rank=exchange.admitted.rank,
            cost=exchange.admitted.cost,
        )
        status = 429 if denied.reason == messages.OVER_QUOTA else 502
        return self._give_up(exchange, status, denied.reason, retry_after)

    def _retry_after(
        self, exchange: exchanges.Exchange, denied: messages.Denied
    ) -> float:
        """Returns the time after which there may be room, in seconds."""
        usable = (
            endpoint
            for endpoint in self._state.endpoints.values()
            if endpoint.service == exchange.admitted.service
            and exchange.may_be_sent_to(endpoint)
        )
        now = asyncio.get_running_loop().time()
        paused = self._pauses.seconds_left(usable, now)
        return max(denied.retry_after_seconds, paused or 0.0)

    def _may_send(
        self, exchange: exchanges.Exchange, endpoint: messages.Endpoint
    ) -> bool:
        now = asyncio.get_running_loop().time()
        if self._state.quarantine.find(exchange.parts, now) is not None:
            return False
        paused = self._pauses.is_paused(endpoint, now)
        return not paused and exchange.may_be_sent_to(endpoint)

    async def _run_attempt(
        self,
        exchange: exchanges.Exchange,
        slot_request: messages.SlotRequest,
        endpoint_id: str,
    ) -> exchanges.RequestResult | None:
        outcome = messages.Outcome.ABANDONED
        try:
            endpoint = self._state.endpoints.get(endpoint_id)
            if endpoint is None or not self._may_send(exchange, endpoint):
                exchange.excluded_endpoints.append(endpoint_id)
                return None
            result = await self._send(exchange, endpoint)
            outcome, ended = await self._handle_result(
                exchange, endpoint, result
            )
            return ended
        finally:
            self._allocator.release(slot_request, outcome)
            if outcome is not messages.Outcome.SERVED:
                logger.info(
                    "attempt.ended",
                    id=exchange.facts.id,
                    endpoint=endpoint_id,
                    outcome=outcome.value,
                    reason=exchange.failure,
                    left_ms=round(exchange.remaining_seconds * 1000),
                    prompt_parts=exchange.facts.prompt_parts,
                    digest=exchange.digest,
                    **exchange.answer_log_fields(),
                )

    async def _send(
        self, exchange: exchanges.Exchange, endpoint: messages.Endpoint
    ) -> sending.Result:
        admitted = exchange.admitted
        kind = admitted.route.kind
        exchange.attempted_endpoints.append(endpoint)
        exchange.excluded_endpoints.append(endpoint.id)
        added = dialect.AddedHeaders(
            endpoint=endpoint.id,
            organisation=_organisation_name(admitted),
            remaining_seconds=exchange.remaining_seconds,
            last_event_id=exchange.splitter.last_id,
        )
        exchange.attempt_in_progress = True
        exchange.answer_framing = None
        exchange.failure = ""
        if exchange.responder.started:
            exchange.splitter.begin_join()
        result = await self._sender.send(
            exchange.request,
            endpoint,
            added,
            exchange.facts,
            kind.retryable,
            kind.streams,
            exchange.attempt_timeout(
                ATTEMPT_TIMEOUT_FACTOR * admitted.route.target_latency_seconds
            ),
        )
        exchange.attempt_in_progress = False
        return result

    async def _handle_result(
        self,
        exchange: exchanges.Exchange,
        endpoint: messages.Endpoint,
        result: sending.Result,
    ) -> tuple[messages.Outcome, exchanges.RequestResult | None]:
        match result:
            case sending.StreamStarted():
                exchange.answer_framing = result.head.framing
                return await self._relay_stream(exchange, endpoint, result)
            case sending.Answer(outcome=messages.Outcome.SERVED):
                exchange.answer_framing = result.head.framing
                return result.outcome, self._relay_answer(exchange, result)
            case sending.Answer():
                exchange.earlier_attempt_may_have_run = True
                exchange.fallback_answer = result
                return result.outcome, self._retry_or_give_up(
                    exchange, "failed"
                )
            case sending.AttemptFailure(outcome, reason):
                if outcome is messages.Outcome.UNREACHABLE:
                    exchange.attempted_endpoints.pop()
                elif not outcome.not_run:
                    exchange.earlier_attempt_may_have_run = True
                    outcome = await self._explain_loss(exchange, endpoint)
                return outcome, self._retry_or_give_up(exchange, reason)

    async def _relay_stream(
        self,
        exchange: exchanges.Exchange,
        endpoint: messages.Endpoint,
        opened: sending.StreamStarted,
    ) -> tuple[messages.Outcome, exchanges.RequestResult | None]:
        exchange.earlier_attempt_may_have_run = True
        try:
            lost = self._begin_stream(exchange, opened.head)
            if not lost:
                lost = await self._relay.relay(
                    exchange, endpoint, opened.channel
                )
        except BaseException:
            opened.channel.abort()
            raise
        if lost:
            opened.channel.abort()
            outcome = await self._explain_loss(exchange, endpoint)
            return outcome, self._retry_or_give_up(exchange, lost)
        self._sender.put_back(endpoint, opened.channel)
        exchange.responder.finish()
        return messages.Outcome.SERVED, exchanges.RequestResult(
            opened.head.status, "served"
        )

    def _begin_stream(
        self, exchange: exchanges.Exchange, head: dialect.AnswerHead
    ) -> str:
        """Writes the head of a stream unless an earlier attempt's was written.

        Returns:
            Why the stream cannot go on in the caller's answer; "" if it can.
        """
        first = exchange.stream_head
        if first is None:
            exchange.stream_head = head
            headers = self._dialect.relayed_headers(head)
            exchange.responder.start(head.status, head.reason, headers, None)
            return ""
        if head.status != first.status:
            return f"stream goes on with status {head.status}"
        if _media_type(head) != _media_type(first):
            return "stream goes on as another media type"
        return ""

    async def _explain_loss(
        self, exchange: exchanges.Exchange, endpoint: messages.Endpoint
    ) -> messages.Outcome:
        """Returns how an attempt ended whose answer was lost."""
        if not await self._sender.has_ended(endpoint):
            return messages.Outcome.LOST
        exchange.crashes += 1
        return messages.Outcome.CRASHED

    def _retry_or_give_up(
        self, exchange: exchanges.Exchange, reason: str
    ) -> exchanges.RequestResult | None:
        """Decides after an attempt whether another one follows.

        Returns:
            None if another attempt follows; else how the request ended.
        """
        exchange.failure = reason
        route = exchange.admitted.route
        repeatable = route.kind.retryable or not exchange.may_have_run
        now = asyncio.get_running_loop().time()
        if (
            repeatable
            and exchange.splitter.resumable
            and exchange.crashes < MAX_CRASHES_PER_REQUEST
            and len(exchange.attempted_endpoints) < route.max_attempts
            and exchange.remaining_seconds > MIN_ATTEMPT_SECONDS
            and self._spend_retry(exchange, now)
        ):
            logger.info("request.again", id=exchange.facts.id, reason=reason)
            return None
        return self._give_up(exchange, 502, reason)

    def _spend_retry(self, exchange: exchanges.Exchange, now: float) -> bool:
        if not exchange.attempted_endpoints:
            return True
        share = self._state.limit_share
        return self._budget.try_spend(exchange.admitted.service, share, now)

    def _give_up(
        self,
        exchange: exchanges.Exchange,
        status: int,
        reason: str,
        retry_after: float = DEFAULT_RETRY_AFTER_SECONDS,
    ) -> exchanges.RequestResult:
        responder = exchange.responder
        if responder.started:
            responder.abort()
            return exchanges.RequestResult(0, reason)
        if exchange.fallback_answer is not None:
            return self._relay_answer(exchange, exchange.fallback_answer)
        headers = self._dialect.own_answer_headers(exchange.facts)
        if not exchange.may_have_run:
            status = 429 if status == 429 else 503
            headers.append(retry_after_header(retry_after))
        responder.whole(status, headers, reason.encode())
        return exchanges.RequestResult(status, reason)

    def _relay_answer(
        self, exchange: exchanges.Exchange, answer: sending.Answer
    ) -> exchanges.RequestResult:
        headers = self._dialect.relayed_headers(answer.head)
        exchange.responder.whole(
            answer.head.status, headers, answer.body, answer.head.reason
        )
        return exchanges.RequestResult(answer.head.status, answer.outcome.value)

    def _build_slot_request(
        self, exchange: exchanges.Exchange
    ) -> messages.SlotRequest:
        admitted = exchange.admitted
        facts = exchange.facts
        return messages.SlotRequest(
            id=f"{self._state.incarnation}.{next(self._request_numbers)}",
            service=admitted.service,
            rank=admitted.rank,
            kind=admitted.route.kind,
            prompt_tokens=facts.prompt_tokens,
            output_tokens=min(facts.expected_tokens, facts.output_tokens),
            wait_until=exchange.arrived + admitted.max_wait_seconds,
            first_answer_due=exchange.arrived
            + admitted.route.target_latency_seconds,
            excluded_endpoints=(
                *exchange.excluded_endpoints,
                *self._state.directory.announced,
                *self._pauses.paused_ids(
                    self._state.endpoints, asyncio.get_running_loop().time()
                ),
            ),
            organisation=_organisation_name(admitted),
            cost=0.0 if exchange.cost_submitted else admitted.cost,
            software_version=(
                exchange.origin.software_version if exchange.origin else None
            ),
            parts=exchange.parts,
        )

    def _reject(
        self,
        facts: messages.RequestMetadata,
        responder: responding.Responder,
        rejected: admission.Rejected,
    ) -> None:
        headers = self._dialect.own_answer_headers(facts)
        if rejected.retry_after_seconds is not None:
            headers.append(retry_after_header(rejected.retry_after_seconds))
        responder.whole(rejected.status, headers, rejected.reason.encode())
        self._state.metrics.count_request(rejected.reason, 0.0)
        logger.info(
            "request.rejected",
            id=facts.id,
            status=rejected.status,
            reason=rejected.reason,
            **self._state.log_fields(),
        )

    def _log_end(
        self, exchange: exchanges.Exchange, ended: exchanges.RequestResult
    ) -> None:
        took_seconds = asyncio.get_running_loop().time() - exchange.arrived
        self._state.metrics.count_request(ended.reason, took_seconds)
        attempted = exchange.attempted_endpoints
        logger.info(
            "request.ended",
            id=exchange.facts.id,
            route=exchange.admitted.route.name,
            organisation=_organisation_name(exchange.admitted),
            digest=exchange.digest,
            status=ended.status,
            reason=ended.reason,
            endpoints=[each.id for each in attempted],
            software_versions=[each.software_version for each in attempted],
            resumed_attempt=exchange.facts.resumed_attempt,
            resumed_after=exchange.facts.last_event_id,
            waited_ms=round(exchange.waited_seconds * 1000),
            took_ms=round(took_seconds * 1000),
            **exchange.answer_log_fields(),
            **self._state.log_fields(),
        )


def _answer_fault(responder: responding.Responder) -> None:
    """Answers a request that an unexpected error ended."""
    if responder.started:
        responder.abort()
        return
    # The caller may have left meanwhile.
    with contextlib.suppress(responding.CallerGoneError):
        responder.whole(502, [], b"internal error")


def _media_type(head: dialect.AnswerHead) -> bytes:
    return http_fields.media_type(head.headers)


def _organisation_name(admitted: admission.Admitted) -> str:
    return admitted.organisation.name if admitted.organisation else ""


def retry_after_header(seconds: float) -> messages.Header:
    """Returns a Retry-After header, in seconds with two decimals."""
    return messages.Header(b"Retry-After", b"%.2f" % seconds)
