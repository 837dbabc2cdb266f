"""Bytes without end, a few at a time, so that no silence ends them."""

import asyncio

import pytest

from cranberryglade.gateway import sockets
from cranberryglade.standins import callers
from cranberryglade.tests import endless
from cranberryglade.tests import gateway_cluster

PAUSE_SECONDS = 0.01

PATIENCE_SECONDS = 4.0
"""Twice the timeout of the requests."""

MOST_MEMORY_BYTES = 2_000_000

FRAMED = endless.CHUNKED + endless.SEALED + b"\r\n"
UNFRAMED = endless.HEAD + endless.SEALED + b"\r\n"
EVENTS = endless.HEAD + endless.SEALED + endless.EVENT_STREAM + b"\r\n"
ANSWERS = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header line": (endless.HEAD + b"X-Long: ", b"x"),
    "header lines": (endless.HEAD, b"X: y\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "chunk size": (FRAMED, b"0"),
    "chunk extension": (FRAMED + b"1;", b"x"),
    "trailer line": (FRAMED + b"0\r\nX-Long: ", b"x"),
    "trailer lines": (FRAMED + b"0\r\n", b"X: y\r\n"),
    "body": (UNFRAMED, b"y"),
    "chunks": (FRAMED, b"1\r\ny\r\n"),
}
HOST = b"Host: x\r\n"
CHUNKS = HOST + b"Transfer-Encoding: chunked\r\n\r\n"
REQUESTS = {
    "request line": (b"GET /", b"x"),
    "header line": (b"GET /look/1 HTTP/1.1\r\nX-Long: ", b"x"),
    "header lines": (b"GET /look/1 HTTP/1.1\r\n", b"X: y\r\n"),
    "chunk size": (b"POST /pay/1 HTTP/1.1\r\n" + CHUNKS, b"0"),
    "chunk extension": (b"POST /pay/1 HTTP/1.1\r\n" + CHUNKS + b"1;", b"x"),
    "trailer lines": (
        b"POST /pay/1 HTTP/1.1\r\n" + CHUNKS + b"0\r\n",
        b"X: y\r\n",
    ),
    "body": (
        b"POST /pay/1 HTTP/1.1\r\n" + HOST + b"Content-Length: 4000\r\n\r\n",
        b"y",
    ),
    "chunks": (b"POST /pay/1 HTTP/1.1\r\n" + CHUNKS, b"1\r\ny\r\n"),
}


async def send_many(cluster, target: str) -> list[callers.Answer]:
    async with asyncio.timeout(PATIENCE_SECONDS):
        return await asyncio.gather(
            *(
                cluster.send_request(target=target, X_Attempt_Id=f"a-{number}")
                for number in range(4)
            )
        )


@pytest.mark.parametrize("kind", ANSWERS)
async def test_slow_endless_answer_ends_with_the_time_of_its_request(kind):
    flooded = endless.flooded_cluster(
        *ANSWERS[kind], endpoints=2, slots=2, pause_seconds=PAUSE_SECONDS
    )
    async with flooded as (cluster, server):
        with endless.measure_memory() as peak:
            answers = await send_many(cluster, "/pay/1")
        assert server.connections
        # Those of the sound endpoint are answered.
        statuses = {answer.status for answer in answers}
        assert 200 in statuses
        assert statuses <= {200, 502, 504}
        assert peak.size < MOST_MEMORY_BYTES
        await gateway_cluster.wait_until(lambda: not server.open)


async def test_slow_endless_event_ends_with_the_time_of_its_request():
    flooded = endless.flooded_cluster(
        EVENTS, b"y", slots=4, pause_seconds=PAUSE_SECONDS
    )
    async with flooded as (cluster, server):
        answers = await send_many(cluster, "/write/1")
        assert not any(
            answer.status == 200 and answer.whole for answer in answers
        )
        await gateway_cluster.wait_until(lambda: not server.open)


@pytest.mark.parametrize("kind", REQUESTS)
async def test_slow_endless_request_is_cut_off_in_time(kind):
    beginning, block = REQUESTS[kind]
    async with gateway_cluster.Cluster() as cluster:
        address = sockets.split_address(cluster.settings[0].front_address)
        _, writer = await asyncio.open_connection(*address)
        caller = endless.EndlessServer(beginning, block, PAUSE_SECONDS)
        with endless.measure_memory() as peak, pytest.raises(ConnectionError):
            async with asyncio.timeout(PATIENCE_SECONDS):
                await caller.flood(writer)
        writer.close()
        assert peak.size < MOST_MEMORY_BYTES
        assert cluster.runners[0].received == []
        assert (await cluster.send_request()).status == 200
