"""Outages of the platform, frozen and unreachable instances.

Every program runs as a process.
"""

import concurrent.futures
import signal
import time

import pytest

from cranberryglade.tests import support

LEAVING_SECONDS = 3.0
APPLIED_SECONDS = 12.0
UNREACHABLE_ADDRESS = "127.0.0.1:1"
QUESTION = {"kind": "counter-question", "prompt": "hi", "max_tokens": 2}
DEFAULT_PERIODS = {"probe_seconds": 1.0, "poll_seconds": 5.0}


@pytest.fixture
def deployment(tmp_path):
    with support.deployment(tmp_path) as started:
        yield started


def peers_of(daemon):
    return sorted(support.status(daemon)["peers"])


def count_free_slots(daemon):
    targets = support.status(daemon)["targets"]
    return sum(target["free_slots"] for target in targets)


def is_leaving(daemon, endpoint):
    rows = support.send_operator_request(daemon, "GET", "endpoints")[1]
    return [row["leaving"] for row in rows if row["name"] == endpoint] == [True]


def wait_until_connected(*daemons):
    names = {daemon.listening["instance"] for daemon in daemons}
    for daemon in daemons:
        others = sorted(names - {daemon.listening["instance"]})
        support.wait_until(
            lambda d=daemon, o=others: peers_of(d) == o, seconds=20.0
        )


def test_departures_propagate_without_the_platform(deployment):
    engines = [
        deployment.start_endpoint("engine", f"engine-{n}", "assistant")
        for n in range(3)
    ]
    daemons = [
        deployment.start_daemon(f"entry-{n}", **DEFAULT_PERIODS)
        for n in range(3)
    ]
    wait_until_connected(*daemons)
    for daemon in daemons:
        rows = support.send_operator_request(daemon, "GET", "endpoints")[1]
        assert len(rows) == 3
    deployment.set_faults(deployment.platform, {"down": True})

    def wait_until_leaving(endpoint):
        support.wait_until(
            lambda: all(is_leaving(daemon, endpoint) for daemon in daemons),
            seconds=LEAVING_SECONDS,
        )

    status, answer = support.send_operator_request(
        daemons[0], "POST", "drain", {"endpoint": "engine-0"}
    )
    assert (status, answer["incarnation"]) == (200, "engine-0-i1")
    wait_until_leaving("engine-0")
    deployment.set_faults(engines[1], {"leaving": True})
    wait_until_leaving("engine-1")
    deployment.set_faults(deployment.platform, {"lag_seconds": 0.0})
    before = [deployment.runs(engine) for engine in engines[:2]]
    for daemon in daemons:
        for _ in range(3):
            assert support.submit(daemon, QUESTION)[0] == 200
    assert [deployment.runs(engine) for engine in engines[:2]] == before
    status, _ = support.send_operator_request(
        daemons[0], "POST", "drain", {"endpoint": "engine-9"}
    )
    assert status == 404


def test_version_reaches_instances_with_and_without_platform(deployment):
    deployment.start_endpoint("engine", "engine-0", "assistant")
    near = deployment.start_daemon("entry-0", **DEFAULT_PERIODS)
    support.wait_until(lambda: support.status(near)["version"] == 1)
    support.wait_until(lambda: count_free_slots(near) > 0)
    contacts = near.listening["peer_address"]
    disconnected = deployment.start_daemon(
        "entry-1",
        platform=UNREACHABLE_ADDRESS,
        contacts=contacts,
        **DEFAULT_PERIODS,
    )
    support.wait_until(lambda: support.status(disconnected)["version"] == 1)
    support.wait_until(lambda: support.submit(disconnected, QUESTION)[0] == 200)
    deployment.set_faults(deployment.platform, {"lose_answers": 1})
    text = support.CONFIGURATION.replace("rank = 1", "rank = 2")
    proposal = {"expected_version": 1, "text": text, "nonce": "n1"}
    for _ in range(2):
        status, answer = support.send_operator_request(
            near, "PUT", "configuration", proposal
        )
        assert (status, answer["version"]) == (200, 2), answer
    support.wait_until(
        lambda: all(
            support.status(d)["version"] == 2 for d in (near, disconnected)
        ),
        seconds=APPLIED_SECONDS,
    )
    assert support.status(disconnected)["confirmed_seconds_ago"] is None
    stale_proposal = {"expected_version": 1, "text": support.CONFIGURATION}
    status, answer = support.send_operator_request(
        near, "PUT", "configuration", stale_proposal
    )
    assert (status, answer["present"]["text"]) == (409, text)
    assert answer["proposed"]["text"] == support.CONFIGURATION
    deployment.set_faults(deployment.platform, {"down": True})
    started_at = time.monotonic()
    status, answer = support.send_operator_request(
        near, "PUT", "configuration", stale_proposal
    )
    assert (status, bool(answer["nonce"])) == (503, True)
    assert time.monotonic() - started_at < APPLIED_SECONDS
    newcomer = deployment.start_daemon("entry-2", contacts=contacts)
    support.wait_until(lambda: support.status(newcomer)["version"] == 2)
    support.wait_until(lambda: support.submit(newcomer, QUESTION)[0] == 200)


def test_frozen_instance_loses_and_regains_its_endpoints(deployment):
    for number in range(4):
        deployment.start_endpoint("engine", f"engine-{number}", "assistant")
    first, second = (
        deployment.start_daemon("entry-0"),
        deployment.start_daemon("entry-1"),
    )
    wait_until_connected(first, second)
    support.wait_until(
        lambda: count_free_slots(first) + count_free_slots(second) == 32
    )
    deployment.set_faults(deployment.platform, {"down": True})
    second.send(signal.SIGSTOP)
    support.wait_until(lambda: count_free_slots(first) == 32)
    assert support.submit(first, QUESTION)[0] == 200
    second.send(signal.SIGCONT)
    wait_until_connected(first, second)
    support.wait_until(
        lambda: count_free_slots(first) + count_free_slots(second) == 32
    )
    assert support.submit(second, QUESTION)[0] == 200
    long = {**QUESTION, "max_tokens": 400, "stream": True}
    with concurrent.futures.ThreadPoolExecutor() as pool:
        running = pool.submit(support.submit, second, long, raw=True)
        support.wait_until(lambda: support.status(second)["unfinished"] == 1)
        second.send(signal.SIGTERM)
        support.wait_until(
            lambda: count_free_slots(first) == 32, LEAVING_SECONDS
        )
        status, stream = running.result()
    assert (status, stream.count(b"\nid: ")) == (200, 399)


def test_other_failure_domain_serves_while_platform_is_slow(deployment):
    deployment.start_endpoint("engine", "engine-0", "assistant", "wien-b")
    near = deployment.start_daemon("entry-a", "wien-a")
    far = deployment.start_daemon("entry-b", "wien-b")
    wait_until_connected(near, far)
    deployment.set_faults(deployment.platform, {"delay_seconds": 60.0})
    support.wait_until(lambda: count_free_slots(far) > 0)
    support.wait_until(lambda: support.submit(near, QUESTION)[0] == 200)
    started_at = time.monotonic()
    for daemon in (near, far):
        assert support.submit(daemon, QUESTION)[0] == 200
    assert time.monotonic() - started_at < 2.0
    far.send(signal.SIGSTOP)
    support.wait_until(lambda: peers_of(near) == [])
    status, answer = support.submit(near, QUESTION)
    assert (status, answer["verdict"]) == (503, "not_run")
    far.send(signal.SIGCONT)
    wait_until_connected(near, far)
    support.wait_until(lambda: support.submit(near, QUESTION)[0] == 200)
