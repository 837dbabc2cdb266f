"""HTTP interface for peers: digests, requests, lookups, configuration."""

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from cranberryglade import configuration
from cranberryglade import executors
from cranberryglade import forwarding
from cranberryglade import gossip_encoding
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

OMITTED_HEADERS = ("Content-Type", "Date", "Server")


class PeerInterface:
    """Serves the HTTP requests of other instances.

    Every message must carry a signature that is bound to the incarnation of
    this instance. Only digests are also accepted with an unbound signature.
    """

    __slots__ = (
        "_executor",
        "_forwarder",
        "_incarnation",
        "_key",
        "_membership",
        "_issuer",
        "_subscription",
        "_tracing",
    )

    def __init__(
        self,
        executor: executors.Executor,
        forwarder: forwarding.Forwarder,
        members: membership.Membership,
        subscription: subscriptions.Subscription,
        issuer: tickets.TicketIssuer,
        key: peers.PeerKey,
        incarnation: str,
        tracer: tracing.Tracing,
    ):
        self._executor = executor
        self._forwarder = forwarder
        self._membership = members
        self._subscription = subscription
        self._issuer = issuer
        self._key = key
        self._incarnation = incarnation
        self._tracing = tracer

    def register(self, app: web.Application) -> None:
        """Adds the routes of this interface to an application."""
        app.on_response_prepare.append(_omit_headers)
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
        match gossip_encoding.decode(body):
            case Success(message):
                answer = self._membership.handle_message(message, is_bound)
                return self._signed_response(http_request, answer)
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)

    async def _post_configuration(self, http_request: web.Request):
        match await self._read_signed(http_request, revisions.UpdateRequest):
            case Success(request):
                update = self._subscription.update_for(request.known_version)
                return self._signed_response(http_request, wire.encode(update))
            case Failure(refusal):
                return refusal

    async def _post_delegated(self, http_request: web.Request):
        match await self._read_signed(http_request, wire.DelegatedRequest):
            case Success(delegated):
                return await self._serve(http_request, delegated, True)
            case Failure(refusal):
                return refusal

    async def _post_submission(self, http_request: web.Request):
        match await self._read_signed(http_request, wire.DelegatedRequest):
            case Success(forwarded) if self._issuer.is_in_own_domain(
                forwarded.request_id
            ):
                return await self._serve(http_request, forwarded, False)
            case Success(forwarded):
                verdict = verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE)
                return responses.of_verdict(forwarded.request_id, verdict)
            case Failure(refusal):
                return refusal

    async def _post_lookup(self, http_request: web.Request):
        match await self._read_signed(http_request, wire.LookupDocument):
            case Success(lookup):
                if lookup.cancel:
                    self._executor.cancel(lookup.request_id)
                found = self._executor.look_up(
                    lookup.request_id, lookup.organisation
                )
                if found is None and self._is_forwarded(lookup.request_id):
                    return await self._serve_forwarded_lookup(lookup)
                return await responses.request_state(lookup.request_id, found)
            case Failure(refusal):
                return refusal

    async def _serve_forwarded_lookup(self, lookup: wire.LookupDocument):
        found = await self._forwarder.look_up(
            lookup.request_id, lookup.organisation, lookup.cancel
        )
        return responses.relayed_lookup(lookup.request_id, found)

    def _is_forwarded(self, request_id: str) -> bool:
        issuer = self._issuer
        return issuer.is_in_own_domain(request_id) and not issuer.is_home(
            request_id
        )

    async def _serve(self, http_request, received, delegated):
        current = self._subscription.current
        rule = current.rules.get(received.request.kind) if current else None
        if rule is None:
            return responses.refusal(verdicts.Reason.UNKNOWN_KIND)
        span = self._tracing.start(
            "delegated" if delegated else "home",
            self._tracing.extract(http_request.headers),
            request_id=received.request_id,
        )
        try:
            submission = self._submission(
                current, rule, received, delegated, span
            )
            if delegated or self._issuer.is_home(received.request_id):
                exchange = self._executor.submit(submission)
            else:
                exchange = self._forwarder.forward(submission)
            if exchange.organisation != received.organisation:
                return responses.refusal(verdicts.Reason.FORBIDDEN)
            return await responses.streamed_answer(http_request, exchange)
        finally:
            span.end()

    def _submission(
        self,
        current: configuration.Configuration,
        rule: configuration.Rule,
        received: wire.DelegatedRequest,
        delegated: bool,
        span: object,
    ) -> submissions.Submission:
        return intake.from_peer(
            received,
            rule,
            current.tiers[rule.tier],
            self._executor.now,
            delegated,
            span,
            current.weight(received.organisation),
        )

    def _is_signed(
        self, http_request: web.Request, body: bytes, bound: str
    ) -> bool:
        signature = http_request.headers.get(peers.SIGNATURE_HEADER, "")
        return self._key.check(signature, http_request.path, body, bound)

    def _signed_response(
        self, http_request: web.Request, body: bytes
    ) -> web.Response:
        request_signature = http_request.headers[peers.SIGNATURE_HEADER]
        signature = self._key.sign(http_request.path, body, request_signature)
        return web.Response(
            body=body, headers={peers.SIGNATURE_HEADER: signature}
        )

    async def _read_signed(self, http_request: web.Request, kind: type):
        body = await http_request.read()
        if not self._is_signed(http_request, body, self._incarnation):
            return Failure(responses.refusal(verdicts.Reason.UNAUTHENTICATED))
        return wire.decode(body, kind).alt(
            lambda detail: responses.refusal(verdicts.Reason.MALFORMED, detail)
        )


async def _omit_headers(
    http_request: web.Request, response: web.StreamResponse
) -> None:
    if http_request.path == membership.DIGEST_PATH:
        for name in OMITTED_HEADERS:
            response.headers.popall(name, None)
