"""Baseline policies without a queue: each request is dispatched on arrival."""

import itertools

from cranberryglade import verdicts
from cranberryglade.scheduling import action_collector
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import request_records
from cranberryglade.scheduling import request_table
from cranberryglade.scheduling.baselines import base

NO_ENDPOINT_RETRY_SECONDS = 1.0


class _ImmediatePlacement(base.BaselinePlacement):
    """Dispatches on arrival; requests wait in the queue of the engine."""

    __slots__ = ("_counter",)

    def __init__(
        self,
        collector: action_collector.ActionCollector,
        domain_fleet: fleet.Fleet,
        table: request_table.RequestTable,
    ):
        super().__init__(collector, domain_fleet, table)
        self._counter = itertools.count()

    def digests(self) -> tuple[messages.TargetDigest, ...]:
        """Returns no digests: instances do not exchange their load."""
        return ()

    def next_wake(self) -> float | None:
        """Returns None: nothing is timed."""
        return None

    def admit(self, record: request_records.RequestRecord) -> None:
        """Dispatches the request; refuses it if there is no endpoint."""
        target = record.request.target
        members = self._fleet.pool(target).members.values()
        candidates = [member for member in members if not member.leaving]
        if not candidates:
            self._request_table.refuse(
                record, verdicts.Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY_SECONDS
            )
            return
        member = self._choose(candidates)
        member.outstanding += 1
        self._request_table.dispatch(record, member.endpoint)

    readmit = admit

    def withdraw(self, request: messages.Request) -> bool:
        """Returns False: no request is ever queued."""
        del request
        return False

    def process_queues(self) -> None:
        """Does nothing: no request is ever queued."""

    def _choose(
        self, candidates: list[pools.EndpointState]
    ) -> pools.EndpointState:
        raise NotImplementedError


class RoundRobinPlacement(_ImmediatePlacement):
    """Chooses the endpoints in turn."""

    __slots__ = ()

    def _choose(
        self, candidates: list[pools.EndpointState]
    ) -> pools.EndpointState:
        return candidates[next(self._counter) % len(candidates)]


class LeastOutstandingPlacement(_ImmediatePlacement):
    """Chooses the endpoint with the fewest outstanding requests."""

    __slots__ = ()

    def _choose(
        self, candidates: list[pools.EndpointState]
    ) -> pools.EndpointState:
        return min(candidates, key=lambda m: (m.outstanding, m.endpoint.name))
