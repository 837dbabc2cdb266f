"""Makes the instances known to each other through the platform's store."""

import asyncio

import msgspec
from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import members
from cranberryglade.gateway import ports

PAUSE_SECONDS = 1.0

logger = log.get_logger(__name__)


class Entry(msgspec.Struct):
    """An instance's row.

    Attributes:
        address: where it reads datagrams and serves its peers.
        domain: its failure domain.
    """

    address: str
    domain: str


async def register(
    store: ports.Store, name: str, entry: Entry, known: members.Members
) -> None:
    """Writes this instance's row, then reads those of the others.

    In this order, of two that start at once one sees the other, whose
    heartbeat then makes it known to the first.
    """
    rows = None
    while rows is None:
        rows = await _exchange(store, name, entry)
        if rows is None:
            await asyncio.sleep(PAUSE_SECONDS)
    now = asyncio.get_running_loop().time()
    for row in rows:
        try:
            other = msgspec.json.decode(row.value or b"", type=Entry)
        except msgspec.DecodeError as error:
            logger.warning(
                "member.unreadable", member=row.key, problem=str(error)
            )
            continue
        known.learn(row.key, other.address, other.domain, now)
    logger.info("registered", members=len(rows))


async def _exchange(
    store: ports.Store, name: str, entry: Entry
) -> list[ports.Row] | None:
    table = ports.Table.MEMBERS
    value = msgspec.json.encode(entry)
    match await store.write(table, name, value, None):
        case Failure(error):
            logger.warning("register.write", reason=error.value)
            return None
    match await store.read(table):
        case Success(read):
            return read.rows
        case Failure(error):
            logger.warning("register.read", reason=error.value)
            return None
