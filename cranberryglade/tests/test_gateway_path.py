"""Requests through running gateways: relayed answers, retries, refusals."""

import asyncio
import itertools

import pytest

from cranberryglade.gateway import dialect
from cranberryglade.gateway import ports
from cranberryglade.gateway import usage_sync
from cranberryglade.platform import store
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster
Framing = dialect.Framing


async def test_a_request_and_its_answer_pass_unchanged():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        answer = await cluster.send_request(
            target="/pay/a%20b/?x=1&x=2",
            method="POST",
            body=b"some bytes",
            X_Colour="green",
        )
        assert answer.status == 200
        assert answer.body == b"body of some bytes"
        assert answer.headers["x-response-seal"] == "seal-of-i-0"
        (received,) = endpoint.received
        assert received.method == "POST"
        assert received.target == "/pay/a%20b/?x=1&x=2"
        assert received.body == b"some bytes"
        assert received.headers["x-colour"] == "green"
        assert received.headers["host"] == operator_configuration.HOST
        assert received.headers["x-expect-instance"] == "i-0"
        assert received.headers["x-tenant"] == "studio"
        assert 1500 < int(received.headers["x-deadline-ms"]) <= 2000
        assert "authorization" not in received.headers


async def test_headers_reserved_for_the_gateway_are_not_forwarded():
    forged = {
        "X_Hold": "h",
        "X_Pin_Ms": "5",
        "X_Kv_Backup": "10.0.0.1:1",
        "Kv_From": "10.0.0.1:1/x",
        "Kv_Fetch": "10.0.0.1:1",
        "X_Tenant": "other",
        "X_Expect_Instance": "i-9",
        "X_Expect_Version": "3",
        "Connection": "X-Colour",
        "X_Colour": "green",
    }
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        assert (await cluster.send_request(**forged)).status == 200
        (received,) = endpoint.received
        assert received.headers["x-tenant"] == "studio"
        assert received.headers["x-expect-instance"] == "i-0"
        forged_names = {n.lower().replace("_", "-") for n in forged}
        forwarded = forged_names & received.headers.keys()
        assert forwarded == {"x-tenant", "x-expect-instance"}


async def test_a_body_in_chunks_arrives_whole():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request(
            target="/pay/1", method="POST", Transfer_Encoding="chunked"
        )
        caller.send(b"4\r\nsome\r\n6\r\n bytes\r\n0\r\n\r\n")
        assert (await caller.answer()).body == b"body of some bytes"


async def test_pipelined_requests_are_answered_in_order():
    async with Cluster() as cluster:
        caller = await cluster.connect()
        for number in range(3):
            caller.request(
                method="POST",
                body=b"%d" % number,
                X_Attempt_Id=f"a-{number}",
            )
        for number in range(3):
            answer = await caller.answer()
            assert answer.body == b"body of %d" % number
            assert answer.headers["x-attempt-id"] == f"a-{number}"


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"target": "/nowhere/"}, 404),
        ({"Host": "elsewhere.test"}, 404),
        ({"Authorization": "Bearer nobody"}, 401),
        ({"Authorization": None}, 401),
        ({"Host": None}, 400),
    ],
)
async def test_unroutable_or_unauthorised_requests_are_rejected(fields, status):
    async with Cluster() as cluster:
        assert (await cluster.send_request(**fields)).status == status
        assert cluster.runners[0].received == []


@pytest.mark.parametrize("fault", ["reset", "truncate", "unsealed", "fail"])
async def test_an_idempotent_request_is_sent_again(fault):
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.script.append(getattr(endpoint, fault))
        first = await cluster.send_request()
        served = await cluster.send_request()
        assert {first.status, served.status} <= {200, 500, 502}
        sent = [len(endpoint.received) for endpoint in cluster.runners]
        assert sum(sent) >= 3
        assert max(sent) <= 2 or served.status == 200


async def test_lost_answer_of_an_idempotent_request_is_retried_elsewhere():
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.reset
        cluster.runners[1].default_behaviour = cluster.runners[1].succeed
        for number in range(4):
            answer = await cluster.send_request(X_Attempt_Id=f"a-{number}")
            assert answer.status == 200


@pytest.mark.parametrize("fault", ["reset", "truncate", "unsealed"])
async def test_a_once_only_request_is_never_sent_again(fault):
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = getattr(endpoint, fault)
        answer = await cluster.send_request(target="/pay/1", method="POST")
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        sent = sum(len(endpoint.received) for endpoint in cluster.runners)
        assert sent == 1


async def test_refused_once_only_request_is_retried_elsewhere():
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.script.append(endpoint.refuse)
        cluster.runners[1].script.clear()
        answers = [
            await cluster.send_request(target="/pay/1", X_Attempt_Id=f"a-{n}")
            for n in range(3)
        ]
        assert [answer.status for answer in answers] == [200] * 3
        ran = [a for endpoint in cluster.runners for a in endpoint.ran]
        assert sorted(ran) == ["a-0", "a-1", "a-2"]


async def test_refusal_has_status_503_and_retry_after():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.refuse
        answer = await cluster.send_request(target="/pay/1")
        assert answer.status == 503
        assert 0 < float(answer.headers["retry-after"]) < 5
        assert endpoint.ran == []


async def test_silent_endpoint_causes_504_within_the_deadline():
    config = operator_configuration.a_config()
    config["routes"][1]["timeout_ms"] = 400
    async with Cluster(config=config) as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.hang
        started = asyncio.get_running_loop().time()
        answer = await cluster.send_request(target="/pay/1")
        took_seconds = asyncio.get_running_loop().time() - started
        assert answer.status == 504
        assert took_seconds < 0.65
        await gateway_cluster.wait_until(
            lambda: endpoint.disconnected == ["a-1"]
        )


async def test_silent_endpoint_is_abandoned_for_another_one():
    config = operator_configuration.a_config()
    config["routes"][0]["target_latency_ms"] = 100
    async with Cluster(runners=2, config=config) as cluster:
        silent, other = cluster.runners
        silent.default_behaviour = silent.hang
        for number in range(2):
            answer = await cluster.send_request(X_Attempt_Id=f"a-{number}")
            assert answer.status == 200
        assert len(other.ran) == 2


async def test_unreachable_endpoint_causes_503_with_retry_after():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        await endpoint.stop()
        answer = await cluster.send_request(target="/pay/1")
        assert answer.status == 503
        assert "retry-after" in answer.headers


async def test_endpoint_with_another_id_does_not_run_the_request():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.id = "i-other"
        answer = await cluster.send_request(target="/pay/1")
        assert answer.status == 503
        assert endpoint.ran == []


async def test_late_answer_to_another_request_is_skipped():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.script.append(endpoint.unsolicited("a-stranger"))
        answer = await cluster.send_request()
        assert answer.body == b"its own"


async def test_answer_without_id_on_a_reused_connection_is_discarded():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        assert (await cluster.send_request(target="/pay/1")).status == 200
        endpoint.script.append(endpoint.unidentified)
        answer = await cluster.send_request(target="/pay/1", X_Attempt_Id="a-2")
        assert answer.status == 502


async def test_extra_bytes_after_an_answer_only_close_the_connection():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.script.append(endpoint.duplicate)
        assert (await cluster.send_request(X_Attempt_Id="a-1")).status == 200
        answer = await cluster.send_request(X_Attempt_Id="a-2")
        assert answer.status == 200
        assert answer.headers["x-attempt-id"] == "a-2"


async def test_unframed_answer_is_complete_when_the_connection_closes():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.script.append(endpoint.unframed)
        answer = await cluster.send_request()
        assert answer.body == b"unframed body"
        assert answer.whole


async def test_unframed_answer_that_is_reset_is_not_relayed():
    async with Cluster(runners=2) as cluster:
        broken, sound = cluster.runners
        broken.default_behaviour = broken.reset_unframed(3)
        sound.default_behaviour = sound.refuse
        answer = await cluster.send_request(target="/pay/1", method="POST")
        assert answer.status in (502, 503)
        assert (answer.status == 502) == bool(broken.ran)
        sound.default_behaviour = sound.succeed
        for number in range(4):
            answer = await cluster.send_request(X_Attempt_Id=f"a-{number}")
            assert answer.body == b"body of "


async def test_unframed_answer_cut_by_a_crash_is_not_relayed():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.crashing_between_events(1)
        answer = await cluster.send_request(target="/pay/1", method="POST")
        assert answer.status == 502
        assert len(endpoint.ran) == 1


async def test_unframed_answer_cut_by_a_crash_is_asked_for_elsewhere():
    async with Cluster(runners=2) as cluster:
        for endpoint, other in itertools.permutations(cluster.runners):
            endpoint.default_behaviour = crashing_once(
                endpoint, other, 1, endpoint.succeed
            )
        answer = await cluster.send_request()
        assert answer.body == b"body of "
        assert sum(endpoint.crashed for endpoint in cluster.runners) == 1


async def test_error_answer_of_an_endpoint_is_relayed_unchanged():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.fail
        answer = await cluster.send_request(target="/pay/1")
        assert answer.status == 500
        assert answer.body == b"failed"
        assert answer.headers["x-response-seal"] == "seal-of-i-0"


def crashing_once(endpoint, other, last, otherwise):
    """Returns the behaviour that crashes unless the other endpoint did."""

    async def behave(*received):
        crash = endpoint.crashing_between_events(last)
        await (otherwise if other.crashed else crash)(*received)

    return behave


async def receive_stream(behaviour):
    """Returns the answer to a request whose stream cannot be resumed.

    Args:
        behaviour: returns the behaviour of the only endpoint, given that.
    """
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.script.append(behaviour(endpoint))
        return await cluster.send_request(target="/note/1", method="POST")


async def test_stream_is_relayed_completely():
    answer = await receive_stream(lambda each: each.events(1, 5))
    assert answer.body == builders.make_events(1, 5)
    assert answer.whole


async def test_broken_stream_is_resumed_at_another_endpoint():
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.resuming(3, 6)
        answer = await cluster.send_request(target="/write/1", method="POST")
        assert answer.whole
        assert answer.body == builders.make_events(1, 6)
        sent = [r for e in cluster.runners for r in e.received]
        resumed = [r.headers.get("last-event-id") for r in sent]
        assert sorted(resumed, key=str) == ["3", None]


async def test_broken_stream_that_cannot_be_resumed_ends_incomplete():
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.events(1, 3, whole=False)
        answer = await cluster.send_request(target="/note/1", method="POST")
        assert answer.status == 200
        assert not answer.whole
        assert sum(len(e.received) for e in cluster.runners) == 1


async def test_a_stream_may_end_with_its_connection():
    answer = await receive_stream(
        lambda each: each.events(1, 5, framing=Framing.CONNECTION_CLOSE)
    )
    assert answer.whole
    assert answer.body == builders.make_events(1, 5)


async def test_stream_that_ends_inside_an_event_is_not_framed_as_complete():
    answer = await receive_stream(
        lambda each: each.events(1, 3, False, Framing.CONNECTION_CLOSE)
    )
    assert answer.status == 200
    assert not answer.whole
    assert answer.body == builders.make_events(1, 3)


async def test_unframed_stream_cut_by_a_crash_is_not_framed_as_complete():
    answer = await receive_stream(lambda each: each.crashing_between_events(1))
    assert answer.status == 200
    assert not answer.whole
    assert answer.body == builders.make_events(1, 1)


async def test_unframed_stream_cut_by_a_crash_is_resumed_elsewhere():
    async with Cluster(runners=2) as cluster:
        for endpoint, other in itertools.permutations(cluster.runners):
            endpoint.default_behaviour = crashing_once(
                endpoint, other, 3, endpoint.events(4, 6)
            )
        answer = await cluster.send_request(target="/write/1", method="POST")
        assert answer.whole
        assert answer.body == builders.make_events(1, 6)
        assert sum(endpoint.crashed for endpoint in cluster.runners) == 1


async def test_unframed_stream_of_an_endpoint_that_leaves_and_ends_is_whole():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.leaving = True
        endpoint.script.append(endpoint.crashing_between_events(3))
        answer = await cluster.send_request(target="/note/1", method="POST")
        assert answer.whole
        assert answer.body == builders.make_events(1, 3)


async def test_unframed_stream_without_events_is_not_framed_as_complete():
    answer = await receive_stream(
        lambda each: each.events(1, 0, framing=Framing.CONNECTION_CLOSE)
    )
    assert answer.status == 200
    assert not answer.whole


async def test_chunked_stream_without_events_is_complete():
    answer = await receive_stream(lambda each: each.events(1, 0))
    assert answer.whole
    assert answer.body == b""


async def test_chunked_stream_that_ends_inside_an_event_is_not_complete():
    answer = await receive_stream(lambda each: each.ended_within_event(3))
    assert answer.status == 200
    assert not answer.whole
    assert answer.body == builders.make_events(1, 3)


async def test_reset_stream_without_framing_is_not_framed_as_complete():
    answer = await receive_stream(lambda each: each.reset_unframed(3))
    assert answer.status == 200
    assert not answer.whole
    assert answer.body == builders.make_events(1, 3)


async def test_stream_without_framing_that_breaks_off_is_resumed_elsewhere():
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.resuming(
                3, 6, Framing.CONNECTION_CLOSE
            )
        answer = await cluster.send_request(target="/write/1", method="POST")
        assert answer.whole
        assert answer.body == builders.make_events(1, 6)
        sent = [r for e in cluster.runners for r in e.received]
        resumed = [r.headers.get("last-event-id") for r in sent]
        assert sorted(resumed, key=str) == ["3", None]


async def test_attempt_is_cancelled_when_the_caller_disconnects():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.hang
        caller = await cluster.connect()
        caller.request()
        await gateway_cluster.wait_until(lambda: endpoint.ran == ["a-1"])
        caller.close()
        await gateway_cluster.wait_until(
            lambda: endpoint.disconnected == ["a-1"], 0.5
        )
        assert len(endpoint.received) == 1


async def test_closed_idle_connection_does_not_fail_a_request():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        assert (await cluster.send_request(target="/pay/1")).status == 200
        for writer in list(endpoint._writers):
            writer.close()
        await asyncio.sleep(0.05)
        answer = await cluster.send_request(target="/pay/1", X_Attempt_Id="a-2")
        assert answer.status == 200
        assert endpoint.ran == ["a-1", "a-2"]


async def test_draining_endpoint_receives_no_new_requests():
    async with Cluster(runners=2) as cluster:
        leaving, staying = cluster.runners
        cluster.register_runner(leaving, state="draining")
        # The users require this within 2 s.
        state = cluster.gateways[0]._state
        await gateway_cluster.wait_until(
            lambda: state.endpoints["i-0"].leaving, 1.5
        )
        for number in range(4):
            await cluster.send_request(X_Attempt_Id=f"a-{number}")
        assert leaving.received == []
        assert len(staying.received) == 4


async def count_served(cluster, count) -> int:
    """Sends requests at two instances, which serve them or answer 429."""
    statuses = []
    for number in range(count):
        answer = await cluster.send_request(gateway=number % 2)
        statuses.append(answer.status)
        if answer.status == 429:
            assert float(answer.headers["retry-after"]) > 0
    assert statuses.count(200) + statuses.count(429) == count
    return statuses.count(200)


# Each request costs 10 tokens of a quota of 260 per window. The instances have
# run for about an eighth of the window.


async def test_requests_over_quota_get_429_with_retry_after():
    config = operator_configuration.a_config()
    config["tenants"][0] |= {"rate_per_s": 30, "burst": 20}
    async with Cluster(gateways=2, config=config) as cluster:
        await asyncio.sleep(0.7)
        # The store has no usage, so that half of the quota is free at once.
        assert 13 <= await count_served(cluster, 24) <= 16


async def test_quota_whose_earlier_usage_is_unreadable_is_granted_gradually():
    config = operator_configuration.a_config()
    config["tenants"][0] |= {"rate_per_s": 30, "burst": 20}
    cluster = Cluster(gateways=2, config=config)
    table = store.TABLES[ports.Table.USAGE]
    cluster.store.put(table, usage_sync.KEY, b"[[")
    async with cluster:
        await asyncio.sleep(0.7)
        # Earlier incarnations may have spent the rest.
        assert 1 <= await count_served(cluster, 12) <= 6


async def test_slots_are_not_exceeded_across_instances():
    async with Cluster(gateways=3) as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.hang
        callers = [await cluster.connect(n % 3) for n in range(9)]
        for number, caller in enumerate(callers):
            caller.request(X_Attempt_Id=f"a-{number}")
        await gateway_cluster.wait_until(lambda: len(endpoint.ran) == 4)
        await asyncio.sleep(0.2)
        assert len(endpoint.ran) == 4


async def test_requests_go_on_when_the_allocator_dies():
    async with Cluster(gateways=3) as cluster:
        name = cluster.gateways[0]._mesh.allocator
        index = [s.instance for s in cluster.settings].index(name)
        cluster.gateways[index].close()
        others = [n for n in range(3) if n != index]
        for number in range(6):
            answer = await cluster.send_request(gateway=others[number % 2])
            assert answer.status == 200


async def test_stopping_gateway_serves_requests_that_still_arrive():
    async with Cluster() as cluster:
        (gateway,) = cluster.gateways
        kept = await cluster.connect()
        kept.request(X_Attempt_Id="a-1")
        assert (await kept.answer()).status == 200
        gateway.stop()
        stopping = asyncio.create_task(gateway.drain())
        kept.request(X_Attempt_Id="a-2")
        answer = await kept.answer()
        assert answer.status == 200
        assert answer.headers["connection"] == "close"
        late = await cluster.send_request(X_Attempt_Id="a-3")
        assert late.status == 200
        await asyncio.wait_for(stopping, 6.0)
