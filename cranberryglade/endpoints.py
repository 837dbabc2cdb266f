"""HTTP client that dispatches requests to endpoints and reads answers."""

import asyncio

import aiohttp

from cranberryglade import bodies
from cranberryglade import idle_timeout
from cranberryglade import log
from cranberryglade import streams
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import answers
from cranberryglade.scheduling import messages

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_TIMEOUT_RANGE_SECONDS = (5.0, 30.0)
RESUME_IDLE_TIMEOUT_SECONDS = 2.0
RESUME_ATTEMPTS = 2
CANCEL_TIMEOUT = aiohttp.ClientTimeout(total=2.0)

logger = log.get_logger(__name__)


class EndpointClient:
    """HTTP client that all endpoints share."""

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
        """HTTP session, shared with other clients of the endpoints."""
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
    ) -> streams.Outcome:
        """Dispatches a request once.

        A stream that breaks off or stalls is resumed, up to RESUME_ATTEMPTS
        times; the request itself is not sent again. Plain services cannot
        resume a stream.

        Args:
            endpoint: the endpoint to send the request to.
            request: the request to run.
            headers: additional HTTP headers.
            sink: receives the token events.
            left_seconds: time left until the deadline. Limited to the range
                IDLE_TIMEOUT_RANGE_SECONDS, it is also the idle timeout of the
                first connection. A resumed stream has what is left of it, and
                RESUME_IDLE_TIMEOUT_SECONDS at least.

        Returns:
            The outcome of the dispatch; never Cut.
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
        shortest, longest = IDLE_TIMEOUT_RANGE_SECONDS
        idle_timeout_seconds = min(longest, max(shortest, left_seconds))
        patient_until = asyncio.get_running_loop().time() + idle_timeout_seconds
        outcome = await self._read(
            "POST",
            url,
            wire.encode(request),
            headers,
            check,
            sink,
            idle_timeout_seconds,
        )
        for _ in range(0 if service else RESUME_ATTEMPTS):
            if not _interrupted(outcome):
                break
            outcome = await self._resume(
                url, request, check, sink, patient_until
            )
        return _dispatch_outcome(outcome)

    async def cancel(
        self, endpoint: messages.Endpoint, request_id: str
    ) -> None:
        """Cancels a request at an engine; a failure is only logged.

        Plain services cannot cancel a request, so nothing is sent to them.

        Args:
            endpoint: the endpoint that runs the request.
            request_id: the request to cancel.
        """
        if endpoint.kind is messages.EndpointKind.SERVICE:
            return
        url = f"http://{endpoint.address}/v1/generate/{request_id}"
        try:
            async with self._session.delete(url, timeout=CANCEL_TIMEOUT):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            logger.info("cancel.failed", error=type(error).__name__)

    async def _resume(
        self,
        url: str,
        request: wire.EngineRequest,
        check: answers.AnswerCheck,
        sink: streams.Sink,
        patient_until: float,
    ) -> streams.Outcome:
        check.reconnect()
        left = patient_until - asyncio.get_running_loop().time()
        outcome = await self._read(
            "GET",
            f"{url}/{request.request_id}",
            b"",
            {"Last-Event-ID": str(check.next_offset - 1)},
            check,
            sink,
            max(RESUME_IDLE_TIMEOUT_SECONDS, left),
        )
        if outcome is streams.NOT_CONNECTED:
            return verdicts.MayHaveRun(verdicts.Reason.ENDPOINT_LOST)
        if isinstance(outcome, verdicts.NotRun):
            return verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
        return outcome

    async def _read(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: dict[str, str],
        check: answers.AnswerCheck,
        sink: streams.Sink,
        idle_timeout_seconds: float,
    ) -> streams.Outcome:
        try:
            return await idle_timeout.run_with_idle_timeout(
                lambda monitored_sink: streams.read(
                    self._session,
                    method,
                    url,
                    body,
                    headers,
                    check,
                    monitored_sink,
                ),
                sink,
                idle_timeout_seconds,
            )
        except idle_timeout.IdleTimeoutError:
            return verdicts.MayHaveRun(verdicts.Reason.ENDPOINT_SILENT)


def _dispatch_outcome(outcome: streams.Outcome) -> streams.Outcome:
    match outcome:
        case streams.Interrupted():
            return verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
        case verdicts.NotRun(retry_after_seconds=retry) if (
            outcome is not streams.NOT_CONNECTED
        ):
            return verdicts.NotRun(verdicts.Reason.ENDPOINT_REFUSED, retry)
        case _:
            return outcome


def _interrupted(outcome: streams.Outcome) -> bool:
    match outcome:
        case streams.Interrupted():
            return True
        case verdicts.MayHaveRun(reason=verdicts.Reason.ENDPOINT_SILENT):
            return True
        case _:
            return False
