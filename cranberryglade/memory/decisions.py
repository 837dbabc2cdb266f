"""Decides who goes on reading while memory is short; performs no I/O.

Load pattern: a crowd sends large bodies at once, and most callers stop just
short of their end and stay. What they hold would keep all others from reading.
Others take none of their large answers.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from cranberryglade.memory import holding

SMALL_BYTES = 65_536
"""Bodies up to this size go on as long as anything is left."""

UNKNOWN_SIZE_BYTES = 4_194_304
"""Size that a body in chunks is taken to have."""

OWNER_SHARE = 0.5
"""Fraction of the budget above which an owner's bodies come last."""

STALL_SECONDS = 1.0
"""A body that may grow, and takes so long for PROGRESS_BYTES, yields to others.
"""

PROGRESS_BYTES = 16_384
"""A body that grows by less in STALL_SECONDS moves slowly."""

MAX_WAIT_SECONDS = 2.0
"""Longest wait of a body to go on; its request is refused then."""

UNREAD_SECONDS = 4.0
"""A caller that takes nothing of an answer for so long yields to others."""

Owners = Mapping[str, int]
"""Bytes that are held for each owner."""


def remaining(held: holding.Holding) -> int:
    """Returns the bytes that a holder will still take."""
    return max(1, (held.expected or UNKNOWN_SIZE_BYTES) - held.size)


def reading_order(
    waiting: Iterable[holding.Holding], owners: Owners, limit_bytes: int
) -> list[holding.Holding]:
    """Returns those that wait to go on reading, the first one first.

    Answers precede requests, as their end gives memory back. Owners that hold
    much come last. A body that is nearly whole precedes one that has begun.

    Args:
        waiting: those that wait.
        owners: bytes held by each owner.
        limit_bytes: the budget.
    """
    most = OWNER_SHARE * limit_bytes

    def place(held: holding.Holding) -> tuple:
        is_request = held.kind is holding.Kind.REQUEST
        holds_much = is_request and owners.get(held.owner, 0) > most
        is_large = held.size > SMALL_BYTES
        return (
            is_request,
            holds_much and is_large,
            remaining(held),
            held.began,
        )

    return sorted(waiting, key=place)


def find_overdue(
    waiting: Iterable[holding.Holding], now: float
) -> list[holding.Holding]:
    """Returns the requests that have waited for too long to go on."""
    return [
        held
        for held in waiting
        if held.kind is holding.Kind.REQUEST
        and held.waits_since is not None
        and now - held.waits_since >= MAX_WAIT_SECONDS
    ]


def find_oversized_owner(
    waiting: Iterable[holding.Holding], owners: Owners, limit_bytes: int
) -> str | None:
    """Returns the owner that holds too much while requests of others wait.

    Args:
        waiting: those that wait to go on.
        owners: bytes held by each owner.
        limit_bytes: the budget.
    """
    largest = max(owners, key=owners.get, default=None)
    if largest is None or owners[largest] <= OWNER_SHARE * limit_bytes:
        return None
    others_wait = any(
        held.kind is holding.Kind.REQUEST and held.owner != largest
        for held in waiting
    )
    return largest if others_wait else None


def find_yielding(
    holders: Iterable[holding.Holding],
    owners: Owners,
    needed_bytes: int,
    now: float,
    oversized_owner: str | None = None,
) -> list[holding.Holding]:
    """Returns those that give up what they hold, so that others go on.

    Bodies that could grow and did not come before answers that are not taken,
    whose connections are closed last. The owner that holds the most yields
    first, then who holds the most.

    Args:
        holders: all holders.
        owners: bytes held by each owner.
        needed_bytes: how much is to become free.
        now: seconds of the loop's clock.
        oversized_owner: the owner whose bodies yield also if they move.
    """
    found = [
        held
        for held in holders
        if _may_yield(held, now)
        or (
            held.kind is holding.Kind.REQUEST
            and held.owner == oversized_owner
            and held.size > SMALL_BYTES
        )
    ]
    found.sort(
        key=lambda held: (
            held.kind is holding.Kind.UNREAD,
            -owners.get(held.owner, 0),
            -held.size,
        )
    )
    yielding = []
    for held in found:
        if needed_bytes <= 0:
            break
        yielding.append(held)
        needed_bytes -= held.size
    return yielding


def _may_yield(held: holding.Holding, now: float) -> bool:
    still_seconds = now - held.moved_at
    match held.kind:
        case holding.Kind.REQUEST:
            is_stalled = still_seconds >= STALL_SECONDS
            return is_stalled and held.waits_since is None and held.size > 0
        case holding.Kind.UNREAD:
            return still_seconds >= UNREAD_SECONDS
        case _:
            return False
