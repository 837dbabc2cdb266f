"""The interface for those who watch decisions as they are taken."""

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

PATH = "/v1/operators/facts"
QUEUED_FACTS = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Filter:
    """Which facts are wanted; "" for any.

    Attributes:
        request: id of a request.
        organisation: name of an organisation.
        decision: what was decided.
    """

    request: str = ""
    organisation: str = ""
    decision: str = ""

    def wants(self, fact: messages.Fact, organisation: str) -> bool:
        """Tells whether a fact about an organisation's request is wanted."""
        return (
            self.request in ("", fact.request_id)
            and self.organisation in ("", organisation)
            and self.decision in ("", fact.decision)
        )


FILTERS = tuple(field.name for field in dataclasses.fields(Filter))


class WatchInterface:
    """Streams facts to operators as lines of JSON."""

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
        """Adds the route."""
        app.router.add_get(PATH, self._get_facts)

    async def _get_facts(self, http_request: web.Request):
        current = self._subscription.current
        if current is None or not access.operator(http_request, current):
            return responses.refusal(verdicts.Reason.UNAUTHENTICATED)
        unknown = [name for name in http_request.query if name not in FILTERS]
        if unknown:
            detail = f"{unknown[0]}: allowed is {', '.join(FILTERS)}"
            return responses.refusal(verdicts.Reason.MALFORMED, detail)
        wanted = Filter(**http_request.query)
        response = web.StreamResponse(
            headers={"Content-Type": "application/jsonl"}
        )
        await response.prepare(http_request)
        await self._stream(response, wanted)
        return response

    async def _stream(
        self, response: web.StreamResponse, wanted: Filter
    ) -> None:
        queue: asyncio.Queue[messages.Fact] = asyncio.Queue(QUEUED_FACTS)
        missed = 0

        def take(fact: messages.Fact) -> None:
            nonlocal missed
            if not wanted.wants(fact, self._organisation(fact)):
                return
            if queue.full():
                missed += 1
            else:
                queue.put_nowait(fact)

        subscribed = self._facts.stream.subscribe(take)
        try:
            while True:
                fact = await queue.get()
                await response.write(facts.encode(fact) + b"\n")
                if missed:
                    count, missed = missed, 0
                    gap = _gap(fact.at, count)
                    await response.write(facts.encode(gap) + b"\n")
        finally:
            subscribed.dispose()

    def _organisation(self, fact: messages.Fact) -> str:
        exchange = self._executor.exchanges.get(fact.request_id)
        return exchange.organisation if exchange else ""


def _gap(at: float, count: int) -> messages.Fact:
    return messages.Fact(
        at,
        "",
        "omitted",
        "the watcher reads too slowly",
        measures=(messages.Measure("facts", count),),
    )
