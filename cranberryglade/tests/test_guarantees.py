"""Checks that the tests named on the page about guarantees exist."""

import pathlib
import re

TESTS = pathlib.Path(__file__).parent
PAGE = TESTS.parents[1] / "docs" / "guarantees.md"
HEADING = "| fault |"


def rows(text, heading):
    after = text[text.index(heading) :].split("\n\n")[0].splitlines()
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in after[2:]
    ]


def test_every_cell_names_tests_or_says_that_it_is_not_proved():
    text = PAGE.read_text(encoding="utf-8")
    legend = {
        letters
        for row in rows(text, "| letters |")
        for letters in row[0].split(", ")
    }
    for row in rows(text, HEADING):
        assert len(row) == 9, row
        for cell in row[1:]:
            if cell not in ("-", "not proved"):
                without_remarks = re.sub(r" \(.*?\)", "", cell)
                assert set(without_remarks.split(", ")) <= legend, row


def test_every_test_that_is_named_exists():
    named_tests = set(
        re.findall(r"`(test_\w+)`", PAGE.read_text(encoding="utf-8"))
    )
    defined_tests = {
        name
        for path in TESTS.glob("test_*.py")
        for name in re.findall(r"def (test_\w+)", path.read_text())
    }
    assert named_tests - defined_tests == set()
