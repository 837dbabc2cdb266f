"""Format of configuration versions in the store and between instances.

The row `current` holds a head: the author of the version, its digest, and the
lines that it changed. A ring of KEPT_TEXTS rows holds the last whole texts. An
instance that is one version behind needs only the head.
"""

import hashlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import tables
from cranberryglade import wire
from cranberryglade.gateway import ports

TABLE = ports.Table.REVISIONS
CURRENT_KEY = "current"
KEPT_TEXTS = 64


class Change(wire.Document):
    """Range of lines that a version replaces.

    Attributes:
        start: index of the first replaced line, from 0.
        removed: number of lines of the previous text that are replaced.
        inserted: the lines that replace them.
    """

    start: int
    removed: int
    inserted: list[str]


class Head(wire.Document):
    """Value of the row `current`.

    Attributes:
        nonce: chosen by the writer; identifies its write if the answer to it
            was lost.
        operator: name of the operator who wrote it.
        sha256: digest of the whole text.
        change: difference from the text of the previous version.
    """

    nonce: str
    operator: str
    sha256: str
    change: Change


class Revision(wire.Document):
    """One whole version, as stored in the ring.

    Attributes:
        version: number of the version.
        nonce: chosen by the writer; "" for a row written by hand.
        operator: who wrote it; "" for a row written by hand.
        text: INI text.
        accepted_at: time of acceptance, ISO 8601, by the clock of the instance
            that wrote it; only for people, no decision depends on it.
    """

    version: int
    nonce: str
    operator: str
    text: str
    accepted_at: str = ""


class UpdateRequest(wire.Document):
    """Request to a peer for the changes after a version.

    Attributes:
        known_version: the newest version that the sender has; 0 for none.
    """

    known_version: int


class Update(wire.Document):
    """Changes from a known version to the newest one.

    Attributes:
        version: the newest version.
        nonce: nonce of its writer.
        operator: name of the operator who wrote it.
        sha256: digest of its whole text.
        changes: changes to apply to the known version, oldest first.
        text: the whole text, if the changes are no longer kept.
    """

    version: int
    nonce: str
    operator: str
    sha256: str
    changes: list[Change] = []
    text: str | None = None


def digest(text: str) -> str:
    """Returns the SHA-256 hex digest of a whole text."""
    return hashlib.sha256(text.encode()).hexdigest()


def text_key(version: int) -> str:
    """Returns the key of the row in the ring for a version's text."""
    return f"text-{version % KEPT_TEXTS}"


def change_between(old: str, new: str) -> Change:
    r"""Returns the smallest single range of lines that differs.

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
    """Applies changes; fails if the digest of the result does not match."""
    lines = text.split("\n")
    for change in changes:
        lines[change.start : change.start + change.removed] = change.inserted
    changed = "\n".join(lines)
    if digest(changed) != sha256:
        return Failure(
            "the changed text does not match the digest of its version"
        )
    return Success(changed)


def decode_head(row: tables.Row) -> Result[Head, str]:
    """Decodes the row `current`; fails for a text written by hand."""
    return wire.decode(row.value.encode(), Head)


def encode_head(revision: Revision, previous_text: str) -> str:
    """Encodes the value of the row `current`.

    Args:
        revision: the version to write.
        previous_text: text of the version before it.
    """
    head = Head(
        nonce=revision.nonce,
        operator=revision.operator,
        sha256=digest(revision.text),
        change=change_between(previous_text, revision.text),
    )
    return wire.encode(head).decode()
