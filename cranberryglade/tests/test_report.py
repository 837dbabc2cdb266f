"""Tests that the demonstration's report detects violated guarantees."""

import dataclasses

import pytest

from cranberryglade import wire
from cranberryglade.tools import load
from cranberryglade.tools import report

KIND = load.Kind(
    name="deposit",
    tier="counter",
    organisation="store",
    token="",
    rate_per_second=1.0,
    deadline_seconds=5.0,
    first_token_seconds=0.5,
    at_most_once=True,
    service=False,
    prompt_tokens=(0, 0),
    max_tokens=(0, 0),
)


def make_result(reference, verdict="ran", **changes):
    defaults = {"seconds": 1.0, "first_token_seconds": 0.2, "kind": KIND}
    return load.Result(
        reference=reference, verdict=verdict, **{**defaults, **changes}
    )


def make_run(reference, tokens=100):
    return wire.EngineRequest(
        request_id="r",
        attempt=1,
        kind=KIND.name,
        prompt=reference,
        prompt_tokens=tokens,
    )


def test_a_clean_run_is_no_violation():
    found = report.evaluate(
        {
            "shop": [
                make_result("a"),
                make_result("b", "not_run", refusal_reasons=["shed"]),
            ]
        },
        [make_run("a")],
    )
    assert not found.violated
    assert (found.prefill_tokens, found.wasted_tokens) == (100, 0)
    assert found.refusals == {"shed": 1}
    assert found.goodput == [
        report.TierGoodput(
            *("shop", "counter"),
            offered=2,
            in_time=1,
            share=0.5,
            began_in_time=1,
        )
    ]
    assert "ran twice: none" in report.describe(found)


@pytest.mark.parametrize(
    ("results", "runs", "field"),
    [
        ([make_result("a")], [make_run("a"), make_run("a")], "ran_twice"),
        (
            [make_result("a", "may_have_run")],
            [make_run("a"), make_run("a")],
            "ran_twice",
        ),
        ([make_result("a", "not_run")], [make_run("a")], "untrue"),
    ],
)
def test_violated_guarantees_are_reported(results, runs, field):
    found = report.evaluate({"shop": results}, runs)
    assert found.violated
    assert getattr(found, field) == ["a"]
    assert '["a"]' in report.describe(found)


def test_an_idempotent_request_may_run_twice_and_wastes_prefill():
    kind = dataclasses.replace(KIND, at_most_once=False)
    found = report.evaluate(
        {"shop": [make_result("a", kind=kind)]},
        [make_run("a"), make_run("a", 70)],
    )
    assert not found.violated
    assert (found.prefill_tokens, found.wasted_tokens) == (170, 100)


@pytest.mark.parametrize(
    ("changes", "in_time", "wasted"),
    [({"seconds": 5.1}, 0, 100), ({"first_token_seconds": 0.6}, 1, 0)],
)
def test_late_answers_and_late_first_tokens_are_distinguished(
    changes, in_time, wasted
):
    found = report.evaluate(
        {"shop": [make_result("a", **changes)]}, [make_run("a")]
    )
    assert found.goodput[0].in_time == in_time
    assert found.goodput[0].began_in_time == 0
    assert found.wasted_tokens == wasted
