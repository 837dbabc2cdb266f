"""Software versions that the endpoints of each service have had lately."""

from collections.abc import Iterable

from cranberryglade.gateway import messages
from cranberryglade.gateway import stream_origins


class SoftwareVersions:
    """Versions of endpoints that are listed, or were lately; performs no I/O.

    A version counts for as long after its last endpoint as origins are kept.
    Times are seconds of the loop's clock.
    """

    __slots__ = ("_listed", "_removed_at")

    def __init__(self):
        self._listed: dict[str, set[str]] = {}
        self._removed_at: dict[str, dict[str, float]] = {}

    def versions(self, service: str, now: float) -> set[str]:
        """Returns the versions that the endpoints of a service have or had."""
        removed = self._removed_at.get(service, {})
        lately = {
            version
            for version, since in removed.items()
            if now - since < stream_origins.RETENTION_SECONDS
        }
        return lately | self._listed.get(service, set())

    def by_service(self, now: float) -> dict[str, list[str]]:
        """Returns the versions of each service, sorted."""
        services = self._listed.keys() | self._removed_at.keys()
        found = {
            service: sorted(self.versions(service, now))
            for service in sorted(services)
        }
        return {service: each for service, each in found.items() if each}

    def record_earlier(
        self, service: str, versions: Iterable[str], now: float
    ) -> None:
        """Records versions that a service had before this instance started.

        When their endpoints left is not known; they count as if it was now.
        """
        removed = self._removed_at.setdefault(service, {})
        for version in versions:
            removed[version] = now

    def observe(
        self, endpoints: Iterable[messages.Endpoint], now: float
    ) -> set[str]:
        """Applies the current list of endpoints.

        Returns:
            The services that a version was added to.
        """
        listed: dict[str, set[str]] = {}
        for endpoint in endpoints:
            versions = listed.setdefault(endpoint.service, set())
            versions.add(endpoint.software_version)
        for service, versions in self._listed.items():
            for version in versions - listed.get(service, set()):
                removed = self._removed_at.setdefault(service, {})
                removed[version] = now
        grown = {
            service
            for service, versions in listed.items()
            if versions - self._listed.get(service, set())
        }
        self._listed = listed
        return grown
