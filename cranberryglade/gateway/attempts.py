"""Attempts of requests at endpoints, from their slots to their ends."""

import asyncio
import dataclasses
import itertools
import math

from cranberryglade import log
from cranberryglade.gateway import allocation
from cranberryglade.gateway import budgets
from cranberryglade.gateway import dialect
from cranberryglade.gateway import endpoint_pauses
from cranberryglade.gateway import exchanges
from cranberryglade.gateway import messages
from cranberryglade.gateway import origin_sharing
from cranberryglade.gateway import process_verification
from cranberryglade.gateway import replacement
from cranberryglade.gateway import sending
from cranberryglade.gateway import state
from cranberryglade.hedging import control
from cranberryglade.preemption import offering

MIN_ATTEMPT_SECONDS = 0.05
"""Time left to the deadline at or below which no further attempt is made."""

MAX_CRASHES_PER_REQUEST = 2
"""Endpoint crashes under one request after which it is not sent again."""

MAX_DENIAL_PAUSE_SECONDS = 1.0
"""Longest time until a slot is asked for again for a begun answer."""

HEDGED = "hedged"
"""Failure of an attempt whose hedge had the answer first."""

logger = log.get_logger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """Why no further attempt of a request begins now.

    Attributes:
        reason: why, for logs.
        pause_seconds: time after which one may; inf if none ever may.
    """

    reason: str
    pause_seconds: float


class Attempts:
    """Begins and ends attempts; keeps to the limits on further ones."""

    __slots__ = (
        "_allocator",
        "_budget",
        "_hedges",
        "_origins",
        "_pauses",
        "_request_numbers",
        "_sender",
        "_state",
        "_verifier",
    )

    def __init__(
        self,
        shared: state.InstanceState,
        allocator: allocation.Allocator,
        budget: budgets.RetryBudget,
        sender: sending.Sender,
        pauses: endpoint_pauses.EndpointPauses,
        origins: origin_sharing.OriginSharing,
        verifier: process_verification.ProcessVerifier,
        hedges: control.HedgeControl,
    ):
        self._state = shared
        self._allocator = allocator
        self._budget = budget
        self._sender = sender
        self._pauses = pauses
        self._origins = origins
        self._verifier = verifier
        self._hedges = hedges
        self._request_numbers = itertools.count()

    def reserve(self, exchange: exchanges.Exchange) -> Refusal | None:
        """Takes a further attempt from the retry budget, if one may follow.

        `begin` uses it, or gives it back.

        Returns:
            Why none may follow; None if one may.
        """
        refusal = self._find_refusal(exchange)
        exchange.refusal = refusal.reason if refusal is not None else ""
        return refusal

    def reserve_hedge(
        self, exchange: exchanges.Exchange, late: exchanges.Attempt
    ) -> Refusal | None:
        """Takes a hedge from its share, and from the retry budget.

        `begin_hedge` uses it, or gives it back.

        Args:
            exchange: the request.
            late: its attempt whose answer is late. While that was not sent,
                another would be no repetition, but be counted as one.

        Returns:
            Why none may follow; None if one may.
        """
        if not late.sent.done():
            return Refusal("not_sent", 0.0)
        service = exchange.admitted.service
        now = asyncio.get_running_loop().time()
        stopping = self._state.shutdown.begun
        common = late.late_after_seconds is not None
        reason = self._hedges.try_take(service, stopping, now, common)
        if reason:
            return Refusal(reason, 0.0)
        refusal = self.reserve(exchange)
        exchange.hedge_taken_at = now
        exchange.hedge_is_common = common
        if refusal is not None:
            self.give_back_hedge(exchange)
        return refusal

    async def begin_hedge(
        self, exchange: exchanges.Exchange
    ) -> exchanges.Attempt | messages.Denied:
        """Sends the request to a second endpoint, if one has a free slot.

        Returns:
            As `begin`.
        """
        try:
            return await self.begin(exchange, persistent=False, hedge=True)
        finally:
            self.give_back_hedge(exchange)

    async def begin(
        self,
        exchange: exchanges.Exchange,
        persistent: bool,
        hedge: bool = False,
    ) -> exchanges.Attempt | messages.Denied:
        """Waits for a slot and sends the request to its endpoint.

        Args:
            exchange: the request.
            persistent: whether to ask again when there is no room.
            hedge: whether it is a hedge, which takes only a slot that is free.

        Returns:
            The attempt, which must be given to `end`; or why there is none.
        """
        reserved_at = exchange.retry_reserved_at
        try:
            while True:
                denied = await self._find_denial(exchange)
                if denied is not None:
                    exchange.refusal = denied.reason
                    return denied
                slot_request, decision = await self._acquire(
                    exchange, persistent, hedge
                )
                match decision:
                    case messages.Denied(reason=reason):
                        exchange.refusal = reason
                        return decision
                    case messages.Granted(endpoint=id_):
                        late_after = decision.late_after_seconds
                        endpoint = await self._find_endpoint(
                            exchange, slot_request, id_
                        )
                        if endpoint is not None:
                            return self._start(
                                exchange,
                                slot_request,
                                endpoint,
                                hedge,
                                late_after,
                            )
                        self._withhold(exchange, slot_request, id_)
        finally:
            # If this is cancelled, another retry may be reserved meanwhile.
            if exchange.retry_reserved_at == reserved_at:
                self.give_back(exchange)

    def give_back(self, exchange: exchanges.Exchange) -> None:
        """Gives a retry back that was reserved and not sent."""
        reserved_at = exchange.retry_reserved_at
        if reserved_at is not None:
            exchange.retry_reserved_at = None
            self._budget.give_back(exchange.admitted.service, reserved_at)

    def give_back_hedge(self, exchange: exchanges.Exchange) -> None:
        """Gives a hedge back to its share that no attempt has."""
        taken_at, exchange.hedge_taken_at = exchange.hedge_taken_at, None
        if taken_at is not None:
            self._hedges.give_back(
                exchange.admitted.service, taken_at, exchange.hedge_is_common
            )

    def end(
        self,
        exchange: exchanges.Exchange,
        attempt: exchanges.Attempt,
        outcome: messages.Outcome,
    ) -> None:
        """Ends an attempt: stops it, unless it is whole, and frees its slot."""
        if outcome is not messages.Outcome.SERVED:
            attempt.stop()
        elif attempt.first_answer_seconds is not None:
            self._record_latency(exchange, attempt, attempt.answered_at)
        self._conclude(exchange, attempt, outcome)
        self._allocator.release(
            attempt.slot_request, outcome, _seconds_to_tell(attempt, outcome)
        )
        if outcome is not messages.Outcome.SERVED:
            self._log_end(exchange, attempt, outcome)

    async def stop(self, attempt: exchanges.Attempt) -> None:
        """Stops an attempt, and returns once its connection is closed."""
        attempt.stop()
        if not attempt.opening.done():
            await asyncio.wait([attempt.opening])

    def drop_replacement(self, exchange: exchanges.Exchange) -> None:
        """Ends the attempt that was to replace a silent one, if any."""
        attempt = exchange.take_replacement()
        if attempt is not None:
            self.end(exchange, attempt, messages.Outcome.ABANDONED)

    async def settle(
        self,
        exchange: exchanges.Exchange,
        attempt: exchanges.Attempt,
        result: sending.Result,
        problem: str = "",
    ) -> messages.Outcome:
        """Records the result of an attempt that cannot be relayed.

        Args:
            exchange: the request.
            attempt: the attempt.
            result: its result.
            problem: why a stream whose head is right does not go on.

        Returns:
            How the attempt ended, for `end`.
        """
        match result:
            case sending.Answer(outcome=outcome, head=head):
                exchange.earlier_attempt_may_have_run = True
                exchange.answer_framing = head.framing
                attempt.failure = await self.doubt_end(
                    exchange, attempt.endpoint
                )
                if attempt.failure:
                    outcome = await self.explain_loss(exchange, attempt)
                else:
                    exchange.fallback_answer = result
            case sending.StreamStarted(head=head):
                attempt.failure = problem or exchange.find_mismatch(head)
                attempt.stop()
                exchange.earlier_attempt_may_have_run = True
                outcome = await self.explain_loss(exchange, attempt)
            case sending.AttemptFailure(outcome, reason):
                attempt.failure = reason
                if not outcome.not_run:
                    exchange.earlier_attempt_may_have_run = True
                    outcome = await self.explain_loss(exchange, attempt)
                self._conclude(exchange, attempt, outcome)
        return outcome

    async def explain_loss(
        self, exchange: exchanges.Exchange, attempt: exchanges.Attempt
    ) -> messages.Outcome:
        """Returns how an attempt ended whose answer was lost."""
        if not await self._sender.has_ended(attempt.endpoint):
            return messages.Outcome.LOST
        exchange.crashes += 1
        return messages.Outcome.CRASHED

    async def doubt_end(
        self, exchange: exchanges.Exchange, endpoint: messages.Endpoint
    ) -> str:
        """Returns why an answer that seems whole may not be; "" if it is.

        The end of an answer without framing is that of its connection, and the
        connections of an endpoint that crashes end as well. One that leaves
        ends its answers first.

        Args:
            exchange: the request.
            endpoint: the endpoint whose answer has ended.
        """
        if exchange.answer_framing is not dialect.Framing.CONNECTION_CLOSE:
            return ""
        if self._has_left(endpoint):
            return ""
        patience = 0.0
        if not exchange.admitted.route.kind.retryable:
            # Nothing can take the place of what was received.
            patience = exchange.remaining_seconds - MIN_ATTEMPT_SECONDS
        if await self._sender.still_runs(endpoint, patience):
            return ""
        # It may have been listed so while it was asked.
        if self._has_left(endpoint):
            return ""
        return "answer may have ended with its endpoint"

    def _has_left(self, endpoint: messages.Endpoint) -> bool:
        """Returns whether an endpoint is leaving, or not listed any more."""
        listed = self._state.endpoints.get(endpoint.id)
        return listed is None or listed.leaving

    async def verify_origin(self, exchange: exchanges.Exchange) -> bool:
        """Returns whether it is known what began a stream that may go on."""
        tentative = exchange.tentative
        if tentative is None:
            return True
        endpoint = tentative.endpoint
        if await self._verifier.began(endpoint, tentative.begun):
            exchange.tentative = None
            return True
        self._origins.refute(exchange.facts.id, endpoint.service)
        return False

    def is_origin_certain(self, exchange: exchanges.Exchange) -> bool:
        """Returns whether it is known already what began a stream."""
        tentative = exchange.tentative
        return tentative is None or self._verifier.is_confirmed(tentative.begun)

    async def give_up_silent(
        self, exchange: exchanges.Exchange, attempt: exchanges.Attempt
    ) -> messages.Outcome:
        """Stops a silent attempt, as another one goes on.

        Returns:
            How it ended, for `end`.
        """
        attempt.failure = "silent"
        attempt.stop()
        exchange.earlier_attempt_may_have_run = True
        self._sender.distrust(attempt.endpoint)
        return await self.explain_loss(exchange, attempt)

    def give_up_late(
        self, exchange: exchanges.Exchange, attempt: exchanges.Attempt
    ) -> messages.Outcome:
        """Stops a late attempt, as its hedge has the answer.

        Returns:
            How it ended, for `end`: nothing is known against its endpoint.
        """
        attempt.failure = HEDGED
        attempt.stop()
        exchange.earlier_attempt_may_have_run = True
        if attempt.sent.done():
            now = asyncio.get_running_loop().time()
            self._record_latency(exchange, attempt, now)
        return messages.Outcome.ABANDONED

    def _record_latency(
        self,
        exchange: exchanges.Exchange,
        attempt: exchanges.Attempt,
        ended_at: float | None,
    ) -> None:
        """Records how long an attempt that is no hedge took to a time."""
        if attempt.is_hedge or ended_at is None:
            return
        self._hedges.record_answer(
            exchange.admitted.service,
            exchange.admitted.route.kind,
            ended_at - attempt.sent.result(),
            ended_at,
        )

    def _find_refusal(self, exchange: exchanges.Exchange) -> Refusal | None:
        route = exchange.admitted.route
        if exchange.may_have_run and not route.kind.retryable:
            return Refusal("once_only", math.inf)
        if not exchange.splitter.resumable:
            return Refusal("event_without_id", math.inf)
        if exchange.crashes >= MAX_CRASHES_PER_REQUEST:
            return Refusal("crashes", math.inf)
        if len(exchange.attempted_endpoints) >= route.max_attempts:
            return Refusal("attempts_used_up", math.inf)
        if exchange.remaining_seconds <= MIN_ATTEMPT_SECONDS:
            return Refusal("deadline", math.inf)
        denied = self._find_quarantine(exchange)
        if denied is not None:
            return Refusal(denied.reason, denied.retry_after_seconds)
        if not self._spend_retry(exchange):
            return Refusal("retry_budget", 0.0)
        return None

    def _spend_retry(self, exchange: exchanges.Exchange) -> bool:
        if not exchange.attempted_endpoints:
            return True
        if exchange.retry_reserved_at is not None:
            # An attempt that was to yield its slot has failed meanwhile.
            return True
        now = asyncio.get_running_loop().time()
        service = exchange.admitted.service
        share = self._state.limit_share
        if not self._budget.try_spend(service, share, now):
            return False
        exchange.retry_reserved_at = now
        return True

    def _record_sent(
        self, exchange: exchanges.Exchange, attempt: exchanges.Attempt
    ) -> None:
        """Records that an attempt is sent now, and counts it if a retry."""
        attempt.record_sent()
        reserved_at = attempt.take_retry()
        if reserved_at is not None:
            now = asyncio.get_running_loop().time()
            service = exchange.admitted.service
            self._budget.record_sent(service, reserved_at, now)

    async def _acquire(
        self, exchange: exchanges.Exchange, persistent: bool, hedge: bool
    ) -> tuple[messages.SlotRequest, messages.Decision]:
        """Asks for a slot; if it persists, again whenever there is no room."""
        while True:
            slot_request = self._build_slot_request(exchange)
            if hedge:
                slot_request = _at_once(slot_request, exchange.hedge_is_common)
            exchange.cost_submitted = True
            decision = await self._allocator.acquire(slot_request)
            self._hedges.record_slot_decision(slot_request.service, decision)
            pause = self._pause_for_room(exchange, decision)
            if not persistent or pause is None:
                return slot_request, decision
            logger.info(
                "request.held",
                id=exchange.facts.id,
                reason=decision.reason,
                pause_ms=round(pause * 1000),
                left_ms=round(exchange.remaining_seconds * 1000),
            )
            await asyncio.sleep(pause)

    def _pause_for_room(
        self, exchange: exchanges.Exchange, decision: messages.Decision
    ) -> float | None:
        """Returns the time after which there may be room.

        None if there is a slot, or no endpoint is left: the caller may send the
        request again, which may then run at those that this one excludes.
        """
        match decision:
            case messages.Denied(reason=reason) if (
                reason in messages.NO_ROOM
                or self.paused_seconds(exchange) is not None
            ):
                pause = max(
                    decision.retry_after_seconds,
                    replacement.MIN_SEEK_PAUSE_SECONDS,
                )
                pause = min(pause, MAX_DENIAL_PAUSE_SECONDS)
                left = exchange.remaining_seconds - MIN_ATTEMPT_SECONDS
                return pause if pause < left else None
        return None

    def paused_seconds(self, exchange: exchanges.Exchange) -> float | None:
        """Returns after which time an endpoint ends the pause it asked for.

        None if one that may run the request is not paused, or there is none.
        """
        usable = (
            endpoint
            for endpoint in self._state.endpoints.values()
            if endpoint.service == exchange.admitted.service
            and exchange.may_be_sent_to(endpoint)
        )
        now = asyncio.get_running_loop().time()
        return self._pauses.seconds_left(usable, now)

    async def _find_denial(
        self, exchange: exchanges.Exchange
    ) -> messages.Denied | None:
        """Returns why no slot is asked for; None if one is."""
        denied = self._find_quarantine(exchange)
        if denied is None and not await self.verify_origin(exchange):
            denied = messages.Denied(
                exchange.facts.id,
                messages.ORIGIN_UNKNOWN,
                MAX_DENIAL_PAUSE_SECONDS,
            )
        return denied

    def _find_quarantine(
        self, exchange: exchanges.Exchange
    ) -> messages.Denied | None:
        now = asyncio.get_running_loop().time()
        entry = self._state.quarantine.find(exchange.parts, now)
        if entry is None:
            return None
        return messages.Denied(
            exchange.facts.id, messages.QUARANTINED, entry.until - now
        )

    async def _find_endpoint(
        self,
        exchange: exchanges.Exchange,
        slot_request: messages.SlotRequest,
        endpoint_id: str,
    ) -> messages.Endpoint | None:
        """Returns the granted endpoint if the request may be sent to it."""
        endpoint = self._state.endpoints.get(endpoint_id)
        if endpoint is None or not self._may_send(exchange, endpoint):
            return None
        if exchange.origin is None:
            return endpoint
        # A stream goes on only where the version is certain.
        try:
            unusable = await self._verifier.find_unusable(endpoint)
        except BaseException:
            abandoned = messages.Outcome.ABANDONED
            self._allocator.release(slot_request, abandoned)
            raise
        exchange.excluded_endpoints += unusable
        if unusable:
            return None
        endpoint = self._state.endpoints.get(endpoint_id)
        if endpoint is None or not self._may_send(exchange, endpoint):
            return None
        return endpoint

    def _may_send(
        self, exchange: exchanges.Exchange, endpoint: messages.Endpoint
    ) -> bool:
        now = asyncio.get_running_loop().time()
        if self._state.quarantine.find(exchange.parts, now) is not None:
            return False
        paused = self._pauses.is_paused(endpoint, now)
        return not paused and exchange.may_be_sent_to(endpoint)

    def _withhold(
        self,
        exchange: exchanges.Exchange,
        slot_request: messages.SlotRequest,
        endpoint_id: str,
    ) -> None:
        """Returns a slot whose endpoint may not run the request any more."""
        exchange.excluded_endpoints.append(endpoint_id)
        abandoned = messages.Outcome.ABANDONED
        self._allocator.release(slot_request, abandoned)
        logger.info(
            "attempt.ended",
            id=exchange.facts.id,
            endpoint=endpoint_id,
            outcome=abandoned.value,
            reason="not sent",
            left_ms=round(exchange.remaining_seconds * 1000),
        )

    def _start(
        self,
        exchange: exchanges.Exchange,
        slot_request: messages.SlotRequest,
        endpoint: messages.Endpoint,
        hedge: bool,
        late_after_seconds: float | None,
    ) -> exchanges.Attempt:
        admitted = exchange.admitted
        exchange.attempted_endpoints.append(endpoint)
        exchange.excluded_endpoints.append(endpoint.id)
        exchange.attempts_in_progress += 1
        added = dialect.AddedHeaders(
            endpoint=endpoint.id,
            organisation=admitted.organisation_name,
            remaining_seconds=exchange.remaining_seconds,
            last_event_id=exchange.splitter.last_id,
        )
        attempt = exchanges.Attempt(
            endpoint,
            slot_request,
            exchange.retry_reserved_at,
            hedge,
            exchange.hedge_taken_at,
            late_after_seconds,
        )
        exchange.retry_reserved_at = None
        exchange.hedge_taken_at = None
        attempt.opening = asyncio.create_task(
            self._send(exchange, attempt, added)
        )
        return attempt

    async def _send(
        self,
        exchange: exchanges.Exchange,
        attempt: exchanges.Attempt,
        added: dialect.AddedHeaders,
    ) -> sending.Result:
        """Sends an attempt; one that meets an unexpected error is lost.

        Another attempt of the same request does not end by it.
        """
        kind = exchange.admitted.route.kind
        try:
            result = await self._sender.send(
                exchange.request,
                attempt.endpoint,
                added,
                exchange.facts,
                kind.retryable,
                kind.streams,
                lambda: self._record_sent(exchange, attempt),
            )
        except Exception:
            logger.exception("attempt.faulted", id=exchange.facts.id)
            self._state.metrics.count_event("attempt_faulted")
            return sending.AttemptFailure(messages.Outcome.LOST, "fault")
        if isinstance(result, sending.Answer):
            attempt.answered_at = asyncio.get_running_loop().time()
        return result

    def _conclude(
        self,
        exchange: exchanges.Exchange,
        attempt: exchanges.Attempt,
        outcome: messages.Outcome,
    ) -> None:
        """Counts an attempt as no longer in progress, once."""
        if not attempt.in_progress:
            return
        attempt.in_progress = False
        exchange.attempts_in_progress -= 1
        never_sent = outcome.not_run or outcome is messages.Outcome.ABANDONED
        if never_sent and not attempt.sent.done():
            self._uncount(exchange, attempt, outcome)
        elif not outcome.not_run:
            exchange.earlier_attempt_may_have_run = True

    def _uncount(
        self,
        exchange: exchanges.Exchange,
        attempt: exchanges.Attempt,
        outcome: messages.Outcome,
    ) -> None:
        """Takes back what an attempt used up that was not sent."""
        exchange.attempted_endpoints.remove(attempt.endpoint)
        if outcome is messages.Outcome.ABANDONED:
            # Nothing is known against its endpoint.
            exchange.excluded_endpoints.remove(attempt.endpoint.id)
        if attempt.hedge_taken_at is not None:
            service = exchange.admitted.service
            self._hedges.give_back(
                service, attempt.hedge_taken_at, exchange.hedge_is_common
            )
        reserved_at = attempt.take_retry()
        if reserved_at is not None:
            self._budget.give_back(exchange.admitted.service, reserved_at)

    def _build_slot_request(
        self, exchange: exchanges.Exchange
    ) -> messages.SlotRequest:
        admitted = exchange.admitted
        facts = exchange.facts
        wait_until = exchange.arrived + admitted.max_wait_seconds
        due = exchange.arrived + admitted.route.target_latency_seconds
        # What has begun is not given up for want of a slot.
        if exchange.begun or exchange.attempts_in_progress or exchange.yielded:
            wait_until = exchange.deadline - MIN_ATTEMPT_SECONDS
        if exchange.begun:
            due = (
                exchange.last_received_at
                + replacement.caller_timeout_seconds(admitted.route)
            )
        return messages.SlotRequest(
            id=f"{self._state.incarnation}.{next(self._request_numbers)}",
            service=admitted.service,
            rank=offering.rank(exchange),
            kind=admitted.route.kind,
            prompt_tokens=facts.prompt_tokens,
            output_tokens=min(facts.expected_tokens, facts.output_tokens),
            wait_until=wait_until,
            first_answer_due=due,
            excluded_endpoints=(
                *exchange.excluded_endpoints,
                *self._state.directory.announced,
                *self._pauses.paused_ids(
                    self._state.endpoints, asyncio.get_running_loop().time()
                ),
            ),
            organisation=admitted.organisation_name,
            cost=0.0 if exchange.cost_submitted else admitted.cost,
            software_version=(
                exchange.origin.software_version if exchange.origin else None
            ),
            parts=exchange.parts,
            yields=offering.offers(exchange, self._state.contention.enabled),
        )

    def _log_end(
        self,
        exchange: exchanges.Exchange,
        attempt: exchanges.Attempt,
        outcome: messages.Outcome,
    ) -> None:
        fields = {}
        if attempt.is_current:
            fields = exchange.answer_log_fields()
        logger.info(
            "attempt.ended",
            id=exchange.facts.id,
            endpoint=attempt.endpoint.id,
            outcome=outcome.value,
            reason=attempt.failure,
            left_ms=round(exchange.remaining_seconds * 1000),
            prompt_parts=exchange.facts.prompt_parts,
            digest=exchange.digest,
            **fields,
        )


def _at_once(
    request: messages.SlotRequest, common: bool
) -> messages.SlotRequest:
    """Returns the slot request of a hedge, which waits for no slot."""
    now = asyncio.get_running_loop().time()
    return dataclasses.replace(
        request,
        rank=messages.HEDGE_RANK,
        wait_until=now,
        takes_common_hedge=common,
    )


def _seconds_to_tell(
    attempt: exchanges.Attempt, outcome: messages.Outcome
) -> float | None:
    """Returns the time of an attempt that its granter is told.

    Of a hedge that is abandoned, or an attempt that its hedge overtook, it is
    the time since it was sent; without it, the granter would take the hedge for
    unsent, and learn only from the answers that were not hedged.
    """
    seconds = attempt.first_answer_seconds
    hedged = attempt.is_hedge or attempt.failure == HEDGED
    abandoned = outcome is messages.Outcome.ABANDONED
    if seconds is None and hedged and abandoned and attempt.sent.done():
        now = asyncio.get_running_loop().time()
        return now - attempt.sent.result()
    return seconds
