"""Kills, freezes, stops and closed connections of real processes."""

from concurrent import futures
import http.client
import json
import signal

import pytest

from cranberryglade.tests import support

ORGANISATION_HEADERS = {"Authorization": f"Bearer {support.ORGANISATION_TOKEN}"}
RESERVATION = {"kind": "reservation", "payload": {"item": 7}}
QUESTION = {"kind": "counter-question", "prompt": "hi", "max_tokens": 40}


class Pair:
    """Two instances, an engine, a service and callers in a thread pool."""

    def __init__(self, deployment, pool):
        self.deployment = deployment
        self.engine = deployment.start_endpoint(
            "engine", "engine-1", "assistant", step_ms=20
        )
        self.service = deployment.start_endpoint("service", "lists-1", "lists")
        self.second = deployment.start_daemon("entry-2")
        self._pool = pool
        self.restart_first()

    def restart_first(self):
        """Starts the first instance as a new process and ends all faults."""
        for process in (self.deployment.platform, self.service):
            self.deployment.set_faults(process, {})
        self.deployment.set_faults(
            self.deployment.platform, {"lag_seconds": 0.0}
        )
        self.first = self.deployment.start_daemon("entry-1")
        for daemon in (self.first, self.second):
            support.wait_until(lambda d=daemon: self.has_peer_and_targets(d))
        self.runs_before = self.count_runs()

    def count_runs(self):
        """Returns the number of requests started, each at most once."""
        found = {
            **self.deployment.runs(self.engine),
            **self.deployment.runs(self.service),
        }
        assert set(found.values()) <= {1}
        return len(found)

    @staticmethod
    def has_peer_and_targets(daemon):
        found = support.status(daemon)
        return found["peers"] and len(found["targets"]) == 2

    def submit_in_background(self, daemon, body, headers=None, raw=False):
        return self._pool.submit(support.submit, daemon, body, headers, raw)

    def count_writes(self):
        """Returns the number of transactions sent to the platform."""
        url = f"http://{self.deployment.platform.address}/standin/counts"
        return support.send_request("GET", url)[1].get("writes", 0)

    def wait_for_runs(self, count=1):
        """Waits until that many requests have started since the restart."""
        support.wait_until(
            lambda: self.count_runs() == self.runs_before + count
        )

    def wait_for_peer_loss(self):
        support.wait_until(lambda: not support.status(self.second)["peers"])


@pytest.fixture(scope="module")
def shared_pair(tmp_path_factory):
    with (
        support.deployment(tmp_path_factory.mktemp("pair")) as deployment,
        futures.ThreadPoolExecutor(40) as pool,
    ):
        yield Pair(deployment, pool)


@pytest.fixture
def pair(shared_pair):
    yield shared_pair
    shared_pair.first.kill()
    shared_pair.wait_for_peer_loss()
    shared_pair.restart_first()


def new_ticket(daemon):
    url = f"http://{daemon.address}/v1/tickets"
    return support.send_request("POST", url, {}, ORGANISATION_HEADERS)[1][
        "tickets"
    ][0]


def look_up_request(daemon, request_id, method="GET"):
    url = f"http://{daemon.address}/v1/requests/{request_id}"
    return support.send_request(method, url, headers=ORGANISATION_HEADERS)[1]


def verdict_and_reason(answer):
    return answer["verdict"], answer.get("reason", "")


def test_requests_of_a_killed_home_are_not_run_again(pair):
    pair.deployment.set_faults(pair.service, {"delay_seconds": 1.0})
    key = {"Idempotency-Key": "till-3/88"}
    ticket_id = new_ticket(pair.first)
    ticketed = {**RESERVATION, "ticket": ticket_id}
    calls = [
        pair.submit_in_background(pair.first, ticketed),
        pair.submit_in_background(pair.first, RESERVATION, key),
    ]
    long = {**QUESTION, "max_tokens": 1000, "stream": True}
    calls.append(pair.submit_in_background(pair.first, long, raw=True))
    pair.wait_for_runs(3)
    pair.first.send(signal.SIGKILL)
    for call in calls:
        assert isinstance(call.exception(), OSError | http.client.HTTPException)
    pair.wait_for_peer_loss()
    lost = ("may_have_run", "home_unreachable")
    for body, headers in ((ticketed, None), (RESERVATION, key)):
        for _ in range(2):
            answer = support.submit(pair.second, body, headers)[1]
            assert verdict_and_reason(answer) == lost
    assert verdict_and_reason(look_up_request(pair.second, ticket_id)) == lost
    assert support.status(pair.second)["uncertain"][lost[1]] >= 4
    assert pair.count_runs() == pair.runs_before + 3


def test_requests_of_a_frozen_home_run_once(pair):
    pair.deployment.set_faults(pair.service, {"delay_seconds": 0.5})
    key = {"Idempotency-Key": "till-3/89"}
    call = pair.submit_in_background(pair.first, RESERVATION, key)
    pair.wait_for_runs()
    pair.first.send(signal.SIGSTOP)
    pair.wait_for_peer_loss()
    answer = support.submit(pair.second, RESERVATION, key)[1]
    assert verdict_and_reason(answer) == ("may_have_run", "home_unreachable")
    pair.first.send(signal.SIGCONT)
    assert verdict_and_reason(call.result()[1]) == ("ran", "")
    support.wait_until(lambda: support.status(pair.second)["peers"])
    answer = support.submit(pair.second, RESERVATION, key)[1]
    assert answer["answer"]["effects"] == 1
    assert pair.count_runs() == pair.runs_before + 1


def test_home_frozen_during_its_claim_runs_the_request_once(pair):
    pair.deployment.set_faults(pair.deployment.platform, {"delay_seconds": 0.5})
    key = {"Idempotency-Key": "till-3/90"}
    first = pair.submit_in_background(pair.first, RESERVATION, key)
    writes = pair.count_writes()
    support.wait_until(lambda: pair.count_writes() > writes)
    pair.first.send(signal.SIGSTOP)
    pair.wait_for_peer_loss()
    pair.deployment.set_faults(pair.deployment.platform, {})
    second = support.submit(pair.second, RESERVATION, key)[1]
    assert verdict_and_reason(second) == ("may_have_run", "home_unreachable")
    pair.first.send(signal.SIGCONT)
    verdict = first.result()[1]["verdict"]
    assert verdict in ("ran", "not_run")
    assert pair.count_runs() == pair.runs_before + (verdict == "ran")
    support.wait_until(lambda: pair.has_peer_and_targets(pair.second))
    for daemon in (pair.second, pair.first):
        answer = support.submit(daemon, RESERVATION, key)[1]
        assert verdict_and_reason(answer) == ("ran", ""), answer
    assert pair.count_runs() == pair.runs_before + 1


def test_graceful_stop_finishes_requests_and_hands_over_answers(pair):
    answered, unused = new_ticket(pair.first), new_ticket(pair.first)
    streamed = {**QUESTION, "ticket": answered, "stream": True}
    direct = pair.submit_in_background(pair.first, streamed, raw=True)
    forwarded = {**QUESTION, "ticket": new_ticket(pair.second), "stream": True}
    through = pair.submit_in_background(pair.first, forwarded, raw=True)
    pair.wait_for_runs(2)
    pair.first.send(signal.SIGTERM)
    url = f"http://{pair.first.address}/ready"
    support.wait_until(
        lambda: support.send_request("GET", url, raw=True)[0] == 503
    )
    answer = support.submit(pair.first, QUESTION)[1]
    assert verdict_and_reason(answer) == ("not_run", "stopping")
    for call in (direct, through):
        status, events = call.result()
        assert (status, events.count(b"id: ")) == (200, 40)
        assert b'"count":40' in events
    assert pair.first.wait() == 0
    pair.wait_for_peer_loss()
    assert look_up_request(pair.second, answered)["verdict"] == "ran"
    answer = support.submit(pair.second, {**QUESTION, "ticket": answered})[1]
    assert answer["answer"]["tokens"] == 40
    answer = support.submit(pair.second, {**QUESTION, "ticket": unused})[1]
    assert verdict_and_reason(answer) == ("not_run", "stopping")


def test_graceful_stop_under_load_gives_correct_verdicts(pair):
    pair.deployment.set_faults(pair.service, {"delay_seconds": 0.3})
    bodies = [{**RESERVATION, "payload": {"item": i}} for i in range(40)]
    calls = [
        pair.submit_in_background((pair.first, pair.second)[i % 2], body)
        for i, body in enumerate(bodies)
    ]
    support.wait_until(lambda: pair.count_runs() >= pair.runs_before + 4)
    pair.first.send(signal.SIGTERM)
    found = [call.result()[1]["verdict"] for call in calls]
    assert pair.first.wait() == 0
    assert set(found) <= {"ran", "not_run"}
    assert pair.count_runs() == pair.runs_before + found.count("ran")


def test_second_signal_cuts_requests_without_the_platform(pair):
    long = {**QUESTION, "max_tokens": 1000, "stream": True}
    call = pair.submit_in_background(pair.first, long, raw=True)
    pair.wait_for_runs()
    pair.deployment.set_faults(pair.deployment.platform, {"down": True})
    pair.first.send(signal.SIGTERM)
    url = f"http://{pair.first.address}/ready"
    support.wait_until(
        lambda: support.send_request("GET", url, raw=True)[0] == 503
    )
    pair.first.send(signal.SIGTERM)
    assert b'"reason":"instance_cut"' in call.result()[1]
    assert pair.first.wait() == 0


def test_caller_disconnect_does_not_cancel_its_request(pair):
    pair.deployment.set_faults(pair.service, {"delay_seconds": 0.3})
    ticket_id = new_ticket(pair.first)
    connection = http.client.HTTPConnection(pair.first.address)
    body = json.dumps({**RESERVATION, "ticket": ticket_id})
    connection.request("POST", "/v1/requests", body, ORGANISATION_HEADERS)
    pair.wait_for_runs()
    connection.close()
    support.wait_until(
        lambda: look_up_request(pair.second, ticket_id)["verdict"] == "ran"
    )
    assert look_up_request(pair.second, ticket_id)["answer"]["effects"] == 1
    running = new_ticket(pair.first)
    call = pair.submit_in_background(
        pair.first, {**RESERVATION, "ticket": running}
    )
    pair.wait_for_runs(2)
    answer = look_up_request(pair.second, running, "DELETE")
    assert verdict_and_reason(answer) == ("may_have_run", "cancelled")
    assert verdict_and_reason(call.result()[1]) == ("may_have_run", "cancelled")
