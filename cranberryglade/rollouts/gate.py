"""Which software versions get slots, for all services of an instance."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Protocol

from cranberryglade.gateway import messages
from cranberryglade.rollouts import bars
from cranberryglade.rollouts import canary
from cranberryglade.rollouts import comparison
from cranberryglade.rollouts import orders
from cranberryglade.rollouts import rollout


class VersionGate(Protocol):
    """Limits the grants of software versions.

    Versions are asked for and not single endpoints, so that a grant costs the
    same however many endpoints a barred version has.
    """

    def barred(self, service: str) -> bars.Bars:
        """Returns the versions of a service that get no slots."""

    def canary_endpoint(self, service: str, now: float) -> str:
        """Returns the endpoint that gets the next request; "" for any."""

    def record_request(self, request: messages.SlotRequest) -> None:
        """Counts a request that asks for a slot for the first time."""

    def record_grant(self, endpoint: messages.Endpoint) -> None:
        """Counts a grant."""

    def record_outcome(
        self, endpoint: messages.Endpoint, answer: comparison.Answer
    ) -> None:
        """Includes the end of an attempt in the verdict."""


class ServiceVersions:
    """The version gate of an instance; performs no I/O.

    A service with an order, or with a status that says that a rollout runs,
    gives the new version no slots unless this instance conducts the rollout.

    Attributes:
        orders: orders in force, by service.
        rollouts: rollouts that this instance conducts, by service.
        statuses: stored states that are known, by service.
    """

    __slots__ = (
        "_bars",
        "_endpoints",
        "_ended",
        "_listed",
        "orders",
        "rollouts",
        "statuses",
    )

    def __init__(self):
        self.orders: dict[str, orders.Order] = {}
        self.rollouts: dict[str, rollout.Rollout] = {}
        self.statuses: dict[str, orders.Status] = {}
        self._listed: Mapping[str, messages.Endpoint] = {}
        self._endpoints: dict[str, list[messages.Endpoint]] = {}
        self._ended: dict[str, frozenset[str]] = {}
        self._bars: dict[str, bars.Bars] = {}

    def barred(self, service: str) -> bars.Bars:
        """Returns the versions of a service that get no slots."""
        return self._bars.get(service, bars.NO_BARS)

    def canary_endpoint(self, service: str, now: float) -> str:
        """Returns the endpoint that gets the next request; "" for any."""
        conducted = self.rollouts.get(service)
        return "" if conducted is None else conducted.canary_endpoint(now)

    def record_request(self, request: messages.SlotRequest) -> None:
        """Counts a request that asks for a slot for the first time."""
        conducted = self.rollouts.get(request.service)
        if conducted is not None and not request.excluded_endpoints:
            conducted.record_request()

    def record_grant(self, endpoint: messages.Endpoint) -> None:
        """Counts a grant."""
        conducted = self.rollouts.get(endpoint.service)
        if conducted is not None:
            conducted.record_grant(endpoint.software_version)

    def record_outcome(
        self, endpoint: messages.Endpoint, answer: comparison.Answer
    ) -> None:
        """Includes the end of an attempt in the verdict."""
        conducted = self.rollouts.get(endpoint.service)
        if conducted is None or conducted.is_over or conducted.rejection:
            return
        conducted.record_answer(endpoint.software_version, answer)
        if conducted.rejection:
            self.renew(endpoint.service)

    def observe_endpoints(
        self, listed: Mapping[str, messages.Endpoint]
    ) -> None:
        """Applies the current list of endpoints."""
        self._listed = listed
        self._endpoints = {}
        self.renew_all()

    def conduct(self, service: str, conducted: rollout.Rollout) -> None:
        """Begins to conduct a rollout."""
        self.rollouts[service] = conducted
        self.renew(service)

    def renew_all(self) -> None:
        """Renews the bars of all services that have or had a rollout."""
        for service in self.concerned():
            self.renew(service)

    def concerned(self) -> set[str]:
        """Returns the services that have or had a rollout."""
        return self.orders.keys() | self.rollouts.keys() | self.statuses.keys()

    def renew(self, service: str) -> None:
        """Renews the bars of a service after a change."""
        listed = self._endpoints_of(service)
        conducted = self.rollouts.get(service)
        if conducted is not None:
            new = conducted.order.version
            conducted.endpoints = rollout.Endpoints(
                [e for e in _accepting(listed) if e.software_version == new],
                [e for e in listed if e.software_version != new],
            )
        barred = self._make_bars(service, listed)
        if self._leaves_none(service, barred, listed):
            barred = bars.NO_BARS
        self._bars[service] = barred

    def _endpoints_of(self, service: str) -> list[messages.Endpoint]:
        """Returns the endpoints of a service in the order of `canary.turn`.

        They are sorted only for services that have or had a rollout.
        """
        found = self._endpoints.get(service)
        if found is None:
            listed = (e for e in self._listed.values() if e.service == service)
            found = sorted(listed, key=_turn)
            self._endpoints[service] = found
        return found

    def old_endpoints(self, service: str) -> list[str]:
        """Returns the ids of the endpoints that a rollout replaces."""
        conducted = self.rollouts.get(service)
        if conducted is None:
            return []
        return [each.id for each in conducted.endpoints.old]

    def _leaves_none(
        self,
        service: str,
        barred: bars.Bars,
        listed: Iterable[messages.Endpoint],
    ) -> bool:
        """Returns whether bars would leave a service without endpoints.

        A version that was found bad, or whose order was withdrawn, gets no
        requests even then.
        """
        conducted = self.rollouts.get(service)
        status = self.statuses.get(service)
        if conducted is not None and conducted.rejection:
            return False
        order = self.orders.get(service)
        if (
            status is not None
            and status.state is orders.State.ROLLED_BACK
            and (order is None or status.answers(order))
        ):
            return False
        versions = {each.software_version for each in _accepting(listed)}
        return versions <= barred.any_version

    def _make_bars(
        self, service: str, listed: Iterable[messages.Endpoint]
    ) -> bars.Bars:
        conducted = self.rollouts.get(service)
        order = self.orders.get(service)
        status = self.statuses.get(service)
        if conducted is not None and not conducted.is_over:
            return _with_replacement(conducted, order)
        if order is not None and (status is None or not status.answers(order)):
            return bars.bar(frozenset((order.version,)))
        match status:
            case orders.Status(state=orders.State.COMPLETED, version=version):
                return self._bar_completed(service, version, listed)
            case orders.Status(version=version):
                return bars.bar(frozenset((version,)))
        return bars.NO_BARS

    def _bar_completed(
        self, service: str, version: str, listed: Iterable[messages.Endpoint]
    ) -> bars.Bars:
        """Bars the replaced versions until they are gone.

        Versions that are started later are not known to a rollout.
        """
        versions = {each.software_version for each in listed}
        replaced = self._ended.get(service)
        if replaced is None:
            replaced = frozenset(versions - {version})
        self._ended[service] = replaced & versions
        if version not in versions:
            return bars.NO_BARS
        return bars.bar(self._ended[service])

    def forget_end(self, service: str) -> None:
        """Drops the versions that an earlier rollout replaced."""
        self._ended.pop(service, None)


def _turn(endpoint: messages.Endpoint) -> tuple[bytes, str]:
    return canary.turn(endpoint.id), endpoint.id


def _accepting(
    listed: Iterable[messages.Endpoint],
) -> Iterable[messages.Endpoint]:
    return (each for each in listed if not each.leaving)


def _with_replacement(
    conducted: rollout.Rollout, order: orders.Order | None
) -> bars.Bars:
    """Bars also the version of an order that replaces the present one."""
    barred = conducted.barred
    if order is None or order.id == conducted.order.id:
        return barred
    following = frozenset((order.version,))
    return bars.Bars(
        barred.any_version | following, barred.all_requests | following
    )
