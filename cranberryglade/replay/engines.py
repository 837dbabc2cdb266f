"""Simulated engines: the stand-in's engine model, run in virtual time."""

from collections.abc import Callable
import dataclasses

from cranberryglade.replay import clock
from cranberryglade.replay import traces
from cranberryglade.standins import model


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One dispatch of a request to an engine.

    Attributes:
        request: the trace line of the request.
        attempt_id: identifies the attempt in the engine, as
            "instance/request id/attempt number".
        on_token: called at each generated token.
        on_end: called after the last token.
        on_connection_lost: called when the engine dies before the last token.
        sequence: its state in the engine model; None before it is accepted.
    """

    request: traces.Request
    attempt_id: str
    on_token: Callable[[], None]
    on_end: Callable[[], None]
    on_connection_lost: Callable[[], None]
    sequence: model.Sequence | None = None

    @property
    def computed_prompt_tokens(self) -> int:
        """Prompt tokens computed for the attempt, without cached ones."""
        if self.sequence is None:
            return 0
        return self.sequence.prefilled - self.sequence.cached


@dataclasses.dataclass(slots=True)
class PrefillCount:
    """Numbers of prompt tokens that all engines computed.

    Attributes:
        total: all computed tokens.
        lost: tokens of attempts that were cancelled, were running on an engine
            that died, or ended after the deadline.
        repeated: tokens of prefixes that another endpoint of the target had in
            its cache.
    """

    total: int = 0
    lost: int = 0
    repeated: int = 0


class Engine:
    """One endpoint: accepts attempts and runs the steps of its batch.

    Attributes:
        endpoint: the endpoint's line of the trace.
        alive: False once the engine has died.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_model",
        "_prefill_count",
        "_replicas",
        "_step_running",
        "alive",
        "endpoint",
    )

    def __init__(
        self,
        line: traces.Endpoint,
        virtual_clock: clock.Clock,
        replicas: list["Engine"],
        prefill: PrefillCount,
    ):
        self.endpoint = line
        self.alive = True
        self._clock = virtual_clock
        self._replicas = replicas
        self._prefill_count = prefill
        self._model = model.EngineModel(line.speed)
        self._model.slowdown = line.factor
        self._attempts: dict[str, Attempt] = {}
        self._step_running = False

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return self._model.running

    @property
    def waiting(self) -> int:
        """Accepted requests that are not in the batch yet."""
        return self._model.waiting

    def has_cached(self, prefix: str) -> bool:
        """Returns whether a prefix is in the prefix cache."""
        return self._model.is_cached(prefix)

    def set_slowdown(self, factor: float) -> None:
        """Sets the factor by which steps are slower than normal.

        It multiplies the endpoint's own factor and replaces the one set before.
        """
        self._model.slowdown = self.endpoint.factor * factor

    def accept(self, attempt: Attempt) -> bool:
        """Adds an attempt; returns False if the engine is dead."""
        if not self.alive:
            return False
        request = attempt.request
        self._attempts[attempt.attempt_id] = attempt
        self._count_repeated(request)
        attempt.sequence = model.Sequence(
            attempt.attempt_id,
            request.prefix,
            max(1, request.prompt_tokens),
            max(1, request.output_tokens),
            request.prefix_tokens,
        )
        self._model.admit(attempt.sequence)
        self._start_step()
        return True

    def cancel(self, name: str) -> None:
        """Drops an attempt that has not ended; its prefill counts as lost."""
        attempt = self._attempts.pop(name, None)
        if attempt is not None and self._model.cancel(name) is not None:
            self._prefill_count.lost += attempt.computed_prompt_tokens

    def cancel_all_from(self, instance: str) -> None:
        """Drops all attempts of an instance that has died."""
        for name in list(self._attempts):
            if name.startswith(f"{instance}/"):
                self.cancel(name)

    def die(self) -> None:
        """Stops the engine, drops its attempts, calls `on_connection_lost`."""
        self.alive = False
        for name, attempt in list(self._attempts.items()):
            self.cancel(name)
            attempt.on_connection_lost()

    def _count_repeated(self, request: traces.Request) -> None:
        if not request.prefix or self.has_cached(request.prefix):
            return
        if any(
            replica.has_cached(request.prefix) for replica in self._replicas
        ):
            self._prefill_count.repeated += request.prefix_tokens

    def _start_step(self) -> None:
        if self._step_running or self._model.idle or not self.alive:
            return
        self._step_running = True
        step = self._model.step()
        self._prefill_count.total += step.prefilled_tokens
        self._clock.after(step.seconds, self._finish_step, step)

    def _finish_step(self, step: model.Step) -> None:
        self._step_running = False
        for name in step.tokens:
            attempt = self._attempts.get(name)
            if attempt is not None:
                attempt.on_token()
        for name in step.finished:
            attempt = self._attempts.pop(name, None)
            if attempt is not None:
                attempt.on_end()
        self._start_step()
