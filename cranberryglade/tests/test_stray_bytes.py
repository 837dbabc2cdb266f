"""A faulty endpoint writes bytes behind its answers that belong to none."""

import asyncio

import pytest

from cranberryglade.gateway import dialect
from cranberryglade.gateway import messages
from cranberryglade.gateway import outbound
from cranberryglade.gateway import tunnels
from cranberryglade.platform import headers
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

PLAIN = "/pay/1"
"""Target of requests that may run once only."""

EARLIER_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    b"X-Attempt-Id: 0123456789abcdef\r\nContent-Length: 0\r\n\r\n"
)
ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "no bytes": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\n\r\n",
    "trailer": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\n\r\n",
    "interim first": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
}
SECOND_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a-2\r\nX-Response-Seal: s\r\n"
    b"Content-Length: 2\r\n\r\nok"
)
STRAY_BYTES = [
    b"\r\n",
    b"\n",
    b"\0",
    b"ok",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    *(EARLIER_REFUSAL[:size] for size in range(1, len(EARLIER_REFUSAL) + 1)),
]


class RecordingTransport(asyncio.Transport):
    """Transport that goes nowhere.

    Attributes:
        closed: whether it was closed.
    """

    def __init__(self):
        super().__init__()
        self.closed = False

    def write(self, data):
        """Discards bytes."""

    def abort(self):
        """Closes it."""
        self.closed = True

    close = abort

    def is_closing(self):
        """Returns whether it is closed."""
        return self.closed

    def get_write_buffer_size(self):
        """Returns 0."""
        return 0

    def pause_reading(self):
        """Does nothing."""

    resume_reading = pause_reading


def open_channel() -> outbound.Channel:
    channel = outbound.Channel()
    channel.connection_made(RecordingTransport())
    return channel


async def read_answer(channel) -> list[outbound.Event]:
    """Returns all parts of an answer."""
    events = []
    while not isinstance(
        events[-1] if events else None, outbound.End | outbound.AnswerLost
    ):
        events.append(await channel.next_event())
    return events


async def receive_answer(name, *behind) -> outbound.Channel:
    """Returns a channel that has read an answer and what is behind it."""
    channel = open_channel()
    channel.send(b"", b"")
    first, *segments = behind or [b""]
    channel.data_received(ANSWERS[name] + first)
    for segment in segments:
        channel.data_received(segment)
    await read_answer(channel)
    return channel


@pytest.mark.parametrize("name", ANSWERS)
async def test_channel_is_used_again_after_an_answer_and_nothing_else(name):
    channel = await receive_answer(name)
    assert channel.finish_exchange()
    channel = open_channel()
    channel.send(b"", b"")
    for position in range(len(ANSWERS[name])):
        channel.data_received(ANSWERS[name][position : position + 1])
    await read_answer(channel)
    assert channel.finish_exchange()


@pytest.mark.parametrize("name", ANSWERS)
async def test_channel_with_any_bytes_behind_an_answer_is_not_used_again(name):
    for stray in STRAY_BYTES:
        channel = await receive_answer(name, stray)
        assert not channel.finish_exchange()
        channel = await receive_answer(name, b"", stray)
        assert not channel.finish_exchange()
        bytewise = [stray[n : n + 1] for n in range(len(stray))]
        channel = await receive_answer(name, *bytewise)
        assert not channel.finish_exchange()


@pytest.mark.parametrize("name", ANSWERS)
async def test_channel_that_gets_bytes_while_it_rests_is_not_used_again(name):
    for stray in STRAY_BYTES:
        channel = await receive_answer(name)
        assert channel.finish_exchange()
        channel.data_received(stray)
        assert not channel.usable


async def test_head_that_is_joined_with_a_broken_one_is_no_answer():
    for size in range(1, len(EARLIER_REFUSAL)):
        for late in (EARLIER_REFUSAL[:size], b""):
            channel = await receive_answer("length")
            assert channel.finish_exchange()
            channel.send(b"", b"")
            channel.data_received(late)
            rest = b"" if late else EARLIER_REFUSAL[:size]
            channel.data_received(rest + SECOND_ANSWER)
            (lost,) = await read_answer(channel)
            assert isinstance(lost, outbound.AnswerLost)
            assert lost.reason == "unreadable answer"
            assert lost.fault is not None


async def test_tunnel_with_a_frame_that_has_begun_is_not_used_again():
    frame = tunnels.encode_frame(EARLIER_REFUSAL)
    for size in range(tunnels.FRAME_HEAD.size + 2):
        tunnel = tunnels._Tunnel("10.0.0.1:1")
        tunnel.connection_made(RecordingTransport())
        tunnel.data_received(tunnels.encode_frame(tunnels.OPENED))
        channel = await tunnel.opened
        channel.send(b"", b"")
        answer = tunnels.encode_frame(ANSWERS["length"])
        tunnel.data_received(answer + frame[:size])
        await read_answer(channel)
        assert channel.finish_exchange() == (not size)


def test_answer_that_names_two_requests_names_none():
    def decode(*ids):
        fields = [messages.Header(b"X-Attempt-Id", id_) for id_ in ids]
        head = dialect.AnswerHead(503, b"", fields, dialect.Framing.LENGTH)
        return headers.HeaderDialect().decode_answer(head).id

    assert decode(b"a-1") == decode(b"a-1", b"a-1") == "a-1"
    assert decode(b"a-1", b"a-2") == decode() == ""


class SpoilingEndpoint:
    """Behaviour of an endpoint that writes bytes behind its answers."""

    def __init__(self, endpoint, stray, delay_seconds):
        self._endpoint = endpoint
        self._stray = stray
        self._delay_seconds = delay_seconds

    async def succeed(self, received, reader, writer) -> None:
        """Runs a request, and writes the stray bytes behind the answer."""
        self._endpoint.ran.append(received.request_id)
        answer = self._endpoint.answer(received, b"body")
        if not self._delay_seconds:
            answer += self._stray
        writer.write(answer)
        await writer.drain()
        if self._delay_seconds:
            await asyncio.sleep(self._delay_seconds)
            writer.write(self._stray)
            await writer.drain()


@pytest.mark.parametrize("delay_seconds", [0.0, 0.02])
@pytest.mark.parametrize(
    "size", [*range(1, 100, 7), 51, 75, len(EARLIER_REFUSAL)]
)
async def test_stray_bytes_make_no_request_run_twice_or_seem_refused(
    size, delay_seconds
):
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            spoiling = SpoilingEndpoint(
                endpoint, EARLIER_REFUSAL[:size], delay_seconds
            )
            endpoint.default_behaviour = spoiling.succeed
        ids = [f"a-{number}" for number in range(6)]
        for id_ in ids:
            answer = await cluster.send_request(target=PLAIN, X_Attempt_Id=id_)
            assert answer.status == 200
            await asyncio.sleep(2 * delay_seconds)
        ran = [id_ for endpoint in cluster.runners for id_ in endpoint.ran]
        assert sorted(ran) == ids


@pytest.mark.parametrize("status", [421, 429, 503])
async def test_refusal_that_names_no_request_promises_nothing(status):
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:

            async def refuse(received, reader, writer, refuser=endpoint):
                refusal = refuser.refusal(received, identified=False)
                writer.write(refusal.replace(b" 503 ", b" %d " % status))
                await writer.drain()

            endpoint.default_behaviour = refuse
        answer = await cluster.send_request(target=PLAIN)
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        assert sum(len(endpoint.received) for endpoint in cluster.runners) == 1
