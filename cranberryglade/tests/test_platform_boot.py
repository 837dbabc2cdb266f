"""The platform's settings file and the pinned requirements of its build."""

import pathlib

import hypothesis
from hypothesis import strategies
import pytest
from returns.result import Failure
from returns.result import Success

from cranberryglade.platform import boot
from cranberryglade.tests import odd_values

ROOT = pathlib.Path(__file__).parents[2]
FILE = """
node = "front-1"
role = "gateway"
ip = "10.1.0.25"
zone = "north"
internal_port_range = [7600, 7615]
something_new = { a = 1 }
[listen]
front = "10.1.0.25:8221"
ready = "10.1.0.25:8224"
[bounds]
enforce_revocation = true
revoke_ms = 5000
grace_s = 8
quota_slack = 190000
[platform]
address = "10.200.1.7:8225"
"""


def read_settings(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text, encoding="utf-8")
    return boot.read(str(path))


def test_settings_become_those_of_the_gateway(tmp_path):
    match read_settings(tmp_path, FILE):
        case Success(configured):
            pass
    assert configured.instance == "front-1"
    assert configured.failure_domain == "north"
    assert configured.peer_port == 7600
    assert configured.revoke_seconds == 5.0
    assert configured.grace_seconds == 8.0
    assert configured.quota_slack == 190000.0


def test_the_machine_is_as_large_as_the_file_states(tmp_path):
    limits = "[limits]\ncpu_share = 0.5\ncpu_cores = 3\nlink_mbps = 20.0\n"
    match read_settings(tmp_path, FILE + limits):
        case Success(configured):
            assert configured.processor_cores == 1.5
            assert configured.link_mbps == 20.0


def test_no_bound_on_keys_unless_it_is_enforced(tmp_path):
    text = FILE.replace("enforce_revocation = true", "")
    match read_settings(tmp_path, text):
        case Success(configured):
            assert configured.revoke_seconds is None


def test_a_wrong_or_missing_setting_is_named(tmp_path):
    match read_settings(tmp_path, FILE.replace('node = "front-1"', "node = 7")):
        case Failure(problem):
            assert "node" in problem and "boot.toml" in problem
    match read_settings(tmp_path, FILE.replace('zone = "north"', "")):
        case Failure(problem):
            assert "zone" in problem
    assert isinstance(boot.read(str(tmp_path / "none")), Failure)


def test_the_build_takes_the_versions_that_the_project_pins():
    pinned = (ROOT / "constraints.txt").read_text(encoding="utf-8")
    wanted = (ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8")
    assert set(wanted.splitlines()) <= set(pinned.splitlines())


ODD_SETTINGS = [
    "a = " + "[" * 3000,
    "a = 1" + "0" * 5000,
    FILE.replace("[7600, 7615]", "[70000, 70001]"),
    FILE.replace(":8221", ":70000"),
    FILE.replace(":8225", ":x"),
    FILE.replace("10.200.1.7", "x" * 80),
    FILE.replace("10.200.1.7", "\\u0000"),
    FILE.replace("grace_s = 8", "grace_s = nan"),
    FILE.replace("grace_s = 8", "grace_s = -1"),
    FILE.replace("grace_s = 8", "quota_window_s = 0"),
    FILE.replace("slack = 190000", "slack = inf"),
]


@pytest.mark.parametrize("text", ODD_SETTINGS)
def test_settings_that_cannot_be_used_are_refused(text, tmp_path):
    match read_settings(tmp_path, text):
        case Failure(problem):
            assert "boot.toml" in problem
        case Success(_):
            pytest.fail("accepted")


@odd_values.SETTINGS
@hypothesis.given(data=strategies.binary(max_size=200))
def test_any_settings_file_gives_settings_or_a_problem(data, tmp_path_factory):
    path = tmp_path_factory.getbasetemp() / "any.toml"
    path.write_bytes(data)
    assert isinstance(boot.read(str(path)), (Success, Failure))


def test_operators_options_are_part_of_the_settings(tmp_path, monkeypatch):
    own = tmp_path / "gateway.ini"
    own.write_text("[hedging]\nrequest_share = 0.02\n", encoding="utf-8")
    monkeypatch.setenv("CRANBERRYGLADE_SETTINGS", str(own))
    match read_settings(tmp_path, FILE):
        case Success(configured):
            assert configured.options.hedging.request_share == 0.02


def test_operators_options_that_cannot_be_read_name_their_file(
    tmp_path, monkeypatch
):
    own = tmp_path / "gateway.ini"
    own.write_text("[hedging]\nrequest_share = many\n", encoding="utf-8")
    monkeypatch.setenv("CRANBERRYGLADE_SETTINGS", str(own))
    match read_settings(tmp_path, FILE):
        case Failure(problem):
            assert f"{own}: [hedging] request_share = many" in problem
        case Success(_):
            raise AssertionError
