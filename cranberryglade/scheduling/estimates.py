"""How long requests take, learnt from those that ended."""

from cranberryglade.scheduling import messages

PREFILL_SECONDS_PER_TOKEN = 0.00005
DECODE_SECONDS_PER_TOKEN = 0.02
SERVICE_SECONDS = 0.02
LEARNING_RATE = 0.1


class Estimates:
    """Running averages of speed, by target, and of length, by kind."""

    __slots__ = ("_decode_seconds", "_lengths", "_service_seconds")

    def __init__(self):
        self._decode_seconds: dict[str, float] = {}
        self._service_seconds: dict[str, float] = {}
        self._lengths: dict[str, float] = {}

    def length(self, request: messages.Request) -> float:
        """Expected length of the answer in tokens."""
        learnt = self._lengths.get(request.kind, request.output_tokens)
        return min(learnt, request.output_tokens)

    def seconds(self, request: messages.Request) -> float:
        """Expected time from dispatch to the whole answer."""
        if request.output_tokens == 0:
            return self._service_seconds.get(request.target, SERVICE_SECONDS)
        decode = self._decode_seconds.get(
            request.target, DECODE_SECONDS_PER_TOKEN
        )
        prefill = request.prompt_tokens * PREFILL_SECONDS_PER_TOKEN
        return prefill + self.length(request) * decode

    def learn(
        self, request: messages.Request, seconds: float, output_tokens: int
    ) -> None:
        """Takes in one request that ended after that many seconds."""
        if request.output_tokens == 0:
            _average(self._service_seconds, request.target, seconds)
            return
        _average(self._lengths, request.kind, output_tokens)
        prefill = request.prompt_tokens * PREFILL_SECONDS_PER_TOKEN
        decode = max(0.0, seconds - prefill) / max(1, output_tokens)
        _average(self._decode_seconds, request.target, decode)


def _average(averages: dict[str, float], name: str, value: float) -> None:
    before = averages.get(name, value)
    averages[name] = before + LEARNING_RATE * (value - before)
