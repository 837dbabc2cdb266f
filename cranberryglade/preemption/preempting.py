"""Asks running requests to yield their slots to more urgent ones.

Load pattern: a burst of urgent requests meets slots that are all in use, many
of them by streams of the least urgent kind, which can go on elsewhere later.
"""

from collections.abc import Callable
import dataclasses
import heapq

from cranberryglade.gateway import endpoint_group
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.preemption import forecast
from cranberryglade.preemption import offering
from cranberryglade.preemption import options
from cranberryglade.preemption import tables
from cranberryglade.preemption import victims


class Preemption:
    """Decides which running requests are asked; performs no I/O."""

    __slots__ = (
        "_forecast",
        "_last_moments",
        "_options",
        "_suspects",
        "_tables",
        "_victims",
    )

    def __init__(
        self,
        slot_tables: tables.SlotTables,
        wait_forecast: forecast.WaitForecast,
        contention: options.PreemptionOptions,
        suspects: Callable[[tuple[str, ...]], bool],
    ):
        """Creates one that knows no running request.

        Args:
            slot_tables: endpoints and waiting requests.
            wait_forecast: how long requests wait.
            contention: what operators set for contention.
            suspects: returns whether any of some parts may crash endpoints.
        """
        self._tables = slot_tables
        self._forecast = wait_forecast
        self._options = contention
        self._suspects = suspects
        self._victims = victims.Victims()
        self._last_moments: list[tuple[float, str]] = []

    def add(self, lease: endpoint_states.Lease) -> None:
        """Adds a request that has got a slot."""
        self._victims.add(lease)

    def remove(self, lease: endpoint_states.Lease) -> None:
        """Removes a request whose slot is free."""
        self._victims.remove(lease)

    def keep(self, id_: str, now: float) -> list[endpoint_states.SlotDecision]:
        """Records that a request does not yield its slot.

        Returns:
            The next request that is asked instead, if there is any.
        """
        asked = self._victims.keep(id_)
        waiting = self._tables.waiting.get(asked.urgent) if asked else None
        if waiting is None:
            return []
        return self.ask_for(waiting, asked.tries + 1, now)

    def ask_if_late(
        self, waiting: endpoint_states.QueuedRequest, now: float
    ) -> list[endpoint_states.SlotDecision]:
        """Asks for a slot at once for a request that will be late without.

        For one that is expected to get a slot in time, it is asked for later,
        if that does not come true.
        """
        request = waiting.request
        group = self._tables.groups.get(request.service)
        if not self._options.enabled or group is None:
            return []
        if request.software_version is not None:
            # A stream that has yielded does not make the next one yield.
            return []
        if self._forecast.will_be_late(request, group, now):
            return self.ask_for(waiting, 1, now)
        seconds = forecast.seconds_to_answer(request, group.median_pace)
        last = request.first_answer_due - seconds - victims.MARGIN_SECONDS
        entry = (last, request.id)
        heapq.heappush(self._last_moments, entry)
        return []

    def ask_at_last_moment(
        self, now: float
    ) -> list[endpoint_states.SlotDecision]:
        """Asks for the slots that waiting requests need now to be in time."""
        decisions = []
        while self._last_moments and self._last_moments[0][0] <= now:
            _, id_ = heapq.heappop(self._last_moments)
            waiting = self._tables.waiting.get(id_)
            if waiting is not None:
                decisions += self.ask_for(waiting, 1, now)
        return decisions

    def ask_for(
        self, waiting: endpoint_states.QueuedRequest, tries: int, now: float
    ) -> list[endpoint_states.SlotDecision]:
        """Asks a running request to yield its slot to one that waits.

        Only if that one is in time then.
        """
        request = waiting.request
        group = self._tables.groups.get(request.service)
        if group is None or self._suspects(request.parts):
            return []

        def accepts(lease: endpoint_states.Lease) -> bool:
            return self._may_yield(lease, waiting, group, now)

        lease = self._victims.ask(request, accepts, now, tries)
        if lease is None:
            return []
        preempted = messages.Preempted(lease.request.id, lease.endpoint)
        return [endpoint_states.SlotDecision(lease.holder, preempted)]

    def _may_yield(
        self,
        lease: endpoint_states.Lease,
        waiting: endpoint_states.QueuedRequest,
        group: endpoint_group.EndpointGroup,
        now: float,
    ) -> bool:
        state = self._tables.states.get(lease.endpoint)
        if state is None or state.endpoint.leaving or state.paused_until > now:
            return False
        pace = state.seconds_per_work_unit or group.median_pace
        if victims.is_nearly_done(lease, pace, now):
            return False
        version = state.endpoint.software_version
        if version in group.barred.any_version | group.barred.all_requests:
            # The stream could not go on, and nothing else may run there.
            return False
        answered_at = now + forecast.seconds_to_answer(waiting.request, pace)
        if answered_at > waiting.request.first_answer_due:
            return False
        queue = self._tables.queues[waiting.request.service]
        ahead = queue.load_up_to(offering.MOST_URGENT_RANK)
        resumed = dataclasses.replace(lease.request, software_version=version)
        pause = self._forecast.expected_wait(resumed, group, ahead, now)
        return (
            pause <= victims.MAX_PAUSE_SECONDS
            and waiting.request.may_run_at(state.endpoint)
            and not state.is_unreachable_from(waiting.holder, now)
        )
