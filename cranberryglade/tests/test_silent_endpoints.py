"""Endpoints that fall silent for a while and go on, or never do."""

import asyncio
import itertools

import pytest
import structlog

from cranberryglade.gateway import outbound
from cranberryglade.tests import cut_off_gateways
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

SILENCE_SECONDS = 1.9
"""How long an endpoint is silent before it goes on; far longer than the
configuration allows between two events, or until an answer."""

CALLER_GAP_SECONDS = 2.0
"""The users' bound: callers leave a stream of these routes after it, also
before its first event."""

STOP_SECONDS = 0.5
"""The users' bound on the work of an abandoned attempt."""

IDEMPOTENT = "/look/1"
ONCE = "/pay/1"
RESUMABLE = "/write/1"
STREAM = "/note/1"


async def occupy_one(cluster):
    """Fills an endpoint with a request that stays there.

    Returns:
        The endpoint that is full, the other one, and the caller that occupies
        the first.
    """
    for endpoint in cluster.runners:
        cluster.register_runner(endpoint, slots=1)
    await cluster.wait_for_endpoints(
        lambda listed: all(each.slots == 1 for each in listed.values())
    )
    for endpoint in cluster.runners:
        endpoint.default_behaviour = endpoint.hang
    caller = await cluster.connect()
    caller.request(target=ONCE, X_Attempt_Id="occupying")
    await gateway_cluster.wait_until(
        lambda: any(endpoint.ran for endpoint in cluster.runners)
    )
    free, full = sorted(cluster.runners, key=lambda each: len(each.ran))
    return full, free, caller


def begin_silently(cluster, silence=60.0):
    """Lets the first endpoint that is asked fall silent within its stream.

    Returns:
        That endpoint, once it was asked, and the others.
    """
    for endpoint in cluster.runners:
        endpoint.default_behaviour = endpoint.silent_within(3, 6, silence)

    def find():
        first = next(each for each in cluster.runners if each.ran)
        return first, [each for each in cluster.runners if each is not first]

    return find


async def begin_stream(cluster):
    """Sends a request for a stream; returns its caller once it runs."""
    caller = await cluster.connect()
    caller.request(target=RESUMABLE, method="POST")
    await gateway_cluster.wait_until(
        lambda: any(each.ran for each in cluster.runners)
    )
    return caller


def leases(cluster) -> int:
    return sum(gateway._slots.lease_count for gateway in cluster.gateways)


def sent_to(endpoint) -> list[str]:
    return [received.request_id for received in endpoint.received]


async def test_stream_of_a_silent_endpoint_goes_on_when_no_other_has_a_slot():
    async with Cluster(
        runners=2, config=builders.make_short_gap_config()
    ) as cluster:
        full, free, _ = await occupy_one(cluster)
        free.script.append(free.silent_within(3, 6, SILENCE_SECONDS))
        answer = await cluster.send_request(target=RESUMABLE, method="POST")
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole
        assert sent_to(full) == ["occupying"]


@pytest.mark.parametrize("runners", [1, 3])
@pytest.mark.parametrize("failure", ["full", "pausing too"])
async def test_pausing_stream_is_not_torn_behind_another_gateway(
    runners, failure
):
    config = builders.make_short_gap_config(gap_aim_ms=400)
    async with Cluster(2, runners, config) as cluster:
        let_fail_late(cluster, 1.9, failure)
        cut = cut_off_gateways.Cut.REFUSED
        cut_off_gateways.cut_off(cluster.gateways[0], cut)
        answer = await cluster.send_request(0, target=RESUMABLE, method="POST")
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole


async def test_stream_of_a_silent_endpoint_goes_on_without_retry_budget():
    async with Cluster(
        runners=2,
        config=builders.make_short_gap_config(),
        retry_ratio=0.0,
        retry_slack=0.0,
    ) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.silent_within(
                3, 6, SILENCE_SECONDS
            )
        answer = await cluster.send_request(target=RESUMABLE, method="POST")
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole
        assert sum(len(each.received) for each in cluster.runners) == 1


@pytest.mark.parametrize("target", [IDEMPOTENT, RESUMABLE])
async def test_late_first_answer_is_relayed_when_no_other_has_a_slot(target):
    async with Cluster(
        runners=2, config=builders.make_short_gap_config()
    ) as cluster:
        full, free, _ = await occupy_one(cluster)
        answering = free.succeed if target == IDEMPOTENT else free.events(1, 3)
        free.script.append(free.silent_first(SILENCE_SECONDS, answering))
        answer = await cluster.send_request(target=target)
        assert answer.status == 200
        assert answer.whole
        assert sent_to(full) == ["occupying"]


@pytest.mark.parametrize("target", [IDEMPOTENT, RESUMABLE])
async def test_late_first_answer_is_relayed_without_retry_budget(target):
    async with Cluster(
        runners=2,
        config=builders.make_short_gap_config(),
        retry_ratio=0.0,
        retry_slack=0.0,
    ) as cluster:
        for endpoint in cluster.runners:
            answering = (
                endpoint.succeed
                if target == IDEMPOTENT
                else endpoint.events(1, 3)
            )
            endpoint.default_behaviour = endpoint.silent_first(
                SILENCE_SECONDS, answering
            )
        answer = await cluster.send_request(target=target)
        assert answer.status == 200
        assert answer.whole
        assert sum(len(each.received) for each in cluster.runners) == 1


async def test_stalled_stream_goes_on_elsewhere_and_its_endpoint_stops():
    async with Cluster(
        runners=2, config=builders.make_short_gap_config()
    ) as cluster:
        find = begin_silently(cluster)
        started = asyncio.get_running_loop().time()
        answer = await cluster.send_request(target=RESUMABLE, method="POST")
        took_seconds = asyncio.get_running_loop().time() - started
        assert took_seconds < CALLER_GAP_SECONDS
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole
        stalled, (other,) = find()
        await gateway_cluster.wait_until(
            lambda: stalled.disconnected == ["a-1"], STOP_SECONDS
        )
        (resumed,) = other.received
        assert resumed.headers["last-event-id"] == "3"
        await gateway_cluster.wait_until(lambda: leases(cluster) == 0)


@pytest.mark.parametrize("target", [IDEMPOTENT, RESUMABLE])
async def test_late_first_answer_is_replaced_when_another_has_a_slot(target):
    async with Cluster(
        runners=2, config=builders.make_short_gap_config()
    ) as cluster:
        first, second = cluster.runners
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.hang
        caller = await cluster.connect()
        caller.request(target=target)
        await gateway_cluster.wait_until(lambda: first.ran or second.ran)
        stalled, other = (first, second) if first.ran else (second, first)
        other.default_behaviour = other.serve_by_target
        answer = await asyncio.wait_for(caller.answer(), CALLER_GAP_SECONDS)
        assert answer.whole
        await gateway_cluster.wait_until(
            lambda: stalled.disconnected == ["a-1"], STOP_SECONDS
        )
        await gateway_cluster.wait_until(lambda: leases(cluster) == 0)


@pytest.mark.parametrize("reply", ["refuse", "fail", "succeed"])
async def test_stream_goes_on_when_the_other_endpoint_cannot_replace_it(reply):
    # It refuses, answers with an error, or with something that is no stream.
    async with Cluster(
        runners=2, config=builders.make_short_gap_config()
    ) as cluster:
        find = begin_silently(cluster, SILENCE_SECONDS)
        caller = await begin_stream(cluster)
        first, (other,) = find()
        other.default_behaviour = getattr(other, reply)
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole
        assert sent_to(other) == ["a-1"]
        assert first.disconnected == []


LATE_SECONDS = 0.3
"""How long an endpoint keeps a request before it fails; longer than two
attempts may overlap."""

LATE_FAILURES = {
    "full": lambda each: each.silent_first(LATE_SECONDS, each.refuse),
    "reset": lambda each: each.silent_first(LATE_SECONDS, each.reset),
    "failed": lambda each: each.silent_first(LATE_SECONDS, each.fail),
    "reused address": lambda each: each.silent_first(
        LATE_SECONDS, each.misdirect
    ),
    "torn": lambda each: each.silent_first(
        LATE_SECONDS, each.events(1, 0, whole=False)
    ),
    "torn at once": lambda each: each.events(1, 0, whole=False),
    "pausing too": lambda each: each.silent_first(2.5, each.reset),
}
"""How endpoints fail that were asked for the rest of a stream."""


def let_fail_late(cluster, pause_seconds, failure):
    """Lets streams pause once, and endpoints fail that are asked for the rest.

    Args:
        cluster: whose endpoints.
        pause_seconds: how long the pause lasts.
        failure: names how they fail.
    """
    for endpoint in cluster.runners:
        begin = endpoint.silent_within(3, 6, pause_seconds)
        fail = LATE_FAILURES[failure](endpoint)

        async def behave(received, reader, writer, begin=begin, fail=fail):
            resumes = "last-event-id" in received.headers
            await (fail if resumes else begin)(received, reader, writer)

        endpoint.default_behaviour = behave


@pytest.mark.parametrize(
    ("gap_aim_ms", "pause_seconds"), [(100, 1.6), (400, 1.9)]
)
@pytest.mark.parametrize(
    ("max_attempts", "failure"),
    [(1, "full"), *itertools.product([2, 3], LATE_FAILURES)],
)
async def test_pausing_stream_is_not_torn_when_the_others_fail_late(
    max_attempts, failure, gap_aim_ms, pause_seconds
):
    config = builders.make_short_gap_config(
        max_attempts=max_attempts, gap_aim_ms=gap_aim_ms
    )
    async with Cluster(runners=3, config=config) as cluster:
        let_fail_late(cluster, pause_seconds, failure)
        answer = await cluster.send_request(target=RESUMABLE, method="POST")
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole
        await gateway_cluster.wait_until(lambda: leases(cluster) == 0)


@pytest.mark.parametrize("target", [IDEMPOTENT, RESUMABLE])
@pytest.mark.parametrize("max_attempts", [2, 3])
@pytest.mark.parametrize(
    "failure", ["full", "reset", "failed", "reused address", "pausing too"]
)
async def test_late_first_answer_is_not_lost_when_the_others_fail_late(
    target, max_attempts, failure
):
    config = builders.make_short_gap_config(
        max_attempts=max_attempts, gap_aim_ms=400
    )
    async with Cluster(runners=3, config=config) as cluster:
        for endpoint in cluster.runners:
            begin = endpoint.silent_first(1.9, endpoint.serve_by_target)
            fail = LATE_FAILURES[failure](endpoint)

            async def behave(received, reader, writer, begin=begin, fail=fail):
                asked = sum(len(each.received) for each in cluster.runners)
                await (begin if asked == 1 else fail)(received, reader, writer)

            endpoint.default_behaviour = behave
        answer = await cluster.send_request(target=target)
        assert answer.status == 200
        assert answer.whole


async def test_other_endpoint_goes_on_when_the_silent_one_sends_no_events():
    async with Cluster(
        runners=2, config=builders.make_short_gap_config()
    ) as cluster:
        find = begin_silently(cluster)
        caller = await begin_stream(cluster)
        first, (other,) = find()
        other.default_behaviour = other.silent_first(0.1, other.events(4, 6))
        await gateway_cluster.wait_until(lambda: other.received)
        # A line that is no field of an event.
        first.event_text = "piece\noh no"
        first.silence_over.set()
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole


async def test_endpoint_that_goes_on_first_is_kept_and_the_other_one_stops():
    # The pause ends between the sending of the replacement and its answer.
    async with Cluster(
        runners=2, config=builders.make_short_gap_config()
    ) as cluster:
        find = begin_silently(cluster)
        caller = await begin_stream(cluster)
        first, (other,) = find()
        other.default_behaviour = other.hang
        await gateway_cluster.wait_until(lambda: other.ran)
        first.silence_over.set()
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole
        assert first.disconnected == []
        await gateway_cluster.wait_until(
            lambda: other.disconnected == sent_to(other) == ["a-1"],
            STOP_SECONDS,
        )
        await gateway_cluster.wait_until(lambda: leases(cluster) == 0)


SILENT_AFTER = [None, 0, 3, 6]
"""Events of the first endpoint before it falls silent; None for no head."""


async def go_on_in_time(silent_after, other_behaviour, done):
    """Returns the answer if the first endpoint goes on in the overlap.

    Args:
        silent_after: as in SILENT_AFTER.
        other_behaviour: returns what the other endpoint sends, given that one.
        done: returns whether the other endpoint has done so, given that one.
    """
    async with Cluster(
        runners=2, config=builders.make_short_gap_config()
    ) as cluster:
        for endpoint in cluster.runners:
            if silent_after is None:
                begin = endpoint.silent_first(60.0, endpoint.events(1, 6))
            else:
                begin = endpoint.silent_within(silent_after, 6, 60.0)
            endpoint.default_behaviour = begin
        caller = await cluster.connect()
        caller.request(target=RESUMABLE, method="POST")
        await gateway_cluster.wait_until(
            lambda: any(each.received for each in cluster.runners)
        )
        first, other = sorted(
            cluster.runners, key=lambda each: not each.received
        )
        other.default_behaviour = other_behaviour(other)
        await gateway_cluster.wait_until(lambda: done(other))
        # Its answer arrives at the gateway.
        await asyncio.sleep(0.05)
        first.silence_over.set()
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert first.disconnected == []
        assert len(other.received) == 1
        await gateway_cluster.wait_until(lambda: leases(cluster) == 0)
        return answer


@pytest.mark.parametrize("silent_after", SILENT_AFTER)
async def test_silent_endpoint_is_kept_while_the_other_sends_only_a_head(
    silent_after,
):
    answer = await go_on_in_time(
        silent_after, lambda other: other.head_only, lambda other: other.ran
    )
    assert answer.body == builders.make_events(1, 6)
    assert answer.whole


@pytest.mark.parametrize("silent_after", SILENT_AFTER)
async def test_silent_endpoint_is_kept_when_the_other_one_ends_without_events(
    silent_after,
):
    # It closes behind its head, and does not say that nothing was left.
    answer = await go_on_in_time(
        silent_after,
        lambda other: other.events(1, 0, whole=False),
        lambda other: other.ran,
    )
    assert answer.body == builders.make_events(1, 6)
    assert answer.whole


async def test_silence_behind_the_last_event_ends_when_nothing_was_left():
    async with Cluster(
        runners=2, config=builders.make_short_gap_config()
    ) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.silent_within(6, 6, 60.0)
        started = asyncio.get_running_loop().time()
        answer = await cluster.send_request(target=RESUMABLE, method="POST")
        took_seconds = asyncio.get_running_loop().time() - started
        assert took_seconds < CALLER_GAP_SECONDS
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole
        await gateway_cluster.wait_until(lambda: leases(cluster) == 0)


async def test_attempt_that_was_never_sent_uses_nothing_up(monkeypatch):
    # The pause ends while the replacement connects; later the stream breaks.
    held = asyncio.Event()
    connecting = asyncio.Event()
    connect = outbound.Pool.connect

    async def connect_unless_held(pool, seconds):
        if not held.is_set():
            return await connect(pool, seconds)
        connecting.set()
        await asyncio.sleep(seconds)
        raise TimeoutError

    monkeypatch.setattr(outbound.Pool, "connect", connect_unless_held)
    async with Cluster(
        runners=2, config=builders.make_short_gap_config(max_attempts=2)
    ) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.silent_within(
                3, 6, 60.0, lost_after=4
            )
        caller = await begin_stream(cluster)
        first, other = sorted(cluster.runners, key=lambda each: not each.ran)
        held.set()
        await asyncio.wait_for(connecting.wait(), 2.0)
        held.clear()
        first.silence_over.set()
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole
        (resumed,) = other.received
        assert resumed.headers["last-event-id"] == "4"


async def test_third_endpoint_goes_on_when_the_second_one_sends_no_stream():
    # The first stalls; the second does, too, until the third is asked.
    async with Cluster(
        runners=3, config=builders.make_short_gap_config(max_attempts=3)
    ) as cluster:
        find = begin_silently(cluster)
        caller = await begin_stream(cluster)
        _, others = find()
        for endpoint in others:
            endpoint.default_behaviour = endpoint.silent_first(
                60.0, endpoint.succeed
            )
        await gateway_cluster.wait_until(
            lambda: any(each.received for each in others)
        )
        second, third = sorted(others, key=lambda each: not each.received)
        third.default_behaviour = third.silent_first(0.15, third.events(4, 6))
        await gateway_cluster.wait_until(lambda: third.received)
        second.silence_over.set()
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole


@pytest.mark.parametrize("target", [ONCE, STREAM])
async def test_silent_request_that_may_run_once_is_waited_for(target):
    async with Cluster(
        runners=2, config=builders.make_short_gap_config()
    ) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.silent_first(
                SILENCE_SECONDS, endpoint.serve_by_target
            )
        answer = await cluster.send_request(target=target, method="POST")
        assert answer.status == 200
        assert answer.whole
        assert sum(len(each.received) for each in cluster.runners) == 1


async def test_broken_stream_waits_for_a_slot_when_all_endpoints_are_full():
    async with Cluster(
        runners=2, config=builders.make_short_gap_config()
    ) as cluster:
        full, free, occupying = await occupy_one(cluster)
        free.script.append(free.resuming(3, 6))
        full.script.append(full.resuming(3, 6))
        caller = await cluster.connect()
        caller.request(target=RESUMABLE, method="POST")
        await gateway_cluster.wait_until(lambda: free.ran)
        # Its target time is over, and more than the longest wait for a slot.
        await asyncio.sleep(0.8)
        occupying.close()
        answer = await asyncio.wait_for(caller.answer(), 3.0)
        assert answer.body == builders.make_events(1, 6)
        assert answer.whole


async def test_torn_answer_logs_its_silence_versions_and_refusal():
    config = builders.make_short_gap_config(timeout_ms=2600)
    with structlog.testing.capture_logs() as lines:
        async with Cluster(
            runners=2, config=config, retry_ratio=0.0, retry_slack=0.0
        ) as cluster:
            begin_silently(cluster)
            caller = await cluster.connect()
            caller.request(target=RESUMABLE, method="POST")
            await gateway_cluster.wait_until(
                lambda: any(each.ran for each in cluster.runners)
            )
            cluster.configure(builders.make_short_gap_config() | {"version": 2})
            answer = await asyncio.wait_for(caller.answer(), 3.0)
            assert not answer.whole
    (end,) = [line for line in lines if line["event"] == "request.ended"]
    assert end["reason"] == "timeout"
    assert end["refusal"] == "retry_budget"
    assert end["silent_ms"] > 1000
    assert (end["begun_at_version"], end["version"]) == (1, 2)
    refusals = [e for e in lines if e["event"] == "attempt.not_replaced"]
    assert {line["reason"] for line in refusals} == {"retry_budget"}
