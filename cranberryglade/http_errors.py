"""Answers with a verdict when an HTTP request or its handler fails."""

import asyncio
import http
import socket

from aiohttp import web

from cranberryglade import log
from cranberryglade import responses
from cranberryglade import verdicts

REASON_BY_STATUS = {
    http.HTTPStatus.NOT_FOUND: verdicts.Reason.UNKNOWN_PATH,
    http.HTTPStatus.METHOD_NOT_ALLOWED: verdicts.Reason.WRONG_METHOD,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: verdicts.Reason.TOO_LARGE,
}
NOT_HTTP = "this is not a request in HTTP/1.1, or its headers are too large"

logger = log.get_logger(__name__)


@web.middleware
async def verdict_middleware(
    http_request: web.Request, handler
) -> web.StreamResponse:
    """Turns HTTP errors and unexpected exceptions into verdicts.

    aiohttp would answer them with plain text. An HTTP error is answered with
    NotRun, any other exception with MayHaveRun. Redirects, cancellation and
    connection errors are raised unchanged.

    Raises:
        HTTPException: its status is below 400.
        CancelledError: the handler was cancelled.
        ConnectionError: the connection to the caller failed.
    """
    try:
        return await handler(http_request)
    except web.HTTPException as error:
        if error.status < http.HTTPStatus.BAD_REQUEST:
            raise
        reason = REASON_BY_STATUS.get(error.status, verdicts.Reason.MALFORMED)
        refusal = responses.refusal(reason, error.reason)
        if "Allow" in error.headers:
            refusal.headers["Allow"] = error.headers["Allow"]
        return refusal
    except (asyncio.CancelledError, ConnectionError):
        raise
    except Exception as error:
        logger.error(
            "handler.failed",
            path=http_request.match_info.route.resource.canonical,
            error=type(error).__name__,
            exc_info=error,
        )
        verdict = verdicts.MayHaveRun(verdicts.Reason.INTERNAL_ERROR)
        return responses.of_verdict("", verdict)


class _RequestHandler(web.RequestHandler):
    """Answers input that is not valid HTTP with a verdict."""

    __slots__ = ()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Refuses a request that cannot be parsed and closes the connection.

        The verdict is NotRun, because no handler has received the request.
        aiohttp answers errors with a status of 500 or more itself.
        """
        logger.warning(
            "request.unreadable",
            error=type(exc).__name__,
            remote=request.remote,
        )
        if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            return super().handle_error(request, status, exc, message)
        refusal = responses.refusal(verdicts.Reason.MALFORMED, NOT_HTTP)
        refusal.force_close()
        return refusal


class Site(web.BaseSite):
    """Serves an application on a socket that is already bound."""

    __slots__ = ("_bound",)

    def __init__(self, runner: web.BaseRunner, bound: socket.socket):
        super().__init__(runner)
        self._bound = bound

    @property
    def name(self) -> str:
        """The address of the socket, as text."""
        return str(self._bound.getsockname())

    async def start(self) -> None:
        """Starts to accept connections."""
        await super().start()
        loop = asyncio.get_running_loop()
        manager = self._runner.server
        self._server = await loop.create_server(
            lambda: _RequestHandler(manager, loop=loop, access_log=None),
            sock=self._bound,
        )
