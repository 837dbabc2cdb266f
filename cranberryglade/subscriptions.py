"""Keeps the newest configuration in force."""

import asyncio

import reactivex
from reactivex import subject
from returns.result import Failure
from returns.result import Success

from cranberryglade import configuration
from cranberryglade import log
from cranberryglade import platform
from cranberryglade import wire

TABLE = "configuration"
KEY = "current"

logger = log.get_logger(__name__)


class Subscription:
    """Polls the configuration's row; a lower version is never applied."""

    __slots__ = ("_confirmed_at", "_current", "_platform", "_subject")

    def __init__(self, client: platform.PlatformClient):
        self._platform = client
        self._current: configuration.Configuration | None = None
        self._confirmed_at: float | None = None
        self._subject: subject.Subject = subject.Subject()

    @property
    def current(self) -> configuration.Configuration | None:
        """The configuration in force, or None before the first is known."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force; 0 before the first is known."""
        return self._current.version if self._current else 0

    @property
    def confirmed_at(self) -> float | None:
        """When the platform last confirmed the version, in loop seconds."""
        return self._confirmed_at

    @property
    def stream(self) -> reactivex.Observable:
        """Configurations as they come into force."""
        return self._subject

    async def run(self, period_seconds: float) -> None:
        """Polls for ever."""
        while True:
            await self.poll()
            await asyncio.sleep(period_seconds)

    async def poll(self) -> None:
        """Reads the row once."""
        match await self._platform.row(TABLE, KEY):
            case Success(row):
                self._confirmed_at = asyncio.get_running_loop().time()
                self.offer(row)
            case Failure(error):
                logger.warning("configuration not read", error=str(error))

    def offer(self, row: wire.RowDocument) -> bool:
        """Applies a row if it is newer than what is in force."""
        if row.version <= self.version:
            return False
        match configuration.parse(row.value, row.version):
            case Success(parsed):
                self._current = parsed
                logger.info("configuration in force", version=row.version)
                self._subject.on_next(parsed)
                return True
            case Failure(problems):
                logger.error(
                    "configuration refused",
                    version=row.version,
                    problems=[str(problem) for problem in problems],
                )
                return False
