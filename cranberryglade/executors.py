"""Carries out what the scheduler core decides."""

from __future__ import annotations

import asyncio

from cranberryglade import claimants
from cranberryglade import endpoints
from cranberryglade import exchanges
from cranberryglade import facts
from cranberryglade import forwarding
from cranberryglade import log
from cranberryglade import metrics
from cranberryglade import peers
from cranberryglade import streams
from cranberryglade import submissions
from cranberryglade import tracing
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler

logger = log.get_logger(__name__)


class Executor:
    """Feeds events to the core and turns its actions into I/O."""

    __slots__ = (
        "_claimant",
        "_client",
        "_exchanges",
        "_facts",
        "_forwarder",
        "_loop",
        "_metrics",
        "_peers",
        "_scheduler",
        "_submissions",
        "_tasks",
        "_tracing",
        "_wake",
        "_wake_at",
    )

    def __init__(
        self,
        core: scheduler.Scheduler,
        client: endpoints.EndpointClient,
        peer_client: peers.PeerClient,
        claimant: claimants.Claimant,
        forwarder: forwarding.Forwarder,
        fact_log: facts.FactLog,
        sink: metrics.Metrics,
        tracer: tracing.Tracing,
    ):
        self._loop = asyncio.get_running_loop()
        self._scheduler = core
        self._client = client
        self._peers = peer_client
        self._claimant = claimant
        self._forwarder = forwarder
        self._facts = fact_log
        self._metrics = sink
        self._tracing = tracer
        self._exchanges = exchanges.Exchanges()
        self._submissions: dict[str, submissions.Submission] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._wake: asyncio.TimerHandle | None = None
        self._wake_at: float | None = None

    @property
    def exchanges(self) -> exchanges.Exchanges:
        """Answers under way and kept."""
        return self._exchanges

    @property
    def scheduler(self) -> scheduler.Scheduler:
        """The core, for reading."""
        return self._scheduler

    @property
    def now(self) -> float:
        """Seconds of the runtime's clock."""
        return self._loop.time()

    def submit(self, submission: submissions.Submission) -> exchanges.Exchange:
        """Brings a request; returns the exchange that answers it."""
        request = submission.request
        fresh = self._exchanges.get(request.request_id) is None
        if fresh:
            self._exchanges.open(request.request_id, request.organisation)
            self._submissions[request.request_id] = submission
        joined = self.post(messages.Submitted(request))
        if joined is None:
            return self._exchanges.get(request.request_id)
        if fresh and joined != request.request_id:
            self._discard(request.request_id)
        return self._exchanges.get(joined) or _forgotten(request)

    def post(self, event: messages.Event) -> str | None:
        """Hands an event to the core; returns the id of a Join, if any."""
        joined = None
        for action in self._scheduler.handle(event, self.now):
            if isinstance(action, messages.Join):
                joined = action.request_id
            else:
                self._carry_out(action)
        self._arm()
        return joined

    async def drained(self) -> None:
        """Waits until every request has its verdict."""
        while self._scheduler.unfinished:
            await asyncio.sleep(0.02)

    def _carry_out(self, action: messages.Action) -> None:
        match action:
            case messages.Fact():
                self._facts.add(action)
            case messages.Claim(request_id=request_id):
                self._start(request_id, self._claim(action))
            case messages.Dispatch(request_id=request_id):
                self._start(request_id, self._dispatch(action))
            case messages.Delegate(request_id=request_id):
                self._start(request_id, self._delegate(action))
            case messages.Relay(request_id=request_id):
                self._start(request_id, self._relay(action))
            case messages.CancelAttempt(request_id=request_id):
                task = self._tasks.get(request_id)
                if task is not None:
                    task.cancel()
            case messages.Finish(request_id=request_id, verdict=verdict):
                self._finish(request_id, verdict)

    def _start(self, request_id: str, coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks[request_id] = task
        task.add_done_callback(lambda done: self._ended(request_id, done))

    def _ended(self, request_id: str, task: asyncio.Task) -> None:
        if self._tasks.get(request_id) is task:
            del self._tasks[request_id]
        if not task.cancelled() and task.exception() is not None:
            logger.error("task failed", exc_info=task.exception())

    def _finish(self, request_id: str, verdict: verdicts.Verdict) -> None:
        submission = self._submissions.pop(request_id, None)
        self._exchanges.finish(request_id, verdict)
        if submission is not None:
            name = type(verdict).__name__.lower()
            self._metrics.count(f"verdict.{name}")

    def _discard(self, request_id: str) -> None:
        self._submissions.pop(request_id, None)
        self._exchanges.forget(request_id)

    async def _claim(self, action: messages.Claim) -> None:
        outcome, holder = await self._claimant.claim(action)
        self.post(messages.ClaimSettled(action.request_id, outcome, holder))

    async def _relay(self, action: messages.Relay) -> None:
        ending = await self._forwarder.relay(
            self._submissions[action.request_id],
            action.holder,
            self._sink(action.request_id, action.attempt),
        )
        self._report(action.request_id, action.attempt, ending)

    async def _dispatch(self, action: messages.Dispatch) -> None:
        submission = self._submissions[action.request_id]
        span = self._tracing.start(
            "dispatch",
            self._tracing.context(submission.span),
            endpoint=action.endpoint.name,
            attempt=action.attempt,
        )
        headers: dict[str, str] = {}
        self._tracing.inject(span, headers)
        document = submission.document
        request = submission.request
        ending = await self._client.run(
            action.endpoint,
            wire.EngineRequest(
                request_id=action.request_id,
                attempt=action.attempt,
                kind=request.kind,
                prompt=document.prompt,
                prefix=document.prefix,
                prompt_tokens=request.prompt_tokens,
                max_tokens=request.output_tokens,
                payload=document.payload,
            ),
            headers,
            self._sink(action.request_id, action.attempt),
        )
        span.end()
        self._report(action.request_id, action.attempt, ending)

    async def _delegate(self, action: messages.Delegate) -> None:
        submission = self._submissions[action.request_id]
        span = self._tracing.start(
            "delegate",
            self._tracing.context(submission.span),
            peer=action.peer.name,
        )
        headers: dict[str, str] = {}
        self._tracing.inject(span, headers)
        request = submission.request
        ending = await self._peers.delegate(
            action.peer,
            wire.DelegatedRequest(
                request=submission.document,
                request_id=action.request_id,
                organisation=request.organisation,
                attempt=action.attempt,
                remaining_ms=_left_ms(request.deadline, self.now),
                first_token_ms=_left_ms(request.first_token_deadline, self.now),
            ),
            headers,
            self._sink(action.request_id, action.attempt),
        )
        span.end()
        self._report(action.request_id, action.attempt, ending)

    def _sink(self, request_id: str, attempt: int) -> streams.Sink:
        exchange = self._exchanges.get(request_id)
        exchange.restart()
        arrived = False

        def sink(events: bytes) -> asyncio.Future | None:
            nonlocal arrived
            if events and not arrived:
                arrived = True
                self.post(messages.FirstToken(request_id, attempt))
            return exchange.append(events)

        return sink

    def _report(
        self, request_id: str, attempt: int, ending: streams.Ending
    ) -> None:
        match ending:
            case streams.Whole(tokens=tokens):
                self.post(messages.Answered(request_id, attempt, tokens))
            case streams.Cut():
                verdict = verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
                self.post(messages.AttemptFailed(request_id, attempt, verdict))
            case verdicts.NotRun() | verdicts.MayHaveRun():
                self.post(messages.AttemptFailed(request_id, attempt, ending))

    def _arm(self) -> None:
        wake_at = self._scheduler.next_wake()
        if wake_at == self._wake_at:
            return
        if self._wake is not None:
            self._wake.cancel()
        self._wake = None
        self._wake_at = wake_at
        if wake_at is not None:
            self._wake = self._loop.call_at(wake_at, self._tick)

    def _tick(self) -> None:
        self._wake = None
        self._wake_at = None
        self.post(messages.Tick())


def _left_ms(deadline: float, now: float) -> int:
    return max(0, round((deadline - now) * 1000))


def _forgotten(request: messages.Request) -> exchanges.Exchange:
    exchange = exchanges.Exchange(request.request_id, request.organisation)
    exchange.finish(verdicts.MayHaveRun(verdicts.Reason.RETENTION_PASSED))
    return exchange
