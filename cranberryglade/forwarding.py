"""Brings requests to their home and the answers back."""

import asyncio

from returns.result import Success

from cranberryglade import exchanges
from cranberryglade import membership
from cranberryglade import peers
from cranberryglade import snapshots
from cranberryglade import streams
from cranberryglade import submissions
from cranberryglade import tallies
from cranberryglade import tickets
from cranberryglade import tracing
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages

NOT_OF_THE_HOME = frozenset(
    {
        verdicts.Reason.CONNECTION_REFUSED,
        verdicts.Reason.FORBIDDEN,
        verdicts.Reason.MALFORMED,
        verdicts.Reason.TOO_LARGE,
        verdicts.Reason.UNAUTHENTICATED,
        verdicts.Reason.UNKNOWN_KIND,
        verdicts.Reason.UNKNOWN_REQUEST,
    }
)
GONE = verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE)


class Forwarder:
    """Relays requests whose home is another instance."""

    __slots__ = (
        "_archive",
        "_client",
        "_membership",
        "_office",
        "_tally",
        "_tasks",
        "_tracing",
    )

    def __init__(
        self,
        client: peers.PeerClient,
        members: membership.Membership,
        office: tickets.TicketOffice,
        archive: snapshots.Archive,
        tally: tallies.Tally,
        tracer: tracing.Tracing,
    ):
        self._client = client
        self._membership = members
        self._office = office
        self._archive = archive
        self._tally = tally
        self._tracing = tracer
        self._tasks: set[asyncio.Task] = set()

    def forward(self, submission: submissions.Submission) -> exchanges.Exchange:
        """Starts the relay; the exchange ends with the home's verdict."""
        request = submission.request
        exchange = exchanges.Exchange(request.request_id, request.organisation)
        task = asyncio.create_task(self._follow(submission, exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return exchange

    async def _follow(
        self,
        submission: submissions.Submission,
        exchange: exchanges.Exchange,
    ) -> None:
        ending = await self.relay(
            submission, submission.request.request_id, exchange.append
        )
        match ending:
            case streams.Whole():
                verdict = verdicts.Ran()
            case streams.Cut():
                verdict = verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
            case _:
                verdict = ending
        self._tally.add(verdict)
        exchange.finish(verdict)

    async def relay(
        self,
        submission: submissions.Submission,
        request_id: str,
        sink: streams.Sink,
    ) -> streams.Ending:
        """Brings a request to the home that its id names.

        Args:
            submission: what the caller sent.
            request_id: id under which the home knows it.
            sink: is given the token events.

        Returns:
            The home's verdict. If the home cannot be reached, what it left
            behind when it stopped, or else MayHaveRun.
        """
        home = self._next_hop(request_id, submission.request.organisation)
        if home is None:
            return await self._left_behind(request_id, sink, GONE)
        delivered = False

        def note(events: bytes) -> None:
            nonlocal delivered
            delivered = delivered or bool(events)
            sink(events)

        ending = await self._send(submission, request_id, home, note)
        if delivered or not _unknown(ending):
            return ending
        known = ending if isinstance(ending, verdicts.MayHaveRun) else GONE
        return await self._left_behind(request_id, sink, known)

    async def look_up(
        self, request_id: str, organisation: str, cancel: bool
    ) -> peers.Found | verdicts.Verdict:
        """Asks the home of a request about it, or to cancel it.

        Returns:
            The home's answer; a verdict if the home cannot be reached.
        """
        home = self._next_hop(request_id, organisation)
        if home is not None:
            asked = wire.LookupDocument(
                request_id=request_id, organisation=organisation, cancel=cancel
            )
            match await self._client.look_up(home, asked):
                case Success(found):
                    return found
        finding = await self._archive.find(request_id)
        return GONE if finding is None else finding.verdict

    def _next_hop(self, request_id: str, organisation: str):
        ticket = self._office.read(request_id, organisation)
        if ticket is None:
            return None
        found = self._membership.find(ticket.instance, ticket.incarnation)
        if found is not None or self._office.is_near(request_id):
            return found
        contacts = [
            peer
            for peer in self._membership.peers
            if peer.failure_domain == ticket.failure_domain
        ]
        if not contacts:
            return None
        return contacts[ticket.sequence % len(contacts)]

    async def _left_behind(
        self,
        request_id: str,
        sink: streams.Sink,
        otherwise: verdicts.MayHaveRun,
    ) -> streams.Ending:
        finding = await self._archive.find(request_id)
        if finding is None:
            return otherwise
        if finding.answer is None:
            return finding.verdict
        sink(finding.answer.events)
        return streams.Whole(finding.answer.tokens)

    async def _send(
        self,
        submission: submissions.Submission,
        request_id: str,
        home: messages.Peer,
        sink: streams.Sink,
    ) -> streams.Ending:
        request = submission.request
        now = asyncio.get_running_loop().time()
        span = self._tracing.start(
            "forward",
            self._tracing.context(submission.span),
            home=home.name,
        )
        headers: dict[str, str] = {}
        self._tracing.inject(span, headers)
        ending = await self._client.forward(
            home,
            wire.DelegatedRequest(
                request=submission.document,
                request_id=request_id,
                organisation=request.organisation,
                remaining_ms=_milliseconds(request.deadline - now),
                first_token_ms=_milliseconds(
                    request.first_token_deadline - now
                ),
            ),
            headers,
            sink,
        )
        span.end()
        return ending


def _unknown(ending: streams.Ending) -> bool:
    match ending:
        case streams.Cut() | verdicts.MayHaveRun():
            return True
        case verdicts.NotRun(reason=reason):
            return reason in NOT_OF_THE_HOME
        case _:
            return False


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * 1000))
