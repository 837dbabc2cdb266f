"""Record of what a stand-in ran, for checks from outside."""

import contextlib

from aiohttp import web

from cranberryglade import tracing


class Recorder:
    """Writes the requests that were run, and a span for each.

    Args:
        name: name of the stand-in in its spans.
        runs_file: file to append each accepted request to, as a line of
            JSON; "" for none. It is unbuffered, so that no line is lost when
            the process is killed.
        spans_file: file for the spans; "" for none.
    """

    __slots__ = ("_runs", "_tracing")

    def __init__(self, name: str, runs_file: str = "", spans_file: str = ""):
        self._tracing = tracing.Tracing(name, spans_file)
        self._runs = None
        if runs_file:
            self._runs = open(runs_file, "ab", buffering=0)  # noqa: SIM115

    def record_run(self, body: bytes) -> None:
        """Writes a request that was accepted.

        Args:
            body: the request, as JSON.
        """
        if self._runs is not None:
            self._runs.write(body.replace(b"\n", b" ") + b"\n")

    @contextlib.contextmanager
    def span(self, hop: str, http_request: web.Request, request_id: str):
        """Records a span while the context is open.

        Args:
            hop: name of the span.
            http_request: the request whose headers carry the parent span.
            request_id: id of the request, for the span.
        """
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
        """Writes buffered spans and closes the files."""
        self._tracing.close()
        if self._runs is not None:
            self._runs.close()
