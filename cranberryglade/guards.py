"""Turns whatever goes wrong before a handler decides into a verdict."""

import asyncio
import http
import socket

from aiohttp import web

from cranberryglade import log
from cranberryglade import responses
from cranberryglade import verdicts

REASONS = {
    http.HTTPStatus.NOT_FOUND: verdicts.Reason.UNKNOWN_PATH,
    http.HTTPStatus.METHOD_NOT_ALLOWED: verdicts.Reason.WRONG_METHOD,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: verdicts.Reason.TOO_LARGE,
}
NOT_HTTP = "this is not a request in HTTP/1.1, or its headers are too large"

logger = log.get_logger(__name__)


@web.middleware
async def guard(http_request: web.Request, handler) -> web.StreamResponse:
    """Answers with a verdict where aiohttp would answer with text."""
    try:
        return await handler(http_request)
    except web.HTTPException as error:
        if error.status < http.HTTPStatus.BAD_REQUEST:
            raise
        reason = REASONS.get(error.status, verdicts.Reason.MALFORMED)
        refused = responses.refusal(reason, error.reason)
        if "Allow" in error.headers:
            refused.headers["Allow"] = error.headers["Allow"]
        return refused
    except (asyncio.CancelledError, ConnectionError):
        raise
    except Exception as error:
        logger.error(
            "handler failed",
            path=http_request.match_info.route.resource.canonical,
            error=type(error).__name__,
            exc_info=error,
        )
        failed = verdicts.MayHaveRun(verdicts.Reason.INTERNAL_ERROR)
        return responses.of_verdict("", failed)


class _Handler(web.RequestHandler):
    """Answers what is not valid HTTP with a verdict as well."""

    __slots__ = ()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Refuses the request; nothing of it has been read."""
        logger.warning(
            "request not readable",
            error=type(exc).__name__,
            remote=request.remote,
        )
        if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            return super().handle_error(request, status, exc, message)
        refused = responses.refusal(verdicts.Reason.MALFORMED, NOT_HTTP)
        refused.force_close()
        return refused


class Site(web.BaseSite):
    """Serves an application on a bound socket."""

    __slots__ = ("_bound",)

    def __init__(self, runner: web.BaseRunner, bound: socket.socket):
        super().__init__(runner)
        self._bound = bound

    @property
    def name(self) -> str:
        """The bound address."""
        return str(self._bound.getsockname())

    async def start(self) -> None:
        """Starts to accept connections."""
        await super().start()
        loop = asyncio.get_running_loop()
        manager = self._runner.server
        self._server = await loop.create_server(
            lambda: _Handler(manager, loop=loop, access_log=None),
            sock=self._bound,
        )
