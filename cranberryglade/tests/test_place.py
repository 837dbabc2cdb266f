"""Where a request would go, as `cranberryglade place` shows it."""

import asyncio
import json

from click import testing
import pytest

from cranberryglade.standins import operator_configuration as operator
from cranberryglade.tests import gateway_cluster
from cranberryglade.tools import commands


async def place(cluster, *arguments, number=0, host=operator.HOST, key="key-1"):
    """Runs the command against an instance; returns its result."""
    address = cluster.settings[number].ready_address
    path = ["/look/1"] if not arguments else list(arguments)
    runner = testing.CliRunner()
    command = ["place", host, *path, "--address", address, "--token", key]
    return await asyncio.to_thread(runner.invoke, commands.main, command)


async def test_endpoints_are_listed_by_cost_and_get_nothing():
    async with gateway_cluster.Cluster(gateways=1, runners=3) as cluster:
        result = await place(cluster, "/look/1", "--json")
        assert result.exit_code == 0, result.output
        placement = json.loads(result.stdout)
        (service,) = placement["services"]
        names = [each["endpoint"] for each in service["endpoints"]]
        assert placement["route"] == "look"
        assert placement["organisation"] == "studio"
        assert sorted(names) == ["i-0", "i-1", "i-2"]
        assert service["chosen"] == names[0]
        costs = [each["cost_ms"] for each in service["endpoints"]]
        assert costs == sorted(costs)
        assert {each["state"] for each in service["endpoints"]} == {"free"}
        text = await place(cluster)
        assert f"(100%): {names[0]}" in text.output
        assert cluster.gateways[0]._slots.lease_count == 0
        assert not any(each.received for each in cluster.runners)


@pytest.mark.parametrize(
    ("arguments", "changes", "problem"),
    [
        (["/nowhere"], {}, "no route for example.test/nowhere"),
        ([], {"host": "other.test"}, "no route for other.test/look/1"),
        ([], {"key": "key-9"}, "unknown key"),
        ([], {"key": ""}, "a key is required"),
        (["/look/1", "--instance", "gate-9"], {}, "unknown instance: gate-9"),
        ([], {"number": 1}, "gate-1 does not grant slots: ask gate-0"),
    ],
)
async def test_what_is_unknown_is_named(arguments, changes, problem):
    async with gateway_cluster.Cluster(gateways=2, runners=1) as cluster:
        gateway = cluster.gateways[0]
        await gateway_cluster.wait_until(
            lambda: cluster.gateways[1]._mesh.allocator == "gate-0", 2.0
        )
        assert gateway._mesh.allocator == "gate-0"
        result = await place(cluster, *arguments, **changes)
        assert result.exit_code == 1
        assert problem in result.output
