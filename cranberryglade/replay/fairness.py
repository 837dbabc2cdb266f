"""Fairness: tokens that organisations receive while they have to wait."""

import collections

from cranberryglade.replay import calls

MIN_WAIT_SECONDS = 0.5

_Group = tuple[str, int]


class Shares:
    """Compares the tokens of each organisation with an equal share.

    Organisations compete within one tier of one target, and are compared in
    intervals of one second, by calls of `end_interval`. An interval in which
    the tier received any token counts for an organisation if one of its calls
    has waited more than half a second (MIN_WAIT_SECONDS) for its first token.
    The fair share is the tokens of the interval divided by the number of
    organisations that had open calls or received tokens, but no more than the
    organisation's open calls could get if all of them ran.

    Args:
        tokens_per_call: tokens that a running call gets in an interval.
    """

    __slots__ = (
        "_fair_shares",
        "_open_calls",
        "_received",
        "_tokens",
        "_tokens_per_call",
    )

    def __init__(self, tokens_per_call: float):
        self._tokens_per_call = tokens_per_call
        self._open_calls: dict[_Group, dict[int, calls.Call]] = {}
        self._tokens: dict[_Group, collections.Counter[str]] = {}
        self._received: collections.Counter[str] = collections.Counter()
        self._fair_shares: collections.Counter[str] = collections.Counter()

    def call_started(self, call: calls.Call) -> None:
        """Registers an open call."""
        self._open_calls.setdefault(_group(call), {})[id(call)] = call

    def call_ended(self, call: calls.Call) -> None:
        """Removes a call that has its outcome."""
        self._open_calls[_group(call)].pop(id(call), None)

    def count_token(self, call: calls.Call) -> None:
        """Counts a token that a call received."""
        counter = self._tokens.setdefault(_group(call), collections.Counter())
        counter[call.request.organisation] += 1

    def end_interval(self, now: float) -> None:
        """Ends the interval of one second at `now`, and starts the next."""
        for key, served in self._tokens.items():
            self._sample_group(
                self._open_calls.get(key, {}).values(), served, now
            )
        self._tokens = {}

    def ratios(self) -> dict[str, float]:
        """Returns tokens received divided by the fair share, by organisation.

        Only organisations that had to wait are in it.
        """
        return {
            name: self._received[name] / fair
            for name, fair in self._fair_shares.items()
        }

    def _sample_group(self, open_calls, served, now: float) -> None:
        active = collections.Counter(
            call.request.organisation for call in open_calls
        )
        waiting = {
            call.request.organisation
            for call in open_calls
            if call.first_token_at is None
            and now - call.offered_at > MIN_WAIT_SECONDS
        }
        fair = sum(served.values()) / max(1, len(active | served.keys()))
        for name in waiting:
            self._received[name] += served[name]
            self._fair_shares[name] += min(
                fair, active[name] * self._tokens_per_call
            )


def _group(call: calls.Call) -> _Group:
    return call.request.target, call.request.rank
