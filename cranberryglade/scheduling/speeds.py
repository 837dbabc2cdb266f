"""Speed of endpoints, measured from their first tokens and answers."""

import dataclasses

INITIAL_PREFILL_SECONDS_PER_TOKEN = 0.0001
INITIAL_TOKEN_SECONDS = 0.03
INITIAL_CALL_SECONDS = 0.02
SMOOTHING_FACTOR = 0.15
MIN_PREFILL_SAMPLE_TOKENS = 500


@dataclasses.dataclass(slots=True)
class Speed:
    """Moving averages of one endpoint, or of a whole generation.

    Attributes:
        prefill_seconds: seconds for each prompt token that is not cached.
        token_seconds: seconds between two tokens of an answer.
        call_seconds: seconds of a call that does not stream.
        samples: number of answers averaged.
    """

    prefill_seconds: float = INITIAL_PREFILL_SECONDS_PER_TOKEN
    token_seconds: float = INITIAL_TOKEN_SECONDS
    call_seconds: float = INITIAL_CALL_SECONDS
    samples: int = 0

    def record_prefill(self, tokens: float, seconds: float) -> None:
        """Updates the prefill speed; ignores short prefills.

        Args:
            tokens: prompt tokens computed before the first token.
            seconds: time from the dispatch to the first token.
        """
        if tokens >= MIN_PREFILL_SAMPLE_TOKENS:
            self.prefill_seconds = _smoothed(
                self.prefill_seconds, seconds / tokens, SMOOTHING_FACTOR
            )

    def record_token_interval(self, seconds: float) -> None:
        """Updates the token speed with the mean token interval of an answer."""
        self.token_seconds = _smoothed(
            self.token_seconds, seconds, self._smoothing_factor()
        )
        self.samples += 1

    def record_call(self, seconds: float) -> None:
        """Updates the duration of calls that do not stream."""
        self.call_seconds = _smoothed(
            self.call_seconds, seconds, self._smoothing_factor()
        )
        self.samples += 1

    def _smoothing_factor(self) -> float:
        # The first samples are averaged evenly.
        return max(SMOOTHING_FACTOR, 1 / (self.samples + 1))


class GenerationSpeeds:
    """Average speeds by target and hardware generation.

    They are the initial speeds of endpoints that have not been measured.
    """

    __slots__ = ("_generations",)

    def __init__(self):
        self._generations: dict[tuple[str, str], Speed] = {}

    def generation(self, target: str, generation: str) -> Speed:
        """Returns the average of the endpoints of a target and generation."""
        key = (target, generation)
        speed = self._generations.get(key)
        if speed is None:
            speed = self._generations[key] = Speed()
        return speed


def _smoothed(average: float, value: float, factor: float) -> float:
    return average + factor * (value - average)
