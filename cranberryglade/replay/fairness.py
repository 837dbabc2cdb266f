"""What each organisation gets while it has work waiting."""

import collections

from cranberryglade.replay import calls

PATIENCE_SECONDS = 0.5

_Class = tuple[str, int]


class Shares:
    """Compares served tokens with an equal share, second by second.

    Organisations compete within one tier of one target. A second counts for an
    organisation if one of its calls has waited half a second for its first
    token; its fair share is the tokens of that second divided by the number of
    organisations that had calls open, but no more than its open calls could
    get if all of them ran.
    """

    __slots__ = ("_fair", "_got", "_open", "_tokens", "_tokens_per_call")

    def __init__(self, tokens_per_call: float):
        self._tokens_per_call = tokens_per_call
        self._open: dict[_Class, dict[int, calls.Call]] = {}
        self._tokens: dict[_Class, collections.Counter[str]] = {}
        self._got: collections.Counter[str] = collections.Counter()
        self._fair: collections.Counter[str] = collections.Counter()

    def offered(self, call: calls.Call) -> None:
        """A call begins."""
        self._open.setdefault(_class(call), {})[id(call)] = call

    def ended(self, call: calls.Call) -> None:
        """A call has its outcome."""
        self._open[_class(call)].pop(id(call), None)

    def token(self, call: calls.Call) -> None:
        """A call got a token."""
        counter = self._tokens.setdefault(_class(call), collections.Counter())
        counter[call.request.organisation] += 1

    def sample(self, now: float) -> None:
        """Closes one second."""
        for key, served in self._tokens.items():
            self._sample(self._open.get(key, {}).values(), served, now)
        self._tokens = {}

    def ratios(self) -> dict[str, float]:
        """Share got of the fair share, by organisation that had to wait."""
        return {
            name: self._got[name] / fair for name, fair in self._fair.items()
        }

    def _sample(self, open_calls, served, now: float) -> None:
        active = collections.Counter(
            call.request.organisation for call in open_calls
        )
        waiting = {
            call.request.organisation
            for call in open_calls
            if call.first_at is None
            and now - call.offered_at > PATIENCE_SECONDS
        }
        fair = sum(served.values()) / max(1, len(active | served.keys()))
        for name in waiting:
            self._got[name] += served[name]
            self._fair[name] += min(fair, active[name] * self._tokens_per_call)


def _class(call: calls.Call) -> _Class:
    return call.request.target, call.request.rank
