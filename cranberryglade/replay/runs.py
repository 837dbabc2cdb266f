"""Runs one trace under one policy."""

from collections.abc import Callable
import dataclasses
import random

from cranberryglade import verdicts
from cranberryglade.replay import calls
from cranberryglade.replay import clock
from cranberryglade.replay import engines
from cranberryglade.replay import fairness
from cranberryglade.replay import instances
from cranberryglade.replay import traces
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import policies
from cranberryglade.scheduling import scheduler

LOAD_POLL_SECONDS = 0.5
LOST_PEER_SECONDS = 1.0
RECONNECT_SECONDS = 0.2
LEAVING_SIGN_SECONDS = 0.5
LEAVING_GRACE_SECONDS = 10.0
SETTLING_SECONDS = 600.0
PROGRESS_SECONDS = 5.0
SHARE_SECONDS = 1.0
RETURNING_SHARE = 0.2
GAP_RESOLUTION_SECONDS = 0.001


@dataclasses.dataclass(slots=True)
class Result:
    """Everything that a replay has seen.

    Attributes:
        policy: name of the policy.
        trace: what was replayed.
        calls: what became of each call of the trace.
        returning: what became of calls that followed a retry time.
        gaps: time between two tokens in milliseconds, counted, by rank.
        shares: what each organisation got while it had work waiting.
        around: counters of engines and messages.
    """

    policy: str
    trace: traces.Trace
    calls: list[calls.Call]
    returning: list[calls.Call]
    gaps: dict[int, dict[int, int]]
    shares: fairness.Shares
    around: instances.Surroundings


class Run:
    """One trace under one policy; `run` gives the result."""

    def __init__(self, trace: traces.Trace, policy: str, seed: int = 1):
        header = trace.header
        self._trace = trace
        self._policy = policy
        self._random = random.Random(seed)
        self._clock = clock.Clock()
        self._around = instances.Surroundings(self._clock, header.hop_seconds)
        self._around.on_token = self._token
        self._order: list[instances.Instance] = []
        self._calls: list[calls.Call] = []
        self._returning: list[calls.Call] = []
        self._gaps: dict[int, dict[int, int]] = {}
        self._shares = fairness.Shares(_tokens_per_call(trace))
        self._open = 0
        self._by_target: dict[str, list[engines.Engine]] = {}
        self._next_instance = 0

    def run(self, progress: Callable[[float], None] = lambda _: None) -> Result:
        """Replays; `progress` is told the virtual seconds now and then."""
        self._start_instances()
        for line in self._trace.endpoints:
            self._clock.at(line.at, self._join, line)
        for fault in self._trace.faults:
            self._clock.at(fault.at, self._fail, fault)
        for request in self._trace.requests:
            self._clock.at(request.at, self._offer, request)
        now = 0.0
        end = self._trace.seconds
        while now <= end or (self._open and now < end + SETTLING_SECONDS):
            now += PROGRESS_SECONDS
            self._clock.run_until(now)
            progress(now)
        return Result(
            self._policy,
            self._trace,
            self._calls,
            self._returning,
            self._gaps,
            self._shares,
            self._around,
        )

    def _start_instances(self) -> None:
        domain = self._trace.header.failure_domain
        for number in range(self._trace.header.instances):
            name = f"entry-{number}"
            peer = messages.Peer(name, f"{name}-1", "127.0.0.1:1", domain)
            core = scheduler.Scheduler(peer, policies.named(self._policy))
            instance = instances.Instance(peer, core, self._around)
            self._order.append(instance)
            self._around.instances[name] = instance
        self._clock.at(0.0, self._digests)
        self._clock.at(0.0, self._loads)
        self._clock.at(SHARE_SECONDS, self._sample_shares)

    def _join(self, line: traces.Endpoint) -> None:
        peers = self._by_target.setdefault(line.target, [])
        engine = engines.Engine(line, self._clock, peers, self._around.prefill)
        peers.append(engine)
        self._around.engines[line.name] = engine
        domain = self._trace.header.failure_domain
        self._tell_all(
            messages.EndpointJoined(traces.core_endpoint(line, domain))
        )

    def _tell_all(self, event: messages.Event) -> None:
        for instance in self._order:
            instance.post(event)

    def _digests(self) -> None:
        hop = self._around.hop_seconds
        for instance in self._order:
            if not instance.alive or len(self._order) == 1:
                continue
            for other in self._order:
                if other is not instance and other.alive:
                    self._clock.after(hop, other.post, instance.digest())
        self._clock.after(self._trace.header.digest_seconds, self._digests)

    def _loads(self) -> None:
        lag = self._trace.header.report_lag_seconds
        for name, engine in self._around.engines.items():
            if not engine.alive:
                continue
            event = messages.LoadReported(
                name, engine.running, engine.waiting, lag
            )
            self._clock.after(lag, self._tell_all, event)
        self._clock.after(LOAD_POLL_SECONDS, self._loads)

    def _sample_shares(self) -> None:
        self._shares.sample(self._clock.now)
        self._clock.after(SHARE_SECONDS, self._sample_shares)

    def _offer(self, request: traces.Request) -> None:
        call = calls.Call(request, self._clock.now)
        self._calls.append(call)
        self._begin(call, request.request_id)

    def _begin(self, call: calls.Call, name: str) -> None:
        self._open += 1
        self._shares.offered(call)
        self._send(call, name)

    def _send(self, call: calls.Call, name: str) -> None:
        call.name = name
        instance = self._balance()
        instance.submit(
            instances.core_request(call),
            call,
            lambda verdict: self._finished(call, instance, verdict),
        )

    def _balance(self) -> instances.Instance:
        for _ in self._order:
            instance = self._order[self._next_instance % len(self._order)]
            self._next_instance += 1
            if instance.alive:
                return instance
        raise RuntimeError("no instance is left")

    def _finished(self, call, instance, verdict: verdicts.Verdict) -> None:
        if call.outcome is not calls.Outcome.OPEN:
            return
        if not instance.alive and call.request.idempotent:
            call.first_at = None
            name = f"{call.name}+"
            self._clock.after(RECONNECT_SECONDS, self._send, call, name)
            return
        call.finish(verdict, self._clock.now)
        self._open -= 1
        self._shares.ended(call)
        if call.retry_after is None or call.returning:
            return
        if self._random.random() < RETURNING_SHARE:
            self._clock.after(call.retry_after, self._return, call)

    def _return(self, refused: calls.Call) -> None:
        call = calls.Call(refused.request, self._clock.now, returning=True)
        self._returning.append(call)
        self._begin(call, f"{refused.name}~")

    def _token(self, call: calls.Call) -> None:
        self._shares.token(call)
        if call.first_at is None:
            return
        gap = (self._clock.now - call.last_at) / GAP_RESOLUTION_SECONDS
        counts = self._gaps.setdefault(call.request.rank, {})
        counts[round(gap)] = counts.get(round(gap), 0) + 1

    def _fail(self, fault: traces.Fault) -> None:
        lag = self._trace.header.list_lag_seconds
        name = fault.subject
        match fault.fault:
            case "slow":
                self._around.engines[name].slow(fault.factor)
            case "leaving":
                sign = messages.EndpointLeaving(name, "", "platform list")
                self._clock.after(LEAVING_SIGN_SECONDS, self._tell_all, sign)
                gone = messages.EndpointGone(name)
                self._clock.after(LEAVING_GRACE_SECONDS, self._tell_all, gone)
            case "died":
                self._around.engines[name].die()
                gone = messages.EndpointGone(name)
                self._clock.after(lag, self._tell_all, gone)
            case "instance_died":
                dead = self._around.instances[name]
                dead.die()
                gone = messages.PeerGone(name)
                self._clock.after(LOST_PEER_SECONDS, self._tell_all, gone)
            case "platform_down":
                self._around.platform_up = False
            case "platform_up":
                self._around.platform_up = True


def _tokens_per_call(trace: traces.Trace) -> float:
    speeds = [line.speed for line in trace.endpoints]
    seconds = max(
        speed.step_seconds + speed.batch * speed.sequence_seconds
        for speed in speeds
    )
    return SHARE_SECONDS / seconds
