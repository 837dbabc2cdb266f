"""The explorer of a request's life, and what it finds on the gateway."""

import json
import pathlib

from click import testing
import pytest

from cranberryglade.checking import aiming
from cranberryglade.checking import exploring
from cranberryglade.checking import observed
from cranberryglade.checking import request_life
from cranberryglade.checking import steps
from cranberryglade.checking import world
from cranberryglade.gateway import forwarding
from cranberryglade.tools import check
from cranberryglade.tools import commands

TRACES = sorted((pathlib.Path(__file__).parent / "life_traces").iterdir())
SEED = 1
WALKS = 200
DEPTH = 1


def run(*arguments):
    return testing.CliRunner().invoke(
        commands.main, ["check", *map(str, arguments)]
    )


def a_trace(text: str) -> steps.Trace:
    return steps.parse(text).unwrap()


def nothing_found(trace) -> world.Result:
    return world.Result((), frozenset(), frozenset(), trace)


def violated_if(is_violated):
    """Returns a play that shows a violation for certain traces."""

    def play(trace):
        found = [observed.Violation("pay", "ran 2 times")]
        violations = found if is_violated(trace) else []
        return world.Result(tuple(violations), frozenset(), frozenset(), trace)

    return play


def test_every_whole_request_ends_in_one_answer_in_a_bounded_exploration(
    capsys,
):
    exploration = exploring.Exploration(lambda: False)
    exploration.try_all(DEPTH)
    exploration.walk_randomly(SEED, WALKS)
    with capsys.disabled():
        print(
            f"\n{exploration.walks} walks; cells: {len(exploration.visited)} "
            f"visited, {len(exploration.excused)} excused an end, "
            f"{len(exploration.never_reached)} never reached"
        )
    assert exploration.found is None
    assert exploration.depth == DEPTH
    assert len(exploration.visited) > len(exploration.excused) > 0


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_kept_trace_shows_no_violation(path):
    result = world.play(steps.read(path).unwrap())
    assert result.violations == ()


def test_a_trace_shows_the_same_when_it_is_played_again():
    trace = a_trace("send write\nevent e0\nevent e1\nwait long\nreset e0")
    assert world.play(trace) == world.play(trace)


def test_request_that_was_passed_on_and_is_not_answered_is_found(monkeypatch):
    async def give_up(forwarder, request, connection):
        connection.abort()

    monkeypatch.setattr(forwarding.Forwarder, "handle", give_up)
    result = world.play(a_trace("send pay"))
    assert [each.detail for each in result.violations] == [
        "ends without an answer"
    ]


def test_request_on_a_kept_connection_that_is_not_answered_is_found(
    monkeypatch,
):
    # The close that the caller has not read before it sent excuses nothing.
    handle = forwarding.Forwarder.handle

    async def drop_second(forwarder, request, responder):
        if request.target.startswith(b"/look/"):
            responder.abort()
        else:
            await handle(forwarder, request, responder)

    monkeypatch.setattr(forwarding.Forwarder, "handle", drop_second)
    for wait in ("short", "long", "longer"):
        trace = a_trace(f"send write\nfinish e0\nwait {wait}\nsend look")
        result = world.play(trace)
        assert [each.detail for each in result.violations] == [
            "ends without an answer"
        ]


def test_all_orders_up_to_a_depth_are_tried():
    tried = []

    def play(trace):
        tried.append(trace)
        return nothing_found(trace)

    exploration = exploring.Exploration(lambda: False, play=play)
    exploration.try_all(2)
    count = len(steps.alphabet())
    assert len(tried) == len(set(tried)) == count + count**2


def test_walk_without_effect_is_not_continued():
    tried = []

    def play(trace):
        tried.append(trace)
        return world.Result((), frozenset(), frozenset(), ())

    exploring.Exploration(lambda: False, play=play).try_all(3)
    assert len(tried) == len(steps.alphabet())


def test_walks_aim_at_cells_that_were_not_seen():
    # Guards against a bias that brings no request to an unseen cell.
    cell = request_life.Position(
        request_life.State.STREAMING, request_life.Event.CALLER_LEFT
    )
    traces = aiming.aimed([cell])
    assert traces
    assert any(cell in world.play(trace).visited for trace in traces)


def test_failing_walk_is_shortened():
    needed = {steps.Verb.SIGTERM, steps.Verb.RESET}
    exploration = exploring.Exploration(
        lambda: False,
        play=violated_if(lambda trace: needed <= {step.verb for step in trace}),
    )
    exploration.walk_randomly(SEED, 1000)
    assert len(exploration.found.trace) == len(needed)


def test_no_walk_begins_once_the_time_is_over():
    exploration = exploring.Exploration(lambda: True, play=nothing_found)
    exploration.try_all(2)
    exploration.walk_randomly(SEED)
    assert exploration.walks == 0
    assert exploration.depth == 0


def test_trace_is_read_as_it_is_written():
    trace = tuple(steps.alphabet())
    assert steps.parse(steps.render(trace)).unwrap() == trace
    quick = (steps.Step(steps.Verb.SEND, "pay", 3),)
    assert steps.parse(steps.render(quick)).unwrap() == quick


@pytest.mark.parametrize(
    ("text", "line", "named"),
    [
        ("send pay\nfly away", 2, "fly"),
        ("send nobody", 1, "nobody"),
        ("# none\n\nsend pay +many", 3, "many"),
        ("sigterm now", 1, "now"),
    ],
)
def test_bad_line_of_a_trace_is_named(tmp_path, text, line, named):
    path = tmp_path / "bad.trace"
    path.write_text(text)
    result = run("--replay", path)
    assert result.exit_code == 2
    assert f"{path}:{line}: " in result.output
    assert named in result.output


@pytest.mark.parametrize("content", [None, b"", b"# none\n", b"\xff\xfe"])
def test_unreadable_trace_is_named(tmp_path, content):
    path = tmp_path / "bad.trace"
    if content is not None:
        path.write_bytes(content)
    result = run("--replay", path)
    assert result.exit_code == 2
    assert str(path) in result.output


@pytest.mark.parametrize(
    "arguments", [("--depth", 0), ("--seconds", 0), ("--seed", "x")]
)
def test_bad_option_is_named(arguments):
    result = run(*arguments)
    assert result.exit_code == 2
    assert arguments[0] in result.output


def test_replay_reports_what_it_shows(tmp_path):
    path = tmp_path / "one.trace"
    path.write_text("send pay\nfinish e0\nfinish e1\n")
    result = run("--replay", path, "--json")
    report = json.loads(result.output)
    assert result.exit_code == 0
    assert report["walks"] == 1
    assert report["violations"] == []


def test_violation_is_printed_with_its_trace(monkeypatch):
    play = violated_if(lambda trace: trace[-1].verb is steps.Verb.SIGTERM)
    exploration = exploring.Exploration(lambda: False, play=play)
    exploration.try_all(1)
    monkeypatch.setattr(
        check, "_explore", lambda *_: check._report(exploration, 1.0)
    )
    result = run()
    assert result.exit_code == check.EXIT_VIOLATED
    assert "violation: pay: ran 2 times" in result.output
    assert "  sigterm" in result.output


def test_cells_that_cannot_happen_are_not_called_unreached():
    exploration = exploring.Exploration(lambda: False, play=nothing_found)
    cannot_happen = request_life.Position(
        request_life.State.ANSWERED, request_life.Event.ENDPOINT_LOST
    )
    assert cannot_happen not in exploration.never_reached
