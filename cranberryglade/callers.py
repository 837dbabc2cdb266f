"""HTTP interface for callers: requests, lookups, cancels and tickets."""

import http

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from cranberryglade import access
from cranberryglade import configuration
from cranberryglade import exchanges
from cranberryglade import executors
from cranberryglade import facts
from cranberryglade import forwarding
from cranberryglade import intake
from cranberryglade import responses
from cranberryglade import submissions
from cranberryglade import subscriptions
from cranberryglade import tickets
from cranberryglade import tracing
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages

MAXIMUM_TICKETS = 1000
MAXIMUM_KEY_CHARACTERS = 128


class CallerInterface:
    """Serves the HTTP requests of organisations.

    A request is submitted to the executor if this instance is its home, and
    forwarded to its home otherwise.
    """

    __slots__ = (
        "_executor",
        "_facts",
        "_forwarder",
        "_issuer",
        "_subscription",
        "_tracing",
    )

    def __init__(
        self,
        executor: executors.Executor,
        forwarder: forwarding.Forwarder,
        subscription: subscriptions.Subscription,
        issuer: tickets.TicketIssuer,
        fact_log: facts.FactLog,
        tracer: tracing.Tracing,
    ):
        self._executor = executor
        self._forwarder = forwarder
        self._subscription = subscription
        self._issuer = issuer
        self._facts = fact_log
        self._tracing = tracer

    def register(self, app: web.Application) -> None:
        """Adds the routes of this interface to an application."""
        app.router.add_post("/v1/requests", self._post_request)
        app.router.add_get("/v1/requests/{id}", self._get_request)
        app.router.add_delete("/v1/requests/{id}", self._delete_request)
        app.router.add_post("/v1/tickets", self._post_tickets)

    async def _post_request(self, http_request: web.Request):
        current = self._subscription.current
        if current is None:
            return _no_configuration()
        organisation = access.authenticate_organisation(http_request, current)
        if organisation is None:
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        body = await http_request.read()
        match wire.decode(body, wire.RequestDocument):
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)
            case Success(document):
                return await self._serve(
                    http_request, current, organisation.name, document
                )

    async def _serve(
        self,
        http_request: web.Request,
        current: configuration.Configuration,
        organisation: str,
        document: wire.RequestDocument,
    ):
        rule = current.rules.get(document.kind)
        if rule is None:
            return await self._refuse_unknown_kind(document, organisation)
        key = http_request.headers.get(wire.KEY_HEADER, "")
        problem = _validation_problem(document, key)
        if problem:
            return responses.refusal(verdicts.Reason.MALFORMED, problem)
        request_id = document.ticket or self._issuer.issue(organisation)
        if self._issuer.parse(request_id) is None:
            return responses.refusal(
                verdicts.Reason.MALFORMED, "ticket: not issued here"
            )
        if self._issuer.verify(request_id, organisation) is None:
            return responses.refusal(verdicts.Reason.FORBIDDEN)
        span = self._tracing.start(
            "receive",
            self._tracing.extract(http_request.headers),
            request_id=request_id,
            kind=document.kind,
        )
        try:
            submission = intake.from_caller(
                document,
                rule,
                current.tiers[rule.tier],
                request_id,
                organisation,
                self._executor.now,
                key,
                span,
                current.weight(organisation),
            )
            exchange = self._submit_or_forward(submission)
            if exchange.organisation != organisation:
                return responses.refusal(verdicts.Reason.FORBIDDEN)
            if document.stream:
                return await responses.streamed_answer(http_request, exchange)
            return await responses.complete_answer(exchange)
        finally:
            span.end()

    async def _refuse_unknown_kind(
        self, document: wire.RequestDocument, organisation: str
    ) -> web.Response:
        if document.ticket:
            response = await self._lookup_response(
                document.ticket, organisation, False
            )
            if response.status != http.HTTPStatus.NOT_FOUND:
                return response
        return responses.refusal(verdicts.Reason.UNKNOWN_KIND, document.kind)

    def _submit_or_forward(
        self, submission: submissions.Submission
    ) -> exchanges.Exchange:
        if self._issuer.is_home(submission.request.request_id):
            return self._executor.submit(submission)
        self._record_forwarding(submission.request.request_id)
        return self._forwarder.forward(submission)

    def _record_forwarding(self, request_id: str) -> None:
        home = self._issuer.parse(request_id)
        self._facts.add(
            messages.Fact(
                self._executor.now,
                request_id,
                "forwarded",
                "the ticket names its home",
                home.instance,
            )
        )

    async def _get_request(self, http_request: web.Request):
        return await self._serve_lookup(http_request, cancel=False)

    async def _delete_request(self, http_request: web.Request):
        return await self._serve_lookup(http_request, cancel=True)

    async def _serve_lookup(self, http_request: web.Request, cancel: bool):
        current = self._subscription.current
        if current is None:
            return _no_configuration()
        organisation = access.authenticate_organisation(http_request, current)
        if organisation is None:
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        return await self._lookup_response(
            http_request.match_info["id"], organisation.name, cancel
        )

    async def _lookup_response(
        self, request_id: str, organisation: str, cancel: bool
    ):
        if self._issuer.verify(request_id, organisation) is None:
            return responses.refusal(
                verdicts.Reason.UNKNOWN_REQUEST, request_id=request_id
            )
        if not self._issuer.is_home(request_id):
            found = await self._forwarder.look_up(
                request_id, organisation, cancel
            )
            return responses.relayed_lookup(request_id, found)
        if cancel:
            self._executor.cancel(request_id)
        exchange = self._executor.look_up(request_id, organisation)
        return await responses.request_state(request_id, exchange)

    async def _post_tickets(self, http_request: web.Request):
        current = self._subscription.current
        if current is None:
            return _no_configuration()
        organisation = access.authenticate_organisation(http_request, current)
        if organisation is None:
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        body = await http_request.read()
        match wire.decode(body or b"{}", wire.TicketsRequest):
            case Success(request) if 1 <= request.count <= MAXIMUM_TICKETS:
                ticket_ids = [
                    self._issuer.issue(organisation.name)
                    for _ in range(request.count)
                ]
                return web.Response(
                    body=wire.encode(wire.TicketsDocument(tickets=ticket_ids)),
                    content_type=responses.JSON,
                )
            case Success(_):
                return responses.refusal(
                    verdicts.Reason.MALFORMED, "count: 1 to 1000"
                )
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)


def _validation_problem(document: wire.RequestDocument, key: str) -> str:
    if key and document.ticket:
        return "a ticket and an idempotency key exclude each other"
    if len(key) > MAXIMUM_KEY_CHARACTERS or not key.isprintable():
        return "Idempotency-Key: at most 128 printable characters"
    for name in ("prompt_tokens", "max_tokens", "deadline_ms"):
        value = getattr(document, name)
        if value is not None and not 0 <= value <= 10_000_000:
            return f"{name}: out of range"
    return ""


def _no_configuration() -> web.Response:
    return responses.of_verdict(
        "", verdicts.NotRun(verdicts.Reason.PLATFORM_UNAVAILABLE, 1.0)
    )
