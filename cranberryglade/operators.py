"""HTTP interface for operators, and health checks for the load balancer."""

import dataclasses
from typing import Literal

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from cranberryglade import access
from cranberryglade import configuration
from cranberryglade import editing
from cranberryglade import executors
from cranberryglade import lifecycle
from cranberryglade import membership
from cranberryglade import orders
from cranberryglade import responses
from cranberryglade import subscriptions
from cranberryglade import verdict_counts
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages


class EndpointStatus(wire.Document):
    """The state of one endpoint, as known to this instance.

    Attributes:
        name: its name on the platform's list.
        target: model or service that it offers.
        failure_domain: failure domain it runs in.
        outstanding: requests sent by this instance and not ended.
        slots: requests it can run at once.
        owned: whether this instance is its owner, which dispatches to it.
        leaving: whether it gets no new requests because it is leaving.
    """

    name: str
    target: str
    failure_domain: str
    outstanding: int
    slots: int
    owned: bool
    leaving: bool


class PeerVersion(wire.Document):
    """The newest configuration version that a peer reports.

    Attributes:
        instance: name of the peer.
        version: newest version it knows, in force or not.
    """

    instance: str
    version: int


class StatusDocument(wire.Document):
    """The status of an instance.

    Attributes:
        instance: name of the instance.
        state: lifecycle state, as in the instance chart.
        version: version of the configuration in force; 0 for none.
        accepted_version: newest version known, in force or not.
        problems: why the newest version is not in force; empty if it is.
        confirmed_seconds_ago: seconds since a read of the platform last gave
            the newest version known then; null if none has.
        unfinished: requests without a verdict.
        uncertain: number of requests that may have run, by reason.
        peers: names of the reachable peers.
        peer_versions: newest version that each reachable peer knows.
        targets: load by target.
    """

    instance: str
    state: str
    version: int
    accepted_version: int
    problems: list[str]
    confirmed_seconds_ago: float | None
    unfinished: int
    uncertain: dict[str, int]
    peers: list[str]
    peer_versions: list[PeerVersion]
    targets: list[messages.TargetDigest]


class DrainRequest(wire.Document):
    """Request to send an endpoint no new requests.

    Attributes:
        endpoint: its name on the platform's list.
    """

    endpoint: str


class OrderRequest(wire.Document):
    """Request to send an order to an endpoint.

    Attributes:
        endpoint: its name on the platform's list.
        kind: "load" (a model, adapter or version), "role" or "drain".
        value: what to load, or the role; "" for a drain.
    """

    endpoint: str
    kind: Literal["load", "role", "drain"]
    value: str = ""


class OrderOutcome(wire.Document):
    """Answer to an order that the endpoint has carried out.

    Attributes:
        done: always true.
        fencing_number: fencing number of the lease the order was sent under.
    """

    done: bool
    fencing_number: int


class DrainDocument(wire.Document):
    """Answer to a drain: the endpoint process that gets no new requests.

    Attributes:
        endpoint: its name on the platform's list.
        incarnation: the process of that name.
    """

    endpoint: str
    incarnation: str


class OperatorInterface:
    """Serves status, endpoints, drains and orders, and the health checks."""

    __slots__ = (
        "_executor",
        "_instance",
        "_lifecycle",
        "_membership",
        "_orders",
        "_subscription",
        "_verdict_counter",
    )

    def __init__(
        self,
        instance: str,
        executor: executors.Executor,
        members: membership.Membership,
        subscription: subscriptions.Subscription,
        order_sender: orders.OrderSender,
        instance_lifecycle: lifecycle.Lifecycle,
        verdict_counter: verdict_counts.VerdictCounter,
    ):
        self._instance = instance
        self._executor = executor
        self._membership = members
        self._subscription = subscription
        self._orders = order_sender
        self._lifecycle = instance_lifecycle
        self._verdict_counter = verdict_counter

    def register(self, app: web.Application) -> None:
        """Adds the routes to the application."""
        app.router.add_get("/health", self._get_health)
        app.router.add_get("/ready", self._get_ready)
        prefix = "/v1/operators"
        app.router.add_get(f"{prefix}/status", self._get_status)
        app.router.add_get(f"{prefix}/endpoints", self._get_endpoints)
        app.router.add_post(f"{prefix}/drain", self._post_drain)
        app.router.add_post(f"{prefix}/orders", self._post_order)

    async def _get_health(self, _: web.Request):
        return web.Response(text="ok\n")

    async def _get_ready(self, _: web.Request):
        ready = (
            self._lifecycle.ready
            and self._subscription.current is not None
            and self._membership.is_discovery_done
        )
        return web.Response(
            text="ready\n" if ready else "not ready\n",
            status=200 if ready else 503,
        )

    def _authorised(self, http_request: web.Request) -> bool:
        return self._operator(http_request) is not None

    def _operator(
        self, http_request: web.Request
    ) -> configuration.Operator | None:
        current = self._subscription.current
        return (
            access.authenticate_operator(http_request, current)
            if current
            else None
        )

    async def _get_status(self, http_request: web.Request):
        if not self._authorised(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        confirmed = self._subscription.confirmed_at
        core = self._executor.scheduler
        return responses.document(
            StatusDocument(
                instance=self._instance,
                state=self._lifecycle.state,
                version=self._subscription.version,
                accepted_version=self._subscription.accepted.version,
                problems=self._subscription.problems,
                confirmed_seconds_ago=(
                    None
                    if confirmed is None
                    else round(self._executor.now - confirmed, 3)
                ),
                unfinished=core.unfinished,
                uncertain=self._verdict_counter.uncertain,
                peers=sorted(peer.name for peer in self._membership.peers),
                peer_versions=[
                    PeerVersion(instance=e.peer.name, version=e.version)
                    for e in self._membership.peer_entries
                ],
                targets=list(core.digests()),
            )
        )

    async def _get_endpoints(self, http_request: web.Request):
        if not self._authorised(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        rows = [
            EndpointStatus(
                name=member.endpoint.name,
                target=pool.target,
                failure_domain=member.endpoint.failure_domain,
                outstanding=member.outstanding,
                slots=member.endpoint.slots,
                owned=member.owned,
                leaving=member.leaving,
            )
            for pool in self._executor.scheduler.all_pools()
            for member in pool.members.values()
        ]
        return responses.document(rows)

    async def _post_drain(self, http_request: web.Request):
        if not self._authorised(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        match wire.decode(await http_request.read(), DrainRequest):
            case Success(order):
                return self._drain_endpoint(order.endpoint)
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)

    def _drain_endpoint(self, name: str) -> web.Response:
        endpoint = self._find_endpoint(name)
        if endpoint is None:
            return _unknown_endpoint(name)
        incarnation = endpoint.incarnation
        self._membership.announce_departure(
            messages.EndpointLeaving(name, incarnation, "operator")
        )
        return responses.document(
            DrainDocument(endpoint=name, incarnation=incarnation)
        )

    def _find_endpoint(self, name: str) -> messages.Endpoint | None:
        for pool in self._executor.scheduler.all_pools():
            member = pool.members.get(name)
            if member is not None:
                return member.endpoint
        return None

    async def _post_order(self, http_request: web.Request):
        if not self._authorised(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        match wire.decode(await http_request.read(), OrderRequest):
            case Success(order):
                return await self._send_order(order)
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)

    async def _send_order(self, order: OrderRequest) -> web.Response:
        endpoint = self._find_endpoint(order.endpoint)
        if endpoint is None:
            return _unknown_endpoint(order.endpoint)
        current = self._subscription.current
        if current is not None and current.is_fenced(endpoint.target):
            endpoint = dataclasses.replace(endpoint, fenced=True)
        match await self._orders.send(endpoint, order.kind, order.value):
            case orders.Done(fencing_number=number):
                return responses.document(
                    OrderOutcome(done=True, fencing_number=number)
                )
            case orders.NotDone(reason=reason):
                return responses.document(
                    editing.ProblemsDocument(problems=[reason]), 409
                )
            case orders.MayBeDone(reason=reason):
                problem = f"the endpoint did not answer: {reason}"
                return responses.document(
                    editing.ProblemsDocument(problems=[problem]), 504
                )


def _unknown_endpoint(endpoint: str) -> web.Response:
    problem = f"no endpoint {endpoint} in this failure domain"
    return responses.document(editing.ProblemsDocument(problems=[problem]), 404)
