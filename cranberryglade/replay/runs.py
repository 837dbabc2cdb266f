"""Replays one trace under one policy in virtual time."""

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
PEER_FAILURE_DETECTION_SECONDS = 1.0
RECONNECT_SECONDS = 0.2
LEAVING_NOTICE_SECONDS = 0.5
LEAVING_GRACE_SECONDS = 10.0
SETTLING_SECONDS = 600.0
PROGRESS_SECONDS = 5.0
SHARE_INTERVAL_SECONDS = 1.0
RETRY_PROBABILITY = 0.2
GAP_RESOLUTION_SECONDS = 0.001


@dataclasses.dataclass(slots=True)
class Result:
    """Calls and counters recorded during a replay.

    Attributes:
        policy: name of the policy.
        trace: the replayed trace.
        calls: the calls of the trace, with their outcomes.
        retries: calls that retried a refused call after its retry time, with
            their outcomes.
        token_gaps: histogram of the time between two tokens of a call, by rank;
            its keys are whole milliseconds.
        shares: tokens that each organisation received and its fair share, for
            the seconds in which it had requests waiting.
        simulation: state that the instances shared, with the counters of
            engines and of messages.
    """

    policy: str
    trace: traces.Trace
    calls: list[calls.Call]
    retries: list[calls.Call]
    token_gaps: dict[int, dict[int, int]]
    shares: fairness.Shares
    simulation: instances.Simulation


class Run:
    """Replay of one trace under one policy.

    Args:
        trace: the trace to replay.
        policy: name of the policy.
        seed: seed of the random choice of refused calls that are retried.
    """

    def __init__(self, trace: traces.Trace, policy: str, seed: int = 1):
        header = trace.header
        self._trace = trace
        self._policy = policy
        self._random = random.Random(seed)
        self._clock = clock.Clock()
        self._simulation = instances.Simulation(self._clock, header.hop_seconds)
        self._simulation.on_token = self._on_token
        self._instances: list[instances.Instance] = []
        self._calls: list[calls.Call] = []
        self._retries: list[calls.Call] = []
        self._token_gaps: dict[int, dict[int, int]] = {}
        self._shares = fairness.Shares(_tokens_per_call(trace))
        self._open_count = 0
        self._engines_by_target: dict[str, list[engines.Engine]] = {}
        self._next_instance = 0

    def run(self, progress: Callable[[float], None] = lambda _: None) -> Result:
        """Replays the trace to its end and returns what was recorded.

        Runs until the last request has arrived and all calls have an outcome,
        or SETTLING_SECONDS after the last arrival.

        Args:
            progress: called every PROGRESS_SECONDS of virtual time, with the
                virtual time in seconds.

        Raises:
            RuntimeError: a call is sent while no instance is alive.
        """
        self._start_instances()
        for line in self._trace.endpoints:
            self._clock.at(line.at, self._add_endpoint, line)
        for fault in self._trace.faults:
            self._clock.at(fault.at, self._inject_fault, fault)
        for request in self._trace.requests:
            self._clock.at(request.at, self._submit_request, request)
        now = 0.0
        end = self._trace.duration_seconds
        while now <= end or (self._open_count and now < end + SETTLING_SECONDS):
            now += PROGRESS_SECONDS
            self._clock.run_until(now)
            progress(now)
        return Result(
            self._policy,
            self._trace,
            self._calls,
            self._retries,
            self._token_gaps,
            self._shares,
            self._simulation,
        )

    def _start_instances(self) -> None:
        domain = self._trace.header.failure_domain
        for number in range(self._trace.header.instances):
            name = f"entry-{number}"
            peer = messages.Peer(name, f"{name}-1", "127.0.0.1:1", domain)
            core = scheduler.Scheduler(peer, policies.get_policy(self._policy))
            instance = instances.Instance(peer, core, self._simulation)
            self._instances.append(instance)
            self._simulation.instances[name] = instance
        self._clock.at(0.0, self._send_digests)
        self._clock.at(0.0, self._send_load_reports)
        self._clock.at(SHARE_INTERVAL_SECONDS, self._sample_shares)

    def _add_endpoint(self, line: traces.Endpoint) -> None:
        replicas = self._engines_by_target.setdefault(line.target, [])
        engine = engines.Engine(
            line, self._clock, replicas, self._simulation.prefill_count
        )
        replicas.append(engine)
        self._simulation.engines[line.name] = engine
        domain = self._trace.header.failure_domain
        self._broadcast(
            messages.EndpointJoined(traces.core_endpoint(line, domain))
        )

    def _broadcast(self, event: messages.Event) -> None:
        for instance in self._instances:
            instance.post(event)

    def _send_digests(self) -> None:
        hop = self._simulation.hop_seconds
        for instance in self._instances:
            if not instance.alive or len(self._instances) == 1:
                continue
            for other in self._instances:
                if other is not instance and other.alive:
                    self._clock.after(hop, other.post, instance.digest())
        self._clock.after(self._trace.header.digest_seconds, self._send_digests)

    def _send_load_reports(self) -> None:
        lag = self._trace.header.report_lag_seconds
        for name, engine in self._simulation.engines.items():
            if not engine.alive:
                continue
            event = messages.LoadReported(
                name, engine.running, engine.waiting, lag
            )
            self._clock.after(lag, self._broadcast, event)
        self._clock.after(LOAD_POLL_SECONDS, self._send_load_reports)

    def _sample_shares(self) -> None:
        self._shares.end_interval(self._clock.now)
        self._clock.after(SHARE_INTERVAL_SECONDS, self._sample_shares)

    def _submit_request(self, request: traces.Request) -> None:
        call = calls.Call(request, self._clock.now)
        self._calls.append(call)
        self._start_call(call, request.request_id)

    def _start_call(self, call: calls.Call, request_id: str) -> None:
        self._open_count += 1
        self._shares.call_started(call)
        self._send(call, request_id)

    def _send(self, call: calls.Call, request_id: str) -> None:
        call.request_id = request_id
        instance = self._next_live_instance()
        instance.submit(
            instances.core_request(call),
            call,
            lambda verdict: self._on_verdict(call, instance, verdict),
        )

    def _next_live_instance(self) -> instances.Instance:
        for _ in self._instances:
            instance = self._instances[
                self._next_instance % len(self._instances)
            ]
            self._next_instance += 1
            if instance.alive:
                return instance
        raise RuntimeError("no instance is alive")

    def _on_verdict(self, call, instance, verdict: verdicts.Verdict) -> None:
        if call.outcome is not calls.Outcome.OPEN:
            return
        if not instance.alive and call.request.idempotent:
            # The instance died: the caller sends its idempotent request again,
            # with a "+" for each time appended to the request id.
            call.first_token_at = None
            request_id = f"{call.request_id}+"
            self._clock.after(RECONNECT_SECONDS, self._send, call, request_id)
            return
        call.finish(verdict, self._clock.now)
        self._open_count -= 1
        self._shares.call_ended(call)
        if call.retry_after_seconds is None or call.is_retry:
            return
        if self._random.random() < RETRY_PROBABILITY:
            self._clock.after(
                call.retry_after_seconds, self._retry_refused, call
            )

    def _retry_refused(self, refused: calls.Call) -> None:
        call = calls.Call(refused.request, self._clock.now, is_retry=True)
        self._retries.append(call)
        # A "~" in the request id marks the retry of a refused call.
        self._start_call(call, f"{refused.request_id}~")

    def _on_token(self, call: calls.Call) -> None:
        self._shares.count_token(call)
        if call.first_token_at is None:
            return
        gap = (self._clock.now - call.last_token_at) / GAP_RESOLUTION_SECONDS
        counts = self._token_gaps.setdefault(call.request.rank, {})
        counts[round(gap)] = counts.get(round(gap), 0) + 1

    def _inject_fault(self, fault: traces.Fault) -> None:
        lag = self._trace.header.list_lag_seconds
        name = fault.subject
        match fault.fault:
            case "slow":
                self._simulation.engines[name].set_slowdown(fault.factor)
            case "leaving":
                leaving = messages.EndpointLeaving(name, "", "platform list")
                self._clock.after(
                    LEAVING_NOTICE_SECONDS, self._broadcast, leaving
                )
                gone = messages.EndpointGone(name)
                self._clock.after(LEAVING_GRACE_SECONDS, self._broadcast, gone)
            case "died":
                self._simulation.engines[name].die()
                gone = messages.EndpointGone(name)
                self._clock.after(lag, self._broadcast, gone)
            case "instance_died":
                dead = self._simulation.instances[name]
                dead.die()
                gone = messages.PeerGone(name)
                self._clock.after(
                    PEER_FAILURE_DETECTION_SECONDS, self._broadcast, gone
                )
            case "platform_down":
                self._simulation.platform_up = False
            case "platform_up":
                self._simulation.platform_up = True


def _tokens_per_call(trace: traces.Trace) -> float:
    """Returns tokens per call and interval at the slowest full batch.

    An interval is SHARE_INTERVAL_SECONDS long.
    """
    speeds = [line.speed for line in trace.endpoints]
    seconds = max(
        speed.step_seconds + speed.batch * speed.sequence_seconds
        for speed in speeds
    )
    return SHARE_INTERVAL_SECONDS / seconds
