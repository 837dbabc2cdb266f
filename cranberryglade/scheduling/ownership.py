"""Which instance of a failure domain feeds an endpoint.

Rendezvous hashing: every instance computes the same owner from the same view,
and a change of the view moves only the endpoints that it must. Ownership only
shares out work; the right to run a request never follows from it.
"""

from collections.abc import Iterable
import dataclasses

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
    bid = _best(endpoint, instances)
    return bid.instance if bid else None


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class _Bid:
    weight: int
    instance: str


class Owners:
    """The owner of each endpoint, kept up to date as instances come and go.

    An instance that joins is compared with the present owners only, and one
    that leaves gives up only its own endpoints, so that a change of the view
    costs one hash per endpoint and not one per endpoint and instance.

    >>> owners = Owners("a")
    >>> owners.add_endpoint("engine-1")
    >>> owners.owner("engine-1")
    'a'
    """

    __slots__ = ("_bids", "_instances")

    def __init__(self, instance: str):
        self._instances = {instance}
        self._bids: dict[str, _Bid] = {}

    def owner(self, endpoint: str) -> str | None:
        """Name of the instance that feeds the endpoint."""
        bid = self._bids.get(endpoint)
        return bid.instance if bid else None

    def add_endpoint(self, endpoint: str) -> None:
        """Assigns a new endpoint."""
        self._bids[endpoint] = _best(endpoint, self._instances)

    def remove_endpoint(self, endpoint: str) -> None:
        """Forgets an endpoint."""
        self._bids.pop(endpoint, None)

    def add_instance(self, instance: str) -> list[str]:
        """Takes in an instance; returns the endpoints that it takes over."""
        if instance in self._instances:
            return []
        self._instances.add(instance)
        moved = []
        for endpoint, present in self._bids.items():
            bid = _bid(endpoint, instance)
            if bid > present:
                self._bids[endpoint] = bid
                moved.append(endpoint)
        return moved

    def remove_instance(self, instance: str) -> list[str]:
        """Forgets an instance; returns the endpoints that it gives up."""
        self._instances.discard(instance)
        given_up = [
            endpoint
            for endpoint, bid in self._bids.items()
            if bid.instance == instance
        ]
        for endpoint in given_up:
            self._bids[endpoint] = _best(endpoint, self._instances)
        return given_up


def _best(endpoint: str, instances: Iterable[str]) -> _Bid | None:
    return max((_bid(endpoint, name) for name in instances), default=None)


def _bid(endpoint: str, instance: str) -> _Bid:
    key = f"{endpoint}\0{instance}".encode()
    return _Bid(xxhash.xxh64_intdigest(key), instance)
