"""How a version of the configuration is stored and passed on.

The row `current` holds a head: who wrote the version, its digest, and which
lines it changed. A ring of rows holds the last whole texts. An instance that
is one version behind needs only the head.
"""

import hashlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import tables
from cranberryglade import wire
from cranberryglade.gateway import ports

TABLE = ports.Table.REVISIONS
CURRENT = "current"
KEPT_TEXTS = 64


class Change(wire.Document):
    """Lines replaced by a version.

    Attributes:
        start: first line replaced, counted from 0.
        removed: how many lines of the former text are replaced.
        inserted: the lines that take their place.
    """

    start: int
    removed: int
    inserted: list[str]


class Head(wire.Document):
    """Value of the row `current`.

    Attributes:
        nonce: chosen by the writer, to settle a lost answer.
        operator: who wrote it.
        sha256: digest of the whole text.
        change: how the text differs from the former version.
    """

    nonce: str
    operator: str
    sha256: str
    change: Change


class Revision(wire.Document):
    """One whole version, as kept in the ring.

    Attributes:
        version: number of the version.
        nonce: chosen by the writer; "" for a row written by hand.
        operator: who wrote it; "" for a row written by hand.
        text: INI text.
        accepted_at: when, by the clock of the instance that wrote it; for
            people, nothing is decided by it.
    """

    version: int
    nonce: str
    operator: str
    text: str
    accepted_at: str = ""


class UpdateRequest(wire.Document):
    """Asks a peer for what came after a version.

    Attributes:
        known_version: the newest version that the sender knows; 0 for none.
    """

    known_version: int


class Update(wire.Document):
    """What came after a version.

    Attributes:
        version: the newest version.
        nonce: its writer's nonce.
        operator: its writer.
        sha256: digest of its whole text.
        changes: how to get there from the known version, oldest first.
        text: the whole text, when the changes are not kept.
    """

    version: int
    nonce: str
    operator: str
    sha256: str
    changes: list[Change] = []
    text: str | None = None


def digest(text: str) -> str:
    """Digest of a whole text."""
    return hashlib.sha256(text.encode()).hexdigest()


def text_key(version: int) -> str:
    """Key of the row of the ring that holds a version's text."""
    return f"text-{version % KEPT_TEXTS}"


def change_between(old: str, new: str) -> Change:
    r"""Finds the one range of lines that differs.

    >>> change = change_between("a\nb\nc", "a\nx\ny\nc")
    >>> change.start, change.removed, change.inserted
    (1, 1, ['x', 'y'])
    """
    before = old.split("\n")
    after = new.split("\n")
    start = 0
    while start < min(len(before), len(after)):
        if before[start] != after[start]:
            break
        start += 1
    end = 0
    while end < min(len(before), len(after)) - start:
        if before[-1 - end] != after[-1 - end]:
            break
        end += 1
    return Change(
        start=start,
        removed=len(before) - end - start,
        inserted=after[start : len(after) - end],
    )


def apply(text: str, changes: list[Change], sha256: str) -> Result[str, str]:
    """Applies changes; fails unless the digest of the result matches."""
    lines = text.split("\n")
    for change in changes:
        lines[change.start : change.start + change.removed] = change.inserted
    changed = "\n".join(lines)
    if digest(changed) != sha256:
        return Failure("the changes do not lead to the text of that version")
    return Success(changed)


def read_head(row: tables.Row) -> Result[Head, str]:
    """Reads the row `current`; fails for a text written by hand."""
    return wire.decode(row.value.encode(), Head)


def write_head(revision: Revision, former: str) -> str:
    """The value of the row `current` for a version that follows a text."""
    head = Head(
        nonce=revision.nonce,
        operator=revision.operator,
        sha256=digest(revision.text),
        change=change_between(former, revision.text),
    )
    return wire.encode(head).decode()
