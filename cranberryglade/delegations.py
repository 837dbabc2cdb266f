"""The interface for peers."""

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from cranberryglade import configuration
from cranberryglade import digests
from cranberryglade import executors
from cranberryglade import forwarding
from cranberryglade import intake
from cranberryglade import membership
from cranberryglade import peers
from cranberryglade import responses
from cranberryglade import revisions
from cranberryglade import submissions
from cranberryglade import subscriptions
from cranberryglade import tickets
from cranberryglade import tracing
from cranberryglade import verdicts
from cranberryglade import wire

SPARED_HEADERS = ("Content-Type", "Date", "Server")


class PeerInterface:
    """Handles what other instances send over HTTP."""

    __slots__ = (
        "_executor",
        "_forwarder",
        "_incarnation",
        "_key",
        "_membership",
        "_office",
        "_subscription",
        "_tracing",
    )

    def __init__(
        self,
        executor: executors.Executor,
        forwarder: forwarding.Forwarder,
        members: membership.Membership,
        subscription: subscriptions.Subscription,
        office: tickets.TicketOffice,
        key: peers.PeerKey,
        incarnation: str,
        tracer: tracing.Tracing,
    ):
        self._executor = executor
        self._forwarder = forwarder
        self._membership = members
        self._subscription = subscription
        self._office = office
        self._key = key
        self._incarnation = incarnation
        self._tracing = tracer

    def register(self, app: web.Application) -> None:
        """Adds the routes."""
        app.on_response_prepare.append(_spare_headers)
        app.router.add_post(membership.DIGEST_PATH, self._post_digest)
        app.router.add_post(
            membership.CONFIGURATION_PATH, self._post_configuration
        )
        app.router.add_post("/v1/peer/requests", self._post_delegated)
        app.router.add_post("/v1/peer/submissions", self._post_submission)
        app.router.add_post("/v1/peer/lookups", self._post_lookup)

    async def _post_digest(self, http_request: web.Request):
        body = await http_request.read()
        is_bound = self._is_signed(http_request, body, self._incarnation)
        if not is_bound and not self._is_signed(http_request, body, ""):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        match digests.decode(body):
            case Success(message):
                answer = self._membership.answer_to(message, is_bound)
                return self._signed(http_request, answer)
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)

    async def _post_configuration(self, http_request: web.Request):
        match await self._read(http_request, revisions.UpdateRequest):
            case Success(request):
                update = self._subscription.update_for(request.known_version)
                return self._signed(http_request, wire.encode(update))
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
            case Success(brought) if self._office.is_near(brought.request_id):
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
                if found is None and self._is_passed_on(asked.request_id):
                    return await self._look_up_further(asked)
                return await responses.current(asked.request_id, found)
            case Failure(refused):
                return refused

    async def _look_up_further(self, asked: wire.LookupDocument):
        found = await self._forwarder.look_up(
            asked.request_id, asked.organisation, asked.cancel
        )
        return responses.relayed(asked.request_id, found)

    def _is_passed_on(self, request_id: str) -> bool:
        office = self._office
        return office.is_near(request_id) and not office.is_home(request_id)

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
            submission = self._submission(
                current, rule, brought, delegated, span
            )
            if delegated or self._office.is_home(brought.request_id):
                exchange = self._executor.submit(submission)
            else:
                exchange = self._forwarder.forward(submission)
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
            current.weight(brought.organisation),
        )

    def _is_signed(
        self, http_request: web.Request, body: bytes, bound: str
    ) -> bool:
        signature = http_request.headers.get(peers.SIGNATURE_HEADER, "")
        return self._key.check(signature, http_request.path, body, bound)

    def _signed(self, http_request: web.Request, body: bytes) -> web.Response:
        asked = http_request.headers[peers.SIGNATURE_HEADER]
        signature = self._key.sign(http_request.path, body, asked)
        return web.Response(
            body=body, headers={peers.SIGNATURE_HEADER: signature}
        )

    async def _read(self, http_request: web.Request, kind: type):
        body = await http_request.read()
        if not self._is_signed(http_request, body, self._incarnation):
            return Failure(responses.refusal(verdicts.Reason.UNAUTHENTICATED))
        return wire.decode(body, kind).alt(
            lambda detail: responses.refusal(verdicts.Reason.MALFORMED, detail)
        )


async def _spare_headers(
    http_request: web.Request, response: web.StreamResponse
) -> None:
    if http_request.path == membership.DIGEST_PATH:
        for name in SPARED_HEADERS:
            response.headers.popall(name, None)
