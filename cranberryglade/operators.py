"""The interface for operators and for the platform's balancer."""

import asyncio
from typing import Literal

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from cranberryglade import access
from cranberryglade import configuration
from cranberryglade import executors
from cranberryglade import facts
from cranberryglade import lifecycle
from cranberryglade import membership
from cranberryglade import orders
from cranberryglade import proposals
from cranberryglade import responses
from cranberryglade import revisions
from cranberryglade import subscriptions
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages

HISTORY_VERSIONS = 10


class EndpointStatus(wire.Document):
    """One endpoint as this instance sees it."""

    name: str
    target: str
    failure_domain: str
    outstanding: int
    slots: int
    owned: bool
    leaving: bool


class PeerVersion(wire.Document):
    """The newest version that a peer says it knows."""

    instance: str
    version: int


class StatusDocument(wire.Document):
    """How an instance is.

    Attributes:
        instance: its name.
        state: state of the instance chart.
        version: version of the configuration in force; 0 for none.
        accepted_version: newest version known, in force or not.
        problems: why that version is not in force here.
        confirmed_seconds_ago: since the platform last confirmed it.
        unfinished: requests without a verdict.
        peers: names of the peers that answer.
        peer_versions: versions that the peers know.
        targets: load by target.
    """

    instance: str
    state: str
    version: int
    accepted_version: int
    problems: list[str]
    confirmed_seconds_ago: float | None
    unfinished: int
    peers: list[str]
    peer_versions: list[PeerVersion]
    targets: list[messages.TargetDigest]


class DrainRequest(wire.Document):
    """Orders that an endpoint get no new work."""

    endpoint: str


class OrderRequest(wire.Document):
    """An order for an endpoint; see orders.OrderDocument."""

    endpoint: str
    kind: Literal["load", "role", "drain"]
    value: str = ""


class OrderOutcome(wire.Document):
    """The endpoint has carried out an order."""

    done: bool
    fencing_number: int


class DrainDocument(wire.Document):
    """The endpoint process that gets no new work from now on."""

    endpoint: str
    incarnation: str


class ProposalDocument(wire.Document):
    """A configuration to put in force.

    Attributes:
        expected_version: the version it was derived from; 0 for none.
        text: INI text.
        nonce: the same for every repetition of one proposal; chosen here
            when empty.
    """

    expected_version: int
    text: str
    nonce: str = ""


class ProblemsDocument(wire.Document):
    """Why a configuration was not accepted."""

    problems: list[str]


class ConflictDocument(ProblemsDocument):
    """Another change came first.

    Attributes:
        proposed: what was to be written.
        present: what was written under that number; None if it is not kept.
    """

    proposed: revisions.Revision
    present: revisions.Revision | None


class UncertainDocument(ProblemsDocument):
    """The platform did not tell whether the configuration was accepted.

    Attributes:
        nonce: to be given when the proposal is repeated.
    """

    nonce: str


class HistoryDocument(wire.Document):
    """The last versions that are kept, newest first."""

    revisions: list[revisions.Revision]


class OperatorInterface:
    """Handles what operators send over HTTP."""

    __slots__ = (
        "_executor",
        "_facts",
        "_instance",
        "_lifecycle",
        "_membership",
        "_orders",
        "_proposals",
        "_subscription",
    )

    def __init__(
        self,
        instance: str,
        executor: executors.Executor,
        members: membership.Membership,
        subscription: subscriptions.Subscription,
        proposed: proposals.Proposals,
        given: orders.Orders,
        fact_log: facts.FactLog,
        life: lifecycle.Lifecycle,
    ):
        self._instance = instance
        self._executor = executor
        self._membership = members
        self._subscription = subscription
        self._proposals = proposed
        self._orders = given
        self._facts = fact_log
        self._lifecycle = life

    def register(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_get("/health", self._get_health)
        app.router.add_get("/ready", self._get_ready)
        prefix = "/v1/operators"
        app.router.add_get(f"{prefix}/status", self._get_status)
        app.router.add_get(f"{prefix}/endpoints", self._get_endpoints)
        app.router.add_post(f"{prefix}/drain", self._post_drain)
        app.router.add_post(f"{prefix}/orders", self._post_order)
        app.router.add_get(f"{prefix}/configuration", self._get_configuration)
        app.router.add_put(f"{prefix}/configuration", self._put_configuration)
        app.router.add_get(f"{prefix}/configuration/history", self._get_history)
        app.router.add_get(f"{prefix}/facts", self._get_facts)

    async def _get_health(self, _: web.Request):
        return web.Response(text="ok\n")

    async def _get_ready(self, _: web.Request):
        ready = (
            self._lifecycle.ready
            and self._subscription.current is not None
            and self._membership.is_introduced
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
        return access.operator(http_request, current) if current else None

    async def _get_status(self, http_request: web.Request):
        if not self._authorised(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        confirmed = self._subscription.confirmed_at
        core = self._executor.scheduler
        return _document(
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
                peers=sorted(peer.name for peer in self._membership.peers),
                peer_versions=[
                    PeerVersion(instance=e.peer.name, version=e.version)
                    for e in self._membership.entries
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
        return _document(rows)

    async def _post_drain(self, http_request: web.Request):
        if not self._authorised(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        match wire.decode(await http_request.read(), DrainRequest):
            case Success(order):
                return self._drain(order.endpoint)
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)

    def _drain(self, name: str) -> web.Response:
        endpoint = self._find(name)
        if endpoint is None:
            return _unknown(name)
        incarnation = endpoint.incarnation
        self._membership.announce(
            messages.EndpointLeaving(name, incarnation, "operator")
        )
        return _document(DrainDocument(endpoint=name, incarnation=incarnation))

    def _find(self, name: str) -> messages.Endpoint | None:
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
                return await self._order(order)
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)

    async def _order(self, order: OrderRequest) -> web.Response:
        endpoint = self._find(order.endpoint)
        if endpoint is None:
            return _unknown(order.endpoint)
        match await self._orders.give(endpoint, order.kind, order.value):
            case orders.Done(fencing_number=number):
                return _document(OrderOutcome(done=True, fencing_number=number))
            case orders.NotDone(reason=reason):
                return _document(ProblemsDocument(problems=[reason]), 409)
            case orders.MayBeDone(reason=reason):
                problem = f"the endpoint did not answer: {reason}"
                return _document(ProblemsDocument(problems=[problem]), 504)

    async def _get_configuration(self, http_request: web.Request):
        if not self._authorised(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        accepted = self._subscription.accepted
        return _document(
            wire.RowDocument(value=accepted.text, version=accepted.version)
        )

    async def _get_history(self, http_request: web.Request):
        if not self._authorised(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        newest = self._subscription.accepted.version
        match await self._proposals.history(newest, HISTORY_VERSIONS):
            case Success(found):
                return _document(HistoryDocument(revisions=found))
            case Failure(error):
                return _document(
                    ProblemsDocument(problems=[f"platform: {error}"]), 503
                )

    async def _put_configuration(self, http_request: web.Request):
        operator = self._operator(http_request)
        if operator is None:
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        match wire.decode(await http_request.read(), ProposalDocument):
            case Success(proposal):
                outcome = await self._proposals.propose(
                    proposal.text,
                    proposal.expected_version,
                    operator.name,
                    proposal.nonce,
                )
                await self._subscription.poll()
                return self._tell(outcome)
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)

    def _tell(self, outcome: proposals.Outcome) -> web.Response:
        match outcome:
            case proposals.Accepted(revision=revision):
                return _document(
                    wire.RowDocument(
                        value=revision.text, version=revision.version
                    )
                )
            case proposals.Refused(problems=problems):
                return _document(ProblemsDocument(problems=problems), 422)
            case proposals.Conflict(proposed=proposed, present=present):
                version = self._subscription.accepted.version
                return _document(
                    ConflictDocument(
                        problems=[f"version {version} is in force"],
                        proposed=proposed,
                        present=present,
                    ),
                    409,
                )
            case proposals.Uncertain(nonce=nonce, error=error):
                return _document(
                    UncertainDocument(
                        problems=[f"platform: {error}"], nonce=nonce
                    ),
                    503,
                )

    async def _get_facts(self, http_request: web.Request):
        if not self._authorised(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        response = web.StreamResponse(
            headers={"Content-Type": "application/jsonl"}
        )
        await response.prepare(http_request)
        queue: asyncio.Queue[messages.Fact] = asyncio.Queue(maxsize=1000)
        subscribed = self._facts.stream.subscribe(
            lambda fact: None if queue.full() else queue.put_nowait(fact)
        )
        try:
            while True:
                fact = await queue.get()
                await response.write(facts.encode(fact) + b"\n")
        finally:
            subscribed.dispose()


def _unknown(endpoint: str) -> web.Response:
    problem = f"no endpoint {endpoint} in this failure domain"
    return _document(ProblemsDocument(problems=[problem]), 404)


def _document(document, status: int = 200) -> web.Response:
    return web.Response(
        body=wire.encode(document),
        status=status,
        content_type=responses.JSON,
    )
