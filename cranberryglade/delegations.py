"""The interface for peers."""

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from cranberryglade import configuration
from cranberryglade import executors
from cranberryglade import intake
from cranberryglade import membership
from cranberryglade import peers
from cranberryglade import responses
from cranberryglade import submissions
from cranberryglade import subscriptions
from cranberryglade import tickets
from cranberryglade import tracing
from cranberryglade import verdicts
from cranberryglade import wire


class PeerInterface:
    """Handles what other instances send over HTTP."""

    __slots__ = (
        "_executor",
        "_key",
        "_membership",
        "_office",
        "_subscription",
        "_tracing",
    )

    def __init__(
        self,
        executor: executors.Executor,
        members: membership.Membership,
        subscription: subscriptions.Subscription,
        office: tickets.TicketOffice,
        key: peers.PeerKey,
        tracer: tracing.Tracing,
    ):
        self._executor = executor
        self._membership = members
        self._subscription = subscription
        self._office = office
        self._key = key
        self._tracing = tracer

    def register(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_post("/v1/peer/digest", self._post_digest)
        app.router.add_post("/v1/peer/requests", self._post_delegated)
        app.router.add_post("/v1/peer/submissions", self._post_submission)
        app.router.add_post("/v1/peer/lookups", self._post_lookup)

    async def _post_digest(self, http_request: web.Request):
        match await self._read(http_request, wire.DigestDocument):
            case Success(digest):
                self._membership.heard(digest)
                own = self._membership.own_digest()
                return web.Response(
                    body=wire.encode(own), content_type=responses.JSON
                )
            case Failure(refused):
                return refused

    async def _post_delegated(self, http_request: web.Request):
        match await self._read(http_request, wire.DelegatedRequest):
            case Success(brought):
                return await self._serve(http_request, brought, True)
            case Failure(refused):
                return refused

    async def _post_submission(self, http_request: web.Request):
        match await self._read(http_request, wire.DelegatedRequest):
            case Success(brought) if self._office.is_home(brought.request_id):
                return await self._serve(http_request, brought, False)
            case Success(brought):
                verdict = verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE)
                return responses.of_verdict(brought.request_id, verdict)
            case Failure(refused):
                return refused

    async def _post_lookup(self, http_request: web.Request):
        match await self._read(http_request, wire.LookupDocument):
            case Success(asked):
                if asked.cancel:
                    self._executor.cancel(asked.request_id)
                found = self._executor.look_up(
                    asked.request_id, asked.organisation
                )
                return await responses.current(asked.request_id, found)
            case Failure(refused):
                return refused

    async def _serve(self, http_request, brought, delegated):
        current = self._subscription.current
        rule = current.rules.get(brought.request.kind) if current else None
        if rule is None:
            return responses.refusal(verdicts.Reason.UNKNOWN_KIND)
        span = self._tracing.start(
            "delegated" if delegated else "home",
            self._tracing.extract(http_request.headers),
            request_id=brought.request_id,
        )
        try:
            exchange = self._executor.submit(
                self._submission(current, rule, brought, delegated, span)
            )
            if exchange.organisation != brought.organisation:
                return responses.refusal(verdicts.Reason.FORBIDDEN)
            return await responses.streamed(http_request, exchange)
        finally:
            span.end()

    def _submission(
        self,
        current: configuration.Configuration,
        rule: configuration.Rule,
        brought: wire.DelegatedRequest,
        delegated: bool,
        span: object,
    ) -> submissions.Submission:
        return intake.brought(
            brought,
            rule,
            current.tiers[rule.tier],
            self._executor.now,
            delegated,
            span,
        )

    async def _read(self, http_request: web.Request, kind: type):
        body = await http_request.read()
        signature = http_request.headers.get(peers.SIGNATURE_HEADER, "")
        if not self._key.check(signature, http_request.path, body):
            return Failure(responses.refusal(verdicts.Reason.UNAUTHENTICATED))
        return wire.decode(body, kind).alt(
            lambda detail: responses.refusal(verdicts.Reason.MALFORMED, detail)
        )
