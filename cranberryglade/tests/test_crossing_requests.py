"""Requests that cross the close of their connection are not read."""

import asyncio
import fcntl
import struct
import termios

from cranberryglade.standins import callers
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import test_gateway_shutdown as shutdowns

LAST = 6
short_balancer_time = shutdowns.short_balancer_time


def unread_bytes(connection) -> int:
    """Returns how many bytes wait in the socket of a caller's connection."""
    opened = connection._transport.get_extra_info("socket")
    size = fcntl.ioctl(opened.fileno(), termios.FIONREAD, bytes(4))
    return struct.unpack("i", size)[0]


async def begin_stream(cluster) -> callers.Caller:
    """Begins a stream whose head announces the close."""
    (endpoint,) = cluster.runners
    endpoint.event_gap_seconds = 0.1
    endpoint.default_behaviour = endpoint.events(1, LAST)
    caller = await cluster.connect()
    await asyncio.sleep(0.05)
    shutdowns.stop(cluster)
    caller.request(**shutdowns.a_request("s-1", target="/note/1"))
    await gateway_cluster.wait_until(lambda: endpoint.ran)
    await asyncio.sleep(0.1)
    return caller


async def test_request_behind_an_announced_close_is_not_read():
    config = shutdowns.config_with_long_routes()
    async with shutdowns.stopping_cluster(config=config) as cluster:
        caller = await begin_stream(cluster)
        (connection,) = cluster.gateways[0]._caller_listener.connections
        caller.request(**shutdowns.a_request("s-2", target="/note/2"))
        await asyncio.sleep(0.1)
        assert unread_bytes(connection) > 0
        answer = await caller.answer()
        assert answer.whole
        assert answer.headers["connection"] == "close"
        assert cluster.runners[0].ran == ["s-1"]


async def test_caller_that_leaves_behind_an_announced_close_is_noticed():
    config = shutdowns.config_with_long_routes()
    async with shutdowns.stopping_cluster(config=config) as cluster:
        caller = await begin_stream(cluster)
        listener = cluster.gateways[0]._caller_listener
        caller.writer.transport.abort()
        await gateway_cluster.wait_until(lambda: not listener.connections, 0.5)


async def test_run_ends_soon_when_a_caller_leaves_a_slow_stream_in_the_drain():
    config = shutdowns.config_with_long_routes()
    async with shutdowns.stopping_cluster(config=config) as cluster:
        (endpoint,) = cluster.runners
        endpoint.event_gap_seconds = 0.7
        endpoint.default_behaviour = endpoint.events(1, 3)
        caller = await cluster.connect()
        await asyncio.sleep(0.05)
        shutdowns.stop(cluster)
        caller.request(**shutdowns.a_request("s-1", target="/note/1"))
        await gateway_cluster.wait_until(lambda: endpoint.ran)
        await asyncio.sleep(0.1)
        caller.writer.close()
        listener = cluster.gateways[0]._caller_listener
        await gateway_cluster.wait_until(lambda: not listener.connections, 0.4)
