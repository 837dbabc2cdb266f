"""Simulated entry instances: scheduler cores driven in virtual time."""

from collections.abc import Callable

from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.replay import calls
from cranberryglade.replay import clock
from cranberryglade.replay import engines
from cranberryglade.scheduling import messages

CLAIM_SECONDS = 0.005
CLAIM_TIMEOUT_SECONDS = 0.5


class Simulation:
    """State and counters that all instances of a replay share.

    Attributes:
        clock: the virtual clock.
        hop_seconds: one-way latency between instances, or to an endpoint.
        engines: endpoints by name.
        instances: instances by name.
        platform_up: whether the table service answers.
        message_count: number of messages between instances.
        message_bytes: encoded size of these messages in bytes, without prompts
            and answers.
        prefill_count: prompt tokens that the engines computed.
        on_token: called with the call at each token that it receives.
        fact_counts: number of facts by "decision: reason".
    """

    def __init__(self, virtual_clock: clock.Clock, hop_seconds: float):
        self.clock = virtual_clock
        self.hop_seconds = hop_seconds
        self.engines: dict[str, engines.Engine] = {}
        self.instances: dict[str, Instance] = {}
        self.platform_up = True
        self.message_count = 0
        self.message_bytes = 0
        self.prefill_count = engines.PrefillCount()
        self.on_token: Callable[[calls.Call], None] = lambda call: None
        self.fact_counts: dict[str, int] = {}

    def count_message(self, document) -> None:
        """Counts a message between instances and its encoded size."""
        self.message_count += 1
        self.message_bytes += len(wire.encode(document))


class Instance:
    """Feeds events to a scheduler core and executes its actions.

    Attributes:
        peer: the instance's name, incarnation, address and failure domain.
        alive: False once the instance has died.
    """

    __slots__ = (
        "_callbacks",
        "_calls",
        "_core",
        "_simulation",
        "_verdicts",
        "_wake_at",
        "alive",
        "peer",
    )

    def __init__(self, peer: messages.Peer, core, simulation: Simulation):
        self.peer = peer
        self.alive = True
        self._core = core
        self._simulation = simulation
        self._calls: dict[str, calls.Call] = {}
        self._callbacks: dict[str, Callable[[verdicts.Verdict], None]] = {}
        self._verdicts: dict[str, verdicts.Verdict] = {}
        self._wake_at: float | None = None

    def submit(
        self,
        request: messages.Request,
        call: calls.Call,
        finished: Callable[[verdicts.Verdict], None],
    ) -> None:
        """Submits a request of a caller or a delegating peer.

        A request id that already has a verdict is not run again.

        Args:
            request: the request for the core.
            call: the caller's call that it belongs to.
            finished: called with the final verdict; at once if the instance is
                dead or the request id already has a verdict.
        """
        if not self.alive:
            refused = verdicts.Reason.CONNECTION_REFUSED
            finished(verdicts.NotRun(refused, None))
            return
        ended = self._verdicts.get(request.request_id)
        if ended is not None:
            finished(ended)
            return
        self._calls[request.request_id] = call
        self._callbacks[request.request_id] = finished
        self.post(messages.Submitted(request))

    def post(self, event: messages.Event) -> None:
        """Passes an event to the core and executes its actions.

        Does nothing if the instance is dead.
        """
        if not self.alive:
            return
        for action in self._core.handle(event, self._simulation.clock.now):
            self._execute(action)
        self._schedule_wake()

    def digest(self) -> messages.PeerReported:
        """Returns the digest message for one peer, and counts it as sent."""
        event = messages.PeerReported(self.peer, self._core.digests())
        self._simulation.count_message(event)
        return event

    def die(self) -> None:
        """Stops the instance, as when its process is killed.

        Its unfinished requests end as MayHaveRun, and the engines drop its
        attempts.
        """
        self.alive = False
        lost = verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE)
        for finished in list(self._callbacks.values()):
            finished(lost)
        for engine in self._simulation.engines.values():
            engine.cancel_all_from(self.peer.name)

    def _execute(self, action: messages.Action) -> None:
        simulation = self._simulation
        match action:
            case messages.Fact(decision=decision, reason=reason):
                name = f"{decision}: {reason}"
                simulation.fact_counts[name] = (
                    simulation.fact_counts.get(name, 0) + 1
                )
            case messages.Claim(request_id=request_id):
                self._claim(request_id)
            case messages.Dispatch():
                simulation.clock.after(
                    simulation.hop_seconds, self._start_attempt, action
                )
            case messages.Delegate():
                self._delegate(action)
            case messages.CancelAttempt():
                name = _attempt_name(action, self.peer.name)
                for engine in simulation.engines.values():
                    engine.cancel(name)
            case messages.Finish(request_id=request_id, verdict=verdict):
                self._calls.pop(request_id)
                self._verdicts[request_id] = verdict
                self._callbacks.pop(request_id)(verdict)
            case _:
                pass

    def _claim(self, request_id: str) -> None:
        if self._simulation.platform_up:
            outcome = messages.ClaimOutcome.WON
            seconds = CLAIM_SECONDS
        else:
            outcome = messages.ClaimOutcome.UNAVAILABLE
            seconds = CLAIM_TIMEOUT_SECONDS
        event = messages.ClaimSettled(request_id, outcome, request_id)
        self._simulation.clock.after(seconds, self.post, event)

    def _start_attempt(self, action: messages.Dispatch) -> None:
        if not self.alive:
            return
        call = self._calls[action.request_id]
        lost = verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
        attempt = engines.Attempt(
            call.request,
            _attempt_name(action, self.peer.name),
            lambda: self._on_token(action, call),
            lambda: self._on_answer(
                action, call, attempt.computed_prompt_tokens
            ),
            lambda: self._post_after_hop(_attempt_failed(action, lost)),
        )
        if not self._simulation.engines[action.endpoint.name].accept(attempt):
            refused = verdicts.NotRun(verdicts.Reason.CONNECTION_REFUSED)
            self._post_after_hop(_attempt_failed(action, refused))

    def _on_token(self, action: messages.Dispatch, call: calls.Call) -> None:
        self._simulation.on_token(call)
        if call.first_token_at is None:
            call.first_token_at = self._simulation.clock.now
            self._post_after_hop(
                messages.FirstToken(action.request_id, action.attempt)
            )
        call.last_token_at = self._simulation.clock.now

    def _on_answer(self, action, call: calls.Call, prefilled: int) -> None:
        if self._simulation.clock.now > call.deadline:
            self._simulation.prefill_count.lost += prefilled
        tokens = call.request.output_tokens
        self._post_after_hop(
            messages.Answered(action.request_id, action.attempt, tokens)
        )

    def _delegate(self, action: messages.Delegate) -> None:
        call = self._calls[action.request_id]
        simulation = self._simulation
        request = _core_request(call, action.request_id, delegated=True)
        simulation.count_message(_delegated_document(request))
        peer = simulation.instances[action.peer.name]

        def finished(verdict: verdicts.Verdict) -> None:
            simulation.clock.after(
                simulation.hop_seconds,
                self._on_peer_verdict,
                action,
                call,
                verdict,
            )

        simulation.clock.after(
            simulation.hop_seconds, peer.submit, request, call, finished
        )

    def _on_peer_verdict(self, action, call, verdict) -> None:
        self._simulation.count_message(
            wire.verdict_document(action.request_id, verdict)
        )
        match verdict:
            case verdicts.Ran():
                event = messages.Answered(
                    action.request_id,
                    action.attempt,
                    call.request.output_tokens,
                )
            case _:
                event = _attempt_failed(action, verdict)
        self.post(event)

    def _post_after_hop(self, event: messages.Event) -> None:
        self._simulation.clock.after(
            self._simulation.hop_seconds, self.post, event
        )

    def _schedule_wake(self) -> None:
        wake_at = self._core.next_wake()
        if wake_at is None or wake_at == self._wake_at:
            return
        self._wake_at = wake_at
        self._simulation.clock.at(wake_at, self._tick, wake_at)

    def _tick(self, wake_at: float) -> None:
        if wake_at != self._wake_at:
            return
        self._wake_at = None
        self.post(messages.Tick())


def core_request(call: calls.Call) -> messages.Request:
    """Returns the scheduler core's request for a call of a caller."""
    return _core_request(call, call.request_id, delegated=False)


def _core_request(call: calls.Call, name: str, delegated: bool):
    line = call.request
    return messages.Request(
        request_id=name,
        organisation=line.organisation,
        kind=line.kind,
        target=line.target,
        rank=line.rank,
        idempotent=line.idempotent,
        prompt_tokens=line.prompt_tokens,
        output_tokens=line.max_tokens,
        prefix=line.prefix,
        deadline=call.deadline,
        first_token_deadline=call.first_token_deadline,
        key=name if line.keyed and not delegated else "",
        delegated=delegated,
    )


def _delegated_document(request: messages.Request) -> wire.DelegatedRequest:
    return wire.DelegatedRequest(
        request=wire.RequestDocument(
            kind=request.kind,
            prefix=request.prefix,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.output_tokens,
        ),
        request_id=request.request_id,
        organisation=request.organisation,
        remaining_ms=round(request.deadline * 1000),
        first_token_ms=round(request.first_token_deadline * 1000),
    )


def _attempt_name(action, instance: str) -> str:
    return f"{instance}/{action.request_id}/{action.attempt}"


def _attempt_failed(
    action, verdict: verdicts.Verdict
) -> messages.AttemptFailed:
    return messages.AttemptFailed(action.request_id, action.attempt, verdict)
