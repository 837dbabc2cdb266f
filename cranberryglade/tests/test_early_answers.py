"""Answers that arrive before their request is sent, and large heads."""

import asyncio
import contextlib
import socket
import struct
import threading
import time

import pytest

from cranberryglade.gateway import outbound
from cranberryglade.tests import endless

BODY_BYTES = 100_000
REQUEST_BYTES = 30_000_000
RESET_AFTER_SECONDS = 0.05
BUSY_SECONDS = 0.12
"""For this long the loop does not look at the connection."""


def answer_early_and_reset(listening: socket.socket) -> None:
    """Answers the first request before it is whole, then resets."""
    with contextlib.suppress(OSError):
        opened, _ = listening.accept()
        opened.recv(1000)
        opened.sendall(
            b"HTTP/1.1 413 Too Large\r\nContent-Length: %d\r\n\r\n%b"
            % (BODY_BYTES, bytes(BODY_BYTES))
        )
        time.sleep(RESET_AFTER_SECONDS)
        at_once = struct.pack("ii", 1, 0)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, at_once)
        opened.close()


async def test_early_answer_of_an_endpoint_that_resets_is_whole():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        server = threading.Thread(
            target=answer_early_and_reset, args=(listening,), daemon=True
        )
        server.start()
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        channel = await outbound.Pool(address).connect(5.0)
        head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
        channel.send(head % REQUEST_BYTES, bytes(REQUEST_BYTES))
        time.sleep(BUSY_SECONDS)
        async with asyncio.timeout(5.0):
            assert (await channel.next_event()).status == 413
            body = await channel.read_body(2 * BODY_BYTES)
        assert body == bytes(BODY_BYTES)


@pytest.mark.parametrize("field_count", [1, 10, 100])
@pytest.mark.parametrize("body_bytes", [0, 20_000, 200_000])
async def test_sound_answer_with_a_large_head_is_whole(field_count, body_bytes):
    field = b"X-F: %b\r\n" % (b"y" * (50_000 // field_count))
    answer = b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (
        field * field_count,
        body_bytes,
        bytes(body_bytes),
    )
    async with endless.EndlessServer(answer, b"") as server:
        channel = await outbound.Pool(server.address).connect(5.0)
        channel.send(b"GET / HTTP/1.1\r\n\r\n", b"")
        async with asyncio.timeout(5.0):
            assert (await channel.next_event()).status == 200
            body = await channel.read_body(body_bytes)
        assert body == bytes(body_bytes)
        channel.abort()
