"""Sends one request and retries it without running it twice.

A request is sent under a ticket or a key, so that sending it again joins the
first instead of running it twice. After "not run" it is sent again if the
answer has a retry delay. After "may have run" only an idempotent request
could be sent again; a caller does not know whether a request is idempotent,
so none is. When the connection is lost, the state of the request is queried
and nothing is sent again.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time

from returns.result import Failure
from returns.result import Success

from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.tools import answer_reader
from cranberryglade.tools import client

REQUESTS_PATH = "/v1/requests"
TICKETS_PATH = "/v1/tickets"
QUERY_ATTEMPTS = 10
QUERY_PERIOD_SECONDS = 0.3
FINAL_VERDICTS = ("ran", "not_run", "may_have_run")
ANSWER_LOST = verdicts.Reason.ANSWER_LOST.value
CONNECTION_REFUSED = verdicts.Reason.CONNECTION_REFUSED.value

NoteCallback = Callable[[str], None]


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """How a request ended.

    Attributes:
        document: the verdict.
        first_token_seconds: time from the last sending to the first token;
            None if no token arrived.
        total_seconds: time from the first sending to the verdict.
        send_count: number of times the request was sent.
    """

    document: wire.VerdictDocument
    first_token_seconds: float | None
    total_seconds: float
    send_count: int


class Sender:
    """Sends requests through one client and reads their answers.

    Args:
        http_client: client of the instance that is called.
        note: called with messages about retries, for display.
    """

    __slots__ = ("_client", "_note")

    def __init__(self, http_client: client.Client, note: NoteCallback):
        self._client = http_client
        self._note = note

    async def obtain_ticket(self) -> str | wire.VerdictDocument:
        """Obtains a ticket; returns the verdict instead if there is none."""
        result = await self._client.call(
            "POST", TICKETS_PATH, wire.TicketsRequest()
        )
        match result:
            case Success(reply) if reply.status == 200:
                document = wire.decode(reply.body, wire.TicketsDocument)
                return document.unwrap().tickets[0]
            case Success(reply):
                return _read_verdict(reply)
            case Failure(unanswered):
                return _verdict("not_run", CONNECTION_REFUSED, str(unanswered))

    async def send(
        self,
        request: wire.RequestDocument,
        key: str,
        patience_seconds: float,
        tokens: answer_reader.TokenCallback | None = None,
    ) -> Outcome:
        """Sends a request and retries refusals until it ends or time is up.

        Args:
            request: the request.
            key: the caller's idempotency key; "" with a ticket.
            patience_seconds: time during which refusals are retried.
            tokens: called with the text of each token of a streamed answer.
        """
        start = time.monotonic()
        sendings = 0
        while True:
            sendings += 1
            document, first = await self._send_once(request, key, tokens)
            if document.verdict != "not_run":
                break
            delay_ms = document.retry_after_ms
            remaining = patience_seconds - (time.monotonic() - start)
            if delay_ms is None or delay_ms / 1000 > remaining:
                break
            self._note(
                f"not run: {document.reason}; again in {delay_ms / 1000:.1f} s"
            )
            await asyncio.sleep(delay_ms / 1000)
            if request.ticket is not None:
                await self._renew_ticket(request)
        total = time.monotonic() - start
        return Outcome(document, first, total, sendings)

    async def _renew_ticket(self, request: wire.RequestDocument) -> None:
        """Replaces the ticket of a refused request, which has not run."""
        obtained = await self.obtain_ticket()
        if isinstance(obtained, str):
            request.ticket = obtained

    async def _send_once(self, request, key, tokens):
        headers = {wire.KEY_HEADER: key} if key else {}
        reader = answer_reader.AnswerReader(request, tokens)
        try:
            async for part in self._client.stream(
                "POST", REQUESTS_PATH, request, headers
            ):
                reader.feed(part)
        except client.ConnectionLostError as error:
            if not error.failed_call.sent:
                detail = str(error.failed_call)
                return _verdict("not_run", CONNECTION_REFUSED, detail), None
        document = reader.verdict() or await self._query_outcome(
            reader.request_id
        )
        return document, reader.first_token_seconds

    async def _query_outcome(self, request_id: str) -> wire.VerdictDocument:
        lost = _verdict("may_have_run", ANSWER_LOST, "the connection was lost")
        lost.request_id = request_id
        if not request_id:
            return lost
        self._note("the answer was lost; querying the outcome of the request")
        path = f"{REQUESTS_PATH}/{request_id}"
        for _ in range(QUERY_ATTEMPTS):
            result = await self._client.call(
                "GET",
                path,
                timeout_seconds=QUERY_PERIOD_SECONDS * QUERY_ATTEMPTS,
            )
            match result.map(_read_verdict):
                case Success(found) if found.verdict in FINAL_VERDICTS:
                    return found if settles(found, request_id) else lost
            await asyncio.sleep(QUERY_PERIOD_SECONDS)
        return lost


def settles(document: wire.VerdictDocument, request_id: str) -> bool:
    """Returns whether the answer to a later call settles a request's outcome.

    A refusal without the id of the request, or for an unknown request, applies
    only to the later call.
    """
    if document.verdict != "not_run":
        return True
    unknown = verdicts.Reason.UNKNOWN_REQUEST.value
    return document.request_id == request_id and document.reason != unknown


def _read_verdict(reply: client.Reply) -> wire.VerdictDocument:
    match wire.decode(reply.body, wire.VerdictDocument):
        case Success(document):
            return document
        case _:
            return _verdict(
                "may_have_run", ANSWER_LOST, f"status {reply.status}"
            )


def _verdict(verdict: str, reason: str, detail: str) -> wire.VerdictDocument:
    return wire.VerdictDocument(verdict=verdict, reason=reason, detail=detail)
