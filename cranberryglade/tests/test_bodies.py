"""Streamed bodies: chunks, backpressure and reuse of connections."""

import asyncio
import socket

import aiohttp
from aiohttp import web
import pytest

from cranberryglade import bodies
from cranberryglade import exchanges
from cranberryglade import responses
from cranberryglade import streams
from cranberryglade import verdicts
from cranberryglade.scheduling import answers

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
EVENTS = [answers.token_event(i, b'{"text":"w"}') for i in range(3)]
END = answers.end_event("r1", 3)


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


WHOLE = HEAD + b"".join(map(chunk, [*EVENTS, END])) + b"0\r\n\r\n"


class ScriptedServer:
    """Answers each request with the next list of writes.

    A None in a list aborts the connection.
    """

    def __init__(self, *replies):
        self.replies = list(replies)
        self.connections = 0

    async def __call__(self, reader, writer):
        self.connections += 1
        while await reader.readuntil(b"\r\n\r\n"):
            for data in self.replies.pop(0):
                if data is None:
                    writer.transport.abort()
                    return
                writer.write(data)
                await asyncio.sleep(0.001)


async def read_answers(handler, count=1, pause_seconds=0.0):
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    results = []
    async with aiohttp.ClientSession(request_class=bodies.Request) as session:
        for _ in range(count):
            received = []
            check = answers.AnswerCheck("r1")
            outcome = await streams.read(
                session,
                "GET",
                f"http://127.0.0.1:{port}/",
                b"",
                {},
                check,
                lambda data, into=received: into.append(data),
            )
            results.append((outcome, b"".join(received)))
            await asyncio.sleep(pause_seconds)
    server.close()
    return results


SPLITS = {
    "at once": [WHOLE],
    "byte by byte": [WHOLE[i : i + 1] for i in range(len(WHOLE))],
    "inside a chunk": [WHOLE[: len(HEAD) + 9], WHOLE[len(HEAD) + 9 :]],
    "one read per chunk": [
        HEAD,
        *(chunk(event) for event in [*EVENTS, END]),
        b"0\r\n\r\n",
    ],
    "events across chunks": [
        HEAD,
        *(
            chunk((b"".join(EVENTS) + END)[i : i + 7])
            for i in range(0, len(b"".join(EVENTS) + END), 7)
        ),
        b"0\r\nX-Trailer: 1\r\n\r\n",
    ],
}


@pytest.mark.parametrize("name", SPLITS)
async def test_a_body_is_whole_however_it_is_split(name):
    server = ScriptedServer(SPLITS[name], [WHOLE])
    found = await read_answers(server, 2)
    assert found == [(streams.Complete(3), b"".join(EVENTS))] * 2
    assert server.connections == 1, "the connection is reused"


FAULTS = {
    "cut in a chunk": ([WHOLE[: len(HEAD) + 30], None], streams.Interrupted()),
    "cut after the head": ([HEAD, None], streams.Interrupted()),
    "ended without its marker": (
        [HEAD + chunk(EVENTS[0]) + b"0\r\n\r\n"],
        streams.Interrupted(),
    ),
    "no size": ([HEAD + b"zz\r\nabc\r\n"], streams.Interrupted()),
    "negative size": ([HEAD + b"-5\r\nabc\r\n"], streams.Interrupted()),
    "endless size": ([HEAD + b"1" * 400], streams.Interrupted()),
    "offset missing": (
        [HEAD + chunk(EVENTS[0]), chunk(EVENTS[2])],
        verdicts.MayHaveRun(verdicts.Reason.ANSWER_NOT_WHOLE),
    ),
    "another's answer": (
        [
            HEAD + b"".join(map(chunk, EVENTS)),
            chunk(answers.end_event("r2", 3)),
        ],
        verdicts.MayHaveRun(verdicts.Reason.ANSWER_NOT_WHOLE),
    ),
    "count disagrees": (
        [HEAD + chunk(EVENTS[0]), chunk(END)],
        verdicts.MayHaveRun(verdicts.Reason.ANSWER_NOT_WHOLE),
    ),
}


@pytest.mark.parametrize("name", FAULTS)
async def test_a_body_that_is_not_whole_never_passes(name):
    writes, expected = FAULTS[name]
    ((outcome, _),) = await read_answers(ScriptedServer(writes))
    assert outcome == expected


async def test_a_body_with_a_length_is_left_to_aiohttp():
    body = b"".join(EVENTS) + END
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    server = ScriptedServer([head, body], [head + body])
    found = await read_answers(server, 2)
    assert found == [(streams.Complete(3), b"".join(EVENTS))] * 2
    assert server.connections == 1


def refusal(fields: bytes) -> bytes:
    body = b'{"verdict":"not_run","reason":"endpoint_refused"%b}' % fields
    head = b"HTTP/1.1 503 No\r\nContent-Length: %d\r\n\r\n" % len(body)
    return head + body


WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(
    b"".join(EVENTS) + END
) + b"".join([*EVENTS, END])
STRAY_BYTES = {
    "a line end": b"\r\n",
    "a status line that has begun": b"HTTP/1.1 503 Serv",
    "a head that has begun": refusal(b"")[:30],
    "a refusal that has begun": refusal(b"")[:-5],
    "a refusal": refusal(b""),
    "a refusal of another request": refusal(b',"request_id":"r0"'),
    "a stream": WHOLE,
    "a stream that has begun": WHOLE[:-30],
}


@pytest.mark.parametrize("first", [WHOLE, WITH_LENGTH])
@pytest.mark.parametrize("stray", STRAY_BYTES.values(), ids=STRAY_BYTES)
async def test_connection_with_bytes_behind_an_answer_is_not_used_again(
    first, stray
):
    for writes in ([first + stray], [first, stray]):
        server = ScriptedServer(writes, [WHOLE])
        found = await read_answers(server, 2, pause_seconds=0.02)
        assert found == [(streams.Complete(3), b"".join(EVENTS))] * 2
        assert server.connections == 2


async def test_answer_of_unknown_length_is_the_last_of_its_connection():
    head = b"HTTP/1.1 404 No\r\nTransfer-Encoding: chunked\r\n\r\n"
    server = ScriptedServer([head + b"2\r\n{}\r\n0\r\n\r\n"], [WHOLE])
    found = await read_answers(server, 2)
    assert found[1] == (streams.Complete(3), b"".join(EVENTS))
    assert server.connections == 2


@pytest.mark.parametrize(
    "late", [refusal(b""), refusal(b',"request_id":"r0"')], ids=["none", "r0"]
)
async def test_refusal_on_a_used_connection_counts_only_with_its_request(late):
    server = ScriptedServer([WHOLE], [late + WHOLE])
    (_, (outcome, received)) = await read_answers(server, 2)
    assert outcome == verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
    assert received == b""
    own = refusal(b',"request_id":"r1"')
    server = ScriptedServer([WHOLE], [own])
    (_, (outcome, _)) = await read_answers(server, 2)
    assert isinstance(outcome, verdicts.NotRun)
    assert server.connections == 1


async def test_a_slow_caller_holds_back_its_endpoint_alone():
    exchange = exchanges.Exchange("r1", "store-1")
    event = answers.token_event(0, b'"' + b"x" * 65_536 + b'"')
    total = 0

    async def handle(http_request):
        return await responses.streamed_answer(http_request, exchange)

    app = web.Application()
    app.router.add_get("/", handle)
    runner = web.AppRunner(app)
    await runner.setup()
    server_socket = socket.create_server(("127.0.0.1", 0))
    server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
    await web.SockSite(runner, server_socket).start()
    port = server_socket.getsockname()[1]
    caller_socket = socket.socket()
    caller_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    caller_socket.connect(("127.0.0.1", port))
    reader, writer = await asyncio.open_connection(
        sock=caller_socket, limit=4096
    )
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    drained = None
    while drained is None:
        drained = exchange.append(event)
        total += len(event)
        assert total < exchanges.MAX_ANSWER_BYTES
        await asyncio.sleep(0.001)
    assert not drained.done()
    received = await reader.readuntil(b"\r\n\r\n")
    while not drained.done():
        received += await reader.read(65_536)
    exchange.finish(verdicts.Ran())
    received += await reader.read(-1)
    assert received.count(b"x" * 1000) >= total // 66_000
    assert b'event: end\ndata: {"request_id":"r1"' in received
    writer.close()
    await runner.cleanup()


class Collector:
    def __init__(self):
        self.data = b""

    def write(self, events):
        self.data += events
        return True


async def test_a_second_attempt_continues_what_a_caller_was_given():
    exchange = exchanges.Exchange("r1", "store-1")
    exchange.append(EVENTS[0])
    exchange.restart()
    assert exchange.size == 0, "no caller has read any event"
    exchange.append(EVENTS[0] + EVENTS[1])
    position = len(exchange.read(0, 1000))
    collector = Collector()
    writing = asyncio.create_task(exchange.follow(collector, position))
    await asyncio.sleep(0)
    exchange.restart()
    exchange.append(EVENTS[0])
    exchange.append(EVENTS[1] + EVENTS[2])
    exchange.finish(verdicts.Ran())
    await writing
    assert collector.data == EVENTS[2]
    assert exchange.events() == b"".join(EVENTS)


async def test_an_answer_over_the_size_limit_is_broken():
    exchange = exchanges.Exchange("r1", "store-1")
    event = b"x" * 1_048_576
    with pytest.raises(answers.BrokenAnswerError):
        for _ in range(exchanges.MAX_ANSWER_BYTES // len(event) + 1):
            exchange.append(event)
