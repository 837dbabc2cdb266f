"""Grants slots of endpoints to requests from one queue.

Load pattern: for seconds at a time there are more requests than slots, on
endpoints whose speeds differ by several times. Requests wait in this queue,
ordered by rank and by whether they can still meet their target time, and not
in the endpoints' own queues. So each request runs where a slot becomes free
first, and none is stuck behind a slow endpoint.
"""

import math

from cranberryglade import crash_evidence
from cranberryglade import quarantine
from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages

DEFAULT_PACE = 0.0
LEARNING_RATE = 0.2
SLOWDOWN_PER_REQUEST = 0.3
"""Relative slowdown for each request that the endpoint already runs."""

UNREACHABLE_BACKOFF_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.4
MAX_BACKOFF_SECONDS = 4.0
REFUSED_BACKOFF_SECONDS = 0.1
MIN_RETRY_AFTER_SECONDS = 0.25

MIN_CAPACITY = 0.01
"""Least number of slots that a wait is estimated with."""


class SlotScheduler:
    """Slots and queue of the allocator; performs no I/O.

    Callers pass in events and the time `now`, in seconds of the loop's clock,
    and deliver the decisions that the methods return.

    Attributes:
        limit_share: share of the endpoints' limits that may be granted here.
    """

    __slots__ = (
        "_leases",
        "_limits",
        "_median_paces",
        "_quarantine",
        "_states",
        "_states_by_service",
        "_waiting",
        "limit_share",
    )

    def __init__(
        self,
        crashing_parts: quarantine.Quarantine | None = None,
        limits: endpoint_limits.EndpointLimits | None = None,
    ):
        """Creates a scheduler without endpoints.

        Args:
            crashing_parts: what crashes endpoints; None for a
                record of its own.
            limits: the limits that endpoints name; None for none.
        """
        self._quarantine = crashing_parts or quarantine.Quarantine()
        self._limits = limits or endpoint_limits.EndpointLimits()
        self.limit_share = 1.0
        self._states: dict[str, endpoint_states.EndpointState] = {}
        self._states_by_service: dict[
            str, list[endpoint_states.EndpointState]
        ] = {}
        self._median_paces: dict[str, float] = {}
        self._leases: dict[str, endpoint_states.Lease] = {}
        self._waiting: dict[str, endpoint_states.QueuedRequest] = {}

    @property
    def lease_count(self) -> int:
        """Number of slots in use."""
        return len(self._leases)

    @property
    def queue_length(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    def update_endpoints(
        self, listed: dict[str, messages.Endpoint], now: float
    ) -> list[endpoint_states.SlotDecision]:
        """Applies the current list of endpoints.

        A restarted endpoint keeps its leases but loses its statistics.

        Returns:
            Grants that the new list makes possible.
        """
        for removed in self._states.keys() - listed.keys():
            del self._states[removed]
        for name, entry in listed.items():
            state = self._states.get(name)
            if state is None:
                state = self._states[name] = endpoint_states.EndpointState(
                    entry
                )
                for id_, lease in self._leases.items():
                    if lease.endpoint == name:
                        state.leases.add(id_)
            elif state.endpoint.started_ms != entry.started_ms:
                self._states[name] = endpoint_states.EndpointState(
                    entry, leases=state.leases
                )
            else:
                state.endpoint = entry
        self._rebuild_index()
        return self._grant_free_slots(now)

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
            granted = messages.Granted(request.id, held.endpoint)
            return [endpoint_states.SlotDecision(holder, granted)]
        if request.id in self._waiting:
            return []
        self._waiting[request.id] = endpoint_states.QueuedRequest(
            holder, request, now
        )
        decisions = self._grant_free_slots(now)
        if request.id in self._waiting:
            denied = self._early_denial(holder, request, now)
            if denied is not None:
                del self._waiting[request.id]
                decisions.append(endpoint_states.SlotDecision(holder, denied))
        return decisions

    def withdraw(self, id_: str) -> None:
        """Removes a request from the queue."""
        self._waiting.pop(id_, None)

    def release(
        self,
        id_: str,
        outcome: messages.Outcome,
        now: float,
    ) -> list[endpoint_states.SlotDecision]:
        """Frees a slot and updates its endpoint from the attempt's outcome.

        Returns:
            Grants that the free slot makes possible.
        """
        lease = self._leases.pop(id_, None)
        if lease is None:
            return []
        state = self._states.get(lease.endpoint)
        if state is not None:
            state.leases.discard(id_)
            self._apply_outcome(state, lease, outcome, now)
        return self._grant_free_slots(now)

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
        for id_, lease in list(self._leases.items()):
            missing = lease.holder == holder and id_ not in listed
            if missing and now - lease.granted_at > MIN_RETRY_AFTER_SECONDS:
                self._drop_lease(id_)
        for id_, endpoint in listed.items():
            if id_ not in self._leases:
                self.register_lease(holder, id_, None, endpoint, now)
        return self._grant_free_slots(now)

    def register_lease(
        self,
        holder: str,
        id_: str,
        request: messages.SlotRequest | None,
        endpoint: str,
        now: float,
    ) -> None:
        """Registers a lease that another instance granted."""
        self._leases[id_] = endpoint_states.Lease(
            holder, request, endpoint, now
        )
        if endpoint in self._states:
            self._states[endpoint].leases.add(id_)

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
        self._quarantine.record_crash(process, running, now)

    def _running_at(self, endpoint: str) -> list[crash_evidence.RunningAttempt]:
        return [
            crash_evidence.RunningAttempt(lease.request.parts, lease.granted_at)
            for lease in self._leases.values()
            if lease.endpoint == endpoint and lease.request is not None
        ]

    def suspects(self, parts: tuple[str, ...]) -> bool:
        """Returns whether any of some parts may crash endpoints."""
        return bool(self._quarantine.evidence.suspected(parts))

    def leases_of(self, holder: str) -> list[messages.Granted]:
        """Returns the leases of one instance."""
        return [
            messages.Granted(id_, lease.endpoint)
            for id_, lease in self._leases.items()
            if lease.holder == holder
        ]

    def remove_holder(
        self, holder: str, now: float
    ) -> list[endpoint_states.SlotDecision]:
        """Drops the leases and queued requests of an unreachable instance.

        Returns:
            Grants that the freed slots make possible.
        """
        for id_, lease in list(self._leases.items()):
            if lease.holder == holder:
                self._drop_lease(id_)
        for id_, waiting in list(self._waiting.items()):
            if waiting.holder == holder:
                del self._waiting[id_]
        return self._grant_free_slots(now)

    def tick(self, now: float) -> list[endpoint_states.SlotDecision]:
        """Denies requests that waited too long, and grants free slots.

        Returns:
            The denials and grants.
        """
        decisions = []
        for id_, waiting in list(self._waiting.items()):
            if now >= waiting.request.wait_until:
                del self._waiting[id_]
                denied = self._make_denial(waiting.request, "waited", 0.5)
                decisions.append(
                    endpoint_states.SlotDecision(waiting.holder, denied)
                )
        return decisions + self._grant_free_slots(now)

    def _drop_lease(self, id_: str) -> None:
        lease = self._leases.pop(id_)
        state = self._states.get(lease.endpoint)
        if state is not None:
            state.leases.discard(id_)

    def _rebuild_index(self) -> None:
        self._states_by_service = {}
        self._median_paces = {}
        for state in self._states.values():
            if not state.endpoint.leaving:
                name = state.endpoint.service
                self._states_by_service.setdefault(name, []).append(state)

    def _states_of(self, service: str) -> list[endpoint_states.EndpointState]:
        return self._states_by_service.get(service, [])

    def _grant_free_slots(
        self, now: float
    ) -> list[endpoint_states.SlotDecision]:
        decisions = self._deny_quarantined(now)
        if not self._waiting:
            return decisions
        paces = {
            service: self._median_pace(service)
            for service in {w.request.service for w in self._waiting.values()}
        }
        queue = sorted(
            self._waiting.values(),
            key=lambda each: each.sort_key(paces[each.request.service], now),
        )
        full = {
            s
            for s in paces
            if not any(each.free_slots > 0 for each in self._states_of(s))
        }
        for waiting in queue:
            if waiting.request.service in full:
                continue
            state = self._choose_endpoint(waiting.holder, waiting.request, now)
            if state is None:
                continue
            decisions.append(self._grant(waiting, state, now))
            service = waiting.request.service
            if not any(
                each.free_slots > 0 for each in self._states_of(service)
            ):
                full.add(service)
        return decisions

    def _grant(
        self,
        waiting: endpoint_states.QueuedRequest,
        state: endpoint_states.EndpointState,
        now: float,
    ) -> endpoint_states.SlotDecision:
        request = waiting.request
        name = state.endpoint.id
        del self._waiting[request.id]
        self._leases[request.id] = endpoint_states.Lease(
            waiting.holder, request, name, now
        )
        state.leases.add(request.id)
        if state.bucket is not None:
            state.bucket.take()
        granted = messages.Granted(request.id, name)
        return endpoint_states.SlotDecision(waiting.holder, granted)

    def _deny_quarantined(
        self, now: float
    ) -> list[endpoint_states.SlotDecision]:
        decisions = []
        if self._quarantine.is_empty:
            return decisions
        for id_, waiting in list(self._waiting.items()):
            entry = self._quarantine.find(waiting.request.parts, now)
            if entry is not None:
                del self._waiting[id_]
                denied = self._make_denial(
                    waiting.request, messages.QUARANTINED, entry.until - now
                )
                decisions.append(
                    endpoint_states.SlotDecision(waiting.holder, denied)
                )
        return decisions

    def _suspected_by_endpoint(self) -> dict[str, set[str]]:
        """Returns the suspected parts that run, by endpoint."""
        running: dict[str, set[str]] = {}
        for lease in self._leases.values():
            if lease.request is None:
                continue
            suspected = self._quarantine.evidence.suspected(lease.request.parts)
            if suspected:
                running.setdefault(lease.endpoint, set()).update(suspected)
        return running

    def _choose_endpoint(
        self, holder: str, request: messages.SlotRequest, now: float
    ) -> endpoint_states.EndpointState | None:
        suspected = self._quarantine.evidence.suspected(request.parts)
        occupied = self._suspected_by_endpoint() if suspected else {}
        if any(suspected & parts for parts in occupied.values()):
            return None
        free = [
            state
            for state in self._states_of(request.service)
            if state.free_slots > 0
            and request.may_run_at(state.endpoint)
            and state.available_to(holder, now)
            and state.endpoint.id not in occupied
            and self._tokens(state, now) >= 1.0
        ]
        default_pace = self._median_pace(request.service)
        return min(
            free,
            key=lambda state: self._estimate_cost(state, default_pace, now),
            default=None,
        )

    def _limit(self, state: endpoint_states.EndpointState, now: float) -> float:
        """Returns the requests a second that may be granted at an endpoint."""
        return self.limit_share * self._limits.rate(state.endpoint, now)

    def _tokens(
        self, state: endpoint_states.EndpointState, now: float
    ) -> float:
        """Returns how many requests an endpoint's limit admits now."""
        rate = self._limit(state, now)
        if math.isinf(rate):
            state.bucket = None
            return math.inf
        if state.bucket is None:
            state.bucket = endpoint_limits.TokenBucket(now)
        return state.bucket.refill(rate, now)

    def _estimate_cost(
        self,
        state: endpoint_states.EndpointState,
        default_pace: float,
        now: float,
    ) -> endpoint_states.Cost:
        """Returns the expected time of a request, to compare endpoints."""
        running = [
            self._leases[id_] for id_ in state.leases if id_ in self._leases
        ]
        # The time that a request has run so far reveals a slow endpoint
        # before the request ends; most useful while there are no samples.
        least_paces = [
            (now - r.granted_at) / r.work_units for r in running if r.work_units
        ]
        pace = state.seconds_per_work_unit if state.samples else default_pace
        pace = max([pace, *least_paces])
        return endpoint_states.Cost(
            pace * (1 + SLOWDOWN_PER_REQUEST * len(running)), len(running)
        )

    def _median_pace(self, service: str) -> float:
        pace = self._median_paces.get(service)
        if pace is None:
            paces = sorted(
                each.seconds_per_work_unit
                for each in self._states_of(service)
                if each.samples
            )
            pace = paces[len(paces) // 2] if paces else DEFAULT_PACE
            self._median_paces[service] = pace
        return pace

    def _early_denial(
        self, holder: str, request: messages.SlotRequest, now: float
    ) -> messages.Denied | None:
        usable = [
            state
            for state in self._states_of(request.service)
            if request.may_run_at(state.endpoint)
        ]
        if not usable:
            any_version = request.software_version is None
            reason = "no_endpoint" if any_version else "no_endpoint_of_version"
            return self._make_denial(request, reason, 1.0)
        if all(state.is_unreachable_from(holder, now) for state in usable):
            return self._make_denial(
                request, "unreachable", UNREACHABLE_BACKOFF_SECONDS
            )
        wait = self._expected_wait(request, usable, now)
        if now + wait > request.wait_until:
            return self._make_denial(request, "hopeless", wait)
        return None

    def _expected_wait(
        self,
        request: messages.SlotRequest,
        usable: list[endpoint_states.EndpointState],
        now: float,
    ) -> float:
        default_pace = self._median_pace(request.service)
        limits = [self._limit(state, now) for state in usable]
        ahead = [
            other.request
            for other in self._waiting.values()
            if other.request.service == request.service
            and other.request.rank <= request.rank
        ]
        running = [
            self._leases[id_].work_units
            for state in usable
            for id_ in state.leases
            if id_ in self._leases
        ]
        load = sum(map(endpoint_states.work_units, ahead)) + 0.5 * sum(running)
        seconds = endpoint_states.work_units(request) * default_pace
        capacity = sum(
            state.endpoint.slots
            if math.isinf(limit)
            else min(state.endpoint.slots, limit * seconds)
            for state, limit in zip(usable, limits, strict=True)
        )
        by_load = load * default_pace / max(MIN_CAPACITY, capacity)
        if math.inf in limits:
            return by_load
        tokens = sum(self._tokens(state, now) for state in usable)
        by_limits = (len(ahead) - tokens) / sum(limits)
        return max(by_load, by_limits)

    def _apply_outcome(
        self,
        state: endpoint_states.EndpointState,
        lease: endpoint_states.Lease,
        outcome: messages.Outcome,
        now: float,
    ) -> None:
        match outcome:
            case messages.Outcome.SERVED:
                state.consecutive_failures = 0
                state.unreachable_from.pop(lease.holder, None)
                if lease.work_units:
                    self._median_paces.pop(state.endpoint.service, None)
                    _update_pace(
                        state, (now - lease.granted_at) / lease.work_units
                    )
            case messages.Outcome.FAILED | messages.Outcome.ABANDONED:
                pass
            case messages.Outcome.UNREACHABLE:
                state.unreachable_from[lease.holder] = (
                    now + UNREACHABLE_BACKOFF_SECONDS
                )
            case messages.Outcome.REFUSED:
                state.paused_until = now + REFUSED_BACKOFF_SECONDS
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

    def _make_denial(
        self, request: messages.SlotRequest, reason: str, wait: float
    ) -> messages.Denied:
        retry_after = max(MIN_RETRY_AFTER_SECONDS, wait)
        return messages.Denied(
            request.id, reason, retry_after, len(self._waiting)
        )


def _update_pace(state: endpoint_states.EndpointState, pace: float) -> None:
    rate = max(LEARNING_RATE, 1 / (state.samples + 1))
    state.seconds_per_work_unit += rate * (pace - state.seconds_per_work_unit)
    state.samples += 1
