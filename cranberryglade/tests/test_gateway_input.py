"""Invalid requests and store rows: they are rejected and nothing runs."""

import asyncio
import json

import pytest

from cranberryglade.gateway import half_closing
from cranberryglade.standins import callers
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster
HEAD = (
    f"Host: {operator_configuration.HOST}\r\n"
    f"Authorization: Bearer {operator_configuration.KEY}\r\n"
).encode()


async def send_raw(cluster, data: bytes) -> callers.Answer:
    caller = await cluster.connect()
    caller.send(data)
    return await asyncio.wait_for(caller.answer(), 3.0)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /look/1 HTTP/1.1\r\n" + HEAD + b"A: " + b"x" * 5000, 431),
        (b"GET /look/" + b"x" * 20_000 + b" HTTP/1.1\r\n" + HEAD, 431),
        (
            b"POST /pay/1 HTTP/1.1\r\n"
            + HEAD
            + b"Content-Length: 20000\r\n\r\n",
            413,
        ),
        (
            b"POST /pay/1 HTTP/1.1\r\n"
            + HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"2ee0\r\n"
            + b"x" * 12_000,
            413,
        ),
        (b"GET /look/1 HTTP/1.1\r\n" + HEAD, 408),
        (
            b"POST /pay/1 HTTP/1.1\r\n" + HEAD + b"Content-Length: 9\r\n\r\nx",
            408,
        ),
        (b"nonsense\r\n\r\n", 400),
        (
            b"POST /pay/1 HTTP/1.1\r\n"
            + HEAD
            + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"0\r\n\r\nGET /look/smuggled HTTP/1.1\r\n"
            + HEAD
            + b"\r\n",
            400,
        ),
        (
            b"POST /pay/1 HTTP/1.1\r\n"
            + HEAD
            + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
            400,
        ),
        (
            b"POST /pay/1 HTTP/1.1\r\n"
            + HEAD
            + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
        ),
    ],
    ids=[
        "long header",
        "long target",
        "long body",
        "long chunks",
        "late header",
        "late body",
        "nonsense",
        "two framings",
        "two lengths",
        "torn chunk",
    ],
)
async def test_invalid_requests_are_rejected_and_not_run(data, status):
    async with Cluster() as cluster:
        answer = await send_raw(cluster, data)
        assert answer.status == status
        assert answer.headers["connection"] == "close"
        assert cluster.runners[0].received == []
        assert (await cluster.send_request()).status == 200


async def test_malformed_pipelined_request_does_not_affect_earlier_one():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request()
        caller.send(b"nonsense\r\n\r\n")
        assert (await caller.answer()).status == 200
        assert (await caller.answer()).status == 400
        assert len(cluster.runners[0].received) == 1


async def test_an_idle_connection_is_closed():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request()
        await caller.answer()
        assert await asyncio.wait_for(caller.reader.read(), 3.0) == b""


@pytest.mark.parametrize(
    "row",
    [
        b"\xff\xfe",
        b"[]",
        json.dumps({"service": operator_configuration.SERVICE}).encode(),
        json.dumps(
            {
                "service": operator_configuration.SERVICE,
                "address": "10.0.0.1:80",
                "zone": "north",
                "state": "dancing",
            }
        ).encode(),
        json.dumps(
            {
                "service": 7,
                "address": "10.0.0.1:80",
                "zone": "north",
                "state": "ready",
            }
        ).encode(),
        json.dumps(
            {
                "service": operator_configuration.SERVICE,
                "address": "nowhere",
                "zone": "north",
                "state": "ready",
            }
        ).encode(),
    ],
)
async def test_invalid_endpoint_rows_are_ignored(row):
    async with Cluster() as cluster:
        cluster.store.put("servers", "i-odd", row)
        cluster.register_runner(cluster.runners[0], slots=3)
        (gateway,) = cluster.gateways
        before = gateway._state.endpoints
        await gateway_cluster.wait_until(
            lambda: gateway._state.endpoints["i-0"].slots == 3
        )
        assert "i-odd" not in before | gateway._state.endpoints
        assert (await cluster.send_request()).status == 200


async def test_an_unreadable_configuration_leaves_the_old_one_in_force():
    async with Cluster() as cluster:
        cluster.store.put("op", "config", b"{}")
        await asyncio.sleep(0.2)
        assert (await cluster.send_request()).status == 200


LARGE = b"POST /pay/1 HTTP/1.1\r\n" + HEAD + b"Content-Length: 20000\r\n"


@pytest.mark.parametrize(
    "data",
    [
        LARGE + b"\r\n",
        LARGE + b"Expect: 100-continue\r\n\r\n",
        LARGE + b"Connection: keep-alive\r\n\r\n" + b"x" * 20_000 + LARGE,
        b"POST /pay/1 HTTP/1.1\r\n"
        + HEAD
        + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\nGET /look",
        b"GET /look/1 HTTP/1.1\r\n" + HEAD,
    ],
)
async def test_connection_of_a_rejected_request_is_closed(data, monkeypatch):
    # The caller neither closes its side nor sends more.
    monkeypatch.setattr(half_closing, "LINGER_SECONDS", 0.2)
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.send(data)
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert answer.status in (400, 408, 413, 501)
        listener = cluster.gateways[0]._caller_listener
        assert listener.busy == 0
        await gateway_cluster.wait_until(lambda: not listener.connections, 0.8)
