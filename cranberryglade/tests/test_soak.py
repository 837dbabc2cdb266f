"""The soak: its checks find planted violations, and short runs pass."""

import asyncio
import json
import types

import pytest

from cranberryglade.gateway import messages
from cranberryglade.gateway_settings import reading
from cranberryglade.soak import crowds
from cranberryglade.soak import deployment
from cranberryglade.soak import faults
from cranberryglade.soak import guarantees
from cranberryglade.soak import links
from cranberryglade.soak import load
from cranberryglade.soak import observations
from cranberryglade.soak import rollout_driver
from cranberryglade.soak import run
from cranberryglade.standins import callers
from cranberryglade.standins import machine

STREAM_BODY = b"".join(
    b"id: %d\ndata: piece\n\n" % n
    for n in range(1, deployment.EVENTS_PER_STREAM + 1)
)
STREAM_ROUTES = ("write", "note")
SERVED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def a_submission(id_="s-1", route="pay", **changes) -> observations.Submission:
    body = STREAM_BODY if route in STREAM_ROUTES else id_.encode()
    defaults = {
        "gateway": 0,
        "second_key": False,
        "sent": 10.0,
        "ended": 10.2,
        "status": 200,
        "whole": True,
        "sealed": True,
        "body": body,
    }
    return observations.Submission(id_, route, **(defaults | changes))


def a_history(*submissions, runs=None) -> observations.History:
    history = observations.History()
    history.submissions = {each.id: each for each in submissions}
    if runs is None:
        runs = [observations.Run(each.id, each.sent) for each in submissions]
    history.runs = runs
    return history


def violated(history) -> set[str]:
    return {
        each.guarantee for each in guarantees.check(history, deployment.BOUNDS)
    }


def test_correct_history_has_no_violations():
    kinds = ("look", "pay", *STREAM_ROUTES)
    submissions = [a_submission(f"s-{kind}", kind) for kind in kinds]
    assert violated(a_history(*submissions)) == set()


@pytest.mark.parametrize("route", ["pay", "note"])
def test_a_second_run_is_caught(route):
    runs = [observations.Run("s-1", 10.0), observations.Run("s-1", 10.1)]
    history = a_history(a_submission(route=route), runs=runs)
    assert violated(history) == {"once"}
    assert violated(a_history(a_submission(route="look"), runs=runs)) == set()


def test_run_of_unknown_request_is_caught():
    assert violated(a_history(runs=[observations.Run("s-9", 1.0)])) == {
        "unasked"
    }


@pytest.mark.parametrize("status", guarantees.NOT_RUN_STATUSES)
def test_refusal_of_a_request_that_ran_is_caught(status):
    refused = a_submission(status=status, sealed=False)
    assert violated(a_history(refused)) == {"truth"}
    assert violated(a_history(refused, runs=[])) == set()


def test_response_to_another_request_is_caught():
    assert violated(a_history(a_submission(body=b"s-2"))) == {"own answer"}
    unsealed = a_submission(sealed=False)
    assert violated(a_history(unsealed)) == {"own answer"}


async def submit_to(answer: bytes) -> observations.Submission:
    """Returns a request as a caller observes it that gets certain bytes."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    history = observations.History()
    loop = asyncio.get_running_loop()
    generator = load.LoadGenerator([], history, 1, load.LagMonitor(), set())
    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        address = server.sockets[0].getsockname()
        caller = callers.Caller(*await asyncio.open_connection(*address))
        assert not await generator._request(caller, 0, loop)
        caller.close()
    (submission,) = history.submissions.values()
    return submission


@pytest.mark.parametrize(
    "answer",
    [
        b"stray bytes" + SERVED_HEAD,
        SERVED_HEAD + b"no chunk\r\n",
        b"HTTP/1.1 " + bytes(100_000),
    ],
    ids=["stray bytes", "no chunk", "endless head"],
)
async def test_bytes_that_are_no_answer_are_caught(answer):
    submission = await submit_to(answer)
    assert submission.ended
    assert violated(a_history(submission)) == {"own answer"}


async def test_an_answer_that_breaks_off_is_not_taken_for_other_bytes():
    submission = await submit_to(SERVED_HEAD + b"5\r\nid: ")
    assert (submission.status, submission.whole) == (200, False)
    assert violated(a_history(submission)) == set()


@pytest.mark.parametrize(
    "body",
    [
        STREAM_BODY + STREAM_BODY,
        STREAM_BODY[len(STREAM_BODY) // 2 :],
        STREAM_BODY[: len(STREAM_BODY) // 2],
    ],
)
def test_a_stream_with_a_gap_is_caught(body):
    assert violated(a_history(a_submission(route="write", body=body))) == {
        "stream"
    }


def test_a_stream_of_two_software_versions_is_caught():
    body = STREAM_BODY.replace(b"piece", b"piece of v1 1", 1)
    mixed = a_submission(route="write", body=body)
    assert violated(a_history(mixed)) == {"version"}


def test_a_resumed_stream_of_another_software_version_is_caught():
    ends = STREAM_BODY.index(b"id: 3")
    begun = a_submission(route="write", whole=False, body=STREAM_BODY[:ends])
    assert begun.resumable
    assert begun.last_event == 2
    rest = STREAM_BODY[ends:]
    resumed = a_submission(
        "s-2", "write", body=rest, resumes="s-1", resumed_after=2
    )
    assert violated(a_history(begun, resumed)) == set()
    resumed.body = rest.replace(b"piece", b"other 3")
    assert violated(a_history(begun, resumed)) == {"version"}


def test_truncated_stream_is_no_violation():
    torn = a_submission(route="write", whole=False, body=STREAM_BODY[:30])
    assert violated(a_history(torn)) == set()


def test_request_beyond_its_timeout_is_caught():
    held = a_submission(ended=10.0 + deployment.BOUNDS.timeout_seconds + 0.6)
    history = a_history(held)
    assert violated(history) == {"held"}
    history.disturbed.append(observations.GatewayPeriod(0, 11.0, 12.0))
    assert violated(history) == set()


def test_a_request_lost_by_a_planned_stop_is_caught():
    history = a_history(a_submission(status=0, whole=False))
    assert violated(history) == set()
    history.stops.append(observations.GatewayPeriod(0, 10.1, 12.0))
    assert violated(history) == {"stop"}


def test_a_stop_that_takes_too_long_is_caught():
    history = a_history()
    history.late_stops.append("gate-0 exceeded its grace period")
    assert violated(history) == {"stop in time"}


async def test_what_a_process_does_that_ends_late_is_told(tmp_path):
    bounds = machine.Bounds(2000, 6, 0.2, 30.0, 5.0, 2.0, 0.1, 30.0)
    network = machine.Network()
    try:
        late = machine.Machine(0, tmp_path, "127.0.0.1:1", bounds, network)
        late.process = await asyncio.create_subprocess_exec("sleep", "60")
        assert not await late.wait_ended(0.1)
    finally:
        network.close()
    state, processor, waits_in = late.late_state.split(", ")
    assert state in ("state S", "state R", "state D")
    assert processor.startswith("processor 0.0")
    assert waits_in.startswith("in ")
    ended = machine.describe_process(late.process.pid)
    assert ended == "unreadable, FileNotFoundError"


def test_use_of_a_revoked_key_is_caught():
    late = a_submission(second_key=True)
    history = a_history(late)
    history.revocations.append(observations.Period(7.9, 12.0))
    assert violated(history) == {"key"}
    history.revocations = [observations.Period(8.1, 12.0)]
    assert violated(history) == set()


def test_a_quota_that_is_exceeded_is_caught():
    limit = int(deployment.BOUNDS.quota)
    submissions = [
        a_submission(f"s-{n}", second_key=True) for n in range(limit + 1)
    ]
    assert violated(a_history(*submissions)) == {"quota"}
    assert violated(a_history(*submissions[:limit])) == set()


def test_too_many_retries_are_caught():
    sent = [a_submission(f"s-{n}", "look") for n in range(40)]
    runs = [observations.Run(each.id, 10.0) for each in sent] * 2
    assert violated(a_history(*sent, runs=runs)) == {"repeats"}


def test_a_system_that_does_not_recover_is_caught():
    sent = [a_submission(f"s-{n}", "look") for n in range(10)]
    for each in sent[:2]:
        each.status = 503
    history = a_history(*sent)
    assert violated(history) == set()
    history.recovery_due = 9.0
    assert violated(history) == {"recovery"}


def test_a_seed_draws_the_same_faults_again():
    assert faults.schedule(3, 20.0, 4, 3) == faults.schedule(3, 20.0, 4, 3)
    kinds = {
        type(each.fault)
        for seed in range(20)
        for each in faults.schedule(seed, 20.0, 4, 3)
    }
    assert kinds == set(faults.Fault.__args__)


def test_sound_endpoints_fall_silent_beside_all_planned_work():
    planned = [each.fault for each in faults.schedule(3, 20.0, 4, 3)]
    work = [each for each in planned if isinstance(each, faults.PLANNED_WORK)]
    silences = [each for each in planned if isinstance(each, faults.Silence)]
    assert len(silences) == len(work) > 0


async def arrival_of(folder, prompt, crashing) -> observations.Arrival:
    """Returns what is recorded of a request with that prompt."""
    site = deployment.Deployment(folder, gateways=0, endpoints=1, seed=1)
    try:
        await site.start()
        site.crashing_parts.update(crashing)
        address = site.endpoints[0].address.split(":")
        caller = callers.Caller(*await asyncio.open_connection(*address))
        caller.request(X_Attempt_Id="s-1", X_Prompt_Prefix=prompt)
        await caller.answer()
        caller.close()
    finally:
        await site.stop()
    (arrival,) = site.history.arrivals
    return arrival


async def test_an_endpoint_that_crashes_in_a_request_is_recorded(tmp_path):
    arrival = await arrival_of(tmp_path, "bad:30", {"bad"})
    assert (arrival.id, arrival.fault) == ("s-1", observations.CRASH)
    assert arrival.ended < float("inf")
    sound = await arrival_of(tmp_path, "good:30", {"bad"})
    assert (sound.id, sound.fault) == ("s-1", "")
    assert sound.at < sound.ended < float("inf")


async def test_a_link_holds_back_one_way_and_resets():
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    link = links.Link(f"{host}:{port}")
    await link.start()
    reader, writer = await asyncio.open_connection(*link.address.split(":"))
    link.impairments.holds_answers = True
    writer.write(b"held")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(10), 0.1)
    link.clear()
    assert await asyncio.wait_for(reader.read(10), 1.0) == b"held"
    link.reset()
    ended = (ConnectionError, asyncio.IncompleteReadError)
    with pytest.raises(ended):
        await asyncio.wait_for(reader.readexactly(1), 1.0)
    writer.close()
    await link.stop()
    server.close()


def test_concurrent_runs_have_separate_addresses():
    # Three soaks at once used the same addresses, since these followed from
    # the seeds, and answered each other's requests.
    networks = [machine.Network() for _ in range(40)]
    assert len({network.number for network in networks}) == 40
    for network in networks:
        network.close()


@pytest.mark.parametrize(
    "seed",
    [
        # Valid keys were refused while no fault was active: the store was
        # polled too rarely for the short bound on the revocation of a key.
        1,
        # A paused gateway read a request after its key had been restored, and
        # the check of revoked keys reported that as a violation.
        4,
    ],
)
async def test_seed_that_failed_before(tmp_path, seed):
    soak = run.Soak(tmp_path, seed, 5.0, gateways=3, endpoints=3)
    outcome = await soak.run()
    assert outcome.violations == []
    assert outcome.served > 0.3 * outcome.submissions


def crashing_history(late_runs: int, at: float) -> observations.History:
    """Returns five runs with a crashing part at 1 s, and others later."""
    names = [f"s-{number}" for number in range(5 + late_runs)]
    submissions = [a_submission(name, crashing_part="bad") for name in names]
    history = a_history(*submissions, runs=[])
    times = [1.0] * 5 + [at] * late_runs
    history.runs = [
        observations.Run(name, time)
        for name, time in zip(names, times, strict=True)
    ]
    return history


def test_a_crashing_part_that_is_sent_on_is_caught():
    known_at = 1.0 + guarantees.CONTACT_SECONDS
    assert "crashing part" in violated(crashing_history(4, known_at + 0.1))
    assert "crashing part" not in violated(crashing_history(3, known_at + 0.1))
    assert "crashing part" not in violated(crashing_history(9, known_at - 0.1))


def test_a_quarantine_of_a_sound_request_is_caught():
    for part, caught in (("", True), ("bad", False)):
        refused = a_submission("r-1", crashing_part=part)
        refused.status = 503
        refused.body = messages.QUARANTINED.encode()
        history = observations.History(submissions={"r-1": refused})
        assert ("sound part" in violated(history)) == caught


async def test_a_closed_link_refuses_connections_until_it_is_opened():
    async def greet(reader, writer):
        writer.write(b"hello")
        writer.close()

    server = await asyncio.start_server(greet, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    link = links.Link(f"{host}:{port}")
    await link.start()
    link.close()
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(*link.address.split(":"))
    await link.open_to(f"{host}:{port}")
    reader, writer = await asyncio.open_connection(*link.address.split(":"))
    assert await reader.read() == b"hello"
    writer.close()
    await link.stop()
    server.close()


def test_a_limit_that_an_endpoint_names_and_that_is_exceeded_is_caught():
    period = observations.LimitPeriod("i-0", 2.0, 10.0, 20.0)
    for count, violated_limit in ((17, False), (18, True)):
        history = a_history()
        history.limits = [period]
        history.arrivals = [
            observations.Arrival("i-0", 14.0 + n / 100) for n in range(count)
        ]
        assert ("named limit" in violated(history)) == violated_limit
        # Before the gateways must know it, and at another endpoint.
        history.arrivals = [
            observations.Arrival("i-0", 10.0 + n / 100) for n in range(count)
        ] + [observations.Arrival("i-1", 15.0)] * count
        assert "named limit" not in violated(history)


def rollout_history(
    exposed: int, bad: int = 0, **changes
) -> observations.History:
    """Returns a rollout with requests at 11 s, some of them at a bad version.

    Args:
        exposed: requests at the new version, of 1,000.
        bad: how many of them got a bad answer, at 11.1 s.
        **changes: changed fields of the rollout.
    """
    fields = {"is_bad": True, "ordered": 10.0, "due": 30.0, "ended": 20.0}
    history = a_history()
    history.rollouts = [
        observations.Rollout(frozenset({"n-0"}), **(fields | changes))
    ]
    history.arrivals = [
        observations.Arrival(
            "n-0" if n < exposed else "i-0",
            11.0,
            f"s-{n}",
            "fail" if n < bad else "",
            ended=11.1,
        )
        for n in range(1000)
    ]
    return history


def test_a_bad_version_with_too_many_requests_is_caught():
    bounds = deployment.BOUNDS
    most = int(bounds.exposure_share * 1000 + bounds.exposure_slack)
    assert violated(rollout_history(most)) == set()
    assert violated(rollout_history(most + 1)) == {"exposure"}
    assert violated(rollout_history(most + 1, is_bad=False)) == set()
    # Requests before the order are not part of the limit.
    assert violated(rollout_history(most, ordered=12.0)) == set()


def test_a_request_long_after_the_fiftieth_bad_answer_is_caught():
    allowed = deployment.BOUNDS.rollback_seconds
    for bad, late, caught in (
        (50, 0.5, True),
        (50, -0.5, False),
        (49, 0.5, False),
    ):
        history = rollout_history(60, bad)
        history.arrivals.append(
            observations.Arrival("n-0", 11.1 + allowed + late, "s-60")
        )
        assert violated(history) == ({"rollback"} if caught else set())


def test_a_rollout_without_an_end_is_caught():
    history = rollout_history(0, state="running", ended=float("inf"))
    assert violated(history) == {"rollout end"}


@pytest.mark.parametrize(
    ("state", "remaining"), [("completed", "n-0"), ("rolled_back", "i-0")]
)
async def test_the_stored_status_of_a_rollout_is_acted_on(
    tmp_path, monkeypatch, state, remaining
):
    # Without this, a wrong promotion or rollback would go unnoticed.
    monkeypatch.setattr(rollout_driver, "DRAIN_SECONDS", 0.1)
    monkeypatch.setattr(rollout_driver, "START_SECONDS", 0.1)
    site = deployment.Deployment(tmp_path, gateways=0, endpoints=1, seed=1)
    try:
        await site.start()
        ordered = faults.Rollout("bad", 0.0, 5.0)
        driver = rollout_driver.RolloutDriver(site, ordered)
        running = asyncio.create_task(driver.run())
        await asyncio.sleep(0.3)
        row = json.dumps({"state": state, "to": rollout_driver.NEW_VERSION})
        site.store.put("status", deployment.ORDER_KEY, row.encode())
        await running
        listed = [
            each.id
            for each in site.endpoints
            if site.store.row("servers", each.id)
        ]
    finally:
        await site.stop()
    assert listed == [remaining]
    assert site.history.rollouts[0].state == state


def test_a_gateway_that_answers_nothing_after_a_crowd_is_caught():
    history = a_history()
    probe = observations.Probe(0, "readers", begun=10.0, ended=12.0)
    history.probes.append(probe)
    assert violated(history) == {"crowd"}
    history.stops = [observations.GatewayPeriod(0, 11.0, 12.0)]
    assert violated(history) == set()
    history.stops = [observations.GatewayPeriod(1, 11.0, 12.0)]
    assert violated(history) == {"crowd"}
    probe.answered = True
    assert violated(history) == set()


async def test_a_process_that_ends_without_a_fault_is_caught(tmp_path):
    bounds = machine.Bounds(2000, 6, 0.2, 30.0, 5.0, 2.0, 0.1, 30.0)
    network = machine.Network()
    soak = run.Soak(tmp_path, 1, 1.0, gateways=1, endpoints=1)
    try:
        ended = machine.Machine(0, tmp_path, "127.0.0.1:1", bounds, network)
        ended.process = await asyncio.create_subprocess_exec("false")
        await ended.process.wait()
    finally:
        network.close()
    soak._deployment.machines.append(ended)
    for faulted, caught in (({0}, set()), (set(), {"process"})):
        soak._faulted = faulted
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(soak._watch_processes(), 0.3)
        assert violated(soak._deployment.history) == caught
    assert len(soak._deployment.history.ended_processes) == 1


@pytest.mark.parametrize("kind", faults.CROWD_KINDS)
@pytest.mark.parametrize("answers", [True, False])
async def test_a_crowd_stays_and_asks_afterwards(kind, answers, monkeypatch):
    # A probe that takes a lost connection for an answer would find nothing.
    heads = []

    async def serve(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        if b"probe-" not in heads[-1]:
            await reader.read()
        elif answers:
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    history = observations.History()
    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()
        monkeypatch.setattr(machine.Machine, "FRONT_PORT", port)
        gateway = types.SimpleNamespace(host=host)
        planned = faults.Crowd(0, kind, 3, 1.5)
        clock = load.LagMonitor()
        await crowds.Crowd(gateway, 0, history, planned, clock).run()
    assert sum(b"probe-" not in head for head in heads) == 3
    assert violated(history) == (set() if answers else {"crowd"})


def test_hedging_and_preemption_are_on_in_a_part_of_the_runs():
    # A section that gateways refuse, or that is never drawn, tests nothing.
    drawn = {deployment.draw_options(seed) for seed in range(40)}
    assert drawn == {"", *deployment.OPTIONS, "".join(deployment.OPTIONS)}
    for text in drawn:
        features = reading.parse(text, "gate-0.ini").unwrap()
        assert features.preemption.enabled == ("[preemption]" in text)
        assert bool(features.hedging.request_share) == ("[hedging]" in text)


async def test_gateways_get_the_options_of_their_run(tmp_path, monkeypatch):
    # Options that do not reach the process would leave both parts off.
    started = []

    async def record(*args, env, **others):
        started.append(env.get(reading.PATH_VARIABLE))

    monkeypatch.setattr(asyncio, "create_subprocess_exec", record)
    monkeypatch.delenv(reading.PATH_VARIABLE, raising=False)
    bounds = machine.Bounds(2000, 6, 0.2, 30.0, 5.0, 2.0, 0.1, 30.0)
    network = machine.Network()
    try:
        for options in ("", deployment.OPTIONS[0]):
            await machine.Machine(
                0, tmp_path, "127.0.0.1:1", bounds, network, options
            ).start()
    finally:
        network.close()
    assert started == [None, str(tmp_path / "gate-0.ini")]
    assert (tmp_path / "gate-0.ini").read_text() == deployment.OPTIONS[0]
