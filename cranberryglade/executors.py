"""Performs the actions that the scheduler core decides on."""

from __future__ import annotations

import asyncio

import reactivex
from reactivex import subject

from cranberryglade import claimants
from cranberryglade import endpoints
from cranberryglade import exchanges
from cranberryglade import facts
from cranberryglade import forwarding
from cranberryglade import log
from cranberryglade import peers
from cranberryglade import streams
from cranberryglade import submissions
from cranberryglade import tracing
from cranberryglade import verdict_counts
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler

TaskAction = (
    messages.Claim | messages.Dispatch | messages.Delegate | messages.Relay
)

logger = log.get_logger(__name__)


class Executor:
    """Passes events to the scheduler core and performs its actions as I/O.

    Claims, dispatches, delegations and relays each run as a task; its outcome
    is posted to the core as another event. The core is woken by a timer at
    the time it asks for.
    """

    __slots__ = (
        "_remote_cancels",
        "_claimant",
        "_client",
        "_exchanges",
        "_facts",
        "_forwarder",
        "_loop",
        "_news",
        "_peers",
        "_scheduler",
        "_submissions",
        "_verdict_counter",
        "_tasks",
        "_tracing",
        "_wake_timer",
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
        verdict_counter: verdict_counts.VerdictCounter,
        tracer: tracing.Tracing,
    ):
        self._loop = asyncio.get_running_loop()
        self._scheduler = core
        self._client = client
        self._peers = peer_client
        self._claimant = claimant
        self._forwarder = forwarder
        self._facts = fact_log
        self._verdict_counter = verdict_counter
        self._tracing = tracer
        self._exchanges = exchanges.Exchanges()
        self._news: subject.Subject = subject.Subject()
        self._submissions: dict[str, submissions.Submission] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._remote_cancels: set[asyncio.Task] = set()
        self._wake_timer: asyncio.TimerHandle | None = None
        self._wake_at: float | None = None

    @property
    def exchanges(self) -> exchanges.Exchanges:
        """The exchanges of requests in progress, and those kept."""
        return self._exchanges

    @property
    def news(self) -> reactivex.Observable:
        """Emits when peers are to be told what the core has learned."""
        return self._news

    @property
    def scheduler(self) -> scheduler.Scheduler:
        """The scheduler core; for reading only."""
        return self._scheduler

    @property
    def now(self) -> float:
        """Time of the event loop's monotonic clock, in seconds."""
        return self._loop.time()

    def submit(self, submission: submissions.Submission) -> exchanges.Exchange:
        """Submits a request to the core.

        Returns:
            The exchange that will carry its answer: a new one, that of the
            request it repeats, or a finished one without an answer if the
            core rejects it or the answer is no longer kept.
        """
        request = submission.request
        is_new = self._exchanges.get(request.request_id) is None
        if is_new:
            self._exchanges.open(request.request_id, request.organisation)
            self._submissions[request.request_id] = submission
        reply = self.post(messages.Submitted(request))
        if reply is None:
            return self._exchanges.get(request.request_id)
        if isinstance(reply, messages.Reject):
            if is_new:
                self._discard(request.request_id)
            return _exchange_without_answer(
                "", request.organisation, reply.verdict
            )
        keeps_exchange = (
            reply.request_id == request.request_id and reply.verdict is None
        )
        if is_new and not keeps_exchange:
            self._discard(request.request_id)
        return self._exchange_of(reply, request)

    def _exchange_of(
        self, join: messages.AttachCaller, request: messages.Request
    ) -> exchanges.Exchange:
        exchange = self._exchanges.get(join.request_id)
        if exchange is not None:
            return exchange
        return _exchange_without_answer(
            join.request_id, request.organisation, join.verdict
        )

    def cancel(self, request_id: str) -> None:
        """Cancels a request; does nothing if it is not in progress."""
        self.post(messages.Cancelled(request_id))

    def look_up(
        self, request_id: str, organisation: str
    ) -> exchanges.Exchange | None:
        """Returns the exchange of a request that this instance knows.

        Returns:
            Its exchange, without the answer if that is no longer kept; None
            if the request is unknown here or its exchange belongs to another
            organisation. The organisation is not checked once the exchange
            has been evicted.
        """
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            return exchange if exchange.organisation == organisation else None
        known = self._scheduler.look_up(request_id)
        if known is None:
            return None
        return _exchange_without_answer(request_id, organisation, known.verdict)

    def post(
        self, event: messages.Event
    ) -> messages.AttachCaller | messages.Reject | None:
        """Passes an event to the core and performs the resulting actions.

        Returns:
            The AttachCaller or Reject that answers a submission which does not
            start a new request; otherwise None.
        """
        reply = None
        for action in self._scheduler.handle(event, self.now):
            if isinstance(action, messages.AttachCaller | messages.Reject):
                reply = action
            else:
                self._carry_out(action)
        self._schedule_wake()
        return reply

    async def wait_until_drained(self) -> None:
        """Waits until every request has its final verdict."""
        while self._scheduler.unfinished:
            await asyncio.sleep(0.02)

    def _carry_out(self, action: messages.Action) -> None:
        match action:
            case messages.Fact():
                self._facts.add(action)
            case messages.Claim():
                self._start_task(action, self._claim(action))
            case messages.Dispatch():
                self._start_task(action, self._dispatch(action))
            case messages.Delegate():
                self._start_task(action, self._delegate(action))
            case messages.Relay():
                self._start_task(action, self._relay(action))
            case messages.CancelAttempt():
                self._cancel(action)
            case messages.NotifyPeers():
                self._news.on_next(action)
            case messages.Finish(request_id=request_id, verdict=verdict):
                self._finish(request_id, verdict)

    def _start_task(self, action: TaskAction, coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks[action.request_id] = task
        task.add_done_callback(lambda done: self._on_task_done(action, done))

    def _on_task_done(self, action: TaskAction, task: asyncio.Task) -> None:
        if self._tasks.get(action.request_id) is task:
            del self._tasks[action.request_id]
        if not log.report_failed_task(logger, task):
            return
        if isinstance(action, messages.Claim):
            self.post(
                messages.ClaimSettled(
                    action.request_id, messages.ClaimOutcome.UNAVAILABLE
                )
            )
            return
        verdict = verdicts.MayHaveRun(verdicts.Reason.INTERNAL_ERROR)
        self.post(
            messages.AttemptFailed(action.request_id, action.attempt, verdict)
        )

    def _cancel(self, action: messages.CancelAttempt) -> None:
        task = self._tasks.pop(action.request_id, None)
        if task is not None:
            task.cancel()
        remote_cancel = self._loop.create_task(self._cancel_remote(action))
        self._remote_cancels.add(remote_cancel)
        remote_cancel.add_done_callback(self._remote_cancels.discard)

    async def _cancel_remote(self, action: messages.CancelAttempt) -> None:
        if action.endpoint is not None:
            await self._client.cancel(action.endpoint, action.request_id)
        elif action.peer is not None:
            lookup = wire.LookupDocument(
                request_id=action.request_id, organisation="", cancel=True
            )
            await self._peers.look_up(action.peer, lookup)

    def _finish(self, request_id: str, verdict: verdicts.Verdict) -> None:
        submission = self._submissions.pop(request_id, None)
        self._exchanges.finish(request_id, verdict)
        if submission is not None:
            self._verdict_counter.add(verdict)

    def _discard(self, request_id: str) -> None:
        self._submissions.pop(request_id, None)
        self._exchanges.discard(request_id)

    async def _claim(self, action: messages.Claim) -> None:
        self.post(await self._claimant.claim(action))

    async def _relay(self, action: messages.Relay) -> None:
        ending = await self._forwarder.relay(
            self._submissions[action.request_id],
            action.holder,
            self._sink(action.request_id, action.attempt),
        )
        self._post_ending(action.request_id, action.attempt, ending)

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
            request.deadline - self.now,
        )
        span.end()
        self._post_ending(action.request_id, action.attempt, ending)

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
                remaining_ms=_remaining_ms(request.deadline, self.now),
                first_token_ms=_remaining_ms(
                    request.first_token_deadline, self.now
                ),
                idempotent=request.idempotent,
            ),
            headers,
            self._sink(action.request_id, action.attempt),
        )
        span.end()
        self._post_ending(action.request_id, action.attempt, ending)

    def _sink(self, request_id: str, attempt: int) -> streams.Sink:
        exchange = self._exchanges.get(request_id)
        exchange.restart()
        has_first_token = False

        def sink(events: bytes) -> asyncio.Future | None:
            nonlocal has_first_token
            if events and not has_first_token:
                has_first_token = True
                self.post(messages.FirstToken(request_id, attempt))
            return exchange.append(events)

        return sink

    def _post_ending(
        self, request_id: str, attempt: int, ending: streams.Outcome
    ) -> None:
        match ending:
            case streams.Complete(tokens=tokens):
                self.post(messages.Answered(request_id, attempt, tokens))
            case streams.Interrupted():
                verdict = verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
                self.post(messages.AttemptFailed(request_id, attempt, verdict))
            case verdicts.NotRun() | verdicts.MayHaveRun():
                self.post(messages.AttemptFailed(request_id, attempt, ending))

    def _schedule_wake(self) -> None:
        wake_at = self._scheduler.next_wake()
        if wake_at == self._wake_at:
            return
        if self._wake_timer is not None:
            self._wake_timer.cancel()
        self._wake_timer = None
        self._wake_at = wake_at
        if wake_at is not None:
            self._wake_timer = self._loop.call_at(wake_at, self._tick)

    def _tick(self) -> None:
        self._wake_timer = None
        self._wake_at = None
        self.post(messages.Tick())


def _remaining_ms(deadline: float, now: float) -> int:
    return max(0, round((deadline - now) * 1000))


def _exchange_without_answer(
    request_id: str, organisation: str, verdict: verdicts.Verdict | None
) -> exchanges.Exchange:
    exchange = exchanges.Exchange(request_id, organisation)
    if not isinstance(verdict, verdicts.NotRun | verdicts.MayHaveRun):
        verdict = verdicts.MayHaveRun(verdicts.Reason.RETENTION_PASSED)
    exchange.finish(verdict)
    return exchange
