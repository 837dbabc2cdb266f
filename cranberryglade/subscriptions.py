"""Follows the shared configuration and keeps its newest version in force."""

import asyncio
import collections
import random

import reactivex
from reactivex import subject
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import charts
from cranberryglade import configuration
from cranberryglade import log
from cranberryglade import revisions
from cranberryglade import tables
from cranberryglade import wire

KEPT_CHANGES = 64
FIRST_POLL_SECONDS = 1.0
POLL_JITTER_RATIO = 0.2

logger = log.get_logger(__name__)


class Subscription:
    """Polls the configuration's row and applies updates from peers.

    A lower version is never applied. A version that this program cannot parse
    is kept and reported, while the previous one stays in force.
    """

    __slots__ = (
        "_accepted",
        "_changes",
        "_chart",
        "_confirmed_at",
        "_current",
        "_is_platform_unreachable",
        "_platform",
        "_problems",
        "_random",
        "_state",
        "_subject",
    )

    def __init__(self, client: tables.Tables, generator: random.Random):
        self._platform = client
        self._random = generator
        self._chart = charts.load("configuration")
        self._state = self._chart.initial
        self._current: configuration.Configuration | None = None
        self._accepted = revisions.Revision(
            version=0, nonce="", operator="", text=""
        )
        self._changes: collections.OrderedDict[int, revisions.Change] = (
            collections.OrderedDict()
        )
        self._problems: list[str] = []
        self._is_platform_unreachable = False
        self._confirmed_at: float | None = None
        self._subject: subject.Subject = subject.Subject()

    @property
    def current(self) -> configuration.Configuration | None:
        """The configuration in force; None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self._current.version if self._current else 0

    @property
    def accepted(self) -> revisions.Revision:
        """The newest version received, even if it cannot be parsed here."""
        return self._accepted

    @property
    def state(self) -> str:
        """Current state in the configuration chart."""
        return self._state

    @property
    def problems(self) -> list[str]:
        """Why the newest version is not in force; empty if it is."""
        return self._problems

    @property
    def confirmed_at(self) -> float | None:
        """Loop time in seconds when the platform last confirmed the version.

        None before the first confirmation.
        """
        return self._confirmed_at

    @property
    def stream(self) -> reactivex.Observable:
        """Stream of the configurations that come into force."""
        return self._subject

    async def run(self, period_seconds: float) -> None:
        """Polls until it is cancelled.

        Args:
            period_seconds: mean interval; jitter is added to it, and it is at
                most FIRST_POLL_SECONDS until a configuration is in force.
        """
        while True:
            await self.poll()
            period = period_seconds
            if self._current is None:
                period = min(period, FIRST_POLL_SECONDS)
            jitter_factor = self._random.uniform(
                1 - POLL_JITTER_RATIO, 1 + POLL_JITTER_RATIO
            )
            await asyncio.sleep(period * jitter_factor)

    async def poll(self) -> None:
        """Reads the row `current` once and applies a newer version."""
        match await self._platform.row(revisions.TABLE, revisions.CURRENT_KEY):
            case Success(row):
                await self._apply_row(row)
                self._is_platform_unreachable = False
            case Failure(error):
                if not self._is_platform_unreachable:
                    logger.warning(
                        "configuration.read_failed", error=str(error)
                    )
                self._is_platform_unreachable = True

    def update_for(self, known_version: int) -> revisions.Update:
        """Returns the update for a peer.

        Args:
            known_version: the newest version that the peer has; 0 for none.

        Returns:
            The changes after that version, or the whole text if some of them
            are no longer kept.
        """
        newest = self._accepted
        update = revisions.Update(
            version=newest.version,
            nonce=newest.nonce,
            operator=newest.operator,
            sha256=revisions.digest(newest.text),
        )
        missing_versions = range(known_version + 1, newest.version + 1)
        if all(version in self._changes for version in missing_versions):
            update.changes = [
                self._changes[version] for version in missing_versions
            ]
        else:
            update.text = newest.text
        return update

    def apply_update(
        self, update: revisions.Update, known_version: int
    ) -> bool:
        """Applies an update from a peer.

        Args:
            update: the update.
            known_version: version to which its changes apply.

        Returns:
            Whether a newer version was accepted. An update is ignored if it
            is not newer, if its digest does not match, or if its changes
            apply to another version than the newest one here.
        """
        if update.version <= self._accepted.version:
            return False
        if update.text is not None:
            if revisions.digest(update.text) != update.sha256:
                return False
            return self._accept(update, update.text, [])
        if known_version != self._accepted.version:
            return False
        return self._apply_changes(update, update.changes)

    async def _apply_row(self, row: tables.Row) -> None:
        if row.version > self._accepted.version:
            await self._apply_newer_row(row)
        if 0 < row.version == self._accepted.version:
            self._confirmed_at = asyncio.get_running_loop().time()

    async def _apply_newer_row(self, row: tables.Row) -> None:
        match revisions.decode_head(row):
            case Success(head):
                update = revisions.Update(
                    version=row.version,
                    nonce=head.nonce,
                    operator=head.operator,
                    sha256=head.sha256,
                )
                follows = self._accepted.version == row.version - 1
                if follows and self._apply_changes(update, [head.change]):
                    return
                self._apply_text(update, await self._read_text(row.version))
            case Failure(_):
                update = revisions.Update(
                    version=row.version, nonce="", operator="", sha256=""
                )
                self._accept(update, row.value, [])

    def _apply_text(
        self,
        update: revisions.Update,
        read: Result[revisions.Revision, object],
    ) -> None:
        match read:
            case Success(revision) if (
                revision.version == update.version
                and revisions.digest(revision.text) == update.sha256
            ):
                self._accept(update, revision.text, [])
            case _:
                logger.warning(
                    "configuration.text_read_failed", version=update.version
                )

    async def _read_text(
        self, version: int
    ) -> Result[revisions.Revision, object]:
        read = await self._platform.row(
            revisions.TABLE, revisions.text_key(version)
        )
        return read.bind(
            lambda row: wire.decode(row.value.encode(), revisions.Revision)
        )

    def _apply_changes(
        self, update: revisions.Update, changes: list[revisions.Change]
    ) -> bool:
        text = self._accepted.text
        match revisions.apply(text, changes, update.sha256):
            case Success(changed):
                return self._accept(update, changed, changes)
            case Failure(_):
                return False

    def _accept(
        self,
        update: revisions.Update,
        text: str,
        changes: list[revisions.Change],
    ) -> bool:
        if update.version <= self._accepted.version:
            return False
        first = update.version - len(changes) + 1
        if not changes:
            self._changes.clear()
        for version, change in enumerate(changes, first):
            self._changes[version] = change
        while len(self._changes) > KEPT_CHANGES:
            self._changes.popitem(last=False)
        self._accepted = revisions.Revision(
            version=update.version,
            nonce=update.nonce,
            operator=update.operator,
            text=text,
        )
        self._put_in_force(self._accepted)
        return True

    def _put_in_force(self, revision: revisions.Revision) -> None:
        match configuration.parse(revision.text, revision.version):
            case Success(parsed):
                self._state = self._chart.step(self._state, "applied")
                self._current = parsed
                self._problems = []
                logger.info("configuration.in_force", version=revision.version)
                self._subject.on_next(parsed)
            case Failure(problems):
                self._state = self._chart.step(self._state, "refused")
                self._problems = [str(problem) for problem in problems]
                logger.error(
                    "configuration.refused",
                    version=revision.version,
                    problems=self._problems,
                )
