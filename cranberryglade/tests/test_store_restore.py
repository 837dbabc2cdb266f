"""The store comes back from an old copy: what was known stays known."""

import asyncio
import dataclasses
import json

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure
from returns.result import Success

from cranberryglade.gateway import configuration_age
from cranberryglade.gateway import consultation
from cranberryglade.gateway import endpoint_directory
from cranberryglade.gateway import messages
from cranberryglade.gateway import peer_sync
from cranberryglade.gateway import ports
from cranberryglade.platform import store
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster
MEMBERS = "cranberryglade-members"


def versions(cluster):
    return [gateway._state.version for gateway in cluster.gateways]


def eras(cluster):
    return [gateway._state.store_era for gateway in cluster.gateways]


async def restore(cluster):
    """Restores the store's copy and waits until all instances know of it."""
    cluster.store.restore_copy()
    await gateway_cluster.wait_until(
        lambda: eras(cluster) == [1] * len(eras(cluster))
    )


async def test_a_key_that_was_taken_away_stays_away_after_a_restore(
    monkeypatch,
):
    # Nothing confirms the newer configuration here, so its age grows with the
    # time that this test takes. On a slow machine it passed 2 s, after which
    # an unknown key is refused with 503.
    monkeypatch.setattr(
        configuration_age, "MAX_AGE_TO_REJECT_UNKNOWN_SECONDS", 60.0
    )
    async with Cluster(gateways=2, revoke_seconds=60.0) as cluster:
        cluster.store.take_copy()
        tenants = operator_configuration.a_config()["tenants"]
        tenants[0]["api_keys"] = ["key-2"]
        taken_away = operator_configuration.a_config(2, tenants=tenants)
        cluster.configure(taken_away)
        await gateway_cluster.wait_until(lambda: versions(cluster) == [2, 2])
        await restore(cluster)
        await asyncio.sleep(0.5)
        assert versions(cluster) == [2, 2]
        for gateway in range(2):
            assert (await cluster.send_request(gateway)).status == 401
        await cluster.add_gateway("gate-new")
        await gateway_cluster.wait_until(lambda: versions(cluster) == [2] * 3)
        assert (await cluster.send_request(2)).status == 401
        assert not cluster.runners[0].received


async def test_a_key_that_was_taken_away_is_refused_beyond_the_age_limit(
    monkeypatch,
):
    monkeypatch.setattr(
        configuration_age, "MAX_AGE_TO_REJECT_UNKNOWN_SECONDS", 0.0
    )
    async with Cluster(revoke_seconds=60.0) as cluster:
        cluster.store.take_copy()
        tenants = operator_configuration.a_config()["tenants"]
        tenants[0]["api_keys"] = ["key-2"]
        cluster.configure(operator_configuration.a_config(2, tenants=tenants))
        await gateway_cluster.wait_until(lambda: versions(cluster) == [2])
        await restore(cluster)
        answer = await cluster.send_request()
        assert (answer.status, answer.body) == (503, b"unknown_key_yet")
        assert not cluster.runners[0].received


async def test_an_older_configuration_of_a_restored_store_confirms_nothing():
    async with Cluster(revoke_seconds=1.5) as cluster:
        cluster.store.take_copy()
        cluster.configure(operator_configuration.a_config(2))
        await gateway_cluster.wait_until(lambda: versions(cluster) == [2])
        await restore(cluster)
        await gateway_cluster.wait_until(
            lambda: not cluster.gateways[0]._ready(), 3.0
        )
        cluster.configure(operator_configuration.a_config(2))
        await gateway_cluster.wait_until(cluster.gateways[0]._ready, 3.0)


async def test_a_store_that_lost_every_configuration_confirms_nothing():
    async with Cluster(revoke_seconds=1.5, config={}) as cluster:
        cluster.store.take_copy()
        cluster.configure(operator_configuration.a_config(2))
        await gateway_cluster.wait_until(cluster.gateways[0]._ready)
        await restore(cluster)
        await gateway_cluster.wait_until(
            lambda: not cluster.gateways[0]._ready(), 3.0
        )
        assert versions(cluster) == [2]


async def test_changes_after_a_restore_are_seen_although_numbers_recur():
    async with Cluster(gateways=2, runners=2) as cluster:
        cluster.store.take_copy()
        for number in range(20):
            cluster.store.put("op", "other", b"%d" % number)
        (first, second) = cluster.runners
        cluster.register_runner(first, slots=3, sequence=2)
        await cluster.wait_for_endpoints(
            lambda listed: listed["i-0"].slots == 3
        )
        await restore(cluster)
        cluster.register_runner(first, state="draining", sequence=3)
        cluster.store.put("op", "other", b"again")
        cluster.configure(operator_configuration.a_config(3))
        await gateway_cluster.wait_until(
            lambda: versions(cluster) == [3, 3], 2.0
        )
        await cluster.wait_for_endpoints(lambda listed: listed["i-0"].leaving)
        assert not cluster.gateways[0]._state.endpoints[second.id].leaving


async def test_member_rows_that_a_restore_lost_are_written_again():
    async with Cluster(gateways=2) as cluster:
        cluster.store.take_copy()
        await cluster.add_gateway("gate-new")
        await gateway_cluster.wait_until(
            lambda: cluster.store.row(MEMBERS, "gate-new") is not None
        )
        await restore(cluster)
        assert cluster.store.row(MEMBERS, "gate-new") is None
        await gateway_cluster.wait_until(
            lambda: cluster.store.row(MEMBERS, "gate-new") is not None, 2.0
        )


async def test_a_restore_costs_few_calls():
    async with Cluster(gateways=6) as cluster:
        cluster.store.take_copy()
        cluster.store.put("op", "other", b"lost")
        await asyncio.sleep(0.3)
        before = cluster.store.calls
        await restore(cluster)
        await asyncio.sleep(2.5)
        # For each instance: two tables read anew, two feeds, a row written, the
        # members read.
        assert cluster.store.calls - before <= 6 * 10


async def test_the_client_tells_eras_apart():
    async with Cluster() as cluster:
        client = store.StoreClient(cluster.store_address)
        table = ports.Table.MEMBERS
        cluster.store.take_copy()
        lost = (await client.write(table, "m", b"x", None)).unwrap()
        cluster.store.restore_copy()
        recurring = (await client.write(table, "m", b"y", None)).unwrap()
        assert recurring.number == lost.number
        assert recurring > lost
        feed = await client.changes(table, lost, 0.1)
        assert feed == Failure(ports.StoreError.HISTORY_LOST)
        assert isinstance(await client.changes(table, recurring, 0.1), Success)
        client.close()


class Store:
    """Rows of endpoints that only ever begin, report, leave and end."""

    def __init__(self):
        self.version = ports.NO_VERSION
        self.rows: dict[str, endpoint_directory.Entry] = {}
        self.copy = dict(self.rows), self.version
        self.reports: dict[str, messages.Endpoint] = {}

    def write(self, id_, leaving):
        before = self.reports.get(id_)
        number = before.report_number + 1 if before else 1
        leaving = leaving or (before is not None and before.leaving)
        report = builders.make_endpoint(
            id_, report_number=number, leaving=leaving
        )
        self.reports[id_] = report
        self.version = dataclasses.replace(
            self.version, number=self.version.number + 1
        )
        self.rows[id_] = endpoint_directory.Entry(report, self.version)

    def restore(self):
        rows, version = self.copy
        self.version = ports.Version(self.version.era + 1, version.number)
        self.rows = {
            id_: dataclasses.replace(
                entry,
                version=dataclasses.replace(
                    entry.version, era=self.version.era
                ),
            )
            for id_, entry in rows.items()
        }


class Instance:
    """A directory that reads the store or a peer, and notes who leaves."""

    def __init__(self):
        self.directory = endpoint_directory.EndpointDirectory()
        self.era = 0
        self.left: set[str] = set()

    def read(self, entries, version, now):
        if version < self.directory.version:
            return
        if version.era > self.era:
            self.era = version.era
            self.directory.store_restored(now)
        for entry in entries:
            self.directory.put(entry.endpoint, entry.version)
        names = {entry.endpoint.id for entry in entries}
        self.directory.keep_only(names, version, now)
        self.directory.set_applied_version(version)
        self.left |= {
            id_ for id_, e in self.directory.endpoints.items() if e.leaving
        }


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["report", "leave", "copy", "restore", "read", "peer"]),
        st.integers(0, 2),
    ),
    max_size=40,
)


@given(STEPS)
def test_an_endpoint_that_leaves_never_looks_ready_again(steps):
    platform = Store()
    instances = [Instance() for _ in range(3)]
    for now, (step, number) in enumerate(steps):
        match step:
            case "report" | "leave":
                platform.write(f"e-{number}", step == "leave")
            case "copy":
                platform.copy = dict(platform.rows), platform.version
            case "restore":
                platform.restore()
            case "read":
                rows = list(platform.rows.values())
                instances[number].read(rows, platform.version, now)
            case "peer":
                peer = instances[(number + 1) % 3].directory
                instances[number].read(peer.entries, peer.version, now)
        for instance in instances:
            ready = {
                id_
                for id_, endpoint in instance.directory.endpoints.items()
                if not endpoint.leaving
            }
            assert not ready & instance.left


def without_key(version):
    """Returns a configuration that took the callers' key away."""
    tenants = operator_configuration.a_config()["tenants"]
    tenants[0]["api_keys"] = ["key-2"]
    return operator_configuration.a_config(version, tenants=tenants)


async def statuses_until(cluster, gateway, last, seconds=3.0):
    """Sends requests until one has a status; returns all statuses."""
    statuses = []
    async with asyncio.timeout(seconds):
        while last not in statuses:
            statuses.append((await cluster.send_request(gateway)).status)
            await asyncio.sleep(0.01)
    return statuses


async def test_an_instance_that_starts_in_the_gap_never_admits_a_revoked_key():
    async with Cluster(gateways=2) as cluster:
        cluster.store.take_copy()
        cluster.configure(without_key(2))
        await gateway_cluster.wait_until(lambda: versions(cluster) == [2, 2])
        await restore(cluster)
        await cluster.add_gateway("gate-new")
        statuses = await statuses_until(cluster, 2, 401)
        assert set(statuses) <= {503, 401}
        assert versions(cluster) == [2, 2, 2]


async def test_instances_that_start_in_the_gap_do_not_confirm_each_other():
    async with Cluster(gateways=2) as cluster:
        cluster.store.take_copy()
        cluster.configure(without_key(2))
        await gateway_cluster.wait_until(lambda: versions(cluster) == [2, 2])
        await restore(cluster)
        await asyncio.gather(
            *(cluster.add_gateway(f"gate-new-{n}") for n in range(2))
        )
        for gateway in (2, 3):
            statuses = await statuses_until(cluster, gateway, 401)
            assert set(statuses) <= {503, 401}


async def test_an_instance_that_missed_a_configuration_asks_after_a_restore(
    monkeypatch,
):
    async with Cluster(gateways=2, revoke_seconds=2.0) as cluster:
        missing = cluster.gateways[1]
        reachable = missing._store_watcher._store
        cluster.store.take_copy()
        missing._store_watcher._store = store.StoreClient("127.0.0.1:1")
        missing._store_watcher.ask_again()
        monkeypatch.setattr(peer_sync.PeerSync, "_start_fetch", lambda *_: None)
        cluster.configure(without_key(2))
        await gateway_cluster.wait_until(lambda: versions(cluster) == [2, 1])
        await gateway_cluster.wait_until(lambda: not missing._ready())
        monkeypatch.undo()
        cluster.store.restore_copy()
        missing._store_watcher._store = reachable
        statuses = await statuses_until(cluster, 1, 401)
        assert set(statuses) <= {503, 401}


async def test_a_lone_instance_admits_keys_although_others_are_listed():
    async with Cluster() as cluster:
        for number in range(3):
            row = {"address": f"127.0.0.1:{number + 1}", "domain": "north"}
            cluster.store.put(
                MEMBERS, f"gone-{number}", json.dumps(row).encode()
            )
        began = asyncio.get_running_loop().time()
        await cluster.add_gateway("gate-new")
        cluster.gateways[0].close()
        statuses = await statuses_until(cluster, 1, 200)
        assert set(statuses) <= {503, 200}
        assert asyncio.get_running_loop().time() - began < 1.5


async def test_an_instance_that_cannot_register_admits_keys_in_time():
    async with Cluster(config={}) as cluster:
        cluster.store.faults.refused_writes = 1_000
        cluster.configure(operator_configuration.a_config(1))
        await cluster.add_gateway("gate-new")
        statuses = await statuses_until(cluster, 1, 200, 4.0)
        assert set(statuses) <= {503, 200}


async def test_a_start_beside_running_instances_is_not_delayed():
    async with Cluster(gateways=2) as cluster:
        began = asyncio.get_running_loop().time()
        gateway = await cluster.add_gateway("gate-new")
        await gateway_cluster.wait_until(gateway._ready)
        taken = asyncio.get_running_loop().time() - began
        assert taken < consultation.ANSWER_SECONDS
