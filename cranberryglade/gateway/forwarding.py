"""Brings each request of a caller to its one final answer."""

import asyncio
import itertools

from cranberryglade import log
from cranberryglade.gateway import admission
from cranberryglade.gateway import allocation
from cranberryglade.gateway import budgets
from cranberryglade.gateway import dialect
from cranberryglade.gateway import events
from cranberryglade.gateway import exchanges
from cranberryglade.gateway import messages
from cranberryglade.gateway import outbound
from cranberryglade.gateway import responding
from cranberryglade.gateway import sending
from cranberryglade.gateway import state

ANSWER_MARGIN_SECONDS = 0.03
LEAST_ATTEMPT_SECONDS = 0.05
SILENT_AIMS = 2.0
"""Silence before an answer, in aims, after which another endpoint is tried."""

SILENT_PAUSES = 3.0
"""Silence within a stream, in the longest pauses that are on time."""

AGAIN_SECONDS = 0.4

logger = log.get_logger(__name__)


class Forwarder:
    """Serves requests of callers."""

    __slots__ = (
        "_admission",
        "_allocator",
        "_budget",
        "_dialect",
        "_numbers",
        "_sender",
        "_state",
    )

    def __init__(
        self,
        known: state.State,
        words: dialect.Dialect,
        admitting: admission.Admission,
        allocator: allocation.Allocator,
        budget: budgets.RetryBudget,
        sender: sending.Sender,
    ):
        self._state = known
        self._dialect = words
        self._admission = admitting
        self._allocator = allocator
        self._budget = budget
        self._sender = sender
        self._numbers = itertools.count()

    async def handle(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        """Serves one request; never raises but when it is cancelled."""
        try:
            await self._handle(request, responder)
        except responding.CallerGoneError:
            self._state.metrics.ended("caller_gone", 0.0)
        except Exception:
            logger.exception("request.fault")
            responder.abort()

    async def _handle(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        try:
            facts = self._dialect.facts(request)
        except dialect.UnreadableRequestError as error:
            logger.info("request.unreadable", reason=str(error))
            responder.whole(400, [], str(error).encode())
            return
        decided = self._admission.decide(
            facts, self._state.catalogue, self._state.steady_now()
        )
        match decided:
            case admission.Rejected():
                self._reject(facts, responder, decided)
            case admission.Admitted():
                await self._serve(request, facts, decided, responder)

    async def _serve(
        self,
        request: messages.Request,
        facts: messages.Facts,
        admitted: admission.Admitted,
        responder: responding.Responder,
    ) -> None:
        self._budget.first(admitted.service, asyncio.get_running_loop().time())
        exchange = exchanges.Exchange(
            request=request,
            facts=facts,
            admitted=admitted,
            responder=responder,
            deadline=request.arrived + admitted.seconds,
            arrived=request.arrived,
            cutter=events.EventCutter(facts.last_event),
        )
        try:
            due = exchange.deadline - ANSWER_MARGIN_SECONDS
            async with asyncio.timeout_at(due):
                ended = await self._attempts(exchange)
        except TimeoutError:
            ended = self._give_up(exchange, 504, "timeout")
        except responding.CallerGoneError:
            ended = exchanges.Ended(0, "caller_gone")
        except asyncio.CancelledError:
            self._report(exchange, exchanges.Ended(0, "caller_gone"))
            raise
        self._report(exchange, ended)

    async def _attempts(self, exchange: exchanges.Exchange) -> exchanges.Ended:
        while True:
            need = self._need(exchange)
            exchange.asked = True
            started = asyncio.get_running_loop().time()
            decision = await self._allocator.acquire(need)
            exchange.waited += asyncio.get_running_loop().time() - started
            match decision:
                case messages.Denied():
                    return self._denied(exchange, decision)
                case messages.Granted(endpoint=name):
                    ended = await self._attempt(exchange, need, name)
            if ended is not None:
                return ended

    def _denied(
        self, exchange: exchanges.Exchange, denied: messages.Denied
    ) -> exchanges.Ended:
        after = denied.retry_after_seconds
        logger.info(
            "request.denied",
            id=exchange.facts.id,
            reason=denied.reason,
            retry_after_ms=round(after * 1000),
            waiting=denied.waiting,
            rank=exchange.admitted.rank,
            cost=exchange.admitted.cost,
        )
        status = 429 if denied.reason == messages.OVER_QUOTA else 502
        return self._give_up(exchange, status, denied.reason, after)

    async def _attempt(
        self, exchange: exchanges.Exchange, need: messages.Need, name: str
    ) -> exchanges.Ended | None:
        outcome = messages.Outcome.ABANDONED
        try:
            endpoint = self._state.endpoints.get(name)
            if endpoint is None or endpoint.leaving:
                exchange.tried.append(name)
                return None
            result = await self._send(exchange, endpoint)
            outcome, ended = await self._judge(exchange, endpoint, result)
            return ended
        finally:
            self._allocator.release(need.id, outcome)
            if outcome is not messages.Outcome.SERVED:
                logger.info(
                    "attempt.ended",
                    id=exchange.facts.id,
                    endpoint=name,
                    outcome=outcome.value,
                    left_ms=round(exchange.left * 1000),
                )

    async def _send(
        self, exchange: exchanges.Exchange, endpoint: messages.Endpoint
    ) -> sending.Result:
        admitted = exchange.admitted
        kind = admitted.route.kind
        holder = admitted.organisation
        exchange.sends.append(endpoint.id)
        exchange.tried.append(endpoint.id)
        order = dialect.Order(
            endpoint=endpoint.id,
            organisation=holder.name if holder else "",
            seconds_left=exchange.left,
            last_event=exchange.cutter.last_id,
        )
        exchange.sent = True
        result = await self._sender.send(
            exchange.request,
            endpoint,
            order,
            exchange.facts,
            kind.repeatable,
            kind.streams,
            self._patience(exchange, SILENT_AIMS * admitted.route.aim_seconds),
        )
        exchange.sent = False
        return result

    async def _judge(
        self,
        exchange: exchanges.Exchange,
        endpoint: messages.Endpoint,
        result: sending.Result,
    ) -> tuple[messages.Outcome, exchanges.Ended | None]:
        match result:
            case sending.Opened():
                return await self._relay(exchange, endpoint, result)
            case sending.Answer(outcome=messages.Outcome.SERVED):
                return result.outcome, self._pass_on(exchange, result)
            case sending.Answer():
                exchange.ran = True
                exchange.spare = result
                return result.outcome, self._after(exchange, "failed")
            case sending.Missed(outcome, reason):
                if outcome is messages.Outcome.UNREACHABLE:
                    exchange.sends.pop()
                elif not outcome.unsent:
                    exchange.ran = True
                return outcome, self._after(exchange, reason)

    async def _relay(
        self,
        exchange: exchanges.Exchange,
        endpoint: messages.Endpoint,
        opened: sending.Opened,
    ) -> tuple[messages.Outcome, exchanges.Ended | None]:
        exchange.ran = True
        responder = exchange.responder
        try:
            if not responder.started:
                headers = self._dialect.passed_on(opened.head)
                head = opened.head
                responder.start(head.status, head.reason, headers, None)
            lost = await self._events(exchange, opened.channel)
        except BaseException:
            opened.channel.abort()
            raise
        if lost:
            opened.channel.abort()
            exchange.cutter.restart()
            return messages.Outcome.LOST, self._after(exchange, lost)
        self._sender.keep(endpoint, opened.channel)
        responder.finish()
        return messages.Outcome.SERVED, exchanges.Ended(
            opened.head.status, "served"
        )

    async def _events(
        self, exchange: exchanges.Exchange, channel: outbound.Channel
    ) -> str:
        """Passes events on; returns why the stream broke off, or ""."""
        cutter = exchange.cutter
        pause = exchange.admitted.route.pause_seconds
        patience = self._patience(exchange, SILENT_PAUSES * pause)
        while True:
            try:
                async with asyncio.timeout(patience):
                    event = await channel.next()
            except TimeoutError:
                return "stream silent"
            match event:
                case outbound.Data(data):
                    await exchange.responder.send(cutter.feed(data))
                case outbound.End():
                    await exchange.responder.send(cutter.pending)
                    return ""
                case outbound.Lost(reason):
                    return f"stream {reason}"
                case dialect.AnswerHead():
                    return "stream torn"

    def _patience(
        self, exchange: exchanges.Exchange, seconds: float
    ) -> float | None:
        """How long an endpoint may be silent while another one could run it.

        Load pattern: endpoints that take requests and answer none of them,
        although their health is good.
        """
        route = exchange.admitted.route
        last = len(exchange.sends) >= route.attempts
        return None if last or not route.kind.repeatable else seconds

    def _after(
        self, exchange: exchanges.Exchange, reason: str
    ) -> exchanges.Ended | None:
        """Decides whether another attempt follows; None if so."""
        route = exchange.admitted.route
        repeatable = route.kind.repeatable or not exchange.may_have_run
        now = asyncio.get_running_loop().time()
        if (
            repeatable
            and len(exchange.sends) < route.attempts
            and exchange.left > LEAST_ATTEMPT_SECONDS
            and self._may_repeat(exchange, now)
        ):
            logger.info("request.again", id=exchange.facts.id, reason=reason)
            return None
        return self._give_up(exchange, 502, reason)

    def _may_repeat(self, exchange: exchanges.Exchange, now: float) -> bool:
        if not exchange.sends:
            return True
        share = self._state.share
        return self._budget.spend(exchange.admitted.service, share, now)

    def _give_up(
        self,
        exchange: exchanges.Exchange,
        status: int,
        reason: str,
        retry_after: float = AGAIN_SECONDS,
    ) -> exchanges.Ended:
        responder = exchange.responder
        if responder.started:
            responder.abort()
            return exchanges.Ended(0, reason)
        if exchange.spare is not None:
            return self._pass_on(exchange, exchange.spare)
        headers = self._dialect.marks(exchange.facts)
        if not exchange.may_have_run:
            status = 429 if status == 429 else 503
            headers.append(retry_header(retry_after))
        responder.whole(status, headers, reason.encode())
        return exchanges.Ended(status, reason)

    def _pass_on(
        self, exchange: exchanges.Exchange, answer: sending.Answer
    ) -> exchanges.Ended:
        headers = self._dialect.passed_on(answer.head)
        exchange.responder.whole(
            answer.head.status, headers, answer.body, answer.head.reason
        )
        return exchanges.Ended(answer.head.status, answer.outcome.value)

    def _need(self, exchange: exchanges.Exchange) -> messages.Need:
        admitted = exchange.admitted
        facts = exchange.facts
        holder = admitted.organisation
        return messages.Need(
            id=f"{self._state.incarnation}.{next(self._numbers)}",
            service=admitted.service,
            rank=admitted.rank,
            kind=admitted.route.kind,
            prompt_tokens=facts.prompt_tokens,
            output_tokens=min(facts.expected_tokens, facts.output_tokens),
            until=exchange.arrived + admitted.wait_seconds,
            aim=exchange.arrived + admitted.route.aim_seconds,
            avoid=tuple(exchange.tried),
            organisation=holder.name if holder else "",
            cost=0.0 if exchange.asked else admitted.cost,
        )

    def _reject(
        self,
        facts: messages.Facts,
        responder: responding.Responder,
        rejected: admission.Rejected,
    ) -> None:
        headers = self._dialect.marks(facts)
        if rejected.retry_after_seconds is not None:
            headers.append(retry_header(rejected.retry_after_seconds))
        responder.whole(rejected.status, headers, rejected.reason.encode())
        self._state.metrics.ended(rejected.reason, 0.0)
        logger.info(
            "request.rejected",
            id=facts.id,
            status=rejected.status,
            reason=rejected.reason,
            **self._state.versions(),
        )

    def _report(
        self, exchange: exchanges.Exchange, ended: exchanges.Ended
    ) -> None:
        took = asyncio.get_running_loop().time() - exchange.arrived
        self._state.metrics.ended(ended.reason, took)
        holder = exchange.admitted.organisation
        logger.info(
            "request.ended",
            id=exchange.facts.id,
            route=exchange.admitted.route.name,
            organisation=holder.name if holder else "",
            status=ended.status,
            reason=ended.reason,
            endpoints=exchange.sends,
            waited_ms=round(exchange.waited * 1000),
            took_ms=round(took * 1000),
            **self._state.versions(),
        )


def retry_header(seconds: float) -> messages.Header:
    """Tells a caller when to come back, in fractions of a second."""
    return messages.Header(b"Retry-After", b"%.2f" % seconds)
