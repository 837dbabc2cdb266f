"""The first version of the default policy, kept as a baseline.

It admits requests by average speeds, queues them by tier and arrival, and
dispatches to the endpoint with the most free slots. It delegates only where
this instance has no endpoint of its own for the target.
"""

from cranberryglade import verdicts
from cranberryglade.scheduling import action_collector
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import request_records
from cranberryglade.scheduling import request_table
from cranberryglade.scheduling import routing
from cranberryglade.scheduling.baselines import base

NO_ENDPOINT_RETRY_SECONDS = 1.0
SHED_RETRY_SECONDS = 1.0
PREFILL_SECONDS_PER_TOKEN = 0.00005
DECODE_SECONDS_PER_TOKEN = 0.02
SERVICE_SECONDS = 0.02
SMOOTHING_FACTOR = 0.1


class ThinPlacement(base.BaselinePlacement):
    """Decides whether, where and when each request runs.

    Dispatches to the endpoint with the most free slots.
    """

    __slots__ = ("_estimates",)

    def __init__(
        self,
        collector: action_collector.ActionCollector,
        domain_fleet: fleet.Fleet,
        table: request_table.RequestTable,
    ):
        super().__init__(collector, domain_fleet, table)
        self._estimates = Averages()

    def digests(self) -> tuple[messages.TargetDigest, ...]:
        """Returns the load of each pool, to be sent to peers."""
        return tuple(_digest(pool) for pool in self._fleet.all_pools())

    def next_wake(self) -> float | None:
        """Returns when `process_queues` is due next, in seconds, or None."""
        expiries = [p.queue.next_expiry() for p in self._fleet.all_pools()]
        return min((e for e in expiries if e is not None), default=None)

    def admit(self, record: request_records.RequestRecord) -> None:
        """Queues, delegates or refuses a new request."""
        request = record.request
        pool = self._fleet.pool(request.target)
        if not pool.serving:
            self._delegate_or_refuse(record)
            return
        late_seconds = self._late_seconds(pool, request)
        if late_seconds > 0:
            self._request_table.refuse(
                record, verdicts.Reason.DEADLINE_CANNOT_BE_MET, late_seconds
            )
            return
        self._collector.add_fact(request.request_id, "queued", "admitted")
        self.enqueue(record)

    def enqueue(self, record: request_records.RequestRecord) -> None:
        """Adds a request to the queue of its target."""
        request = record.request
        latest_start = request.deadline - self._estimates.seconds(request)
        queue = self._fleet.pool(request.target).queue
        queue.push(request, self._collector.now, latest_start)

    def withdraw(self, request: messages.Request) -> bool:
        """Removes a request from its queue; returns False if not queued."""
        queue = self._fleet.pool(request.target).queue
        return queue.remove(request.request_id) is not None

    def attempt_ended(
        self, record: request_records.RequestRecord, output_tokens: int | None
    ) -> None:
        """Releases the slot of an attempt that ended; updates the averages."""
        super().attempt_ended(record, output_tokens)
        if record.endpoint is not None and output_tokens is not None:
            seconds = self._collector.now - record.dispatched_at
            self._estimates.record(record.request, seconds, output_tokens)

    def readmit(self, record: request_records.RequestRecord) -> None:
        """Queues a request that is to be retried."""
        self.enqueue(record)

    def process_queues(self) -> None:
        """Refuses expired requests, then dispatches what can start."""
        for pool in self._fleet.all_pools():
            self._expire(pool)
            while self._dispatch_one(pool):
                pass

    def _late_seconds(
        self, pool: pools.Pool, request: messages.Request
    ) -> float:
        run = self._estimates.seconds(request)
        slots = sum(member.endpoint.slots for member in pool.serving)
        ahead = pool.queue.count_up_to(request.rank)
        wait = 0.0
        if pool.free_slots <= ahead:
            wait = (ahead + 1) * run / max(1, slots)
        return max(0.0, self._collector.now + wait + run - request.deadline)

    def _delegate_or_refuse(
        self, record: request_records.RequestRecord
    ) -> None:
        request = record.request
        peer = None
        if not request.delegated:
            peer = routing.choose_peer(self._fleet.peer_digests(request.target))
        if peer is None:
            self._request_table.refuse(
                record,
                verdicts.Reason.NO_ENDPOINT,
                NO_ENDPOINT_RETRY_SECONDS,
            )
            return
        self._collector.add_fact(
            request.request_id, "delegated", "no own endpoint", peer.name
        )
        self._request_table.delegate(record, peer)

    def _expire(self, pool: pools.Pool) -> None:
        while entry := pool.queue.pop_expired(self._collector.now):
            record = self._request_table.get(entry.request.request_id)
            self._request_table.refuse(
                record, verdicts.Reason.SHED, SHED_RETRY_SECONDS
            )

    def _dispatch_one(self, pool: pools.Pool) -> bool:
        request = pool.queue.peek()
        if request is None:
            return False
        member = _choose_member(pool)
        if member is None:
            return False
        pool.queue.remove(request.request_id)
        self._collector.add_fact(
            request.request_id,
            "dispatched",
            "most free slots",
            member.endpoint.name,
            (messages.Measure("free_slots", member.free_slots),),
        )
        member.outstanding += 1
        record = self._request_table.get(request.request_id)
        self._request_table.dispatch(record, member.endpoint)
        return True


def _choose_member(pool: pools.Pool) -> pools.EndpointState | None:
    free = [m for m in pool.members.values() if m.free_slots > 0]
    return max(
        free, key=lambda m: (m.free_slots, m.endpoint.name), default=None
    )


def _digest(pool: pools.Pool) -> messages.TargetDigest:
    slots = sum(member.endpoint.slots for member in pool.serving)
    wait = len(pool.queue) * SERVICE_SECONDS / slots if slots else 0.0
    return messages.TargetDigest(
        pool.target,
        pool.free_slots,
        len(pool.queue),
        pool.queue.worst_rank,
        wait,
    )


class Averages:
    """Moving averages of speed by target and of answer length by kind."""

    __slots__ = ("_decode_seconds", "_lengths", "_service_seconds")

    def __init__(self):
        self._decode_seconds: dict[str, float] = {}
        self._service_seconds: dict[str, float] = {}
        self._lengths: dict[str, float] = {}

    def length(self, request: messages.Request) -> float:
        """Returns the expected length of the answer in tokens."""
        average = self._lengths.get(request.kind, request.output_tokens)
        return min(average, request.output_tokens)

    def seconds(self, request: messages.Request) -> float:
        """Returns the expected run time of a request in seconds."""
        if request.output_tokens == 0:
            return self._service_seconds.get(request.target, SERVICE_SECONDS)
        decode = self._decode_seconds.get(
            request.target, DECODE_SECONDS_PER_TOKEN
        )
        prefill = request.prompt_tokens * PREFILL_SECONDS_PER_TOKEN
        return prefill + self.length(request) * decode

    def record(
        self, request: messages.Request, seconds: float, output_tokens: int
    ) -> None:
        """Updates the averages with a complete answer.

        Args:
            request: the request that was answered.
            seconds: time from the dispatch to the complete answer.
            output_tokens: length of the answer.
        """
        if request.output_tokens == 0:
            _average(self._service_seconds, request.target, seconds)
            return
        _average(self._lengths, request.kind, output_tokens)
        prefill = request.prompt_tokens * PREFILL_SECONDS_PER_TOKEN
        decode = max(0.0, seconds - prefill) / max(1, output_tokens)
        _average(self._decode_seconds, request.target, decode)


def _average(averages: dict[str, float], name: str, value: float) -> None:
    average = averages.get(name, value)
    averages[name] = average + SMOOTHING_FACTOR * (value - average)
