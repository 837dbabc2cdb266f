"""Sends requests to endpoints and brings their answers back."""

import aiohttp

from cranberryglade import bodies
from cranberryglade import streams
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import answers
from cranberryglade.scheduling import messages

CONNECT_TIMEOUT_SECONDS = 1.0
SILENCE_TIMEOUT_SECONDS = 30.0
RESUME_ATTEMPTS = 2


class EndpointClient:
    """One HTTP client for all endpoints."""

    __slots__ = ("_session",)

    def __init__(self):
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            request_class=bodies.Request,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT_SECONDS,
                sock_read=SILENCE_TIMEOUT_SECONDS,
            ),
        )

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session, for others who talk to endpoints."""
        return self._session

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def run(
        self,
        endpoint: messages.Endpoint,
        request: wire.EngineRequest,
        headers: dict[str, str],
        sink: streams.Sink,
    ) -> streams.Ending:
        """Dispatches a request once; a cut stream is resumed, not re-sent."""
        check = answers.AnswerCheck(request.request_id)
        headers = {
            wire.REQUEST_ID_HEADER: request.request_id,
            wire.ATTEMPT_HEADER: str(request.attempt),
            "Content-Type": "application/json",
            **headers,
        }
        path = "generate"
        if endpoint.kind is messages.EndpointKind.SERVICE:
            path = "call"
        url = f"http://{endpoint.address}/v1/{path}"
        ending = await streams.read(
            self._session,
            "POST",
            url,
            wire.encode(request),
            headers,
            check,
            sink,
        )
        for _ in range(RESUME_ATTEMPTS):
            if not isinstance(ending, streams.Cut):
                break
            ending = await self._resume(url, request, check, sink)
        if isinstance(ending, streams.Cut | verdicts.NotRun):
            return _after_dispatch(ending)
        return ending

    async def _resume(
        self,
        url: str,
        request: wire.EngineRequest,
        check: answers.AnswerCheck,
        sink: streams.Sink,
    ) -> streams.Ending:
        check.reconnect()
        headers = {"Last-Event-ID": str(check.next_offset - 1)}
        ending = await streams.read(
            self._session,
            "GET",
            f"{url}/{request.request_id}",
            b"",
            headers,
            check,
            sink,
        )
        if isinstance(ending, verdicts.NotRun):
            return verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
        return ending


def _after_dispatch(ending: streams.Ending) -> streams.Ending:
    if isinstance(ending, streams.Cut):
        return verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
    return ending
