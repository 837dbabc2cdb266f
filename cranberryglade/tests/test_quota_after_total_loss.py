"""Quotas hold when all instances are killed while an organisation presses."""

import asyncio

from cranberryglade.gateway import allocation
from cranberryglade.gateway import ports
from cranberryglade.gateway import shared_row
from cranberryglade.gateway import usage_sync
from cranberryglade.platform import store
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

WINDOW_SECONDS = 4.0
RATE = 40.0
QUOTA = RATE * WINDOW_SECONDS
OVERRUN = 0.1
GATEWAYS = 3


def make_cluster() -> Cluster:
    config = operator_configuration.a_config()
    config["tenants"].append(
        operator_configuration.second_organisation(True, RATE, 0.0)
    )
    return Cluster(
        gateways=GATEWAYS,
        runners=2,
        config=config,
        quota_window_seconds=WINDOW_SECONDS,
    )


def latest_gateways(cluster) -> range:
    """Returns the numbers of the gateways that were started last."""
    return range(len(cluster.gateways) - GATEWAYS, len(cluster.gateways))


async def press(cluster, count) -> int:
    """Sends requests of an organisation; returns how many were served."""
    served = 0
    gateways = latest_gateways(cluster)
    for number in range(count):
        answer = await cluster.send_request(
            gateways[number % GATEWAYS],
            target="/look/1",
            X_Attempt_Id=f"{len(cluster.gateways)}-{number}",
            Authorization=f"Bearer {operator_configuration.SECOND_KEY}",
        )
        assert answer.status in (200, 429)
        served += answer.status == 200
    return served


async def restart_all(cluster) -> None:
    """Kills all gateways, and starts them again at once."""
    for gateway in cluster.gateways:
        gateway.close()
    for number in range(GATEWAYS):
        await cluster.add_gateway(f"gate-{number}")
    new = cluster.gateways[-GATEWAYS:]
    await gateway_cluster.wait_until(
        lambda: all(gateway.is_ready(2, 0) for gateway in new)
    )


async def test_quota_that_was_spent_before_all_were_killed_stays_spent():
    async with make_cluster() as cluster:
        await asyncio.sleep(WINDOW_SECONDS)
        before = await press(cluster, int(1.2 * QUOTA))
        assert before > 0.9 * QUOTA
        await asyncio.sleep(0.7)
        await restart_all(cluster)
        again = 0
        began = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < began + 1.5:
            again += await press(cluster, 6)
            await asyncio.sleep(0.05)
        assert before + again <= QUOTA * (1 + OVERRUN)


async def test_quota_that_was_not_spent_is_granted_after_all_were_killed():
    async with make_cluster() as cluster:
        await asyncio.sleep(0.6)
        await restart_all(cluster)
        assert await press(cluster, 20) == 20


async def test_an_allocator_that_stops_stores_usage_last(monkeypatch):
    # All that start after it know by that what was used since the last time.
    async with make_cluster() as cluster:
        await asyncio.sleep(allocation.TAKEOVER_SECONDS + 0.1)
        monkeypatch.setattr(shared_row, "WRITE_SECONDS", 60.0)
        await asyncio.sleep(0.6)
        assert await press(cluster, int(0.6 * QUOTA)) > 0.4 * QUOTA
        table = store.TABLES[ports.Table.USAGE]
        assert b"shop" not in (cluster.store.row(table, usage_sync.KEY) or b"")
        (allocator,) = [
            each for each in cluster.gateways if each._allocator.is_allocating
        ]
        allocator.stop()
        await gateway_cluster.wait_until(
            lambda: b"shop" in cluster.store.row(table, usage_sync.KEY), 1.0
        )


async def test_usage_in_the_store_is_removed_when_it_is_over():
    async with make_cluster() as cluster:
        await asyncio.sleep(WINDOW_SECONDS)
        await press(cluster, int(QUOTA))

        def stored():
            table = store.TABLES[ports.Table.USAGE]
            return cluster.store.row(table, usage_sync.KEY) or b""

        await gateway_cluster.wait_until(lambda: b"shop" in stored())
        cluster.store.take_copy()
        await gateway_cluster.wait_until(
            lambda: stored() == b"[]", 2 * WINDOW_SECONDS
        )
        # Also when the store comes back from an old copy.
        cluster.store.restore_copy()
        assert b"shop" in stored()
        await gateway_cluster.wait_until(lambda: stored() == b"[]")
