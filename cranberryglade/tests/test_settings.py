"""Invalid settings are reported by name, and the daemon does not start."""

from click import testing
import pytest

from cranberryglade import daemon
from cranberryglade import settings

VALID_SETTINGS = """[daemon]
instance = entry-1
failure_domain = wien-a
[platform]
address = 127.0.0.1:8090
[keys]
peer = abababababababababababababababab
ticket = cdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcd
"""


def run_daemon(path):
    return testing.CliRunner().invoke(daemon.main, ["--settings", str(path)])


def test_defaults_fill_what_is_absent():
    read = settings.parse(VALID_SETTINGS, "good").unwrap()
    assert read.caller_address == settings.DEFAULT_CALLER_ADDRESS
    assert read.request_bytes == settings.DEFAULT_REQUEST_BYTES
    assert (read.spans_file, read.statsd_address) == ("", "")


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (("wien-a", "Wien A"), "[daemon] failure_domain = Wien A: allowed is"),
        (("address = 127.0.0.1:8090", ""), "[platform] address = (missing)"),
        (("[keys]", "colour = red\n[keys]"), "[platform] colour = (unknown)"),
        (("[keys]", "[locks]"), "[locks] = (unknown)"),
        (("[daemon]", "[daemon"), "INI text"),
        (("instance", "instance = a\ninstance"), "already exists"),
        (("peer = ab", "peer = zz"), "[keys] peer = (hidden)"),
        ((":8090", ":80900"), "[platform] address = 127.0.0.1:80900"),
        ((":8090", ":8o9"), "[platform] address = 127.0.0.1:8o9"),
        (
            ("[platform]", "request_bytes = 12\n[platform]"),
            "[daemon] request_bytes = 12: allowed is a whole number of bytes",
        ),
        (
            ("[keys]", "poll_seconds = nan\n[keys]"),
            "[platform] poll_seconds = nan: allowed is a number of seconds",
        ),
        (
            ("[keys]", "[observation]\nspans_file = /none/such/x\n[keys]"),
            "[observation] spans_file = /none/such/x",
        ),
        (
            ("[keys]", "[observation]\nlog_level = loud\n[keys]"),
            "one of debug, info, warning, error",
        ),
    ],
)
def test_invalid_setting_is_reported_and_prevents_start(
    change, message, tmp_path
):
    path = tmp_path / "entry-1.ini"
    path.write_text(VALID_SETTINGS.replace(*change, 1), encoding="utf-8")
    result = run_daemon(path)
    assert result.exit_code == daemon.EXIT_SETTINGS, result.output
    assert message in result.output
    assert str(path) in result.output
    assert "zzababab" not in result.output


def test_all_invalid_settings_are_reported_together(tmp_path):
    path = tmp_path / "entry-1.ini"
    path.write_text("[daemon]\ninstance = A\n[platform]\naddress = b\n")
    result = run_daemon(path)
    assert result.exit_code == daemon.EXIT_SETTINGS
    lines = result.output.splitlines()
    assert len(lines) == 5, lines
    assert all(line.startswith(f"{path}: [") for line in lines)


@pytest.mark.parametrize("content", [None, b"\xff\xfe"])
def test_unreadable_file_is_reported(content, tmp_path):
    path = tmp_path / "entry-1.ini"
    if content is not None:
        path.write_bytes(content)
    result = run_daemon(path)
    assert result.exit_code == daemon.EXIT_SETTINGS
    assert "a readable UTF-8 file" in result.output
