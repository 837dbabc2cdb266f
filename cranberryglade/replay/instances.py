"""One entry instance in virtual time: the core with a fake shell around it."""

from collections.abc import Callable

from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.replay import calls
from cranberryglade.replay import clock
from cranberryglade.replay import engines
from cranberryglade.scheduling import messages

CLAIM_SECONDS = 0.005
CLAIM_TIMEOUT_SECONDS = 0.5


class Surroundings:
    """What all instances of a replay share.

    Attributes:
        clock: virtual time.
        hop_seconds: one way between instances, or to an endpoint.
        engines: endpoints by name.
        instances: instances by name.
        platform_up: whether the table service answers.
        messages: messages between instances.
        bytes: bytes of these messages, prompts and answers left out.
        prefill: what the engines computed.
        on_token: called with each call that gets a token.
        facts: decisions, counted by name and reason.
    """

    def __init__(self, time: clock.Clock, hop_seconds: float):
        self.clock = time
        self.hop_seconds = hop_seconds
        self.engines: dict[str, engines.Engine] = {}
        self.instances: dict[str, Instance] = {}
        self.platform_up = True
        self.messages = 0
        self.bytes = 0
        self.prefill = engines.PrefillCount()
        self.on_token: Callable[[calls.Call], None] = lambda call: None
        self.facts: dict[str, int] = {}

    def count_message(self, document) -> None:
        """Counts a message between instances."""
        self.messages += 1
        self.bytes += len(wire.encode(document))


class Instance:
    """Feeds events to a core and plays its actions out in virtual time."""

    __slots__ = (
        "_around",
        "_calls",
        "_core",
        "_finished",
        "_verdicts",
        "_wake_at",
        "alive",
        "peer",
    )

    def __init__(self, peer: messages.Peer, core, around: Surroundings):
        self.peer = peer
        self.alive = True
        self._core = core
        self._around = around
        self._calls: dict[str, calls.Call] = {}
        self._finished: dict[str, Callable[[verdicts.Verdict], None]] = {}
        self._verdicts: dict[str, verdicts.Verdict] = {}
        self._wake_at: float | None = None

    def submit(
        self,
        request: messages.Request,
        call: calls.Call,
        finished: Callable[[verdicts.Verdict], None],
    ) -> None:
        """Brings a request; `finished` gets the final verdict."""
        if not self.alive:
            refused = verdicts.Reason.CONNECTION_REFUSED
            finished(verdicts.NotRun(refused, None))
            return
        ended = self._verdicts.get(request.request_id)
        if ended is not None:
            finished(ended)
            return
        self._calls[request.request_id] = call
        self._finished[request.request_id] = finished
        self.post(messages.Submitted(request))

    def post(self, event: messages.Event) -> None:
        """Hands an event to the core and plays the actions."""
        if not self.alive:
            return
        for action in self._core.handle(event, self._around.clock.now):
            self._play(action)
        self._arm()

    def digest(self) -> messages.PeerReported:
        """What the peers are told."""
        event = messages.PeerReported(self.peer, self._core.digests())
        self._around.count_message(event)
        return event

    def die(self) -> None:
        """Loses everything; engines and peers see broken connections."""
        self.alive = False
        lost = verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE)
        for finished in list(self._finished.values()):
            finished(lost)
        for engine in self._around.engines.values():
            engine.cancel_of(self.peer.name)

    def _play(self, action: messages.Action) -> None:
        around = self._around
        match action:
            case messages.Fact(decision=decision, reason=reason):
                name = f"{decision}: {reason}"
                around.facts[name] = around.facts.get(name, 0) + 1
            case messages.Claim(request_id=request_id):
                self._claim(request_id)
            case messages.Dispatch():
                around.clock.after(around.hop_seconds, self._run, action)
            case messages.Delegate():
                self._delegate(action)
            case messages.CancelAttempt():
                name = _attempt_name(action, self.peer.name)
                for engine in around.engines.values():
                    engine.cancel(name)
            case messages.Finish(request_id=request_id, verdict=verdict):
                self._calls.pop(request_id)
                self._verdicts[request_id] = verdict
                self._finished.pop(request_id)(verdict)
            case _:
                pass

    def _claim(self, request_id: str) -> None:
        if self._around.platform_up:
            outcome = messages.ClaimOutcome.WON
            seconds = CLAIM_SECONDS
        else:
            outcome = messages.ClaimOutcome.UNAVAILABLE
            seconds = CLAIM_TIMEOUT_SECONDS
        event = messages.ClaimSettled(request_id, outcome, request_id)
        self._around.clock.after(seconds, self.post, event)

    def _run(self, action: messages.Dispatch) -> None:
        if not self.alive:
            return
        call = self._calls[action.request_id]
        lost = verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
        attempt = engines.Attempt(
            call.request,
            _attempt_name(action, self.peer.name),
            lambda: self._token(action, call),
            lambda: self._ended(action, call, attempt.prefilled),
            lambda: self._later(_failed(action, lost)),
        )
        if not self._around.engines[action.endpoint.name].accept(attempt):
            refused = verdicts.NotRun(verdicts.Reason.CONNECTION_REFUSED)
            self._later(_failed(action, refused))

    def _token(self, action: messages.Dispatch, call: calls.Call) -> None:
        self._around.on_token(call)
        if call.first_at is None:
            call.first_at = self._around.clock.now
            self._later(messages.FirstToken(action.request_id, action.attempt))
        call.last_at = self._around.clock.now

    def _ended(self, action, call: calls.Call, prefilled: int) -> None:
        if self._around.clock.now > call.deadline:
            self._around.prefill.lost += prefilled
        tokens = call.request.output_tokens
        self._later(
            messages.Answered(action.request_id, action.attempt, tokens)
        )

    def _delegate(self, action: messages.Delegate) -> None:
        call = self._calls[action.request_id]
        around = self._around
        request = _core_request(call, action.request_id, delegated=True)
        around.count_message(_delegated_document(request))
        peer = around.instances[action.peer.name]

        def finished(verdict: verdicts.Verdict) -> None:
            around.clock.after(
                around.hop_seconds, self._peer_finished, action, call, verdict
            )

        around.clock.after(
            around.hop_seconds, peer.submit, request, call, finished
        )

    def _peer_finished(self, action, call, verdict) -> None:
        self._around.count_message(
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
                event = _failed(action, verdict)
        self.post(event)

    def _later(self, event: messages.Event) -> None:
        self._around.clock.after(self._around.hop_seconds, self.post, event)

    def _arm(self) -> None:
        wake_at = self._core.next_wake()
        if wake_at is None or wake_at == self._wake_at:
            return
        self._wake_at = wake_at
        self._around.clock.at(wake_at, self._tick, wake_at)

    def _tick(self, wake_at: float) -> None:
        if wake_at != self._wake_at:
            return
        self._wake_at = None
        self.post(messages.Tick())


def core_request(call: calls.Call) -> messages.Request:
    """The request of a call as the core is told of it."""
    return _core_request(call, call.name, delegated=False)


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


def _failed(action, verdict: verdicts.Verdict) -> messages.AttemptFailed:
    return messages.AttemptFailed(action.request_id, action.attempt, verdict)
