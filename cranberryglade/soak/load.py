"""Callers that send requests over persistent connections."""

import asyncio
import itertools
import random

from cranberryglade.soak import observations
from cranberryglade.standins import callers
from cranberryglade.standins import machine
from cranberryglade.standins import operator_configuration

ABANDONED_SHARE = 0.03
"""Share of requests whose caller gives up after 20 ms."""

THINK_SECONDS = (0.01, 0.08)
CONNECT_SECONDS = 1.0
CALLER_TIMEOUT_SECONDS = 6.0
LAG_TICK_SECONDS = 0.05

CRASHING_SHARE = 0.1
"""Share of prompts with a part that crashes endpoints, while there is one."""

SESSIONS = 30
"""Number of prompt parts that few requests have in common."""

ROUTES = ("look", "look", "pay", "pay", "write", "note")


class LagMonitor:
    """Measures how far the soak's own event loop lags behind."""

    def __init__(self):
        self._late: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Measures until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            expected = loop.time() + LAG_TICK_SECONDS
            await asyncio.sleep(LAG_TICK_SECONDS)
            late = loop.time() - expected
            if late > LAG_TICK_SECONDS:
                self._late.append((expected, late))

    def lag(self, since: float) -> float:
        """Returns the total delay since then, in seconds.

        Delays of at most LAG_TICK_SECONDS are not counted.

        Args:
            since: seconds of the event loop's clock.
        """
        return sum(late for at, late in self._late if at + late >= since)


class LoadGenerator:
    """Sends requests to the gateways and records their responses.

    Args:
        machines: the gateways.
        history: gets the requests.
        seed: seed of the random choices.
        clock: measures the lag of the event loop.
        crashing_parts: prompt parts that crash endpoints at present.
    """

    def __init__(
        self,
        machines: list[machine.Machine],
        history: observations.History,
        seed: int,
        clock: LagMonitor,
        crashing_parts: set[str],
    ):
        self._machines = machines
        self._history = history
        self._random = random.Random(seed)
        self._clock = clock
        self._crashing_parts = crashing_parts
        self._prompt_random = random.Random(f"prompts {seed}")
        self._numbers = itertools.count()
        self._broken: list[observations.Submission] = []

    async def run(self) -> None:
        """Sends requests as one caller until cancelled.

        A connection is used until it closes; the next one goes to a random
        gateway.
        """
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
                kept = False
                while await self._request(caller, number, loop, kept):
                    kept = True
                    await asyncio.sleep(self._random.uniform(*THINK_SECONDS))
            finally:
                caller.close()

    async def _request(
        self, caller, number: int, loop, kept: bool = False
    ) -> bool:
        """Sends a request; returns whether the connection can be reused."""
        submission = self._draw(number, loop.time())
        submission.kept = kept
        self._history.submissions[submission.id] = submission
        key = (
            operator_configuration.SECOND_KEY
            if submission.second_key
            else operator_configuration.KEY
        )
        is_post = submission.route != "look"
        caller.request(
            f"/{submission.route}/{submission.id}",
            "POST" if is_post else "GET",
            b"payload" if is_post else b"",
            X_Attempt_Id=submission.id,
            Authorization=f"Bearer {key}",
            Last_Event_Id=submission.resumed_after or None,
            Resumes=submission.resumes or None,
            X_Prompt_Prefix=self._draw_prompt(submission),
        )
        submission.written = loop.time()
        submission.abandoned = self._random.random() < ABANDONED_SHARE
        timeout = 0.02 if submission.abandoned else CALLER_TIMEOUT_SECONDS
        answer = None
        try:
            async with asyncio.timeout(timeout):
                answer = await caller.answer()
        except TimeoutError:
            pass  # The caller gave up, deliberately or at its timeout.
        except (
            callers.StrayBytesError,
            asyncio.LimitOverrunError,
            ValueError,
        ) as error:
            submission.unreadable = repr(error)
        submission.ended = loop.time()
        submission.lag_seconds = self._clock.lag(submission.sent)
        if answer is None:
            return False
        submission.record_answer(answer)
        if submission.resumable:
            self._broken.append(submission)
        closing = answer.headers.get("connection", "").lower() == "close"
        return answer.whole and not closing

    def _draw_prompt(self, submission: observations.Submission) -> str | None:
        """Returns the prompt of a stream, with a crashing part if drawn."""
        if submission.route not in observations.STREAM_ROUTES:
            return None
        session = self._prompt_random.randrange(SESSIONS)
        parts = ["shared:60", f"session{session}:200"]
        draws_part = self._prompt_random.random() < CRASHING_SHARE
        if self._crashing_parts and draws_part:
            submission.crashing_part = min(self._crashing_parts)
            parts.insert(1, f"{submission.crashing_part}:30")
        return ",".join([*parts, f"{submission.id}:10"])

    def _draw(self, gateway: int, now: float) -> observations.Submission:
        """Returns a new request; it resumes a broken stream if there is one."""
        id_ = f"s-{next(self._numbers)}"
        if self._broken:
            broken = self._broken.pop()
            return observations.Submission(
                id=id_,
                route=broken.route,
                gateway=gateway,
                second_key=broken.second_key,
                sent=now,
                resumes=broken.id,
                resumed_after=broken.last_event,
            )
        return observations.Submission(
            id=id_,
            route=self._random.choice(ROUTES),
            gateway=gateway,
            second_key=self._random.random() < 0.3,
            sent=now,
        )
