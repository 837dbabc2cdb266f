"""Tests of traces, the engine model in virtual time, and whole replays."""

import pathlib

from click import testing
import msgspec
import pytest

from cranberryglade.replay import bound
from cranberryglade.replay import calls
from cranberryglade.replay import clock
from cranberryglade.replay import engines
from cranberryglade.replay import fairness
from cranberryglade.replay import generator
from cranberryglade.replay import measures
from cranberryglade.replay import runs
from cranberryglade.replay import traces
from cranberryglade.scheduling import policies
from cranberryglade.standins import model
from cranberryglade.tools import commands

SAMPLES = pathlib.Path(__file__).parents[2] / "samples" / "traces"
SPEED = model.Speed(batch=2, step_seconds=0.1, sequence_seconds=0.0)


def request(name="r1", **changes):
    values = {
        "at": 0.0,
        "request_id": name,
        "organisation": "a",
        "kind": "k",
        "target": "t",
        "rank": 0,
        "prompt_tokens": 10,
        "max_tokens": 10,
        "output_tokens": 10,
        "deadline_seconds": 5.0,
        "first_token_seconds": 1.0,
    }
    return traces.Request(**{**values, **changes})


def trace(requests, faults=(), engine_count=1, instances=1):
    lines = [
        traces.Endpoint(name=f"e{n}", target="t", slots=2, speed=SPEED)
        for n in range(engine_count)
    ]
    header = traces.Header(name="test", instances=instances)
    return traces.Trace(header, lines, list(requests), list(faults))


def outcomes(result):
    return [call.outcome for call in result.calls]


@pytest.mark.parametrize(
    "path", sorted(SAMPLES.glob("*.jsonl")), ids=lambda path: path.name
)
def test_committed_traces_come_from_the_generator(path):
    loaded = traces.read(path)
    deployment = path.name.split("-")[0]
    generated = generator.make(
        deployment,
        loaded.header.capacity,
        150.0 if "overload" in path.name else 100.0,
        seed=1,
        instances=loaded.header.instances,
    )
    assert generated == loaded
    lengths = [r.prompt_tokens for r in loaded.requests if r.max_tokens]
    assert max(lengths) > 100 * min(lengths)


@pytest.mark.parametrize(
    "content",
    [b"", b'{"type":"request"}\n', b'{"type":"header","name":"x","hops":1}\n'],
)
def test_a_file_of_another_format_is_refused(tmp_path, content):
    path = tmp_path / "trace.jsonl"
    path.write_bytes(content)
    with pytest.raises(ValueError, match=r"trace\.jsonl"):
        traces.read(path)


def test_a_prefix_is_prefilled_once_per_endpoint_and_repeats_are_counted():
    virtual_clock = clock.Clock()
    count = engines.PrefillCount()
    replicas = []
    for name in ("e0", "e1"):
        line = traces.Endpoint(name=name, target="t", speed=SPEED)
        replicas.append(engines.Engine(line, virtual_clock, replicas, count))
    for number, engine in enumerate((replicas[0], replicas[0], replicas[1])):
        line = request(prompt_tokens=100, prefix="p", prefix_tokens=60)
        attempt = engines.Attempt(
            line, f"a{number}", lambda: None, lambda: None, lambda: None
        )
        engine.accept(attempt)
        virtual_clock.run_until(virtual_clock.now + 10.0)
    assert (count.total, count.repeated) == (100 + 40 + 100, 60)


FAULTS = [
    ([], calls.Outcome.IN_TIME, 0),
    ([traces.Fault(at=0.5, fault="slow", subject="e0", factor=9.0)],
     calls.Outcome.LATE, 10),
    ([traces.Fault(at=0.5, fault="died", subject="e0")],
     calls.Outcome.UNKNOWN, 10),
    ([traces.Fault(at=0.5, fault="instance_died", subject="entry-0")],
     calls.Outcome.UNKNOWN, 10),
]  # fmt: skip


@pytest.mark.parametrize(("faults", "outcome", "lost"), FAULTS)
def test_outcome_of_a_running_request_after_a_fault(faults, outcome, lost):
    result = runs.Run(trace([request()], faults), "predictive").run()
    assert outcomes(result) == [outcome]
    assert result.simulation.prefill_count.lost == lost


def test_an_idempotent_request_of_a_dead_instance_is_sent_again():
    fault = traces.Fault(at=0.5, fault="instance_died", subject="entry-0")
    built = trace([request(idempotent=True)], [fault], 3, instances=2)
    result = runs.Run(built, "round-robin").run()
    assert outcomes(result) == [calls.Outcome.IN_TIME]


def test_no_platform_refuses_keyed_requests_and_no_others():
    fault = traces.Fault(at=0.0, fault="platform_down")
    built = trace([request(keyed=True), request("r2")], [fault], 2)
    result = runs.Run(built, "predictive").run()
    assert outcomes(result) == [calls.Outcome.REFUSED, calls.Outcome.IN_TIME]


def test_the_bound_drops_the_largest_request_of_the_lowest_tier():
    small = request("small", rank=1, deadline_seconds=1.2)
    large = request("large", rank=1, output_tokens=19, deadline_seconds=1.2)
    high = request("high", deadline_seconds=1.2)
    # One engine second generates twenty tokens: 2 in each step of 0.1 s.
    assert bound.max_answered_by_rank(trace([large, small, high])) == {
        0: 1,
        1: 1,
    }


def test_shares_compare_with_what_the_open_calls_could_use():
    shares = fairness.Shares(tokens_per_call=10.0)
    served, starved = (
        calls.Call(request(name, organisation=name), 0.0) for name in "ab"
    )
    for call in (served, starved):
        shares.call_started(call)
    served.first_token_at = 0.0
    for _ in range(30):
        shares.count_token(served)
    shares.end_interval(1.0)
    shares.count_token(starved)
    shares.end_interval(2.0)
    assert shares.ratios() == {"b": pytest.approx(1 / 10.5)}


def test_every_policy_replays_with_the_same_figures_each_time():
    generated = generator.make("werkliste", 1.2, 6.0, seed=5, instances=2)
    for policy in policies.POLICIES:
        first, second = (
            measures.figures(runs.Run(generated, policy.name).run())
            for _ in "ab"
        )
        assert first == second
        tiers = [*first.tiers.values(), first.services]
        offered = sum(tier.offered for tier in tiers)
        assert offered == len(generated.requests)
        for tier in tiers:
            ended = tier.in_time + tier.late + tier.refused + tier.unknown
            assert ended == tier.offered


def test_the_command_prints_figures_and_draws_a_plot(tmp_path):
    path, plot = tmp_path / "t.jsonl", tmp_path / "t.png"
    run = testing.CliRunner().invoke
    options = ("--deployment", "tulikalpa", "--seconds", "4")
    assert run(commands.main, ["trace", "make", str(path), *options]).output
    arguments = ["replay", str(path), "--scene", "all", "--policy"]
    result = run(commands.main, [*arguments, "thin", "--json"])
    figures = msgspec.json.decode(result.stdout, type=measures.Figures)
    assert figures.policy == "thin"
    result = run(commands.main, [*arguments, "thin", "--report", str(plot)])
    assert "goodput" in result.output
    assert plot.read_bytes().startswith(b"\x89PNG")
    wrong = run(commands.main, ["replay", str(path), "--scene", "flood"])
    assert wrong.exit_code == 2
