"""Carries out what the scheduler core decides."""

from __future__ import annotations

import asyncio

from cranberryglade import claimants
from cranberryglade import endpoints
from cranberryglade import exchanges
from cranberryglade import facts
from cranberryglade import forwarding
from cranberryglade import log
from cranberryglade import peers
from cranberryglade import streams
from cranberryglade import submissions
from cranberryglade import tallies
from cranberryglade import tracing
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler

Started = (
    messages.Claim | messages.Dispatch | messages.Delegate | messages.Relay
)

logger = log.get_logger(__name__)


class Executor:
    """Feeds events to the core and turns its actions into I/O."""

    __slots__ = (
        "_cancelling",
        "_claimant",
        "_client",
        "_exchanges",
        "_facts",
        "_forwarder",
        "_loop",
        "_peers",
        "_scheduler",
        "_submissions",
        "_tally",
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
        tally: tallies.Tally,
        tracer: tracing.Tracing,
    ):
        self._loop = asyncio.get_running_loop()
        self._scheduler = core
        self._client = client
        self._peers = peer_client
        self._claimant = claimant
        self._forwarder = forwarder
        self._facts = fact_log
        self._tally = tally
        self._tracing = tracer
        self._exchanges = exchanges.Exchanges()
        self._submissions: dict[str, submissions.Submission] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._cancelling: set[asyncio.Task] = set()
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
        if isinstance(joined, messages.Reject):
            if fresh:
                self._discard(request.request_id)
            return _without_answer("", request.organisation, joined.verdict)
        kept = (
            joined.request_id == request.request_id and joined.verdict is None
        )
        if fresh and not kept:
            self._discard(request.request_id)
        return self._joined(joined, request)

    def _joined(
        self, joined: messages.Join, request: messages.Request
    ) -> exchanges.Exchange:
        kept = self._exchanges.get(joined.request_id)
        if kept is not None:
            return kept
        return _without_answer(
            joined.request_id, request.organisation, joined.verdict
        )

    def cancel(self, request_id: str) -> None:
        """Ends a request whose answer nobody wants any more."""
        self.post(messages.Cancelled(request_id))

    def look_up(
        self, request_id: str, organisation: str
    ) -> exchanges.Exchange | None:
        """The exchange of a request of which this instance is the home.

        Returns:
            Its exchange, without the answer if that is no longer kept; None
            if the organisation has not submitted it.
        """
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            return exchange if exchange.organisation == organisation else None
        known = self._scheduler.look_up(request_id)
        if known is None:
            return None
        return _without_answer(request_id, organisation, known.verdict)

    def post(
        self, event: messages.Event
    ) -> messages.Join | messages.Reject | None:
        """Hands an event to the core.

        Returns:
            The Join or Reject of a submission that is not a new request.
        """
        joined = None
        for action in self._scheduler.handle(event, self.now):
            if isinstance(action, messages.Join | messages.Reject):
                joined = action
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
            case messages.Claim():
                self._start(action, self._claim(action))
            case messages.Dispatch():
                self._start(action, self._dispatch(action))
            case messages.Delegate():
                self._start(action, self._delegate(action))
            case messages.Relay():
                self._start(action, self._relay(action))
            case messages.CancelAttempt():
                self._cancel(action)
            case messages.Finish(request_id=request_id, verdict=verdict):
                self._finish(request_id, verdict)

    def _start(self, action: Started, coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks[action.request_id] = task
        task.add_done_callback(lambda done: self._ended(action, done))

    def _ended(self, action: Started, task: asyncio.Task) -> None:
        if self._tasks.get(action.request_id) is task:
            del self._tasks[action.request_id]
        if task.cancelled() or task.exception() is None:
            return
        logger.error("task failed", exc_info=task.exception())
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
        stopping = self._loop.create_task(self._cancel_remote(action))
        self._cancelling.add(stopping)
        stopping.add_done_callback(self._cancelling.discard)

    async def _cancel_remote(self, action: messages.CancelAttempt) -> None:
        if action.endpoint is not None:
            await self._client.cancel(action.endpoint, action.request_id)
        elif action.peer is not None:
            asked = wire.LookupDocument(
                request_id=action.request_id, organisation="", cancel=True
            )
            await self._peers.look_up(action.peer, asked)

    def _finish(self, request_id: str, verdict: verdicts.Verdict) -> None:
        submission = self._submissions.pop(request_id, None)
        self._exchanges.finish(request_id, verdict)
        if submission is not None:
            self._tally.add(verdict)

    def _discard(self, request_id: str) -> None:
        self._submissions.pop(request_id, None)
        self._exchanges.forget(request_id)

    async def _claim(self, action: messages.Claim) -> None:
        self.post(await self._claimant.claim(action))

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
            request.deadline - self.now,
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
                idempotent=request.idempotent,
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


def _without_answer(
    request_id: str, organisation: str, verdict: verdicts.Verdict | None
) -> exchanges.Exchange:
    exchange = exchanges.Exchange(request_id, organisation)
    if not isinstance(verdict, verdicts.NotRun | verdicts.MayHaveRun):
        verdict = verdicts.MayHaveRun(verdicts.Reason.RETENTION_PASSED)
    exchange.finish(verdict)
    return exchange
