"""Places where a request that was read could end without its whole answer."""

import asyncio
import socket
import time

import pytest

from cranberryglade.gateway import allocation
from cranberryglade.gateway import attempt_streams
from cranberryglade.gateway import attempts
from cranberryglade.gateway import dialect
from cranberryglade.gateway import forwarding
from cranberryglade.gateway import inbound
from cranberryglade.gateway import origin_sharing
from cranberryglade.gateway import outbound
from cranberryglade.gateway import sending
from cranberryglade.gateway import sockets
from cranberryglade.standins import callers
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

IDEMPOTENT = "/look/1"
RESUMABLE = "/write/1"
STREAM = "/note/1"

LONG_SILENCE_SECONDS = 60.0


def short_gap_cluster(**route_fields) -> Cluster:
    config = builders.make_short_gap_config(**route_fields)
    return Cluster(runners=2, config=config)


def fall_silent(cluster) -> None:
    """Lets the endpoint that is asked first fall silent within its stream."""
    for endpoint in cluster.runners:
        endpoint.default_behaviour = endpoint.silent_within(
            3, 6, LONG_SILENCE_SECONDS
        )


async def begin_stream(cluster):
    """Begins a stream; returns its caller, its endpoint and the other one."""
    caller = await cluster.connect()
    caller.request(target=RESUMABLE, method="POST")
    await gateway_cluster.wait_until(
        lambda: any(each.ran for each in cluster.runners)
    )
    first, other = sorted(cluster.runners, key=lambda each: not each.ran)
    return caller, first, other


async def is_whole(caller) -> bool:
    answer = await asyncio.wait_for(caller.answer(), 3.0)
    return answer.whole and answer.body == builders.make_events(1, 6)


async def test_stream_that_goes_on_while_its_replacement_fails_is_not_torn(
    monkeypatch,
):
    # The silence ends while it is asked why the other endpoint failed.
    has_ended = sending.Sender.has_ended
    async with short_gap_cluster() as cluster:
        fall_silent(cluster)
        caller, first, other = await begin_stream(cluster)

        async def go_on_and_ask(sender, endpoint):
            first.silence_over.set()
            await asyncio.sleep(0.05)
            return await has_ended(sender, endpoint)

        monkeypatch.setattr(sending.Sender, "has_ended", go_on_and_ask)
        other.default_behaviour = other.reset
        assert await is_whole(caller)
        assert first.disconnected == []


async def test_error_while_another_endpoint_is_sought_tears_no_stream(
    monkeypatch,
):
    async with short_gap_cluster() as cluster:
        fall_silent(cluster)
        caller, first, _ = await begin_stream(cluster)
        raised = asyncio.Event()

        async def fail(*_):
            raised.set()
            raise ValueError("unforeseen")

        monkeypatch.setattr(attempts.Attempts, "_find_denial", fail)
        await asyncio.wait_for(raised.wait(), 2.0)
        first.silence_over.set()
        assert await is_whole(caller)
        assert first.disconnected == []


async def test_error_while_a_failed_replacement_is_explained_tears_no_stream(
    monkeypatch,
):
    async with short_gap_cluster() as cluster:
        fall_silent(cluster)
        caller, first, other = await begin_stream(cluster)
        raised = asyncio.Event()

        async def fail(*_):
            raised.set()
            raise ValueError("unforeseen")

        monkeypatch.setattr(sending.Sender, "has_ended", fail)
        other.default_behaviour = other.reset
        await asyncio.wait_for(raised.wait(), 3.0)
        first.silence_over.set()
        assert await is_whole(caller)


async def test_error_in_the_stream_of_a_replacement_tears_no_stream(
    monkeypatch,
):
    async with short_gap_cluster() as cluster:
        fall_silent(cluster)
        caller, first, other = await begin_stream(cluster)
        raised = asyncio.Event()

        async def fail(*_):
            raised.set()
            raise ValueError("unforeseen")

        monkeypatch.setattr(
            attempt_streams.AttemptStream, "wait_for_proof", fail
        )
        other.default_behaviour = other.events(4, 6)
        await asyncio.wait_for(raised.wait(), 3.0)
        first.silence_over.set()
        assert await is_whole(caller)


async def test_error_in_a_replacement_tears_no_stream(monkeypatch):
    send = sending.Sender.send
    async with short_gap_cluster() as cluster:
        fall_silent(cluster)
        caller, first, other = await begin_stream(cluster)
        raised = asyncio.Event()

        async def fail_at_other(sender, request, endpoint, *rest):
            if endpoint.id == other.id:
                raised.set()
                raise ValueError("unforeseen")
            return await send(sender, request, endpoint, *rest)

        monkeypatch.setattr(sending.Sender, "send", fail_at_other)
        await asyncio.wait_for(raised.wait(), 2.0)
        await asyncio.sleep(0.05)
        first.silence_over.set()
        assert await is_whole(caller)
        assert first.disconnected == []


async def test_stream_in_flow_is_not_cut_before_its_time_limit(monkeypatch):
    monkeypatch.setattr(forwarding, "ANSWER_MARGIN_SECONDS", 0.8)
    async with Cluster(
        config=builders.make_operator_config(timeout_ms=1500)
    ) as cluster:
        (endpoint,) = cluster.runners
        endpoint.event_gap_seconds = 0.1
        endpoint.default_behaviour = endpoint.events(1, 10)
        answer = await cluster.send_request(target=STREAM, method="POST")
        assert answer.whole


async def test_unframed_stream_is_whole_though_its_endpoint_accepts_late(
    monkeypatch,
):
    connect = outbound.Pool.connect
    opened = []
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners

        async def connect_late_once(pool, seconds):
            opened.append(pool._address)
            if opened.count(endpoint.address) == 2:
                async with asyncio.timeout(seconds):
                    await asyncio.sleep(0.5)
            return await connect(pool, seconds)

        monkeypatch.setattr(outbound.Pool, "connect", connect_late_once)
        endpoint.script.append(
            endpoint.events(1, 3, framing=dialect.Framing.CONNECTION_CLOSE)
        )
        answer = await cluster.send_request(target=STREAM, method="POST")
        assert opened.count(endpoint.address) >= 2
        assert answer.whole


async def test_retry_of_an_unframed_answer_in_doubt_is_in_time(monkeypatch):
    connect = outbound.Pool.connect
    config = builders.make_operator_config(timeout_ms=1500, max_attempts=2)
    async with Cluster(runners=2, config=config) as cluster:
        silent: set[str] = set()

        async def connect_to_others(pool, seconds):
            if pool._address in silent:
                async with asyncio.timeout(seconds):
                    await asyncio.sleep(60.0)
            return await connect(pool, seconds)

        for endpoint in cluster.runners:

            async def end_and_fall_silent(
                received, reader, writer, endpoint=endpoint
            ):
                if not silent:
                    silent.add(endpoint.address)
                    await endpoint.unframed(received, reader, writer)
                    return
                await endpoint.succeed(received, reader, writer)

            endpoint.default_behaviour = end_and_fall_silent
        monkeypatch.setattr(outbound.Pool, "connect", connect_to_others)
        answer = await cluster.send_request(target=IDEMPOTENT)
        assert answer.status == 200


async def test_attempts_that_meet_errors_are_bounded(monkeypatch):
    config = builders.make_operator_config(max_attempts=2)
    async with Cluster(runners=5, config=config, retry_slack=99.0) as cluster:
        sent = []

        async def fail(sender, request, endpoint, *_):
            sent.append(endpoint.id)
            raise ValueError("unforeseen")

        monkeypatch.setattr(sending.Sender, "send", fail)
        answer = await cluster.send_request(target=IDEMPOTENT)
        assert answer.status == 502
        assert len(sent) == 2


async def test_blank_line_beside_an_answer_spoils_no_later_request():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.script.append(endpoint.silent_first(0.6, endpoint.succeed))
        caller = await cluster.connect()
        caller.request(X_Attempt_Id="a-1")
        await gateway_cluster.wait_until(lambda: endpoint.received)
        caller.send(b"\r\n")
        assert (await caller.answer()).status == 200
        caller.request(X_Attempt_Id="a-2")
        assert (await caller.answer()).status == 200


async def test_blank_line_on_an_idle_connection_gets_no_answer():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.send(b"\r\n")
        assert await asyncio.wait_for(caller.reader.read(), 3.0) == b""


async def test_request_that_asks_for_an_upgrade_has_one_answer():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request(Connection="Upgrade", Upgrade="h2c")
        status = (await caller.answer()).status
        assert len(cluster.runners[0].ran) == (status == 200)
        assert await asyncio.wait_for(caller.reader.read(), 3.0) == b""


async def test_whole_request_behind_a_full_queue_is_answered():
    # Nothing is read while the queue is full; its time must not run out.
    async with Cluster(config=patient_config()) as cluster:
        (endpoint,) = cluster.runners
        endpoint.script.append(endpoint.silent_first(1.6, endpoint.succeed))
        caller = await cluster.connect()
        for number in range(inbound.MAX_PIPELINED_REQUESTS + 1):
            caller.request(X_Attempt_Id=f"a-{number}")
        last = inbound.MAX_PIPELINED_REQUESTS + 1
        head = (
            "POST /pay/1 HTTP/1.1\r\nHost: example.test\r\n"
            f"X-Attempt-Id: a-{last}\r\nX-Deadline-Ms: 5000\r\n"
            "Authorization: Bearer key-1\r\nContent-Length: 4\r\n\r\n"
        )
        caller.send(head.encode())
        await gateway_cluster.wait_until(lambda: endpoint.received)
        caller.send(b"body")
        statuses = [(await caller.answer()).status for _ in range(last + 1)]
        assert statuses == [200] * (last + 1)


async def test_half_request_behind_others_does_not_stay_for_ever():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.script += [
            endpoint.silent_first(0.1, endpoint.succeed) for _ in range(2)
        ]
        caller = await cluster.connect()
        for number in range(2):
            caller.request(X_Attempt_Id=f"a-{number}")
        caller.send(b"GET /look/1 HTTP/1.1\r\nHost: exam")
        for _ in range(2):
            assert (await caller.answer()).status == 200
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert answer.status == 408


@pytest.mark.parametrize("count", [10, 100])
async def test_pipelined_requests_beside_a_change_are_all_answered(count):
    async with Cluster() as cluster:
        caller = await cluster.connect()
        for number in range(count):
            caller.request(X_Attempt_Id=f"a-{number}")
        await gateway_cluster.wait_until(lambda: cluster.runners[0].received)
        config = operator_configuration.a_config(
            2,
            limits={
                "max_header_bytes": 2048,
                "max_body_bytes": 100,
                "header_timeout_ms": 200,
                "idle_timeout_ms": 500,
            },
        )
        cluster.configure(config)
        statuses = [(await caller.answer()).status for _ in range(count)]
        assert statuses == [200] * count


async def test_request_in_the_socket_of_an_idle_connection_is_answered():
    # It has arrived, but the process has not come to read it yet.
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request(X_Attempt_Id="a-1")
        assert (await caller.answer()).status == 200
        (gateway,) = cluster.gateways
        gateway.stop()
        (connection,) = gateway._caller_listener.connections
        caller.request(X_Attempt_Id="a-2")
        connection.close_if_idle()
        assert (await caller.answer()).status in (200, 503)


async def test_idle_connection_stays_open_for_a_limit_that_grew():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request(X_Attempt_Id="a-1")
        assert (await caller.answer()).status == 200
        config = operator_configuration.a_config(2)
        config["limits"]["idle_timeout_ms"] = 3000
        cluster.configure(config)
        (gateway,) = cluster.gateways
        await gateway_cluster.wait_until(lambda: gateway._state.version == 2)
        await asyncio.sleep(0.6 * 3.0)
        caller.request(X_Attempt_Id="a-2")
        assert (await caller.answer()).status == 200


@pytest.mark.parametrize("idle_seconds", [0.0, 0.8])
async def test_request_that_waits_while_the_process_stands_still_is_answered(
    idle_seconds,
):
    # The time to read it and that of the idle connection are both over.
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request(X_Attempt_Id="a-1")
        assert (await caller.answer()).status == 200
        await asyncio.sleep(idle_seconds)
        caller.request(X_Attempt_Id="a-2", method="POST", body=b"x" * 5000)
        time.sleep(1.2)
        # Also refused, as its process may be out of date.
        assert (await caller.answer()).status in (200, 503)


BOTH = (IDEMPOTENT, RESUMABLE)

RAISING = [
    (owner, name, target)
    for owner, name, targets in (
        (origin_sharing.OriginSharing, "find", (RESUMABLE,)),
        (allocation.SharedAllocator, "acquire", BOTH),
        (attempts.Attempts, "_find_denial", BOTH),
        (sending.Sender, "send", BOTH),
        (sending.Sender, "_take_channel", BOTH),
        (sending.Sender, "_read_answer", BOTH),
        (forwarding.Forwarder, "_relay_served", (IDEMPOTENT,)),
    )
    for target in targets
]


@pytest.mark.parametrize(
    ("owner", "name", "target"),
    RAISING,
    ids=[name + target for _, name, target in RAISING],
)
async def test_request_has_one_answer_whatever_raises(
    owner, name, target, monkeypatch
):
    async with Cluster() as cluster:

        async def fail(*_):
            raise ValueError("unforeseen")

        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.events(4, 6)
        if target == IDEMPOTENT:
            endpoint.default_behaviour = endpoint.succeed
        fields = {"target": target, "method": "POST", "Last_Event_Id": "3"}
        caller = await cluster.connect()
        with monkeypatch.context() as patched:
            patched.setattr(owner, name, fail)
            caller.request(**fields)
            answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert (answer.status, answer.whole) == (502, True)
        caller.request(X_Attempt_Id="a-2", **fields)
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert (answer.status, answer.whole) == (200, True)
        (gateway,) = cluster.gateways
        await gateway_cluster.wait_until(lambda: not gateway._slots.lease_count)


async def test_connection_whose_handler_fails_does_not_stay_for_ever():
    async def fail(request, responder):
        raise asyncio.CancelledError

    listener = inbound.Listener(fail, lambda failure: None)
    port = gateway_cluster.free_port()
    server = listener.serve("127.0.0.1", port)
    try:
        opened = await asyncio.open_connection("127.0.0.1", port)
        caller = callers.Caller(*opened)
        caller.request()
        await asyncio.wait_for(caller.answer(), 1.0)
        assert listener.busy == 0
    finally:
        caller.close()
        server.close()


def patient_config(**limits) -> dict:
    """Returns one whose requests take longer than the time to read one."""
    config = builders.make_operator_config(
        timeout_ms=20_000, target_latency_ms=20_000
    )
    config["limits"] |= limits
    return config


ANSWER_BYTES = 14_000_000
"""Length of an answer that the buffers of two sockets cannot hold."""


async def connect_with_small_buffer(cluster) -> callers.Caller:
    address = sockets.split_address(cluster.settings[0].front_address)
    connected = socket.socket()
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    connected.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connected, address)
    opened = await asyncio.open_connection(sock=connected, limit=65_536)
    return callers.Caller(*opened)


async def read_all(caller, size, pause_seconds) -> int:
    """Returns how much of the body was read, with a pause after each part."""
    await caller.reader.readuntil(b"\r\n\r\n")
    got = 0
    while got < size:
        data = await caller.reader.read(size - got)
        if not data:
            break
        got += len(data)
        await asyncio.sleep(pause_seconds)
    return got


async def test_caller_that_pauses_its_reading_gets_the_whole_answer():
    config = patient_config(idle_timeout_ms=10_000)
    async with Cluster(config=config) as cluster:
        (endpoint,) = cluster.runners

        async def answer_at_length(received, reader, writer):
            writer.write(endpoint.answer(received, b"x" * ANSWER_BYTES))
            await writer.drain()

        endpoint.default_behaviour = answer_at_length
        caller = await connect_with_small_buffer(cluster)
        caller.request(X_Deadline_Ms="20000")
        await asyncio.sleep(4.5)
        got = await asyncio.wait_for(read_all(caller, ANSWER_BYTES, 0.0), 10)
        caller.close()
        assert got == ANSWER_BYTES


async def test_caller_that_reads_slowly_and_steadily_gets_the_whole_answer():
    async with Cluster(config=patient_config()) as cluster:
        (endpoint,) = cluster.runners
        size = 10_000_000

        async def answer_at_length(received, reader, writer):
            writer.write(endpoint.answer(received, b"x" * size))
            await writer.drain()

        endpoint.default_behaviour = answer_at_length
        caller = await connect_with_small_buffer(cluster)
        caller.request(X_Deadline_Ms="20000")
        got = await asyncio.wait_for(read_all(caller, size, 0.15), 30)
        caller.close()
        assert got == size
