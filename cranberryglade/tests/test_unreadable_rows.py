"""Rows of the store that cannot be read name nothing to use, and end nothing.

They are nested too deep, hold numbers too large, or are of a wrong type.
"""

import asyncio
import itertools

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from returns.result import Failure
from returns.result import Success
import structlog

from cranberryglade.gateway import bounded_warnings
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import endpoint_checks
from cranberryglade.gateway import endpoint_directory
from cranberryglade.gateway import fetching
from cranberryglade.gateway import messages
from cranberryglade.gateway import peer_sync
from cranberryglade.gateway import ports
from cranberryglade.gateway import quarantine_sync
from cranberryglade.gateway import registration
from cranberryglade.gateway import shared_row
from cranberryglade.gateway import sockets
from cranberryglade.platform import documents
from cranberryglade.platform import store
from cranberryglade.standins import endpoint_standin
from cranberryglade.store_calls import replies
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import odd_values

Cluster = gateway_cluster.Cluster
EVENT = "endpoint.unreadable"


async def test_an_entry_that_cannot_be_read_ends_no_watch():
    async with Cluster(gateways=2) as cluster:
        for number, (key, value) in enumerate(odd_values.odd_rows()):
            cluster.store.put("servers", f"{key}{number}", value)
        added = endpoint_standin.EndpointStandin("i-added")
        await cluster.add_runner(added)
        await cluster.wait_for_endpoints(lambda listed: "i-added" in listed)
        for gateway in cluster.gateways:
            assert set(gateway._state.endpoints) == {"i-0", "i-added"}
            assert gateway_cluster.is_running(gateway)
        for number in range(8):
            answer = await cluster.send_request(
                number % 2, X_Attempt_Id=f"a-{number}"
            )
            assert answer.status == 200


async def test_an_entry_that_cannot_be_read_stops_no_start():
    async with Cluster(gateways=1) as cluster:
        for number, (key, value) in enumerate(odd_values.odd_rows()):
            cluster.store.put("servers", f"{key}{number}", value)
            table = store.TABLES[ports.Table.MEMBERS]
            cluster.store.put(table, f"gate-odd-{number}", value)
        for table in (ports.Table.QUARANTINE, ports.Table.ORIGINS):
            cluster.store.put(store.TABLES[table], "odd", odd_values.NESTED)
        for key in ("usage", "versions"):
            cluster.store.put(
                store.TABLES[ports.Table.USAGE], key, odd_values.NESTED
            )
        late = await cluster.add_gateway("gate-late")
        await gateway_cluster.wait_until(lambda: late.is_ready(1, 1))
        assert gateway_cluster.is_running(late)
        assert (await cluster.send_request(1)).status == 200


MANY_ROWS = 3000
MAX_READ_SECONDS = 2.0
READS = 5


async def test_thousands_of_unreadable_entries_flood_no_log_and_stop_no_read():
    async with Cluster() as cluster:
        (gateway,) = cluster.gateways
        odd = itertools.cycle(odd_values.odd_rows())
        for number, (key, value) in zip(range(MANY_ROWS), odd, strict=False):
            cluster.store.put("servers", f"{key}{number}", value)
        loop = asyncio.get_running_loop()
        with structlog.testing.capture_logs() as lines:
            started = loop.time()
            for _ in range(READS):
                assert await gateway._store_watcher.read_endpoints()
            took = loop.time() - started
        named = [each for each in lines if each["event"] == EVENT]
        assert 1 <= len(named) <= 2 * bounded_warnings.MAX_PER_WINDOW
        assert took < READS * MAX_READ_SECONDS
        assert set(gateway._state.endpoints) == {"i-0"}
        assert (await cluster.send_request()).status == 200


async def test_an_entry_that_becomes_readable_again_is_used_again():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        cluster.store.put("servers", endpoint.id, odd_values.NESTED)
        # It names no endpoint to use, though an older row of it was sound.
        await cluster.wait_for_endpoints(lambda listed: not listed)
        assert (await cluster.send_request()).status == 503
        cluster.register_runner(endpoint)
        await cluster.wait_for_endpoints(lambda listed: endpoint.id in listed)
        assert (await cluster.send_request(X_Attempt_Id="a-2")).status == 200


UNUSABLE_ADDRESSES = ["127.0.0.1:70000", "127.0.0.1:\u00b2", "\0:80"]


@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
async def test_a_request_for_an_address_out_of_range_gets_an_answer(address):
    async with Cluster(runners=0) as cluster:
        odd = endpoint_standin.EndpointStandin("i-odd")
        cluster.register_runner(odd, address=address)
        await asyncio.sleep(1.5)
        assert (await cluster.send_request()).status == 503


KINDS = [
    documents.WireEndpoint,
    documents.WireConfig,
    registration.MemberRow,
    quarantine_sync.EntryRow,
    store.WireRows,
    store.Refused,
]


@odd_values.SETTINGS
@hypothesis.given(
    value=odd_values.documents_of(KINDS), key=strategies.text(max_size=8)
)
@hypothesis.example(value=odd_values.NESTED, key="i-odd")
def test_any_row_is_decoded_or_refused(value, key):
    decoder = documents.Decoder()
    row = ports.Row(key, ports.Version(0, 1), value)
    match decoder.decode_endpoint(row):
        case Success(endpoint):
            check_usable(endpoint)
        case Failure(problem):
            assert problem
    config_row = ports.Row("config", row.version, value)
    match decoder.decode_configuration(config_row):
        case Success(decoded):
            assert msgspec.msgpack.encode(decoded.version)
        case Failure(problem):
            assert problem
    for kind in (list[datagrams.QuotaUsage], dict[str, list[str]]):
        read = shared_row.SharedRow(None, "usage", kind)._decode(row)
        assert isinstance(read, (Success, Failure))
    match registration._decode(row):
        case Success(member):
            assert sockets.is_ip_address(member.address)
    for kind in (store.WireRows, store.Refused, store.Written):
        assert isinstance(replies.decode(value, kind), (Success, Failure))


def check_usable(endpoint):
    """Checks that an endpoint can be connected to, named and passed on."""
    assert endpoint_checks.find_problem(endpoint) is None
    host, port = sockets.split_address(endpoint.address)
    assert host and 0 < port < 65_536
    assert endpoint.id.encode("latin-1").isascii()
    entry = endpoint_directory.Entry(endpoint, ports.Version(0, 1))
    listing = peer_sync.EndpointList(ports.Version(0, 1), [entry])
    assert msgspec.msgpack.encode(listing)


@pytest.mark.parametrize("era", [b"9" * 5000, b"\xb2", b"-1", b"x"])
def test_an_era_that_cannot_be_read_raises_nothing(era):
    reply = fetching.Reply(200, b"", [messages.Header(b"Store-Era", era)])
    assert store._era(reply) == 0
