"""What daemons and the command line read through aiohttp is an answer, too."""

import asyncio
import contextlib

import aiohttp
import pytest
from returns.result import Failure
from returns.result import Success
import structlog

from cranberryglade import bodies
from cranberryglade import gauges
from cranberryglade import orders
from cranberryglade import peers
from cranberryglade import streams
from cranberryglade import verdicts
from cranberryglade.scheduling import answers
from cranberryglade.standins import connections
from cranberryglade.tests import answer_forms
from cranberryglade.tests import builders
from cranberryglade.tests import early_endpoints
from cranberryglade.tests import fakes
from cranberryglade.tests import test_malformed_answers
from cranberryglade.tools import client

Close = answer_forms.Close
BODY = answer_forms.BODY
MALFORMED = answer_forms.MALFORMED
PROPER = answer_forms.PROPER
OWN = b"Content-Type: text/event-stream\r\n"


@contextlib.asynccontextmanager
async def serve(answer: bytes, close: Close, size: int = 7):
    """Yields the address of a server that gives one answer, in pieces."""

    async def handle(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            _, found, rest = head.lower().partition(b"content-length: ")
            if found:
                await reader.readexactly(int(rest.partition(b"\r")[0]))
            for piece in answer_forms.split(answer, size):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
            match close:
                case Close.CLOSE:
                    writer.close()
                case Close.RESET:
                    await asyncio.sleep(0.02)
                    connections.reset(writer)
                case Close.KEEP:
                    await reader.read()
                    writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()


async def call(form, size) -> object:
    async with (
        serve(form.encode(), form.close, size) as address,
        client.Client(address) as http_client,
    ):
        return await http_client.call("POST", "/", timeout_seconds=1.0)


@pytest.mark.parametrize("size", test_malformed_answers.SIZES.values())
@pytest.mark.parametrize("name", MALFORMED)
async def test_client_gets_no_malformed_response(name, size):
    result = await call(MALFORMED[name], size)
    assert isinstance(result, Failure)
    assert result.failure().sent


@pytest.mark.parametrize("size", test_malformed_answers.SIZES.values())
@pytest.mark.parametrize("name", PROPER)
async def test_client_gets_a_proper_response_as_it_was_sent(name, size):
    form = PROPER[name]
    result = await call(form, size)
    assert isinstance(result, Success)
    reply = result.unwrap()
    assert b"%d" % reply.status == form.start[9:12]
    assert reply.body == (BODY if len(form.body) > 5 else b"")


@pytest.mark.parametrize("name", MALFORMED)
async def test_client_streams_no_malformed_response(name):
    form = MALFORMED[name]
    async with (
        serve(form.encode(OWN), form.close) as address,
        client.Client(address) as http_client,
    ):
        with pytest.raises(client.ConnectionLostError):
            async with asyncio.timeout(1.0):
                async for _ in http_client.stream("GET", "/"):
                    pass


async def run(form, body: bytes, status: bytes) -> streams.Outcome:
    """Returns the outcome of a request whose answer has a form."""
    answer = form.encode(OWN).replace(BODY, body)
    answer = answer.replace(b" 200 ", b" %b " % status)
    async with (
        serve(answer, form.close) as address,
        aiohttp.ClientSession(request_class=bodies.Request) as session,
        asyncio.timeout(1.0),
    ):
        return await streams.read(
            session,
            "POST",
            f"http://{address}/",
            b"{}",
            {},
            answers.AnswerCheck("r1"),
            lambda data: None,
        )


@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_answer_of_an_engine_is_not_complete(name):
    outcome = await run(MALFORMED[name], answer_forms.ENGINE_BODY, b"200")
    assert isinstance(outcome, streams.Interrupted | verdicts.MayHaveRun)


@pytest.mark.parametrize("name", PROPER)
async def test_proper_answer_of_an_engine_is_complete(name):
    form = PROPER[name]
    if BODY not in form.body or " 299 " in str(form.start):
        return
    outcome = await run(form, answer_forms.ENGINE_BODY, b"200")
    assert outcome == streams.Complete(1)


@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_refusal_of_an_engine_promises_nothing(name):
    form = MALFORMED[name]
    outcome = await run(form, answer_forms.REFUSAL_BODY, b"503")
    assert isinstance(outcome, streams.Interrupted | verdicts.MayHaveRun)


@pytest.mark.parametrize("status", [b"200", b"409", b"400"])
@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_answer_to_an_order_says_nothing_of_it(name, status):
    form = MALFORMED[name]
    answer = form.encode().replace(b" 200 ", b" %b " % status)
    leases = orders.LeaseManager(fakes.FakePlatform(), "i1")
    sender = orders.OrderSender(leases)
    order = orders.OrderDocument(kind="drain", value="", fencing_number=1)
    async with serve(answer, form.close) as address:
        endpoint = builders.endpoint(address=address)
        outcome = await sender._send(endpoint, order, 1.0)
    await sender.close()
    assert isinstance(outcome, orders.MayBeDone)


@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_answer_of_a_peer_is_none(name):
    form = MALFORMED[name]
    key = peers.PeerKey(b"0" * 16)
    peer_client = peers.PeerClient(key, 1.0)
    async with serve(form.encode(), form.close) as address:
        result = await peer_client.call(address, "", "/v1/peer/digest", b"{}")
    await peer_client.close()
    assert result in (
        Failure("MalformedResponseError"),
        Failure("ClientPayloadError"),
        Failure("ServerDisconnectedError"),
        Failure("ClientOSError"),
    )


@pytest.mark.parametrize("ending", early_endpoints.Ending)
async def test_client_gets_no_part_of_an_early_response_as_whole(ending):
    with early_endpoints.EarlyEndpoint(ending) as endpoint:
        async with aiohttp.ClientSession(
            request_class=bodies.CheckedRequest
        ) as session:
            url = f"http://{endpoint.address}/"
            try:
                async with session.post(url, data=bytes(8_000_000)) as response:
                    received = await response.read()
            except aiohttp.ClientError:
                received = None
    is_whole = ending is early_endpoints.Ending.ENDED
    assert (received == early_endpoints.BODY) == is_whole


class FakeSink:
    """Keeps the gauges that are sent."""

    def __init__(self):
        self.sent = {}

    def gauge(self, name, value):
        self.sent[name] = value


async def test_daemon_logs_and_counts_a_malformed_answer():
    name = "field name: b'X Y: 1\\r\\n'"
    before, after = FakeSink(), FakeSink()
    gauges.report_malformed_answers(before)
    with structlog.testing.capture_logs() as lines:
        await run(MALFORMED[name], answer_forms.ENGINE_BODY, b"200")
    gauges.report_malformed_answers(after)
    (line,) = [each for each in lines if each["event"] == "answer.malformed"]
    assert (line["kind"], line["detail"]) == ("field name", "b'X Y: 1'")
    counted = "malformed_answers.field_name"
    assert after.sent[counted] == before.sent.get(counted, 0) + 1
