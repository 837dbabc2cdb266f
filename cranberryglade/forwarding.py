"""Brings requests to their home and the answers back."""

import asyncio

from cranberryglade import exchanges
from cranberryglade import membership
from cranberryglade import peers
from cranberryglade import streams
from cranberryglade import submissions
from cranberryglade import tickets
from cranberryglade import tracing
from cranberryglade import verdicts
from cranberryglade import wire


class Forwarder:
    """Relays requests whose home is another instance."""

    __slots__ = ("_client", "_membership", "_office", "_tasks", "_tracing")

    def __init__(
        self,
        client: peers.PeerClient,
        members: membership.Membership,
        office: tickets.TicketOffice,
        tracer: tracing.Tracing,
    ):
        self._client = client
        self._membership = members
        self._office = office
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
                exchange.finish(verdicts.Ran())
            case streams.Cut():
                exchange.finish(
                    verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
                )
            case _:
                exchange.finish(ending)

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
            The home's verdict; MayHaveRun if it cannot be reached.
        """
        ticket = self._office.read(request_id)
        home = None
        if ticket is not None:
            home = self._membership.find(ticket.instance, ticket.incarnation)
        if home is None:
            return verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE)
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
                remaining_ms=round((request.deadline - now) * 1000),
                first_token_ms=round(
                    (request.first_token_deadline - now) * 1000
                ),
            ),
            headers,
            sink,
        )
        span.end()
        if _refused(ending):
            return verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE)
        return ending


def _refused(ending: streams.Ending) -> bool:
    return (
        isinstance(ending, verdicts.NotRun)
        and ending.reason is verdicts.Reason.CONNECTION_REFUSED
    )
