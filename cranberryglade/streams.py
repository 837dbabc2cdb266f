"""Reads one answer of an endpoint or a peer over HTTP."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

import aiohttp
from returns.result import Success

from cranberryglade import bodies
from cranberryglade import limited_reading
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import answers

MAX_REFUSAL_BYTES = 1_048_576
"""Largest body of a response other than an answer."""

# Receives token events. Returns None, or a future to wait for before reading
# more (backpressure).
Sink = Callable[[bytes], asyncio.Future | None]


@dataclasses.dataclass(slots=True, frozen=True)
class Complete:
    """The answer is complete.

    Attributes:
        tokens: number of token events.
    """

    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Interrupted:
    """The connection closed before the answer was complete."""


NOT_CONNECTED = verdicts.NotRun(verdicts.Reason.CONNECTION_REFUSED, 0.1)

Outcome = Complete | Interrupted | verdicts.NotRun | verdicts.MayHaveRun


async def read(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes,
    headers: Mapping[str, str],
    check: answers.AnswerCheck,
    sink: Sink,
    trusts_unnamed_refusals: bool = False,
) -> Outcome:
    """Sends one request and passes its token events to a sink.

    Args:
        session: the HTTP session whose connection pool is used.
        method: HTTP method.
        url: URL of the endpoint or peer.
        body: JSON to send.
        headers: HTTP headers.
        check: validates the answer across connections; it is advanced.
        sink: receives each batch of new, complete token events.
        trusts_unnamed_refusals: whether a refusal without a request id counts
            also on a connection that carried other requests.

    Returns:
        The outcome of the request. NotRun is returned only if the request
        was not started: the connection was refused, or the server refused
        the request with that verdict.
    """
    try:
        async with session.request(
            method, url, data=body, headers=headers, allow_redirects=False
        ) as response:
            if response.status != 200:
                is_alone = trusts_unnamed_refusals or response.is_first
                ids = (
                    ("", check.request_id) if is_alone else (check.request_id,)
                )
                return await _parse_refusal(response, ids)
            await _deliver_events(response, check, sink)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return NOT_CONNECTED
    except answers.BrokenAnswerError:
        return verdicts.MayHaveRun(verdicts.Reason.ANSWER_NOT_WHOLE)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Interrupted()
    return Complete(check.next_offset) if check.complete else Interrupted()


async def _deliver_events(
    response: aiohttp.ClientResponse, check: answers.AnswerCheck, sink: Sink
) -> None:
    def handle_data(data: bytes) -> asyncio.Future | None:
        return sink(check.feed(data))

    body = bodies.streamed_body(response)
    if body is not None:
        await body.deliver(handle_data)
        return
    async for data in response.content.iter_any():
        drained = handle_data(data)
        if drained is not None:
            await drained


async def _parse_refusal(
    response: aiohttp.ClientResponse, request_ids: tuple[str, ...]
) -> Outcome:
    body = await limited_reading.read_body(response, MAX_REFUSAL_BYTES)
    decoded = wire.decode(body, wire.VerdictDocument)
    match decoded:
        case Success(document) if (
            document.verdict
            in (
                "not_run",
                "may_have_run",
            )
            and document.request_id in request_ids
        ):
            return wire.read_verdict(document)
        case _:
            return verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
