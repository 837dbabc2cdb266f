"""Slots in use, by request, by instance, by endpoint and by prompt part."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import TypeVar

from cranberryglade.gateway import endpoint_states

Key = TypeVar("Key")
Value = TypeVar("Value")


class LeaseTable:
    """The leases of all instances; no look-up goes through all of them."""

    __slots__ = ("_by_endpoint", "_by_holder", "_by_id", "_by_part")

    def __init__(self):
        self._by_id: dict[str, endpoint_states.Lease] = {}
        self._by_holder: dict[str, dict[str, endpoint_states.Lease]] = {}
        self._by_endpoint: dict[str, dict[str, endpoint_states.Lease]] = {}
        self._by_part: dict[str, set[str]] = {}

    def __len__(self) -> int:
        """Returns the number of leases."""
        return len(self._by_id)

    def __contains__(self, id_: str) -> bool:
        """Returns whether a request has a lease."""
        return id_ in self._by_id

    def get(self, id_: str) -> endpoint_states.Lease | None:
        """Returns the lease of a request, if it has one."""
        return self._by_id.get(id_)

    def add(self, id_: str, lease: endpoint_states.Lease) -> None:
        """Adds the lease of a request, in place of an earlier one."""
        self.remove(id_)
        self._by_id[id_] = lease
        self._by_holder.setdefault(lease.holder, {})[id_] = lease
        self.at(lease.endpoint)[id_] = lease
        for part in _parts(lease):
            self._by_part.setdefault(part, set()).add(id_)

    def remove(self, id_: str) -> endpoint_states.Lease | None:
        """Removes and returns the lease of a request, if it has one."""
        lease = self._by_id.pop(id_, None)
        if lease is None:
            return None
        _discard(self._by_holder, lease.holder, id_)
        del self._by_endpoint[lease.endpoint][id_]
        for part in _parts(lease):
            ids = self._by_part[part]
            ids.discard(id_)
            if not ids:
                del self._by_part[part]
        return lease

    def at(self, endpoint: str) -> dict[str, endpoint_states.Lease]:
        """Returns the leases at an endpoint, as they are now and later."""
        return self._by_endpoint.setdefault(endpoint, {})

    def of(self, holder: str) -> Mapping[str, endpoint_states.Lease]:
        """Returns the leases of an instance."""
        return self._by_holder.get(holder, {})

    def runs_any_part(self, parts: Iterable[str]) -> bool:
        """Returns whether a request with any of some parts has a lease."""
        return not self._by_part.keys().isdisjoint(parts)

    def forget_endpoints(self, listed: Mapping[str, object]) -> None:
        """Drops what is kept of endpoints that are gone and run nothing."""
        for name, held in list(self._by_endpoint.items()):
            if not held and name not in listed:
                del self._by_endpoint[name]


def _parts(lease: endpoint_states.Lease) -> tuple[str, ...]:
    return lease.request.parts if lease.request is not None else ()


def _discard(index: dict[Key, dict[str, Value]], key: Key, id_: str) -> None:
    entries = index[key]
    del entries[id_]
    if not entries:
        del index[key]
