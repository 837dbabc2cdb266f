"""Forwards requests to their home instance and relays the answers."""

import asyncio

from returns.result import Success

from cranberryglade import exchanges
from cranberryglade import membership
from cranberryglade import peers
from cranberryglade import snapshots
from cranberryglade import streams
from cranberryglade import submissions
from cranberryglade import tickets
from cranberryglade import tracing
from cranberryglade import verdict_counts
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages

REASONS_NOT_FROM_HOME = frozenset(
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
HOME_UNREACHABLE = verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE)


class Forwarder:
    """Forwards requests whose home is another instance.

    A request goes directly to its home if that is a reachable peer. If not,
    and the home is in another failure domain, it goes to a peer there, which
    forwards it to the home. If the home cannot be reached, the outcome is
    read from the snapshot that it stored when it stopped.
    """

    __slots__ = (
        "_snapshot_store",
        "_client",
        "_membership",
        "_issuer",
        "_verdict_counter",
        "_tasks",
        "_tracing",
    )

    def __init__(
        self,
        client: peers.PeerClient,
        members: membership.Membership,
        issuer: tickets.TicketIssuer,
        snapshot_store: snapshots.SnapshotStore,
        verdict_counter: verdict_counts.VerdictCounter,
        tracer: tracing.Tracing,
    ):
        self._client = client
        self._membership = members
        self._issuer = issuer
        self._snapshot_store = snapshot_store
        self._verdict_counter = verdict_counter
        self._tracing = tracer
        self._tasks: set[asyncio.Task] = set()

    def forward(self, submission: submissions.Submission) -> exchanges.Exchange:
        """Starts to forward a request.

        Returns:
            An exchange that receives the answer and ends with the verdict of
            `relay`.
        """
        request = submission.request
        exchange = exchanges.Exchange(request.request_id, request.organisation)
        task = asyncio.create_task(self._forward(submission, exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return exchange

    async def _forward(
        self,
        submission: submissions.Submission,
        exchange: exchanges.Exchange,
    ) -> None:
        ending = await self.relay(
            submission, submission.request.request_id, exchange.append
        )
        match ending:
            case streams.Complete():
                verdict = verdicts.Ran()
            case streams.Interrupted():
                verdict = verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
            case _:
                verdict = ending
        self._verdict_counter.add(verdict)
        exchange.finish(verdict)

    async def relay(
        self,
        submission: submissions.Submission,
        request_id: str,
        sink: streams.Sink,
    ) -> streams.Outcome:
        """Sends a request to the home that `request_id` names.

        Args:
            submission: the caller's request.
            request_id: id under which the home knows the request.
            sink: receives the token events.

        Returns:
            How the home ended the request. If that is unknown and no token
            event arrived: the outcome in the home's snapshot, or else
            MayHaveRun.
        """
        home = self._next_hop(request_id, submission.request.organisation)
        if home is None:
            return await self._ending_from_snapshot(
                request_id, sink, HOME_UNREACHABLE
            )
        has_delivered = False

        def forward_events(events: bytes) -> None:
            nonlocal has_delivered
            has_delivered = has_delivered or bool(events)
            sink(events)

        ending = await self._send(submission, request_id, home, forward_events)
        if has_delivered or not _is_outcome_unknown(ending):
            return ending
        fallback = (
            ending
            if isinstance(ending, verdicts.MayHaveRun)
            else HOME_UNREACHABLE
        )
        return await self._ending_from_snapshot(request_id, sink, fallback)

    async def look_up(
        self, request_id: str, organisation: str, cancel: bool
    ) -> peers.LookupReply | verdicts.Verdict:
        """Looks up or cancels a request at its home.

        Returns:
            The home's answer. If the home cannot be reached: the verdict in
            its snapshot, or else MayHaveRun.
        """
        home = self._next_hop(request_id, organisation)
        if home is not None:
            lookup = wire.LookupDocument(
                request_id=request_id, organisation=organisation, cancel=cancel
            )
            match await self._client.look_up(home, lookup):
                case Success(found):
                    return found
        outcome = await self._snapshot_store.find(request_id)
        return HOME_UNREACHABLE if outcome is None else outcome.verdict

    def _next_hop(self, request_id: str, organisation: str):
        ticket = self._issuer.verify(request_id, organisation)
        if ticket is None:
            return None
        home = self._membership.find(ticket.instance, ticket.incarnation)
        if home is not None or self._issuer.is_in_own_domain(request_id):
            return home
        domain_peers = [
            peer
            for peer in self._membership.peers
            if peer.failure_domain == ticket.failure_domain
        ]
        if not domain_peers:
            return None
        return domain_peers[ticket.sequence % len(domain_peers)]

    async def _ending_from_snapshot(
        self,
        request_id: str,
        sink: streams.Sink,
        fallback: verdicts.MayHaveRun,
    ) -> streams.Outcome:
        outcome = await self._snapshot_store.find(request_id)
        if outcome is None:
            return fallback
        if outcome.answer is None:
            return outcome.verdict
        sink(outcome.answer.events)
        return streams.Complete(outcome.answer.tokens)

    async def _send(
        self,
        submission: submissions.Submission,
        request_id: str,
        home: messages.Peer,
        sink: streams.Sink,
    ) -> streams.Outcome:
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
                remaining_ms=_remaining_ms(request.deadline - now),
                first_token_ms=_remaining_ms(
                    request.first_token_deadline - now
                ),
            ),
            headers,
            sink,
        )
        span.end()
        return ending


def _is_outcome_unknown(ending: streams.Outcome) -> bool:
    match ending:
        case streams.Interrupted() | verdicts.MayHaveRun():
            return True
        case verdicts.NotRun(reason=reason):
            return reason in REASONS_NOT_FROM_HOME
        case _:
            return False


def _remaining_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))
