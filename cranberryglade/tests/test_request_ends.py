"""Places where a request that was read could end without its whole answer."""

import asyncio
import time

import pytest

from cranberryglade.gateway import allocation
from cranberryglade.gateway import attempts
from cranberryglade.gateway import forwarding
from cranberryglade.gateway import origin_sharing
from cranberryglade.gateway import sending
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

IDEMPOTENT = "/look/1"
RESUMABLE = "/write/1"


@pytest.mark.parametrize("count", [10, 100])
async def test_pipelined_requests_beside_a_change_are_all_answered(count):
    async with Cluster() as cluster:
        caller = await cluster.connect()
        for number in range(count):
            caller.request(X_Attempt_Id=f"a-{number}")
        await gateway_cluster.wait_until(lambda: cluster.runners[0].received)
        config = operator_configuration.a_config(
            2,
            limits={
                "max_header_bytes": 2048,
                "max_body_bytes": 100,
                "header_timeout_ms": 200,
                "idle_timeout_ms": 500,
            },
        )
        cluster.configure(config)
        statuses = [(await caller.answer()).status for _ in range(count)]
        assert statuses == [200] * count


@pytest.mark.parametrize("idle_seconds", [0.0, 0.8])
async def test_request_that_waits_while_the_process_stands_still_is_answered(
    idle_seconds,
):
    # The time to read it and that of the idle connection are both over.
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request(X_Attempt_Id="a-1")
        assert (await caller.answer()).status == 200
        await asyncio.sleep(idle_seconds)
        caller.request(X_Attempt_Id="a-2", method="POST", body=b"x" * 5000)
        time.sleep(1.2)
        # Also refused, as its process may be out of date.
        assert (await caller.answer()).status in (200, 503)


BOTH = (IDEMPOTENT, RESUMABLE)

RAISING = [
    (owner, name, target)
    for owner, name, targets in (
        (origin_sharing.OriginSharing, "find", (RESUMABLE,)),
        (allocation.SharedAllocator, "acquire", BOTH),
        (attempts.Attempts, "_find_denial", BOTH),
        (sending.Sender, "send", BOTH),
        (sending.Sender, "_take_channel", BOTH),
        (sending.Sender, "_read_answer", BOTH),
        (forwarding.Forwarder, "_relay_served", (IDEMPOTENT,)),
    )
    for target in targets
]


@pytest.mark.parametrize(
    ("owner", "name", "target"),
    RAISING,
    ids=[name + target for _, name, target in RAISING],
)
async def test_request_has_one_answer_whatever_raises(
    owner, name, target, monkeypatch
):
    async with Cluster() as cluster:

        async def fail(*_):
            raise ValueError("unforeseen")

        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.events(4, 6)
        if target == IDEMPOTENT:
            endpoint.default_behaviour = endpoint.succeed
        fields = {"target": target, "method": "POST", "Last_Event_Id": "3"}
        caller = await cluster.connect()
        with monkeypatch.context() as patched:
            patched.setattr(owner, name, fail)
            caller.request(**fields)
            answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert (answer.status, answer.whole) == (502, True)
        caller.request(X_Attempt_Id="a-2", **fields)
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert (answer.status, answer.whole) == (200, True)
        (gateway,) = cluster.gateways
        await gateway_cluster.wait_until(lambda: not gateway._slots.lease_count)
