"""Bytes without end from engines and peers of daemons."""

import asyncio
import contextlib

import aiohttp
import pytest
from returns.result import Failure

from cranberryglade import bodies
from cranberryglade import peers
from cranberryglade import reports
from cranberryglade import streams
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.gateway import sending
from cranberryglade.scheduling import answers
from cranberryglade.scheduling import scheduler
from cranberryglade.tests import builders
from cranberryglade.tests import endless

MOST_MEMORY_BYTES = 12_000_000
"""Memory that an answer without end may take."""

PATIENCE_SECONDS = 5.0

STREAM = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
CHUNK = b"4000\r\n" + endless.BLOCK + b"\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
REFUSED = b"HTTP/1.1 503 No\r\n\r\n"

REFUSED_IN_CHUNKS = b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n"

FLOODS = endless.ENDLESS_HEADS | {
    "chunk line": (STREAM + b"1;", endless.BLOCK),
    "trailer line": (STREAM + b"0\r\nX-Long: ", endless.BLOCK),
    "trailer lines": (STREAM + b"0\r\n", b"X-More: y\r\n" * 1000),
    "event in chunks": (STREAM, CHUNK),
    "event without framing": (UNFRAMED, endless.BLOCK),
    "body of a refusal": (REFUSED, endless.BLOCK),
    "trailer of a refusal": (
        REFUSED_IN_CHUNKS + b"0\r\n",
        b"X-More: y\r\n" * 1000,
    ),
}


UNTIL_TIMEOUT = {
    "events of no kind": (STREAM, b"1\r\n\n\r\n" * 3000),
    "chunk line of a refusal": (REFUSED_IN_CHUNKS + b"1;", endless.BLOCK),
    "chunks of a refusal": (REFUSED_IN_CHUNKS, b"1\r\ny\r\n" * 3000),
}
"""Floods that nothing but the timeout of the dispatch need end."""

CONNECTIONS = 20

MOST_TURN_SECONDS = sending.CONNECT_TIMEOUT_SECONDS / 2
"""Longest turn of the loop while so many connections are read."""


async def read_answer(session, address):
    return await streams.read(
        session,
        "POST",
        f"http://{address}/v1/generate",
        b"{}",
        {},
        answers.AnswerCheck("r1"),
        lambda events: None,
    )


async def measure(coroutine):
    """Returns the result and the most memory that it took."""
    with endless.measure_memory() as peak:
        async with asyncio.timeout(PATIENCE_SECONDS):
            result = await coroutine
    return result, peak.size


@pytest.mark.parametrize("kind", FLOODS)
async def test_endless_answer_of_an_engine_is_cut_off(kind):
    async with (
        endless.EndlessServer(*FLOODS[kind]) as server,
        aiohttp.ClientSession(request_class=bodies.Request) as session,
    ):
        outcome, most = await measure(
            streams.read(
                session,
                "POST",
                f"http://{server.address}/v1/generate",
                b"{}",
                {},
                answers.AnswerCheck("r1"),
                lambda events: None,
            )
        )
        assert isinstance(outcome, streams.Interrupted | verdicts.MayHaveRun)
        assert most < MOST_MEMORY_BYTES


@pytest.mark.parametrize("status", [b"200 OK", b"503 No"])
async def test_endless_reply_of_a_peer_is_cut_off(status):
    beginning = b"HTTP/1.1 " + status + b"\r\n\r\n"
    async with endless.EndlessServer(beginning, endless.BLOCK) as server:
        client = peers.PeerClient(peers.PeerKey(b"0" * 16), 10.0)
        peer = builders.peer("entry-9", address=server.address)
        lookup = wire.LookupDocument(
            request_id="r1", organisation="", cancel=False
        )
        reply, most = await measure(client.look_up(peer, lookup))
        assert isinstance(reply, Failure)
        assert most < MOST_MEMORY_BYTES
        called, most = await measure(
            client.call(server.address, "i1", "/v1/peer/digest", b"{}")
        )
        assert isinstance(called, Failure)
        assert most < MOST_MEMORY_BYTES
        await client.close()


async def test_endless_line_of_an_engines_reports_ends_the_connection():
    beginning = b"HTTP/1.1 200 OK\r\n\r\n"
    async with endless.EndlessServer(beginning, endless.BLOCK) as server:
        core = scheduler.Scheduler(builders.peer())
        reader = reports.ReportReader(core, None)
        endpoint = builders.endpoint(address=server.address)

        async def read_lines():
            with pytest.raises(aiohttp.ClientError):
                async for _ in reader._lines(endpoint):
                    pass

        _, most = await measure(read_lines())
        assert most < MOST_MEMORY_BYTES
        await reader.close()


@pytest.mark.parametrize("kind", FLOODS)
async def test_many_endless_engines_leave_the_loop_to_others(kind):
    with endless.ThreadedServer(*FLOODS[kind]) as server:
        async with (
            aiohttp.ClientSession(request_class=bodies.Request) as session,
            endless.measure_turns() as longest,
        ):
            async with asyncio.timeout(2 * PATIENCE_SECONDS):
                outcomes = await asyncio.gather(
                    *(
                        read_answer(session, server.address)
                        for _ in range(CONNECTIONS)
                    )
                )
        assert longest.size < MOST_TURN_SECONDS, longest.size
        assert not any(isinstance(each, streams.Complete) for each in outcomes)


@pytest.mark.parametrize("kind", UNTIL_TIMEOUT)
async def test_many_floods_until_the_timeout_are_bounded(kind):
    with endless.ThreadedServer(*UNTIL_TIMEOUT[kind]) as server:
        async with aiohttp.ClientSession(
            request_class=bodies.Request
        ) as session:

            async def read_for_a_second():
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await read_answer(session, server.address)

            with endless.measure_memory() as peak:
                await asyncio.gather(
                    *(read_for_a_second() for _ in range(CONNECTIONS))
                )
            async with endless.measure_turns() as longest:
                await asyncio.gather(
                    *(read_for_a_second() for _ in range(CONNECTIONS))
                )
        assert peak.size < MOST_MEMORY_BYTES
        assert longest.size < MOST_TURN_SECONDS
