"""Tests of extracting one request's history from several instances' logs."""

import json

from click import testing

from cranberryglade.tools import commands
from cranberryglade.tools import loglines


def make_line(second, instance, event, **fields):
    return json.dumps(
        {
            "timestamp": f"2026-12-04T10:00:{second:02}.000000Z",
            "instance": instance,
            "event": event,
            "level": "info",
        }
        | fields
    )


LINES = [
    make_line(1, "front-1", "store.lost", reason="unreachable"),
    make_line(2, "front-2", "endpoint.doubted", endpoint="e-7", outcome="lost"),
    make_line(3, "front-1", "attempt.ended", id="r-1", endpoint="e-7"),
    make_line(4, "front-1", "request.ended", id="r-1", status=502),
    make_line(4, "front-3", "request.ended", id="r-2", status=200),
    make_line(9, "front-1", "store.regained"),
    "not a log line",
]


def test_a_history_has_the_request_lines_and_related_events():
    history = loglines.request_history(loglines.parse(LINES), "r-1")
    assert [each.event for each in history] == [
        "store.lost",
        "endpoint.doubted",
        "attempt.ended",
        "request.ended",
    ]


def test_the_command_reads_files_and_standard_input(tmp_path):
    path = tmp_path / "front.log"
    path.write_text("\n".join(LINES), encoding="utf-8")
    runner = testing.CliRunner()
    arguments = ["explain", "r-1", "--logs"]
    from_file = runner.invoke(commands.main, [*arguments, str(path)])
    from_input = runner.invoke(
        commands.main, [*arguments, "-"], input="\n".join(LINES)
    )
    assert from_file.exit_code == 0
    assert from_file.output == from_input.output
    assert "status=502" in from_file.output
    unknown = runner.invoke(
        commands.main, ["explain", "r-9", "--logs", str(path)]
    )
    assert unknown.exit_code == 1
