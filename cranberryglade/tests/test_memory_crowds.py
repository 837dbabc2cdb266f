"""Crowds of callers that take a gateway's memory and descriptors.

Each test starts a gateway, a store and an endpoint as processes. It checks
that the gateway lives, that what it takes stays under a bound, and that an
ordinary request is answered during and after the crowd.
"""

import asyncio
import contextlib

import pytest

from cranberryglade.standins import callers
from cranberryglade.tests import memory_deployment
from cranberryglade.tests import memory_standins

CROWD = 80
"""Callers at once."""

IDLE_CROWD = 500
"""Connections that send nothing."""

MACHINE_MB = 40
MAX_DESCRIPTORS = 600
FILE_DESCRIPTORS = 200
"""Descriptors that are left for files."""

BUDGET_BYTES = 0.4 * MACHINE_MB * 1_000_000
MARGIN_BYTES = 30_000_000
"""What a process takes beside its budget, above what it takes at rest."""

MISSING_BYTES = 16
"""Most callers stop so many bytes short of their end."""

SLOW_PART_BYTES = 16_384
SLOW_PAUSE_SECONDS = 0.02
LARGE_CHUNK_BYTES = 65_536
BYTE_CHUNKS = 200_000
"""Chunks of one byte that a caller sends."""

STAY_SECONDS = 2.0
"""Time for which the callers stay after they have sent what they send."""

CROWD_SECONDS = 3.0
"""Longest wait until all callers have sent."""

SEND_SECONDS = 30.0
"""Time after which a caller gives up sending."""

SIZE = memory_standins.MAX_BODY_BYTES


@contextlib.asynccontextmanager
async def running_gateway(tmp_path, **limits):
    deployment = memory_deployment.Deployment(
        tmp_path, **({"memory_mb": MACHINE_MB} | limits)
    )
    try:
        await deployment.start()
        yield deployment
    finally:
        await deployment.stop()


def encode_head(number: int, *fields: str) -> bytes:
    head = callers.encode_request(
        "/pay/1", "POST", X_Attempt_Id=f"c-{number}", X_Deadline_Ms="20000"
    )
    added = "".join(f"{each}\r\n" for each in fields).encode()
    return head.removesuffix(b"\r\n") + added + b"\r\n"


def body_with_length(number: int) -> list[bytes]:
    body = bytes(SIZE - (MISSING_BYTES if number else 0))
    return [encode_head(number, f"Content-Length: {SIZE}"), body]


def body_in_parts(number: int) -> list[bytes]:
    head, body = body_with_length(number)
    return [head] + [
        body[begin : begin + SLOW_PART_BYTES]
        for begin in range(0, len(body), SLOW_PART_BYTES)
    ]


def large_chunks(number: int) -> list[bytes]:
    data = b"%x\r\n%s\r\n" % (LARGE_CHUNK_BYTES, bytes(LARGE_CHUNK_BYTES))
    count = SIZE // LARGE_CHUNK_BYTES
    head = encode_head(number, "Transfer-Encoding: chunked")
    return [head, data * count, b"" if number else b"0\r\n\r\n"]


def byte_chunks(number: int) -> list[bytes]:
    head = encode_head(number, "Transfer-Encoding: chunked")
    return [head, b"1\r\nx\r\n" * BYTE_CHUNKS, b"" if number else b"0\r\n\r\n"]


def announced_over_limit(number: int) -> list[bytes]:
    return [
        encode_head(number, f"Content-Length: {40 * SIZE}"),
        bytes(4 * SIZE),
    ]


def sent_over_limit(number: int) -> list[bytes]:
    data = b"%x\r\n%s\r\n" % (LARGE_CHUNK_BYTES, bytes(LARGE_CHUNK_BYTES))
    head = encode_head(number, "Transfer-Encoding: chunked")
    return [head, data * (4 * SIZE // LARGE_CHUNK_BYTES)]


FORMS = {
    "with a length": (body_with_length, 0.0),
    "piece by piece": (body_in_parts, SLOW_PAUSE_SECONDS),
    "large chunks": (large_chunks, 0.0),
    "chunks of a byte": (byte_chunks, 0.0),
    "over the limit, announced": (announced_over_limit, 0.0),
    "over the limit, sent": (sent_over_limit, 0.0),
}
"""What a caller sends, by its number, and its pause between two parts."""


async def send_body(deployment, sent, parts, pause_seconds) -> None:
    """Sends the parts and stays until it is cancelled or refused."""
    caller = await deployment.connect()
    try:
        async with asyncio.timeout(SEND_SECONDS):
            for part in parts:
                caller.send(part)
                await caller.writer.drain()
                await asyncio.sleep(pause_seconds)
    except (OSError, TimeoutError):
        pass
    finally:
        sent.release()
    try:
        with contextlib.suppress(OSError):
            await caller.reader.read()
    finally:
        caller.writer.transport.abort()


async def check_bounds(deployment, resident_before, crowd) -> None:
    """Checks what must hold once the crowd has left."""
    for each in crowd:
        each.cancel()
    await asyncio.gather(*crowd, return_exceptions=True)
    assert deployment.lives
    assert await deployment.is_answered()
    print(
        f"resident before {resident_before / 1e6:.0f} MB, at most "
        f"{deployment.peak_bytes / 1e6:.0f}, after "
        f"{deployment.resident_bytes / 1e6:.0f}"
    )
    bound = resident_before + BUDGET_BYTES + MARGIN_BYTES
    assert deployment.peak_bytes < bound
    assert deployment.resident_bytes < resident_before + MARGIN_BYTES


@pytest.mark.parametrize("form", FORMS)
async def test_crowd_of_large_bodies_takes_all_memory(form, tmp_path):
    make_parts, pause_seconds = FORMS[form]
    async with running_gateway(tmp_path) as deployment:
        resident_before = deployment.resident_bytes
        sent = asyncio.Semaphore(0)
        crowd = [
            asyncio.create_task(
                send_body(deployment, sent, make_parts(number), pause_seconds)
            )
            for number in range(CROWD)
        ]
        assert await deployment.is_answered()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CROWD_SECONDS):
                for _ in range(CROWD):
                    await sent.acquire()
        await asyncio.sleep(STAY_SECONDS)
        assert await deployment.is_answered()
        print(f"descriptors {deployment.descriptors}")
        assert deployment.descriptors < MAX_DESCRIPTORS - FILE_DESCRIPTORS
        await check_bounds(deployment, resident_before, crowd)


async def read_late(deployment, number, may_read) -> callers.Answer:
    """Asks for a large answer and reads it when the others have asked."""
    caller = await deployment.connect()
    caller.writer.transport.pause_reading()
    caller.request(
        memory_standins.LARGE_TARGET,
        X_Attempt_Id=f"l-{number}",
        X_Deadline_Ms="20000",
    )
    await may_read.wait()
    caller.writer.transport.resume_reading()
    try:
        return await caller.answer()
    finally:
        caller.close()


async def test_ready_answer_is_replaced_by_a_failure_for_slow_readers(tmp_path):
    async with running_gateway(tmp_path) as deployment:
        resident_before = deployment.resident_bytes
        may_read = asyncio.Event()
        crowd = [
            asyncio.create_task(read_late(deployment, number, may_read))
            for number in range(CROWD)
        ]
        await asyncio.sleep(STAY_SECONDS)
        assert await deployment.is_answered()
        may_read.set()
        answers = await asyncio.gather(*crowd)
        statuses = [each.status for each in answers]
        print(f"statuses {sorted(set(statuses))}, {statuses.count(200)} of 200")
        await check_bounds(deployment, resident_before, crowd)
        assert {200} <= set(statuses) <= {200, 429, 503}
        assert all(each.whole for each in answers)


async def test_idle_connections_take_all_descriptors(tmp_path):
    async with running_gateway(
        tmp_path, max_descriptors=MAX_DESCRIPTORS
    ) as deployment:
        opened = []
        for _ in range(IDLE_CROWD):
            with contextlib.suppress(OSError):
                opened.append(await deployment.connect())
        assert await deployment.is_answered()
        print(f"descriptors {deployment.descriptors}")
        assert deployment.descriptors < MAX_DESCRIPTORS - FILE_DESCRIPTORS
        for each in opened:
            each.writer.transport.abort()
        assert deployment.lives
        assert await deployment.is_answered()
