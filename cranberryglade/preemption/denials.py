"""Denies slots to requests that would wait in vain.

Load pattern: for seconds at a time there are more requests than slots. Those
that cannot be served in time are told so at once, and when to come back.
"""

from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.preemption import forecast
from cranberryglade.preemption import options
from cranberryglade.preemption import returns
from cranberryglade.preemption import tables

UNREACHABLE_BACKOFF_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 0.25

MIN_PACE = 1e-9
"""Least seconds for a unit of work that a rate is estimated with; the pace is 0
before the first answer."""

MAX_LATE_WAIT_SHARE = 0.5
"""A request that will be late is denied if it would wait for more than this
part of the longest time that it may wait."""


class Denials:
    """Decides on denials, and on the times to come back; performs no I/O."""

    __slots__ = ("_forecast", "_options", "_returns", "_tables")

    def __init__(
        self,
        slot_tables: tables.SlotTables,
        wait_forecast: forecast.WaitForecast,
        contention: options.PreemptionOptions,
    ):
        """Creates one that has denied nothing.

        Args:
            slot_tables: endpoints and waiting requests.
            wait_forecast: how long requests wait.
            contention: what operators set for contention.
        """
        self._tables = slot_tables
        self._forecast = wait_forecast
        self._options = contention
        self._returns: dict[str, returns.ReturnSchedule] = {}

    @property
    def promised_returns(self) -> int:
        """Number of denied requests that were told when to come back."""
        return sum(len(schedule) for schedule in self._returns.values())

    def deny_early(
        self, waiting: endpoint_states.QueuedRequest, now: float
    ) -> messages.Denied | None:
        """Returns the denial of a request that would wait in vain, if any."""
        holder, request = waiting.holder, waiting.request
        group = self._tables.groups.get(request.service)
        if group is None or next(group.usable(request), None) is None:
            any_version = request.software_version is None
            reason = "no_endpoint" if any_version else "no_endpoint_of_version"
            return self.deny(request, reason, 1.0)
        if all(
            state.is_unreachable_from(holder, now)
            for state in group.usable(request)
        ):
            return self.deny(
                request, "unreachable", UNREACHABLE_BACKOFF_SECONDS
            )
        if request.rank == messages.HEDGE_RANK:
            # A hedge takes no place among those that wait or come back.
            return self.deny(request, "waited", 0.0)
        queue = self._tables.queues[request.service]
        share = forecast.version_share(request, group)
        returned = waiting.returned_from is not None
        # One that has come back precedes the new ones of its rank.
        rank = request.rank - 1 if returned else request.rank
        ahead = queue.load_up_to(rank, request.software_version, share)
        wait = self._forecast.expected_wait(request, group, ahead, now)
        if now + wait > request.wait_until:
            return self.deny_for_now(waiting, "hopeless", wait, now)
        if returned:
            return None
        oldest = queue.oldest_late(request.rank)
        if oldest is None or not self._forecast.will_be_late(
            request, group, now
        ):
            return None
        # Late requests are served in the order of their arrival, as far as
        # those in time leave slots.
        wait = max(wait, now - oldest)
        if wait > MAX_LATE_WAIT_SHARE * (request.wait_until - now):
            return self.deny_for_now(waiting, "hopeless", wait, now)
        return None

    def deny_for_now(
        self,
        waiting: endpoint_states.QueuedRequest,
        reason: str,
        wait: float,
        now: float,
    ) -> messages.Denied:
        """Denies a request for want of a slot, until one will be free.

        Args:
            waiting: the request.
            reason: why, for logs.
            wait: seconds that it is told if returns are not scheduled.
            now: seconds of the loop's clock.
        """
        request = waiting.request
        if not self._options.schedule_returns:
            return self.deny(request, reason, wait)
        group = self._tables.groups.get(request.service)
        if group is None:
            return self.deny(request, reason, UNREACHABLE_BACKOFF_SECONDS)
        share = forecast.version_share(request, group)
        ahead = self._tables.queues[request.service].load_up_to(
            request.rank, request.software_version, share
        )
        # It may still be in the queue itself.
        if request.id in self._tables.waiting:
            ahead.change(request, -1)
        slot_count = max(forecast.MIN_CAPACITY, group.load_for(request).slots)
        wait = self.return_schedule(request.service).promise(
            waiting,
            ahead.work_units,
            self._forecast.expected_wait(request, group, ahead, now),
            slot_count / max(MIN_PACE, group.median_pace),
            now,
        )
        return self.deny(request, reason, wait)

    def return_schedule(self, service: str) -> returns.ReturnSchedule:
        """Returns the times to come back of a service."""
        schedule = self._returns.get(service)
        if schedule is None:
            schedule = self._returns[service] = returns.ReturnSchedule()
        return schedule

    def deny(
        self, request: messages.SlotRequest, reason: str, wait: float
    ) -> messages.Denied:
        """Returns a denial; `wait` is in seconds."""
        retry_after = max(MIN_RETRY_AFTER_SECONDS, wait)
        return messages.Denied(
            request.id, reason, retry_after, len(self._tables.waiting)
        )
