"""Explains why a request waited, ran or was refused.

The decisions are collected from every instance that handled the request.
"""

from aiohttp import web
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import access
from cranberryglade import executors
from cranberryglade import facts
from cranberryglade import membership
from cranberryglade import peers
from cranberryglade import responses
from cranberryglade import subscriptions
from cranberryglade import tickets
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages

PEER_PATH = "/v1/peer/explanations"
MAXIMUM_HOPS = 4
DELEGATED = "delegated"
RELAYED = "relayed"


class Hop(wire.Document, omit_defaults=True):
    """The decisions of one instance about a request.

    Attributes:
        instance: name of the instance.
        failure_domain: failure domain it runs in; "" if it did not answer.
        facts: its decisions, oldest first; `at` is in seconds of that
            instance's clock and can be compared only within the hop.
        missing: why there are no facts, or "".
    """

    instance: str
    failure_domain: str = ""
    facts: list[messages.Fact] = []
    missing: str = ""


class ExplanationDocument(wire.Document):
    """All decisions about one request.

    Attributes:
        request_id: id of the request.
        verdict: "ran", "not_run", "may_have_run", "pending", or "unknown" when
            its home cannot be reached.
        reason: reason for the verdict; "" if there is none.
        hops: the instances that handled it, in the order they did so.
    """

    request_id: str
    verdict: str
    reason: str
    hops: list[Hop]


class ExplanationRequest(wire.Document):
    """Asks a peer for its decisions and those of its delegates.

    Attributes:
        request_id: id of the request.
        organisation: organisation the request must belong to; "" if an
            operator asks.
        hops: maximum length of the chain of instances to ask, counting the
            receiver.
    """

    request_id: str
    organisation: str
    hops: int


class Explainer:
    """Collects explanations and serves them to callers, operators and peers."""

    __slots__ = (
        "_client",
        "_executor",
        "_facts",
        "_key",
        "_membership",
        "_issuer",
        "_own",
        "_subscription",
    )

    def __init__(
        self,
        own: messages.Peer,
        executor: executors.Executor,
        members: membership.Membership,
        subscription: subscriptions.Subscription,
        issuer: tickets.TicketIssuer,
        fact_log: facts.FactLog,
        key: peers.PeerKey,
        client: peers.PeerClient,
    ):
        self._own = own
        self._executor = executor
        self._membership = members
        self._subscription = subscription
        self._issuer = issuer
        self._facts = fact_log
        self._key = key
        self._client = client

    def register(
        self, caller_app: web.Application, peer_app: web.Application
    ) -> None:
        """Adds the routes to the caller and peer applications."""
        caller_app.router.add_get(
            "/v1/requests/{id}/explanation", self._get_explanation
        )
        peer_app.router.add_post(PEER_PATH, self._post_explanation)

    async def _get_explanation(self, http_request: web.Request):
        current = self._subscription.current
        if current is None:
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        organisation = access.authenticate_organisation(http_request, current)
        if organisation is None and not access.authenticate_operator(
            http_request, current
        ):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        query = ExplanationRequest(
            request_id=http_request.match_info["id"],
            organisation=organisation.name if organisation else "",
            hops=MAXIMUM_HOPS,
        )
        return _respond(query, await self._explain(query))

    async def _post_explanation(self, http_request: web.Request):
        body = await http_request.read()
        signature = http_request.headers.get(peers.SIGNATURE_HEADER, "")
        path = http_request.path
        if not self._key.check(signature, path, body, self._own.incarnation):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        match wire.decode(body, ExplanationRequest):
            case Success(query):
                response = _respond(query, await self._explain_locally(query))
                response.headers[peers.SIGNATURE_HEADER] = self._key.sign(
                    path, response.body, signature
                )
                return response
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)

    async def _explain(
        self, query: ExplanationRequest
    ) -> ExplanationDocument | None:
        ticket = self._issuer.parse(query.request_id)
        if query.organisation:
            ticket = self._issuer.verify(query.request_id, query.organisation)
        if ticket is None:
            return None
        if self._issuer.is_home(query.request_id):
            return await self._explain_locally(query)
        explanation = await self._ask_peer(
            ticket.instance, ticket.incarnation, query, "home"
        )
        if explanation is not None and explanation.verdict != "unknown":
            visited = {hop.instance for hop in explanation.hops}
            if self._own.name not in visited:
                explanation.hops.insert(0, self._own_hop(query.request_id))
        return explanation

    async def _explain_locally(
        self, query: ExplanationRequest
    ) -> ExplanationDocument | None:
        request_id = query.request_id
        exchange = self._executor.exchanges.get(request_id)
        if query.organisation and (
            exchange is None or exchange.organisation != query.organisation
        ):
            return None
        hop = self._own_hop(request_id)
        if exchange is None and not hop.facts:
            return None
        verdict, reason = _verdict_and_reason(
            exchange.verdict if exchange else None
        )
        explanation = ExplanationDocument(
            request_id=request_id, verdict=verdict, reason=reason, hops=[hop]
        )
        if query.hops > 1:
            explanation.hops += await self._downstream_hops(query, hop)
        return explanation

    async def _downstream_hops(
        self, query: ExplanationRequest, hop: Hop
    ) -> list[Hop]:
        hops = []
        for fact in hop.facts:
            nested = ExplanationRequest(
                request_id=query.request_id,
                organisation=query.organisation,
                hops=query.hops - 1,
            )
            if fact.decision == DELEGATED:
                explanation = await self._ask_peer(
                    fact.subject, "", nested, "delegate"
                )
            elif fact.decision == RELAYED:
                nested.request_id = fact.subject
                explanation = await self._explain(nested)
            else:
                continue
            if explanation is not None:
                hops += explanation.hops
        return hops

    async def _ask_peer(
        self,
        instance: str,
        incarnation: str,
        query: ExplanationRequest,
        role: str,
    ) -> ExplanationDocument | None:
        peer = next(
            (p for p in self._membership.peers if p.name == instance), None
        )
        if peer is None or (incarnation and peer.incarnation != incarnation):
            return _unknown_explanation(
                query, instance, f"the {role} cannot be reached"
            )
        result: Result = await self._client.call_decoded(
            peer, PEER_PATH, query, ExplanationDocument
        )
        match result:
            case Success(explanation):
                return explanation
            case Failure("status 404"):
                return None
            case Failure(detail):
                return _unknown_explanation(
                    query, instance, f"the {role}: {detail}"
                )

    def _own_hop(self, request_id: str) -> Hop:
        return Hop(
            instance=self._own.name,
            failure_domain=self._own.failure_domain,
            facts=self._facts.facts_of(request_id),
        )


def _verdict_and_reason(verdict: verdicts.Verdict | None) -> tuple[str, str]:
    if verdict is None:
        return "pending", ""
    document = wire.verdict_document("", verdict)
    return document.verdict, document.reason


def _unknown_explanation(
    query: ExplanationRequest, instance: str, detail: str
) -> ExplanationDocument:
    return ExplanationDocument(
        request_id=query.request_id,
        verdict="unknown",
        reason=verdicts.Reason.HOME_UNREACHABLE.value,
        hops=[Hop(instance=instance, missing=detail)],
    )


def _respond(
    query: ExplanationRequest, explanation: ExplanationDocument | None
) -> web.Response:
    if explanation is None:
        return responses.refusal(
            verdicts.Reason.UNKNOWN_REQUEST, request_id=query.request_id
        )
    return web.Response(
        body=wire.encode(explanation), content_type=responses.JSON
    )
