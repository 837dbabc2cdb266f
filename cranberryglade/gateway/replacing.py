"""Waits for attempts, and seeks another endpoint while one is silent."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
from typing import TypeVar

from cranberryglade import log
from cranberryglade.gateway import attempts
from cranberryglade.gateway import exchanges
from cranberryglade.gateway import messages
from cranberryglade.gateway import replacement
from cranberryglade.gateway import sending

MIN_WAIT_SECONDS = 0.001
"""Least timeout of a wait, so that it ends when the next step is due."""

Step = replacement.Step
Received = TypeVar("Received")

logger = log.get_logger(__name__)


class Replacer:
    """Waits for what an attempt sends; replaces it if it stays silent."""

    __slots__ = ("_attempts",)

    def __init__(self, attempt_control: attempts.Attempts):
        self._attempts = attempt_control

    async def wait(
        self,
        exchange: exchanges.Exchange,
        endpoint: messages.Endpoint,
        receive: Callable[[], Awaitable[Received]],
        is_sound: Callable[[Received], bool],
    ) -> Received | None:
        """Waits for the next that the current attempt of a request sends.

        Args:
            exchange: the request.
            endpoint: where the attempt runs.
            receive: waits for it; loses nothing if it is cancelled.
            is_sound: whether the attempt goes on with what it sent, or has
                failed.

        Returns:
            What it sent; if it failed, another attempt may be under way as
            `exchange.replacement`. None if that one goes on in its stead.

        Raises:
            YieldedError: if the attempt is to yield its slot.
        """
        if exchange.yield_requested:
            # What had arrived by then is relayed.
            raise exchanges.YieldedError
        seconds = replacement.silence_seconds(
            exchange.admitted.route,
            exchange.answer_framing is not None,
            exchange.remaining_seconds,
            _now() - exchange.last_received_at,
        )
        try:
            async with asyncio.timeout(seconds) as exchange.receiving:
                return await receive()
        except TimeoutError:
            if exchange.yield_requested:
                raise exchanges.YieldedError from None
        finally:
            exchange.receiving = None
        logger.info(
            "attempt.silent",
            id=exchange.facts.id,
            endpoint=endpoint.id,
            silent_ms=round(seconds * 1000),
            left_ms=round(exchange.remaining_seconds * 1000),
        )
        silence = _Silence(self._attempts, exchange, receive, is_sound)
        return await silence.run()


class _Silence:
    """One silence of an attempt, until it ends or the attempt is replaced."""

    __slots__ = (
        "_attempts",
        "_proving",
        "_exchange",
        "_is_sound",
        "_receive",
        "_seeking",
        "_silence",
    )

    def __init__(self, attempt_control, exchange, receive, is_sound):
        self._attempts: attempts.Attempts = attempt_control
        self._exchange: exchanges.Exchange = exchange
        self._receive = receive
        self._is_sound = is_sound
        self._silence = replacement.Replacement(_now())
        self._seeking: asyncio.Task | None = None
        self._proving: asyncio.Task[str] | None = None

    async def run(self):
        """Waits for the end of the silence; returns as `Replacer.wait`."""
        receiving = asyncio.ensure_future(self._receive())
        step = Step.KEEP
        try:
            while True:
                await self._observe(receiving)
                step = self._silence.step(_now())
                match step:
                    case Step.SEEK:
                        self._try_to_seek()
                    case Step.WAIT:
                        await self._wait(receiving)
                    case Step.KEEP:
                        return receiving.result()
                    case Step.SWITCH:
                        return receiving.result() if receiving.done() else None
        finally:
            receiving.cancel()
            self._stop_seeking()
            await self._stop_proving()
            if step is not Step.SWITCH:
                self._attempts.drop_replacement(self._exchange)

    async def _observe(self, receiving: asyncio.Future) -> None:
        """Tells the decision what has happened."""
        if not receiving.done():
            await self._observe_other()
        # It may also have gone on while the end of the other was explained.
        if receiving.done():
            if self._is_sound(receiving.result()):
                self._silence.resumed()
                return
            self._silence.lost()
            await self._observe_other()

    async def _observe_other(self) -> None:
        """Tells the decision what has become of the other endpoint.

        The silent attempt does not end by an unexpected error there.
        """
        try:
            await self._observe_search()
        except Exception:
            self._give_search_up()

    def _try_to_seek(self) -> None:
        """Seeks another endpoint; an unexpected error ends only that."""
        try:
            self._seek()
        except Exception:
            self._give_search_up()

    def _give_search_up(self) -> None:
        """Goes on without another endpoint, for good, after an error."""
        logger.exception(
            "attempt.replacement_failed", id=self._exchange.facts.id
        )
        self._seeking = None
        self._proving = None
        self._attempts.drop_replacement(self._exchange)
        self._refuse("fault", math.inf)

    async def _observe_search(self) -> None:
        if self._seeking is not None and self._seeking.done():
            sought = self._seeking.result()
            self._seeking = None
            match sought:
                case messages.Denied(
                    reason=reason, retry_after_seconds=seconds
                ):
                    self._refuse(reason, seconds)
                case exchanges.Attempt():
                    self._exchange.replacement = sought
        other = self._exchange.replacement
        if other is None:
            return
        if other.sent.done():
            self._silence.sent(other.sent.result())
        if not other.opening.done():
            return
        result = other.opening.result()
        if not self._exchange.goes_on_with(result):
            await self._settle(other)
            return
        match result:
            case sending.StreamStarted():
                await self._observe_stream(other, result)
            case _:
                self._silence.replaced()

    async def _observe_stream(
        self, other: exchanges.Attempt, opened: sending.StreamStarted
    ) -> None:
        """Tells the decision whether the stream of the other attempt goes on.

        A head alone does not show that.
        """
        if self._proving is None:
            self._exchange.open_stream(other, opened)
            self._proving = asyncio.create_task(other.stream.wait_for_proof())
        if not self._proving.done():
            return
        problem = self._proving.result()
        if problem:
            await self._settle(other, problem)
        else:
            self._silence.replaced()

    async def _settle(
        self, other: exchanges.Attempt, problem: str = ""
    ) -> None:
        """Ends the other attempt, which failed."""
        self._proving = None
        outcome = await self._attempts.settle(
            self._exchange, other, other.opening.result(), problem
        )
        self._exchange.replacement = None
        self._attempts.end(self._exchange, other, outcome)
        self._refuse(other.failure or outcome.value, 0.0)

    def _seek(self) -> None:
        refusal = self._attempts.reserve(self._exchange)
        if refusal is not None:
            self._refuse(refusal.reason, refusal.pause_seconds)
            return
        self._silence.sought()
        self._seeking = asyncio.create_task(
            self._attempts.begin(self._exchange, persistent=False)
        )

    def _refuse(self, reason: str, pause_seconds: float) -> None:
        """Goes on without another endpoint for a time, or for good."""
        self._exchange.refusal = reason
        self._silence.unavailable(pause_seconds, _now())
        logger.info(
            "attempt.not_replaced",
            id=self._exchange.facts.id,
            reason=reason,
            for_good=math.isinf(pause_seconds),
            silent_ms=round((_now() - self._exchange.last_received_at) * 1000),
        )

    async def _wait(self, receiving: asyncio.Future) -> None:
        """Waits until something happens, or the next step is due."""
        tasks = (receiving, self._seeking, self._proving)
        awaited = [each for each in tasks if each]
        other = self._exchange.replacement
        if other is not None:
            awaited += [other.opening, other.sent]
        seconds = self._silence.due - _now()
        await asyncio.wait(
            [each for each in awaited if not each.done()],
            timeout=(
                None if math.isinf(seconds) else max(MIN_WAIT_SECONDS, seconds)
            ),
            return_when=asyncio.FIRST_COMPLETED,
        )

    def _stop_seeking(self) -> None:
        seeking = self._seeking
        if seeking is None:
            return
        if not seeking.done():
            seeking.cancel()
            # It may not have begun to run.
            self._attempts.give_back(self._exchange)
        elif not seeking.cancelled() and seeking.exception() is None:
            begun = seeking.result()
            if isinstance(begun, exchanges.Attempt):
                abandoned = messages.Outcome.ABANDONED
                self._attempts.end(self._exchange, begun, abandoned)

    async def _stop_proving(self) -> None:
        """Lets the stream of the other attempt be received elsewhere."""
        proving = self._proving
        if proving is not None and not proving.done():
            proving.cancel()
            await asyncio.wait([proving])


def _now() -> float:
    return asyncio.get_running_loop().time()
