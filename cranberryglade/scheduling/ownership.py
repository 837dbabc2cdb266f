"""Which instance of a failure domain feeds an endpoint.

Rendezvous hashing: every instance computes the same owner from the same view,
and a change of the view moves only the endpoints that it must. Ownership only
shares out work; the right to run a request never follows from it.
"""

from collections.abc import Iterable

import xxhash


def owner(endpoint: str, instances: Iterable[str]) -> str | None:
    """Name of the instance that feeds the endpoint.

    Args:
        endpoint: name of the endpoint.
        instances: names of the live instances of its failure domain.

    Returns:
        The owner, or None when there is no instance.

    >>> owner("engine-1", ["a", "b"]) == owner("engine-1", ["b", "a"])
    True
    """
    return max(
        instances,
        key=lambda name: (_weight(endpoint, name), name),
        default=None,
    )


def _weight(endpoint: str, instance: str) -> int:
    return xxhash.xxh64_intdigest(f"{endpoint}\0{instance}".encode())
