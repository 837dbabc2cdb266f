"""What an all-knowing single queue could answer: a bound, not a scheduler.

All engines of a target are one machine that may split and interrupt work as it
likes, knows every true length and has each prefix cached after its first use.
It serves by earliest deadline; when the work cannot all be done in time it
gives up the largest work of the lowest tier.
"""

import bisect
import collections
import dataclasses

from cranberryglade.replay import traces


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    request: traces.Request
    deadline: float
    work: float


class _Capacity:
    """Engine seconds that a target has had since the start."""

    def __init__(self, trace: traces.Trace, target: str):
        self._times = [0.0]
        self._totals = [0.0]
        self._rates = [0.0]
        speeds: dict[str, float] = {}
        base = {e.name: e for e in trace.endpoints if e.target == target}
        changes = [*base.values(), *trace.faults]
        for change in sorted(changes, key=lambda line: line.at):
            match change:
                case traces.Endpoint(name=name, factor=factor):
                    speeds[name] = 1 / factor
                case traces.Fault(fault="slow", subject=name, factor=factor):
                    if name in speeds:
                        speeds[name] = 1 / base[name].factor / factor
                case traces.Fault(fault="leaving" | "died", subject=name):
                    speeds.pop(name, None)
            self._change(change.at, sum(speeds.values()))

    def at(self, time: float) -> float:
        """Engine seconds from the start to that time."""
        index = bisect.bisect_right(self._times, time) - 1
        return self._totals[index] + self._rates[index] * (
            time - self._times[index]
        )

    def _change(self, time: float, rate: float) -> None:
        self._totals.append(self.at(time))
        self._times.append(time)
        self._rates.append(rate)


def answered(trace: traces.Trace) -> collections.Counter[int]:
    """Requests to engines that could be answered in time, by rank."""
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
        total += _of_target(requests, capacity, speed)
    return total


def _of_target(requests, capacity: _Capacity, speed):
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
        _give_up(queue, now)
    _serve(queue, float("inf"), done)
    return done


def _serve(queue: list[_Job], seconds: float, done) -> None:
    while queue and queue[0].work <= seconds:
        job = queue.pop(0)
        seconds -= job.work
        done[job.request.rank] += 1
    if queue:
        queue[0].work -= seconds


def _give_up(queue: list[_Job], now: float) -> None:
    index = 0
    finish = now
    while index < len(queue):
        finish += queue[index].work
        if finish <= queue[index].deadline:
            index += 1
            continue
        worst = max(
            range(index + 1),
            key=lambda i: (queue[i].request.rank, queue[i].work),
        )
        finish -= queue.pop(worst).work
