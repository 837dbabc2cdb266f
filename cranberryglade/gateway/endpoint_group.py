"""The endpoints of one service, ordered by what a request costs there.

Load pattern: hundreds of requests a second for endpoints whose speeds differ by
several times. The best endpoint with a free slot is found without going through
all of them, so that a grant costs the same for 40 endpoints and for 2,000.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import heapq
import itertools
import math

from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.placement import preference as preferences
from cranberryglade.rollouts import bars

DEFAULT_PACE = 0.0

MAX_COMPARED = 8
"""Most endpoints whose present costs are compared for one grant. Costs rise
while requests run, so an order by earlier costs is nearly right."""

MAX_FURTHER_COMPARED = 3
"""The same for each order of costs if a request prefers some endpoints; then
there are two orders, and the preferred ones are compared, too."""

MAX_REST_SECONDS = 0.1
"""An endpoint whose limit is used up is looked at again after this time, since
its limit may have changed."""

MEDIAN_TOLERANCE = 0.1
"""Relative change of the median pace from which on the endpoints that have no
pace of their own are ordered anew."""

MIN_COMPACTION = 64
"""A heap with fewer entries than this is not rebuilt without the stale ones."""

Accepts = Callable[[endpoint_states.EndpointState], bool]
"""Says whether a free endpoint may get a request."""

Candidate = tuple[endpoint_states.Cost, str, int, endpoint_states.EndpointState]
"""Cost, id of the endpoint, and the revision of the state it belongs to."""


class EndpointRates:
    """The requests a second that endpoints take; performs no I/O.

    Attributes:
        limit_share: share of the endpoints' limits that may be granted here.
    """

    __slots__ = ("_limits", "limit_share")

    def __init__(self, limits: endpoint_limits.EndpointLimits):
        self._limits = limits
        self.limit_share = 1.0

    @property
    def unlimited(self) -> bool:
        """Whether no endpoint names a limit, or did so lately."""
        return self._limits.is_empty

    def limit(self, state: endpoint_states.EndpointState, now: float) -> float:
        """Returns the requests a second that may be granted at an endpoint."""
        return self.limit_share * self._limits.rate(state.endpoint, now)

    def tokens(self, state: endpoint_states.EndpointState, now: float) -> float:
        """Returns how many requests an endpoint's limit admits now."""
        if self.unlimited:
            return math.inf
        rate = self.limit(state, now)
        if math.isinf(rate):
            state.bucket = None
            return math.inf
        if state.bucket is None:
            state.bucket = self._new_bucket(state, now)
        return state.bucket.refill(rate, now)

    def _new_bucket(
        self, state: endpoint_states.EndpointState, now: float
    ) -> endpoint_limits.TokenBucket:
        # What another allocator granted since the limit was last observed is
        # still running: its answer would have been observed.
        observed_at = self._limits.observed_at(state.endpoint)
        if state.leases or observed_at is None:
            return endpoint_limits.TokenBucket(now)
        return endpoint_limits.TokenBucket(observed_at)


class MedianPace:
    """Median of the measured paces of the endpoints of one service."""

    __slots__ = ("_paces",)

    def __init__(self):
        self._paces: list[float] = []

    @property
    def value(self) -> float:
        """The median, in seconds for each unit of work."""
        if not self._paces:
            return DEFAULT_PACE
        return self._paces[len(self._paces) // 2]

    def add(self, state: endpoint_states.EndpointState) -> None:
        """Includes the pace of an endpoint, if it was measured."""
        if state.samples:
            bisect.insort(self._paces, state.seconds_per_work_unit)

    def remove(self, state: endpoint_states.EndpointState) -> None:
        """Leaves out an endpoint's pace; to be called before it changes."""
        if state.samples:
            pace = state.seconds_per_work_unit
            del self._paces[bisect.bisect_left(self._paces, pace)]


class CostOrder:
    """Free endpoints in the order of what they cost when they were put here.

    An entry is stale once the state of its endpoint has a newer revision.
    """

    __slots__ = ("_candidates", "_states")

    def __init__(self, states: dict[str, endpoint_states.EndpointState]):
        """Creates an empty order.

        Args:
            states: the endpoints that are in use, by id, now and later.
        """
        self._states = states
        self._candidates: list[Candidate] = []

    def put(self, candidate: Candidate) -> None:
        """Puts an endpoint back that was taken out."""
        heapq.heappush(self._candidates, candidate)

    def add(self, candidate: Candidate) -> None:
        """Adds an endpoint whose state has changed."""
        heapq.heappush(self._candidates, candidate)
        if len(self._candidates) > MIN_COMPACTION + 2 * len(self._states):
            self._candidates = [e for e in self._candidates if self.holds(e)]
            heapq.heapify(self._candidates)

    def take_first(self) -> None:
        """Takes the endpoint that `first` returned out of the order."""
        heapq.heappop(self._candidates)

    def first(self) -> Candidate | None:
        """Returns the endpoint that had the least cost, if any is free."""
        while self._candidates and not self.holds(self._candidates[0]):
            heapq.heappop(self._candidates)
        return self._candidates[0] if self._candidates else None

    def holds(self, entry: tuple) -> bool:
        """Returns whether an entry is not stale."""
        _, id_, revision, state = entry
        return revision == state.revision and self._states.get(id_) is state


class VersionPool:
    """The endpoints of one service and software version.

    Each is in one of three places: in the orders of costs, at rest until a
    time, or, while it is full, in neither.

    Attributes:
        load: slots of all of them, and the work in progress there.
        states: the endpoints by id.
        order: all of them in the order of costs.
    """

    __slots__ = (
        "_by_domain",
        "_orders_domains",
        "_resting",
        "_revisions",
        "load",
        "order",
        "states",
    )

    def __init__(self, orders_domains: bool):
        """Creates an empty pool.

        Args:
            orders_domains: whether the endpoints of each failure domain are
                kept in an order of their own, too.
        """
        self.load = endpoint_states.NO_LOAD
        self.states: dict[str, endpoint_states.EndpointState] = {}
        self.order = CostOrder(self.states)
        self._by_domain: dict[str, CostOrder] = {}
        self._orders_domains = orders_domains
        self._revisions = itertools.count(1)
        self._resting: list[
            tuple[float, str, int, endpoint_states.EndpointState]
        ] = []

    @property
    def has_resting(self) -> bool:
        """Whether endpoints may be at rest."""
        return bool(self._resting)

    def renew(
        self,
        state: endpoint_states.EndpointState,
        default_pace: float,
        now: float,
    ) -> None:
        """Renews the place of an endpoint after its state has changed."""
        state.revision = next(self._revisions)
        load = state.load
        self.load += load - state.counted
        state.counted = load
        if state.free_slots <= 0:
            return
        cost = state.cost(default_pace, now)
        candidate = (cost, state.endpoint.id, state.revision, state)
        self.order.add(candidate)
        if self._orders_domains:
            self._order_of_domain(state.domain).add(candidate)

    def remove(self, state: endpoint_states.EndpointState) -> None:
        """Removes an endpoint."""
        del self.states[state.endpoint.id]
        self.load -= state.counted
        state.counted = endpoint_states.NO_LOAD

    def order_of(self, domain: str) -> CostOrder | None:
        """Returns the endpoints of a failure domain in the order of costs.

        An instance's own domain and the order of all are searched: two orders,
        however many domains there are.
        """
        return self._by_domain.get(domain)

    def rest(self, state: endpoint_states.EndpointState, until: float) -> None:
        """Takes an endpoint out of the orders of costs until a time."""
        state.revision = next(self._revisions)
        id_ = state.endpoint.id
        heapq.heappush(self._resting, (until, id_, state.revision, state))

    def wake(self, default_pace: float, now: float) -> None:
        """Puts endpoints back whose rest is over."""
        while self._resting and self._resting[0][0] <= now:
            entry = heapq.heappop(self._resting)
            if self.order.holds(entry):
                self.renew(entry[-1], default_pace, now)

    def _order_of_domain(self, domain: str) -> CostOrder:
        order = self._by_domain.get(domain)
        if order is None:
            order = self._by_domain[domain] = CostOrder(self.states)
        return order


class EndpointGroup:
    """The endpoints of one service that accept requests; performs no I/O.

    Times are seconds of the loop's clock.

    Attributes:
        barred: software versions that are left out.
    """

    __slots__ = (
        "_keyed_median",
        "_median",
        "_orders_domains",
        "_pools",
        "_rates",
        "_unmeasured",
        "barred",
    )

    def __init__(self, rates: EndpointRates, orders_domains: bool = False):
        """Creates a group without endpoints.

        Args:
            rates: the requests a second that endpoints take.
            orders_domains: whether the endpoints of each failure domain are
                kept in an order of their own, too.
        """
        self._rates = rates
        self._orders_domains = orders_domains
        self.barred = bars.NO_BARS
        self._median = MedianPace()
        self._keyed_median = DEFAULT_PACE
        self._pools: dict[str, VersionPool] = {}
        self._unmeasured: dict[str, endpoint_states.EndpointState] = {}

    @property
    def median_pace(self) -> float:
        """Median seconds for each unit of work."""
        return self._median.value

    @property
    def load(self) -> endpoint_states.Load:
        """All slots, free or not, and the work in progress there."""
        return sum(
            (pool.load for pool in self._pools.values()),
            start=endpoint_states.NO_LOAD,
        )

    def add(self, state: endpoint_states.EndpointState, now: float) -> None:
        """Adds an endpoint."""
        version = state.endpoint.software_version
        pool = self._pools.get(version)
        if pool is None:
            pool = self._pools[version] = VersionPool(self._orders_domains)
        pool.states[state.endpoint.id] = state
        self._median.add(state)
        if not state.samples:
            self._unmeasured[state.endpoint.id] = state
        pool.renew(state, self.median_pace, now)

    def remove(self, state: endpoint_states.EndpointState) -> None:
        """Removes an endpoint."""
        version = state.endpoint.software_version
        pool = self._pools[version]
        pool.remove(state)
        if not pool.states:
            del self._pools[version]
        self._median.remove(state)
        self._unmeasured.pop(state.endpoint.id, None)

    def renew(self, state: endpoint_states.EndpointState, now: float) -> None:
        """Renews the place of an endpoint after its state has changed."""
        pool = self._pools[state.endpoint.software_version]
        pool.renew(state, self.median_pace, now)

    def record_pace(
        self, state: endpoint_states.EndpointState, pace: float, now: float
    ) -> None:
        """Includes a measured pace of an endpoint."""
        self._median.remove(state)
        state.record_pace(pace)
        self._median.add(state)
        self._unmeasured.pop(state.endpoint.id, None)
        change = abs(self.median_pace - self._keyed_median)
        if change > MEDIAN_TOLERANCE * self._keyed_median:
            self._keyed_median = self.median_pace
            for each in self._unmeasured.values():
                self.renew(each, now)

    def usable(
        self, request: messages.SlotRequest
    ) -> Iterator[endpoint_states.EndpointState]:
        """Returns the endpoints that may run a request, free or not."""
        return (
            state
            for pool in self._pools_for(request)
            for state in pool.states.values()
            if request.may_run_at(state.endpoint)
        )

    def load_for(self, request: messages.SlotRequest) -> endpoint_states.Load:
        """Returns the slots that may run a request, free or not."""
        total = endpoint_states.NO_LOAD
        for pool in self._pools_for(request):
            total += pool.load
            for id_ in request.excluded_endpoints:
                if id_ in pool.states:
                    total -= pool.states[id_].counted
        return total

    def has_free(self, now: float) -> bool:
        """Returns whether some request could get a slot now."""
        return any(
            self._first_available(pool, pool.order, now) is not None
            for version, pool in self._pools.items()
            if version not in self.barred.any_version
        )

    def choose(
        self,
        request: messages.SlotRequest,
        accepts: Accepts,
        now: float,
        preference: preferences.Preference | None = None,
    ) -> endpoint_states.EndpointState | None:
        """Returns the endpoint with a free slot where a request costs least.

        Args:
            request: the request.
            accepts: says so of each endpoint that is considered.
            now: the present time.
            preference: factors on the costs; None for none.
        """
        best = [
            candidate
            for pool in self._pools_for(request)
            if (candidate := self._best_in(pool, accepts, preference, now))
            is not None
        ]
        return min(best)[-1] if best else None

    def _pools_for(
        self, request: messages.SlotRequest
    ) -> Iterable[VersionPool]:
        version = request.software_version
        if version is None and self.barred.is_empty:
            return self._pools.values()
        if version is None:
            return self._unbarred()
        barred = version in self.barred.all_requests
        known = version in self._pools and not barred
        return [self._pools[version]] if known else []

    def _unbarred(self) -> list[VersionPool]:
        return [
            pool
            for version, pool in self._pools.items()
            if version not in self.barred.any_version
        ]

    def _best_in(
        self,
        pool: VersionPool,
        accepts: Accepts,
        preference: preferences.Preference | None,
        now: float,
    ) -> Candidate | None:
        if preference is None:
            return self._best_of(
                pool, pool.order, accepts, None, 1.0, None, now
            )
        own = pool.order_of(preference.domain)
        best = self._best_favoured(pool, accepts, preference, now)
        if own is not None:
            least = preference.usual_weight
            best = self._best_of(
                pool, own, accepts, preference, least, best, now
            )
        # Those of the own domain were compared just before.
        least = preference.remote_weight
        return self._best_of(
            pool, pool.order, accepts, preference, least, best, now
        )

    def _best_favoured(
        self,
        pool: VersionPool,
        accepts: Accepts,
        preference: preferences.Preference,
        now: float,
    ) -> Candidate | None:
        best: Candidate | None = None
        median_pace = self.median_pace
        for id_ in preference.favoured:
            state = pool.states.get(id_)
            if state is None or state.free_slots <= 0:
                continue
            if self._available_at(state, now) > now or not accepts(state):
                continue
            cost = state.cost(median_pace, now)
            weight = preference.weigh(state, cost, median_pace)
            if math.isinf(weight):
                continue
            candidate = (cost.weighted(weight), id_, state.revision, state)
            best = candidate if best is None else min(best, candidate)
        return best

    def _available_at(
        self, state: endpoint_states.EndpointState, now: float
    ) -> float:
        """Returns when an endpoint may get a request, `now` if it may now."""
        if state.is_unrestricted(now) and self._rates.unlimited:
            return now
        until = max(
            now, state.paused_until, state.down_until, state.room_at(now)
        )
        if until <= now and self._rates.tokens(state, now) < 1.0:
            return now + MAX_REST_SECONDS
        return until

    def _best_of(
        self,
        pool: VersionPool,
        order: CostOrder,
        accepts: Accepts,
        preference: preferences.Preference | None,
        least_weight: float,
        best: Candidate | None,
        now: float,
    ) -> Candidate | None:
        """Returns the best endpoint of an order, or `best` if it costs less.

        Args:
            pool: the endpoints.
            order: those that are compared, in the order of earlier costs.
            accepts: says of each whether it may get the request.
            preference: factors on the costs; None for none.
            least_weight: the least factor.
            best: the best one so far, if any.
            now: the present time.
        """
        taken: list[Candidate] = []
        compared = 0
        median_pace = self.median_pace
        most = MAX_COMPARED if preference is None else MAX_FURTHER_COMPARED
        spared = 0
        while compared < most and spared < MAX_COMPARED:
            first = self._first_available(pool, order, now)
            if first is None:
                break
            if best is not None and _costs_less(
                best[0], first[0], least_weight
            ):
                break
            order.take_first()
            _, id_, revision, state = first
            cost = state.cost(median_pace, now)
            taken.append((cost, id_, revision, state))
            if not accepts(state):
                continue
            weight = 1.0
            if preference is not None:
                weight = preference.weigh(state, cost, median_pace)
                cost = cost.weighted(weight)
            if weight < preferences.SPARED_WEIGHT:
                compared += 1
            else:
                spared += 1
            if math.isinf(weight):
                continue
            candidate = (cost, id_, revision, state)
            best = candidate if best is None else min(best, candidate)
        for candidate in taken:
            order.put(candidate)
        return best

    def _first_available(
        self, pool: VersionPool, order: CostOrder, now: float
    ) -> Candidate | None:
        if pool.has_resting:
            pool.wake(self.median_pace, now)
        while (first := order.first()) is not None:
            state = first[-1]
            until = self._available_at(state, now)
            if until <= now:
                return first
            pool.rest(state, until)
        return None


def _costs_less(
    best: endpoint_states.Cost, other: endpoint_states.Cost, weight: float
) -> bool:
    """Returns whether a cost is not above another one times a factor."""
    if weight == 1.0:
        return best <= other
    return best.seconds <= weight * other.seconds
