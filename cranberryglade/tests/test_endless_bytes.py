"""Bytes without end: heads, chunk lines, trailers, events and bodies."""

import asyncio
import contextlib
import gc
import random
import time

import pytest

from cranberryglade.gateway import event_streams
from cranberryglade.gateway import fetching
from cranberryglade.gateway import outbound
from cranberryglade.gateway import sending
from cranberryglade.gateway import sockets
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import endless
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

MOST_MEMORY_BYTES = 2_000_000
"""Memory that an answer may take which has no whole head, or whose body does
not go on."""

MOST_BODY_MEMORY_BYTES = 40_000_000
"""Memory that a body may take; it is held in parts, and once whole."""

MOST_EVENT_MEMORY_BYTES = 5_000_000
"""Memory that an event may take; 128 MB are for 24 streams at once."""

MOST_TURN_SECONDS = 0.048
"""Processor time of the longest turn of the loop, that of one connection; the
target of the gap between tokens."""

PATIENCE_SECONDS = 3.0

BEGINNINGS = endless.ENDLESS_HEADS | endless.ENDLESS_FRAMING

BODIES = {
    "length": (
        endless.HEAD
        + endless.SEALED
        + b"Content-Length: 1000000000000\r\n\r\n",
        endless.BLOCK,
    ),
    "until the close": (endless.HEAD + endless.SEALED + b"\r\n", endless.BLOCK),
    "chunks": (
        endless.CHUNKED + endless.SEALED + b"\r\n",
        b"4000\r\n" + endless.BLOCK + b"\r\n",
    ),
}


async def read_all(channel) -> str:
    """Reads an answer; returns why it was lost."""
    while True:
        match await channel.next_event():
            case outbound.AnswerLost(reason):
                return reason
            case outbound.End():
                raise AssertionError("the answer has no end")


@pytest.mark.parametrize("kind", BEGINNINGS)
async def test_endless_head_or_framing_ends_the_connection(kind):
    async with endless.EndlessServer(*BEGINNINGS[kind]) as server:
        channel = await outbound.Pool(server.address).connect(1.0)
        with endless.measure_memory() as peak:
            channel.send(b"GET / HTTP/1.1\r\n\r\n", b"")
            async with asyncio.timeout(PATIENCE_SECONDS):
                await read_all(channel)
        assert peak.size < MOST_MEMORY_BYTES


@pytest.mark.parametrize("kind", BEGINNINGS)
async def test_caller_of_an_endpoint_that_floods_is_answered(kind, monkeypatch):
    # The process of the test may stand still while it connects to itself.
    monkeypatch.setattr(sending, "CONNECT_TIMEOUT_SECONDS", PATIENCE_SECONDS)
    flooded = endless.flooded_cluster(*BEGINNINGS[kind])
    async with flooded as (cluster, server):
        async with endless.measure_turns() as longest:
            async with asyncio.timeout(PATIENCE_SECONDS):
                answer = await cluster.send_request(target="/pay/1")
        assert answer.status == 502
        assert longest.size < MOST_TURN_SECONDS
        await gateway_cluster.wait_until(lambda: not server.open)


@pytest.mark.parametrize("kind", BEGINNINGS)
async def test_endless_reply_of_the_store_or_a_peer_ends_the_call(kind):
    async with endless.EndlessServer(*BEGINNINGS[kind]) as server:
        fetcher = fetching.Fetcher(server.address)
        with endless.measure_memory() as peak:
            async with asyncio.timeout(PATIENCE_SECONDS):
                await fetcher.fetch(fetching.Call("GET", "/", b"", 10.0))
        assert peak.size < MOST_MEMORY_BYTES
        await gateway_cluster.wait_until(lambda: not server.open)


@pytest.mark.parametrize("kind", BODIES)
async def test_endless_bodies_of_the_store_are_bounded_together(kind):
    async with endless.EndlessServer(*BODIES[kind]) as server:
        fetcher = fetching.Fetcher(server.address)
        with endless.measure_memory() as peak:
            async with asyncio.timeout(20.0):
                calls = [fetching.Call("GET", "/", b"", 20.0)] * 8
                await asyncio.gather(*map(fetcher.fetch, calls))
        assert peak.size < 4 * MOST_BODY_MEMORY_BYTES


@pytest.mark.parametrize("kind", BODIES)
async def test_endless_bodies_of_endpoints_are_bounded_together(kind):
    flooded = endless.flooded_cluster(*BODIES[kind], slots=40)
    async with flooded as (cluster, _):
        with endless.measure_memory() as peak:
            answers = await asyncio.gather(
                *(
                    cluster.send_request(target="/pay/1", X_Attempt_Id="a-1")
                    for _ in range(20)
                )
            )
        assert {answer.status for answer in answers} <= {502, 504}
        assert peak.size < 4 * MOST_BODY_MEMORY_BYTES


async def test_endless_event_breaks_the_stream_off():
    reply = endless.HEAD + endless.SEALED + endless.EVENT_STREAM + b"\r\n"
    flooded = endless.flooded_cluster(reply, endless.BLOCK, endpoints=2)
    async with flooded as (cluster, server):
        sound = cluster.runners[1]
        sound.default_behaviour = sound.events(1, 3)
        with endless.measure_memory() as peak:
            answers = [
                await cluster.send_request(
                    target="/write/1", X_Attempt_Id="a-1"
                )
                for _ in range(6)
            ]
        assert peak.size < MOST_EVENT_MEMORY_BYTES
        assert server.connections
        assert {answer.whole for answer in answers} == {True}
        await gateway_cluster.wait_until(lambda: not server.open)


def test_an_event_in_small_pieces_is_read_in_linear_time():
    splitter = event_streams.EventSplitter("")
    started = time.process_time()
    for _ in range(event_streams.MAX_EVENT_BYTES // 20):
        splitter.feed(b"data: 0123456789")
    assert time.process_time() - started < 2.0
    assert splitter.feed(b"\nid: 4\n\nid: 5").endswith(b"\nid: 4\n\n")
    assert splitter.last_id == "4"
    assert splitter.pending == b"id: 5"


async def open_connection(cluster):
    address = sockets.split_address(cluster.settings[0].front_address)
    return await asyncio.open_connection(*address)


@pytest.mark.parametrize(
    ("beginning", "block"),
    [
        (b"GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Long: ", endless.BLOCK),
        (b"GET /look/1 HTTP/1.1\r\n", b"X-More: y\r\n" * 1000),
        (b"GET /", endless.BLOCK),
        (b"POST /pay/1 HTTP/1.1\r\n%b1;", endless.BLOCK),
        (b"POST /pay/1 HTTP/1.1\r\n%b", b"0" * 16_384),
        (b"POST /pay/1 HTTP/1.1\r\n%b0\r\nX-Long: ", endless.BLOCK),
        (b"POST /pay/1 HTTP/1.1\r\n%b0\r\n", b"X-More: y\r\n" * 1000),
        (b"POST /pay/1 HTTP/1.1\r\n%b", b"1\r\ny\r\n" * 3000),
        (b"POST /pay/1 HTTP/1.1\r\n%b", b"4000\r\n%b\r\n" % endless.BLOCK),
    ],
)
async def test_caller_that_floods_is_cut_off(beginning, block):
    chunked = b"Host: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    if b"%b" in beginning:
        beginning %= chunked
    async with Cluster() as cluster:
        _, writer = await open_connection(cluster)
        caller = endless.EndlessServer(beginning, block)
        with (
            endless.measure_memory() as peak,
            pytest.raises(ConnectionError),
        ):
            async with asyncio.timeout(PATIENCE_SECONDS):
                await caller.flood(writer)
        assert peak.size < MOST_MEMORY_BYTES
        writer.close()


@pytest.mark.parametrize("key", [operator_configuration.KEY, "none"])
async def test_endless_requests_of_a_caller_that_reads_nothing(key):
    request = b"GET /look/1 HTTP/1.1\r\nHost: %b\r\nAuthorization: Bearer %b"
    host = operator_configuration.HOST.encode()
    block = (request % (host, key.encode()) + b"\r\n\r\n") * 200
    async with Cluster() as cluster:
        _, writer = await open_connection(cluster)
        caller = endless.EndlessServer(b"", block)
        with endless.measure_memory() as peak:
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(1.0):
                    await caller.flood(writer)
            assert (await cluster.send_request()).status == 200
        assert peak.size < MOST_MEMORY_BYTES
        writer.transport.abort()


async def test_trailer_fields_of_a_caller_are_not_passed_on():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request(
            target="/pay/1", method="POST", Transfer_Encoding="chunked"
        )
        caller.send(b"4\r\nsome\r\n0\r\nX-Trailer: 1\r\nHost: other\r\n\r\n")
        assert (await caller.answer()).status == 200
        (received,) = cluster.runners[0].received
        assert "x-trailer" not in received.headers
        assert received.body == b"some"


async def test_slow_caller_of_a_fast_endless_stream_costs_little_memory():
    event = b"id: 1\ndata: " + b"y" * 2000 + b"\n\n"
    reply = endless.HEAD + endless.SEALED + endless.EVENT_STREAM + b"\r\n"
    async with endless.flooded_cluster(reply, event * 20) as (cluster, _):
        with endless.measure_memory() as peak:
            caller = await cluster.connect()
            caller.reader._transport.pause_reading()
            caller.request(target="/write/1", X_Attempt_Id="a-1")
            await asyncio.sleep(1.0)
        assert peak.size < MOST_MEMORY_BYTES


async def test_answer_that_its_caller_never_reads_is_dropped():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        body = b"y" * 12_000_000

        async def answer_much(received, reader, writer):
            writer.write(endpoint.answer(received, body))
            await writer.drain()

        endpoint.default_behaviour = answer_much
        caller = await cluster.connect()
        caller.reader._transport.pause_reading()
        caller.request(target="/pay/1")
        listener = cluster.gateways[0]._caller_listener
        await gateway_cluster.wait_until(lambda: endpoint.received)
        await gateway_cluster.wait_until(lambda: not listener.connections)
        # The cluster fails if an error is left that nobody has seen.
        gc.collect()


async def test_endless_answers_to_other_requests_end_the_attempt():
    other = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n"
    flooded = endless.flooded_cluster(b"", other * 500)
    async with flooded as (cluster, server):
        async with asyncio.timeout(1.0):
            answer = await cluster.send_request(target="/pay/1")
        assert answer.status == 502
        await gateway_cluster.wait_until(lambda: not server.open)


async def test_body_in_tiny_chunks_takes_little_more_than_its_size():
    body = b"1\r\ny\r\n" * 3000
    reply = endless.CHUNKED + endless.SEALED + b"\r\n"
    async with endless.EndlessServer(reply, body) as server:
        channel = await outbound.Pool(server.address).connect(1.0)
        with endless.measure_memory() as peak:
            channel.send(b"GET / HTTP/1.1\r\n\r\n", b"")
            await asyncio.sleep(0.5)
            lost = await channel.read_body(500_000)
        channel.abort()
        assert lost == outbound.AnswerLost("answer too long")
        assert peak.size < MOST_MEMORY_BYTES


async def test_trailer_fields_of_an_answer_are_not_relayed():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        body = b"2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n"
        endpoint.default_behaviour = endpoint.in_chunks(body)
        answer = await cluster.send_request(target="/pay/1")
        assert (answer.status, answer.body) == (200, b"ok")
        assert "x-late" not in answer.headers


@pytest.mark.parametrize("seed", range(20))
def test_events_are_the_same_however_the_stream_is_cut(seed):
    rng = random.Random(seed)
    pieces = (b"id: 7\n", b"data: x\r\n", b"\n", b"\r\n", b"\r", b"y")
    stream = b"".join(rng.choices(pieces, k=200))
    whole = event_streams.EventSplitter("")
    expected = whole.feed(stream)
    cut = event_streams.EventSplitter("")
    received = b""
    position = 0
    while position < len(stream):
        end = position + rng.randint(1, 9)
        received += cut.feed(stream[position:end])
        position = end
    # Blank lines after an event may be held back until the next one.
    assert received + cut.pending == expected + whole.pending == stream
    assert received.rstrip(b"\r\n") == expected.rstrip(b"\r\n")
    assert cut.last_id == whole.last_id
