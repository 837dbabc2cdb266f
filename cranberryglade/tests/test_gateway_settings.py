"""The operators' settings file of a gateway."""

import pathlib

import pytest
from returns.result import Failure
from returns.result import Success

from cranberryglade.gateway_settings import features
from cranberryglade.gateway_settings import reading

ROOT = pathlib.Path(__file__).parents[2]


def test_without_a_file_the_defaults_hold():
    assert reading.read("") == Success(features.Features())


def test_an_empty_file_leaves_the_defaults():
    assert reading.parse("", "gateway.ini") == Success(features.Features())


def test_options_of_a_section_are_read():
    match reading.parse("[hedging]\nrequest_share = 0.02\n", "gateway.ini"):
        case Success(read):
            pass
    assert read.hedging.request_share == 0.02
    assert read.placement == features.Features().placement


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("[hedging]\nrequest_share = 2\n", "request_share = 2"),
        ("[hedging]\nshare = 0.1\n", "share = (unknown)"),
        ("[hedge]\n", "[hedge]"),
        ("request_share = 0.1\n", "no section"),
    ],
)
def test_bad_input_is_named_with_its_file(text, named):
    match reading.parse(text, "gateway.ini"):
        case Failure(problem):
            assert named in problem
            assert "gateway.ini" in problem
        case Success(_):
            raise AssertionError(text)


def test_a_missing_file_is_named(tmp_path):
    path = tmp_path / "gateway.ini"
    match reading.read(str(path)):
        case Failure(problem):
            assert str(path) in problem
        case Success(_):
            raise AssertionError


def test_the_deployed_settings_can_be_read():
    match reading.read(str(ROOT / "deploy" / "gateway.ini")):
        case Failure(problem):
            raise AssertionError(problem)
