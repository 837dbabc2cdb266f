"""Safe retry of the command line, against scripted answers."""

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
LATER = {**SHED, "retry_after_ms": 10}
UNKNOWN = {"verdict": "not_run", "reason": "unknown_request"}
UNREADY = {"verdict": "not_run", "reason": "platform_unavailable"}
UNCERTAIN = {"verdict": "may_have_run", "reason": "answer_lost"}
PENDING = {"verdict": "pending", "request_id": "t1"}
UNSEEN = {"verdict": "unknown", "request_id": "t1"}
STATUSES = {
    "ran": 200,
    "not_run": 503,
    "may_have_run": 504,
    "pending": 202,
    "unknown": 404,
}


class Server:
    """Answers sendings and questions from two scripts."""

    def __init__(self, sendings, questions):
        self._sendings = iter(sendings)
        self._questions = iter(questions)
        self._numbers = itertools.count(1)
        self.tickets = []

    def application(self):
        app = web.Application()
        app.router.add_post("/v1/tickets", self._issue)
        app.router.add_post("/v1/requests", self._post)
        app.router.add_get("/v1/requests/{id}", self._get)
        return app

    async def _issue(self, _):
        return web.json_response({"tickets": [f"t{next(self._numbers)}"]})

    async def _post(self, http_request):
        document = await http_request.json()
        self.tickets.append(document.get("ticket"))
        return self._answer(http_request, next(self._sendings))

    async def _get(self, http_request):
        return self._answer(http_request, next(self._questions))

    def _answer(self, http_request, document):
        if document is LOST:
            http_request.transport.abort()
            return web.Response()
        status = STATUSES[document["verdict"]]
        return web.json_response(document, status=status)


@pytest.mark.parametrize(
    ("sendings", "questions", "verdict", "tickets"),
    [
        ([RAN], [], "ran", ["t1"]),
        ([LATER, RAN], [], "ran", ["t1", "t2"]),
        ([SHED], [], "not_run", ["t1"]),
        ([UNCERTAIN], [], "may_have_run", ["t1"]),
        ([LATER, UNCERTAIN], [], "may_have_run", ["t1", "t2"]),
        ([LOST], [RAN], "ran", ["t1"]),
        ([LOST], [PENDING, RAN], "ran", ["t1"]),
        ([LOST], [LOST, RAN], "ran", ["t1"]),
        ([LOST], [UNSEEN, RAN], "ran", ["t1"]),
        ([LOST], [SHED], "not_run", ["t1"]),
        ([LOST], [UNKNOWN], "may_have_run", ["t1"]),
        ([LOST], [{**UNKNOWN, "request_id": "t1"}], "may_have_run", ["t1"]),
        ([LOST], [UNREADY], "may_have_run", ["t1"]),
    ],
)
async def test_each_answer_leads_to_a_truthful_end(
    sendings, questions, verdict, tickets
):
    server = Server(sendings, questions)
    async with test_utils.TestServer(server.application()) as started:
        address = f"{started.host}:{started.port}"
        async with client.Client(address) as called:
            sender = sending.Sender(called, lambda _: None)
            request = wire.RequestDocument(
                kind="deposit", ticket=await sender.ticket()
            )
            outcome = await sender.send(request, "", 5.0)
    assert outcome.document.verdict == verdict
    assert server.tickets == tickets
    assert outcome.sendings == len(tickets)
