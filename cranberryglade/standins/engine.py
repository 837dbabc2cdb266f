"""Stand-in of a model engine that streams tokens."""

import asyncio
import collections
import os

from aiohttp import web
import msgspec

from cranberryglade import wire
from cranberryglade.scheduling import answers
from cranberryglade.standins import control
from cranberryglade.standins import model
from cranberryglade.standins import recording

CRASH_EXIT_CODE = 70


class Faults(wire.Document):
    """How the engine misbehaves.

    Attributes:
        refuse: refuse new requests with 503 without running them.
        accept_and_die: abort the connection of new requests and run them.
        cut_after: abort each stream once after that many tokens; 0 for never.
        forget: refuse resumption with 404.
        slowdown: factor on the duration of every step.
        leaving: report that the engine is leaving.
        crash_prefix: end the process when it gets a request with this prefix.
    """

    refuse: bool = False
    accept_and_die: bool = False
    cut_after: int = 0
    forget: bool = False
    slowdown: float = 1.0
    leaving: bool = False
    crash_prefix: str = ""


class Report(wire.Document):
    """Load report of the engine.

    Attributes:
        running: number of requests in the batch.
        waiting: number of requests that wait for the batch.
        state: "live" or "leaving".
    """

    running: int
    waiting: int
    state: str


class _Stream:
    __slots__ = ("changed", "count", "cut", "finished")

    def __init__(self):
        self.changed = asyncio.Event()
        self.count = 0
        self.finished = False
        self.cut = False


class EngineStandin:
    """An engine whose model is stepped in real time.

    Args:
        speed: speed of the engine.
        recorder: records its runs and spans; without it, none are written.
    """

    __slots__ = (
        "_faults",
        "_has_work",
        "_model",
        "_recorder",
        "_runs",
        "_step_task",
        "_streams",
    )

    def __init__(
        self,
        speed: model.Speed,
        recorder: recording.Recorder | None = None,
    ):
        self._model = model.EngineModel(speed)
        self._recorder = recorder or recording.Recorder("engine")
        self._streams: dict[str, _Stream] = {}
        self._runs: collections.Counter[str] = collections.Counter()
        self._faults = Faults()
        self._has_work = asyncio.Event()

    def application(self) -> web.Application:
        """Returns the HTTP interface; paths under /standin are for tests."""
        app = web.Application()
        app.router.add_post("/v1/generate", self._post_generate)
        app.router.add_get("/v1/generate/{id}", self._get_generate)
        app.router.add_delete("/v1/generate/{id}", self._delete_generate)
        app.router.add_get("/v1/load", self._get_load)
        app.router.add_put("/standin/faults", self._put_faults)
        app.router.add_get("/standin/runs", self._get_runs)
        control.Control(self._model, self._is_leaving).register(app)
        app.on_startup.append(self._start)
        app.on_cleanup.append(self._recorder.close)
        return app

    def _is_leaving(self) -> bool:
        return self._faults.leaving

    async def _start(self, _: web.Application) -> None:
        self._step_task = asyncio.create_task(self._run_steps())

    async def _run_steps(self) -> None:
        while True:
            if self._model.idle:
                self._has_work.clear()
                await self._has_work.wait()
            step = self._model.step()
            await asyncio.sleep(step.seconds)
            for request_id in step.tokens:
                self._advance(request_id, request_id in step.finished)

    def _advance(self, request_id: str, finished: bool) -> None:
        stream = self._streams[request_id]
        stream.count += 1
        stream.finished = finished
        stream.changed.set()

    async def _post_generate(self, http_request: web.Request):
        body = await http_request.read()
        request = msgspec.json.decode(body, type=wire.EngineRequest)
        if self._faults.refuse:
            refusal = wire.VerdictDocument(
                verdict="not_run",
                request_id=request.request_id,
                reason="endpoint_refused",
            )
            return web.Response(body=wire.encode(refusal), status=503)
        if request.prefix and request.prefix == self._faults.crash_prefix:
            os._exit(CRASH_EXIT_CODE)
        self._runs[request.request_id] += 1
        self._recorder.record_run(body)
        stream = _Stream()
        self._streams[request.request_id] = stream
        self._model.admit(
            model.Sequence(
                request.request_id,
                request.prefix,
                max(1, request.prompt_tokens),
                max(1, request.max_tokens),
            )
        )
        self._has_work.set()
        if self._faults.accept_and_die:
            http_request.transport.abort()
        request_id = request.request_id
        with self._recorder.span("generate", http_request, request_id):
            return await self._send_stream(http_request, request_id, 0)

    async def _get_generate(self, http_request: web.Request):
        request_id = http_request.match_info["id"]
        if request_id not in self._streams or self._faults.forget:
            raise web.HTTPNotFound()
        last = int(http_request.headers.get("Last-Event-ID", "-1"))
        return await self._send_stream(http_request, request_id, last + 1)

    async def _delete_generate(self, http_request: web.Request):
        request_id = http_request.match_info["id"]
        self._model.cancel(request_id)
        stream = self._streams.get(request_id)
        if stream is not None:
            stream.finished = True
            stream.changed.set()
        return web.Response()

    async def _send_stream(self, http_request, request_id: str, offset: int):
        stream = self._streams[request_id]
        response = web.StreamResponse(
            headers={
                "Content-Type": wire.EVENT_STREAM,
                wire.REQUEST_ID_HEADER: request_id,
            }
        )
        await response.prepare(http_request)
        while True:
            while offset < stream.count:
                await response.write(_event(offset))
                offset += 1
                if offset == self._faults.cut_after and not stream.cut:
                    stream.cut = True
                    http_request.transport.abort()
                    return response
            if stream.finished:
                break
            stream.changed.clear()
            await stream.changed.wait()
        await response.write(answers.end_event(request_id, stream.count))
        await response.write_eof()
        return response

    async def _get_load(self, _: web.Request):
        report = Report(
            running=self._model.running,
            waiting=self._model.waiting,
            state="leaving" if self._faults.leaving else "live",
        )
        return web.Response(body=wire.encode(report))

    async def _put_faults(self, http_request: web.Request):
        body = await http_request.read()
        self._faults = msgspec.json.decode(body, type=Faults)
        self._model.slowdown = self._faults.slowdown
        return web.Response()

    async def _get_runs(self, _: web.Request):
        return web.Response(body=wire.encode(dict(self._runs)))


def _event(offset: int) -> bytes:
    return answers.token_event(offset, b'{"text":"w%d "}' % offset)
