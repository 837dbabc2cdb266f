"""One run of the soak: load, faults, then calm, and the promises checked."""

import asyncio
import dataclasses
import pathlib
import signal

from cranberryglade.soak import faults
from cranberryglade.soak import links
from cranberryglade.soak import load
from cranberryglade.soak import promises
from cranberryglade.soak import world

CALLERS_PER_GATEWAY = 4
RESTART_SECONDS = 0.3
RECOVERY_SECONDS = 5.0
CALM_SECONDS = 2.0
AFTERMATH_SECONDS = 3.0
"""A gateway counts as disturbed until so long after a fault of its own."""

SLOW_SECONDS = 0.15


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """What a run found.

    Attributes:
        seed: of its faults.
        submissions: requests that callers sent.
        served: those that were answered with success.
        faults: how many there were.
        violations: promises that were broken.
    """

    seed: int
    submissions: int
    served: int
    faults: int
    violations: list[promises.Violation]


class Soak:
    """Plays the faults of one seed."""

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        seconds: float,
        gateways: int,
        endpoints: int,
    ):
        self._seed = seed
        self._world = world.World(folder, gateways, endpoints, seed)
        self._plan = faults.plan(seed, seconds, gateways, endpoints)
        self._busy: set[int] = set()
        self._keys_away = 0
        self._leaving = [0] * endpoints

    async def run(self) -> Outcome:
        """Plays it and checks the promises."""
        played = self._world
        try:
            await played.start()
            await self._play()
        finally:
            await played.stop()
        return self._outcome()

    async def _play(self) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        clock = load.Clock()
        callers = load.Callers(
            self._world.machines, self._world.ledger, self._seed, clock
        )
        count = CALLERS_PER_GATEWAY * len(self._world.machines)
        running = [asyncio.create_task(callers.run()) for _ in range(count)]
        running.append(asyncio.create_task(clock.run()))
        strikes = []
        for planned in self._plan:
            await asyncio.sleep(max(0.0, begun + planned.at - loop.time()))
            strikes.append(asyncio.create_task(self._strike(planned.fault)))
        await asyncio.gather(*strikes)
        await asyncio.sleep(RECOVERY_SECONDS)
        self._world.ledger.calm_from = loop.time()
        await asyncio.sleep(CALM_SECONDS)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        for each in self._world.ledger.submissions.values():
            if not each.ended:
                each.ended, each.abandoned = each.sent, True

    def _outcome(self) -> Outcome:
        ledger = self._world.ledger
        served = sum(
            each.status == 200 and each.whole
            for each in ledger.submissions.values()
        )
        return Outcome(
            self._seed,
            len(ledger.submissions),
            served,
            len(self._plan),
            promises.check(ledger, world.BOUNDS),
        )

    async def _strike(self, fault: faults.Fault) -> None:
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
                self._world.machines[gateway].signal(signal.SIGHUP)
            case faults.StoreLink(gateway, how, seconds):
                await _bend(self._world.store_links[gateway], how, seconds)
            case faults.EndpointLink(endpoint, how, seconds):
                await _bend(self._world.endpoint_links[endpoint], how, seconds)
            case faults.Store(how, seconds):
                await self._store(how, seconds)
            case faults.Endpoint(endpoint, how, seconds):
                each = self._world.endpoints[endpoint]
                each.usual = self._world.behaviour(each, how)
                await asyncio.sleep(seconds)
                each.usual = self._world.behaviour(each)
            case faults.Leave(endpoint, seconds):
                await self._leave(endpoint, seconds)
            case faults.TakeKey(seconds):
                await self._take_key(seconds)
            case faults.Configure():
                self._world.configure(second_key=not self._keys_away)

    async def _kill(self, number: int, seconds: float) -> None:
        if not self._claim(number):
            return
        begun = self._now()
        await self._world.machines[number].kill()
        await asyncio.sleep(seconds)
        await self._restart(number, begun)

    async def _pause(self, number: int, seconds: float) -> None:
        if not self._claim(number):
            return
        begun = self._now()
        each = self._world.machines[number]
        each.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        each.signal(signal.SIGCONT)
        self._disturbed(number, begun)
        self._busy.discard(number)

    async def _stop(self, number: int) -> None:
        if not self._claim(number):
            return
        begun = self._now()
        each = self._world.machines[number]
        each.signal(signal.SIGTERM)
        ended = await each.ended(world.GRACE_SECONDS)
        gone = self._now()
        self._world.ledger.stops.append(promises.Span(number, begun, gone))
        if not ended:
            detail = f"gate-{number} was still there"
            self._world.ledger.overstays.append(detail)
        await self._restart(number, gone)

    async def _restart(self, number: int, begun: float) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        await self._world.machines[number].start()
        await self._world.ready(self._world.machines[number])
        self._disturbed(number, begun)
        self._busy.discard(number)

    async def _store(self, how: str, seconds: float) -> None:
        store = self._world.store
        store.faults.refuse = how == "refuse"
        store.faults.hang = how == "hang"
        store.faults.delay_seconds = SLOW_SECONDS if how == "slow" else 0.0
        store.faults.deaf = how == "deaf"
        store.faults.lose_answers = 3 if how == "lose" else 0
        store.show_stale(how == "stale")
        if how == "forget":
            store.forget_history()
        await asyncio.sleep(seconds)
        store.heal()

    async def _leave(self, number: int, seconds: float) -> None:
        self._leaving[number] += 1
        self._world.list_endpoint(number, "draining")
        await asyncio.sleep(seconds)
        self._leaving[number] -= 1
        if not self._leaving[number]:
            self._world.list_endpoint(number)

    async def _take_key(self, seconds: float) -> None:
        self._keys_away += 1
        self._world.configure(second_key=False)
        begun = self._now()
        # The bound has to pass for the promise to be put to the test.
        await asyncio.sleep(world.BOUNDS.revoke_seconds + seconds)
        self._keys_away -= 1
        if not self._keys_away:
            gone = promises.Period(begun, self._now())
            self._world.ledger.keyless.append(gone)
            self._world.configure(second_key=True)

    def _claim(self, number: int) -> bool:
        # A process that is already stopping is left to it.
        free = number not in self._busy
        self._busy.add(number)
        return free

    def _disturbed(self, number: int, begun: float) -> None:
        span = promises.Span(number, begun, self._now() + AFTERMATH_SECONDS)
        self._world.ledger.disturbed.append(span)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


async def _bend(link: links.Link, how: str, seconds: float) -> None:
    link.weather = links.Weather(
        delay_seconds=SLOW_SECONDS if how == "slow" else 0.0,
        loses_requests=how in ("requests", "silent"),
        loses_answers=how in ("answers", "silent"),
        refuses=how in ("refuse", "reset"),
    )
    if how == "reset":
        link.reset()
    await asyncio.sleep(seconds)
    link.heal()
