"""Reads tables in pages."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade.gateway import ports


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """One page of a read; `has_more` says whether further ones follow."""

    read: ports.Rows
    has_more: bool


async def collect(
    fetch: Callable[[str], Awaitable[Result[Page, ports.StoreError]]],
) -> Result[ports.Rows, ports.StoreError]:
    """Returns all rows of a table.

    Args:
        fetch: returns the page that begins with a key; "" is before all.

    Returns:
        The rows, as of the first page; or why a page could not be read.
        History is lost if the store came back from an old copy meanwhile.
    """
    rows: list[ports.Row] = []
    start = ""
    first = None
    while True:
        match await fetch(start):
            case Success(Page(read)) if first and first.era != read.era:
                return Failure(ports.StoreError.HISTORY_LOST)
            case Success(Page(read, has_more)):
                first = first or read
                rows += read.rows
                if not has_more or not read.rows:
                    made_at = first.made_at
                    return Success(ports.Rows(read.version, rows, made_at))
                start = read.rows[-1].key + "\0"
            case Failure(_) as failure:
                return failure
