"""Assigns each endpoint to the instance of its failure domain that owns it.

The owner is found by rendezvous hashing: every instance computes the same
owner from the same view of membership, and a change of the view moves as few
endpoints as possible. Ownership only distributes work; it never gives the
right to run a request.
"""

from collections.abc import Iterable
import dataclasses

import xxhash


def owner(endpoint: str, instances: Iterable[str]) -> str | None:
    """Returns the name of the instance that owns an endpoint.

    Args:
        endpoint: name of the endpoint.
        instances: names of the live instances of its failure domain.

    Returns:
        The owner, or None when there is no instance.

    >>> owner("engine-1", ["a", "b"]) == owner("engine-1", ["b", "a"])
    True
    """
    score = _highest_score(endpoint, instances)
    return score.instance if score else None


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class _Score:
    weight: int
    instance: str


class Owners:
    """The owner of each endpoint, updated as instances join and leave.

    An instance that joins is compared only with the current owners, and one
    that leaves gives up only its own endpoints. So a change of the view costs
    about one hash per endpoint and not one per endpoint and instance.

    >>> owners = Owners("a")
    >>> owners.add_endpoint("engine-1")
    >>> owners.owner("engine-1")
    'a'
    """

    __slots__ = ("_instances", "_scores")

    def __init__(self, instance: str):
        self._instances = {instance}
        self._scores: dict[str, _Score] = {}

    def owner(self, endpoint: str) -> str | None:
        """Returns the name of an endpoint's owner; None if it is unknown."""
        score = self._scores.get(endpoint)
        return score.instance if score else None

    def add_endpoint(self, endpoint: str) -> None:
        """Adds an endpoint and computes its owner."""
        self._scores[endpoint] = _highest_score(endpoint, self._instances)

    def remove_endpoint(self, endpoint: str) -> None:
        """Removes an endpoint."""
        self._scores.pop(endpoint, None)

    def add_instance(self, instance: str) -> list[str]:
        """Adds an instance and returns the endpoints that it takes over."""
        if instance in self._instances:
            return []
        self._instances.add(instance)
        moved = []
        for endpoint, current in self._scores.items():
            score = _score(endpoint, instance)
            if score > current:
                self._scores[endpoint] = score
                moved.append(endpoint)
        return moved

    def remove_instance(self, instance: str) -> list[str]:
        """Removes an instance and returns the endpoints that it gives up."""
        self._instances.discard(instance)
        given_up = [
            endpoint
            for endpoint, score in self._scores.items()
            if score.instance == instance
        ]
        for endpoint in given_up:
            self._scores[endpoint] = _highest_score(endpoint, self._instances)
        return given_up


def _highest_score(endpoint: str, instances: Iterable[str]) -> _Score | None:
    return max((_score(endpoint, name) for name in instances), default=None)


def _score(endpoint: str, instance: str) -> _Score:
    key = f"{endpoint}\0{instance}".encode()
    return _Score(xxhash.xxh64_intdigest(key), instance)
