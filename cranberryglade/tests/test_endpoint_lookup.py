"""Endpoints that the allocator grants before other instances know them."""

import asyncio

import pytest
from returns.result import Failure
from returns.result import Success

from cranberryglade.endpoint_lookup import lookup
from cranberryglade.gateway import endpoint_directory
from cranberryglade.gateway import fetching
from cranberryglade.gateway import membership
from cranberryglade.gateway import peer_sync
from cranberryglade.gateway import ports
from cranberryglade.platform import store
from cranberryglade.standins import endpoint_standin
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import wire_samples


class Peer:
    """A peer that lists an endpoint for the caller when it answers."""

    def __init__(self, seconds: float):
        self.seconds = seconds
        self.listed: set[str] = set()
        self.calls = 0

    async def fetch(self, id_: str, name: str) -> bool:
        del name
        self.calls += 1
        await asyncio.sleep(self.seconds)
        self.listed.add(id_)
        return True

    def make_lookup(self) -> lookup.EndpointLookup:
        return lookup.EndpointLookup(
            self.listed.__contains__, self.fetch, lambda event: None
        )


@pytest.mark.looptime
async def test_requests_that_wait_for_one_endpoint_share_a_call():
    # One call for each request would press on the allocator when many
    # endpoints join beside a long queue.
    peer = Peer(0.01)
    endpoint_lookup = peer.make_lookup()
    await asyncio.gather(
        *(endpoint_lookup.ensure_listed("i-1", "gate-0") for _ in range(50))
    )
    await endpoint_lookup.ensure_listed("i-1", "gate-0")
    assert peer.calls == 1
    assert peer.listed == {"i-1"}


@pytest.mark.looptime
async def test_a_silent_peer_holds_a_slot_for_a_bounded_time():
    loop = asyncio.get_running_loop()
    began = loop.time()
    peer = Peer(60.0)
    endpoint_lookup = peer.make_lookup()
    await endpoint_lookup.ensure_listed("i-1", "gate-0")
    assert loop.time() - began == pytest.approx(lookup.MAX_WAIT_SECONDS)
    for task in endpoint_lookup._tasks.values():
        task.cancel()


async def test_requests_are_sent_to_endpoints_that_only_the_allocator_knows(
    monkeypatch,
):
    # The slot was given back, and the request refused although it was free.
    # The answer of the peer is awaited on a slow machine, too.
    monkeypatch.setattr(lookup, "MAX_WAIT_SECONDS", 10.0)
    async with gateway_cluster.Cluster(gateways=2) as cluster:
        await gateway_cluster.wait_until(
            lambda: any(
                each._allocator.is_allocating for each in cluster.gateways
            )
        )
        (behind,) = (
            number
            for number, each in enumerate(cluster.gateways)
            if not each._allocator.is_allocating
        )
        allocator = cluster.gateways[1 - behind]
        uninformed = cluster.gateways[behind]
        monkeypatch.setattr(peer_sync.PeerSync, "_start_fetch", lambda *_: None)
        uninformed._store_watcher._store = store.StoreClient("127.0.0.1:1")
        uninformed._store_watcher.ask_again()
        (old,) = cluster.runners
        await cluster.add_runner(endpoint_standin.EndpointStandin("i-new/2"))
        cluster.store.remove("servers", old.id)
        await gateway_cluster.wait_until(
            lambda: list(allocator._state.endpoints) == ["i-new/2"]
        )
        applied = uninformed._state.directory.version
        answer = await cluster.send_request(behind)
        assert answer.status == 200
        assert "i-new/2" in uninformed._state.endpoints
        # Rows that were not read yet are still read.
        assert uninformed._state.directory.version == applied


@pytest.mark.parametrize(
    "reply",
    [
        Success(fetching.Reply(404, b"")),
        Success(fetching.Reply(200, b"\xc1")),
        Failure("timeout"),
    ],
)
async def test_a_peer_that_cannot_tell_an_endpoint_lists_none(
    reply, monkeypatch
):
    # A build that serves only whole lists answers 404.
    async def call(*_):
        return reply

    monkeypatch.setattr(peer_sync.PeerSync, "_call", call)
    shared = wire_samples.make_state()
    sync = peer_sync.PeerSync(shared, None)
    member = membership.Member("gate-0", "10.1.0.25:7600", "north", 0.0)
    assert not await sync.fetch_endpoint("i-1", member)
    assert not shared.directory.entries


def test_an_endpoint_that_is_put_ahead_leaves_lower_rows_to_be_read():
    directory = endpoint_directory.EndpointDirectory()
    ahead = ports.Version(0, 41)
    assert directory.put_ahead(wire_samples.ENDPOINT, ahead)
    assert directory.version == ports.NO_VERSION
    assert directory.entry(wire_samples.ENDPOINT.id).version == ahead


def test_a_lookup_brings_no_removed_endpoint_back():
    # A granter that has not seen the removal answers with the row before it.
    directory = endpoint_directory.EndpointDirectory()
    directory.put(wire_samples.ENDPOINT, ports.Version(0, 41))
    assert directory.remove(wire_samples.ENDPOINT.id, ports.Version(0, 50), 9.0)
    assert not directory.put_ahead(wire_samples.ENDPOINT, ports.Version(0, 41))
    assert not directory.endpoints
