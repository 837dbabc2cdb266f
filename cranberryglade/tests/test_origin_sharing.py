"""Which software version began a stream, as the instances tell each other."""

import asyncio
import dataclasses
import functools
import random

import msgspec
import pytest
from returns.result import Failure
from returns.result import Success

from cranberryglade.gateway import datagrams
from cranberryglade.gateway import endpoint_processes
from cranberryglade.gateway import membership
from cranberryglade.gateway import messages
from cranberryglade.gateway import origin_rows
from cranberryglade.gateway import origin_sharing
from cranberryglade.gateway import ports
from cranberryglade.gateway import shared_read
from cranberryglade.gateway import software_versions
from cranberryglade.gateway import stream_origins
from cranberryglade.gateway import tentative_origins
from cranberryglade.tests import fakes
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

SERVICE = builders.SERVICE
RETENTION = stream_origins.RETENTION_SECONDS
OLD = messages.StreamOrigin(SERVICE, "v1")
NEW = messages.StreamOrigin(SERVICE, "v2")


def make_listing(*versions):
    endpoints = [
        builders.make_endpoint(f"e-{version}", software_version=version)
        for version in versions
    ]
    return {endpoint.id: endpoint for endpoint in endpoints}


async def nothing_earlier() -> bool:
    """Says that all versions are known, as if the store had none."""
    return True


class Network:
    """Instances that exchange origins by datagrams, some of which are lost.

    Attributes:
        instances: the instances that run, by name.
        sent: all datagrams.
        store_up: whether the store answers.
        listed_in_store: versions of the endpoints that the store lists.
        stored: versions that the allocator stored.
        confirmations: number of reads of the store.
        age_seconds: age of what all instances know.
    """

    def __init__(self, count, loss=0.0, seed=0):
        self.instances: dict[str, origin_sharing.OriginSharing] = {}
        self.store_up = True
        self.listed_in_store = ()
        self.stored: dict[str, list[str]] = {}
        self.confirmations = 0
        self.age_seconds = 0.0
        self.processes = endpoint_processes.EndpointProcesses(self.age)
        self.sent: list[datagrams.OriginMessage] = []
        self._random = random.Random(seed)
        self._loss = loss
        self._cut_off: set[str] = set()
        names = [f"i-{number}" for number in range(count)]
        now = asyncio.get_running_loop().time()
        for name in names:
            sharing = origin_sharing.OriginSharing(
                name,
                software_versions.SoftwareVersions(),
                nothing_earlier,
                fakes.NoOriginRows(),
                functools.partial(self.read_endpoints, name),
                self.read_versions,
                self.age,
                self.processes,
            )
            members = membership.Membership(name, "north", now)
            for other in names:
                members.register(other, f"{other}:1", "north", now)
                members.record_answer(other, "1", 0.0, now)
            sharing.set_mesh(NetworkMesh(self, name, members))
            self.instances[name] = sharing

    def age(self):
        return self.age_seconds

    async def read_endpoints(self, name):
        self.confirmations += 1
        if self.store_up:
            listing = make_listing(*self.listed_in_store)
            self.instances[name].observe_endpoints(listing)
        return self.store_up

    async def read_versions(self):
        return self.stored if self.store_up else None

    def list_versions(self, *versions):
        self.listed_in_store = versions
        for sharing in self.instances.values():
            sharing.observe_endpoints(make_listing(*versions))

    def kill(self, name):
        del self.instances[name]

    def cut_off(self, *names):
        """From now on these instances and the others hear nothing mutually."""
        self._cut_off = set(names)

    def deliver(self, sender, receiver, message):
        self.sent.append(message)
        lost = self._random.random() < self._loss
        lost |= (sender in self._cut_off) != (receiver in self._cut_off)
        if receiver in self.instances and not lost:
            decoded = datagrams.decode(datagrams.encode(message)).unwrap()
            self.instances[receiver].receive(sender, decoded)


class NetworkMesh:
    """The part of Mesh that OriginSharing uses.

    Each instance is its own allocator, so that what is sent to replicas only
    is tested.
    """

    def __init__(self, network, name, members):
        self.allocator = name
        self._network = network
        self._name = name
        self.members = members

    def send(self, member, message):
        self._network.deliver(self._name, member.name, message)

    def send_to(self, name, message):
        self._network.deliver(self._name, name, message)


def test_a_version_counts_for_a_while_after_its_last_endpoint():
    versions = software_versions.SoftwareVersions()
    assert versions.observe(make_listing("v1").values(), 0.0) == {SERVICE}
    assert versions.observe(make_listing("v1", "v2").values(), 1.0) == {SERVICE}
    assert versions.observe(make_listing("v2").values(), 2.0) == set()
    assert versions.versions(SERVICE, 2.0 + RETENTION - 1) == {"v1", "v2"}
    assert versions.versions(SERVICE, 2.0 + RETENTION) == {"v2"}
    assert versions.versions("another", 2.0) == set()


def test_origins_are_dropped_when_they_are_old_or_too_many(monkeypatch):
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 3)
    origins = stream_origins.StreamOrigins()
    for number in range(5):
        origins.record(f"a-{number}", OLD, float(number))
    assert len(origins) == 3
    assert origins.find("a-1", 4.0) is None
    assert origins.find("a-4", 4.0) == OLD
    assert origins.find("a-4", 4.0 + stream_origins.RETENTION_SECONDS) is None
    assert len(origins) == 0


def test_all_instances_agree_on_the_replicas_of_a_key():
    names = [f"i-{number}" for number in range(40)]
    chosen = []
    for own in names[:5]:
        members = membership.Membership(own, "north", 0.0)
        for name in names[5:]:
            members.register(name, f"{name}:1", "north", 0.0)
        keys = [f"a-{number}" for number in range(200)]
        chosen.append(
            [[m.name for m in members.replicas(key, 3, 0.0)] for key in keys]
        )
    assert all(each == chosen[0] for each in chosen)
    assert all(len(set(names)) == 3 for names in chosen[0])
    assert len({name for names in chosen[0] for name in names}) > 25


async def test_any_instance_finds_the_origin_when_that_of_the_stream_is_gone():
    network = Network(7)
    network.list_versions("v1", "v2")
    network.instances["i-0"].record("a-1", NEW)
    network.kill("i-0")
    for sharing in network.instances.values():
        assert await sharing.find("a-1", [SERVICE]) == NEW


async def test_origins_are_sent_once_a_service_gets_a_second_version():
    network = Network(7)
    network.list_versions("v1")
    sharing = network.instances["i-0"]
    for number in range(50):
        sharing.record(f"a-{number}", OLD)
    assert network.sent == []
    network.list_versions("v1", "v2")
    network.kill("i-0")
    for number in range(50):
        found = await network.instances["i-1"].find(f"a-{number}", [SERVICE])
        assert found == OLD


async def test_an_unknown_stream_began_at_the_only_version():
    network = Network(3)
    network.list_versions("v1")
    assert await network.instances["i-0"].find("a-1", [SERVICE]) == OLD
    assert await network.instances["i-0"].find("", [SERVICE]) == OLD
    assert await network.instances["i-0"].find("a-1", [SERVICE, "x"]) is None


async def test_a_peer_that_knows_another_version_prevents_a_wrong_guess():
    network = Network(3)
    network.list_versions("v2")
    network.instances["i-1"].observe_endpoints(make_listing("v1", "v2"))
    network.instances["i-1"].observe_endpoints(make_listing("v2"))
    assert await network.instances["i-0"].find("a-1", [SERVICE]) is None


async def test_an_instance_whose_peers_are_silent_does_not_guess():
    network = Network(3)
    network.list_versions("v1")
    network.kill("i-1")
    network.kill("i-2")
    assert await network.instances["i-0"].find("a-1", [SERVICE]) is None


async def test_an_instance_that_is_cut_off_does_not_guess(monkeypatch):
    monkeypatch.setattr(membership, "MAX_MISSED_HEARTBEATS", 0)
    network = Network(3)
    network.list_versions("v1")
    assert await network.instances["i-0"].find("a-1", [SERVICE]) is None


def cut_off_during_release():
    """Returns instances two of which are out of step.

    Only the others know of v2, and have begun a stream there.
    """
    network = Network(4)
    network.list_versions("v1")
    network.cut_off("i-0", "i-1")
    for name in ("i-2", "i-3"):
        network.instances[name].observe_endpoints(make_listing("v1", "v2"))
    network.instances["i-3"].record("a-1", NEW)
    return network


async def test_instances_that_are_out_of_step_together_do_not_guess():
    network = cut_off_during_release()
    network.store_up = False
    assert await network.instances["i-0"].find("a-1", [SERVICE]) is None


async def test_instances_that_are_out_of_step_learn_a_version_from_the_store():
    network = cut_off_during_release()
    network.listed_in_store = ("v1", "v2")
    assert await network.instances["i-0"].find("a-1", [SERVICE]) is None


async def test_an_instance_asks_the_store_if_another_one_is_silent():
    network = Network(4)
    network.list_versions("v1")
    network.kill("i-3")
    assert await network.instances["i-0"].find("a-1", [SERVICE]) == OLD
    assert network.confirmations == 1


async def test_a_version_that_came_and_went_meanwhile_prevents_a_wrong_guess():
    network = Network(4)
    network.list_versions("v1")
    network.kill("i-3")
    network.stored = {SERVICE: ["v1", "v2"]}
    assert await network.instances["i-0"].find("a-1", [SERVICE]) is None


async def test_the_store_is_not_asked_while_all_instances_reply():
    network = Network(4)
    network.list_versions("v1")
    assert await network.instances["i-0"].find("a-1", [SERVICE]) == OLD
    assert network.confirmations == 0


async def test_an_instance_whose_peers_are_forgotten_does_not_guess(
    monkeypatch,
):
    # It was cut off from all others and from the store for long.
    monkeypatch.setattr(membership, "MAX_MISSED_HEARTBEATS", 0)
    monkeypatch.setattr(membership, "MEMBER_TIMEOUT_SECONDS", 0.0)
    network = Network(3)
    network.list_versions("v1")
    network.store_up = False
    assert await network.instances["i-0"].find("a-1", [SERVICE]) is None


async def test_replies_do_not_suffice_for_what_was_forgotten_meanwhile(
    monkeypatch,
):
    # Those of the other side of a cut count no longer.
    network = Network(4)
    network.list_versions("v1")
    network.kill("i-3")
    monkeypatch.setattr(membership.Membership, "instance_count", lambda *_: 3)
    network.store_up = False
    network.age_seconds = membership.MEMBER_TIMEOUT_SECONDS
    assert await network.instances["i-0"].find("a-1", [SERVICE]) is None


async def test_an_instance_that_started_again_does_not_vouch_for_the_past():
    network = Network(3)
    network.list_versions("v1")
    network.store_up = False
    assert await network.instances["i-0"].find("a-1", [SERVICE]) == OLD
    # All members started just now, after the last confirmation.
    network.age_seconds = 1.0
    assert await network.instances["i-0"].find("a-1", [SERVICE]) is None


async def test_streams_go_on_while_nothing_is_confirmed():
    # Load: the store is down while an instance is killed; no release.
    network = Network(7)
    network.list_versions("v1")
    killed = network.instances["i-0"]
    killed.record("a-before", OLD)
    network.store_up = False
    network.age_seconds = 3.0
    for sharing in network.instances.values():
        sharing.tick()
    killed.record("a-meanwhile", OLD)
    network.kill("i-0")
    for attempt in ("a-before", "a-meanwhile"):
        for sharing in network.instances.values():
            assert await sharing.find(attempt, [SERVICE]) == OLD
    sent = len(network.sent)
    network.age_seconds = 0.0
    network.instances["i-1"].tick()
    network.instances["i-1"].record("a-later", OLD)
    assert len(network.sent) == sent


async def test_a_read_of_the_store_serves_all_that_asked_before_it():
    reads = []

    async def read_endpoints():
        reads.append(asyncio.get_running_loop().time())
        await asyncio.sleep(0.02)
        return len(reads)

    read = shared_read.SharedRead("endpoints", read_endpoints)
    first = asyncio.create_task(read.get())
    await asyncio.sleep(0.01)
    found = await asyncio.gather(*[read.get() for _ in range(20)])
    assert [await first, *found] == [1] + [2] * 20
    # What was asked during the first read is answered by a second one.
    assert len(reads) == 2
    assert reads[1] - reads[0] >= shared_read.MIN_INTERVAL_SECONDS


async def test_an_origin_that_is_refuted_is_unknown_to_all_instances():
    network = Network(7)
    network.list_versions("v1", "v2")
    sharing = network.instances["i-0"]
    now = asyncio.get_running_loop().time()
    (endpoint,) = make_listing("v1").values()
    tentative = tentative_origins.TentativeOrigin(endpoint, now)
    sharing.record("a-1", OLD, tentative)
    # It had started before as v2, which its row did not show.
    later = dataclasses.replace(
        endpoint, software_version="v2", started_ms=endpoint.started_ms + 1
    )
    sharing.observe_endpoints({later.id: later})
    for each in network.instances.values():
        assert await each.find("a-1", [SERVICE]) is None


async def test_a_tentative_origin_is_unknown_if_nothing_confirms_it():
    network = Network(3)
    network.list_versions("v1")
    sharing = network.instances["i-0"]
    now = asyncio.get_running_loop().time()
    (endpoint,) = make_listing("v1").values()
    tentative = tentative_origins.TentativeOrigin(endpoint, now)
    sharing.record("a-1", OLD, tentative)
    network.age_seconds = 3.0
    network.processes.tick(now)
    sharing.tick()
    for each in network.instances.values():
        assert await each.find("a-1", [SERVICE]) is None
    # That says nothing of the versions in service.
    network.age_seconds = 0.0
    assert await network.instances["i-1"].find("a-2", [SERVICE]) == OLD


def test_the_build_before_reads_an_unknown_version_as_one_that_is_gone():
    # Neither the message nor the row has a new field.
    record = datagrams.OriginRecord("a-1", SERVICE, messages.UNKNOWN_VERSION)
    message = datagrams.Origins([record])
    encoded = msgspec.msgpack.decode(datagrams.encode(message))
    assert encoded == [9, [["a-1", SERVICE, messages.UNKNOWN_VERSION]]]
    row = msgspec.json.encode([record])
    assert msgspec.json.decode(row) == [
        ["a-1", SERVICE, messages.UNKNOWN_VERSION]
    ]
    request = builders.make_slot_request(
        software_version=record.software_version
    )
    assert not request.may_run_at(builders.make_endpoint())


async def test_an_instance_without_peers_knows_its_own_versions():
    network = Network(1)
    network.list_versions("v1")
    assert await network.instances["i-0"].find("a-1", [SERVICE]) == OLD


@pytest.mark.parametrize("seed", range(20))
async def test_a_found_origin_is_right_whatever_is_lost(seed):
    randomness = random.Random(seed)
    network = Network(7, loss=0.1, seed=seed)
    listings = [("v1",), ("v1", "v2"), ("v2",), ("v2", "v3"), ("v3",)]
    began = {}
    found = 0
    for number in range(60):
        versions = listings[number * len(listings) // 60]
        network.list_versions(*versions)
        sharing = randomness.choice(list(network.instances.values()))
        origin = messages.StreamOrigin(SERVICE, randomness.choice(versions))
        sharing.record(f"a-{number}", origin)
        began[f"a-{number}"] = origin
    for name in randomness.sample(sorted(network.instances), 2):
        network.kill(name)
    for attempt, origin in began.items():
        sharing = randomness.choice(list(network.instances.values()))
        answer = await sharing.find(attempt, [SERVICE])
        assert answer in (origin, None)
        found += answer == origin
    assert found >= 0.9 * len(began)


class RowStore:
    """A store with rows of origins.

    Attributes:
        rows: the rows by key.
    """

    def __init__(self, rows):
        self.rows = rows

    async def read_table(self, table):
        rows = [self.rows[key] for key in sorted(self.rows)]
        return Success(ports.Rows(ports.NO_VERSION, rows))

    async def write(self, table, key, value, expected):
        version = ports.Version(1, 100 + len(self.rows))
        self.rows[key] = ports.Row(key, version, value)
        return Success(version)


async def test_a_new_allocator_keeps_the_origins_that_were_stored_last(
    monkeypatch,
):
    # Load: the allocator fails in a release; its successor stores, too.
    monkeypatch.setattr(origin_rows, "WRITE_SECONDS", 0.01)
    keys = ["254", "255", "003", "odd"]
    versions = [ports.Version(1, number) for number in (8, 9, 2, 10)]
    before = [
        ports.Row(key, version, b"[]")
        for key, version in zip(keys, versions, strict=True)
    ]
    store = RowStore({row.key: row for row in before})
    rows = origin_rows.OriginRows(store, lambda: True)
    rows.add([datagrams.OriginRecord("a-1", SERVICE, "v1")])
    task = asyncio.create_task(rows.run())
    await asyncio.sleep(0.1)
    task.cancel()
    assert store.rows.keys() == {*keys, "000"}
    (found,) = await rows.read()
    assert found.attempt == "a-1"


async def test_rows_of_origins_that_cannot_be_read_are_passed_over():
    record = datagrams.OriginRecord("a-1", SERVICE, "v1")
    version = ports.Version(1, 1)
    values = {"000": b"[[", "001": msgspec.json.encode([record])}
    store = RowStore(
        {key: ports.Row(key, version, value) for key, value in values.items()}
    )
    rows = origin_rows.OriginRows(store, lambda: False)
    assert await rows.read() == [record]
    # A second one, just afterwards, costs no call.
    assert await rows.read() == []


class FailingStore(RowStore):
    """Refuses writes while it is down."""

    def __init__(self):
        super().__init__({})
        self.is_down = True

    async def write(self, table, key, value, expected):
        if self.is_down:
            return Failure(ports.StoreError.REFUSED)
        return await super().write(table, key, value, expected)


async def test_origins_that_could_not_be_stored_are_stored_later(monkeypatch):
    # Load: the store is down while streams begin, during a release.
    monkeypatch.setattr(origin_rows, "WRITE_SECONDS", 0.01)
    monkeypatch.setattr(origin_rows, "MAX_RECORDS", 4)
    store = FailingStore()
    rows = origin_rows.OriginRows(store, lambda: True)
    task = asyncio.create_task(rows.run())
    for number in range(10):
        record = datagrams.OriginRecord(f"a-{number}", SERVICE, "v1")
        rows.add([record])
        await asyncio.sleep(0.01)
    store.is_down = False
    await asyncio.sleep(0.1)
    task.cancel()
    found = {record.attempt for record in await rows.read()}
    assert found == {f"a-{number}" for number in range(10)}
    assert rows.unsaved_count == 0


async def test_a_new_allocator_stores_what_the_one_before_could_not(
    monkeypatch,
):
    # Load: the store is down in a release, and the allocator is killed.
    monkeypatch.setattr(origin_rows, "WRITE_SECONDS", 0.01)
    store = FailingStore()
    store.is_down = False
    is_allocating = False
    rows = origin_rows.OriginRows(store, lambda: is_allocating)
    task = asyncio.create_task(rows.run())
    rows.add([datagrams.OriginRecord("a-1", SERVICE, "v1")])
    await asyncio.sleep(0.05)
    assert store.rows == {}
    is_allocating = True
    await asyncio.sleep(0.05)
    task.cancel()
    (found,) = await rows.read()
    assert found.attempt == "a-1"


async def test_an_origin_that_changed_while_it_was_stored_is_stored_again(
    monkeypatch,
):
    monkeypatch.setattr(origin_rows, "WRITE_SECONDS", 0.01)
    # The rows are written in turn; the next ones are 255 and 000.
    store = RowStore({"254": ports.Row("254", ports.Version(1, 8), b"[]")})
    rows = origin_rows.OriginRows(store, lambda: True)
    write = store.write

    async def refute_meanwhile(*args):
        store.write = write
        rows.add([datagrams.OriginRecord("a-1", SERVICE, "v2")])
        return await write(*args)

    store.write = refute_meanwhile
    task = asyncio.create_task(rows.run())
    rows.add([datagrams.OriginRecord("a-1", SERVICE, "v1")])
    await asyncio.sleep(0.1)
    task.cancel()
    assert [each.software_version for each in await rows.read()] == ["v1", "v2"]


class SlowStore(RowStore):
    """Takes some time for each write, and counts them."""

    def __init__(self):
        super().__init__({})
        self.writes = 0

    async def write(self, table, key, value, expected):
        self.writes += 1
        await asyncio.sleep(0.02)
        return await super().write(table, key, value, expected)


async def test_an_origin_does_not_wait_for_a_batch():
    store = SlowStore()
    rows = origin_rows.OriginRows(store, lambda: True)
    stored = asyncio.Queue()
    rows.set_listener(lambda *told: stored.put_nowait(told))
    task = asyncio.create_task(rows.run())
    await asyncio.sleep(0.05)
    rows.add([datagrams.OriginRecord("a-1", SERVICE, "v1")], "i-1")
    told = await asyncio.wait_for(
        stored.get(), 0.75 * origin_rows.WRITE_SECONDS
    )
    task.cancel()
    assert told == ("i-1", ["a-1"])
    (found,) = await rows.read()
    assert found.attempt == "a-1"


async def test_a_write_takes_all_origins_that_came_during_the_one_before():
    store = SlowStore()
    rows = origin_rows.OriginRows(store, lambda: True)
    task = asyncio.create_task(rows.run())
    for number in range(300):
        rows.add([datagrams.OriginRecord(f"a-{number}", SERVICE, "v1")])
        await asyncio.sleep(0.001)
    await gateway_cluster.wait_until(lambda: rows.unsaved_count == 0)
    task.cancel()
    assert store.writes < 60
    # What a row had already is kept when more is added to it.
    assert len(store.rows) < store.writes
    found = {record.attempt for record in await rows.read()}
    assert found == {f"a-{number}" for number in range(300)}


class LateStore(RowStore):
    """Answers no write, and applies the first one after the others."""

    def __init__(self):
        super().__init__({})
        self.late = []

    async def write(self, table, key, value, expected):
        if len(self.rows) == 1 and not self.late:
            self.late.append((table, key, value, expected))
            return Failure(ports.StoreError.UNREACHABLE)
        return await super().write(table, key, value, expected)


async def test_a_write_that_takes_effect_late_drops_no_stored_origin(
    monkeypatch,
):
    monkeypatch.setattr(origin_rows, "WRITE_SECONDS", 0.05)
    store = LateStore()
    rows = origin_rows.OriginRows(store, lambda: True)
    task = asyncio.create_task(rows.run())
    for number in range(30):
        rows.add([datagrams.OriginRecord(f"a-{number}", SERVICE, "v1")])
        await asyncio.sleep(0.005)
    await gateway_cluster.wait_until(lambda: rows.unsaved_count == 0)
    task.cancel()
    (late,) = store.late
    await store.write(*late)
    found = {record.attempt for record in await rows.read()}
    assert found == {f"a-{number}" for number in range(30)}


async def held_seconds(sharing, attempt):
    started = asyncio.get_running_loop().time()
    await sharing.store(attempt, NEW)
    return asyncio.get_running_loop().time() - started


async def test_a_first_event_is_held_until_its_origin_is_stored():
    network = Network(3)
    network.list_versions("v1", "v2")
    sharing = network.instances["i-0"]
    holding = asyncio.create_task(sharing.store("a-1", NEW))
    await asyncio.sleep(0.01)
    sharing.receive("i-1", datagrams.OriginsStored(["a-2"]))
    await asyncio.sleep(0)
    assert not holding.done()
    sharing.receive("i-1", datagrams.OriginsStored(["a-1"]))
    async with asyncio.timeout(0.5 * origin_sharing.MAX_HOLD_SECONDS):
        await holding


async def test_a_stream_begun_just_after_the_start_is_held():
    # Load: a stream begins before the next tick after the first confirmation.
    network = Network(3)
    network.list_versions("v1", "v2")
    sharing = network.instances["i-0"]
    network.age_seconds = float("inf")
    sharing.tick()
    network.age_seconds = 0.0
    holding = asyncio.create_task(sharing.store("a-1", NEW))
    await asyncio.sleep(0.01)
    assert not holding.done()
    sharing.receive("i-1", datagrams.OriginsStored(["a-1"]))
    async with asyncio.timeout(0.5 * origin_sharing.MAX_HOLD_SECONDS):
        await holding


async def test_a_first_event_is_held_for_a_bounded_time_by_a_former_allocator():
    # It tells nobody what it has stored.
    network = Network(3)
    network.list_versions("v1", "v2")
    seconds = await held_seconds(network.instances["i-0"], "a-1")
    bound = origin_sharing.MAX_HOLD_SECONDS
    assert 0.9 * bound <= seconds < bound + 0.2


@pytest.mark.parametrize("versions, age", [(["v2"], 0.0), (["v1", "v2"], 3.0)])
async def test_a_first_event_is_not_held_for_nothing(versions, age):
    # There is no release, or the store does not answer.
    network = Network(3)
    network.list_versions(*versions)
    network.age_seconds = age
    sharing = network.instances["i-0"]
    sharing.tick()
    bound = origin_sharing.MAX_HOLD_SECONDS
    assert await held_seconds(sharing, "a-1") < 0.5 * bound
    assert await held_seconds(sharing, "") < 0.5 * bound
