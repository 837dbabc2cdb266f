"""The table of a request's life is total and agrees with its page."""

import itertools
import pathlib

import pytest

from cranberryglade.checking import request_life

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "request-ends.md"
POSITIONS = [
    request_life.Position(*pair)
    for pair in itertools.product(request_life.State, request_life.Event)
]
CANNOT_HAPPEN = "–"


def written_cells() -> dict[request_life.Position, str]:
    """Returns the cells of the table that is written by hand."""
    _, _, section = PAGE.read_text(encoding="utf-8").partition(
        "## States and events"
    )
    rows = [line for line in section.splitlines() if line.startswith("|")]
    head, _, *body = [
        [cell.strip() for cell in row.strip("|").split("|")] for row in rows
    ]
    return {
        request_life.Position(
            request_life.State(cells[0]), request_life.Event(event)
        ): cell
        for cells in body
        for event, cell in zip(head[1:], cells[1:], strict=True)
    }


def test_every_cell_is_filled():
    assert set(request_life.TABLE) == set(POSITIONS)
    assert all(cell.reason for cell in request_life.TABLE.values())


@pytest.mark.parametrize("position", POSITIONS, ids=str)
def test_cell_agrees_with_the_page_of_ends(position):
    written = written_cells()[position]
    outcome = request_life.TABLE[position].outcome
    cannot_happen = isinstance(outcome, request_life.CannotHappen)
    assert cannot_happen == (written == CANNOT_HAPPEN)
    allowed = request_life.endings(outcome)
    statuses = {
        status
        for ending in allowed
        if isinstance(ending, request_life.Answered)
        for status in ending.statuses
    }
    assert {str(status) for status in statuses} >= set(
        word.strip(";,") for word in written.split() if word[:3].isdigit()
    )
    is_cut = any(isinstance(each, request_life.Cut) for each in allowed)
    if "cut" in written.replace("dropped if the answer before is cut", ""):
        assert is_cut


def test_every_end_without_an_answer_has_an_excuse():
    for cell in request_life.TABLE.values():
        for ending in request_life.endings(cell.outcome):
            match ending:
                case request_life.Answered(statuses):
                    assert statuses
                case request_life.Cut(excuse) | request_life.Dropped(excuse):
                    assert excuse in request_life.Excuse
