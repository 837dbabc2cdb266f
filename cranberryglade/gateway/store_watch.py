"""Watches the tables of the platform's store and applies their changes."""

import asyncio
from collections.abc import Callable
import random

from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import bounded_warnings
from cranberryglade.gateway import configuration
from cranberryglade.gateway import endpoint_directory
from cranberryglade.gateway import ports
from cranberryglade.gateway import process_pauses
from cranberryglade.gateway import state
from cranberryglade.gateway import store_clock

LONG_POLL_SECONDS = 25.0
"""Longest wait of one long poll for changes."""

INITIAL_BACKOFF_SECONDS = 0.15
MAX_BACKOFF_SECONDS = 1.0
RELIST_SPREAD_SECONDS = 0.3
"""Time over which the instances read a table anew when the store has lost the
history of its changes for all of them."""

FEED_LAG_SECONDS = 1.2
"""Longest delay between a change and its report by the feed. An answer of the
feed confirms the configuration as of that much before it was made."""

PROBE_TICK_SECONDS = 0.25
STARTUP_SECONDS = 10.0
"""Time after the start in which changes of endpoints are read in batches."""

STARTUP_BATCH_SECONDS = 1.0
"""Pause after each read of endpoints during that time."""

PEER_CHECK_SECONDS = 0.25

BELIEFS = {
    ports.Table.CONFIGURATION: process_pauses.Belief.CONFIGURATION,
    ports.Table.ENDPOINTS: process_pauses.Belief.ENDPOINTS,
}
"""What a read of a table brings up to date."""

logger = log.get_logger(__name__)


class StoreWatcher:
    """Keeps the state of this instance up to date with the store.

    Attributes:
        probe_delay_seconds: seconds that the probe for the newest configuration
            is delayed relative to the first instance in order of precedence.
        peers_asked: whether the other instances were asked, in this era of the
            store, for a newer configuration than it has.
        relies_on_peers: whether peers report all changes, so that this instance
            need not read the store itself.
        on_orders: receives rows of the operators' table, and whether they are
            all of them.
    """

    __slots__ = (
        "_asked_at",
        "_decoder",
        "_on_configuration",
        "_on_endpoints",
        "_outdated",
        "_questions",
        "_random",
        "_startup_end",
        "_state",
        "_store_clock",
        "_store",
        "_store_lost",
        "_unreachable_at",
        "_stored_version",
        "_unaccepted",
        "_unreadable",
        "on_orders",
        "peers_asked",
        "relies_on_peers",
        "probe_delay_seconds",
    )

    def __init__(
        self,
        store: ports.Store,
        decoder: ports.Decoder,
        instance_state: state.InstanceState,
        randomness: random.Random,
        on_configuration: Callable[[], None],
        on_endpoints: Callable[[], None],
    ):
        self._store = store
        self._decoder = decoder
        self._state = instance_state
        self._random = randomness
        self._on_configuration = on_configuration
        self._on_endpoints = on_endpoints
        self._questions: dict[ports.Table, asyncio.Timeout] = {}
        self._outdated: set[ports.Table] = set()
        self._asked_at: dict[ports.Table, float] = {}
        self._store_lost = False
        self._unreachable_at: float | None = None
        self._stored_version = 0
        self._store_clock = store_clock.StoreClock()
        now = asyncio.get_running_loop().time()
        self._startup_end = now + STARTUP_SECONDS
        self.on_orders: Callable[[list[ports.Row], bool], None] = _ignore_orders
        self.probe_delay_seconds = 0.0
        self.relies_on_peers = False
        self.peers_asked = False
        self._unaccepted: float | None = None
        self._unreadable = bounded_warnings.BoundedWarning(
            "endpoint.unreadable"
        )

    async def watch(self, table: ports.Table) -> None:
        """Applies the rows of a table and their changes until cancelled.

        Reads the whole table, then waits for changes with long polls. It reads
        the whole table again when the store has lost the history of changes,
        or after a time in which peers reported the changes. Failures are
        retried with exponential backoff and jitter.
        """
        backoff = INITIAL_BACKOFF_SECONDS
        version = None
        while True:
            if table in self._outdated:
                self._outdated.discard(table)
                version = None
            elif self._covered_by_peers(table):
                version = None
                await asyncio.sleep(PEER_CHECK_SECONDS)
                continue
            match await self._ask(table, version):
                case None:
                    logger.info("store.asked_anew", table=table.value)
                case Success(ports.Rows(version=version)):
                    backoff = INITIAL_BACKOFF_SECONDS
                    self._record_store_answer()
                    await self._delay_at_startup(table)
                case Failure(ports.StoreError.HISTORY_LOST):
                    logger.warning("store.history_lost", table=table.value)
                    version = None
                    pause = self._random.uniform(0.0, RELIST_SPREAD_SECONDS)
                    await asyncio.sleep(pause)
                case Failure(error):
                    self._record_store_failure(table, error)
                    await asyncio.sleep(
                        backoff * self._random.uniform(0.7, 1.3)
                    )
                    backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)

    def ask_again(self) -> None:
        """Drops the questions that wait for an answer, and reads all anew.

        Called when the process stood still: the answers to earlier questions
        may be old.
        """
        self._outdated = set(BELIEFS)
        now = asyncio.get_running_loop().time()
        for question in self._questions.values():
            if not question.expired():
                question.reschedule(now)

    async def _ask(self, table: ports.Table, version: ports.Version | None):
        """Reads a table, or its changes; None if it must be asked anew."""
        try:
            async with asyncio.timeout(None) as question:
                self._questions[table] = question
                self._asked_at[table] = asyncio.get_running_loop().time()
                if version is None:
                    return await self._read_table(table)
                return await self._read_changes(table, version)
        except TimeoutError:
            return None
        finally:
            del self._questions[table]

    async def refresh(self) -> None:
        """Reads the configuration from the store once.

        Called when a peer has a newer version, or when the last confirmation
        is too old.
        """
        match await self._read_table(ports.Table.CONFIGURATION):
            case Success(_):
                self._record_store_answer()
            case Failure(error):
                self._record_store_failure(ports.Table.CONFIGURATION, error)

    async def read_endpoints(self) -> bool:
        """Reads the endpoints from the store once.

        Returns:
            Whether the store answered.
        """
        match await self._read_table(ports.Table.ENDPOINTS):
            case Success(_):
                self._record_store_answer()
                return True
            case Failure(error):
                self._record_store_failure(ports.Table.ENDPOINTS, error)
        return False

    def _covered_by_peers(self, table: ports.Table) -> bool:
        if not self.relies_on_peers:
            return False
        if table is ports.Table.CONFIGURATION:
            return self._state.version > 0
        return self._state.directory.version > ports.NO_VERSION

    async def _delay_at_startup(self, table: ports.Table) -> None:
        # When a whole deployment starts, the endpoints register one after the
        # other, and each would cost every instance a call to the store.
        starting = asyncio.get_running_loop().time() < self._startup_end
        if table is ports.Table.ENDPOINTS and starting:
            await asyncio.sleep(STARTUP_BATCH_SECONDS)

    async def probe(self) -> None:
        """Reads the configuration when its last confirmation is too old.

        Runs until cancelled.
        """
        while True:
            await asyncio.sleep(PROBE_TICK_SECONDS)
            now = asyncio.get_running_loop().time()
            due = self._state.configuration_age.probe_due(
                now, self.probe_delay_seconds
            )
            if due and self._unaccepted is None:
                await self.refresh()

    def apply_configuration(self, row: ports.Row) -> int | None:
        """Puts a configuration in force if it is newer than the present one.

        Rows that hold no configuration are ignored; one that cannot be decoded
        is logged and ignored.

        Returns:
            The version of the configuration in the row; None if it holds none.
        """
        match self._decoder.decode_configuration(row):
            case Success(decoded):
                if decoded.version > self._state.version:
                    self._put_in_force(decoded, row)
                return decoded.version
            case Failure(problem):
                logger.error("configuration.unreadable", problem=problem)
        return None

    def _put_in_force(
        self, decoded: configuration.Configuration, row: ports.Row
    ) -> None:
        self._state.configuration = decoded
        self._state.configuration_row = row
        logger.info("configuration.in_force", version=decoded.version)
        self._on_configuration()

    async def _read_table(self, table: ports.Table):
        asked_at = asyncio.get_running_loop().time()
        result = await self._store.read_table(table)
        match result:
            case Success(rows):
                made_at = self._date(rows, asked_at)
                if table is ports.Table.CONFIGURATION:
                    self._stored_version = 0
                self._apply_rows(table, rows)
                if table is ports.Table.CONFIGURATION:
                    self._confirm_configuration(made_at)
                    self.on_orders(rows.rows, True)
                if table is ports.Table.ENDPOINTS:
                    self._remove_unlisted(rows)
                self._state.process_pauses.confirm(BELIEFS[table], asked_at)
        return result

    async def _read_changes(self, table: ports.Table, version: ports.Version):
        asked_at = asyncio.get_running_loop().time()
        result = await self._store.changes(table, version, LONG_POLL_SECONDS)
        match result:
            case Success(rows):
                made_at = self._date(rows, asked_at)
                self._apply_rows(table, rows)
                if table is ports.Table.CONFIGURATION:
                    self._confirm_configuration(made_at - FEED_LAG_SECONDS)
                    self.on_orders(rows.rows, False)
        return result

    def _date(self, answer: ports.Rows, asked_at: float) -> float:
        now = asyncio.get_running_loop().time()
        return self._store_clock.date(answer, asked_at, now)

    def _confirm_configuration(self, as_of: float) -> None:
        """Confirms the configuration in force, if the store has it.

        A store that came back from an old copy may have an older one.
        """
        if not self._state.version:
            return
        if self._stored_version < self._state.version:
            logger.info("configuration.older", version=self._stored_version)
        elif self.peers_asked:
            self._state.configuration_age.confirm(as_of)
        elif self._unaccepted is None or as_of > self._unaccepted:
            self._unaccepted = as_of

    def accept_confirmations(self) -> None:
        """Lets the store confirm the configuration, also by earlier answers.

        To be called when the other instances were asked for a newer one.
        """
        self.peers_asked = True
        as_of, self._unaccepted = self._unaccepted, None
        if as_of is not None:
            self._confirm_configuration(as_of)

    def _observe_era(self, era: int) -> None:
        known = self._state.store_era
        if known is not None and era <= known:
            return
        self._state.store_era = era
        self.peers_asked = False
        self._unaccepted = None
        self._state.store_answered.set()
        if known is None:
            return
        logger.warning("store.restored", era=era)
        self._state.metrics.count_event("store_restored")
        now = asyncio.get_running_loop().time()
        self._state.directory.store_restored(now)
        self._state.store_restored.set()

    def _apply_rows(self, table: ports.Table, rows: ports.Rows) -> None:
        self._observe_era(rows.version.era)
        if table is ports.Table.CONFIGURATION:
            for row in rows.rows:
                stored = self.apply_configuration(row)
                if stored is not None:
                    self._stored_version = stored
        elif table is ports.Table.ENDPOINTS:
            changed = [self.apply_endpoint(row) for row in rows.rows]
            if any(changed):
                self._on_endpoints()

    def apply_endpoint(self, row: ports.Row) -> bool:
        """Applies an endpoint's row; returns whether anything changed.

        A removed or unreadable row removes the endpoint.
        """
        endpoints = self._state.directory
        now = asyncio.get_running_loop().time()
        if row.value is None:
            logger.info("endpoint.removed", endpoint=row.key)
            return endpoints.remove(row.key, row.version, now)
        match self._decoder.decode_endpoint(row):
            case Failure(problem):
                self._unreadable.log(endpoint=row.key, problem=problem)
                return endpoints.remove(row.key, row.version, now)
            case Success(endpoint):
                changed = endpoints.put(endpoint, row.version)
                if changed:
                    logger.info(
                        "endpoint.listed",
                        endpoint=endpoint.id,
                        leaving=endpoint.leaving,
                        software_version=endpoint.software_version,
                        row_version=row.version.number,
                        era=row.version.era,
                    )
                return changed

    def apply_listing(
        self, listed: list[endpoint_directory.Entry], version: ports.Version
    ) -> None:
        """Applies a peer's complete list of endpoints.

        Args:
            listed: the endpoints with the versions of their rows.
            version: newest row version that the peer has applied; endpoints
                missing from the list are removed unless their rows are newer.
        """
        self._observe_era(version.era)
        endpoints = self._state.directory
        now = asyncio.get_running_loop().time()
        changed = [
            endpoints.put(each.endpoint, each.version) for each in listed
        ]
        names = {each.endpoint.id for each in listed}
        changed.append(endpoints.keep_only(names, version, now))
        endpoints.set_applied_version(version)
        if any(changed):
            self._on_endpoints()

    def apply_entry(self, entry: endpoint_directory.Entry) -> None:
        """Applies one endpoint of a peer's list, ahead of the others.

        One of another era of the store is left to the whole list.
        """
        if entry.version.era != self._state.store_era:
            return
        if self._state.directory.put_ahead(entry.endpoint, entry.version):
            self._on_endpoints()

    def _remove_unlisted(self, rows: ports.Rows) -> None:
        now = asyncio.get_running_loop().time()
        listed = {row.key for row in rows.rows}
        if self._state.directory.keep_only(listed, rows.version, now):
            self._on_endpoints()

    def _record_store_answer(self) -> None:
        if self._store_lost:
            self._store_lost = False
            logger.info("store.regained")
            self._state.metrics.count_event("store_regained")
            now = asyncio.get_running_loop().time()
            self._state.directory.store_regained(now)
            self._drop_earlier_questions(now)

    def _drop_earlier_questions(self, now: float) -> None:
        """Drops questions that were asked before the store was unreachable.

        Load pattern: all open connections go silent, while new ones work. Of
        those to the store, the frequent reads of the configuration find out
        first; a long poll would wait for its time to pass.
        """
        unreachable_at, self._unreachable_at = self._unreachable_at, None
        if unreachable_at is None:
            return
        for table, question in self._questions.items():
            earlier = self._asked_at[table] < unreachable_at
            if earlier and not question.expired():
                question.reschedule(now)

    def _record_store_failure(
        self, table: ports.Table, error: ports.StoreError
    ) -> None:
        if not self._store_lost:
            self._store_lost = True
            logger.warning("store.lost", table=table.value, reason=error.value)
            self._state.metrics.count_event("store_lost")
            self._state.directory.store_lost()
        if error is ports.StoreError.UNREACHABLE:
            self._unreachable_at = asyncio.get_running_loop().time()


def _ignore_orders(rows: list[ports.Row], whole: bool) -> None:
    """Ignores orders, where nothing conducts them."""
