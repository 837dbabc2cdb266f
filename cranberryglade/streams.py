"""Reads one answer over HTTP, whoever gives it, and says how it ended."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

import aiohttp
from returns.result import Success

from cranberryglade import bodies
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import answers

# Returns None, or a future to wait for before more is read.
Sink = Callable[[bytes], asyncio.Future | None]


@dataclasses.dataclass(slots=True, frozen=True)
class Whole:
    """The answer is complete."""

    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Cut:
    """The connection ended before the answer did."""


NOT_CONNECTED = verdicts.NotRun(verdicts.Reason.CONNECTION_REFUSED, 0.1)

Ending = Whole | Cut | verdicts.NotRun | verdicts.MayHaveRun


async def read(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes,
    headers: Mapping[str, str],
    check: answers.AnswerCheck,
    sink: Sink,
) -> Ending:
    """Sends one request and passes on its token events.

    Args:
        session: where connections are kept.
        method: HTTP method.
        url: address of the giver.
        body: JSON to send.
        headers: further headers.
        check: what has arrived so far; it is advanced.
        sink: is given each run of new whole token events.

    Returns:
        How it ended. NotRun is returned only if nothing was started: the
        connection was refused, or the giver said so.
    """
    try:
        async with session.request(
            method, url, data=body, headers=headers, allow_redirects=False
        ) as response:
            if response.status != 200:
                return await _refusal(response, check.request_id)
            await _pass_on(response, check, sink)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return NOT_CONNECTED
    except answers.BrokenAnswerError:
        return verdicts.MayHaveRun(verdicts.Reason.ANSWER_NOT_WHOLE)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Cut()
    return Whole(check.next_offset) if check.complete else Cut()


async def _pass_on(
    response: aiohttp.ClientResponse, check: answers.AnswerCheck, sink: Sink
) -> None:
    def take(data: bytes) -> asyncio.Future | None:
        return sink(check.feed(data))

    body = bodies.of(response)
    if body is not None:
        await body.deliver(take)
        return
    async for data in response.content.iter_any():
        room = take(data)
        if room is not None:
            await room


async def _refusal(response: aiohttp.ClientResponse, request_id: str) -> Ending:
    decoded = wire.decode(await response.read(), wire.VerdictDocument)
    match decoded:
        case Success(document) if document.verdict in (
            "not_run",
            "may_have_run",
        ) and document.request_id in ("", request_id):
            return wire.read_verdict(document)
        case _:
            return verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
