"""Engines in virtual time: the stand-in's model, stepped by the clock."""

from collections.abc import Callable
import dataclasses

from cranberryglade.replay import clock
from cranberryglade.replay import traces
from cranberryglade.standins import model


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One dispatch as the engine sees it.

    Attributes:
        request: the line of the trace.
        name: name inside the engine.
        on_token: called at each token.
        on_end: called when the whole answer is out.
        on_cut: called when the engine dies.
        sequence: its state in the engine.
    """

    request: traces.Request
    name: str
    on_token: Callable[[], None]
    on_end: Callable[[], None]
    on_cut: Callable[[], None]
    sequence: model.Sequence | None = None

    @property
    def prefilled(self) -> int:
        """Prompt tokens computed for it."""
        if self.sequence is None:
            return 0
        return self.sequence.prefilled - self.sequence.cached


@dataclasses.dataclass(slots=True)
class PrefillCount:
    """Prompt tokens computed by all engines.

    Attributes:
        total: all of them.
        lost: for attempts that did not become a whole answer in time.
        repeated: of a prefix that another endpoint held.
    """

    total: int = 0
    lost: int = 0
    repeated: int = 0


class Engine:
    """One endpoint: accepts attempts and steps its batch."""

    __slots__ = (
        "_attempts",
        "_clock",
        "_model",
        "_peers",
        "_prefill",
        "_stepping",
        "alive",
        "line",
    )

    def __init__(
        self,
        line: traces.Endpoint,
        time: clock.Clock,
        peers: list["Engine"],
        prefill: PrefillCount,
    ):
        self.line = line
        self.alive = True
        self._clock = time
        self._peers = peers
        self._prefill = prefill
        self._model = model.EngineModel(line.speed)
        self._model.slowdown = line.factor
        self._attempts: dict[str, Attempt] = {}
        self._stepping = False

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return self._model.running

    @property
    def waiting(self) -> int:
        """Requests let in but not in the batch."""
        return self._model.waiting

    def holds(self, prefix: str) -> bool:
        """Whether a prefix is cached."""
        return self._model.holds(prefix)

    def slow(self, factor: float) -> None:
        """Makes every step slower by a factor from now on."""
        self._model.slowdown = self.line.factor * factor

    def accept(self, attempt: Attempt) -> bool:
        """Lets an attempt in; False if the engine is dead."""
        if not self.alive:
            return False
        request = attempt.request
        self._attempts[attempt.name] = attempt
        self._count_repeated(request)
        attempt.sequence = model.Sequence(
            attempt.name,
            request.prefix,
            max(1, request.prompt_tokens),
            max(1, request.output_tokens),
            request.prefix_tokens,
        )
        self._model.admit(attempt.sequence)
        self._start()
        return True

    def cancel(self, name: str) -> None:
        """Drops an attempt that nobody awaits any more."""
        attempt = self._attempts.pop(name, None)
        if attempt is not None and self._model.cancel(name) is not None:
            self._prefill.lost += attempt.prefilled

    def cancel_of(self, instance: str) -> None:
        """Drops the attempts of an instance whose connections broke."""
        for name in list(self._attempts):
            if name.startswith(f"{instance}/"):
                self.cancel(name)

    def die(self) -> None:
        """Cuts all attempts."""
        self.alive = False
        for name, attempt in list(self._attempts.items()):
            self.cancel(name)
            attempt.on_cut()

    def _count_repeated(self, request: traces.Request) -> None:
        if not request.prefix or self.holds(request.prefix):
            return
        if any(peer.holds(request.prefix) for peer in self._peers):
            self._prefill.repeated += request.prefix_tokens

    def _start(self) -> None:
        if self._stepping or self._model.idle or not self.alive:
            return
        self._stepping = True
        step = self._model.step()
        self._prefill.total += step.prefilled_tokens
        self._clock.after(step.seconds, self._finish, step)

    def _finish(self, step: model.Step) -> None:
        self._stepping = False
        for name in step.tokens:
            attempt = self._attempts.get(name)
            if attempt is not None:
                attempt.on_token()
        for name in step.finished:
            attempt = self._attempts.pop(name, None)
            if attempt is not None:
                attempt.on_end()
        self._start()
