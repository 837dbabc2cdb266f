"""The scheduler core: turns each event into a list of actions."""

from cranberryglade import verdicts
from cranberryglade.scheduling import action_collector
from cranberryglade.scheduling import crashes
from cranberryglade.scheduling import departures
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import policies
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import request_records
from cranberryglade.scheduling import request_table
from cranberryglade.scheduling import retries
from cranberryglade.scheduling import routing

STOPPING_RETRY_SECONDS = 0.1
PLATFORM_RETRY_SECONDS = 2.0
MAXIMUM_ATTEMPTS = 4


class Scheduler:
    """Decides what happens to every request of one instance.

    It uses no clock, socket, task, logger or random source: the caller passes
    `now` in seconds of its monotonic clock and executes the returned actions.
    """

    __slots__ = (
        "_collector",
        "_crashes",
        "_fleet",
        "_handed_over",
        "_home",
        "_request_table",
        "_placement",
        "_retries",
        "_stopping",
    )

    def __init__(
        self,
        instance: messages.Peer,
        policy: policies.Policy = policies.PREDICTIVE,
    ):
        self._collector = action_collector.ActionCollector()
        self._fleet = fleet.Fleet(instance, self._collector, policy.make_queue)
        self._request_table = request_table.RequestTable(self._collector)
        self._crashes = crashes.Crashes(self._collector, self._request_table)
        self._placement = policy.make_placement(
            self._collector, self._fleet, self._request_table
        )
        self._retries = retries.RetryBudget()
        self._home = instance.home
        self._handed_over: list[int] = []
        self._stopping = False

    @property
    def unfinished(self) -> int:
        """Number of requests that have no final verdict yet."""
        return self._request_table.unfinished

    @property
    def dropped(self) -> int:
        """Number of tombstones of final requests dropped so far."""
        return self._request_table.evicted

    @property
    def floor(self) -> int:
        """Highest sequence number of this home whose tombstone was dropped."""
        return self._request_table.floor(self._home)

    def look_up(self, request_id: str) -> request_records.KnownRequest | None:
        """Returns what is known of a request; None if it is unknown."""
        return self._request_table.look_up(request_id)

    def tombstones(self) -> dict[int, verdicts.Verdict]:
        """Returns the final verdicts of this home by sequence number."""
        return self._request_table.tombstones(self._home)

    def handed_over(self) -> list[int]:
        """Returns the sequence numbers of requests delegated while stopping."""
        return list(self._handed_over)

    def digests(self) -> tuple[messages.TargetDigest, ...]:
        """Returns the load of this instance by target, to be sent to peers.

        Returns none once the instance is stopping.
        """
        if self._stopping:
            return ()
        return self._placement.digests()

    def departure_records(self) -> list[departures.DepartureRecord]:
        """Returns the endpoint processes known to be leaving."""
        return self._fleet.departure_records

    def crash_reports(self, now: float) -> tuple[messages.CrashReported, ...]:
        """Returns the recent crashes of endpoints, to be sent to peers."""
        return self._crashes.reports(now)

    def quarantines(
        self, now: float
    ) -> tuple[messages.QuarantineReported, ...]:
        """Returns quarantines of prefixes, to be sent to peers."""
        return self._crashes.quarantines(now)

    def owns(self, endpoint: str) -> bool:
        """Returns whether this instance dispatches to the named endpoint."""
        return self._fleet.owns(endpoint)

    def all_pools(self) -> list[pools.Pool]:
        """Returns the pools of all targets; callers must not change them."""
        return self._fleet.all_pools()

    def next_wake(self) -> float | None:
        """Returns when to send the next Tick, in seconds; None for never."""
        return self._placement.next_wake()

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Action]:
        """Applies one event.

        Args:
            event: what happened.
            now: time of the event, in seconds of the caller's monotonic clock.

        Returns:
            The actions that follow, in the order in which to execute them.
        """
        self._collector.begin(now)
        self._crashes.expire()
        self._apply(event)
        if self._crashes.take_change():
            self._refuse_quarantined()
        self._placement.process_queues()
        return self._collector.actions()

    def _apply(self, event: messages.Event) -> None:
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
                self._placement.load_reported(event)
            case messages.CacheReported():
                self._placement.cache_reported(event)
            case messages.Answered():
                self._answered(event)
            case messages.AttemptFailed():
                self._attempt_failed(event)
            case messages.EndpointJoined(endpoint=endpoint):
                self._add_endpoint(endpoint)
            case messages.EndpointLeaving():
                self._fleet.mark_leaving(event)
            case messages.EndpointGone(name=name):
                self._fleet.remove_endpoint(name)
            case messages.EndpointReachability():
                self._update_reachability(event)
            case messages.PeerReported():
                self._fleet.update_peer(event)
            case messages.PeerGone(name=name):
                self._fleet.remove_peer(name)
            case messages.CrashReported():
                self._crashes.learn_crash(event)
            case messages.QuarantineReported():
                self._crashes.learn_quarantine(event)
            case messages.StopRequested():
                self._stop()
            case messages.CutRequested():
                self._cut()
            case _:
                pass

    def _submit(self, request: messages.Request) -> None:
        known = self._request_table.find(request)
        if known is not None:
            self._join(known, request)
            return
        record = self._request_table.add(request)
        if self._stopping:
            self._request_table.refuse(
                record, verdicts.Reason.STOPPING, STOPPING_RETRY_SECONDS
            )
        elif request.key:
            self._request_table.claim(record)
        else:
            self._admit(record)

    def _join(
        self, known: request_records.KnownRequest, request: messages.Request
    ) -> None:
        if request.fingerprint != known.fingerprint and known.fingerprint:
            verdict = verdicts.NotRun(verdicts.Reason.KEY_REUSED)
            self._collector.add_action(
                messages.Reject(known.request_id, verdict)
            )
            return
        record = self._request_table.get(known.request_id)
        if record is not None and request.streamed:
            record.streamed = True
        self._collector.add_action(
            messages.AttachCaller(known.request_id, known.verdict)
        )

    def _settle_claim(self, event: messages.ClaimSettled) -> None:
        record = self._request_table.get_claiming(event.request_id)
        if record is None:
            return
        match event.outcome:
            case messages.ClaimOutcome.WON:
                self._admit(record)
            case messages.ClaimOutcome.UNAVAILABLE:
                self._request_table.refuse(
                    record,
                    verdicts.Reason.PLATFORM_UNAVAILABLE,
                    event.retry_after_seconds or PLATFORM_RETRY_SECONDS,
                )
            case messages.ClaimOutcome.REUSED:
                self._request_table.refuse(
                    record, verdicts.Reason.KEY_REUSED, None
                )
            case messages.ClaimOutcome.LOST:
                self._handle_lost_claim(record, event)

    def _handle_lost_claim(
        self,
        record: request_records.RequestRecord,
        event: messages.ClaimSettled,
    ) -> None:
        home, _ = messages.split_request_id(event.holder)
        if home != self._home:
            self._request_table.relay(record, event.holder, event.version)
            return
        known = self._request_table.look_up(event.holder)
        if known and isinstance(known.verdict, verdicts.NotRun):
            self._request_table.claim(record, event.version)
            return
        verdict = verdicts.MayHaveRun(verdicts.Reason.RETENTION_PASSED)
        self._request_table.finish_uncertain(record, verdict)

    def _admit(self, record: request_records.RequestRecord) -> None:
        self._retries.deposit()
        self._request_table.claim_won(record)
        if self._refuse_if_quarantined(record):
            return
        if self._stopping:
            self._hand_over(record)
        else:
            self._placement.admit(record)

    def _first_token(self, event: messages.FirstToken) -> None:
        record = self._request_table.get_in_progress(
            event.request_id, event.attempt
        )
        if record is not None:
            self._request_table.record_first_token(record)
            self._placement.first_token(record)

    def _answered(self, event: messages.Answered) -> None:
        record = self._request_table.get_in_progress(
            event.request_id, event.attempt
        )
        if record is None:
            return
        self._crashes.record_answer(record)
        self._placement.attempt_ended(record, event.output_tokens)
        self._request_table.finish_answered(record)

    def _attempt_failed(self, event: messages.AttemptFailed) -> None:
        record = self._request_table.get_in_progress(
            event.request_id, event.attempt
        )
        if record is None:
            return
        if record.state == "relaying":
            self._relay_failed(
                record, _effective_verdict(record, event.verdict)
            )
            return
        self._placement.attempt_ended(record, None)
        verdict = _effective_verdict(record, event.verdict)
        self._crashes.record_failure(record, verdict)
        delegation_failed = record.endpoint is None and isinstance(
            verdict, verdicts.NotRun
        )
        if delegation_failed:
            self._placement.delegation_failed(record, verdict)
        if self._may_retry(record, verdict) and (
            delegation_failed or self._retries.try_spend()
        ):
            self._retry(record, verdict)
            return
        self._end(record, verdict)

    def _relay_failed(
        self, record: request_records.RequestRecord, verdict: verdicts.Verdict
    ) -> None:
        match verdict:
            case verdicts.NotRun(reason=verdicts.Reason.KEY_REUSED):
                self._end(record, verdict)
            case verdicts.NotRun() if self._retries.try_spend():
                self._request_table.claim_again(record)
            case _:
                self._end(record, verdict)

    def _end(
        self, record: request_records.RequestRecord, verdict: verdicts.Verdict
    ) -> None:
        match verdict:
            case verdicts.NotRun(reason=reason, retry_after_seconds=retry):
                self._request_table.refuse(record, reason, retry)
            case verdicts.MayHaveRun():
                self._request_table.finish_uncertain(record, verdict)

    def _may_retry(
        self, record: request_records.RequestRecord, verdict: verdicts.Verdict
    ) -> bool:
        if record.streamed and record.first_token_received:
            return False
        if record.attempt >= MAXIMUM_ATTEMPTS:
            return False
        if verdict.reason is verdicts.Reason.QUARANTINED:
            return False
        lost_before = record.may_have_run_reason is not None
        if lost_before and isinstance(verdict, verdicts.MayHaveRun):
            # It may be what ends the endpoints.
            return False
        return record.request.idempotent or _never_sent(verdict)

    def _retry(
        self, record: request_records.RequestRecord, verdict: verdicts.Verdict
    ) -> None:
        self._request_table.requeue(record, verdict)
        if self._refuse_if_quarantined(record):
            return
        if self._stopping:
            self._hand_over(record)
        else:
            self._placement.readmit(record)

    def _add_endpoint(self, endpoint: messages.Endpoint) -> None:
        known = self._fleet.endpoint_state(endpoint.name)
        self._fleet.add_endpoint(endpoint)
        now_known = self._fleet.endpoint_state(endpoint.name)
        if known is not None and known is not now_known:
            self._crashes.record_end(known.endpoint.process)

    def _update_reachability(
        self, event: messages.EndpointReachability
    ) -> None:
        self._fleet.update_reachability(event)
        if not event.is_reachable:
            self._crashes.record_end(
                messages.EndpointProcess(event.name, event.incarnation)
            )

    def _refuse_quarantined(self) -> None:
        for record in self._request_table.waiting():
            if self._refuse_if_quarantined(record):
                self._placement.withdraw(record.request)

    def _refuse_if_quarantined(
        self, record: request_records.RequestRecord
    ) -> bool:
        seconds = self._crashes.quarantined_seconds(record.request)
        if seconds is None:
            return False
        self._request_table.refuse(record, verdicts.Reason.QUARANTINED, seconds)
        return True

    def _cancel(self, request_id: str) -> None:
        record = self._request_table.get(request_id)
        if record is None:
            return
        claiming = record.state == "claiming"
        if claiming or self._placement.withdraw(record.request):
            self._request_table.refuse(record, verdicts.Reason.CANCELLED, None)
        else:
            self._abandon(record, verdicts.Reason.CANCELLED)

    def _abandon(
        self, record: request_records.RequestRecord, reason: verdicts.Reason
    ) -> None:
        self._placement.attempt_ended(record, None)
        self._request_table.cancel_attempt(record)
        self._request_table.finish_uncertain(
            record, verdicts.MayHaveRun(reason)
        )

    def _stop(self) -> None:
        self._stopping = True
        for record in self._request_table.waiting():
            self._placement.withdraw(record.request)
            self._hand_over(record)

    def _hand_over(self, record: request_records.RequestRecord) -> None:
        request = record.request
        peer = None
        if not request.delegated:
            peer = routing.choose_peer(self._fleet.peer_digests(request.target))
        if peer is None:
            self._request_table.refuse(
                record, verdicts.Reason.STOPPING, STOPPING_RETRY_SECONDS
            )
            return
        self._collector.add_fact(
            request.request_id, "delegated", "stopping", peer.name
        )
        self._request_table.delegate(record, peer)
        self._handed_over.append(
            messages.split_request_id(request.request_id)[1]
        )

    def _cut(self) -> None:
        self._stopping = True
        for record in self._request_table.unfinished_records():
            if record.state == "waiting":
                self._placement.withdraw(record.request)
            if record.state in ("claiming", "waiting"):
                self._request_table.refuse(
                    record, verdicts.Reason.STOPPING, STOPPING_RETRY_SECONDS
                )
            else:
                self._abandon(record, verdicts.Reason.INSTANCE_CUT)


def _never_sent(verdict: verdicts.Verdict) -> bool:
    match verdict:
        case verdicts.NotRun(reason=verdicts.Reason.ENDPOINT_REFUSED):
            return False
        case verdicts.NotRun():
            return True
        case _:
            return False


def _effective_verdict(
    record: request_records.RequestRecord, verdict: verdicts.Verdict
) -> verdicts.Verdict:
    if record.first_token_received and isinstance(verdict, verdicts.NotRun):
        return verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
    return verdict
