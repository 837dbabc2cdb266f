"""Answers without a body: to HEAD, and with a status that has none."""

import pytest

from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import stream_replies

Cluster = gateway_cluster.Cluster
Framing = stream_replies.Framing

TARGETS = ["/look/1", "/pay/1", "/write/1", "/note/1"]

REFUSED = {
    "no route": ({"target": "/nowhere/"}, 404),
    "no key": ({"Authorization": None}, 401),
    "no host": ({"Host": None}, 400),
    "quota": ({"X_Token_Counts": "900000,1"}, 429),
}


async def next_answer_is_whole(caller) -> bool:
    """Returns whether the connection carries another answer, and only that."""
    caller.request(target="/look/2", X_Attempt_Id="a-next")
    answer = await caller.answer()
    return answer.status == 200 and answer.body == b"body of "


@pytest.mark.parametrize("name", REFUSED)
async def test_refusal_of_head_has_no_body(name):
    fields, status = REFUSED[name]
    async with Cluster() as cluster:
        caller = await cluster.connect()
        for _ in range(2):
            caller.request(**{"method": "HEAD"} | fields)
            answer = await caller.answer(bodiless=True)
            assert answer.status == status
        assert await next_answer_is_whole(caller)


@pytest.mark.parametrize("target", TARGETS)
async def test_failure_of_head_has_no_body(target):
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        for status in (503, 502):
            behaviour = endpoint.refuse if status == 503 else endpoint.reset
            endpoint.script = [behaviour] * 2
            caller = await cluster.connect()
            caller.request(method="HEAD", target=target)
            answer = await caller.answer(bodiless=True)
            assert answer.status == status
            endpoint.script = []
            assert await next_answer_is_whole(caller)


@pytest.mark.parametrize("target", TARGETS)
async def test_answer_to_head_is_relayed_without_framing(target):
    # The endpoint sends a body although none was asked for.
    async with Cluster() as cluster:
        caller = await cluster.connect()
        for number in range(3):
            caller.request(
                method="HEAD", target=target, X_Attempt_Id=f"a-{number}"
            )
            answer = await caller.answer(bodiless=True)
            assert answer.status == 200
            assert answer.sealed
            assert "transfer-encoding" not in answer.headers
            assert await next_answer_is_whole(caller)


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("target", TARGETS)
async def test_status_without_a_body_is_relayed_without_framing(target, status):
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        reply = stream_replies.Reply(
            b"", status, (stream_replies.SEAL_LINE,), Framing.NO_BODY
        )

        async def behave(received, reader, writer):
            writer.write(reply.encode(received.request_id))
            await writer.drain()

        endpoint.script = [behave]
        caller = await cluster.connect()
        caller.request(target=target)
        answer = await caller.answer()
        assert answer.status == status
        assert answer.sealed
        assert not {"transfer-encoding", "content-length"} & set(answer.headers)
        assert await next_answer_is_whole(caller)


async def test_rejected_head_has_no_body():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request(method="HEAD", X_Long="x" * 5000)
        answer = await caller.answer(bodiless=True)
        assert answer.status == 431
        assert await caller.reader.read() == b""


async def test_pipelined_answer_follows_the_one_to_head():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request(method="HEAD", target="/nowhere/")
        caller.request(target="/look/1")
        assert (await caller.answer(bodiless=True)).status == 404
        answer = await caller.answer()
        assert (answer.status, answer.body) == (200, b"body of ")


async def test_stream_to_head_ends_with_its_head():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.script = [endpoint.events(1, 3)]
        caller = await cluster.connect()
        caller.request(method="HEAD", target="/note/1")
        assert (await caller.answer(bodiless=True)).status == 200
        endpoint.script = [endpoint.events(1, 3)]
        caller.request(target="/note/1", X_Attempt_Id="a-2")
        answer = await caller.answer()
        assert answer.body == builders.make_events(1, 3)
