"""Forwards requests to endpoints, retries them, and answers the callers."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import math

from cranberryglade import crash_evidence
from cranberryglade import log
from cranberryglade.gateway import admission
from cranberryglade.gateway import allocation
from cranberryglade.gateway import attempts
from cranberryglade.gateway import budgets
from cranberryglade.gateway import configuration
from cranberryglade.gateway import dialect
from cranberryglade.gateway import endpoint_pauses
from cranberryglade.gateway import event_streams
from cranberryglade.gateway import exchanges
from cranberryglade.gateway import messages
from cranberryglade.gateway import origin_sharing
from cranberryglade.gateway import process_verification
from cranberryglade.gateway import replacing
from cranberryglade.gateway import request_digests
from cranberryglade.gateway import responding
from cranberryglade.gateway import sending
from cranberryglade.gateway import state
from cranberryglade.gateway import stream_relaying
from cranberryglade.hedging import control
from cranberryglade.hedging import options
from cranberryglade.hedging import records
from cranberryglade.preemption import yielding
from cranberryglade.warmup import waits

ANSWER_MARGIN_SECONDS = 0.03
"""Time before a request's deadline at which a timeout is answered, unless its
answer has begun."""

DEFAULT_RETRY_AFTER_SECONDS = 0.4
"""Default of the Retry-After header."""

STOPPING_RETRY_AFTER_SECONDS = 0.0
"""Retry-After of an instance that shuts down: the other instances serve."""

NO_WARMUP = waits.Warmup(-math.inf, 0.0)
"""Of an instance whose requests do not wait for its configuration."""

STOPPING = "stopping"
"""Reason of requests that a shutdown refuses or ends."""

logger = log.get_logger(__name__)


class Forwarder:
    """Serves requests of callers by attempts at one endpoint after another."""

    __slots__ = (
        "_admission",
        "_attempts",
        "_budget",
        "_dialect",
        "_hedges",
        "_origins",
        "_relay",
        "_replacer",
        "_running",
        "_sender",
        "_state",
        "_warmup",
        "_yielding",
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
        verifier: process_verification.ProcessVerifier,
        hedges: control.HedgeControl | None = None,
        warmup: waits.Warmup = NO_WARMUP,
    ):
        self._state = shared
        self._warmup = warmup
        self._dialect = translator
        self._admission = admission_control
        self._budget = budget
        self._sender = sender
        self._origins = origins
        self._hedges = hedges or control.HedgeControl(options.HedgingOptions())
        self._attempts = attempts.Attempts(
            shared,
            allocator,
            budget,
            sender,
            pauses,
            origins,
            verifier,
            self._hedges,
        )
        self._replacer = replacing.Replacer(
            self._attempts, self._hedges, records.HedgeRecords(shared.metrics)
        )
        self._relay = stream_relaying.StreamRelay(origins, self._replacer)
        self._yielding = yielding.Yielding(shared, self._attempts)
        self._running: set[asyncio.Timeout] = set()

    def yield_slot(self, id_: str) -> bool:
        """Asks an attempt to yield its slot; see `Yielding.ask`."""
        return self._yielding.ask(id_)

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
            # Those whose own time is over are ended already.
            if not timeout.expired():
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
        admission_decision = await self._admit(request, facts)
        now = asyncio.get_running_loop().time()
        match admission_decision:
            case admission.Rejected():
                self._reject(facts, responder, admission_decision)
            case admission.Admitted(timeout_seconds=seconds) if (
                not self._state.shutdown.accepts(now, seconds)
            ):
                rejected = admission.Rejected(
                    503, STOPPING, STOPPING_RETRY_AFTER_SECONDS
                )
                self._reject(facts, responder, rejected)
            case admission.Admitted():
                await self._serve(request, facts, admission_decision, responder)

    async def _admit(
        self, request: messages.Request, facts: messages.RequestMetadata
    ) -> admission.Admitted | admission.Rejected:
        """Decides on a request; waits while the instance starts."""
        now = asyncio.get_running_loop().time
        until = self._warmup.wait_until(request.arrived)
        waited = False
        while True:
            decision = self._admission.decide(
                facts, self._state.configuration, now()
            )
            match decision:
                case admission.Rejected(unconfirmed=True) if now() < until:
                    waited = True
                    await asyncio.sleep(waits.POLL_SECONDS)
                case _:
                    break
        if waited:
            self._log_warmup_wait(request, facts, decision)
        return decision

    def _log_warmup_wait(
        self,
        request: messages.Request,
        facts: messages.RequestMetadata,
        decision: admission.Admitted | admission.Rejected,
    ) -> None:
        waited_seconds = asyncio.get_running_loop().time() - request.arrived
        self._state.metrics.count_event("request_waited_for_start")
        logger.info(
            "request.waited_for_start",
            id=facts.id,
            admitted=isinstance(decision, admission.Admitted),
            waited_ms=round(waited_seconds * 1000),
        )

    async def _serve(
        self,
        request: messages.Request,
        facts: messages.RequestMetadata,
        admitted: admission.Admitted,
        responder: responding.Responder,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._budget.record_request(admitted.service, now)
        self._hedges.record_request(admitted.service, admitted.route.kind, now)
        exchange = exchanges.Exchange(
            request=request,
            facts=facts,
            admitted=admitted,
            parts=crash_evidence.request_parts(
                facts.prompt_parts,
                request_digests.compute_digest(
                    request, facts, admitted.organisation_name
                ),
            ),
            responder=responder,
            deadline=request.arrived + admitted.timeout_seconds,
            arrived=request.arrived,
            splitter=event_streams.EventSplitter(facts.last_event_id),
            version=self._state.version,
        )
        try:
            async with self._end_in_time(exchange):
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
    async def _end_in_time(
        self, exchange: exchanges.Exchange
    ) -> AsyncIterator[None]:
        """Raises TimeoutError when a request is to end, or in `end_all`."""
        latest = exchange.deadline - ANSWER_MARGIN_SECONDS
        async with asyncio.timeout_at(latest) as timeout:
            exchange.timeout = timeout
            self._running.add(timeout)
            try:
                yield
            finally:
                self._running.discard(timeout)

    def _use_all_time(self, exchange: exchanges.Exchange) -> None:
        """Lets an answer that has begun go on until its deadline.

        No timeout is answered after it, so nothing needs a margin.
        """
        now = asyncio.get_running_loop().time()
        timeout = exchange.timeout
        if not timeout.expired() and not self._state.shutdown.has_ended(now):
            timeout.reschedule(exchange.deadline)

    def _give_up_late(
        self, exchange: exchanges.Exchange
    ) -> exchanges.RequestResult:
        """Ends a request whose time is over, or whose instance shuts down."""
        now = asyncio.get_running_loop().time()
        if self._state.shutdown.has_ended(now):
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
            return self._give_up(exchange, 503, messages.ORIGIN_UNKNOWN)
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
        try:
            while True:
                attempt = exchange.take_replacement()
                if attempt is None:
                    begun = await self._begin_attempt(exchange)
                    if isinstance(begun, messages.Denied):
                        return self._answer_denied(exchange, begun)
                    attempt = begun
                ended = await self._run_attempt(exchange, attempt)
                if ended is not None:
                    return ended
        finally:
            self._attempts.drop_replacement(exchange)
            self._attempts.give_back(exchange)

    async def _begin_attempt(
        self, exchange: exchanges.Exchange
    ) -> exchanges.Attempt | messages.Denied:
        started = asyncio.get_running_loop().time()
        try:
            # An answer that has begun is not torn for want of a slot.
            # Nor is what has yielded its slot.
            return await self._attempts.begin(
                exchange, persistent=exchange.begun or exchange.yielded
            )
        finally:
            exchange.waited_seconds += (
                asyncio.get_running_loop().time() - started
            )

    def _answer_denied(
        self, exchange: exchanges.Exchange, denied: messages.Denied
    ) -> exchanges.RequestResult:
        if denied.reason == messages.QUARANTINED:
            self._record_quarantined(exchange, denied)
            return self._give_up(
                exchange, 502, denied.reason, denied.retry_after_seconds
            )
        retry_after = max(
            denied.retry_after_seconds,
            self._attempts.paused_seconds(exchange) or 0.0,
        )
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

    def _record_quarantined(
        self, exchange: exchanges.Exchange, denied: messages.Denied
    ) -> None:
        now = asyncio.get_running_loop().time()
        entry = self._state.quarantine.find(exchange.parts, now)
        logger.info(
            "request.quarantined",
            id=exchange.facts.id,
            parts=entry.parts if entry is not None else (),
            ends_in_s=round(denied.retry_after_seconds),
        )
        self._state.metrics.count_event("request_quarantined")

    async def _run_attempt(
        self, exchange: exchanges.Exchange, attempt: exchanges.Attempt
    ) -> exchanges.RequestResult | None:
        outcome = messages.Outcome.ABANDONED
        exchange.make_current(attempt)
        try:
            with self._yielding.watch(exchange, attempt):
                result = await self._replacer.wait(
                    exchange,
                    attempt.endpoint,
                    lambda: asyncio.shield(attempt.opening),
                    exchange.goes_on_with,
                    attempt,
                )
                outcome, ended = await self._handle_result(
                    exchange, attempt, result
                )
                return ended
        except exchanges.YieldedError:
            attempt.failure = "yielded"
            await self._attempts.stop(attempt)
            self._yielding.record_yielded(exchange, attempt)
            return None
        finally:
            self._attempts.end(exchange, attempt, outcome)

    async def _handle_result(
        self,
        exchange: exchanges.Exchange,
        attempt: exchanges.Attempt,
        result: sending.Result | None,
    ) -> tuple[messages.Outcome, exchanges.RequestResult | None]:
        match result:
            case None:
                return await self._replace_silent(exchange, attempt)
            case sending.StreamStarted():
                exchange.answer_framing = result.head.framing
                return await self._relay_stream(exchange, attempt, result)
            case sending.Answer(outcome=messages.Outcome.SERVED):
                exchange.answer_framing = result.head.framing
                return await self._relay_served(exchange, attempt, result)
        outcome = await self._attempts.settle(exchange, attempt, result)
        reason = attempt.failure or outcome.value
        return outcome, self._retry_or_give_up(exchange, attempt, reason)

    async def _replace_silent(
        self, exchange: exchanges.Exchange, attempt: exchanges.Attempt
    ) -> tuple[messages.Outcome, exchanges.RequestResult | None]:
        other = exchange.replacement
        if other is not None and other.is_hedge:
            outcome = self._attempts.give_up_late(exchange, attempt)
        else:
            outcome = await self._attempts.give_up_silent(exchange, attempt)
        return outcome, self._retry_or_give_up(
            exchange, attempt, attempt.failure
        )

    async def _relay_served(
        self,
        exchange: exchanges.Exchange,
        attempt: exchanges.Attempt,
        answer: sending.Answer,
    ) -> tuple[messages.Outcome, exchanges.RequestResult | None]:
        doubt = await self._attempts.doubt_end(exchange, attempt.endpoint)
        if doubt:
            exchange.earlier_attempt_may_have_run = True
            outcome = await self._attempts.explain_loss(exchange, attempt)
            return outcome, self._retry_or_give_up(exchange, attempt, doubt)
        return answer.outcome, self._relay_answer(exchange, answer)

    async def _relay_stream(
        self,
        exchange: exchanges.Exchange,
        attempt: exchanges.Attempt,
        opened: sending.StreamStarted,
    ) -> tuple[messages.Outcome, exchanges.RequestResult | None]:
        exchange.earlier_attempt_may_have_run = True
        exchange.process_is_certain = opened.process_is_certain
        lost = self._begin_stream(exchange, opened.head)
        if not lost:
            exchange.open_stream(attempt, opened)
            lost = await self._relay.relay(
                exchange, attempt.endpoint, attempt.stream
            )
        if not lost:
            lost = await self._attempts.doubt_end(exchange, attempt.endpoint)
        if lost == stream_relaying.SILENT:
            return await self._replace_silent(exchange, attempt)
        if lost:
            opened.channel.abort()
            outcome = await self._attempts.explain_loss(exchange, attempt)
            if not await self._attempts.verify_origin(exchange):
                attempt.failure = lost
                return outcome, self._give_up(
                    exchange, 502, messages.ORIGIN_UNKNOWN
                )
            return outcome, self._retry_or_give_up(exchange, attempt, lost)
        self._sender.put_back(attempt.endpoint, opened.channel)
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
        if exchange.stream_head is None:
            exchange.stream_head = head
            headers = self._dialect.relayed_headers(head)
            exchange.responder.start(head.status, head.reason, headers, None)
            self._use_all_time(exchange)
        return exchange.find_mismatch(head)

    def _retry_or_give_up(
        self,
        exchange: exchanges.Exchange,
        attempt: exchanges.Attempt,
        reason: str,
    ) -> exchanges.RequestResult | None:
        """Decides after an attempt whether another one follows.

        Returns:
            None if another attempt follows; else how the request ended.
        """
        attempt.failure = reason
        if exchange.replacement is None:
            refusal = self._attempts.reserve(exchange)
            if refusal is not None:
                return self._give_up(exchange, 502, reason)
        logger.info("request.again", id=exchange.facts.id, reason=reason)
        return None

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
        torn = {}
        if exchange.begun and not ended.status:
            torn = exchange.torn_log_fields(asyncio.get_running_loop().time())
        logger.info(
            "request.ended",
            id=exchange.facts.id,
            route=exchange.admitted.route.name,
            organisation=exchange.admitted.organisation_name,
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
            **torn,
            **self._state.log_fields(),
        )


def _answer_fault(responder: responding.Responder) -> None:
    """Answers a request that an unexpected error ended."""
    if responder.finished:
        return
    if responder.started:
        responder.abort()
        return
    # The caller may have left meanwhile.
    with contextlib.suppress(responding.CallerGoneError):
        responder.whole(502, [], b"internal error")


def retry_after_header(seconds: float) -> messages.Header:
    """Returns a Retry-After header, in seconds with two decimals."""
    return messages.Header(b"Retry-After", b"%.2f" % seconds)
