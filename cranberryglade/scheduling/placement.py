"""Where and when requests run: admission, order, dispatch, hand-off."""

from cranberryglade import verdicts
from cranberryglade.scheduling import admission
from cranberryglade.scheduling import claims
from cranberryglade.scheduling import decisions
from cranberryglade.scheduling import estimates
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import lives
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import routing

NO_ENDPOINT_RETRY_SECONDS = 1.0
SHED_RETRY_SECONDS = 1.0


class Placement:
    """Decides for each waiting request whether, where and when it runs."""

    __slots__ = ("_decisions", "_estimates", "_fleet", "_lives")

    def __init__(
        self,
        collected: decisions.Decisions,
        known: fleet.Fleet,
        living: lives.Lives,
    ):
        self._decisions = collected
        self._fleet = known
        self._lives = living
        self._estimates = estimates.Estimates()

    def digests(self) -> tuple[messages.TargetDigest, ...]:
        """What peers are told about the load of this instance."""
        return tuple(
            pool.digest(estimates.SERVICE_SECONDS)
            for pool in self._fleet.all_pools()
        )

    def next_wake(self) -> float | None:
        """When something is due without an event, in seconds."""
        expiries = [p.queue.next_expiry() for p in self._fleet.all_pools()]
        return min((e for e in expiries if e is not None), default=None)

    def admit(self, record: claims.Record) -> None:
        """Queues, hands over or refuses a request that is new here."""
        request = record.request
        pool = self._fleet.pool(request.target)
        if not pool.serving:
            self._delegate_or_refuse(record)
            return
        expected = admission.forecast(
            pool, request, self._estimates, self._decisions.now
        )
        measures = (
            messages.Measure("wait_seconds", expected.wait_seconds),
            messages.Measure("run_seconds", expected.run_seconds),
        )
        if expected.late_seconds > 0:
            self._lives.refuse(
                record,
                verdicts.Reason.DEADLINE,
                expected.late_seconds,
                measures,
            )
            return
        self._decisions.note(
            request.request_id, "queued", "admitted", measures=measures
        )
        self.wait(record)

    def wait(self, record: claims.Record) -> None:
        """Puts a request into its queue."""
        request = record.request
        latest = request.deadline - self._estimates.seconds(request)
        queue = self._fleet.pool(request.target).queue
        queue.push(request, self._decisions.now, latest)

    def withdraw(self, request: messages.Request) -> bool:
        """Takes a request out of its queue; False if it is not there."""
        queue = self._fleet.pool(request.target).queue
        return queue.remove(request.request_id) is not None

    def ended(self, record: claims.Record, output_tokens: int | None) -> None:
        """Gives back the slot of an attempt.

        Args:
            record: the request, before its state changes.
            output_tokens: length of a whole answer; None if it failed.
        """
        if record.endpoint is None:
            return
        member = self._fleet.member(record.endpoint.name)
        if member and member.endpoint == record.endpoint:
            member.outstanding -= 1
        if output_tokens is not None:
            seconds = self._decisions.now - record.dispatched_at
            self._estimates.learn(record.request, seconds, output_tokens)

    def readmit(self, record: claims.Record) -> None:
        """Queues a request whose attempt did not run or may be repeated."""
        self.wait(record)

    def first_token(self, record: claims.Record) -> None:
        """Does nothing."""

    def load(self, event: messages.LoadReported) -> None:
        """Does nothing."""

    def cache(self, event: messages.CacheReported) -> None:
        """Does nothing."""

    def run(self) -> None:
        """Refuses what is hopeless, then dispatches what can start."""
        for pool in self._fleet.all_pools():
            self._expire(pool)
            while self._dispatch_one(pool):
                pass

    def _delegate_or_refuse(self, record: claims.Record) -> None:
        request = record.request
        peer = None
        if not request.delegated:
            peer = routing.choose_peer(self._fleet.offers(request.target))
        if peer is None:
            self._lives.refuse(
                record,
                verdicts.Reason.NO_ENDPOINT,
                NO_ENDPOINT_RETRY_SECONDS,
            )
            return
        self._decisions.note(
            request.request_id, "delegated", "no own endpoint", peer.name
        )
        self._lives.delegate(record, peer)

    def _expire(self, pool: pools.Pool) -> None:
        while entry := pool.queue.pop_expired(self._decisions.now):
            record = self._lives.get(entry.request.request_id)
            self._lives.refuse(record, verdicts.Reason.SHED, SHED_RETRY_SECONDS)

    def _dispatch_one(self, pool: pools.Pool) -> bool:
        request = pool.queue.peek()
        if request is None:
            return False
        member = routing.choose_member(pool, request)
        if member is None:
            return False
        pool.queue.remove(request.request_id)
        self._decisions.note(
            request.request_id,
            "dispatched",
            "most free slots",
            member.endpoint.name,
            (messages.Measure("free_slots", member.free_slots),),
        )
        member.outstanding += 1
        record = self._lives.get(request.request_id)
        self._lives.dispatch(record, member.endpoint)
        return True
