"""Tests of safe retries against a server with scripted answers."""

import itertools

from aiohttp import test_utils
from aiohttp import web
import pytest

from cranberryglade import wire
from cranberryglade.tools import client
from cranberryglade.tools import sending

LOST = None
RAN = {"verdict": "ran", "request_id": "t1", "answer": {"effects": 1}}
SHED = {"verdict": "not_run", "request_id": "t1", "reason": "shed"}
SHED_WITH_DELAY = {**SHED, "retry_after_ms": 10}
UNKNOWN_REQUEST = {"verdict": "not_run", "reason": "unknown_request"}
PLATFORM_UNAVAILABLE = {"verdict": "not_run", "reason": "platform_unavailable"}
UNCERTAIN = {"verdict": "may_have_run", "reason": "answer_lost"}
PENDING = {"verdict": "pending", "request_id": "t1"}
STATE_UNKNOWN = {"verdict": "unknown", "request_id": "t1"}
STATUSES = {
    "ran": 200,
    "not_run": 503,
    "may_have_run": 504,
    "pending": 202,
    "unknown": 404,
}


class Server:
    """Answers requests and queries of their state from two scripts."""

    def __init__(self, sendings, queries):
        self._sendings = iter(sendings)
        self._queries = iter(queries)
        self._numbers = itertools.count(1)
        self.tickets = []

    def application(self):
        app = web.Application()
        app.router.add_post("/v1/tickets", self._post_tickets)
        app.router.add_post("/v1/requests", self._post_request)
        app.router.add_get("/v1/requests/{id}", self._get_request)
        return app

    async def _post_tickets(self, _):
        return web.json_response({"tickets": [f"t{next(self._numbers)}"]})

    async def _post_request(self, http_request):
        document = await http_request.json()
        self.tickets.append(document.get("ticket"))
        return self._respond(http_request, next(self._sendings))

    async def _get_request(self, http_request):
        return self._respond(http_request, next(self._queries))

    def _respond(self, http_request, document):
        if document is LOST:
            http_request.transport.abort()
            return web.Response()
        status = STATUSES[document["verdict"]]
        return web.json_response(document, status=status)


@pytest.mark.parametrize(
    ("sendings", "queries", "verdict", "tickets"),
    [
        ([RAN], [], "ran", ["t1"]),
        ([SHED_WITH_DELAY, RAN], [], "ran", ["t1", "t2"]),
        ([SHED], [], "not_run", ["t1"]),
        ([UNCERTAIN], [], "may_have_run", ["t1"]),
        ([SHED_WITH_DELAY, UNCERTAIN], [], "may_have_run", ["t1", "t2"]),
        ([LOST], [RAN], "ran", ["t1"]),
        ([LOST], [PENDING, RAN], "ran", ["t1"]),
        ([LOST], [LOST, RAN], "ran", ["t1"]),
        ([LOST], [STATE_UNKNOWN, RAN], "ran", ["t1"]),
        ([LOST], [SHED], "not_run", ["t1"]),
        ([LOST], [UNKNOWN_REQUEST], "may_have_run", ["t1"]),
        (
            [LOST],
            [{**UNKNOWN_REQUEST, "request_id": "t1"}],
            "may_have_run",
            ["t1"],
        ),
        ([LOST], [PLATFORM_UNAVAILABLE], "may_have_run", ["t1"]),
    ],
)
async def test_each_answer_gives_the_correct_verdict(
    sendings, queries, verdict, tickets
):
    server = Server(sendings, queries)
    async with test_utils.TestServer(server.application()) as test_server:
        address = f"{test_server.host}:{test_server.port}"
        async with client.Client(address) as http_client:
            sender = sending.Sender(http_client, lambda _: None)
            request = wire.RequestDocument(
                kind="deposit", ticket=await sender.obtain_ticket()
            )
            outcome = await sender.send(request, "", 5.0)
    assert outcome.document.verdict == verdict
    assert server.tickets == tickets
    assert outcome.send_count == len(tickets)
