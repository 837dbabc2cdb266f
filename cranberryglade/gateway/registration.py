"""Registers an instance in the platform's store and finds the others there."""

import asyncio
import random

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import decoding
from cranberryglade import log
from cranberryglade.gateway import bounded_warnings
from cranberryglade.gateway import capacity
from cranberryglade.gateway import membership
from cranberryglade.gateway import ports
from cranberryglade.gateway import sockets

RETRY_SECONDS = 1.0

RESTORE_SPREAD_SECONDS = 0.8
"""Time over which the instances write their rows again when the store came back
from an old copy."""

logger = log.get_logger(__name__)


class MemberRow(msgspec.Struct):
    """An instance's row in the table of members.

    Attributes:
        address: host and port where it receives datagrams, and calls of its
            peers.
        domain: its failure domain.
        capacity: as in `capacity.of_machine`.
    """

    address: str
    domain: str
    capacity: decoding.Quantity = capacity.DEFAULT_CAPACITY


async def keep_registered(
    store: ports.Store,
    name: str,
    entry: MemberRow,
    own_membership: membership.Membership,
    registered: asyncio.Event,
    store_restored: asyncio.Event,
) -> None:
    """Registers, and again each time the store came back from an old copy.

    Runs until cancelled.

    Args:
        store: client of the platform's store.
        name: this instance.
        entry: its row.
        own_membership: gets the other instances.
        registered: is set when they are known.
        store_restored: is set when the store came back; cleared here.
    """
    while True:
        await register(store, name, entry, own_membership)
        registered.set()
        await store_restored.wait()
        store_restored.clear()
        # All instances learn of it at about the same time.
        await asyncio.sleep(random.uniform(0.0, RESTORE_SPREAD_SECONDS))


async def register(
    store: ports.Store,
    name: str,
    entry: MemberRow,
    own_membership: membership.Membership,
) -> None:
    """Writes this instance's row, then reads those of the others.

    Retries until both succeed. Because of this order, of two instances that
    start at the same time at least one reads the row of the other, and its
    heartbeat then makes it known there.

    Args:
        store: client of the platform's store.
        name: this instance.
        entry: its row.
        own_membership: gets the other instances.
    """
    rows = None
    while rows is None:
        rows = await _write_and_read(store, name, entry)
        if rows is None:
            await asyncio.sleep(RETRY_SECONDS)
    now = asyncio.get_running_loop().time()
    unreadable = bounded_warnings.BoundedWarning("member.unreadable")
    for row in rows:
        match _decode(row):
            case Success(other):
                own_membership.register(
                    row.key, other.address, other.domain, now, other.capacity
                )
            case Failure(problem):
                unreadable.log(member=row.key, problem=problem)
    logger.info("registered", members=len(rows))


def _decode(row: ports.Row) -> Result[MemberRow, str]:
    return decoding.from_json(row.value, MemberRow).bind(
        lambda member: (
            Success(member)
            if sockets.is_ip_address(member.address)
            else Failure("no usable address")
        )
    )


async def _write_and_read(
    store: ports.Store, name: str, entry: MemberRow
) -> list[ports.Row] | None:
    table = ports.Table.MEMBERS
    value = msgspec.json.encode(entry)
    match await store.write(table, name, value, None):
        case Failure(error):
            logger.warning("register.write", reason=error.value)
            return None
    match await store.read_table(table):
        case Success(read):
            return read.rows
        case Failure(error):
            logger.warning("register.read", reason=error.value)
            return None
