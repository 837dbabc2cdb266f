"""What a stand-in writes down for those who check it from outside."""

import contextlib

from aiohttp import web

from cranberryglade import tracing


class Recorder:
    """Writes the requests that were run, and a span for each.

    Args:
        name: name of the stand-in in its spans.
        runs_file: gets each request that was let in, as a line of JSON; ""
            for none. A line outlives the process, also when it is killed.
        spans_file: gets the spans; "" for none.
    """

    __slots__ = ("_runs", "_tracing")

    def __init__(self, name: str, runs_file: str = "", spans_file: str = ""):
        self._tracing = tracing.Tracing(name, spans_file)
        self._runs = None
        if runs_file:
            self._runs = open(runs_file, "ab", buffering=0)  # noqa: SIM115

    def ran(self, body: bytes) -> None:
        """Writes down that a request was let in."""
        if self._runs is not None:
            self._runs.write(body.replace(b"\n", b" ") + b"\n")

    @contextlib.contextmanager
    def span(self, hop: str, http_request: web.Request, request_id: str):
        """Spans the time in which a request is served."""
        span = self._tracing.start(
            hop,
            self._tracing.extract(http_request.headers),
            request_id=request_id,
        )
        try:
            yield
        finally:
            span.end()

    async def close(self, _: web.Application) -> None:
        """Writes what is buffered."""
        self._tracing.close()
        if self._runs is not None:
            self._runs.close()
