"""What callers and endpoints observed in one run of the soak."""

import dataclasses

from cranberryglade.standins import callers

STREAM_ROUTES = ("write", "note")

NOT_RUN_FAULTS = ("refuse", "unsealed", "pause")
"""Faults in which an endpoint answers without running the request."""

CRASH = "crash"
"""Fault of an arrival: the endpoint crashed before it had answered."""


@dataclasses.dataclass(slots=True)
class Submission:
    """A request as its caller observed it.

    Attributes:
        id: request id.
        route: name of its route.
        gateway: number of the gateway that it was sent to.
        second_key: whether it was sent with the second organisation's key.
        sent: when it was sent, in seconds of the event loop's clock.
        written: when its last byte was written, on the same clock.
        kept: whether its connection had carried a request before.
        ended: when its response was read, its connection ended or its caller
            gave up; on the same clock.
        status: status of the response; 0 if there was none.
        whole: whether the response was complete.
        sealed: whether the response had an endpoint's response seal.
        body: body of the response, as far as it was received.
        abandoned: whether the caller gave up deliberately, or the run ended
            first.
        lag_seconds: total delay of the soak's own event loop since `sent`.
        resumes: request whose broken stream it resumes; "" if none.
        resumed_after: number of the last event of that stream.
        crashing_part: part of its prompt that crashes endpoints; "" if none.
        unreadable: why what its caller received is no answer; "" if it is one,
            or nothing was received.
    """

    id: str
    route: str
    gateway: int
    second_key: bool
    sent: float
    written: float = 0.0
    kept: bool = False
    ended: float = 0.0
    status: int = 0
    whole: bool = False
    sealed: bool = False
    body: bytes = b""
    abandoned: bool = False
    lag_seconds: float = 0.0
    resumes: str = ""
    resumed_after: int = 0
    crashing_part: str = ""
    unreadable: str = ""

    @property
    def cut(self) -> bool:
        """Whether its connection ended without a whole answer."""
        return not (self.whole or self.abandoned or self.unreadable)

    @property
    def resumable(self) -> bool:
        """Whether a caller may resume its broken stream."""
        broken = self.status == 200 and not self.whole
        first = self.route == "write" and not self.resumes
        return broken and first and self.last_event > 0

    @property
    def last_event(self) -> int:
        """Number of the last whole event that its caller received."""
        ids = self._fields(b"id: ")
        return int(ids[-1]) if ids else 0

    @property
    def versions(self) -> set[bytes]:
        """Software versions that its events came from."""
        return {text.rpartition(b" ")[0] for text in self._fields(b"data: ")}

    def record_answer(self, answer: callers.Answer) -> None:
        """Records what its caller received."""
        self.status = answer.status
        self.whole = answer.whole
        self.sealed = answer.sealed
        self.body = answer.body

    def _fields(self, name: bytes) -> list[bytes]:
        """Returns the values of a field in the whole events of the body."""
        whole = self.body.rpartition(b"\n\n")[0]
        return [
            line.removeprefix(name)
            for line in whole.split(b"\n")
            if line.startswith(name)
        ]


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """A request that an endpoint started to run.

    Attributes:
        id: request id.
        at: when it started, in seconds of the event loop's clock.
    """

    id: str
    at: float


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        endpoint: id of the endpoint.
        at: when, in seconds of the event loop's clock.
        id: request id.
        fault: how the endpoint failed it, as in faults.Endpoint, or CRASH; ""
            if it did not.
        ended: when the endpoint stopped work on it, on the same clock;
            infinite if it did not.
    """

    endpoint: str
    at: float
    id: str = ""
    fault: str = ""
    ended: float = float("inf")


@dataclasses.dataclass(slots=True, frozen=True)
class LimitPeriod:
    """A period in which an endpoint named a limit.

    Attributes:
        endpoint: id of the endpoint.
        per_second: the limit, in requests a second.
        begun: when it began to, in seconds of the event loop's clock.
        ended: when it stopped, on the same clock.
    """

    endpoint: str
    per_second: float
    begun: float
    ended: float


@dataclasses.dataclass(slots=True, frozen=True)
class Period:
    """A period for all gateways, in seconds of the event loop's clock."""

    begun: float
    ended: float


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointPeriod:
    """A period for one endpoint, in seconds of the event loop's clock."""

    endpoint: str
    begun: float
    ended: float

    def overlaps(self, begun: float, ended: float) -> bool:
        """Returns whether it overlaps another period."""
        return begun <= self.ended and ended >= self.begun


@dataclasses.dataclass(slots=True, frozen=True)
class GatewayPeriod:
    """A period for one gateway, in seconds of the event loop's clock."""

    gateway: int
    begun: float
    ended: float

    def overlaps(self, gateway: int, begun: float, ended: float) -> bool:
        """Returns whether it overlaps a period of that gateway."""
        return (
            self.gateway == gateway
            and begun <= self.ended
            and ended >= self.begun
        )


@dataclasses.dataclass(slots=True)
class Probe:
    """Ordinary requests to a gateway after a crowd, until one was answered.

    Attributes:
        gateway: number of the gateway.
        crowd: kind of the crowd.
        begun: when the first was sent, in seconds of the event loop's clock.
        ended: when the last ended, on the same clock.
        answered: whether one got an answer, whatever its status.
    """

    gateway: int
    crowd: str
    begun: float
    ended: float = 0.0
    answered: bool = False


@dataclasses.dataclass(slots=True)
class Rollout:
    """A rollout as the platform observed it.

    Attributes:
        endpoints: ids of the endpoints of the new version.
        is_bad: whether the new version is bad or slow, perhaps only later.
        ordered: when it was ordered, in seconds of the event loop's clock.
        due: end of its period, on the same clock.
        state: state in the status row that was read last; "" if none.
        ended: when the status row said that it had ended, on the same clock;
            infinite if it did not within the period.
    """

    endpoints: frozenset[str]
    is_bad: bool
    ordered: float
    due: float
    state: str = ""
    ended: float = float("inf")


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """The limits that the guarantees are checked against.

    Attributes:
        timeout_seconds: timeout of every route.
        revoke_seconds: longest time until a revoked key is refused.
        grace_seconds: grace period of a planned stop.
        apply_seconds: longest time until a configuration, or settings that
            were reloaded, are in force.
        answer_seconds: time from a request's last byte until which its
            connection may end unanswered if it was not passed on.
        quota: most requests of the second organisation that may run in one
            quota window.
        quota_window_seconds: length of the quota window.
        retry_ratio: retries allowed for each request sent.
        retry_slack: retries allowed in addition.
        retry_window_seconds: length of the window that retries are counted
            in.
        events: number of events in a complete stream.
        exposure_share: share of the requests of its service that a bad
            software version may get during its rollout.
        exposure_slack: requests that it may get in addition.
        rollback_seconds: longest time until a bad version gets no requests.
    """

    timeout_seconds: float
    revoke_seconds: float
    grace_seconds: float
    apply_seconds: float
    answer_seconds: float
    quota: float
    quota_window_seconds: float
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    events: int
    exposure_share: float
    exposure_slack: float
    rollback_seconds: float


@dataclasses.dataclass(slots=True)
class History:
    """Everything observed in one run of the soak.

    Attributes:
        submissions: requests of callers, by id.
        runs: requests that endpoints started to run, in order.
        arrivals: requests that reached endpoints, in order.
        limits: periods in which endpoints named a limit.
        disturbed: periods in which a gateway was killed, paused or
            restarting, extended by run.SETTLE_SECONDS.
        unplanned: periods in which a gateway was killed or paused, extended by
            run.SETTLE_SECONDS.
        impaired: periods in which the link to an endpoint was impaired.
        stops: planned stops, from the signal until the process had ended.
        reloads: periods after SIGHUP, until its settings must be in force.
        changes: periods of new configurations, from their writing until
            deployment.CHANGE_SECONDS later.
        revocations: periods in which the second key was revoked: from the
            confirmed write until just before the key is restored.
        rollouts: the rollouts that were ordered.
        probes: requests after crowds.
        ended_processes: gateways whose process ended without a fault.
        late_stops: descriptions of the planned stops that exceeded the grace
            period.
        recovery_due: when all faults are over and the gateways should have
            recovered, in seconds of the event loop's clock.
    """

    submissions: dict[str, Submission] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    limits: list[LimitPeriod] = dataclasses.field(default_factory=list)
    disturbed: list[GatewayPeriod] = dataclasses.field(default_factory=list)
    unplanned: list[GatewayPeriod] = dataclasses.field(default_factory=list)
    impaired: list[EndpointPeriod] = dataclasses.field(default_factory=list)
    stops: list[GatewayPeriod] = dataclasses.field(default_factory=list)
    reloads: list[GatewayPeriod] = dataclasses.field(default_factory=list)
    changes: list[Period] = dataclasses.field(default_factory=list)
    revocations: list[Period] = dataclasses.field(default_factory=list)
    rollouts: list[Rollout] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    ended_processes: list[str] = dataclasses.field(default_factory=list)
    late_stops: list[str] = dataclasses.field(default_factory=list)
    recovery_due: float = float("inf")


def any_overlaps(periods: list[GatewayPeriod], each: Submission) -> bool:
    """Returns whether a period of its gateway overlaps a request."""
    return any(
        period.overlaps(each.gateway, each.sent, each.ended)
        for period in periods
    )
