"""Waits for attempts; seeks another endpoint while one is late or silent."""

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
from cranberryglade.hedging import control
from cranberryglade.hedging import records

MIN_WAIT_SECONDS = 0.001
"""Least timeout of a wait, so that it ends when the next step is due."""

Step = replacement.Step
Received = TypeVar("Received")

logger = log.get_logger(__name__)


class Replacer:
    """Waits for what an attempt sends; replaces it if it stays silent.

    A plain request whose answer is late is hedged before that.
    """

    __slots__ = ("_attempts", "_hedge_records", "_hedges")

    def __init__(
        self,
        attempt_control: attempts.Attempts,
        hedges: control.HedgeControl,
        hedge_records: records.HedgeRecords,
    ):
        self._attempts = attempt_control
        self._hedges = hedges
        self._hedge_records = hedge_records

    async def wait(
        self,
        exchange: exchanges.Exchange,
        endpoint: messages.Endpoint,
        receive: Callable[[], Awaitable[Received]],
        is_sound: Callable[[Received], bool],
        attempt: exchanges.Attempt | None = None,
    ) -> Received | None:
        """Waits for the next that the current attempt of a request sends.

        Args:
            exchange: the request.
            endpoint: where the attempt runs.
            receive: waits for it; loses nothing if it is cancelled.
            is_sound: whether the attempt goes on with what it sent, or has
                failed.
            attempt: the attempt, while its whole answer is awaited; None
                within a stream.

        Returns:
            What it sent; if it failed, another attempt may be under way as
            `exchange.replacement`. None if that one goes on in its stead.

        Raises:
            YieldedError: if the attempt is to yield its slot.
        """
        if exchange.yield_requested:
            # What had arrived by then is relayed.
            raise exchanges.YieldedError
        began_at = _now()
        seconds = replacement.silence_seconds(
            exchange.admitted.route,
            exchange.answer_framing is not None,
            exchange.remaining_seconds,
            began_at - exchange.last_received_at,
        )
        replace_at = None
        late_after = self._late_after_seconds(exchange, attempt)
        if late_after is not None and late_after < seconds:
            replace_at = began_at + seconds
            seconds = late_after
        try:
            async with asyncio.timeout(seconds) as exchange.receiving:
                return await receive()
        except TimeoutError:
            if exchange.yield_requested:
                raise exchanges.YieldedError from None
        finally:
            exchange.receiving = None
        silence = _Silence(
            self._attempts,
            self._hedge_records,
            exchange,
            endpoint,
            attempt,
            receive,
            is_sound,
            began_at,
            replace_at,
        )
        return await silence.run()

    def _late_after_seconds(
        self, exchange: exchanges.Exchange, attempt: exchanges.Attempt | None
    ) -> float | None:
        """Returns after which time an attempt is hedged; None if it is not.

        Only the first attempt of a request is.
        """
        if attempt is None or attempt.is_hedge:
            return None
        if len(exchange.attempted_endpoints) > 1:
            return None
        admitted = exchange.admitted
        return self._hedges.late_after_seconds(
            admitted.service,
            admitted.route.kind,
            _now(),
            attempt.late_after_seconds,
        )


class _Silence:
    """One silence of an attempt, until it ends or the attempt is replaced."""

    __slots__ = (
        "_attempt",
        "_attempts",
        "_began_at",
        "_endpoint",
        "_hedge",
        "_hedge_records",
        "_is_logged",
        "_proving",
        "_exchange",
        "_is_sound",
        "_receive",
        "_seeking",
        "_silence",
    )

    def __init__(
        self,
        attempt_control: attempts.Attempts,
        hedge_records: records.HedgeRecords,
        exchange: exchanges.Exchange,
        endpoint: messages.Endpoint,
        attempt: exchanges.Attempt | None,
        receive: Callable[[], Awaitable[Received]],
        is_sound: Callable[[Received], bool],
        began_at: float,
        replace_at: float | None,
    ):
        """Takes up a silence that has lasted since a time.

        Args:
            attempt_control: begins and ends attempts.
            hedge_records: logs and counts hedges.
            exchange: the request.
            endpoint: where the silent attempt runs.
            attempt: as in `Replacer.wait`.
            receive: as in `Replacer.wait`.
            is_sound: as in `Replacer.wait`.
            began_at: since when nothing was received.
            replace_at: as in `replacement.Replacement`.
        """
        self._attempts = attempt_control
        self._hedge_records = hedge_records
        self._exchange = exchange
        self._endpoint = endpoint
        self._attempt = attempt
        self._receive = receive
        self._is_sound = is_sound
        self._began_at = began_at
        self._is_logged = False
        self._hedge: exchanges.Attempt | None = None
        self._silence = replacement.Replacement(_now(), replace_at)
        self._seeking: asyncio.Task | None = None
        self._proving: asyncio.Task[str] | None = None

    @property
    def _silent_ms(self) -> int:
        return round((_now() - self._began_at) * 1000)

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
            self._record_hedge_end(won=step is Step.SWITCH)
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
                    self._record_hedge(sought)
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
        hedges = self._silence.hedges
        if hedges:
            refusal = self._attempts.reserve_hedge(
                self._exchange, self._attempt
            )
        else:
            self._log_silence()
            refusal = self._attempts.reserve(self._exchange)
        if refusal is not None:
            self._refuse(refusal.reason, refusal.pause_seconds)
            return
        self._silence.sought()
        self._seeking = asyncio.create_task(
            self._attempts.begin_hedge(self._exchange)
            if hedges
            else self._attempts.begin(self._exchange, persistent=False)
        )

    def _log_silence(self) -> None:
        """Logs, once, that the attempt counts as silent."""
        if self._is_logged:
            return
        self._is_logged = True
        logger.info(
            "attempt.silent",
            id=self._exchange.facts.id,
            endpoint=self._endpoint.id,
            silent_ms=self._silent_ms,
            left_ms=round(self._exchange.remaining_seconds * 1000),
        )

    def _record_hedge(self, begun: exchanges.Attempt) -> None:
        if begun.is_hedge:
            self._hedge = begun
            self._hedge_records.asked(
                self._exchange, self._endpoint.id, begun, self._silent_ms
            )

    def _record_hedge_end(self, won: bool) -> None:
        if self._hedge is not None:
            self._hedge = None
            self._hedge_records.ended(self._exchange, won)

    def _refuse(self, reason: str, pause_seconds: float) -> None:
        """Goes on without another endpoint for a time, or for good."""
        self._exchange.refusal = reason
        hedged = self._silence.hedges
        self._silence.unavailable(pause_seconds, _now())
        if self._hedge is not None:
            self._record_hedge_end(won=False)
            return
        if hedged:
            self._hedge_records.not_made(
                self._exchange, reason, self._silent_ms
            )
            return
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
            self._attempts.give_back_hedge(self._exchange)
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
