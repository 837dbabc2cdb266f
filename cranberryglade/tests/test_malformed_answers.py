"""A caller gets only what the grammar of an answer allows, and whole."""

import asyncio

import pytest

from cranberryglade.gateway import outbound
from cranberryglade.standins import connections
from cranberryglade.tests import answer_forms
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import test_stray_bytes

Cluster = gateway_cluster.Cluster
Close = answer_forms.Close
Form = answer_forms.Form
BODY = answer_forms.BODY

SIZES = {"whole": 1_000_000, "in bytes": 1, "in pieces of 7": 7}
"""Bytes that are received at once."""

TARGETS = ["/look/1", "/pay/1", "/write/1", "/note/1"]

PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run."""


async def receive(form: Form, size: int) -> list[outbound.Event]:
    """Returns what a connection reads when it gets an answer in pieces."""
    channel = test_stray_bytes.open_channel()
    channel.send(b"", b"")
    for piece in answer_forms.split(form.encode(), size):
        channel.data_received(piece)
        if channel.failed:
            break
    match form.close:
        case Close.CLOSE:
            channel.eof_received()
            channel.connection_lost(None)
        case Close.RESET:
            channel.connection_lost(ConnectionResetError())
    return await test_stray_bytes.read_answer(channel)


@pytest.mark.parametrize("size", SIZES.values(), ids=SIZES)
@pytest.mark.parametrize("name", answer_forms.MALFORMED)
async def test_malformed_answer_is_none(name, size):
    form = answer_forms.MALFORMED[name]
    *_, last = await asyncio.wait_for(receive(form, size), 1.0)
    assert isinstance(last, outbound.AnswerLost)


@pytest.mark.parametrize("size", SIZES.values(), ids=SIZES)
@pytest.mark.parametrize("name", answer_forms.PROPER)
async def test_proper_answer_is_read_as_it_was_sent(name, size):
    form = answer_forms.PROPER[name]
    head, *parts, end = await asyncio.wait_for(receive(form, size), 1.0)
    assert isinstance(end, outbound.End)
    body = b"".join(part.data for part in parts)
    assert body == (BODY if BODY in form.body or len(form.body) > 40 else b"")
    status_line = form.start.rstrip(b"\r\n").split(b" ", 2)
    assert [b"%d" % head.status, head.reason] == (status_line + [b""])[1:3]
    lines = [line for line in form.fields.split(b"\r\n") if line]
    assert [(h.name, h.value.strip()) for h in head.headers] == [
        (name, value.strip()) for name, _, value in (_part(x) for x in lines)
    ]


async def test_body_whose_length_has_thousands_of_zeros_is_read():
    form = Form(fields=b"Content-Length: %b%d\r\n" % (b"0" * 5000, len(BODY)))
    channel = test_stray_bytes.open_channel()
    channel.send(b"", b"")
    channel.data_received(form.encode())
    assert (await channel.next_event()).status == 200
    assert await channel.read_body(len(BODY)) == BODY


def _part(line: bytes) -> tuple[bytes, bytes, bytes]:
    return line.partition(b":")


def send_form(endpoint, form: Form, size: int = 1_000_000):
    """Returns a behaviour that runs a request and sends an answer."""

    async def behave(received, reader, writer):
        endpoint.ran.append(received.request_id)
        own = (
            b"X-Response-Seal: seal\r\nX-Attempt-Id: %b\r\n"
            b"Content-Type: text/event-stream\r\n"
        ) % received.request_id.encode()
        for piece in answer_forms.split(form.encode(own), size):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        match form.close:
            case Close.CLOSE:
                writer.close()
            case Close.RESET:
                await asyncio.sleep(0.02)
                connections.reset(writer)

    return behave


async def ask(form: Form, target: str, size: int = 1_000_000, **fields):
    """Returns the answer of a gateway, and the endpoint that it asked."""
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = send_form(endpoint, form, size)
        caller = await cluster.connect()
        caller.request(target=target, **fields)
        bodiless = fields.get("method") == "HEAD"
        answer = await asyncio.wait_for(caller.answer(bodiless), 4.0)
        return answer, endpoint


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("name", answer_forms.MALFORMED)
async def test_caller_does_not_get_a_malformed_answer(name, target):
    form = answer_forms.MALFORMED[name]
    answer, endpoint = await ask(form, target, size=7)
    if answer.status == 200:
        # The head of a stream was proper, and what follows it was not.
        assert target in ("/write/1", "/note/1")
        assert not answer.whole
    else:
        assert answer.status in (502, 504)
        assert not answer.sealed
    if target in ("/pay/1", "/note/1"):
        assert len(endpoint.ran) == 1


HEAD_FAULTS = ("version", "status", "reason", "field name", "field value")


@pytest.mark.parametrize("method", ["HEAD", "POST", "DELETE", "OPTIONS"])
@pytest.mark.parametrize("fault", HEAD_FAULTS)
async def test_no_method_gets_a_malformed_head(fault, method):
    for name, form in answer_forms.MALFORMED.items():
        if form.fault != fault or len(name) % 3:
            continue
        answer, endpoint = await ask(form, "/pay/1", method=method)
        assert (name, answer.status) == (name, 502)
        assert not answer.sealed
        assert len(endpoint.ran) == 1


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("name", answer_forms.PROPER)
async def test_caller_gets_a_proper_answer_as_it_was_sent(name, target):
    form = answer_forms.PROPER[name]
    answer, _ = await ask(form, target, size=7)
    if not form.body and "chunk" not in name and target == "/write/1":
        return
    assert answer.whole
    assert answer.sealed
    assert b"%d" % answer.status == form.start[9:12]
    assert answer.body == (BODY if len(form.body) > 5 else b"")
    for line in form.fields.split(b"\r\n"):
        name, _, value = line.decode("latin-1").partition(":")
        if name[:2] in ("X-", "!#"):
            assert answer.headers[name.lower()] == value.strip()
