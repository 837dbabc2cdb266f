"""HTTP interface that streams scheduling decisions to operators."""

import asyncio
import dataclasses

from aiohttp import web

from cranberryglade import access
from cranberryglade import executors
from cranberryglade import facts
from cranberryglade import responses
from cranberryglade import subscriptions
from cranberryglade import verdicts
from cranberryglade.scheduling import messages

FACTS_PATH = "/v1/operators/facts"
MAXIMUM_QUEUED_FACTS = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class FactFilter:
    """Selects facts; "" in an attribute matches any value.

    Attributes:
        request: id of a request.
        organisation: name of an organisation.
        decision: name of a decision.
    """

    request: str = ""
    organisation: str = ""
    decision: str = ""

    def matches(self, fact: messages.Fact, organisation: str) -> bool:
        """Returns whether the filter selects a fact.

        Args:
            fact: the fact.
            organisation: organisation of its request; "" if not known.
        """
        return (
            self.request in ("", fact.request_id)
            and self.organisation in ("", organisation)
            and self.decision in ("", fact.decision)
        )


FILTER_NAMES = tuple(field.name for field in dataclasses.fields(FactFilter))


class WatchInterface:
    """Streams facts to operators as lines of JSON.

    At most MAXIMUM_QUEUED_FACTS wait for each client. Facts that find the queue
    full are dropped, and their number is sent as a fact "omitted" after the
    next fact that is sent.
    """

    __slots__ = ("_executor", "_facts", "_subscription")

    def __init__(
        self,
        executor: executors.Executor,
        subscription: subscriptions.Subscription,
        fact_log: facts.FactLog,
    ):
        self._executor = executor
        self._subscription = subscription
        self._facts = fact_log

    def register(self, app: web.Application) -> None:
        """Adds the route to the application."""
        app.router.add_get(FACTS_PATH, self._get_facts)

    async def _get_facts(self, http_request: web.Request):
        current = self._subscription.current
        if current is None or not access.authenticate_operator(
            http_request, current
        ):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        unknown = [
            name for name in http_request.query if name not in FILTER_NAMES
        ]
        if unknown:
            detail = f"{unknown[0]}: allowed is {', '.join(FILTER_NAMES)}"
            return responses.refusal(verdicts.Reason.MALFORMED, detail)
        fact_filter = FactFilter(**http_request.query)
        response = web.StreamResponse(
            headers={"Content-Type": "application/jsonl"}
        )
        await response.prepare(http_request)
        await self._stream(response, fact_filter)
        return response

    async def _stream(
        self, response: web.StreamResponse, fact_filter: FactFilter
    ) -> None:
        queue: asyncio.Queue[messages.Fact] = asyncio.Queue(
            MAXIMUM_QUEUED_FACTS
        )
        missed = 0

        def enqueue(fact: messages.Fact) -> None:
            nonlocal missed
            if not fact_filter.matches(fact, self._organisation(fact)):
                return
            if queue.full():
                missed += 1
            else:
                queue.put_nowait(fact)

        fact_subscription = self._facts.stream.subscribe(enqueue)
        try:
            while True:
                fact = await queue.get()
                await response.write(facts.encode(fact) + b"\n")
                if missed:
                    count, missed = missed, 0
                    omission = _omission(fact.at, count)
                    await response.write(facts.encode(omission) + b"\n")
        finally:
            fact_subscription.dispose()

    def _organisation(self, fact: messages.Fact) -> str:
        exchange = self._executor.exchanges.get(fact.request_id)
        return exchange.organisation if exchange else ""


def _omission(at: float, count: int) -> messages.Fact:
    return messages.Fact(
        at,
        "",
        "omitted",
        "the watcher reads too slowly",
        measures=(messages.Measure("facts", count),),
    )
