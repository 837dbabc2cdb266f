"""Conducts rollouts while this instance is the allocator.

Load pattern: the allocator disappears during a rollout, stands still and
wakes, or two instances allocate for a second. All that a successor needs is in
the status row, which is written only if it is as it was last read.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
import time
from typing import Protocol

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import bounded_warnings
from cranberryglade.gateway import ports
from cranberryglade.rollouts import exposure
from cranberryglade.rollouts import gate
from cranberryglade.rollouts import options
from cranberryglade.rollouts import orders
from cranberryglade.rollouts import rollout

STEP_SECONDS = 0.25
LOOK_AFTER_SECONDS = 10.0
"""Time after which an allocator looks for a status whose order was removed."""

LONG_POLL_SECONDS = 25.0
RETRY_SECONDS = 1.0
"""Mean time after which a table that could not be read is read again."""

FENCE_SECONDS = 2.0
"""A step that took longer than this since the one before may follow a time in
which the process stood still; the rows are read anew."""

MILLISECONDS = 1000

logger = log.get_logger(__name__)


class Decoder(Protocol):
    """Translates the rows of rollouts."""

    def decode_rollout(
        self, row: ports.Row
    ) -> Result[orders.Order | orders.Withdrawn, str] | None:
        """Decodes an order; returns None for any other row."""

    def decode_rollout_status(
        self, row: ports.Row
    ) -> Result[orders.Status, str] | None:
        """Decodes a status; returns None for any other or an absent row."""

    def encode_rollout_status(self, status: orders.Status) -> ports.Write:
        """Returns the write of a status, without a condition."""


class RolloutControl:
    """Reads orders and statuses, and conducts the rollouts.

    Attributes:
        limit: most requests for a version that may be bad.
        schedule: the steps of a rollout.
    """

    __slots__ = (
        "_all_heard",
        "_allocating_since",
        "_count_event",
        "_decoder",
        "_follows_statuses",
        "_gate",
        "_has_looked",
        "_is_allocating",
        "_orders_read",
        "_random",
        "_rejected",
        "_requests_at",
        "_stepped_at",
        "_store",
        "_unix_time",
        "_unreadable",
        "_versions",
        "limit",
        "schedule",
    )

    def __init__(
        self,
        store: ports.Store,
        decoder: Decoder,
        versions: gate.ServiceVersions,
        limit: exposure.Limit,
        schedule: options.RolloutOptions,
        is_allocating: Callable[[], bool],
        all_heard: Callable[[], bool],
        requests_at: Callable[[Sequence[str]], list[str]],
        count_event: Callable[[str], None],
        randomness: random.Random,
        unix_time: Callable[[], float] = time.time,
    ):
        """Creates it without reading the store.

        Args:
            store: client of the platform's store.
            decoder: translates its rows.
            versions: the version gate of this instance.
            limit: most requests for a version that may be bad.
            schedule: the steps of a rollout.
            is_allocating: whether this instance is the allocator.
            all_heard: whether all instances report their requests here.
            requests_at: returns the ids of the requests at some endpoints.
            count_event: counts an event by its name.
            randomness: spreads the reads of the instances.
            unix_time: returns the seconds of Unix time.
        """
        self._store = store
        self._decoder = decoder
        self._gate = versions
        self.limit = limit
        self.schedule = schedule
        self._is_allocating = is_allocating
        self._all_heard = all_heard
        self._requests_at = requests_at
        self._count_event = count_event
        self._random = randomness
        self._unix_time = unix_time
        self._versions: dict[str, ports.Version] = {}
        self._rejected: dict[str, str] = {}
        self._orders_read = False
        self._follows_statuses = False
        self._allocating_since: float | None = None
        self._has_looked = False
        self._stepped_at = 0.0
        self._unreadable = bounded_warnings.BoundedWarning("rollout.unreadable")

    @property
    def running_count(self) -> int:
        """Number of rollouts that this instance conducts."""
        return sum(not each.is_over for each in self._gate.rollouts.values())

    @property
    def bad_answers(self) -> int:
        """Bad answers of the new versions in these."""
        conducted = self._gate.rollouts.values()
        return sum(each.comparison.bad_answers for each in conducted)

    @property
    def reserved(self) -> int:
        """Grants of the new versions that are reserved in the store."""
        return sum(each.reserved for each in self._gate.rollouts.values())

    def observe_orders(self, rows: Sequence[ports.Row], whole: bool) -> None:
        """Applies rows of the operators' table.

        A row that cannot be decoded leaves the order before it in force.

        Args:
            rows: rows that were read or have changed.
            whole: whether they are all rows of the table.
        """
        present: set[str] = set()
        for row in rows:
            match self._decoder.decode_rollout(row):
                case Success(orders.Order() as order):
                    present.add(order.service)
                    self._accept(order)
                case Success(orders.Withdrawn(service)):
                    self._withdraw(service)
                case Failure(problem):
                    self._unreadable.log(row=row.key, problem=problem)
                    present.update(
                        each
                        for each in self._gate.orders
                        if row.key.endswith(f"/{each}")
                    )
        if whole:
            self._orders_read = True
            for service in self._gate.orders.keys() - present:
                self._withdraw(service)

    async def run(self) -> None:
        """Conducts the rollouts until cancelled."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            await self.step()

    async def watch(self) -> None:
        """Follows the stored statuses until cancelled.

        Nothing is read before there is an order. The allocator looks once for
        a status whose order was removed while no instance ran, later: at the
        start, other reads show whether connections to the store are silent.
        """
        version = None
        while True:
            if not self._follows_statuses and not self._must_look():
                await asyncio.sleep(STEP_SECONDS)
                continue
            match await self._read(version):
                case Success(rows):
                    self._has_looked = True
                    version = rows.version if self._follows_statuses else None
                    for row in rows.rows:
                        self._observe_status(row)
                case Failure(ports.StoreError.HISTORY_LOST):
                    version = None
                    await self._pause()
                case Failure(_):
                    await self._pause()

    def _must_look(self) -> bool:
        now = asyncio.get_running_loop().time()
        if not self._is_allocating():
            self._allocating_since = None
            self._has_looked = False
            return False
        if self._allocating_since is None:
            self._allocating_since = now
        allocates_long = now - self._allocating_since >= LOOK_AFTER_SECONDS
        return allocates_long and not self._has_looked

    async def step(self) -> None:
        """Takes the next step of each rollout."""
        now = asyncio.get_running_loop().time()
        stood_still = now - self._stepped_at > FENCE_SECONDS
        self._stepped_at = now
        if stood_still or not self._is_allocating():
            self._stop_conducting()
        if stood_still:
            return
        services = self._gate.rollouts.keys()
        if self._is_allocating():
            services = self._gate.concerned()
        for service in sorted(services):
            await self._conduct(service)

    def _stop_conducting(self) -> None:
        """Leaves the rollouts to the next allocator.

        Of a version that was found bad, the verdict is stored first, as
        the next allocator has not seen its answers.
        """
        kept = {
            service: conducted
            for service, conducted in self._gate.rollouts.items()
            if conducted.rejection and not conducted.is_over
        }
        if len(kept) < len(self._gate.rollouts):
            self._gate.rollouts = kept
            self._gate.renew_all()

    def _accept(self, order: orders.Order) -> None:
        known = self._gate.orders.get(order.service)
        if known == order:
            return
        self._follows_statuses = True
        self._gate.orders[order.service] = order
        self._gate.forget_end(order.service)
        self._gate.renew(order.service)
        self._count_event("rollout_ordered")
        logger.info(
            "rollout.ordered",
            service=order.service,
            to=order.version,
            period_s=order.period_seconds,
        )

    def _withdraw(self, service: str) -> None:
        if self._gate.orders.pop(service, None) is None:
            return
        logger.info("rollout.withdrawn", service=service)
        conducted = self._gate.rollouts.get(service)
        if conducted is not None:
            conducted.roll_back("withdrawn")
        self._gate.renew(service)

    async def _read(
        self, version: ports.Version | None
    ) -> Result[ports.Rows, ports.StoreError]:
        if version is None:
            return await self._store.read_table(ports.Table.STATUS)
        return await self._store.changes(
            ports.Table.STATUS, version, LONG_POLL_SECONDS
        )

    async def _pause(self) -> None:
        await asyncio.sleep(RETRY_SECONDS * self._random.uniform(0.7, 1.3))

    def _observe_status(self, row: ports.Row) -> orders.Status | None:
        """Applies a status row; returns the status in it, if any."""
        match self._decoder.decode_rollout_status(row):
            case Success(status):
                self._learn(status)
                return status
            case Failure(problem):
                self._unreadable.log(row=row.key, problem=problem)
        return None

    def _learn(self, status: orders.Status) -> None:
        self._follows_statuses = True
        known = self._gate.statuses.get(status.service)
        if known is None or known.order_id != status.order_id:
            self._gate.forget_end(status.service)
        self._gate.statuses[status.service] = status
        self._gate.renew(status.service)

    async def _conduct(self, service: str) -> None:
        conducted = self._gate.rollouts.get(service)
        order = self._gate.orders.get(service)
        if conducted is None:
            if order is not None or self._is_unordered(service):
                await self._begin(service, order)
            return
        replaced = order is not None and order.id != conducted.order.id
        if replaced and order.version != conducted.order.version:
            conducted.roll_back("replaced by another order")
        old = self._gate.old_endpoints(service)
        now = asyncio.get_running_loop().time()
        conducted.advance(self._requests_at(old), self._all_heard(), now)
        self._gate.renew(service)
        await self._store_status(conducted)
        restarts = replaced and order.version == conducted.order.version
        if conducted.is_over or restarts:
            self._gate.rollouts.pop(service, None)
            self._gate.renew(service)

    def _is_unordered(self, service: str) -> bool:
        """Returns whether a stored rollout runs that nobody orders."""
        status = self._gate.statuses.get(service)
        return (
            self._orders_read
            and status is not None
            and status.state is orders.State.RUNNING
        )

    async def _begin(self, service: str, order: orders.Order | None) -> None:
        """Reads the status row, and goes on from it or begins anew."""
        known = self._gate.statuses.get(service)
        ended = known is not None and known.state is not orders.State.RUNNING
        if order is not None and ended and known.answers(order):
            return
        blank = orders.Status(service, orders.State.RUNNING, "")
        key = self._decoder.encode_rollout_status(blank).key
        match await self._store.read_row(ports.Table.STATUS, key):
            case Success(row):
                self._versions[service] = row.version
                status = self._observe_status(row)
                self._begin_from(service, order, status)
            case Failure(error):
                logger.warning(
                    "rollout.unread", service=service, reason=error.value
                )

    def _begin_from(
        self,
        service: str,
        order: orders.Order | None,
        status: orders.Status | None,
    ) -> None:
        now = asyncio.get_running_loop().time()
        runs = status is not None and status.state is orders.State.RUNNING
        known = order is not None and status is not None
        if known and status.answers(order):
            if runs:
                self._resume(order, status, now)
            return
        if runs and (order is None or status.version != order.version):
            self._end_stored(status, now)
            return
        if order is None:
            return
        began_ms = round(self._unix_time() * MILLISECONDS)
        initial = orders.Status(
            service,
            orders.State.RUNNING,
            order.version,
            order.id,
            began_ms=began_ms,
        )
        self._start(order, initial, now)

    def _resume(
        self, order: orders.Order, status: orders.Status, now: float
    ) -> None:
        """Goes on with what a predecessor began."""
        passed = self._unix_time() - status.began_ms / MILLISECONDS
        conducted = self._start(order, status, now - max(0.0, passed))
        conducted.confirm(status, now)
        if self._rejected.get(order.service) == order.id:
            conducted.roll_back("found bad before")
        self._gate.renew(order.service)
        logger.info(
            "rollout.taken_over",
            service=order.service,
            to=order.version,
            phase=status.phase.value,
            reserved=status.reserved,
        )

    def _end_stored(self, status: orders.Status, now: float) -> None:
        """Rolls back a stored rollout that is no longer ordered."""
        order = orders.Order(
            status.service, status.version, 0.0, status.order_id
        )
        conducted = self._start(order, status, now)
        conducted.confirm(status, now)
        conducted.roll_back("no longer ordered")
        self._gate.renew(status.service)

    def _start(
        self, order: orders.Order, initial: orders.Status, began_at: float
    ) -> rollout.Rollout:
        conducted = rollout.Rollout(
            order, self.limit, self.schedule, initial, began_at
        )
        self._gate.conduct(order.service, conducted)
        if not conducted.endpoints.new:
            logger.warning(
                "rollout.version_absent",
                service=order.service,
                to=order.version,
            )
        return conducted

    async def _store_status(self, conducted: rollout.Rollout) -> None:
        """Stores the next status, if the row is as it was last read."""
        status = conducted.status_to_store()
        if status is None:
            return
        service = conducted.order.service
        write = self._decoder.encode_rollout_status(status)
        result = await self._store.write(
            write.table, write.key, write.value, self._versions[service]
        )
        match result:
            case Success(version):
                self._versions[service] = version
                now = asyncio.get_running_loop().time()
                conducted.confirm(status, now)
                self._learn(status)
                if status.state is not orders.State.RUNNING:
                    self._count_event(f"rollout_{status.state.value}")
            case Failure(ports.StoreError.CONFLICT):
                logger.warning("rollout.fenced", service=service)
                self._count_event("rollout_fenced")
                self._drop(service, conducted)
            case Failure(_):
                # If it was applied nevertheless, the next write conflicts.
                self._count_event("rollout_unsaved")

    def _drop(self, service: str, conducted: rollout.Rollout) -> None:
        """Lets the row be read anew, as another instance has written it."""
        if conducted.rejection:
            self._rejected[service] = conducted.order.id
        if self._gate.rollouts.get(service) is conducted:
            del self._gate.rollouts[service]
            self._gate.renew(service)
