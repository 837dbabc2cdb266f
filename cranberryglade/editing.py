"""The interface for operators who change the shared configuration."""

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from cranberryglade import access
from cranberryglade import configuration
from cranberryglade import proposals
from cranberryglade import responses
from cranberryglade import revisions
from cranberryglade import subscriptions
from cranberryglade import tables
from cranberryglade import verdicts
from cranberryglade import wire

HISTORY_VERSIONS = 10


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


class ProblemsDocument(wire.Document, omit_defaults=True):
    """Why something was not done.

    Attributes:
        problems: for a person.
        nonce: to be given when a proposal is repeated whose outcome the
            platform did not tell.
        proposed: in a conflict, what was to be written.
        present: in a conflict, what was written under that number; None if it
            is no longer kept.
    """

    problems: list[str]
    nonce: str = ""
    proposed: revisions.Revision | None = None
    present: revisions.Revision | None = None


class HistoryEntry(wire.Document):
    """One version that has been accepted.

    Attributes:
        version: its number.
        operator: who proposed it; "" if that is not known.
        accepted_at: when, by the clock of the instance that wrote it.
    """

    version: int
    operator: str
    accepted_at: str


class ConfigurationInterface:
    """Handles what operators send about the configuration."""

    __slots__ = ("_proposals", "_subscription")

    def __init__(
        self,
        subscription: subscriptions.Subscription,
        proposed: proposals.Proposals,
    ):
        self._subscription = subscription
        self._proposals = proposed

    def register(self, app: web.Application) -> None:
        """Adds the routes."""
        path = "/v1/operators/configuration"
        app.router.add_get(path, self._get_configuration)
        app.router.add_put(path, self._put_configuration)
        app.router.add_get(f"{path}/history", self._get_history)

    def _operator(
        self, http_request: web.Request
    ) -> configuration.Operator | None:
        current = self._subscription.current
        return access.operator(http_request, current) if current else None

    async def _get_configuration(self, http_request: web.Request):
        if not self._operator(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        accepted = self._subscription.accepted
        return responses.document(
            tables.Row(value=accepted.text, version=accepted.version)
        )

    async def _get_history(self, http_request: web.Request):
        if not self._operator(http_request):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        newest = self._subscription.accepted.version
        match await self._proposals.history(newest, HISTORY_VERSIONS):
            case Success(found):
                return responses.document(
                    [
                        HistoryEntry(
                            version=item.version,
                            operator=item.operator,
                            accepted_at=item.accepted_at,
                        )
                        for item in reversed(found)
                    ]
                )
            case Failure(error):
                return responses.document(
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
                return responses.document(
                    tables.Row(value=revision.text, version=revision.version)
                )
            case proposals.Refused(problems=problems):
                return responses.document(
                    ProblemsDocument(problems=problems), 422
                )
            case proposals.Conflict(proposed=proposed, present=present):
                version = self._subscription.accepted.version
                return responses.document(
                    ProblemsDocument(
                        problems=[f"version {version} is in force"],
                        proposed=proposed,
                        present=present,
                    ),
                    409,
                )
            case proposals.Uncertain(nonce=nonce, error=error):
                return responses.document(
                    ProblemsDocument(
                        problems=[f"platform: {error}"], nonce=nonce
                    ),
                    503,
                )
