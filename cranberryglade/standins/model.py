"""Model of an engine with continuous batching and a prefix cache.

It has no clock: each call of `step` returns how long that step takes. The
engine stand-in and the trace replay use the same code.
"""

import collections
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Speed:
    """Speed and capacity of an engine.

    Attributes:
        batch: most requests in the batch.
        step_seconds: duration of a step without any work.
        sequence_seconds: time that each request adds to the step in which it
            gets a token.
        prefill_seconds: time that each prefilled token adds to a step.
        prefill_chunk: most prompt tokens prefilled in one step.
        cache_tokens: capacity of the prefix cache.
    """

    batch: int = 8
    step_seconds: float = 0.01
    sequence_seconds: float = 0.0005
    prefill_seconds: float = 0.00005
    prefill_chunk: int = 2048
    cache_tokens: int = 200_000

    def engine_seconds(self, prompt_tokens: int, output_tokens: int) -> float:
        """Returns a request's share of a full engine's time, in seconds."""
        step = self.step_seconds + self.batch * self.sequence_seconds
        decode = output_tokens * step / self.batch
        return prompt_tokens * self.prefill_seconds + decode

    def alone_seconds(self, prompt_tokens: int, output_tokens: int) -> float:
        """Returns the seconds of a request that has the engine to itself."""
        steps = -(-prompt_tokens // self.prefill_chunk) - 1 + output_tokens
        prefill = prompt_tokens * self.prefill_seconds
        decode = output_tokens * self.sequence_seconds
        return steps * self.step_seconds + prefill + decode


@dataclasses.dataclass(slots=True, eq=False)
class Sequence:
    """A request in the engine.

    Attributes:
        request_id: the request.
        prefix: name of the shared part of its prompt; empty for none.
        prompt_tokens: length of the prompt.
        output_tokens: number of tokens that it generates.
        prefix_tokens: length of the shared part; 0 for the whole prompt.
        prefilled: prompt tokens in place so far, cached ones included.
        cached: prompt tokens taken from the cache.
        generated: tokens generated so far.
    """

    request_id: str
    prefix: str
    prompt_tokens: int
    output_tokens: int
    prefix_tokens: int = 0
    prefilled: int = 0
    cached: int = 0
    generated: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """What one step of the batch did.

    Attributes:
        seconds: duration of the step.
        tokens: ids of the requests that got one more token.
        finished: ids of the requests that got their last token.
        prefilled_tokens: number of prompt tokens prefilled.
    """

    seconds: float
    tokens: list[str]
    finished: list[str]
    prefilled_tokens: int


class EngineModel:
    """The batch, queue and prefix cache of one engine.

    Attributes:
        slowdown: factor on the duration of every step.

    >>> engine = EngineModel(Speed())
    >>> engine.admit(Sequence("r1", "", 100, 2))
    >>> engine.step().tokens
    ['r1']
    >>> engine.step().finished
    ['r1']
    """

    __slots__ = (
        "_cache",
        "_cached_tokens",
        "_running",
        "_speed",
        "_waiting",
        "slowdown",
    )

    def __init__(self, speed: Speed):
        self._speed = speed
        self._waiting: collections.OrderedDict[str, Sequence] = (
            collections.OrderedDict()
        )
        self._running: dict[str, Sequence] = {}
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        self.slowdown = 1.0

    @property
    def running(self) -> int:
        """Number of requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for the batch."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether it has no requests."""
        return not self._running and not self._waiting

    @property
    def cached(self) -> list[str]:
        """Names of the cached prefixes, least recently used first."""
        return list(self._cache)

    def is_cached(self, prefix: str) -> bool:
        """Returns whether a prefix is cached."""
        return prefix in self._cache

    def admit(self, sequence: Sequence) -> None:
        """Adds a request to the end of the waiting queue."""
        self._waiting[sequence.request_id] = sequence

    def cancel(self, request_id: str) -> Sequence | None:
        """Removes a request.

        Returns:
            The request with its progress, or None if it is not here.
        """
        waiting = self._waiting.pop(request_id, None)
        return waiting or self._running.pop(request_id, None)

    def step(self) -> Step:
        """Fills the batch and runs one step of it."""
        self._fill_batch()
        prefilled = self._prefill()
        tokens = []
        finished = []
        for sequence in list(self._running.values()):
            if sequence.prefilled < sequence.prompt_tokens:
                continue
            sequence.generated += 1
            tokens.append(sequence.request_id)
            if sequence.generated >= sequence.output_tokens:
                finished.append(sequence.request_id)
                del self._running[sequence.request_id]
        seconds = self._speed.step_seconds
        seconds += self._speed.sequence_seconds * len(tokens)
        seconds += self._speed.prefill_seconds * prefilled
        return Step(seconds * self.slowdown, tokens, finished, prefilled)

    def _fill_batch(self) -> None:
        while self._waiting and len(self._running) < self._speed.batch:
            request_id, sequence = self._waiting.popitem(last=False)
            cached = self._cache.get(sequence.prefix, 0)
            if cached:
                self._cache.move_to_end(sequence.prefix)
            sequence.cached = min(cached, sequence.prompt_tokens - 1)
            sequence.prefilled = sequence.cached
            self._running[request_id] = sequence

    def _prefill(self) -> int:
        budget = self._speed.prefill_chunk
        for sequence in self._running.values():
            remaining = sequence.prompt_tokens - sequence.prefilled
            chunk = min(budget, remaining)
            if chunk <= 0:
                continue
            sequence.prefilled += chunk
            budget -= chunk
            if sequence.prefilled == sequence.prompt_tokens:
                self._cache_prefix(sequence)
        return self._speed.prefill_chunk - budget

    def _cache_prefix(self, sequence: Sequence) -> None:
        if not sequence.prefix or sequence.prefix in self._cache:
            return
        tokens = sequence.prefix_tokens or sequence.prompt_tokens
        self._cache[sequence.prefix] = tokens
        self._cached_tokens += tokens
        while self._cached_tokens > self._speed.cache_tokens:
            _, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens
