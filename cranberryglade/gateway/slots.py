"""Grants slots of endpoints to requests from one queue.

Load pattern: for seconds at a time there are more requests than slots, on
endpoints whose speeds differ by several times. Requests wait in this queue,
ordered by rank and by whether they can still meet their target time, and not
in the endpoints' own queues. So each request runs where a slot becomes free
first, and none is stuck behind a slow endpoint.
"""

from collections.abc import Iterable
import heapq

from cranberryglade import crash_evidence
from cranberryglade import quarantine
from cranberryglade.gateway import endpoint_group
from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import leases
from cranberryglade.gateway import messages
from cranberryglade.gateway import slot_queue
from cranberryglade.hedging import options as hedging_options
from cranberryglade.hedging import service_hedges
from cranberryglade.placement import options as placement_options
from cranberryglade.placement import placing
from cranberryglade.preemption import denials
from cranberryglade.preemption import forecast
from cranberryglade.preemption import options
from cranberryglade.preemption import preempting
from cranberryglade.preemption import tables
from cranberryglade.rollouts import comparison
from cranberryglade.rollouts import gate

INITIAL_BACKOFF_SECONDS = 0.4
MAX_BACKOFF_SECONDS = 4.0
REFUSED_BACKOFF_SECONDS = 0.1
EXPIRED_RETRY_SECONDS = 0.5
"""Retry-After of a request whose wait is over, if returns are not scheduled."""

MAX_RESTORED = 8
"""Requests that found no endpoint among the free ones, and are tried again when
another becomes free; all are tried again from time to time."""


class SlotScheduler:
    """Slots and queues of the allocator; performs no I/O.

    Callers pass in events and the time `now`, in seconds of the loop's clock,
    and deliver the decisions that the methods return.

    Attributes:
        placing: what requests prefer among the endpoints.
    """

    __slots__ = (
        "_denials",
        "_expiries",
        "_groups",
        "_hedges",
        "_leases",
        "_options",
        "_preemption",
        "_quarantine",
        "_quarantine_revision",
        "_queues",
        "_rates",
        "_states",
        "_versions",
        "_waiting",
        "placing",
    )

    def __init__(
        self,
        crashing_parts: quarantine.Quarantine | None = None,
        limits: endpoint_limits.EndpointLimits | None = None,
        placement: placement_options.PlacementOptions | None = None,
        contention: options.PreemptionOptions | None = None,
        versions: gate.VersionGate | None = None,
        hedges: service_hedges.ServiceHedges | None = None,
    ):
        """Creates a scheduler without endpoints.

        Args:
            crashing_parts: what crashes endpoints; None for a
                record of its own.
            limits: the limits that endpoints name; None for none.
            placement: terms of the cost of an endpoint; None for the defaults.
            contention: what operators set for contention; None for the
                defaults.
            versions: limits the software versions that get slots; None to
                treat all alike.
            hedges: shares hedges over all instances; None to share none.
        """
        self.placing = placing.Placing(
            placement or placement_options.PlacementOptions()
        )
        self._options = contention or options.PreemptionOptions()
        self._versions = versions
        self._hedges = hedges or service_hedges.ServiceHedges(
            hedging_options.HedgingOptions()
        )
        self._quarantine = crashing_parts or quarantine.Quarantine()
        self._quarantine_revision = self._quarantine.revision
        self._rates = endpoint_group.EndpointRates(
            limits or endpoint_limits.EndpointLimits()
        )
        self._states: dict[str, endpoint_states.EndpointState] = {}
        self._groups: dict[str, endpoint_group.EndpointGroup] = {}
        self._leases = leases.LeaseTable()
        self._queues: dict[str, slot_queue.SlotQueue] = {}
        self._waiting: dict[str, endpoint_states.QueuedRequest] = {}
        self._expiries: list[tuple[float, str]] = []
        shared = tables.SlotTables(
            self._states, self._groups, self._queues, self._waiting
        )
        wait_forecast = forecast.WaitForecast(self._queues, self._rates)
        self._denials = denials.Denials(shared, wait_forecast, self._options)
        self._preemption = preempting.Preemption(
            shared, wait_forecast, self._options, self.suspects
        )

    @property
    def lease_count(self) -> int:
        """Number of slots in use."""
        return len(self._leases)

    @property
    def queue_length(self) -> int:
        """Number of requests in the queues."""
        return len(self._waiting)

    @property
    def promised_returns(self) -> int:
        """Number of refused requests that were told when to come back."""
        return self._denials.promised_returns

    @property
    def limit_share(self) -> float:
        """Share of the endpoints' limits that may be granted here."""
        return self._rates.limit_share

    @limit_share.setter
    def limit_share(self, share: float) -> None:
        self._rates.limit_share = share

    def set_allocating(self, allocating: bool, now: float) -> None:
        """Records whether this instance grants slots to all others."""
        self._hedges.set_allocating(allocating, now)

    def update_endpoints(
        self, listed: dict[str, messages.Endpoint], now: float
    ) -> list[endpoint_states.SlotDecision]:
        """Applies the current list of endpoints.

        A restarted endpoint keeps its leases but loses its statistics.

        Returns:
            Grants that the new list makes possible.
        """
        for name in self._states.keys() - listed.keys():
            self._leave_group(self._states.pop(name))
        for name, entry in listed.items():
            state = self._states.get(name)
            if state is not None and state.endpoint == entry:
                state.endpoint = entry
                continue
            if state is not None:
                self._leave_group(state)
            if state is None or state.endpoint.started_ms != entry.started_ms:
                held = self._leases.at(name)
                state = endpoint_states.EndpointState(entry, held)
            state.endpoint = entry
            self._states[name] = state
            self._join_group(state, now)
        self._leases.forget_endpoints(self._states)
        self.placing.forget_endpoints(self._states)
        return self._grant_all(now)

    def request_slot(
        self, holder: str, request: messages.SlotRequest, now: float
    ) -> list[endpoint_states.SlotDecision]:
        """Grants a slot, queues the request, or denies it.

        Returns:
            Decisions on this request and on others in the queue; for a
            repeated request, its earlier grant, or nothing while it waits.
        """
        held = self._leases.get(request.id)
        if held is not None:
            late_after = self._hedges.late_after_seconds(held.request, now)
            granted = messages.Granted(request.id, held.endpoint, late_after)
            return [endpoint_states.SlotDecision(holder, granted)]
        if request.id in self._waiting:
            return []
        hedge_denied = self._hedges.deny(request)
        if hedge_denied is not None:
            return [endpoint_states.SlotDecision(holder, hedge_denied)]
        self._hedges.record_request(request, now)
        if self._versions is not None:
            self._versions.record_request(request)
        waiting = self._make_waiting(holder, request, now)
        self._enqueue(waiting)
        decisions = self._deny_if_quarantined([request.id], now)
        decisions += self._grant_waiting(request.service, now)
        if request.id in self._waiting:
            preempted = self._preemption.ask_if_late(waiting, now)
            decisions += preempted
            denied = (
                None if preempted else self._denials.deny_early(waiting, now)
            )
            if denied is not None:
                self.withdraw(request.id)
                decisions.append(endpoint_states.SlotDecision(holder, denied))
        return decisions

    def keep(
        self, holder: str, id_: str, now: float
    ) -> list[endpoint_states.SlotDecision]:
        """Records that a request does not yield its slot.

        Returns:
            The next request that is asked instead, if there is any.
        """
        lease = self._leases.get(id_)
        if lease is None or lease.holder != holder:
            return []
        return self._preemption.keep(id_, now)

    def withdraw(self, id_: str) -> None:
        """Removes a request from the queue."""
        waiting = self._waiting.pop(id_, None)
        if waiting is not None:
            self._queues[waiting.request.service].remove(id_)

    def release(
        self,
        id_: str,
        outcome: messages.Outcome,
        now: float,
        first_answer_seconds: float | None = None,
    ) -> list[endpoint_states.SlotDecision]:
        """Frees a slot and updates its endpoint from the attempt's outcome.

        Args:
            id_: id of the request.
            outcome: how the attempt ended.
            now: seconds of the loop's clock.
            first_answer_seconds: seconds from its sending to its answer, or
                its stream's first events; None if it had none.

        Returns:
            Grants that the free slot makes possible.
        """
        lease = self._leases.remove(id_)
        if lease is None:
            return []
        self._preemption.remove(lease)
        self._hedges.record_release(lease, outcome, first_answer_seconds, now)
        state = self._states.get(lease.endpoint)
        if state is None:
            return []
        schedule = self._denials.return_schedule(state.endpoint.service)
        schedule.record_freed(lease.work_units, now)
        self._apply_outcome(state, lease, outcome, now, first_answer_seconds)
        if self._versions is not None and comparison.is_evidence(
            lease, outcome, first_answer_seconds
        ):
            answer = comparison.describe(
                lease, state, outcome, first_answer_seconds, now
            )
            self._versions.record_outcome(state.endpoint, answer)
        self._renew(lease.endpoint, now)
        return self._grant_waiting(state.endpoint.service, now)

    def apply_report(
        self, holder: str, reported: list[messages.Granted], now: float
    ) -> list[endpoint_states.SlotDecision]:
        """Registers the attempts that an instance reports as running.

        Leases of that holder that are missing from the report are freed,
        except those granted too recently to be in it.

        Returns:
            Grants that the freed slots make possible.
        """
        listed = {each.id: each.endpoint for each in reported}
        missing = [
            id_
            for id_, lease in self._leases.of(holder).items()
            if id_ not in listed
            and now - lease.granted_at > denials.MIN_RETRY_AFTER_SECONDS
        ]
        for id_, endpoint in listed.items():
            if id_ not in self._leases:
                self.register_lease(holder, id_, None, endpoint, now)
        return self._drop_leases(missing, now)

    def register_lease(
        self,
        holder: str,
        id_: str,
        request: messages.SlotRequest | None,
        endpoint: str,
        now: float,
    ) -> None:
        """Registers a lease that another instance granted."""
        lease = endpoint_states.Lease(holder, request, endpoint, now)
        self._leases.add(id_, lease)
        self._renew(endpoint, now)

    def contains(self, id_: str) -> bool:
        """Returns whether a request waits or has a slot."""
        return id_ in self._leases or id_ in self._waiting

    def endpoint_of(self, id_: str) -> str:
        """Returns the endpoint that a request runs at; "" without a slot."""
        lease = self._leases.get(id_)
        return lease.endpoint if lease is not None else ""

    def record_evidence(
        self,
        id_: str,
        parts: tuple[str, ...],
        outcome: messages.Outcome,
        now: float,
    ) -> None:
        """Records what an attempt's end tells of the parts of its request.

        To be called before its slot is released, as an endpoint's crash ends
        the other attempts there too.
        """
        lease = self._leases.get(id_)
        if not parts and lease is not None and lease.request is not None:
            parts = lease.request.parts
        if outcome is messages.Outcome.SERVED:
            self._quarantine.record_served(parts, now)
        if outcome is not messages.Outcome.CRASHED or lease is None:
            return
        state = self._states.get(lease.endpoint)
        process = messages.EndpointProcess(lease.endpoint, 0)
        if state is not None:
            process = state.endpoint.process
        running = [
            crash_evidence.RunningAttempt(parts, lease.granted_at),
            *self._running_at(lease.endpoint),
        ]
        complete = self._grants_all_at(lease.endpoint)
        self._quarantine.record_crash(process, running, now, complete)

    def candidates(
        self, request: messages.SlotRequest
    ) -> tuple[list[endpoint_states.EndpointState], float]:
        """Returns who may run a request, and the median pace; to be read."""
        group = self._groups.get(request.service)
        if group is None:
            return [], endpoint_group.DEFAULT_PACE
        return list(group.usable(request)), group.median_pace

    def suspects(self, parts: tuple[str, ...]) -> bool:
        """Returns whether any of some parts may crash endpoints."""
        return bool(self._quarantine.evidence.suspected(parts))

    def requests_at(self, endpoints: Iterable[str]) -> list[str]:
        """Returns the ids of the requests that run at some endpoints.

        A stream that broke off there and waits to go on at the same software
        version counts as well.
        """
        names = list(endpoints)
        listed = [self._states[name] for name in names if name in self._states]
        versions = {
            (each.endpoint.service, each.endpoint.software_version)
            for each in listed
        }
        waiting = [
            id_
            for id_, each in self._waiting.items()
            if (each.request.service, each.request.software_version) in versions
        ]
        running = [id_ for name in names for id_ in self._leases.at(name)]
        return running + waiting

    def leases_of(self, holder: str) -> list[messages.Granted]:
        """Returns the leases of one instance."""
        return [
            messages.Granted(id_, lease.endpoint)
            for id_, lease in self._leases.of(holder).items()
        ]

    def remove_holder(
        self, holder: str, now: float
    ) -> list[endpoint_states.SlotDecision]:
        """Drops the leases and queued requests of an unreachable instance.

        Returns:
            Grants that the freed slots make possible.
        """
        for id_, waiting in list(self._waiting.items()):
            if waiting.holder == holder:
                self.withdraw(id_)
        return self._drop_leases(list(self._leases.of(holder)), now)

    def tick(self, now: float) -> list[endpoint_states.SlotDecision]:
        """Denies requests that waited too long, and grants free slots.

        Returns:
            The denials and grants.
        """
        decisions = []
        while self._expiries and self._expiries[0][0] <= now:
            _, id_ = heapq.heappop(self._expiries)
            waiting = self._waiting.get(id_)
            if waiting is None or now < waiting.request.wait_until:
                continue
            self.withdraw(id_)
            denied = self._denials.deny_for_now(
                waiting, "waited", EXPIRED_RETRY_SECONDS, now
            )
            decisions.append(
                endpoint_states.SlotDecision(waiting.holder, denied)
            )
        decisions += self._grant_all(now)
        return decisions + self._preemption.ask_at_last_moment(now)

    def _running_at(self, endpoint: str) -> list[crash_evidence.RunningAttempt]:
        return [
            crash_evidence.RunningAttempt(lease.request.parts, lease.granted_at)
            for lease in self._leases.at(endpoint).values()
            if lease.request is not None
        ]

    def _grants_all_at(self, endpoint: str) -> bool:
        """Returns whether all that runs at an endpoint was granted here."""
        return all(
            lease.granted_here for lease in self._leases.at(endpoint).values()
        )

    def _join_group(
        self, state: endpoint_states.EndpointState, now: float
    ) -> None:
        if state.endpoint.leaving:
            return
        service = state.endpoint.service
        group = self._groups.get(service)
        if group is None:
            group = endpoint_group.EndpointGroup(
                self._rates, self.placing.orders_domains
            )
            self._groups[service] = group
        group.add(state, now)

    def _leave_group(self, state: endpoint_states.EndpointState) -> None:
        if not state.endpoint.leaving:
            self._groups[state.endpoint.service].remove(state)

    def _renew(self, endpoint: str, now: float) -> None:
        """Has an endpoint's place among the others renewed, if it is in use."""
        state = self._states.get(endpoint)
        if state is not None and not state.endpoint.leaving:
            self._groups[state.endpoint.service].renew(state, now)

    def _drop_leases(
        self, ids: Iterable[str], now: float
    ) -> list[endpoint_states.SlotDecision]:
        services: set[str] = set()
        for id_ in ids:
            lease = self._leases.remove(id_)
            self._preemption.remove(lease)
            self._renew(lease.endpoint, now)
            if lease.endpoint in self._states:
                services.add(self._states[lease.endpoint].endpoint.service)
        return [
            decision
            for service in sorted(services)
            for decision in self._grant_waiting(service, now)
        ]

    def _enqueue(self, waiting: endpoint_states.QueuedRequest) -> None:
        request = waiting.request
        self._waiting[request.id] = waiting
        queue = self._queues.get(request.service)
        if queue is None:
            queue = self._queues[request.service] = slot_queue.SlotQueue()
        queue.add(waiting)
        heapq.heappush(self._expiries, (request.wait_until, request.id))

    def _grant_all(self, now: float) -> list[endpoint_states.SlotDecision]:
        decisions = self._deny_newly_quarantined(now)
        for service, queue in self._queues.items():
            queue.restore()
            decisions += self._grant_waiting(service, now)
        return decisions

    def _grant_waiting(
        self, service: str, now: float
    ) -> list[endpoint_states.SlotDecision]:
        """Grants the free slots of one service."""
        decisions = self._deny_newly_quarantined(now)
        queue = self._queues.get(service)
        group = self._groups.get(service)
        if not queue or group is None:
            return decisions
        queue.restore(MAX_RESTORED)
        if self._versions is not None:
            group.barred = self._versions.barred(service)
        while group.has_free(now) or self._canary(service, now) is not None:
            waiting = queue.first(group.median_pace, now)
            if waiting is None:
                break
            state = self._choose_endpoint(group, waiting, now)
            if state is None:
                queue.set_aside(waiting)
                continue
            waiting, state = self._prefer_local(group, waiting, state, now)
            decisions.append(self._grant(waiting, state, now))
        return decisions

    def _prefer_local(
        self,
        group: endpoint_group.EndpointGroup,
        first: endpoint_states.QueuedRequest,
        state: endpoint_states.EndpointState,
        now: float,
    ) -> tuple[endpoint_states.QueuedRequest, endpoint_states.EndpointState]:
        """Returns who gets a slot now: the first, or one that goes before."""
        queue = self._queues[first.request.service]
        local = self.placing.find_local(queue, group, first, state, now)
        if local is None:
            return first, state
        suspected = self._quarantine.evidence.suspected(local.request.parts)
        if suspected or not self._may_run(local, state, now):
            return first, state
        self.placing.counts.reordered += 1
        return local, state

    def _may_run(
        self,
        waiting: endpoint_states.QueuedRequest,
        state: endpoint_states.EndpointState,
        now: float,
    ) -> bool:
        reachable = not state.is_unreachable_from(waiting.holder, now)
        return reachable and waiting.request.may_run_at(state.endpoint)

    def _grant(
        self,
        waiting: endpoint_states.QueuedRequest,
        state: endpoint_states.EndpointState,
        now: float,
    ) -> endpoint_states.SlotDecision:
        request = waiting.request
        name = state.endpoint.id
        self.withdraw(request.id)
        lease = endpoint_states.Lease(waiting.holder, request, name, now, True)
        self._leases.add(request.id, lease)
        self._preemption.add(lease)
        self._renew(name, now)
        self.placing.record_grant(waiting.holder, request, state.endpoint, now)
        if state.bucket is not None:
            state.bucket.take()
        self._denials.return_schedule(request.service).record_granted(
            request, now
        )
        if self._versions is not None:
            self._versions.record_grant(state.endpoint)
        late_after = self._hedges.record_grant(request, now)
        granted = messages.Granted(request.id, name, late_after)
        return endpoint_states.SlotDecision(waiting.holder, granted)

    def _deny_newly_quarantined(
        self, now: float
    ) -> list[endpoint_states.SlotDecision]:
        if self._quarantine.revision == self._quarantine_revision:
            return []
        self._quarantine_revision = self._quarantine.revision
        return self._deny_if_quarantined(list(self._waiting), now)

    def _deny_if_quarantined(
        self, ids: Iterable[str], now: float
    ) -> list[endpoint_states.SlotDecision]:
        decisions = []
        for id_ in ids:
            waiting = self._waiting[id_]
            entry = self._quarantine.find(waiting.request.parts, now)
            if entry is not None:
                self.withdraw(id_)
                denied = self._denials.deny(
                    waiting.request, messages.QUARANTINED, entry.until - now
                )
                decisions.append(
                    endpoint_states.SlotDecision(waiting.holder, denied)
                )
        return decisions

    def _choose_endpoint(
        self,
        group: endpoint_group.EndpointGroup,
        waiting: endpoint_states.QueuedRequest,
        now: float,
    ) -> endpoint_states.EndpointState | None:
        request = waiting.request
        suspected = self._quarantine.evidence.suspected(request.parts)
        # Of the requests with a suspected part, one runs at a time.
        if suspected and self._leases.runs_any_part(suspected):
            return None

        def accepts(state: endpoint_states.EndpointState) -> bool:
            return self._may_run(waiting, state, now) and not (
                suspected and self._runs_suspected(state)
            )

        canary = self._canary(request.service, now)
        if canary is not None and accepts(canary):
            return canary
        preference = self.placing.preference(waiting.holder, request, now)
        return group.choose(request, accepts, now, preference)

    def _canary(
        self, service: str, now: float
    ) -> endpoint_states.EndpointState | None:
        """Returns the free endpoint that a rollout's next request goes to."""
        if self._versions is None:
            return None
        name = self._versions.canary_endpoint(service, now)
        state = self._states.get(name)
        if state is None or state.endpoint.leaving or state.free_slots <= 0:
            return None
        until = max(state.paused_until, state.down_until, state.room_at(now))
        free = until <= now and self._rates.tokens(state, now) >= 1.0
        return state if free else None

    def _runs_suspected(self, state: endpoint_states.EndpointState) -> bool:
        return any(
            lease.request is not None and self.suspects(lease.request.parts)
            for lease in state.leases.values()
        )

    def _apply_outcome(
        self,
        state: endpoint_states.EndpointState,
        lease: endpoint_states.Lease,
        outcome: messages.Outcome,
        now: float,
        first_answer_seconds: float | None,
    ) -> None:
        match outcome:
            case messages.Outcome.SERVED:
                state.consecutive_failures = 0
                state.unreachable_from.pop(lease.holder, None)
                if lease.work_units:
                    pace = (now - lease.granted_at) / lease.work_units
                    self._record_pace(state, pace, now)
                self.placing.record_served(lease, first_answer_seconds, now)
            case messages.Outcome.FAILED | messages.Outcome.ABANDONED:
                pass
            case messages.Outcome.UNREACHABLE:
                until = now + denials.UNREACHABLE_BACKOFF_SECONDS
                state.record_unreachable(lease.holder, until, now)
            case messages.Outcome.REFUSED:
                state.paused_until = now + REFUSED_BACKOFF_SECONDS
            case messages.Outcome.OVERLOADED:
                state.paused_until = now + REFUSED_BACKOFF_SECONDS
                state.lower_limit(now)
            case (
                messages.Outcome.MISDIRECTED
                | messages.Outcome.LOST
                | messages.Outcome.CRASHED
            ):
                state.consecutive_failures += 1
                pause = INITIAL_BACKOFF_SECONDS * 2 ** (
                    state.consecutive_failures - 1
                )
                state.paused_until = now + min(MAX_BACKOFF_SECONDS, pause)

    def _record_pace(
        self, state: endpoint_states.EndpointState, pace: float, now: float
    ) -> None:
        if state.endpoint.leaving:
            state.record_pace(pace)
        else:
            group = self._groups[state.endpoint.service]
            group.record_pace(state, pace, now)

    def _make_waiting(
        self, holder: str, request: messages.SlotRequest, now: float
    ) -> endpoint_states.QueuedRequest:
        promise = self._denials.return_schedule(request.service).redeem(
            request, now
        )
        waiting = endpoint_states.QueuedRequest(holder, request, now)
        if promise is not None and self._options.enabled:
            waiting.returned_from = promise.since
        return waiting
