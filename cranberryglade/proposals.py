"""Puts changes of the configuration in force.

A proposal names the version that it was derived from and carries a nonce. It
is checked wholly, then written by compare-and-set together with its row of
history. A lost answer is settled by reading back the nonce; a write that has
not taken effect is made again, which the compare-and-set keeps harmless.
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
ATTEMPTS = 3
ATTEMPT_PAUSE_SECONDS = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The proposal is a version; a later one may have followed it."""

    revision: revisions.Revision


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The text is wrong; nothing was written."""

    problems: list[str]


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Another change came first; nothing was written.

    Attributes:
        proposed: what was to be written.
        present: what stands instead, None if its text is no longer kept.
    """

    proposed: revisions.Revision
    present: revisions.Revision | None


@dataclasses.dataclass(slots=True, frozen=True)
class Uncertain:
    """The platform did not tell; repeat the proposal with the same nonce."""

    nonce: str
    error: str


Outcome = Accepted | Refused | Conflict | Uncertain


class Proposals:
    """Writes proposals and reads the history."""

    __slots__ = ("_platform",)

    def __init__(self, client: tables.Tables):
        self._platform = client

    async def propose(
        self, text: str, expected_version: int, operator: str, nonce: str = ""
    ) -> Outcome:
        """Proposes a text as the version after the expected one.

        Args:
            text: INI text.
            expected_version: the version that it was derived from.
            operator: who proposes it.
            nonce: the same for every repetition of one proposal; a new one
                when empty.
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
        for attempt in range(ATTEMPTS):
            if attempt:
                await asyncio.sleep(ATTEMPT_PAUSE_SECONDS)
            match await self._attempt(revision):
                case Success(outcome):
                    return outcome
                case Failure(failed):
                    error = str(failed)
        return Uncertain(revision.nonce, error)

    async def revision(
        self, version: int
    ) -> Result[revisions.Revision | None, tables.PlatformError]:
        """Reads one version; None if its text is not kept."""
        match await self._read(revisions.text_key(version)):
            case Success(row):
                return Success(_kept(row, version))
            case Failure(error):
                return Failure(error)

    async def history(
        self, newest: int, count: int
    ) -> Result[list[revisions.Revision], tables.PlatformError]:
        """Reads the last versions, newest first."""
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

    async def _attempt(
        self, revision: revisions.Revision
    ) -> Result[Outcome, tables.PlatformError]:
        key = revisions.text_key(revision.version)
        current = await self._read(revisions.CURRENT)
        slot = await self._read(key)
        if isinstance(current, Failure):
            return current
        if isinstance(slot, Failure):
            return slot
        if current.unwrap().version < revision.version - 1:
            shown = f"shows version {current.unwrap().version}"
            return Failure(tables.PlatformError(shown))
        if current.unwrap().version >= revision.version:
            return Success(_settled(revision, current.unwrap(), slot.unwrap()))
        former = await self._text(current.unwrap())
        if isinstance(former, Failure):
            return former
        outcome = await self._platform.transact(
            [
                tables.RowWrite(
                    table=revisions.TABLE,
                    key=revisions.CURRENT,
                    expected_version=revision.version - 1,
                    value=revisions.write_head(revision, former.unwrap()),
                ),
                tables.RowWrite(
                    table=revisions.TABLE,
                    key=key,
                    expected_version=slot.unwrap().version,
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

    async def _text(self, row: tables.Row) -> Result[str, tables.PlatformError]:
        if isinstance(revisions.read_head(row), Failure):
            return Success(row.value)
        read = await self.revision(row.version)
        return read.map(lambda kept: kept.text if kept else "")

    async def _read(self, key: str):
        return await self._platform.row(revisions.TABLE, key)


def _kept(slot: tables.Row, version: int) -> revisions.Revision | None:
    read = wire.decode(slot.value.encode(), revisions.Revision)
    kept = read.value_or(None)
    return kept if kept and kept.version == version else None


def _settled(
    revision: revisions.Revision,
    current: tables.Row,
    slot: tables.Row,
) -> Outcome:
    kept = _kept(slot, revision.version)
    if kept and kept.nonce == revision.nonce and kept.text == revision.text:
        return Accepted(kept)
    if kept is None and isinstance(revisions.read_head(current), Failure):
        kept = revisions.Revision(
            version=current.version, nonce="", operator="", text=current.value
        )
    return Conflict(revision, kept)
