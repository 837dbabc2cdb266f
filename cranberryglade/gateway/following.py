"""Follows the tables of the platform's store."""

import asyncio
from collections.abc import Callable
import random

from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import clock
from cranberryglade.gateway import directory
from cranberryglade.gateway import ports
from cranberryglade.gateway import state

WAIT_SECONDS = 25.0
FIRST_PAUSE_SECONDS = 0.15
LONGEST_PAUSE_SECONDS = 1.0
FEED_LAG_SECONDS = 1.2
"""How long a feed may keep quiet about a change."""

PROBE_TICK_SECONDS = 0.25
STARTING_SECONDS = 10.0
GATHER_SECONDS = 1.0
INFORMED_TICK_SECONDS = 0.25

logger = log.get_logger(__name__)


class Follower:
    """Keeps the state in step with the store.

    Attributes:
        patience: seconds to wait longer than the first in order before the
            store is asked whether the configuration is still the newest.
        informed: whether peers tell what the store would tell, so that
            reading it is needless.
    """

    __slots__ = (
        "_decoder",
        "_lost",
        "_on_catalogue",
        "_on_endpoints",
        "_random",
        "_starting_until",
        "_state",
        "_store",
        "informed",
        "patience",
    )

    def __init__(
        self,
        store: ports.Store,
        decoder: ports.Decoder,
        known: state.State,
        randomness: random.Random,
        on_catalogue: Callable[[], None],
        on_endpoints: Callable[[], None],
    ):
        self._store = store
        self._decoder = decoder
        self._state = known
        self._random = randomness
        self._on_catalogue = on_catalogue
        self._on_endpoints = on_endpoints
        self._lost = False
        now = asyncio.get_running_loop().time()
        self._starting_until = now + STARTING_SECONDS
        self.patience = 0.0
        self.informed = False

    async def follow(self, table: ports.Table) -> None:
        """Follows one table for ever."""
        pause = FIRST_PAUSE_SECONDS
        version = None
        while True:
            if self._needless(table):
                version = None
                await asyncio.sleep(INFORMED_TICK_SECONDS)
                continue
            if version is None:
                result = await self._read(table)
            else:
                result = await self._changes(table, version)
            match result:
                case Success(ports.Rows(version=version)):
                    pause = FIRST_PAUSE_SECONDS
                    self._answered()
                    await self._gather(table)
                case Failure(ports.StoreError.HISTORY_LOST):
                    logger.warning("store.history_lost", table=table.value)
                    version = None
                case Failure(error):
                    self._failed(table, error)
                    await asyncio.sleep(pause * self._random.uniform(0.7, 1.3))
                    pause = min(LONGEST_PAUSE_SECONDS, pause * 2)

    async def refresh(self) -> None:
        """Reads the configuration once, as a peer has told of a newer one."""
        match await self._read(ports.Table.CONFIGURATION):
            case Success(_):
                self._answered()
            case Failure(error):
                self._failed(ports.Table.CONFIGURATION, error)

    def _needless(self, table: ports.Table) -> bool:
        if not self.informed:
            return False
        if table is ports.Table.CONFIGURATION:
            return self._state.version > 0
        return self._state.directory.version > 0

    async def _gather(self, table: ports.Table) -> None:
        # At the start of a whole system the endpoints list themselves one
        # after the other, and each would cost every instance a call.
        starting = asyncio.get_running_loop().time() < self._starting_until
        if table is ports.Table.ENDPOINTS and starting:
            await asyncio.sleep(GATHER_SECONDS)

    async def probe(self) -> None:
        """Asks the store whenever nothing else confirms the configuration."""
        while True:
            await asyncio.sleep(PROBE_TICK_SECONDS)
            now = clock.steady_now()
            if self._state.freshness.probe_due(now, self.patience):
                await self.refresh()

    def take_catalogue(self, row: ports.Row) -> None:
        """Puts a configuration in force if it is newer."""
        match self._decoder.catalogue(row):
            case None:
                pass
            case Failure(problem):
                logger.error("configuration.unreadable", problem=problem)
            case Success(read) if read.version > self._state.version:
                self._state.catalogue = read
                self._state.raw_catalogue = row
                logger.info("configuration.in_force", version=read.version)
                self._on_catalogue()

    async def _read(self, table: ports.Table):
        asked = clock.steady_now()
        result = await self._store.read(table)
        match result:
            case Success(rows):
                self._take(table, rows)
                if table is ports.Table.CONFIGURATION and self._state.version:
                    self._state.freshness.confirm(asked)
                if table is ports.Table.ENDPOINTS:
                    self._whole(rows)
        return result

    async def _changes(self, table: ports.Table, version: int):
        result = await self._store.changes(table, version, WAIT_SECONDS)
        match result:
            case Success(rows):
                self._take(table, rows)
                if table is ports.Table.CONFIGURATION:
                    as_of = clock.steady_now() - FEED_LAG_SECONDS
                    self._state.freshness.confirm(as_of)
        return result

    def _take(self, table: ports.Table, rows: ports.Rows) -> None:
        if table is ports.Table.CONFIGURATION:
            for row in rows.rows:
                self.take_catalogue(row)
        elif table is ports.Table.ENDPOINTS:
            changed = [self.take_endpoint(row) for row in rows.rows]
            if any(changed):
                self._on_endpoints()

    def take_endpoint(self, row: ports.Row) -> bool:
        """Takes in an endpoint's row; returns whether anything changed."""
        book = self._state.directory
        now = asyncio.get_running_loop().time()
        if row.value is None:
            logger.info("endpoint.removed", endpoint=row.key)
            return book.remove(row.key, row.version, now)
        match self._decoder.endpoint(row):
            case Failure(problem):
                logger.warning(
                    "endpoint.unreadable", endpoint=row.key, problem=problem
                )
                return book.remove(row.key, row.version, now)
            case Success(endpoint):
                changed = book.put(endpoint, row.version)
                if changed:
                    logger.info(
                        "endpoint.listed",
                        endpoint=endpoint.id,
                        leaving=endpoint.leaving,
                        row_version=row.version,
                    )
                return changed

    def take_listing(self, listed: list[directory.Entry], version: int) -> None:
        """Takes in all endpoints that a peer knows.

        Args:
            listed: the endpoints with the versions of their rows.
            version: newest version that the peer has taken in.
        """
        book = self._state.directory
        now = asyncio.get_running_loop().time()
        changed = [book.put(each.endpoint, each.version) for each in listed]
        names = {each.endpoint.id for each in listed}
        changed.append(book.keep_only(names, version, now))
        book.caught_up(version)
        if any(changed):
            self._on_endpoints()

    def _whole(self, rows: ports.Rows) -> None:
        now = asyncio.get_running_loop().time()
        listed = {row.key for row in rows.rows}
        if self._state.directory.keep_only(listed, rows.version, now):
            self._on_endpoints()

    def _answered(self) -> None:
        if self._lost:
            self._lost = False
            logger.info("store.regained")
            self._state.metrics.event("store_regained")
            now = asyncio.get_running_loop().time()
            self._state.directory.store_back(now)

    def _failed(self, table: ports.Table, error: ports.StoreError) -> None:
        if not self._lost:
            self._lost = True
            logger.warning("store.lost", table=table.value, reason=error.value)
            self._state.metrics.event("store_lost")
            self._state.directory.store_lost()
