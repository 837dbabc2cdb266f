"""Tests of the benchmark measurements."""

import os

from click import testing

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
