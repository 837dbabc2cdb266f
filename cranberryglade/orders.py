"""Orders to endpoints: load a model, change the role, or drain.

Each order is sent under a lease on the endpoint. The lease is a row in the
platform's table service, and the version of the row is the fencing number.
Endpoints that check this number refuse an order from a holder that resumes
after its lease has expired. For the other endpoints, a new holder waits until
the previous lease and the timeout of an order sent under it have passed. Clocks
of different instances are not compared: an instance takes over a lease only
after it has observed the row unchanged for the full lease time.
"""

import asyncio
import dataclasses
import secrets

import aiohttp
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import bodies
from cranberryglade import limited_reading
from cranberryglade import log
from cranberryglade import tables
from cranberryglade import wire
from cranberryglade.gateway import ports
from cranberryglade.scheduling import messages

logger = log.get_logger(__name__)

TABLE = ports.Table.LEASES
ORDERS_PATH = "/v1/orders"
STATUS_FENCED = 409
LEASE_SECONDS = 10.0
UNKNOWN_HOLDER = "unknown"
LEASE_MARGIN_SECONDS = 1.0
ORDER_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 1.0
READ_BACK_ATTEMPTS = 3
NONCE_BYTES = 8
MAX_REPLY_BYTES = 65_536
"""Largest body of the answer to an order, of which only the status counts."""


class OrderDocument(wire.Document):
    """An order to an endpoint.

    Attributes:
        kind: "load" (a model, adapter or version), "role" or "drain".
        value: what to load, or the role; "" for "drain".
        fencing_number: number of the lease; a lower one means an older order.
    """

    kind: str
    value: str
    fencing_number: int


class LeaseRow(wire.Document):
    """Value of a lease's row.

    Attributes:
        holder: incarnation of the instance that holds it; "" once released.
        nonce: random value that identifies the write, so that the writer can
            read the row back if the answer to the write is lost.
        settled: whether every order of the holder was answered.
    """

    holder: str
    nonce: str
    settled: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """A lease that this instance holds.

    Attributes:
        key: name of the endpoint.
        number: fencing number.
        row: value of the lease's row.
        expires_at: when to stop using it, in seconds of the event loop's clock.
        send_after: time from which no order of a previous holder can still
            arrive, in seconds of the event loop's clock.
    """

    key: str
    number: int
    row: LeaseRow
    expires_at: float
    send_after: float


@dataclasses.dataclass(slots=True, frozen=True)
class Done:
    """The endpoint has carried out the order.

    Attributes:
        fencing_number: number of the lease that the order was sent under.
    """

    fencing_number: int


@dataclasses.dataclass(slots=True, frozen=True)
class NotDone:
    """The order was not sent, or the endpoint refused it.

    Attributes:
        reason: cause, as shown to the operator.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class MayBeDone:
    """The endpoint did not answer; it is safe to repeat the order.

    Attributes:
        reason: name of the exception, as shown to the operator.
    """

    reason: str


Outcome = Done | NotDone | MayBeDone


class LeaseManager:
    """Acquires and releases leases by compare-and-set."""

    __slots__ = ("_incarnation", "_platform")

    def __init__(self, client: tables.Tables, incarnation: str):
        self._platform = client
        self._incarnation = incarnation

    async def acquire(self, key: str) -> Result[Lease, str]:
        """Acquires a lease.

        If the row names a holder, waits LEASE_SECONDS and then takes the lease
        over, provided that the row has not changed.

        Args:
            key: name of the endpoint.

        Returns:
            The lease, or the reason why it was not acquired.
        """
        read = await self._platform.row(TABLE, key)
        if isinstance(read, Failure):
            return Failure("platform unavailable")
        row = read.unwrap()
        previous = _decode_row(row)
        if previous is not None and previous.holder:
            expired = await self._wait_for_expiry(key, row.version)
            if isinstance(expired, Failure):
                return expired
        is_settled = previous is None or previous.settled
        return await self._write_lease(key, row.version, is_settled)

    async def release(self, lease: Lease, settled: bool) -> None:
        """Releases a lease; it expires by itself if that fails.

        Args:
            lease: the lease that `acquire` returned.
            settled: whether every order sent under it was answered.
        """
        row = LeaseRow(holder="", nonce=lease.row.nonce, settled=settled)
        await self._platform.transact(
            [_lease_write(lease.key, lease.number, row)]
        )

    async def _wait_for_expiry(
        self, key: str, version: int
    ) -> Result[None, str]:
        until = _now() + LEASE_SECONDS
        while _now() < until:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            read = await self._platform.row(TABLE, key)
            if isinstance(read, Success) and read.unwrap().version != version:
                return Failure("another instance gives orders to the endpoint")
        return Success(None)

    async def _write_lease(
        self, key: str, version: int, is_settled: bool
    ) -> Result[Lease, str]:
        row = LeaseRow(
            holder=self._incarnation,
            nonce=secrets.token_hex(NONCE_BYTES),
            settled=False,
        )
        began = _now()
        written = await self._platform.transact(
            [_lease_write(key, version, row)]
        )
        if not await self._is_committed(written, key, version, row):
            return Failure("lease not taken")
        quiet_from = began if is_settled else _now() + ORDER_TIMEOUT_SECONDS
        return Success(
            Lease(
                key,
                version + 1,
                row,
                began + LEASE_SECONDS - LEASE_MARGIN_SECONDS,
                quiet_from,
            )
        )

    async def _is_committed(
        self,
        written: Result[tables.TransactionOutcome, tables.PlatformError],
        key: str,
        version: int,
        row: LeaseRow,
    ) -> bool:
        if isinstance(written, Success):
            return written.unwrap().committed
        for _ in range(READ_BACK_ATTEMPTS):
            read = await self._platform.row(TABLE, key)
            if isinstance(read, Success):
                found = read.unwrap()
                same = _decode_row(found) == row
                return same and found.version == version + 1
        return False


class OrderSender:
    """Sends orders to endpoints, one at a time for each endpoint."""

    __slots__ = ("_leases", "_locks", "_session")

    def __init__(self, leases: LeaseManager):
        self._leases = leases
        self._locks: dict[str, asyncio.Lock] = {}
        self._session = aiohttp.ClientSession(
            request_class=bodies.CheckedRequest
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def send(
        self, endpoint: messages.Endpoint, kind: str, value: str
    ) -> Outcome:
        """Sends one order under a new lease.

        Args:
            endpoint: the endpoint.
            kind: "load", "role" or "drain".
            value: what to load, or the role; "" for "drain".

        Returns:
            Done, NotDone or MayBeDone.
        """
        lock = self._locks.setdefault(endpoint.name, asyncio.Lock())
        async with lock:
            match await self._leases.acquire(endpoint.name):
                case Failure(reason):
                    return NotDone(reason)
                case Success(lease):
                    return await self._send_under_lease(
                        endpoint, kind, value, lease
                    )

    async def _send_under_lease(
        self,
        endpoint: messages.Endpoint,
        kind: str,
        value: str,
        lease: Lease,
    ) -> Outcome:
        if not endpoint.fenced:
            await asyncio.sleep(max(0.0, lease.send_after - _now()))
        left = lease.expires_at - _now()
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
        seconds = min(left, ORDER_TIMEOUT_SECONDS)
        try:
            async with self._session.post(
                f"http://{endpoint.address}{ORDERS_PATH}",
                data=wire.encode(order),
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as response:
                # An answer that breaks off says nothing of the order.
                await limited_reading.read_body(response, MAX_REPLY_BYTES)
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


def _decode_row(row: tables.Row) -> LeaseRow | None:
    """Returns the lease in a row; None if there is no row.

    A row that cannot be decoded is taken for a lease that is held, with an
    order that has no answer yet.
    """
    if not row.version:
        return None
    match wire.decode(row.value.encode(), LeaseRow):
        case Success(decoded):
            return decoded
        case Failure(problem):
            logger.warning("lease.unreadable", problem=problem)
    return LeaseRow(holder=UNKNOWN_HOLDER, nonce="", settled=False)


def _lease_write(key: str, version: int, row: LeaseRow) -> tables.RowWrite:
    return tables.RowWrite(
        table=TABLE,
        key=key,
        expected_version=version,
        value=wire.encode(row).decode(),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
