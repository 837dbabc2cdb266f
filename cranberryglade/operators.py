"""The interface for operators and for the platform's balancer."""

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from cranberryglade import access
from cranberryglade import configuration
from cranberryglade import executors
from cranberryglade import lifecycle
from cranberryglade import membership
from cranberryglade import platform
from cranberryglade import responses
from cranberryglade import subscriptions
from cranberryglade import tallies
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages


class EndpointStatus(wire.Document):
    """One endpoint as this instance sees it.

    Attributes:
        name: the platform's name of it.
        target: model or service that it offers.
        failure_domain: where it runs.
        outstanding: requests that this instance has sent it.
        slots: requests it is built to run at once.
        owned: whether this instance feeds it.
        leaving: whether it gets no new work.
    """

    name: str
    target: str
    failure_domain: str
    outstanding: int
    slots: int
    owned: bool
    leaving: bool


class StatusDocument(wire.Document):
    """How an instance is.

    Attributes:
        instance: its name.
        state: state of the instance chart.
        version: version of the configuration in force; 0 for none.
        confirmed_seconds_ago: since the platform last confirmed it.
        unfinished: requests without a verdict.
        uncertain: requests that may have run, by cause.
        peers: names of the peers that answer.
        targets: load by target.
    """

    instance: str
    state: str
    version: int
    confirmed_seconds_ago: float | None
    unfinished: int
    uncertain: dict[str, int]
    peers: list[str]
    targets: list[messages.TargetDigest]


class DrainRequest(wire.Document):
    """Orders that an endpoint get no new work.

    Attributes:
        endpoint: the platform's name of it.
    """

    endpoint: str


class ProposalDocument(wire.Document):
    """A configuration to put in force.

    Attributes:
        expected_version: the version it was derived from; 0 for none.
        text: INI text.
    """

    expected_version: int
    text: str


class ProblemsDocument(wire.Document):
    """Why a configuration was not accepted.

    Attributes:
        problems: one text for each.
    """

    problems: list[str]


class OperatorInterface:
    """Handles what operators send over HTTP."""

    __slots__ = (
        "_executor",
        "_instance",
        "_lifecycle",
        "_membership",
        "_platform",
        "_subscription",
        "_tally",
    )

    def __init__(
        self,
        instance: str,
        executor: executors.Executor,
        members: membership.Membership,
        subscription: subscriptions.Subscription,
        platform_client: platform.PlatformClient,
        life: lifecycle.Lifecycle,
        tally: tallies.Tally,
    ):
        self._instance = instance
        self._executor = executor
        self._membership = members
        self._subscription = subscription
        self._platform = platform_client
        self._lifecycle = life
        self._tally = tally

    def register(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_get("/health", self._get_health)
        app.router.add_get("/ready", self._get_ready)
        prefix = "/v1/operators"
        app.router.add_get(f"{prefix}/status", self._get_status)
        app.router.add_get(f"{prefix}/endpoints", self._get_endpoints)
        app.router.add_post(f"{prefix}/drain", self._post_drain)
        app.router.add_get(f"{prefix}/configuration", self._get_configuration)
        app.router.add_put(f"{prefix}/configuration", self._put_configuration)

    async def _get_health(self, _: web.Request):
        return web.Response(text="ok\n")

    async def _get_ready(self, _: web.Request):
        ready = self._lifecycle.ready and self._subscription.current
        return web.Response(
            text="ready\n" if ready else "not ready\n",
            status=200 if ready else 503,
        )

    def _authorised(self, http_request: web.Request) -> bool:
        current = self._subscription.current
        if current is None:
            return False
        return access.operator(http_request, current) is not None

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
                confirmed_seconds_ago=(
                    None
                    if confirmed is None
                    else round(self._executor.now - confirmed, 3)
                ),
                unfinished=core.unfinished,
                uncertain=self._tally.uncertain,
                peers=sorted(peer.name for peer in self._membership.peers),
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
                self._executor.post(
                    messages.EndpointLeaving(order.endpoint, "", "operator")
                )
                return _document(order)
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)

    async def _get_configuration(self, http_request: web.Request):
        if not self._authorised(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        current = self._subscription.current
        return _document(
            wire.RowDocument(value=current.text, version=current.version)
        )

    async def _put_configuration(self, http_request: web.Request):
        if not self._authorised(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        match wire.decode(await http_request.read(), ProposalDocument):
            case Success(proposal):
                return await self._propose(proposal)
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)

    async def _propose(self, proposal: ProposalDocument):
        checked = configuration.parse(
            proposal.text, proposal.expected_version + 1
        )
        if isinstance(checked, Failure):
            problems = [str(problem) for problem in checked.failure()]
            return _document(ProblemsDocument(problems=problems), 422)
        outcome = await self._platform.transact(
            [
                wire.WriteDocument(
                    table=subscriptions.TABLE,
                    key=subscriptions.KEY,
                    expected_version=proposal.expected_version,
                    value=proposal.text,
                )
            ]
        )
        await self._subscription.poll()
        match outcome:
            case Success(done) if done.committed:
                return _document(
                    wire.RowDocument(
                        value=proposal.text,
                        version=proposal.expected_version + 1,
                    )
                )
            case Success(_):
                problem = f"version {self._subscription.version} is in force"
                return _document(ProblemsDocument(problems=[problem]), 409)
            case Failure(error):
                return _document(
                    ProblemsDocument(problems=[f"platform: {error}"]), 503
                )


def _document(document, status: int = 200) -> web.Response:
    return web.Response(
        body=wire.encode(document),
        status=status,
        content_type=responses.JSON,
    )
