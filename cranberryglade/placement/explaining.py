"""Explains where a request would go now, without sending it.

Load pattern: an operator asks a few times a minute, on the instance that
allocates. One answer goes through all endpoints of a service once.
"""

import asyncio
import dataclasses

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade.gateway import configuration
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import mesh
from cranberryglade.gateway import messages
from cranberryglade.gateway import slots
from cranberryglade.gateway import state

FREE = "free"
FULL = "full"
PAUSED = "paused"
UNREACHABLE = "unreachable"


@dataclasses.dataclass(slots=True, frozen=True)
class Query:
    """A request as an operator describes it.

    Attributes:
        host: value of its Host header.
        path: its path.
        key: its API key; "" if none.
        instance: instance that it arrives at; "" for the one that is asked.
        prompt_tokens: length of its prompt; 0 for plain calls.
        output_tokens: expected length of its answer; 0 for plain calls.
    """

    host: str
    path: str
    key: str = ""
    instance: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0


class EndpointTerms(msgspec.Struct, frozen=True):
    """What a request would cost at one endpoint.

    Attributes:
        endpoint: its id.
        domain: its failure domain.
        software_version: its software version.
        state: whether it can get the request now: one of the constants above.
        slots: number of its slots.
        running: requests that run there.
        samples: answers that its pace includes; 0 if the median is used.
        pace_ms: milliseconds for each unit of work, when it runs one request.
        cost_ms: milliseconds for each unit of work now; the least is best.
        first_answer_ms: expected milliseconds to the first answer.
        limit_per_second: requests a second that it takes; None for no limit.
    """

    endpoint: str
    domain: str
    software_version: str
    state: str
    slots: int
    running: int
    samples: int
    pace_ms: float
    cost_ms: float
    first_answer_ms: float
    limit_per_second: float | None


class ServicePlacement(msgspec.Struct, frozen=True):
    """Where a request would go at one service.

    Attributes:
        service: its name.
        weight: its share of the requests of the route, from 0 to 1.
        chosen: id of the free endpoint with the least cost; None if the
            request would wait.
        endpoints: all endpoints that may run it, by cost.
    """

    service: str
    weight: float
    chosen: str | None
    endpoints: list[EndpointTerms]


class Placement(msgspec.Struct, frozen=True):
    """Where a request would go.

    Attributes:
        route: name of its route.
        organisation: whose key it has; "" if it is anonymous.
        instance: instance that it would arrive at.
        waiting: requests in the allocator's queues.
        services: one entry for each service of the route.
    """

    route: str
    organisation: str
    instance: str
    waiting: int
    services: list[ServicePlacement]


class Explainer:
    """Explains placements from the allocator's state, which it only reads."""

    __slots__ = ("_mesh", "_name", "_scheduler", "_state")

    def __init__(
        self,
        name: str,
        shared: state.InstanceState,
        scheduler: slots.SlotScheduler,
        instances: mesh.Mesh,
    ):
        self._name = name
        self._state = shared
        self._scheduler = scheduler
        self._mesh = instances

    def explain(self, query: Query) -> Result[Placement, str]:
        """Returns where a request would go, or why that cannot be told."""
        config = self._state.configuration
        if config is None:
            return Failure("there is no configuration yet")
        allocator = self._mesh.allocator
        if allocator != self._name:
            return Failure(
                f"{self._name} does not grant slots: ask {allocator}"
            )
        instance = query.instance or self._name
        known = self._mesh.members.get(instance) is not None
        if instance != self._name and not known:
            return Failure(f"unknown instance: {instance}")
        route = config.route(query.host, query.path)
        if route is None:
            return Failure(f"no route for {query.host}{query.path}")
        organisation = config.organisation_of(query.key)
        anonymous = route.allow_anonymous or not config.requires_keys
        if organisation is None and (query.key or not anonymous):
            return Failure("unknown key" if query.key else "a key is required")
        total = sum(each.weight for each in route.service_weights) or 1.0
        return Success(
            Placement(
                route=route.name,
                organisation=organisation.name if organisation else "",
                instance=instance,
                waiting=self._scheduler.queue_length,
                services=[
                    self._explain_service(query, route, instance, each, total)
                    for each in route.service_weights
                ],
            )
        )

    def _explain_service(
        self,
        query: Query,
        route: configuration.Route,
        instance: str,
        share: configuration.ServiceWeight,
        total_weight: float,
    ) -> ServicePlacement:
        now = asyncio.get_running_loop().time()
        request = messages.SlotRequest(
            id="",
            service=share.service,
            rank=route.rank,
            kind=route.kind,
            prompt_tokens=query.prompt_tokens,
            output_tokens=query.output_tokens,
            wait_until=now,
            first_answer_due=now + route.target_latency_seconds,
            excluded_endpoints=tuple(self._state.directory.announced),
        )
        states, median_pace = self._scheduler.candidates(request)
        terms = [
            self._explain_endpoint(each, request, instance, median_pace, now)
            for each in states
        ]
        terms.sort(key=lambda each: (each.cost_ms, each.running, each.endpoint))
        free = (each.endpoint for each in terms if each.state == FREE)
        return ServicePlacement(
            share.service,
            share.weight / total_weight,
            next(free, None),
            terms,
        )

    def _explain_endpoint(
        self,
        endpoint_state: endpoint_states.EndpointState,
        request: messages.SlotRequest,
        instance: str,
        median_pace: float,
        now: float,
    ) -> EndpointTerms:
        endpoint = endpoint_state.endpoint
        samples = endpoint_state.samples
        pace = endpoint_state.seconds_per_work_unit if samples else median_pace
        cost = endpoint_state.cost(median_pace, now)
        first_answer = endpoint_states.first_answer_seconds(
            request, cost.seconds
        )
        limits = self._state.endpoint_limits
        limited = not limits.is_empty
        limit = limits.rate(endpoint, now) if limited else float("inf")
        return EndpointTerms(
            endpoint=endpoint.id,
            domain=endpoint.domain,
            software_version=endpoint.software_version,
            state=_availability(endpoint_state, instance, now),
            slots=endpoint.slots,
            running=cost.running,
            samples=samples,
            pace_ms=round(pace * 1000, 3),
            cost_ms=round(cost.seconds * 1000, 3),
            first_answer_ms=round(first_answer * 1000, 1),
            limit_per_second=None if limit == float("inf") else limit,
        )


def _availability(
    endpoint_state: endpoint_states.EndpointState, instance: str, now: float
) -> str:
    if endpoint_state.is_unreachable_from(instance, now):
        return UNREACHABLE
    if endpoint_state.free_slots <= 0:
        return FULL
    if max(endpoint_state.paused_until, endpoint_state.room_at(now)) > now:
        return PAUSED
    return FREE
