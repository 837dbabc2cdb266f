"""Why a request waited, ran or was refused, over every instance it passed."""

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
    """What one instance decided about a request.

    Attributes:
        instance: its name.
        failure_domain: where it runs; "" if it did not answer.
        facts: its decisions, oldest first; `at` is in seconds of its own
            clock and comparable within the hop alone.
        missing: why there are no facts, or "".
    """

    instance: str
    failure_domain: str = ""
    facts: list[messages.Fact] = []
    missing: str = ""


class ExplanationDocument(wire.Document):
    """The decisions about one request.

    Attributes:
        request_id: the request.
        verdict: "ran", "not_run", "may_have_run", "pending", or "unknown" when
            its home cannot be reached.
        reason: reason of the verdict, or "".
        hops: the instances that it passed, each once.
    """

    request_id: str
    verdict: str
    reason: str
    hops: list[Hop]


class ExplanationRequest(wire.Document):
    """Asks a peer for what it and its delegates decided.

    Attributes:
        request_id: the request.
        organisation: whose request it must be; "" for an operator.
        hops: how many instances may still be asked.
    """

    request_id: str
    organisation: str
    hops: int


class Explainer:
    """Collects explanations and answers those who ask for them."""

    __slots__ = (
        "_client",
        "_executor",
        "_facts",
        "_key",
        "_membership",
        "_office",
        "_own",
        "_subscription",
    )

    def __init__(
        self,
        own: messages.Peer,
        executor: executors.Executor,
        members: membership.Membership,
        subscription: subscriptions.Subscription,
        office: tickets.TicketOffice,
        fact_log: facts.FactLog,
        key: peers.PeerKey,
        client: peers.PeerClient,
    ):
        self._own = own
        self._executor = executor
        self._membership = members
        self._subscription = subscription
        self._office = office
        self._facts = fact_log
        self._key = key
        self._client = client

    def register(
        self, caller_app: web.Application, peer_app: web.Application
    ) -> None:
        """Adds the routes for callers and for peers."""
        caller_app.router.add_get(
            "/v1/requests/{id}/explanation", self._get_explanation
        )
        peer_app.router.add_post(PEER_PATH, self._post_explanation)

    async def _get_explanation(self, http_request: web.Request):
        current = self._subscription.current
        if current is None:
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        organisation = access.organisation(http_request, current)
        if organisation is None and not access.operator(http_request, current):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        asked = ExplanationRequest(
            request_id=http_request.match_info["id"],
            organisation=organisation.name if organisation else "",
            hops=MAXIMUM_HOPS,
        )
        return _respond(asked, await self._explain(asked))

    async def _post_explanation(self, http_request: web.Request):
        body = await http_request.read()
        signature = http_request.headers.get(peers.SIGNATURE_HEADER, "")
        path = http_request.path
        if not self._key.check(signature, path, body, self._own.incarnation):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        match wire.decode(body, ExplanationRequest):
            case Success(asked):
                response = _respond(asked, await self._explain_here(asked))
                response.headers[peers.SIGNATURE_HEADER] = self._key.sign(
                    path, response.body, signature
                )
                return response
            case Failure(detail):
                return responses.refusal(verdicts.Reason.MALFORMED, detail)

    async def _explain(
        self, asked: ExplanationRequest
    ) -> ExplanationDocument | None:
        ticket = self._office.parse(asked.request_id)
        if asked.organisation:
            ticket = self._office.read(asked.request_id, asked.organisation)
        if ticket is None:
            return None
        if self._office.is_home(asked.request_id):
            return await self._explain_here(asked)
        found = await self._ask(
            ticket.instance, ticket.incarnation, asked, "home"
        )
        if found is not None and found.verdict != "unknown":
            passed = {hop.instance for hop in found.hops}
            if self._own.name not in passed:
                found.hops.insert(0, self._hop(asked.request_id))
        return found

    async def _explain_here(
        self, asked: ExplanationRequest
    ) -> ExplanationDocument | None:
        request_id = asked.request_id
        exchange = self._executor.exchanges.get(request_id)
        if asked.organisation and (
            exchange is None or exchange.organisation != asked.organisation
        ):
            return None
        hop = self._hop(request_id)
        if exchange is None and not hop.facts:
            return None
        verdict, reason = _verdict(exchange.verdict if exchange else None)
        found = ExplanationDocument(
            request_id=request_id, verdict=verdict, reason=reason, hops=[hop]
        )
        if asked.hops > 1:
            found.hops += await self._further(asked, hop)
        return found

    async def _further(self, asked: ExplanationRequest, hop: Hop) -> list[Hop]:
        hops = []
        for fact in hop.facts:
            nested = ExplanationRequest(
                request_id=asked.request_id,
                organisation=asked.organisation,
                hops=asked.hops - 1,
            )
            if fact.decision == DELEGATED:
                found = await self._ask(fact.subject, "", nested, "delegate")
            elif fact.decision == RELAYED:
                nested.request_id = fact.subject
                found = await self._explain(nested)
            else:
                continue
            if found is not None:
                hops += found.hops
        return hops

    async def _ask(
        self,
        instance: str,
        incarnation: str,
        asked: ExplanationRequest,
        role: str,
    ) -> ExplanationDocument | None:
        peer = next(
            (p for p in self._membership.peers if p.name == instance), None
        )
        if peer is None or (incarnation and peer.incarnation != incarnation):
            return _missing(asked, instance, f"the {role} cannot be reached")
        result: Result = await self._client.ask(
            peer, PEER_PATH, asked, ExplanationDocument
        )
        match result:
            case Success(found):
                return found
            case Failure("status 404"):
                return None
            case Failure(detail):
                return _missing(asked, instance, f"the {role}: {detail}")

    def _hop(self, request_id: str) -> Hop:
        return Hop(
            instance=self._own.name,
            failure_domain=self._own.failure_domain,
            facts=self._facts.about(request_id),
        )


def _verdict(verdict: verdicts.Verdict | None) -> tuple[str, str]:
    if verdict is None:
        return "pending", ""
    document = wire.verdict_document("", verdict)
    return document.verdict, document.reason


def _missing(
    asked: ExplanationRequest, instance: str, why: str
) -> ExplanationDocument:
    return ExplanationDocument(
        request_id=asked.request_id,
        verdict="unknown",
        reason=verdicts.Reason.HOME_UNREACHABLE.value,
        hops=[Hop(instance=instance, missing=why)],
    )


def _respond(
    asked: ExplanationRequest, found: ExplanationDocument | None
) -> web.Response:
    if found is None:
        return responses.refusal(
            verdicts.Reason.UNKNOWN_REQUEST, request_id=asked.request_id
        )
    return web.Response(body=wire.encode(found), content_type=responses.JSON)
