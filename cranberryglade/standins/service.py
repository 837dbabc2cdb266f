"""Stand-in of a plain service, such as one that records deposits."""

import asyncio
import collections

from aiohttp import web
import msgspec

from cranberryglade import wire
from cranberryglade.scheduling import answers
from cranberryglade.standins import recording


class Faults(wire.Document):
    """How the service misbehaves.

    Attributes:
        refuse: refuse calls with 503 without running them.
        accept_and_die: run a call, then abort the connection.
        delay_seconds: time that a call takes.
    """

    refuse: bool = False
    accept_and_die: bool = False
    delay_seconds: float = 0.01


class Receipt(wire.Document):
    """Response to a call.

    Attributes:
        request_id: the request.
        kind: its kind.
        effects: number of times that it has run so far.
    """

    request_id: str
    kind: str
    effects: int


class ServiceStandin:
    """Runs calls and counts the runs of each request.

    Args:
        recorder: records its runs and spans; without it, none are written.
    """

    __slots__ = ("_faults", "_recorder", "_runs")

    def __init__(self, recorder: recording.Recorder | None = None):
        self._recorder = recorder or recording.Recorder("service")
        self._runs: collections.Counter[str] = collections.Counter()
        self._faults = Faults()

    def application(self) -> web.Application:
        """Returns the HTTP interface; paths under /standin are for tests."""
        app = web.Application()
        app.router.add_post("/v1/call", self._post_call)
        app.router.add_put("/standin/faults", self._put_faults)
        app.router.add_get("/standin/runs", self._get_runs)
        app.on_cleanup.append(self._recorder.close)
        return app

    async def _post_call(self, http_request: web.Request):
        body = await http_request.read()
        call = msgspec.json.decode(body, type=wire.EngineRequest)
        if self._faults.refuse:
            refusal = wire.VerdictDocument(
                verdict="not_run",
                request_id=call.request_id,
                reason="endpoint_refused",
            )
            return web.Response(body=wire.encode(refusal), status=503)
        self._runs[call.request_id] += 1
        self._recorder.record_run(body)
        with self._recorder.span("call", http_request, call.request_id):
            await asyncio.sleep(self._faults.delay_seconds)
        if self._faults.accept_and_die:
            http_request.transport.abort()
        receipt = Receipt(
            request_id=call.request_id,
            kind=call.kind,
            effects=self._runs[call.request_id],
        )
        event = answers.token_event(0, wire.encode(receipt))
        return web.Response(
            body=event + answers.end_event(call.request_id, 1),
            content_type=wire.EVENT_STREAM,
        )

    async def _put_faults(self, http_request: web.Request):
        body = await http_request.read()
        self._faults = msgspec.json.decode(body, type=Faults)
        return web.Response()

    async def _get_runs(self, _: web.Request):
        return web.Response(body=wire.encode(dict(self._runs)))
