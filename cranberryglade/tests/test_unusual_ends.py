"""Ends of requests that few callers and endpoints bring about."""

import asyncio
import socket
import time

import structlog

from cranberryglade.gateway import accepting
from cranberryglade.gateway import attempts
from cranberryglade.gateway import outbound
from cranberryglade.gateway import stream_relaying
from cranberryglade.gateway import tunnels
from cranberryglade.tests import cut_off_gateways
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import test_request_ends as ends

Cluster = gateway_cluster.Cluster

IDEMPOTENT = "/look/1"
RESUMABLE = "/write/1"
STREAM = "/note/1"


def encode_request(id_, version="1.1", *lines: str) -> bytes:
    """Returns a request for an idempotent route, with further header lines."""
    head = (
        f"GET {IDEMPOTENT} HTTP/{version}",
        "Host: example.test",
        f"X-Attempt-Id: {id_}",
        "X-Deadline-Ms: 5000",
        "Authorization: Bearer key-1",
        *lines,
    )
    return "\r\n".join(head).encode() + b"\r\n\r\n"


async def answer_only(caller):
    """Returns the only answer of a connection that is closed behind it."""
    answer = await asyncio.wait_for(caller.answer(), 3.0)
    assert await asyncio.wait_for(caller.reader.read(), 0.8) == b""
    return answer


async def test_request_behind_one_of_http_1_0_is_not_passed_on():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        first = encode_request("a-1", "1.0", "Connection: keep-alive")
        caller.send(first + encode_request("a-2"))
        answer = await answer_only(caller)
        assert (answer.status, answer.whole) == (200, True)
        assert answer.headers["connection"] == "close"
        assert cluster.runners[0].ran == ["a-1"]


async def test_request_behind_an_upgrade_is_not_passed_on():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        fields = ("Connection: Upgrade", "Upgrade: h2c")
        first = encode_request("a-1", "1.1", *fields)
        caller.send(first + encode_request("a-2"))
        answer = await answer_only(caller)
        assert answer.whole
        assert answer.headers["connection"] == "close"
        assert "a-2" not in cluster.runners[0].ran


async def test_request_behind_a_torn_answer_is_not_passed_on():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.event_gap_seconds = 0.1
        endpoint.default_behaviour = endpoint.events(1, 3, whole=False)
        caller = await cluster.connect()
        caller.request(target=STREAM, method="POST")
        caller.send(encode_request("a-2"))
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert (answer.status, answer.whole) == (200, False)
        assert endpoint.ran == ["a-1"]


async def test_caller_that_ends_its_sending_side_counts_as_gone():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.hang
        caller = await cluster.connect()
        caller.request()
        await gateway_cluster.wait_until(lambda: endpoint.ran)
        caller.writer.write_eof()
        assert (await asyncio.wait_for(caller.answer(), 0.5)).status == 0
        await gateway_cluster.wait_until(
            lambda: endpoint.disconnected == ["a-1"], 0.5
        )


EXPECTING = (
    b"POST /pay/1 HTTP/1.1\r\nHost: example.test\r\nX-Attempt-Id: a-2\r\n"
    b"X-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n"
    b"Content-Length: 4\r\nExpect: 100-continue\r\n\r\n"
)


async def send_expecting_behind(cluster):
    """Sends a head that expects an interim response behind a request."""
    (endpoint,) = cluster.runners
    endpoint.script.append(endpoint.silent_first(0.2, endpoint.succeed))
    caller = await cluster.connect()
    caller.request()
    caller.send(EXPECTING)
    assert (await caller.answer()).status == 200
    return caller


async def test_body_that_is_sent_without_an_interim_response_is_answered():
    async with Cluster() as cluster:
        caller = await send_expecting_behind(cluster)
        caller.send(b"body")
        assert (await caller.answer()).status == 200


async def test_body_that_waits_for_an_interim_response_in_vain_is_refused():
    async with Cluster() as cluster:
        caller = await send_expecting_behind(cluster)
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert answer.status == 408
        assert cluster.runners[0].ran == ["a-1"]


class _FullSocket:
    """A listening socket whose process has no descriptor left once."""

    def __init__(self, listening):
        self._listening = listening
        self.refusals = 0

    def __getattr__(self, name):
        return getattr(self._listening, name)

    def accept(self):
        if not self.refusals:
            self.refusals += 1
            raise OSError(24, "Too many open files")
        return self._listening.accept()


async def test_connection_that_finds_no_descriptor_is_accepted_later(
    monkeypatch,
):
    monkeypatch.setattr(accepting, "FULL_PAUSE_SECONDS", 0.2)
    async with Cluster() as cluster:
        acceptor = cluster.gateways[0]._caller_acceptor
        full = _FullSocket(acceptor._socket)
        monkeypatch.setattr(acceptor, "_socket", full)
        assert (await cluster.send_request()).status == 200
        assert full.refusals == 1


async def test_unexpected_error_within_a_stream_leaves_no_whole_answer(
    monkeypatch,
):
    async def fail(*_):
        raise ValueError("unforeseen")

    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.events(1, 3)
        with (
            structlog.testing.capture_logs() as lines,
            monkeypatch.context() as patched,
        ):
            patched.setattr(stream_relaying.StreamRelay, "relay", fail)
            torn = await cluster.send_request(target=STREAM, method="POST")
        assert (torn.status, torn.whole) == (200, False)
        assert "request.fault" in [line["event"] for line in lines]
        again = await cluster.send_request(target=STREAM, method="POST")
        assert again.whole


async def test_answer_that_waits_in_the_socket_beyond_the_limit_is_a_timeout():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        may_answer = asyncio.Event()

        async def answer_when_told(received, reader, writer):
            await may_answer.wait()
            writer.write(endpoint.answer(received, b"late"))
            # The process does not look at it before the limit.
            time.sleep(0.7)

        endpoint.default_behaviour = answer_when_told
        caller = await cluster.connect()
        caller.request(X_Deadline_Ms="600")
        await gateway_cluster.wait_until(lambda: endpoint.received)
        may_answer.set()
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert (answer.status, answer.whole) == (504, True)


async def test_connect_that_times_out_is_followed_by_another_attempt(
    monkeypatch,
):
    connect = outbound.Pool.connect
    late = []

    async def open_too_late(pool, seconds):
        channel = await connect(pool, seconds)
        if not late:
            late.append(channel)
            channel.abort()
            raise TimeoutError
        return channel

    async with Cluster(runners=2) as cluster:
        monkeypatch.setattr(outbound.Pool, "connect", open_too_late)
        answer = await cluster.send_request(target="/pay/1", method="POST")
        assert (answer.status, len(late)) == (200, 1)
        assert sum(len(each.ran) for each in cluster.runners) == 1


async def test_stream_whose_endpoint_broke_off_ends_when_none_is_left():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.script.append(endpoint.events(1, 3, whole=False))
        answer = await cluster.send_request(target=RESUMABLE, method="POST")
        assert (answer.status, answer.whole) == (200, False)
        assert answer.body == builders.make_events(1, 3)
        assert len(endpoint.received) == 1


async def test_large_body_to_an_endpoint_that_reads_nothing_is_answered():
    config = ends.patient_config(max_body_bytes=20_000_000)
    async with Cluster(config=config) as cluster:
        (listed,) = cluster.runners
        with socket.create_server(("127.0.0.1", 0)) as silent:
            address = f"127.0.0.1:{silent.getsockname()[1]}"
            cluster.register_runner(listed, address=address)
            await cluster.wait_for_endpoints(
                lambda found: {e.address for e in found.values()} == {address}
            )
            caller = await cluster.connect()
            caller.request(
                target="/pay/1",
                method="POST",
                body=bytes(20_000_000),
                X_Deadline_Ms="20000",
            )
            answer = await asyncio.wait_for(caller.answer(), 10.0)
        assert (answer.status, answer.whole) == (502, True)


async def test_error_at_the_start_of_an_attempt_is_answered(monkeypatch):
    def fail(*_):
        raise ValueError("unforeseen")

    async with Cluster() as cluster:
        with monkeypatch.context() as patched:
            patched.setattr(attempts.Attempts, "_start", fail)
            answer = await cluster.send_request()
        assert (answer.status, answer.whole) == (502, True)
        assert (await cluster.send_request()).status == 200


async def test_refusal_behind_an_open_tunnel_reaches_no_caller(monkeypatch):
    connect = tunnels.TunnelServer._connect
    late = []

    async def open_too_late_once(server, address, peer):
        await connect(server, address, peer)
        if not late:
            late.append(address)
            raise TimeoutError

    monkeypatch.setattr(tunnels.TunnelServer, "_connect", open_too_late_once)
    async with Cluster(gateways=2) as cluster:
        cut = cut_off_gateways.Cut.REFUSED
        cut_off_gateways.cut_off(cluster.gateways[0], cut)
        answer = await cluster.send_request(target=IDEMPOTENT)
        assert len(late) == 1
        assert answer.whole
        assert answer.status in (200, 502, 503)
