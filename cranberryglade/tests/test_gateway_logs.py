"""Log line and metrics of the end of a request; API keys are not logged."""

import asyncio

import pytest
import structlog

from cranberryglade.gateway import charges
from cranberryglade.gateway import forwarding
from cranberryglade.gateway import quarantine_sync
from cranberryglade.gateway import quotas
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_builders
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster
ENDINGS = [
    ({}, "succeed", "served"),
    ({"target": "/pay/1"}, "reset", "closed"),
    ({"target": "/pay/1"}, "refuse", "no_endpoint"),
    ({"target": "/pay/1"}, "fail", "failed"),
    ({"target": "/pay/1"}, "unsealed", "no stamp, 200"),
    ({"target": "/nowhere/"}, "succeed", "no_route"),
    ({"Authorization": "Bearer secret-stranger"}, "succeed", "unknown_key"),
]


@pytest.mark.parametrize(("fields", "fault", "reason"), ENDINGS)
async def test_each_request_logs_one_final_line(fields, fault, reason):
    with structlog.testing.capture_logs() as lines:
        async with Cluster() as cluster:
            (endpoint,) = cluster.runners
            endpoint.default_behaviour = getattr(endpoint, fault)
            answer = await cluster.send_request(**fields)
    ends = [
        line
        for line in lines
        if line["event"] in ("request.ended", "request.rejected")
    ]
    (end,) = ends
    assert end["id"] == "a-1"
    assert end["status"] == answer.status
    assert end["reason"] == reason
    assert end["version"] == 1
    assert "age_s" in end
    assert operator_configuration.KEY not in str(lines)
    assert "secret-stranger" not in str(lines)


async def exceed_quota() -> list[dict]:
    """Sends more than a quota allows; returns the lines on refusals."""
    config = operator_configuration.a_config()
    config["tenants"][0] |= {"rate_per_s": 1, "burst": 2}
    with structlog.testing.capture_logs() as lines:
        async with Cluster(config=config) as cluster:
            for number in range(8):
                await cluster.send_request(X_Attempt_Id=f"a-{number}")
    denials = [line for line in lines if line["event"] == "quota.exceeded"]
    assert denials
    return denials


async def test_a_request_over_quota_logs_usage_and_limit():
    denials = await exceed_quota()
    for line in denials:
        assert line["organisation"] == "studio"
        assert line["used"] + line["cost"] > line["limit"] / 2


async def test_a_request_over_quota_logs_the_share_that_decided_it():
    denials = await exceed_quota()
    for line in denials:
        assert line["used"] + line["cost"] > line["share"] * line["limit"]
        assert line["instances"] == line["reporters"] == 1
        assert line["young_reporters"] == 1
        assert 0 < line["youngest_s"] < 8
        assert line["allocating_s"] >= 0
        assert line["stored_usage"] is True


def test_a_request_refused_without_an_allocator_logs_its_own_share():
    organisation = gateway_builders.make_organisation(rate=1.0, burst=0.0)
    tolerance = quotas.OverrunTolerance(8.0, 0.0, 0.0)
    charging = charges.Charges(
        quotas.Quotas(lambda name: organisation, tolerance),
        quotas.Quotas(lambda name: organisation, tolerance),
    )
    request = gateway_builders.make_slot_request(
        organisation="studio", cost=1.0
    )
    assert charging.charge_isolated(request, 8, 1.0) > 0
    fields = charging.isolated_log_fields(request, 8, 1.0)
    assert fields["used"] + fields["cost"] > fields["share"] * fields["limit"]
    assert fields["isolated"]
    assert fields["instances"] == 8


async def test_disconnects_and_timeouts_log_one_final_line():
    config = operator_configuration.a_config()
    config["routes"][1]["timeout_ms"] = 300
    with structlog.testing.capture_logs() as lines:
        async with Cluster(config=config) as cluster:
            (endpoint,) = cluster.runners
            endpoint.default_behaviour = endpoint.hang
            await cluster.send_request(target="/pay/1")
            caller = await cluster.connect()
            caller.request(X_Attempt_Id="a-2")
            await gateway_cluster.wait_until(lambda: "a-2" in endpoint.ran)
            caller.close()
            await asyncio.sleep(0.1)
    reasons = {
        line["id"]: line["reason"]
        for line in lines
        if line["event"] == "request.ended"
    }
    assert reasons == {"a-1": "timeout", "a-2": "caller_gone"}


async def test_the_end_of_a_stream_logs_its_framing_and_incomplete_event():
    with structlog.testing.capture_logs() as lines:
        async with Cluster() as cluster:
            (endpoint,) = cluster.runners
            endpoint.script.append(endpoint.events(1, 2, whole=False))
            endpoint.script.append(endpoint.events(1, 3))
            await cluster.send_request(target="/note/1", X_Attempt_Id="a-1")
            await cluster.send_request(target="/note/1", X_Attempt_Id="a-2")
    logged = {
        (line["event"], line["id"]): line for line in lines if "framing" in line
    }
    assert logged.keys() == {
        ("attempt.ended", "a-1"),
        ("request.ended", "a-1"),
        ("request.ended", "a-2"),
    }
    assert {line["framing"] for line in logged.values()} == {"chunked"}
    broken = logged["attempt.ended", "a-1"]
    assert broken["last_event"] == "2"
    assert broken["incomplete_event_bytes"] == 5
    whole = logged["request.ended", "a-2"]
    assert whole["last_event"] == "3"
    assert whole["incomplete_event_bytes"] == 0


async def test_lines_name_software_versions_and_the_resumed_attempt():
    with structlog.testing.capture_logs() as lines:
        async with Cluster() as cluster:
            (endpoint,) = cluster.runners
            endpoint.script.append(endpoint.events(3, 4))
            await cluster.send_request(
                target="/write/1", Last_Event_Id="2", Resumes="a-0"
            )
    (listed,) = [e for e in lines if e["event"] == "endpoint.listed"]
    assert listed["software_version"] == "v1"
    (end,) = [line for line in lines if line["event"] == "request.ended"]
    assert end["software_versions"] == ["v1"]
    assert end["resumed_attempt"] == "a-0"
    assert end["resumed_after"] == "2"


async def test_metrics_count_finished_requests():
    async with Cluster() as cluster:
        await cluster.send_request()
        text = cluster.gateways[0]._state.metrics.text().decode()
        assert 'cranberryglade_requests_total{reason="served"} 1.0' in text
        assert "cranberryglade_request_seconds_bucket" in text
        assert "cranberryglade_endpoints 1.0" in text
        assert "cranberryglade_allocating 1.0" in text
        assert "cranberryglade_configuration_version 1.0" in text


async def test_a_lost_attempt_logs_its_prompt_parts_and_the_reason():
    with structlog.testing.capture_logs() as lines:
        async with Cluster() as cluster:
            (endpoint,) = cluster.runners
            endpoint.script.append(endpoint.truncate)
            await cluster.send_request(
                target="/pay/1", X_Prompt_Prefix="a0:60,b1:900,c2:30"
            )
    (ended,) = [line for line in lines if line["event"] == "attempt.ended"]
    assert ended["prompt_parts"] == ("a0", "b1")
    assert ended["reason"] == "answer closed"


async def test_a_background_task_that_fails_is_logged(monkeypatch):
    starts = []
    run = quarantine_sync.QuarantineSync.run

    async def fail_once(self):
        starts.append(self)
        if len(starts) == 1:
            raise RuntimeError("broken")
        await run(self)

    monkeypatch.setattr(quarantine_sync.QuarantineSync, "run", fail_once)
    with structlog.testing.capture_logs() as lines:
        async with Cluster() as cluster:
            await cluster.send_request()
            await gateway_cluster.wait_until(lambda: len(starts) == 2)
    (failed,) = [line for line in lines if line["event"] == "task.failed"]
    assert str(failed["exc_info"]) == "broken"
    assert failed["log_level"] == "error"


async def test_a_request_that_meets_an_unexpected_error_is_answered(
    monkeypatch,
):
    with structlog.testing.capture_logs() as lines:
        async with Cluster() as cluster:
            (gateway,) = cluster.gateways

            async def fail(allocator, slot_request):
                raise KeyError("unexpected")

            monkeypatch.setattr(type(gateway._allocator), "acquire", fail)
            caller = await cluster.connect()
            for number in range(2):
                caller.request(X_Attempt_Id=f"a-{number}")
                answer = await caller.answer()
                assert (answer.status, answer.whole) == (502, True)
    faults = [line for line in lines if line["event"] == "request.fault"]
    assert len(faults) == 2


async def test_an_error_after_an_answer_leaves_the_next_request_alone(
    monkeypatch,
):
    log_end = forwarding.Forwarder._log_end

    def fail_once(forwarder, exchange, ended):
        monkeypatch.setattr(forwarding.Forwarder, "_log_end", log_end)
        raise KeyError("unexpected")

    async with Cluster() as cluster:
        (endpoint,) = cluster.runners

        async def succeed_late(received, reader, writer):
            await asyncio.sleep(0.1)
            await endpoint.succeed(received, reader, writer)

        endpoint.default_behaviour = succeed_late
        monkeypatch.setattr(forwarding.Forwarder, "_log_end", fail_once)
        caller = await cluster.connect()
        for number in range(2):
            caller.request(X_Attempt_Id=f"a-{number}")
        answers = [await caller.answer() for _ in range(2)]
        assert [answer.status for answer in answers] == [200, 200]
