"""Contract with endpoints: the outcome that each kind of reply leads to."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest

from cranberryglade import endpoints
from cranberryglade import streams
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages
from cranberryglade.tests import builders
from cranberryglade.tests.scripted import CLOSING_HEAD
from cranberryglade.tests.scripted import WHOLE
from cranberryglade.tests.scripted import Late
from cranberryglade.tests.scripted import ScriptedServer
from cranberryglade.tests.scripted import end
from cranberryglade.tests.scripted import keep_alive_response
from cranberryglade.tests.scripted import refusal
from cranberryglade.tests.scripted import token

R = verdicts.Reason
LOST = verdicts.MayHaveRun(R.ANSWER_LOST)
NOT_WHOLE = verdicts.MayHaveRun(R.ANSWER_NOT_WHOLE)
SILENT = verdicts.MayHaveRun(R.ENDPOINT_SILENT)


@pytest.fixture
async def client(monkeypatch):
    monkeypatch.setattr(endpoints, "IDLE_TIMEOUT_RANGE_SECONDS", (0.2, 0.4))
    monkeypatch.setattr(endpoints, "RESUME_IDLE_TIMEOUT_SECONDS", 0.1)
    opened = endpoints.EndpointClient()
    yield opened
    await opened.close()


async def run(client, address, kind=messages.EndpointKind.ENGINE):
    received = []
    outcome = await client.run(
        builders.endpoint(address=address, kind=kind),
        wire.EngineRequest(request_id="r1", attempt=1, kind="brief"),
        {},
        received.append,
        30.0,
    )
    return outcome, b"".join(received)


NOT_RUN = b'{"verdict":"not_run","reason":"endpoint_refused"%b}'
LOCATION_FIELD = b"Location: http://127.0.0.1:%d/v1/generate\r\n"

CASES = {
    "whole": ([keep_alive_response(WHOLE)], streams.Complete(2)),
    "tokens twice": (
        [CLOSING_HEAD + token(0) + token(0) + token(1) + token(0) + end(2)],
        streams.Complete(2),
    ),
    "cut, then resumed": (
        [
            CLOSING_HEAD + token(0) + b"id: 1\nda",
            CLOSING_HEAD + token(1) + end(2),
        ],
        streams.Complete(2),
    ),
    "cut twice, then resumed": (
        [
            CLOSING_HEAD + token(0),
            CLOSING_HEAD + token(1),
            CLOSING_HEAD + end(2),
        ],
        streams.Complete(2),
    ),
    "resumed too early": (
        [CLOSING_HEAD + token(0), CLOSING_HEAD + token(0) + token(1) + end(2)],
        streams.Complete(2),
    ),
    "resumed too late": (
        [CLOSING_HEAD + token(0), CLOSING_HEAD + token(2)],
        NOT_WHOLE,
    ),
    "resumed with another answer": (
        [CLOSING_HEAD + token(0), CLOSING_HEAD + token(1) + end(2, b"r2")],
        NOT_WHOLE,
    ),
    "cut for good": ([CLOSING_HEAD + token(0), b"", b""], LOST),
    "cut and forgotten": (
        [CLOSING_HEAD + token(0), refusal(b"404 Not Found", b"")],
        LOST,
    ),
    "cut and denied": (
        [CLOSING_HEAD + token(0), refusal(b"503 No", NOT_RUN % b"")],
        LOST,
    ),
    "accepted, then dead": ([b""], LOST),
    "wrong count": ([CLOSING_HEAD + token(0) + end(2)], NOT_WHOLE),
    "crossed": ([CLOSING_HEAD + token(0) + end(1, b"r2")], NOT_WHOLE),
    "a gap": ([CLOSING_HEAD + token(0) + token(2) + end(3)], NOT_WHOLE),
    "tokens after the end": (
        [CLOSING_HEAD + token(0) + end(1) + token(1)],
        NOT_WHOLE,
    ),
    "no stream": ([refusal(b"200 OK", b"{}")], LOST),
    "refused": (
        [refusal(b"503 No", NOT_RUN % b"")],
        verdicts.NotRun(R.ENDPOINT_REFUSED),
    ),
    "refused by id": (
        [refusal(b"429 No", NOT_RUN % b',"request_id":"r1"')],
        verdicts.NotRun(R.ENDPOINT_REFUSED),
    ),
    "refused in another's words": (
        [refusal(b"503 No", b'{"verdict":"not_run","reason":"shed"}')],
        verdicts.NotRun(R.ENDPOINT_REFUSED),
    ),
    "refused as if it had not been sent": (
        [
            refusal(
                b"503 No",
                b'{"verdict":"not_run","reason":"connection_refused"}',
            )
        ],
        verdicts.NotRun(R.ENDPOINT_REFUSED),
    ),
    "another refused": (
        [refusal(b"503 No", NOT_RUN % b',"request_id":"r2"')],
        LOST,
    ),
    "failed": ([refusal(b"500 Oh", b"")], LOST),
    "failed in other words": ([refusal(b"503 No", b"<html>")], LOST),
    "refused, cut short": (
        [b"HTTP/1.1 503 No\r\nContent-Length: 99\r\n\r\n" + NOT_RUN % b""],
        LOST,
    ),
    "silent": ([None, None, None], SILENT),
    "silent after a token": ([CLOSING_HEAD + token(0), None, None], SILENT),
}


@pytest.mark.parametrize("name", CASES)
async def test_a_reply_of_an_engine(client, name):
    replies, expected = CASES[name]
    async with ScriptedServer(replies) as fake:
        outcome, received = await run(client, fake.address)
        assert outcome == expected
        assert fake.count(b"POST") == 1
    if isinstance(expected, streams.Complete):
        assert received == token(0) + token(1)


async def test_silent_engine_is_waited_for_after_its_connection_was_lost(
    client,
):
    # It pauses for longer than the idle timeout of a resumed stream.
    replies = [
        CLOSING_HEAD + token(0),
        Late(0.2, CLOSING_HEAD + token(1) + end(2)),
    ]
    async with ScriptedServer(replies) as fake:
        outcome, received = await run(client, fake.address)
    assert outcome == streams.Complete(2)
    assert received == token(0) + token(1)


TOKENS = token(0) + token(1)
LATE_ENDS = {
    "in an answer of its own": [CLOSING_HEAD + TOKENS, CLOSING_HEAD + end(2)],
    "behind a broken one": [
        CLOSING_HEAD + TOKENS + end(2)[:9],
        CLOSING_HEAD + end(2),
    ],
    "late": [CLOSING_HEAD + TOKENS, Late(0.2, CLOSING_HEAD + end(2))],
    "behind tokens once more": [
        CLOSING_HEAD + TOKENS,
        CLOSING_HEAD + token(1) + end(2),
    ],
}


@pytest.mark.parametrize("name", LATE_ENDS)
async def test_answer_whose_tokens_have_all_been_sent_ends_whole(client, name):
    async with ScriptedServer(LATE_ENDS[name]) as fake:
        outcome, received = await run(client, fake.address)
    assert outcome == streams.Complete(2)
    assert received == TOKENS


ERROR_TEXT = b"upstream failed\n\n"
SECOND_HEAD = refusal(b"503 No", ERROR_TEXT)
FOREIGN_REPLIES = {
    "an error": refusal(b"500 Oh", ERROR_TEXT),
    "a redirection": refusal(b"302 Go", ERROR_TEXT),
    "no content": refusal(b"204 No Content", b""),
    "not modified": refusal(b"304 Not Modified", b""),
    "a part": refusal(b"206 Partial Content", token(1) + end(2)),
    "an error as a success": refusal(b"200 OK", ERROR_TEXT),
    "an error as a stream": keep_alive_response(ERROR_TEXT),
    "an error event": keep_alive_response(b"event: error\ndata: oh\n\n"),
    "an unframed error": CLOSING_HEAD + ERROR_TEXT,
    "nothing": keep_alive_response(b""),
    "nothing, unframed": CLOSING_HEAD,
    "a second head": CLOSING_HEAD + SECOND_HEAD,
    "a second head behind a token": CLOSING_HEAD + token(1) + SECOND_HEAD,
    "another's end": CLOSING_HEAD + token(1) + end(2, b"r2"),
    "a gap": CLOSING_HEAD + token(2) + end(3),
    "no end": CLOSING_HEAD + token(1),
    "a broken head": b"HTTP/1.1 200 O",
}


@pytest.mark.parametrize("name", FOREIGN_REPLIES)
async def test_no_bytes_of_another_answer_enter_a_resumed_one(client, name):
    replies = [CLOSING_HEAD + token(0) + b"id: 1\nda", FOREIGN_REPLIES[name]]
    async with ScriptedServer(replies) as fake:
        outcome, received = await run(client, fake.address)
    assert outcome in (LOST, NOT_WHOLE)
    assert received in (token(0), token(0) + token(1))


@pytest.mark.parametrize("status", [b"307 Go", b"308 Go", b"302 Go"])
async def test_a_redirection_is_not_followed(client, status):
    async with ScriptedServer([keep_alive_response(WHOLE)]) as redirect_target:
        port = int(redirect_target.address.rpartition(":")[2])
        reply = refusal(status, b"", LOCATION_FIELD % port)
        async with ScriptedServer([reply]) as fake:
            outcome, _ = await run(client, fake.address)
            assert outcome == LOST
            assert (fake.count(b"POST"), redirect_target.heads) == (1, [])


@pytest.mark.parametrize(
    ("kind", "resumptions"),
    [
        (messages.EndpointKind.ENGINE, 2),
        (messages.EndpointKind.SERVICE, 0),
    ],
)
async def test_a_stale_connection_is_not_used_to_send_again(
    client, kind, resumptions
):
    async with ScriptedServer(
        [keep_alive_response(WHOLE), b"", b"", b"", b""]
    ) as fake:
        outcome, _ = await run(client, fake.address, kind)
        assert outcome == streams.Complete(2)
        outcome, _ = await run(client, fake.address, kind)
        assert outcome == LOST
        assert fake.count(b"POST") == 2
        assert fake.count(b"GET") >= resumptions


async def test_a_refused_connection_means_not_run(client):
    async with ScriptedServer([]) as fake:
        address = fake.address
    outcome, _ = await run(client, address)
    assert outcome == verdicts.NotRun(R.CONNECTION_REFUSED, 0.1)


async def test_an_endpoint_that_does_not_accept_means_not_run(monkeypatch):
    monkeypatch.setattr(endpoints, "CONNECT_TIMEOUT_SECONDS", 0.2)
    with contextlib.ExitStack() as stack:
        server_socket = stack.enter_context(
            socket.create_server(("127.0.0.1", 0))
        )
        server_socket.listen(0)
        for _ in range(3):
            queued_socket = stack.enter_context(socket.socket())
            queued_socket.setblocking(False)
            queued_socket.connect_ex(server_socket.getsockname())
        client = endpoints.EndpointClient()
        address = f"127.0.0.1:{server_socket.getsockname()[1]}"
        outcome, _ = await run(client, address)
        await client.close()
    assert outcome == verdicts.NotRun(R.CONNECTION_REFUSED, 0.1)


def answer_once(server_socket, delay_seconds):
    connection, _ = server_socket.accept()
    with connection:
        connection.recv(65536)
        time.sleep(delay_seconds)
        connection.sendall(keep_alive_response(WHOLE))
        connection.recv(1)


async def test_an_answer_received_while_the_event_loop_was_blocked_is_read(
    client,
):
    with socket.create_server(("127.0.0.1", 0)) as server_socket:
        address = f"127.0.0.1:{server_socket.getsockname()[1]}"
        server_thread = threading.Thread(
            target=answer_once, args=(server_socket, 0.2)
        )
        server_thread.start()
        freeze = 2 * max(endpoints.IDLE_TIMEOUT_RANGE_SECONDS)
        asyncio.get_running_loop().call_later(0.1, time.sleep, freeze)
        outcome, _ = await run(client, address)
        assert outcome == streams.Complete(2)
        await client.close()
        server_thread.join()
