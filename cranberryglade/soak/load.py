"""Callers that keep their connections until these are gone."""

import asyncio
import itertools
import random

from cranberryglade.soak import promises
from cranberryglade.standins import callers
from cranberryglade.standins import machine
from cranberryglade.standins import routes

LEAVES = 0.03
"""Part of the requests whose caller leaves before the answer."""

THINK_SECONDS = (0.01, 0.08)
CONNECT_SECONDS = 1.0
PATIENCE_SECONDS = 6.0
LAG_TICK_SECONDS = 0.05

KINDS = ("look", "look", "pay", "pay", "write", "note")


class Clock:
    """Measures how late the soak's own loop runs."""

    def __init__(self):
        self._late: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Measures for ever."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_TICK_SECONDS
            await asyncio.sleep(LAG_TICK_SECONDS)
            late = loop.time() - due
            if late > LAG_TICK_SECONDS:
                self._late.append((due, late))

    def lag(self, since: float) -> float:
        """The sum of the delays since then, seconds."""
        return sum(late for at, late in self._late if at + late >= since)


class Callers:
    """Sends requests to the gateways and notes what comes back."""

    def __init__(
        self,
        machines: list[machine.Machine],
        ledger: promises.Ledger,
        seed: int,
        clock: Clock,
    ):
        self._machines = machines
        self._ledger = ledger
        self._random = random.Random(seed)
        self._clock = clock
        self._numbers = itertools.count()

    async def run(self) -> None:
        """One caller: one connection after the other, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            number = self._random.randrange(len(self._machines))
            host = self._machines[number].host
            try:
                async with asyncio.timeout(CONNECT_SECONDS):
                    opened = await asyncio.open_connection(
                        host, machine.Machine.FRONT_PORT
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(self._random.uniform(*THINK_SECONDS))
                continue
            caller = callers.Caller(*opened)
            try:
                while await self._request(caller, number, loop):
                    await asyncio.sleep(self._random.uniform(*THINK_SECONDS))
            finally:
                caller.close()

    async def _request(self, caller, number: int, loop) -> bool:
        """Sends one request; returns whether the connection can go on."""
        each = promises.Submission(
            id=f"s-{next(self._numbers)}",
            route=self._random.choice(KINDS),
            gateway=number,
            second_key=self._random.random() < 0.3,
            sent=loop.time(),
        )
        self._ledger.submissions[each.id] = each
        key = routes.SECOND_KEY if each.second_key else routes.KEY
        posts = each.route != "look"
        caller.request(
            f"/{each.route}/{each.id}",
            "POST" if posts else "GET",
            b"payload" if posts else b"",
            X_Attempt_Id=each.id,
            Authorization=f"Bearer {key}",
        )
        each.abandoned = self._random.random() < LEAVES
        patience = 0.02 if each.abandoned else PATIENCE_SECONDS
        answer = None
        try:
            async with asyncio.timeout(patience):
                answer = await caller.answer()
        except TimeoutError:
            pass  # The caller leaves, on purpose or out of patience.
        each.ended = loop.time()
        each.lag_seconds = self._clock.lag(each.sent)
        if answer is None:
            return False
        each.status = answer.status
        each.whole = answer.whole
        each.stamped = answer.stamped
        each.body = answer.body
        closing = answer.headers.get("connection", "").lower() == "close"
        return answer.whole and not closing
