"""Bytes without end on many connections at once."""

import asyncio

import pytest

from cranberryglade.gateway import outbound
from cranberryglade.gateway import reachability
from cranberryglade.gateway import sending
from cranberryglade.gateway import tunnels
from cranberryglade.tests import endless

CONNECTIONS = 60

MOST_TURN_SECONDS = sending.CONNECT_TIMEOUT_SECONDS / 2
"""Longest turn of the loop. A connection that is opened meanwhile needs two."""

MOST_MEMORY_BYTES = CONNECTIONS * 524_288
"""Memory that the answers may take together."""

PATIENCE_SECONDS = 10.0

TINY_CHUNKS = (
    endless.CHUNKED + endless.SEALED + b"\r\n",
    b"1\r\ny\r\n" * 3000,
)
ANSWERS = (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 500)
BODY = (endless.HEAD + endless.SEALED + b"\r\n", endless.BLOCK)
FLOODS = (
    endless.ENDLESS_HEADS
    | endless.ENDLESS_FRAMING
    | {"tiny chunks": TINY_CHUNKS, "answers": ANSWERS, "body": BODY}
)
FRAME = tunnels.encode_frame
OPENED = FRAME(tunnels.OPENED)
PEER_FLOODS = {
    "refusal": (
        tunnels.FRAME_HEAD.pack(tunnels.MAX_FRAME_BYTES),
        endless.BLOCK,
    ),
    "long frame": (OPENED + b"\xff\xff\xff\xff", endless.BLOCK),
    "frames without data": (b"", tunnels.END * 4000),
    "frames of a byte": (OPENED, FRAME(b"0") * 4000),
    "refusals": (FRAME(b"stopping"), FRAME(b"stopping") * 2000),
    "no frames": (b"", endless.BLOCK),
    "interim headers": (
        OPENED,
        FRAME(endless.ENDLESS_HEADS["interim headers"][1]),
    ),
    "empty fields": (
        OPENED + FRAME(endless.HEAD),
        FRAME(endless.ENDLESS_HEADS["empty fields"][1]),
    ),
}
"""Floods of an instance that is asked to pass a connection on."""

BODY_BYTES = 262_144
"""Bytes of a body that is read; the connection is closed then."""


async def connect(address: str) -> list[outbound.Channel]:
    pool = outbound.Pool(address)
    return [await pool.connect(5.0) for _ in range(CONNECTIONS)]


async def read_through_tunnel(helper: str) -> None:
    """Asks an instance for a tunnel, and reads until it is closed."""
    client = tunnels.TunnelClient(
        lambda: [helper], reachability.Reachability(), lambda: None
    )
    try:
        async with asyncio.timeout(PATIENCE_SECONDS):
            channel = await client.connect("127.0.0.1:1")
    except ConnectionError:
        return
    channel.send(b"GET / HTTP/1.1\r\n\r\n", b"")
    async with asyncio.timeout(PATIENCE_SECONDS):
        await read_until_lost(channel)


async def read_until_lost(channel: outbound.Channel) -> None:
    left = BODY_BYTES
    while left > 0:
        match await channel.next_event():
            case outbound.AnswerLost():
                return
            case outbound.Data(data):
                left -= len(data)
    channel.abort()


async def read_answers(channels: list[outbound.Channel]) -> None:
    """Sends a request on each connection and reads until it is closed."""
    for channel in channels:
        channel.send(b"GET / HTTP/1.1\r\n\r\n", b"")
    async with asyncio.timeout(PATIENCE_SECONDS):
        await asyncio.gather(*map(read_until_lost, channels))


@pytest.mark.parametrize("kind", FLOODS)
async def test_many_endless_answers_leave_the_loop_to_others(kind):
    with endless.ThreadedServer(*FLOODS[kind]) as server:
        channels = await connect(server.address)
        async with endless.measure_turns() as longest:
            await read_answers(channels)
        assert longest.size < MOST_TURN_SECONDS


@pytest.mark.parametrize("kind", FLOODS)
async def test_many_endless_answers_are_bounded_together(kind):
    with endless.ThreadedServer(*FLOODS[kind]) as server:
        channels = await connect(server.address)
        with endless.measure_memory() as peak:
            await read_answers(channels)
        assert peak.size < MOST_MEMORY_BYTES


@pytest.mark.parametrize("kind", PEER_FLOODS)
async def test_many_endless_tunnels_leave_the_loop_to_others(kind):
    with endless.ThreadedServer(*PEER_FLOODS[kind]) as server:
        async with endless.measure_turns() as longest:
            await asyncio.gather(
                *(
                    read_through_tunnel(server.address)
                    for _ in range(CONNECTIONS)
                )
            )
        assert longest.size < MOST_TURN_SECONDS


@pytest.mark.parametrize("kind", PEER_FLOODS)
async def test_many_endless_tunnels_are_bounded_together(kind):
    with endless.ThreadedServer(*PEER_FLOODS[kind]) as server:
        with endless.measure_memory() as peak:
            await asyncio.gather(
                *(
                    read_through_tunnel(server.address)
                    for _ in range(CONNECTIONS)
                )
            )
        assert peak.size < MOST_MEMORY_BYTES
