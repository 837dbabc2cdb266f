"""An endpoint stops in the head of its answer: nobody gets a whole success."""

import asyncio
import contextlib
import itertools

import aiohttp
import pytest

from cranberryglade import bodies
from cranberryglade import streams
from cranberryglade import verdicts
from cranberryglade.gateway import dialect
from cranberryglade.gateway import outbound
from cranberryglade.scheduling import answers
from cranberryglade.standins import connections
from cranberryglade.standins import endpoint_standin
from cranberryglade.tests import cut_off_gateways
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

LAST = 3
CUTS = 6
"""Number of places at which an answer is cut in `some_cuts`."""

SENT_ONCE = builders.make_operator_config(max_attempts=1)
LOOPBACK = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
TARGETS = {
    "/look/1": "GET",
    "/pay/1": "POST",
    "/write/1": "POST",
    "/note/1": "POST",
}
FIELDS = (
    b"X-Response-Seal: seal-of-i-0\r\nX-Attempt-Id: a-1\r\n"
    b"Content-Type: text/event-stream\r\n"
)
STATUS = b"HTTP/1.1 200 OK\r\n"
HEADS = {
    "length last": STATUS + FIELDS + b"Content-Length: 1234\r\n\r\n",
    "length first": STATUS + b"Content-Length: 1234\r\n" + FIELDS + b"\r\n",
    "two lengths": STATUS
    + b"Content-Length: 0\r\n"
    + FIELDS
    + b"Content-Length: 1234\r\n\r\n",
    "chunks": STATUS + FIELDS + b"Transfer-Encoding: chunked\r\n\r\n",
    "a length and chunks": STATUS
    + b"Content-Length: 0\r\n"
    + FIELDS
    + b"Transfer-Encoding: chunked\r\n\r\n",
    "no framing": STATUS + FIELDS + b"Connection: close\r\n\r\n",
    "behind an interim response": b"HTTP/1.1 100 Continue\r\n\r\n"
    + STATUS
    + FIELDS
    + b"Content-Length: 1234\r\n\r\n",
    "behind early hints": b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    + STATUS
    + FIELDS
    + b"Connection: close\r\n\r\n",
    "line feeds": (STATUS + FIELDS + b"\r\n").replace(b"\r\n", b"\n"),
}
TRAILER = (
    STATUS
    + FIELDS
    + b"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n0\r\nX-Sum: 12\r\n"
)


def stop_after(sent: bytes, resets: bool) -> endpoint_standin.Behaviour:
    """Returns a behaviour that sends bytes and ends its connection."""

    async def behave(received, reader, writer):
        writer.write(sent)
        await writer.drain()
        if resets:
            await asyncio.sleep(endpoint_standin.DELIVERY_SECONDS)
            connections.reset(writer)
        else:
            writer.close()

    return behave


def all_cuts(sent: bytes) -> list[bytes]:
    """Returns all beginnings of what is sent but for the whole."""
    return [sent[:end] for end in range(len(sent))]


def some_cuts(sent: bytes) -> list[bytes]:
    """Returns beginnings that end in each kind of place of a last head."""
    status_line = sent.rindex(b"HTTP/1.1 200")
    field = sent.index(b"X-Response-Seal")
    value = sent.index(b"seal-of")
    ends = (status_line + 10, field, field + 5, value + 3, -2, -1)
    return [sent[:end] for end in ends]


@contextlib.asynccontextmanager
async def serving(sent: bytes):
    """Serves the beginnings of an answer, one a connection; yields the port."""
    unsent = iter(all_cuts(sent))

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(next(unsent))
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, LOOPBACK, 0)
    async with server:
        yield server.sockets[0].getsockname()[1]


@pytest.mark.parametrize("bodiless", [False, True])
@pytest.mark.parametrize("name", HEADS)
async def test_connection_that_ends_within_a_head_has_no_answer(name, bodiless):
    loop = asyncio.get_running_loop()
    async with serving(HEADS[name]) as port:
        for _ in all_cuts(HEADS[name]):
            _, channel = await loop.create_connection(
                outbound.Channel, LOOPBACK, port
            )
            channel.send(REQUEST, b"", bodiless)
            assert isinstance(await channel.next_event(), outbound.AnswerLost)


async def test_connection_that_ends_within_a_trailer_has_no_whole_answer():
    loop = asyncio.get_running_loop()
    async with serving(TRAILER) as port:
        for _ in all_cuts(TRAILER):
            _, channel = await loop.create_connection(
                outbound.Channel, LOOPBACK, port
            )
            channel.send(REQUEST, b"")
            if isinstance(await channel.next_event(), dialect.AnswerHead):
                body = await channel.read_body(1000)
                assert isinstance(body, outbound.AnswerLost)


async def ask_for_each_cut(cluster, name, resets=False) -> None:
    """Asks for answers that stop in their heads; none may be a success.

    Each is asked of another endpoint, as one that has failed is left alone.
    """
    kinds = itertools.cycle(TARGETS.items())
    for sent in some_cuts(HEADS[name]):
        for endpoint in cluster.runners:
            endpoint.default_behaviour = stop_after(sent, resets)
        target, method = next(kinds)
        answer = await cluster.send_request(target=target, method=method)
        assert answer.status == 502
    assert sum(len(each.received) for each in cluster.runners) == CUTS


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("name", HEADS)
async def test_answer_that_ends_within_its_head_is_no_success(name, resets):
    async with Cluster(runners=CUTS, config=SENT_ONCE) as cluster:
        await ask_for_each_cut(cluster, name, resets)


async def test_answer_that_ends_within_its_head_behind_a_tunnel():
    async with Cluster(gateways=2, runners=CUTS, config=SENT_ONCE) as cluster:
        cut_off_gateways.cut_off(
            cluster.gateways[0], cut_off_gateways.Cut.REFUSED
        )
        await ask_for_each_cut(cluster, "length last")


@pytest.mark.parametrize("sent", some_cuts(HEADS["length last"]))
async def test_answer_that_ends_within_its_head_on_a_kept_connection(sent):
    async with Cluster(config=SENT_ONCE) as cluster:
        (endpoint,) = cluster.runners
        endpoint.script = [endpoint.succeed, stop_after(sent, False)]
        assert (await cluster.send_request(target="/look/1")).whole
        answer = await cluster.send_request(target="/pay/1", method="POST")
        assert answer.status == 502
        # The second connection asks whether the endpoint has ended.
        assert endpoint.connections == 2
        assert len(endpoint.received) == 2


@pytest.mark.parametrize("sent", some_cuts(HEADS["chunks"]))
async def test_stream_does_not_end_whole_with_an_unfinished_further_head(sent):
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:

            async def behave(received, reader, writer, endpoint=endpoint):
                if "last-event-id" in received.headers:
                    await stop_after(sent, False)(received, reader, writer)
                else:
                    begin = endpoint.without_end(LAST)
                    await begin(received, reader, writer)

            endpoint.default_behaviour = behave
        answer = await cluster.send_request(target="/write/1", method="POST")
        assert answer.body == builders.make_events(1, LAST)
        assert not answer.whole


@pytest.mark.parametrize("name", HEADS)
async def test_answer_of_an_engine_that_ends_within_its_head_is_no_whole_one(
    name,
):
    async with (
        serving(HEADS[name]) as port,
        aiohttp.ClientSession(request_class=bodies.Request) as session,
    ):
        for _ in all_cuts(HEADS[name]):
            outcome = await streams.read(
                session,
                "POST",
                f"http://{LOOPBACK}:{port}/v1/generate",
                b"",
                {},
                answers.AnswerCheck("r1"),
                lambda events: None,
            )
            assert isinstance(
                outcome, streams.Interrupted | verdicts.MayHaveRun
            )
