"""How fast endpoints are, learnt from their first tokens and answers."""

import dataclasses

PREFILL_SECONDS_PER_TOKEN = 0.0001
TOKEN_SECONDS = 0.03
CALL_SECONDS = 0.02
LEARNING_RATE = 0.15
LEAST_PREFILL_TOKENS = 500


@dataclasses.dataclass(slots=True)
class Speed:
    """Running averages of one endpoint, or of all of a generation.

    Attributes:
        prefill_seconds: time of a prompt token that is not cached.
        token_seconds: time between two tokens.
        call_seconds: time of a call that streams nothing.
        samples: answers seen.
    """

    prefill_seconds: float = PREFILL_SECONDS_PER_TOKEN
    token_seconds: float = TOKEN_SECONDS
    call_seconds: float = CALL_SECONDS
    samples: int = 0

    def learn_prefill(self, tokens: float, seconds: float) -> None:
        """Takes in a first token that came after that much prefill."""
        if tokens >= LEAST_PREFILL_TOKENS:
            self.prefill_seconds = _mixed(
                self.prefill_seconds, seconds / tokens, LEARNING_RATE
            )

    def learn_tokens(self, seconds: float) -> None:
        """Takes in the mean time between the tokens of one answer."""
        self.token_seconds = _mixed(self.token_seconds, seconds, self._rate())
        self.samples += 1

    def learn_call(self, seconds: float) -> None:
        """Takes in a call that streamed nothing."""
        self.call_seconds = _mixed(self.call_seconds, seconds, self._rate())
        self.samples += 1

    def _rate(self) -> float:
        return max(LEARNING_RATE, 1 / (self.samples + 1))


class Speeds:
    """Speeds of endpoints, and of their generations for those not yet seen."""

    __slots__ = ("_generations",)

    def __init__(self):
        self._generations: dict[tuple[str, str], Speed] = {}

    def generation(self, target: str, generation: str) -> Speed:
        """The average of the endpoints of one target and generation."""
        key = (target, generation)
        known = self._generations.get(key)
        if known is None:
            known = self._generations[key] = Speed()
        return known


def _mixed(before: float, value: float, rate: float) -> float:
    return before + rate * (value - before)
