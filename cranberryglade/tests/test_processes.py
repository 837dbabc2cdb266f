"""What only real processes show: kills, freezes, stops, closed connections."""

from concurrent import futures
import http.client
import json
import signal

import pytest

from cranberryglade.tests import support

AUTHORISED = {"Authorization": f"Bearer {support.ORGANISATION_TOKEN}"}
RESERVATION = {"kind": "reservation", "payload": {"item": 7}}
QUESTION = {"kind": "counter-question", "prompt": "hi", "max_tokens": 40}


class Pair:
    """Two instances, an engine, a service, and callers in the background."""

    def __init__(self, deployment, pool):
        self.deployment = deployment
        self.engine = deployment.endpoint(
            "engine", "engine-1", "assistant", step_ms=20
        )
        self.service = deployment.endpoint("service", "lists-1", "lists")
        self.second = deployment.daemon("entry-2")
        self._pool = pool
        self.renew()

    def renew(self):
        """Lets the first instance be a fresh process, and ends all faults."""
        for process in (self.deployment.platform, self.service):
            self.deployment.faults(process, {})
        self.deployment.faults(self.deployment.platform, {"lag_seconds": 0.0})
        self.first = self.deployment.daemon("entry-1")
        for daemon in (self.first, self.second):
            support.eventually(lambda d=daemon: self.knows_all(d))
        self.runs_before = self.runs()

    def runs(self):
        """Runs so far; each request has run once at most."""
        found = {
            **self.deployment.runs(self.engine),
            **self.deployment.runs(self.service),
        }
        assert set(found.values()) <= {1}
        return len(found)

    @staticmethod
    def knows_all(daemon):
        found = support.status(daemon)
        return found["peers"] and len(found["targets"]) == 2

    def later(self, daemon, body, headers=None, raw=False):
        return self._pool.submit(support.submit, daemon, body, headers, raw)

    def writes(self):
        """Transactions that the platform has been asked for."""
        url = f"http://{self.deployment.platform.address}/standin/counts"
        return support.call("GET", url)[1].get("writes", 0)

    def started(self, count=1):
        """Waits until that many requests run."""
        support.eventually(lambda: self.runs() == self.runs_before + count)

    def alone(self):
        support.eventually(lambda: not support.status(self.second)["peers"])


@pytest.fixture(scope="module")
def programs(tmp_path_factory):
    with (
        support.deployment(tmp_path_factory.mktemp("pair")) as deployment,
        futures.ThreadPoolExecutor(40) as pool,
    ):
        yield Pair(deployment, pool)


@pytest.fixture
def pair(programs):
    yield programs
    programs.first.kill()
    programs.alone()
    programs.renew()


def ticket(daemon):
    url = f"http://{daemon.address}/v1/tickets"
    return support.call("POST", url, {}, AUTHORISED)[1]["tickets"][0]


def look_up(daemon, request_id, method="GET"):
    url = f"http://{daemon.address}/v1/requests/{request_id}"
    return support.call(method, url, headers=AUTHORISED)[1]


def said(answer):
    return answer["verdict"], answer.get("reason", "")


def test_a_home_that_was_killed_is_not_replaced(pair):
    pair.deployment.faults(pair.service, {"delay_seconds": 1.0})
    key = {"Idempotency-Key": "till-3/88"}
    held = ticket(pair.first)
    ticketed = {**RESERVATION, "ticket": held}
    calls = [
        pair.later(pair.first, ticketed),
        pair.later(pair.first, RESERVATION, key),
    ]
    long = {**QUESTION, "max_tokens": 1000, "stream": True}
    calls.append(pair.later(pair.first, long, raw=True))
    pair.started(3)
    pair.first.send(signal.SIGKILL)
    for call in calls:
        assert isinstance(call.exception(), OSError | http.client.HTTPException)
    pair.alone()
    lost = ("may_have_run", "home_unreachable")
    for body, headers in ((ticketed, None), (RESERVATION, key)):
        for _ in range(2):
            answer = support.submit(pair.second, body, headers)[1]
            assert said(answer) == lost
    assert said(look_up(pair.second, held)) == lost
    assert support.status(pair.second)["uncertain"][lost[1]] >= 4
    assert pair.runs() == pair.runs_before + 3


def test_a_home_that_was_frozen_wakes_up_to_the_only_run(pair):
    pair.deployment.faults(pair.service, {"delay_seconds": 0.5})
    key = {"Idempotency-Key": "till-3/89"}
    call = pair.later(pair.first, RESERVATION, key)
    pair.started()
    pair.first.send(signal.SIGSTOP)
    pair.alone()
    answer = support.submit(pair.second, RESERVATION, key)[1]
    assert said(answer) == ("may_have_run", "home_unreachable")
    pair.first.send(signal.SIGCONT)
    assert said(call.result()[1]) == ("ran", "")
    support.eventually(lambda: support.status(pair.second)["peers"])
    answer = support.submit(pair.second, RESERVATION, key)[1]
    assert answer["answer"]["effects"] == 1
    assert pair.runs() == pair.runs_before + 1


def test_a_home_that_was_frozen_while_it_claimed_runs_once(pair):
    pair.deployment.faults(pair.deployment.platform, {"delay_seconds": 0.5})
    key = {"Idempotency-Key": "till-3/90"}
    first = pair.later(pair.first, RESERVATION, key)
    writes = pair.writes()
    support.eventually(lambda: pair.writes() > writes)
    pair.first.send(signal.SIGSTOP)
    pair.alone()
    pair.deployment.faults(pair.deployment.platform, {})
    second = support.submit(pair.second, RESERVATION, key)[1]
    assert said(second) == ("may_have_run", "home_unreachable")
    pair.first.send(signal.SIGCONT)
    verdict = first.result()[1]["verdict"]
    assert verdict in ("ran", "not_run")
    assert pair.runs() == pair.runs_before + (verdict == "ran")
    support.eventually(lambda: pair.knows_all(pair.second))
    for daemon in (pair.second, pair.first):
        answer = support.submit(daemon, RESERVATION, key)[1]
        assert said(answer) == ("ran", ""), answer
    assert pair.runs() == pair.runs_before + 1


def test_a_planned_stop_cuts_nothing_and_leaves_what_it_knew(pair):
    answered, unused = ticket(pair.first), ticket(pair.first)
    streamed = {**QUESTION, "ticket": answered, "stream": True}
    direct = pair.later(pair.first, streamed, raw=True)
    forwarded = {**QUESTION, "ticket": ticket(pair.second), "stream": True}
    through = pair.later(pair.first, forwarded, raw=True)
    pair.started(2)
    pair.first.send(signal.SIGTERM)
    url = f"http://{pair.first.address}/ready"
    support.eventually(lambda: support.call("GET", url, raw=True)[0] == 503)
    answer = support.submit(pair.first, QUESTION)[1]
    assert said(answer) == ("not_run", "stopping")
    for call in (direct, through):
        status, events = call.result()
        assert (status, events.count(b"id: ")) == (200, 40)
        assert b'"count":40' in events
    assert pair.first.wait() == 0
    pair.alone()
    assert look_up(pair.second, answered)["verdict"] == "ran"
    answer = support.submit(pair.second, {**QUESTION, "ticket": answered})[1]
    assert answer["answer"]["tokens"] == 40
    answer = support.submit(pair.second, {**QUESTION, "ticket": unused})[1]
    assert said(answer) == ("not_run", "stopping")


def test_a_planned_stop_in_a_burst_tells_everyone_the_truth(pair):
    pair.deployment.faults(pair.service, {"delay_seconds": 0.3})
    bodies = [{**RESERVATION, "payload": {"item": i}} for i in range(40)]
    calls = [
        pair.later((pair.first, pair.second)[i % 2], body)
        for i, body in enumerate(bodies)
    ]
    support.eventually(lambda: pair.runs() >= pair.runs_before + 4)
    pair.first.send(signal.SIGTERM)
    found = [call.result()[1]["verdict"] for call in calls]
    assert pair.first.wait() == 0
    assert set(found) <= {"ran", "not_run"}
    assert pair.runs() == pair.runs_before + found.count("ran")


def test_a_second_signal_cuts_and_says_so_without_the_platform(pair):
    long = {**QUESTION, "max_tokens": 1000, "stream": True}
    call = pair.later(pair.first, long, raw=True)
    pair.started()
    pair.deployment.faults(pair.deployment.platform, {"down": True})
    pair.first.send(signal.SIGTERM)
    url = f"http://{pair.first.address}/ready"
    support.eventually(lambda: support.call("GET", url, raw=True)[0] == 503)
    pair.first.send(signal.SIGTERM)
    assert b'"reason":"instance_cut"' in call.result()[1]
    assert pair.first.wait() == 0


def test_a_caller_who_leaves_withdraws_nothing(pair):
    pair.deployment.faults(pair.service, {"delay_seconds": 0.3})
    held = ticket(pair.first)
    connection = http.client.HTTPConnection(pair.first.address)
    body = json.dumps({**RESERVATION, "ticket": held})
    connection.request("POST", "/v1/requests", body, AUTHORISED)
    pair.started()
    connection.close()
    support.eventually(lambda: look_up(pair.second, held)["verdict"] == "ran")
    assert look_up(pair.second, held)["answer"]["effects"] == 1
    running = ticket(pair.first)
    call = pair.later(pair.first, {**RESERVATION, "ticket": running})
    pair.started(2)
    answer = look_up(pair.second, running, "DELETE")
    assert said(answer) == ("may_have_run", "cancelled")
    assert said(call.result()[1]) == ("may_have_run", "cancelled")
