"""The scheduler core: one method that turns an event into actions."""

from cranberryglade import verdicts
from cranberryglade.scheduling import claims
from cranberryglade.scheduling import decisions
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import lives
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import policies
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import retries

STOPPING_RETRY_SECONDS = 0.1
PLATFORM_RETRY_SECONDS = 2.0


class Scheduler:
    """Decides what happens to every request of one instance.

    It has no clock, socket, task, logger or random source: `now` is given in
    seconds of the caller's monotonic clock, and what it decides is returned.
    """

    __slots__ = (
        "_decisions",
        "_fleet",
        "_lives",
        "_placement",
        "_retries",
        "_stopping",
    )

    def __init__(
        self,
        instance: messages.Peer,
        policy: policies.Policy = policies.PREDICTIVE,
    ):
        self._decisions = decisions.Decisions()
        self._fleet = fleet.Fleet(instance, self._decisions, policy.queue)
        self._lives = lives.Lives(self._decisions)
        self._placement = policy.placement(
            self._decisions, self._fleet, self._lives
        )
        self._retries = retries.RetryBudget()
        self._stopping = False

    @property
    def unfinished(self) -> int:
        """Requests that have no final verdict yet."""
        return self._lives.unfinished

    def digests(self) -> tuple[messages.TargetDigest, ...]:
        """What peers are told about the load of this instance."""
        return self._placement.digests()

    def all_pools(self) -> list[pools.Pool]:
        """The pools of all targets, for reading."""
        return self._fleet.all_pools()

    def next_wake(self) -> float | None:
        """When to send the next Tick, in seconds; None if it is not needed."""
        return self._placement.next_wake()

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Action]:
        """Takes in one event and returns what is to be done about it."""
        self._decisions.begin(now)
        self._take(event)
        self._placement.run()
        return self._decisions.take()

    def _take(self, event: messages.Event) -> None:
        match event:
            case messages.Submitted(request=request):
                self._submit(request)
            case messages.ClaimSettled():
                self._settle_claim(event)
            case messages.Cancelled(request_id=request_id):
                self._cancel(request_id)
            case messages.FirstToken():
                self._first_token(event)
            case messages.LoadReported():
                self._placement.load(event)
            case messages.CacheReported():
                self._placement.cache(event)
            case messages.Answered():
                self._answered(event)
            case messages.AttemptFailed():
                self._attempt_failed(event)
            case messages.EndpointJoined(endpoint=endpoint):
                self._fleet.join_endpoint(endpoint)
            case messages.EndpointLeaving():
                self._fleet.leave_endpoint(event)
            case messages.EndpointGone(name=name):
                self._fleet.drop_endpoint(name)
            case messages.PeerReported():
                self._fleet.see_peer(event)
            case messages.PeerGone(name=name):
                self._fleet.drop_peer(name)
            case messages.StopRequested():
                self._stopping = True
            case _:
                pass

    def _submit(self, request: messages.Request) -> None:
        known = self._lives.find(request)
        if known is not None:
            self._decisions.act(messages.Join(known))
            return
        record = self._lives.open(request)
        if self._stopping:
            self._lives.refuse(
                record, verdicts.Reason.STOPPING, STOPPING_RETRY_SECONDS
            )
        elif request.key:
            self._lives.claim(record)
        else:
            self._admit(record)

    def _settle_claim(self, event: messages.ClaimSettled) -> None:
        record = self._lives.claiming(event.request_id)
        if record is None:
            return
        match event.outcome:
            case messages.ClaimOutcome.WON:
                self._admit(record)
            case messages.ClaimOutcome.UNAVAILABLE:
                self._lives.refuse(
                    record,
                    verdicts.Reason.PLATFORM_UNAVAILABLE,
                    PLATFORM_RETRY_SECONDS,
                )
            case messages.ClaimOutcome.LOST:
                self._lives.relay(record, event.holder)
            case messages.ClaimOutcome.UNCERTAIN:
                lost = verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE)
                self._lives.uncertain(record, lost)

    def _admit(self, record: claims.Record) -> None:
        self._retries.deposit()
        self._lives.claimed(record)
        self._placement.admit(record)

    def _first_token(self, event: messages.FirstToken) -> None:
        record = self._lives.current(event.request_id, event.attempt)
        if record is not None:
            self._placement.first_token(record)

    def _answered(self, event: messages.Answered) -> None:
        record = self._lives.current(event.request_id, event.attempt)
        if record is None:
            return
        self._placement.ended(record, event.output_tokens)
        self._lives.answer(record)

    def _attempt_failed(self, event: messages.AttemptFailed) -> None:
        record = self._lives.current(event.request_id, event.attempt)
        if record is None:
            return
        self._placement.ended(record, None)
        if self._may_repeat(record, event.verdict):
            self._lives.give_back(record, event.verdict.reason)
            self._placement.readmit(record)
            return
        match event.verdict:
            case verdicts.NotRun(reason=reason, retry_after_seconds=retry):
                self._lives.refuse(record, reason, retry)
            case verdicts.MayHaveRun():
                self._lives.uncertain(record, event.verdict)

    def _may_repeat(
        self, record: claims.Record, verdict: verdicts.Verdict
    ) -> bool:
        if record.endpoint is None and record.peer is None:
            return False
        if isinstance(verdict, verdicts.NotRun):
            return True
        return record.request.idempotent and self._retries.take()

    def _cancel(self, request_id: str) -> None:
        record = self._lives.get(request_id)
        if record is None:
            return
        if self._placement.withdraw(record.request):
            self._lives.refuse(record, verdicts.Reason.CANCELLED, None)
