"""One run of the soak: load with faults, recovery, and the checks."""

import asyncio
import dataclasses
import pathlib
import signal

from cranberryglade.soak import crowds
from cranberryglade.soak import deployment
from cranberryglade.soak import faults
from cranberryglade.soak import guarantees
from cranberryglade.soak import links
from cranberryglade.soak import load
from cranberryglade.soak import observations
from cranberryglade.soak import rollout_driver

CALLERS_PER_GATEWAY = 4
RESTART_SECONDS = 0.3
RECOVERY_SECONDS = 5.0
CHECK_SECONDS = 2.0
SETTLE_SECONDS = 3.0
"""A gateway counts as disturbed until this long after its own fault."""

DELAY_SECONDS = 0.15
WATCH_SECONDS = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """The result of a run.

    Attributes:
        seed: seed of its fault schedule.
        submissions: number of requests that callers sent.
        served: number of requests with a complete response of status 200.
        faults: number of faults.
        violations: the broken guarantees.
    """

    seed: int
    submissions: int
    served: int
    faults: int
    violations: list[guarantees.Violation]


class Soak:
    """Runs gateways under load and under the faults drawn from one seed.

    Args:
        folder: directory for the settings and logs of the gateways.
        seed: seed of the faults, of the load and of the endpoints.
        seconds: time during which faults begin.
        gateways: number of gateway processes.
        endpoints: number of endpoint stand-ins.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        seconds: float,
        gateways: int,
        endpoints: int,
    ):
        self._seed = seed
        self._deployment = deployment.Deployment(
            folder, gateways, endpoints, seed
        )
        self._schedule = faults.schedule(seed, seconds, gateways, endpoints)
        self._clock = load.LagMonitor()
        self._faulted: set[int] = set()
        self._revocations = 0
        self._drains = [0] * endpoints

    async def run(self) -> Outcome:
        """Runs load and faults, then checks the guarantees."""
        environment = self._deployment
        try:
            await environment.start()
            await self._run_phases()
        finally:
            await environment.stop()
        return self._outcome()

    async def _run_phases(self) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        clock = self._clock
        callers = load.LoadGenerator(
            self._deployment.machines,
            self._deployment.history,
            self._seed,
            clock,
            self._deployment.crashing_parts,
        )
        count = CALLERS_PER_GATEWAY * len(self._deployment.machines)
        load_tasks = [asyncio.create_task(callers.run()) for _ in range(count)]
        load_tasks.append(asyncio.create_task(clock.run()))
        load_tasks.append(asyncio.create_task(self._watch_processes()))
        faults_in_progress = []
        for planned in self._schedule:
            await asyncio.sleep(max(0.0, begun + planned.at - loop.time()))
            faults_in_progress.append(
                asyncio.create_task(self._inject(planned.fault))
            )
        await asyncio.gather(*faults_in_progress)
        await asyncio.sleep(RECOVERY_SECONDS)
        self._deployment.history.recovery_due = loop.time()
        await asyncio.sleep(CHECK_SECONDS)
        for task in load_tasks:
            task.cancel()
        _raise_first(await asyncio.gather(*load_tasks, return_exceptions=True))
        # A request that is still open when the load stops counts as abandoned.
        for each in self._deployment.history.submissions.values():
            if not each.ended:
                each.ended, each.abandoned = each.sent, True

    def _outcome(self) -> Outcome:
        history = self._deployment.history
        served = sum(
            each.status == 200 and each.whole
            for each in history.submissions.values()
        )
        return Outcome(
            self._seed,
            len(history.submissions),
            served,
            len(self._schedule),
            guarantees.check(history, deployment.BOUNDS),
        )

    async def _inject(self, fault: faults.Fault) -> None:
        match fault:
            case faults.Kill(gateways, seconds):
                await asyncio.gather(
                    *(self._kill(g, seconds) for g in gateways)
                )
            case faults.Stop(gateway):
                await self._stop(gateway)
            case faults.Pause(gateway, seconds):
                await self._pause(gateway, seconds)
            case faults.Reload(gateway):
                self._reload(gateway)
            case faults.StoreLink(gateway, mode, seconds):
                await _impair(
                    self._deployment.store_links[gateway], mode, seconds
                )
            case faults.EndpointLink(endpoint, mode, seconds):
                begun = self._now()
                await _impair(
                    self._deployment.endpoint_links[endpoint], mode, seconds
                )
                self._deployment.history.impaired.append(
                    observations.EndpointPeriod(
                        self._deployment.endpoints[endpoint].id,
                        begun,
                        self._now(),
                    )
                )
            case faults.Silence(endpoint, seconds):
                self._deployment.silences[endpoint] += 1
                await asyncio.sleep(seconds)
                self._deployment.silences[endpoint] -= 1
            case faults.Store(mode, seconds):
                await self._store(mode, seconds)
            case faults.RestoreStore():
                await self._restore_store(fault)
            case faults.CrashingPart(part, seconds):
                self._deployment.crashing_parts.add(part)
                await asyncio.sleep(seconds)
                self._deployment.crashing_parts.discard(part)
            case faults.NamedLimit():
                await self._name_limit(fault)
            case faults.Endpoint(endpoint, mode, seconds):
                standin = self._deployment.endpoints[endpoint]
                standin.default_behaviour = self._deployment.behaviour(
                    standin, mode
                )
                await asyncio.sleep(seconds)
                standin.default_behaviour = self._deployment.behaviour(standin)
            case faults.Leave(endpoint, seconds):
                await self._leave(endpoint, seconds)
            case faults.RevokeKey(seconds):
                await self._revoke_key(seconds)
            case faults.Crowd(gateway):
                await crowds.Crowd(
                    self._deployment.machines[gateway],
                    gateway,
                    self._deployment.history,
                    fault,
                    self._clock,
                ).run()
            case faults.Rollout():
                await rollout_driver.RolloutDriver(
                    self._deployment, fault
                ).run()
            case faults.Configure():
                self._deployment.configure(second_key=not self._revocations)

    async def _watch_processes(self) -> None:
        """Records processes that end without a fault, until cancelled."""
        ended = set()
        while True:
            for number, each in enumerate(self._deployment.machines):
                code = each.process.returncode
                if code is None or number in self._faulted:
                    ended.discard(number)
                elif number not in ended:
                    ended.add(number)
                    self._deployment.history.ended_processes.append(
                        f"gate-{number} ended with code {code}"
                    )
            await asyncio.sleep(WATCH_SECONDS)

    async def _kill(self, number: int, seconds: float) -> None:
        if not self._reserve(number):
            return
        begun = self._now()
        await self._deployment.machines[number].kill()
        await asyncio.sleep(seconds)
        await self._restart(number, begun)
        self._record_unplanned(number, begun)

    def _reload(self, number: int) -> None:
        gateway = self._deployment.machines[number]
        if gateway.process.returncode is not None:
            return
        begun = self._now()
        gateway.signal(signal.SIGHUP)
        due = begun + deployment.BOUNDS.apply_seconds
        self._deployment.history.reloads.append(
            observations.GatewayPeriod(number, begun, due)
        )

    async def _pause(self, number: int, seconds: float) -> None:
        if not self._reserve(number):
            return
        begun = self._now()
        gateway = self._deployment.machines[number]
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        gateway.signal(signal.SIGCONT)
        self._record_disturbance(number, begun)
        self._record_unplanned(number, begun)
        self._faulted.discard(number)

    async def _stop(self, number: int) -> None:
        if not self._reserve(number):
            return
        begun = self._now()
        gateway = self._deployment.machines[number]
        gateway.signal(signal.SIGTERM)
        ended = await gateway.wait_ended(deployment.BOUNDS.grace_seconds)
        stopped = self._now()
        self._deployment.history.stops.append(
            observations.GatewayPeriod(number, begun, stopped)
        )
        if not ended:
            lag = self._clock.lag(begun)
            detail = (
                f"gate-{number} exceeded its grace period; "
                f"the soak itself lagged by {lag:.2f} s; "
                f"its process: {gateway.late_state}"
            )
            self._deployment.history.late_stops.append(detail)
        await self._restart(number, stopped)

    async def _restart(self, number: int, begun: float) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        await self._deployment.machines[number].start()
        await self._deployment.wait_ready(self._deployment.machines[number])
        self._record_disturbance(number, begun)
        self._faulted.discard(number)

    async def _store(self, mode: str, seconds: float) -> None:
        store = self._deployment.store
        store.faults.refuse = mode == "refuse"
        store.faults.hang = mode == "hang"
        store.faults.delay_seconds = DELAY_SECONDS if mode == "slow" else 0.0
        store.faults.mute_feeds = mode == "deaf"
        store.faults.lose_answers = 3 if mode == "lose" else 0
        store.serve_stale(mode == "stale")
        if mode == "forget":
            store.discard_history()
        await asyncio.sleep(seconds)
        store.clear_faults()

    async def _restore_store(self, fault: faults.RestoreStore) -> None:
        store = self._deployment.store
        store.take_copy()
        await asyncio.sleep(fault.copy_seconds)
        store.faults.refuse = True
        await asyncio.sleep(fault.down_seconds)
        store.restore_copy()
        store.faults.refuse = False
        await asyncio.sleep(fault.rewrite_seconds)
        self._deployment.write_again()

    async def _leave(self, number: int, seconds: float) -> None:
        self._drains[number] += 1
        self._deployment.list_endpoint(number, "draining")
        await asyncio.sleep(seconds)
        self._drains[number] -= 1
        if not self._drains[number]:
            self._deployment.list_endpoint(number)

    async def _name_limit(self, fault: faults.NamedLimit) -> None:
        endpoint = self._deployment.endpoints[fault.endpoint]
        if endpoint.limit:
            return
        begun = self._now()
        endpoint.limit = str(fault.per_second)
        await asyncio.sleep(fault.seconds)
        endpoint.limit = ""
        self._deployment.history.limits.append(
            observations.LimitPeriod(
                endpoint.id, fault.per_second, begun, self._now()
            )
        )

    async def _revoke_key(self, seconds: float) -> None:
        self._revocations += 1
        self._deployment.configure(second_key=False)
        begun = self._now()
        # Refusals are only required after the bound on revocation.
        await asyncio.sleep(deployment.BOUNDS.revoke_seconds + seconds)
        self._revocations -= 1
        if not self._revocations:
            revoked = observations.Period(begun, self._now())
            self._deployment.history.revocations.append(revoked)
            self._deployment.configure(second_key=True)

    def _reserve(self, number: int) -> bool:
        # A gateway whose process already has a fault gets no second one.
        is_free = number not in self._faulted
        self._faulted.add(number)
        return is_free

    def _record_disturbance(self, number: int, begun: float) -> None:
        span = observations.GatewayPeriod(
            number, begun, self._now() + SETTLE_SECONDS
        )
        self._deployment.history.disturbed.append(span)

    def _record_unplanned(self, number: int, begun: float) -> None:
        span = observations.GatewayPeriod(
            number, begun, self._now() + SETTLE_SECONDS
        )
        self._deployment.history.unplanned.append(span)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _raise_first(results: list) -> None:
    """Raises the first error of tasks that were cancelled, if there is one."""
    for each in results:
        if isinstance(each, Exception):
            raise each


async def _impair(link: links.Link, mode: str, seconds: float) -> None:
    link.impairments = links.Impairments(
        delay_seconds=DELAY_SECONDS if mode == "slow" else 0.0,
        holds_requests=mode in ("requests", "silent"),
        holds_answers=mode in ("answers", "silent"),
        refuses=mode in ("refuse", "reset"),
    )
    if mode == "reset":
        link.reset()
    await asyncio.sleep(seconds)
    link.clear()
