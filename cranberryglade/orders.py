"""Orders to endpoints: what to load, which role to take, whether to drain.

Each order is given under a lease on the endpoint, kept as a row of the
platform's table service. The row's version is the fencing number. Endpoints
that check it refuse an order from a holder that woke up late. For those that
do not, a new holder waits until the former lease and the longest flight of an
order have passed. No clock is compared with another one: whoever takes a lease
over has itself seen the row unchanged for the whole time.
"""

import asyncio
import dataclasses
import secrets

import aiohttp
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import tables
from cranberryglade import wire
from cranberryglade.gateway import ports
from cranberryglade.scheduling import messages

TABLE = ports.Table.LEASES
ORDERS_PATH = "/v1/orders"
STATUS_FENCED = 409
LEASE_SECONDS = 10.0
MARGIN_SECONDS = 1.0
LONGEST_FLIGHT_SECONDS = 5.0
WATCH_SECONDS = 1.0
READ_BACKS = 3
NONCE_BYTES = 8


class OrderDocument(wire.Document):
    """What an endpoint is told to do.

    Attributes:
        kind: "load" (a model, adapter or version), "role" or "drain".
        value: what to load, or the role; "" for a drain.
        fencing_number: orders with a lower one are older.
    """

    kind: str
    value: str
    fencing_number: int


class LeaseRow(wire.Document):
    """Value of a lease's row.

    Attributes:
        holder: incarnation of the instance that holds it; "" once released.
        nonce: chosen by the writer, to settle a lost answer.
        settled: whether every order of the holder had its answer.
    """

    holder: str
    nonce: str
    settled: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """A lease that this instance holds.

    Attributes:
        key: the endpoint.
        number: fencing number.
        row: what the row holds.
        until: when to stop using it, in seconds of the runtime's clock.
        quiet_from: when no order of a former holder can still be on its way.
    """

    key: str
    number: int
    row: LeaseRow
    until: float
    quiet_from: float


@dataclasses.dataclass(slots=True, frozen=True)
class Done:
    """The endpoint has carried the order out."""

    fencing_number: int


@dataclasses.dataclass(slots=True, frozen=True)
class NotDone:
    """The order was not given or was refused."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class MayBeDone:
    """The endpoint did not answer; an order may be repeated."""

    reason: str


Outcome = Done | NotDone | MayBeDone


class Leases:
    """Takes and releases leases by compare-and-set."""

    __slots__ = ("_incarnation", "_platform")

    def __init__(self, client: tables.Tables, incarnation: str):
        self._platform = client
        self._incarnation = incarnation

    async def take(self, key: str) -> Result[Lease, str]:
        """Takes a lease; waits for a holder that does not release it."""
        read = await self._platform.row(TABLE, key)
        if isinstance(read, Failure):
            return Failure("platform unavailable")
        row = read.unwrap()
        former = _read_row(row)
        if former is not None and former.holder:
            watched = await self._watch(key, row.version)
            if isinstance(watched, Failure):
                return watched
        is_settled = former is None or former.settled
        return await self._write(key, row.version, is_settled)

    async def release(self, lease: Lease, settled: bool) -> None:
        """Gives a lease back; it lapses by itself if that fails.

        Args:
            lease: what `take` returned.
            settled: whether every order given under it had its answer.
        """
        row = LeaseRow(holder="", nonce=lease.row.nonce, settled=settled)
        await self._platform.transact([_write(lease.key, lease.number, row)])

    async def _watch(self, key: str, version: int) -> Result[None, str]:
        until = _now() + LEASE_SECONDS
        while _now() < until:
            await asyncio.sleep(WATCH_SECONDS)
            read = await self._platform.row(TABLE, key)
            if isinstance(read, Success) and read.unwrap().version != version:
                return Failure("another instance gives orders to the endpoint")
        return Success(None)

    async def _write(
        self, key: str, version: int, is_settled: bool
    ) -> Result[Lease, str]:
        row = LeaseRow(
            holder=self._incarnation,
            nonce=secrets.token_hex(NONCE_BYTES),
            settled=False,
        )
        began = _now()
        written = await self._platform.transact([_write(key, version, row)])
        if not await self._has_written(written, key, version, row):
            return Failure("lease not taken")
        quiet_from = began if is_settled else _now() + LONGEST_FLIGHT_SECONDS
        return Success(
            Lease(
                key,
                version + 1,
                row,
                began + LEASE_SECONDS - MARGIN_SECONDS,
                quiet_from,
            )
        )

    async def _has_written(
        self,
        written: Result[tables.Outcome, tables.PlatformError],
        key: str,
        version: int,
        row: LeaseRow,
    ) -> bool:
        if isinstance(written, Success):
            return written.unwrap().committed
        for _ in range(READ_BACKS):
            read = await self._platform.row(TABLE, key)
            if isinstance(read, Success):
                found = read.unwrap()
                same = _read_row(found) == row
                return same and found.version == version + 1
        return False


class Orders:
    """Gives orders to endpoints, one at a time for each endpoint."""

    __slots__ = ("_leases", "_locks", "_session")

    def __init__(self, leases: Leases):
        self._leases = leases
        self._locks: dict[str, asyncio.Lock] = {}
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def give(
        self, endpoint: messages.Endpoint, kind: str, value: str
    ) -> Outcome:
        """Gives one order under a fresh lease."""
        lock = self._locks.setdefault(endpoint.name, asyncio.Lock())
        async with lock:
            match await self._leases.take(endpoint.name):
                case Failure(reason):
                    return NotDone(reason)
                case Success(lease):
                    return await self._give(endpoint, kind, value, lease)

    async def _give(
        self,
        endpoint: messages.Endpoint,
        kind: str,
        value: str,
        lease: Lease,
    ) -> Outcome:
        if not endpoint.fenced:
            await asyncio.sleep(max(0.0, lease.quiet_from - _now()))
        left = lease.until - _now()
        if left <= 0:
            return NotDone("the lease has lapsed")
        order = OrderDocument(
            kind=kind, value=value, fencing_number=lease.number
        )
        outcome = await self._send(endpoint, order, left)
        settled = not isinstance(outcome, MayBeDone)
        await self._leases.release(lease, settled)
        return outcome

    async def _send(
        self, endpoint: messages.Endpoint, order: OrderDocument, left: float
    ) -> Outcome:
        seconds = min(left, LONGEST_FLIGHT_SECONDS)
        try:
            async with self._session.post(
                f"http://{endpoint.address}{ORDERS_PATH}",
                data=wire.encode(order),
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as response:
                status = response.status
        except aiohttp.ClientConnectorError as error:
            return NotDone(type(error).__name__)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return MayBeDone(type(error).__name__)
        if status == 200:
            return Done(order.fencing_number)
        if status == STATUS_FENCED:
            return NotDone("a newer fencing number is known there")
        return NotDone(f"status {status}")


def _read_row(row: tables.Row) -> LeaseRow | None:
    return wire.decode(row.value.encode(), LeaseRow).value_or(None)


def _write(key: str, version: int, row: LeaseRow) -> tables.RowWrite:
    return tables.RowWrite(
        table=TABLE,
        key=key,
        expected_version=version,
        value=wire.encode(row).decode(),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
