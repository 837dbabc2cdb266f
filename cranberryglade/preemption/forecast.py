"""Forecasts how long requests wait for a slot.

Load pattern: more requests than slots, for seconds at a time, on endpoints that
name limits of their own. Who will be late anyway is known at once.
"""

import math

from cranberryglade.gateway import endpoint_group
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.gateway import slot_queue
from cranberryglade.preemption import victims

MIN_CAPACITY = 0.01
"""Least number of slots that a wait is estimated with."""


class WaitForecast:
    """Forecasts waits from the queues and the endpoints; performs no I/O."""

    __slots__ = ("_queues", "_rates")

    def __init__(
        self,
        queues: dict[str, slot_queue.SlotQueue],
        rates: endpoint_group.EndpointRates,
    ):
        """Creates a forecast.

        Args:
            queues: the waiting requests, by service.
            rates: the limits that endpoints name.
        """
        self._queues = queues
        self._rates = rates

    def will_be_late(
        self,
        request: messages.SlotRequest,
        group: endpoint_group.EndpointGroup,
        now: float,
    ) -> bool:
        """Returns whether a waiting request will miss its target time."""
        queue = self._queues[request.service]
        share = version_share(request, group)
        ahead = queue.timely_load_up_to(
            request.rank, request.software_version, share
        )
        granted_at = now + self.expected_wait(request, group, ahead, now)
        first_answer = endpoint_states.first_answer_seconds(
            request, group.median_pace
        )
        return granted_at + first_answer > request.first_answer_due

    def expected_wait(
        self,
        request: messages.SlotRequest,
        group: endpoint_group.EndpointGroup,
        ahead: slot_queue.RankLoad,
        now: float,
    ) -> float:
        """Returns the seconds that a request is expected to wait for a slot.

        Args:
            request: the request.
            group: the endpoints of its service.
            ahead: the requests that are served before it.
            now: seconds of the loop's clock.
        """
        load = group.load_for(request)
        # The first of the running requests to end is about half done.
        mean_running = load.work_units / max(MIN_CAPACITY, load.slots)
        work = ahead.work_units + 0.5 * mean_running
        pace = group.median_pace
        if self._rates.unlimited:
            return work * pace / max(MIN_CAPACITY, load.slots)
        usable = list(group.usable(request))
        limits = [self._rates.limit(state, now) for state in usable]
        seconds = endpoint_states.work_units(request) * pace
        capacity = sum(
            state.endpoint.slots
            if math.isinf(limit)
            else min(state.endpoint.slots, limit * seconds)
            for state, limit in zip(usable, limits, strict=True)
        )
        by_load = work * pace / max(MIN_CAPACITY, capacity)
        if math.inf in limits:
            return by_load
        tokens = sum(self._rates.tokens(state, now) for state in usable)
        by_limits = (ahead.requests - tokens) / sum(limits)
        return max(by_load, by_limits)


def version_share(
    request: messages.SlotRequest, group: endpoint_group.EndpointGroup
) -> float:
    """Returns the share of a service's slots that have a request's version."""
    if request.software_version is None:
        return 1.0
    slots = group.load_for(request).slots
    return slots / max(MIN_CAPACITY, group.load.slots)


def seconds_to_answer(request: messages.SlotRequest, pace: float) -> float:
    """Returns the time to the first answer in a slot that another yields.

    Args:
        request: the request.
        pace: expected seconds of the endpoint for each unit of work.
    """
    first_answer = endpoint_states.first_answer_seconds(request, pace)
    return victims.YIELD_SECONDS + first_answer
