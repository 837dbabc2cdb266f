"""Sends requests to endpoints and brings their answers back."""

import aiohttp

from cranberryglade import bodies
from cranberryglade import log
from cranberryglade import silence
from cranberryglade import streams
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import answers
from cranberryglade.scheduling import messages

CONNECT_TIMEOUT_SECONDS = 1.0
SILENCE_SECONDS = (5.0, 30.0)
RESUME_SILENCE_SECONDS = 2.0
RESUME_ATTEMPTS = 2
CANCEL_TIMEOUT = aiohttp.ClientTimeout(total=2.0)

logger = log.get_logger(__name__)


class EndpointClient:
    """One HTTP client for all endpoints."""

    __slots__ = ("_session",)

    def __init__(self):
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            request_class=bodies.Request,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
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
        left_seconds: float,
    ) -> streams.Ending:
        """Dispatches a request once; a cut stream is resumed, not re-sent.

        Args:
            endpoint: where to.
            request: what to run.
            headers: further headers.
            sink: is given the token events.
            left_seconds: time left until the deadline. An endpoint that is
                silent for that long, within SILENCE_SECONDS, is given up.

        Returns:
            How the one dispatch ended; never Cut.
        """
        check = answers.AnswerCheck(request.request_id)
        headers = {
            wire.REQUEST_ID_HEADER: request.request_id,
            wire.ATTEMPT_HEADER: str(request.attempt),
            "Content-Type": "application/json",
            **headers,
        }
        service = endpoint.kind is messages.EndpointKind.SERVICE
        path = "call" if service else "generate"
        url = f"http://{endpoint.address}/v1/{path}"
        least, most = SILENCE_SECONDS
        ending = await self._read(
            "POST",
            url,
            wire.encode(request),
            headers,
            check,
            sink,
            min(most, max(least, left_seconds)),
        )
        for _ in range(0 if service else RESUME_ATTEMPTS):
            if not _interrupted(ending):
                break
            ending = await self._resume(url, request, check, sink)
        return _of_dispatch(ending)

    async def cancel(
        self, endpoint: messages.Endpoint, request_id: str
    ) -> None:
        """Tells an engine to stop a request; plain services cannot."""
        if endpoint.kind is messages.EndpointKind.SERVICE:
            return
        url = f"http://{endpoint.address}/v1/generate/{request_id}"
        try:
            async with self._session.delete(url, timeout=CANCEL_TIMEOUT):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            logger.info("cancel lost", error=type(error).__name__)

    async def _resume(
        self,
        url: str,
        request: wire.EngineRequest,
        check: answers.AnswerCheck,
        sink: streams.Sink,
    ) -> streams.Ending:
        check.reconnect()
        ending = await self._read(
            "GET",
            f"{url}/{request.request_id}",
            b"",
            {"Last-Event-ID": str(check.next_offset - 1)},
            check,
            sink,
            RESUME_SILENCE_SECONDS,
        )
        if isinstance(ending, verdicts.NotRun):
            return verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
        return ending

    async def _read(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: dict[str, str],
        check: answers.AnswerCheck,
        sink: streams.Sink,
        silence_seconds: float,
    ) -> streams.Ending:
        try:
            return await silence.bounded(
                lambda heard: streams.read(
                    self._session, method, url, body, headers, check, heard
                ),
                sink,
                silence_seconds,
            )
        except silence.SilenceError:
            return verdicts.MayHaveRun(verdicts.Reason.ENDPOINT_SILENT)


def _of_dispatch(ending: streams.Ending) -> streams.Ending:
    match ending:
        case streams.Cut():
            return verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
        case verdicts.NotRun(retry_after_seconds=retry) if (
            ending is not streams.NOT_CONNECTED
        ):
            return verdicts.NotRun(verdicts.Reason.ENDPOINT_REFUSED, retry)
        case _:
            return ending


def _interrupted(ending: streams.Ending) -> bool:
    match ending:
        case streams.Cut():
            return True
        case verdicts.MayHaveRun(reason=verdicts.Reason.ENDPOINT_SILENT):
            return True
        case _:
            return False
