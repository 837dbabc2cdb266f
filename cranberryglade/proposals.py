"""Writes new versions of the configuration and reads its history.

A proposal names the version that it was derived from and carries a nonce. Its
whole text is checked, then written by compare-and-set together with its row
of history. If the answer to the write is lost, the nonce in the history row
shows whether the write took effect. A write that did not take effect is
retried; the compare-and-set prevents it from taking effect twice.
"""

import asyncio
import dataclasses
import datetime
import secrets

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import configuration
from cranberryglade import revisions
from cranberryglade import tables
from cranberryglade import wire

NONCE_BYTES = 8
WRITE_ATTEMPTS = 3
WRITE_RETRY_PAUSE_SECONDS = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The proposal became a version; later versions may have followed."""

    revision: revisions.Revision


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The text is invalid; nothing was written.

    Attributes:
        problems: descriptions of all problems of the text.
    """

    problems: list[str]


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Another change took the version number; nothing was written.

    Attributes:
        proposed: the proposed revision.
        present: the revision stored under that number; None if its text is
            no longer kept.
    """

    proposed: revisions.Revision
    present: revisions.Revision | None


@dataclasses.dataclass(slots=True, frozen=True)
class Uncertain:
    """The outcome is unknown; the platform gave no conclusive answer.

    Attributes:
        nonce: nonce with which the proposal must be retried.
        error: the last error of the platform.
    """

    nonce: str
    error: str


ProposalOutcome = Accepted | Refused | Conflict | Uncertain


class RevisionStore:
    """Writes proposals to the platform's tables and reads the history."""

    __slots__ = ("_platform",)

    def __init__(self, client: tables.Tables):
        self._platform = client

    async def propose(
        self, text: str, expected_version: int, operator: str, nonce: str = ""
    ) -> ProposalOutcome:
        """Proposes a text as the version after the expected one.

        Args:
            text: INI text.
            expected_version: the version that it was derived from.
            operator: name of the operator who proposes it.
            nonce: the same in every retry of one proposal; generated if
                empty.

        Returns:
            What became of the proposal, after at most WRITE_ATTEMPTS writes.
        """
        revision = revisions.Revision(
            version=expected_version + 1,
            nonce=nonce or secrets.token_hex(NONCE_BYTES),
            operator=operator,
            text=text,
            accepted_at=datetime.datetime.now(datetime.UTC).isoformat(
                timespec="seconds"
            ),
        )
        checked = configuration.parse(text, revision.version)
        if isinstance(checked, Failure):
            return Refused([str(problem) for problem in checked.failure()])
        error = ""
        for attempt in range(WRITE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(WRITE_RETRY_PAUSE_SECONDS)
            match await self._try_write(revision):
                case Success(outcome):
                    return outcome
                case Failure(platform_error):
                    error = str(platform_error)
        return Uncertain(revision.nonce, error)

    async def revision(
        self, version: int
    ) -> Result[revisions.Revision | None, tables.PlatformError]:
        """Reads one version; None if its text is no longer kept."""
        match await self._read(revisions.text_key(version)):
            case Success(row):
                return Success(_decode_revision(row, version))
            case Failure(error):
                return Failure(error)

    async def history(
        self, newest: int, count: int
    ) -> Result[list[revisions.Revision], tables.PlatformError]:
        """Reads the last versions, newest first; skips those no longer kept.

        Args:
            newest: the first version to read.
            count: how many versions to read, at most KEPT_TEXTS.
        """
        oldest = max(1, newest - min(count, revisions.KEPT_TEXTS) + 1)
        found = []
        for version in range(newest, oldest - 1, -1):
            match await self.revision(version):
                case Success(None):
                    continue
                case Success(revision):
                    found.append(revision)
                case Failure(error):
                    return Failure(error)
        return Success(found)

    async def _try_write(
        self, revision: revisions.Revision
    ) -> Result[ProposalOutcome, tables.PlatformError]:
        key = revisions.text_key(revision.version)
        current = await self._read(revisions.CURRENT_KEY)
        text_row = await self._read(key)
        if isinstance(current, Failure):
            return current
        if isinstance(text_row, Failure):
            return text_row
        if current.unwrap().version < revision.version - 1:
            detail = f"shows version {current.unwrap().version}"
            return Failure(tables.PlatformError(detail))
        if current.unwrap().version >= revision.version:
            return Success(
                _outcome_of_taken_version(
                    revision, current.unwrap(), text_row.unwrap()
                )
            )
        previous_text = await self._stored_text(current.unwrap())
        if isinstance(previous_text, Failure):
            return previous_text
        outcome = await self._platform.transact(
            [
                tables.RowWrite(
                    table=revisions.TABLE,
                    key=revisions.CURRENT_KEY,
                    expected_version=revision.version - 1,
                    value=revisions.encode_head(
                        revision, previous_text.unwrap()
                    ),
                ),
                tables.RowWrite(
                    table=revisions.TABLE,
                    key=key,
                    expected_version=text_row.unwrap().version,
                    value=wire.encode(revision).decode(),
                ),
            ]
        )
        match outcome:
            case Success(done) if done.committed:
                return Success(Accepted(revision))
            case Success(_):
                return Failure(tables.PlatformError("write conflict"))
            case Failure(error):
                return Failure(error)

    async def _stored_text(
        self, row: tables.Row
    ) -> Result[str, tables.PlatformError]:
        if isinstance(revisions.decode_head(row), Failure):
            return Success(row.value)
        read = await self.revision(row.version)
        return read.map(lambda kept: kept.text if kept else "")

    async def _read(self, key: str):
        return await self._platform.row(revisions.TABLE, key)


def _decode_revision(
    text_row: tables.Row, version: int
) -> revisions.Revision | None:
    read = wire.decode(text_row.value.encode(), revisions.Revision)
    kept = read.value_or(None)
    return kept if kept and kept.version == version else None


def _outcome_of_taken_version(
    revision: revisions.Revision,
    current: tables.Row,
    text_row: tables.Row,
) -> ProposalOutcome:
    kept = _decode_revision(text_row, revision.version)
    if kept and kept.nonce == revision.nonce and kept.text == revision.text:
        return Accepted(kept)
    if kept is None and isinstance(revisions.decode_head(current), Failure):
        kept = revisions.Revision(
            version=current.version, nonce="", operator="", text=current.value
        )
    return Conflict(revision, kept)
