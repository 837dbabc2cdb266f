"""Request placement: admission, queueing, dispatch and delegation."""

from cranberryglade import verdicts
from cranberryglade.scheduling import action_collector
from cranberryglade.scheduling import admission
from cranberryglade.scheduling import answer_lengths
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import peer_selection
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import probation
from cranberryglade.scheduling import queues
from cranberryglade.scheduling import request_records
from cranberryglade.scheduling import request_table
from cranberryglade.scheduling import routing
from cranberryglade.scheduling import speeds

NO_ENDPOINT_RETRY_SECONDS = 1.0
MAX_ATTEMPTS_FOR_DELEGATION = 3
ENDPOINT_WAIT_SECONDS = 1.0
MIN_OVERTAKING_SLACK_SECONDS = 5.0


class Placement:
    """Decides whether, where and when each request runs.

    Dispatches to the endpoint with the earliest predicted finish.
    """

    __slots__ = (
        "_attempts",
        "_collector",
        "_answer_lengths",
        "_fleet",
        "_peer_selector",
        "_request_table",
        "_probation",
        "_router",
    )

    def __init__(
        self,
        collector: action_collector.ActionCollector,
        domain_fleet: fleet.Fleet,
        table: request_table.RequestTable,
    ):
        self._collector = collector
        self._fleet = domain_fleet
        self._request_table = table
        self._answer_lengths = answer_lengths.AnswerLengths()
        self._router = routing.Router(
            self._answer_lengths, speeds.GenerationSpeeds()
        )
        self._peer_selector = peer_selection.PeerSelector(domain_fleet)
        self._probation = probation.Probation()
        self._attempts: dict[str, pools.Attempt] = {}

    def digests(self) -> tuple[messages.TargetDigest, ...]:
        """Returns the load of each pool, to be sent to peers."""
        return tuple(pool.digest() for pool in self._fleet.all_pools())

    def next_wake(self) -> float | None:
        """Returns when `process_queues` is due next, in seconds, or None."""
        expiries = [p.queue.next_expiry() for p in self._fleet.all_pools()]
        due = [self._probation.next_wake(), *expiries]
        return min((at for at in due if at is not None), default=None)

    def admit(self, record: request_records.RequestRecord) -> None:
        """Queues, delegates or refuses a new request."""
        request = record.request
        pool = self._fleet.pool(request.target)
        if not pool.serving:
            self._delegate_or_refuse(record)
            return
        run = self._router.run_seconds(pool, request)
        expected = admission.forecast(pool, request, run, self._collector.now)
        if self._hand_over(record, expected):
            return
        if expected.late_seconds > 0:
            self._shed_or_queue(record, pool, expected)
            return
        self._add_fact(record, "queued", "admitted", expected)
        self._enqueue(pool, request, run)

    def delegation_failed(
        self, record: request_records.RequestRecord, verdict: verdicts.NotRun
    ) -> None:
        """Records that a delegated request failed at the peer or on the way.

        Args:
            record: the request, before its state changes.
            verdict: why it has not run.
        """
        if record.peer is not None:
            target = record.request.target
            self._peer_selector.exclude_peer(
                target, record.peer, verdict.reason
            )

    def readmit(self, record: request_records.RequestRecord) -> None:
        """Queues, delegates or refuses a request that is to be retried."""
        request = record.request
        pool = self._fleet.pool(request.target)
        if not pool.serving:
            if record.may_have_run_reason is not None:
                self._await_endpoint(pool, request)
            else:
                self._delegate_or_refuse(record)
            return
        run = self._router.run_seconds(pool, request)
        expected = admission.forecast(pool, request, run, self._collector.now)
        if expected.late_seconds > 0:
            self._shed_or_queue(record, pool, expected)
            return
        self._enqueue(pool, request, run)

    def withdraw(self, request: messages.Request) -> bool:
        """Removes a request from its queue; returns False if not queued."""
        pool = self._fleet.pool(request.target)
        if pool.queue.remove(request.request_id) is None:
            return False
        pool.reservations.request_left(
            request.rank, self._collector.now, running=False
        )
        return True

    def first_token(self, record: request_records.RequestRecord) -> None:
        """Records a first token: the prefill speed and the cached prefix."""
        attempt = self._attempts.get(record.request.request_id)
        if attempt is None or attempt.first_token_at is not None:
            return
        attempt.first_token_at = self._collector.now
        self._end_prefill(attempt)
        attempt.member.set_prefix_cached(record.request.prefix, True)
        seconds = self._collector.now - record.dispatched_at
        tokens = attempt.pending_tokens
        self._router.speed(attempt.member).record_prefill(tokens, seconds)
        self._router.generation(attempt.member).record_prefill(tokens, seconds)
        if self._probation.record_first_token(attempt, seconds):
            self._suspect(attempt.member, "late first tokens")

    def attempt_ended(
        self, record: request_records.RequestRecord, output_tokens: int | None
    ) -> None:
        """Releases the slot of an attempt that ended.

        Args:
            record: the request, before its state changes.
            output_tokens: length of the complete answer; None if the attempt
                failed.
        """
        request = record.request
        if output_tokens:
            self._answer_lengths.record(request, output_tokens)
        attempt = self._attempts.pop(request.request_id, None)
        if attempt is None:
            return
        attempt.ended = True
        member = attempt.member
        pool = self._fleet.pool(request.target)
        pool.reservations.request_left(
            request.rank, self._collector.now, running=True
        )
        member.outstanding -= 1
        if attempt.first_token_at is None:
            self._end_prefill(attempt)
        if output_tokens is None:
            self._suspect(member, "failed attempt")
        else:
            self._update_speeds(record, attempt, output_tokens)

    def load_reported(self, event: messages.LoadReported) -> None:
        """Ignores load reports: this instance counts its own attempts."""

    def cache_reported(self, event: messages.CacheReported) -> None:
        """Records which prefix an engine has cached or evicted."""
        member = self._fleet.endpoint_state(event.name)
        if member is not None:
            member.set_prefix_cached(event.prefix, event.cached)

    def process_queues(self) -> None:
        """Refuses expired requests, then dispatches what can start.

        Before that, suspects endpoints with an overdue attempt, and readmits
        the requests of pools that have lost their last serving endpoint.
        """
        for member in self._probation.expire_timers(self._collector.now):
            self._suspect(member, "overdue answer")
        for pool in self._fleet.all_pools():
            if pool.needs_readmission:
                self._readmit_all(pool)
            self._expire(pool)
            while self._dispatch_one(pool):
                pass

    def _update_speeds(
        self,
        record: request_records.RequestRecord,
        attempt: pools.Attempt,
        output_tokens: int,
    ) -> None:
        now = self._collector.now
        seconds = now - record.dispatched_at
        self._fleet.pool(record.request.target).record_run(seconds)
        endpoint_speed = self._router.speed(attempt.member)
        generation_speed = self._router.generation(attempt.member)
        if record.request.output_tokens == 0:
            endpoint_speed.record_call(seconds)
            generation_speed.record_call(seconds)
        elif attempt.first_token_at is not None and output_tokens > 1:
            token_seconds = (now - attempt.first_token_at) / (output_tokens - 1)
            endpoint_speed.record_token_interval(token_seconds)
            if self._probation.record_answer(
                attempt, generation_speed, token_seconds
            ):
                self._suspect(attempt.member, "slower than its like")
            elif attempt.member.probation_limit is None:
                generation_speed.record_token_interval(token_seconds)

    def _suspect(self, member: pools.EndpointState, reason: str) -> None:
        trusted = self._fleet.pool(member.endpoint.target).trusted
        if member.probation_limit == 0 or trusted == [member]:
            return
        self._probation.suspect(member, self._collector.now)
        self._collector.add_fact(
            "", "endpoint suspected", reason, member.endpoint.name
        )

    def _end_prefill(self, attempt: pools.Attempt) -> None:
        member = attempt.member
        member.pending_prefill -= attempt.prefill_tokens
        member.long_prefills -= attempt.lane is queues.Lane.LONG

    def _hand_over(
        self,
        record: request_records.RequestRecord,
        expected: admission.Forecast,
    ) -> bool:
        request = record.request
        if request.delegated:
            return False
        proposal = self._peer_selector.better_than_local(request, expected)
        if proposal is None:
            return False
        self._delegate(record, proposal.candidate, proposal.reason, expected)
        return True

    def _delegate(
        self,
        record: request_records.RequestRecord,
        chosen: peer_selection.Candidate,
        reason: str,
        expected: admission.Forecast,
    ) -> None:
        self._add_fact(record, "delegated", reason, expected, chosen.peer.name)
        self._peer_selector.record_delegation(
            record.request, chosen.peer, expected.run_seconds
        )
        self._request_table.delegate(record, chosen.peer)

    def _shed_or_queue(
        self,
        record: request_records.RequestRecord,
        pool: pools.Pool,
        expected: admission.Forecast,
    ) -> None:
        request = record.request
        now = self._collector.now
        hopeless = now + expected.run_seconds > request.deadline
        if not hopeless and pool.queue.worst_rank > request.rank:
            self._add_fact(record, "queued", "lower tiers wait", expected)
            self._enqueue(pool, request, expected.run_seconds)
            return
        self._refuse(
            record, pool, verdicts.Reason.DEADLINE_CANNOT_BE_MET, expected
        )

    def _enqueue(
        self,
        pool: pools.Pool,
        request: messages.Request,
        run_seconds: float,
    ) -> None:
        lane = self._router.lane(request, run_seconds)
        now = self._collector.now
        latest_start = request.deadline - self._router.safe_seconds(
            pool, request
        )
        entry = queues.Entry(request, now, latest_start, lane, run_seconds)
        pool.queue.push(entry)
        pool.reservations.request_queued(request.rank, now)
        self._displace(pool)

    def _displace(self, pool: pools.Pool) -> None:
        # With one more request in the queue, the newest one of the lowest tier
        # may miss its latest start; if so, it is delegated or refused now.
        worst_rank = pool.queue.worst_rank
        entry = pool.queue.newest(worst_rank)
        wait = pool.wait_seconds(pool.queue.work_before(entry.request))
        now = self._collector.now
        if worst_rank == 0 or now + wait <= entry.latest_start:
            return
        self.withdraw(entry.request)
        record = self._request_table.get(entry.request.request_id)
        expected = admission.Forecast(
            wait, entry.work, now + wait - entry.latest_start
        )
        peer = None
        if not record.request.delegated and not record.attempt:
            peer = self._peer_selector.earliest_displacing(record.request)
        if peer is not None:
            reason = peer_selection.LOWER_TIERS_WAIT
            self._delegate(record, peer, reason, expected)
            return
        self._refuse(record, pool, verdicts.Reason.SHED, expected)

    def _refuse(
        self,
        record: request_records.RequestRecord,
        pool: pools.Pool,
        reason: verdicts.Reason,
        expected: admission.Forecast,
    ) -> None:
        retry = admission.reserve_retry(
            pool,
            record.request.rank,
            expected.run_seconds,
            self._collector.now,
        )
        self._request_table.refuse(record, reason, retry, _measures(expected))

    def _delegate_or_refuse(
        self, record: request_records.RequestRecord
    ) -> None:
        request = record.request
        best = None
        if (
            not request.delegated
            and record.attempt < MAX_ATTEMPTS_FOR_DELEGATION
        ):
            best = self._peer_selector.earliest(request)
        if best is None:
            self._request_table.refuse(
                record,
                verdicts.Reason.NO_ENDPOINT,
                NO_ENDPOINT_RETRY_SECONDS,
            )
            return
        expected = admission.Forecast(best.wait_seconds, 0.0, 0.0)
        self._delegate(record, best, "no own endpoint", expected)

    def _readmit_all(self, pool: pools.Pool) -> None:
        pool.needs_readmission = False
        newest = pool.queue.newest(pool.queue.worst_rank)
        if newest is None or (
            self._fleet.has_live_endpoint(pool.target)
            and self._peer_selector.earliest(newest.request) is None
        ):
            return
        waiting = []
        while entry := pool.queue.newest(pool.queue.worst_rank):
            self.withdraw(entry.request)
            waiting.append(entry.request.request_id)
        for request_id in reversed(waiting):
            self.readmit(self._request_table.get(request_id))

    def _await_endpoint(
        self, pool: pools.Pool, request: messages.Request
    ) -> None:
        now = self._collector.now
        latest_start = min(request.deadline, now + ENDPOINT_WAIT_SECONDS)
        pool.queue.push(queues.Entry(request, now, latest_start))
        pool.reservations.request_queued(request.rank, now)

    def _expire(self, pool: pools.Pool) -> None:
        while entry := pool.queue.pop_expired(self._collector.now):
            pool.reservations.request_left(
                entry.request.rank, self._collector.now, False
            )
            record = self._request_table.get(entry.request.request_id)
            late_seconds = self._collector.now - entry.latest_start
            expected = admission.Forecast(0.0, entry.work, late_seconds)
            reason = verdicts.Reason.NO_ENDPOINT
            if pool.serving:
                reason = verdicts.Reason.SHED
            self._refuse(record, pool, reason, expected)

    def _dispatch_one(self, pool: pools.Pool) -> bool:
        if not pool.free_slots:
            return False
        selected = self._select(pool)
        if selected is None:
            return False
        entry, choice = selected
        request = entry.request
        pool.queue.dequeue(entry)
        self._collector.add_fact(
            request.request_id,
            "dispatched",
            "earliest predicted finish",
            choice.member.endpoint.name,
            (
                messages.Measure(
                    "first_token_seconds", choice.first_token_seconds
                ),
                messages.Measure("finish_seconds", choice.finish_seconds),
            ),
        )
        pool.reservations.request_started(request.rank)
        self._start(entry, choice)
        return True

    def _select(self, pool: pools.Pool):
        now = self._collector.now
        for rank in pool.queue.ranks:
            if pool.reservations.available_slots(rank, pool.slots, now) < 1:
                return None
            short = pool.queue.head(rank, queues.Lane.SHORT)
            if short is not None:
                choice = self._router.choose(pool, short, now)
                if choice is not None:
                    return short, choice
            long = pool.queue.head(rank, queues.Lane.LONG)
            if long is None:
                continue
            choice = self._router.choose(pool, long, now)
            if choice is not None:
                return long, choice
            # Lower tiers must not overtake a long request that starts soon.
            if long.latest_start - now < MIN_OVERTAKING_SLACK_SECONDS:
                return None
        return None

    def _start(self, entry: queues.Entry, choice: routing.Choice) -> None:
        member = choice.member
        request = entry.request
        member.outstanding += 1
        member.pending_prefill += choice.prefill_tokens
        if entry.lane is queues.Lane.LONG:
            member.long_prefills += 1
        self._attempts[request.request_id] = pools.Attempt(
            member,
            entry.lane,
            choice.prefill_tokens,
            member.pending_prefill,
            choice.first_token_seconds,
        )
        self._probation.track_attempt(
            self._attempts[request.request_id],
            choice.longest_seconds,
            self._collector.now,
        )
        record = self._request_table.get(request.request_id)
        self._request_table.dispatch(record, member.endpoint)

    def _add_fact(
        self,
        record: request_records.RequestRecord,
        decision: str,
        reason: str,
        expected: admission.Forecast,
        subject: str = "",
    ) -> None:
        self._collector.add_fact(
            record.request.request_id,
            decision,
            reason,
            subject,
            _measures(expected),
        )


def _measures(expected: admission.Forecast) -> tuple[messages.Measure, ...]:
    return (
        messages.Measure("wait_seconds", expected.wait_seconds),
        messages.Measure("run_seconds", expected.run_seconds),
        messages.Measure("late_seconds", expected.late_seconds),
    )
