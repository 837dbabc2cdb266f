"""Tests of the benchmark measurements."""

import os

from click import testing
import pytest

from cranberryglade.tools import benchallocator
from cranberryglade.tools import benchslopes
from cranberryglade.tools import commands
from cranberryglade.tools import processes


def test_a_slope_is_fitted_to_the_measured_values():
    slope = benchslopes.measure(
        "n", "us", "item", (1, 2, 4), lambda size: 3.0 + 2.0 * size
    )
    assert (slope.slope, slope.base) == (2.0, 3.0)
    assert slope.values == [5.0, 7.0, 11.0]


def test_usage_is_read_of_a_running_process():
    first = processes.usage(os.getpid())
    assert sum(range(5_000_000))
    second = processes.usage(os.getpid())
    assert second.cpu_seconds > first.cpu_seconds
    assert second.peak_bytes >= second.resident_bytes > 1_000_000
    mean = processes.mean_usage([first], [second], 2.0)
    cpu_seconds = second.cpu_seconds - first.cpu_seconds
    assert abs(mean.cores - cpu_seconds / 2.0) < 1e-4


def test_rest_prints_the_usage_of_a_process():
    result = testing.CliRunner().invoke(
        commands.main, ["bench", "rest", "--seconds=0.1", str(os.getpid())]
    )
    assert result.exit_code == 0
    assert '"processes":1' in result.output


def test_an_allocator_grants_the_slots_of_all_instances():
    plan = benchallocator.Plan(instances=20, endpoints=5, seconds=1.0)
    measured = benchallocator.measure(plan)
    assert measured.granted + measured.denied > 20
    assert measured.counts["Ping"] == pytest.approx(38, abs=2)
    assert measured.microseconds["SlotRequest"] > 0.0


def test_the_load_of_an_allocator_is_reproducible():
    plan = benchallocator.Plan(instances=20, endpoints=5, load=1.5, seconds=2.0)
    first, second = (benchallocator.measure(plan) for _ in range(2))
    assert first.counts == second.counts
    assert first.most_waiting == second.most_waiting > 0


def test_bench_allocator_prints_the_cost_of_each_type_of_message():
    result = testing.CliRunner().invoke(
        commands.main,
        ["bench", "allocator", "--instances=20", "--seconds=0.5"],
    )
    assert result.exit_code == 0
    assert "SlotRequest" in result.output
