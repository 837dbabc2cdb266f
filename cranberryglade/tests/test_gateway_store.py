"""Gateways during outages and faults of the platform's store."""

import asyncio
import dataclasses
import json

import pytest
from returns.result import Failure
from returns.result import Success
import structlog

from cranberryglade.gateway import membership
from cranberryglade.gateway import ports
from cranberryglade.gateway import store_watch
from cranberryglade.platform import store
from cranberryglade.standins import endpoint_standin
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster


def versions(cluster):
    return [gateway._state.version for gateway in cluster.gateways]


async def test_a_change_is_in_force_at_once():
    async with Cluster(gateways=2) as cluster:
        cluster.configure(operator_configuration.a_config(5, routes=[]))
        await gateway_cluster.wait_until(
            lambda: versions(cluster) == [5, 5], 1.0
        )
        assert (await cluster.send_request()).status == 404


async def test_an_older_configuration_never_returns():
    async with Cluster() as cluster:
        cluster.configure(operator_configuration.a_config(5))
        await gateway_cluster.wait_until(lambda: versions(cluster) == [5])
        cluster.configure(operator_configuration.a_config(4, routes=[]))
        await asyncio.sleep(0.2)
        assert versions(cluster) == [5]
        assert (await cluster.send_request()).status == 200


async def test_a_revoked_key_is_refused():
    async with Cluster() as cluster:
        tenants = operator_configuration.a_config()["tenants"]
        tenants[0]["api_keys"] = ["key-2"]
        cluster.configure(operator_configuration.a_config(2, tenants=tenants))
        await gateway_cluster.wait_until(lambda: versions(cluster) == [2], 1.0)
        assert (await cluster.send_request()).status == 401


async def test_settings_are_read_again():
    async with Cluster() as cluster:
        (gateway,) = cluster.gateways
        shorter = dataclasses.replace(cluster.settings[0], revoke_seconds=0.6)
        cluster.reload_result = Failure("not readable")
        gateway._reload()
        assert (await cluster.send_request()).status == 200
        cluster.reload_result = Success(shorter)
        gateway._reload()
        cluster.store.faults.refuse = True
        await asyncio.sleep(1.6)
        assert (await cluster.send_request()).status == 503


async def test_a_name_or_address_that_is_read_again_waits_for_the_next_start():
    async with Cluster(gateways=2) as cluster:
        gateway = cluster.gateways[0]
        before = cluster.settings[0]
        cluster.reload_result = Success(
            dataclasses.replace(
                before, instance="other", host="127.0.0.9", quota_slack=7.0
            )
        )
        with structlog.testing.capture_logs() as lines:
            gateway._reload()
            gateway._reload()
        assert [line["event"] for line in lines] == ["reload"]
        assert set(lines[0]["changed"]) == {"instance", "host", "quota_slack"}
        assert gateway._settings == dataclasses.replace(before, quota_slack=7.0)
        granters = [
            each._mesh.allocator == each._settings.instance
            for each in cluster.gateways
        ]
        assert sum(granters) == 1
        # The row that it writes again is still its own.
        table = store.TABLES[ports.Table.MEMBERS]
        cluster.store.remove(table, "gate-0")
        gateway._state.store_restored.set()
        await gateway_cluster.wait_until(
            lambda: cluster.store.row(table, "gate-0")
        )
        row = json.loads(cluster.store.row(table, "gate-0"))
        assert row["address"] == f"{before.host}:{before.peer_port}"
        assert cluster.store.row(table, "other") is None


async def test_without_a_configuration_the_answer_is_503():
    async with Cluster(config={}) as cluster:
        answer = await cluster.send_request()
        assert answer.status == 503
        assert "retry-after" in answer.headers


async def test_a_table_is_read_again_when_the_feed_lost_its_history():
    async with Cluster() as cluster:
        cluster.store.faults.mute_feeds = True
        cluster.configure(operator_configuration.a_config(7))
        cluster.store.discard_history()
        cluster.store.faults.mute_feeds = False
        await gateway_cluster.wait_until(lambda: versions(cluster) == [7], 3.0)


async def test_changes_are_read_when_the_feed_reports_none():
    async with Cluster() as cluster:
        cluster.store.faults.mute_feeds = True
        cluster.configure(operator_configuration.a_config(7))
        await gateway_cluster.wait_until(lambda: versions(cluster) == [7], 3.0)


async def test_keys_are_not_admitted_when_the_store_was_unreachable_too_long():
    async with Cluster(revoke_seconds=1.5) as cluster:
        cluster.store.faults.refuse = True
        assert (await cluster.send_request()).status == 200
        await asyncio.sleep(1.3)
        answer = await cluster.send_request()
        assert answer.status == 503
        assert "retry-after" in answer.headers
        cluster.store.faults.refuse = False
        await gateway_cluster.wait_until(
            lambda: cluster.gateways[0]._ready(), 3.0
        )
        assert (await cluster.send_request()).status == 200


async def test_an_instance_that_cannot_reach_the_store_fetches_from_peers():
    async with Cluster(gateways=2, revoke_seconds=2.0) as cluster:
        cut = store.StoreClient("127.0.0.1:1")
        cluster.gateways[1]._store_watcher._store = cut
        cluster.store.put("op", "other", b"wakes the feeds")
        added = endpoint_standin.EndpointStandin("i-new")
        await added.start()
        cluster.runners.append(added)
        cluster.register_runner(added)
        cluster.configure(operator_configuration.a_config(9))
        await gateway_cluster.wait_until(
            lambda: versions(cluster) == [9, 9], 2.0
        )
        await gateway_cluster.wait_until(
            lambda: "i-new" in cluster.gateways[1]._state.endpoints, 3.0
        )
        await asyncio.sleep(2.2)
        assert (await cluster.send_request(gateway=1)).status == 200


async def test_endpoints_stay_in_use_while_the_store_is_unreachable():
    async with Cluster() as cluster:
        cluster.store.faults.refuse = True
        await asyncio.sleep(0.3)
        assert (await cluster.send_request()).status == 200


async def test_a_new_instance_finds_the_others():
    async with Cluster(gateways=2) as cluster:
        await cluster.add_gateway("gate-new")
        await gateway_cluster.wait_until(
            lambda: all(g.is_ready(1, 2) for g in cluster.gateways)
        )
        assert len({g._mesh.allocator for g in cluster.gateways}) == 1


async def test_an_unchanged_store_gets_few_calls():
    async with Cluster(gateways=2) as cluster:
        # What is read and written at the start is over.
        await asyncio.sleep(1.0)
        before = cluster.store.calls
        await asyncio.sleep(2.0)
        assert cluster.store.calls - before <= 2


async def store_client(cluster) -> store.StoreClient:
    return store.StoreClient(cluster.store_address)


async def test_the_client_reads_all_pages():
    async with Cluster() as cluster:
        for number in range(1003):
            cluster.store.put("cranberryglade-members", f"m-{number:04}", b"x")
        client = await store_client(cluster)
        match await client.read_table(ports.Table.MEMBERS):
            case Success(rows):
                names = [row.key for row in rows.rows]
        assert len(names) == len(set(names)) == 1004


async def test_the_client_returns_the_kind_of_error():
    async with Cluster() as cluster:
        client = await store_client(cluster)
        table = ports.Table.MEMBERS
        conflict = await client.write(table, "m", b"x", ports.Version(0, 17))
        assert conflict == Failure(ports.StoreError.CONFLICT)
        cluster.store.faults.lose_answers = 1
        lost = await client.write(table, "m", b"x", None)
        assert lost == Failure(ports.StoreError.UNREACHABLE)
        assert cluster.store.row("cranberryglade-members", "m") == b"x"
        cluster.store.faults.refused_writes = 1
        busy = await client.write(table, "m", b"y", None)
        assert busy == Failure(ports.StoreError.REFUSED)
        cluster.store.discard_history()
        gone = await client.changes(table, ports.NO_VERSION, 0.1)
        assert gone == Failure(ports.StoreError.HISTORY_LOST)
        removed = await client.write(table, "m", None, None)
        assert isinstance(removed, Success)
        assert cluster.store.row("cranberryglade-members", "m") is None


async def test_endpoints_that_list_themselves_one_by_one_cost_few_calls():
    async with Cluster() as cluster:
        before = cluster.store.calls
        for number in range(20):
            cluster.store.put("servers", f"i-odd-{number}", b"{}")
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.2)
        assert cluster.store.calls - before <= 5


async def force_partial_mesh(cluster, monkeypatch):
    """Lowers the limits so that six instances form a partial mesh.

    Each then exchanges heartbeats with a few contacts only, as in a deployment
    of hundreds of instances.
    """
    monkeypatch.setattr(membership, "FULL_MESH_LIMIT", 2)
    monkeypatch.setattr(membership, "CONTACTS_PER_GROUP", 1)
    monkeypatch.setattr(membership, "MIN_CURRENT_CONTACTS", 1)
    for gateway in cluster.gateways:
        # They were chosen by the usual limits, and change with the members.
        gateway._mesh.members._contacts = None
    await gateway_cluster.wait_until(
        lambda: (
            sum(g._store_watcher.relies_on_peers for g in cluster.gateways) >= 4
        ),
        5.0,
    )


async def test_of_many_instances_only_the_contacts_follow_the_store(
    monkeypatch,
):
    # Load pattern: endpoints register one after the other, and every instance
    # would read each of them by a call of its own.
    monkeypatch.setattr(store_watch, "STARTUP_BATCH_SECONDS", 0.05)
    async with Cluster(gateways=6) as cluster:
        await force_partial_mesh(cluster, monkeypatch)
        cluster.store.put("servers", "i-wakes", b"{}")
        await asyncio.sleep(0.5)
        before = cluster.store.calls
        for number in range(20):
            cluster.store.put("servers", f"i-odd-{number}", b"{}")
            await asyncio.sleep(0.1)
        assert cluster.store.calls - before <= 2 * 20 + 10
        added = endpoint_standin.EndpointStandin("i-new")
        await added.start()
        cluster.runners.append(added)
        cluster.register_runner(added)
        cluster.configure(operator_configuration.a_config(9))
        await gateway_cluster.wait_until(
            lambda: versions(cluster) == [9] * 6, 1.0
        )
        await gateway_cluster.wait_until(
            lambda: all(
                "i-new" in g._state.endpoints for g in cluster.gateways
            ),
            1.5,
        )


@pytest.mark.parametrize("cut", [1, 2])
async def test_instances_follow_the_store_when_their_contacts_do_not(
    monkeypatch, cut
):
    # The first two in order of precedence are each other's only contact. When
    # they cannot read the store, the others must not rely on them for changes.
    monkeypatch.setattr(membership, "MAX_CONFIRMATION_AGE_SECONDS", 1.0)
    async with Cluster(gateways=6, revoke_seconds=5.0) as cluster:
        await force_partial_mesh(cluster, monkeypatch)
        first = next(g for g in cluster.gateways if g._mesh.members.is_contact)
        (second,) = first._mesh.members.contacts
        names = [first._settings.instance, second.name][:cut]
        for configured, gateway in zip(
            cluster.settings, cluster.gateways, strict=True
        ):
            if configured.instance in names:
                gateway._store_watcher._store = store.StoreClient("127.0.0.1:1")
        cluster.store.put("op", "other", b"wakes the feeds")
        cluster.configure(operator_configuration.a_config(9))
        await gateway_cluster.wait_until(
            lambda: versions(cluster) == [9] * 6, 4.0
        )
        await asyncio.sleep(5.2)
        ages = [
            g._state.confirmation_age()
            for g in cluster.gateways
            if not g._ready()
        ]
        assert ages == []
