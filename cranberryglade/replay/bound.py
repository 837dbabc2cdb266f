"""Requests that a single queue with full knowledge could answer in time.

The result is a bound to compare policies with; no scheduler could work this
way. It treats all engines of a target as one machine that may split and preempt
work without cost, knows the true length of every answer, and has each prefix
cached after its first use. It serves by earliest deadline; when not all queued
work can be done in time, it drops the largest work of the lowest tier.
"""

import bisect
import collections
import dataclasses

from cranberryglade.replay import traces


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    """A queued request.

    Attributes:
        request: the trace line of the request.
        deadline: its deadline as engine seconds since the start, on the scale
            of `_Capacity.at`.
        work: engine seconds that remain to be done.
    """

    request: traces.Request
    deadline: float
    work: float


class _Capacity:
    """Engine seconds that a target's engines provide over time.

    One engine of factor 1 provides one engine second per second.
    """

    def __init__(self, trace: traces.Trace, target: str):
        self._times = [0.0]
        self._totals = [0.0]
        self._rates = [0.0]
        speeds: dict[str, float] = {}
        endpoints = {e.name: e for e in trace.endpoints if e.target == target}
        changes = [*endpoints.values(), *trace.faults]
        for change in sorted(changes, key=lambda line: line.at):
            match change:
                case traces.Endpoint(name=name, factor=factor):
                    speeds[name] = 1 / factor
                case traces.Fault(fault="slow", subject=name, factor=factor):
                    if name in speeds:
                        speeds[name] = 1 / endpoints[name].factor / factor
                case traces.Fault(fault="leaving" | "died", subject=name):
                    speeds.pop(name, None)
            self._set_rate(change.at, sum(speeds.values()))

    def at(self, time: float) -> float:
        """Returns the engine seconds from the start to `time` in seconds."""
        index = bisect.bisect_right(self._times, time) - 1
        return self._totals[index] + self._rates[index] * (
            time - self._times[index]
        )

    def _set_rate(self, time: float, rate: float) -> None:
        self._totals.append(self.at(time))
        self._times.append(time)
        self._rates.append(rate)


def max_answered_by_rank(trace: traces.Trace) -> collections.Counter[int]:
    """Returns how many requests to engines could be answered in time, by rank.

    Requests to plain services are not counted.
    """
    models = {
        request.target for request in trace.requests if request.max_tokens
    }
    speeds = {
        line.target: line.speed
        for line in trace.endpoints
        if line.target in models
    }
    total: collections.Counter[int] = collections.Counter()
    for target, speed in speeds.items():
        capacity = _Capacity(trace, target)
        requests = [r for r in trace.requests if r.target == target]
        total += _answered_by_target(requests, capacity, speed)
    return total


def _answered_by_target(requests, capacity: _Capacity, speed):
    done: collections.Counter[int] = collections.Counter()
    queue: list[_Job] = []
    cached: set[str] = set()
    last = 0.0
    for request in requests:
        now = capacity.at(request.at)
        _serve(queue, now - last, done)
        last = now
        hit = request.prefix in cached
        cached.add(request.prefix)
        prompt = request.prompt_tokens - (request.prefix_tokens if hit else 0)
        job = _Job(
            request,
            capacity.at(request.at + request.deadline_seconds),
            speed.engine_seconds(max(1, prompt), max(1, request.output_tokens)),
        )
        bisect.insort(queue, job, key=lambda j: j.deadline)
        _drop_infeasible(queue, now)
    _serve(queue, float("inf"), done)
    return done


def _serve(queue: list[_Job], seconds: float, done) -> None:
    while queue and queue[0].work <= seconds:
        job = queue.pop(0)
        seconds -= job.work
        done[job.request.rank] += 1
    if queue:
        queue[0].work -= seconds


def _drop_infeasible(queue: list[_Job], now: float) -> None:
    index = 0
    finish = now
    while index < len(queue):
        finish += queue[index].work
        if finish <= queue[index].deadline:
            index += 1
            continue
        dropped = max(
            range(index + 1),
            key=lambda i: (queue[i].request.rank, queue[i].work),
        )
        finish -= queue.pop(dropped).work
