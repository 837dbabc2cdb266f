"""Policies that keep no queue: every request goes to an endpoint at once."""

import itertools

from cranberryglade import verdicts
from cranberryglade.scheduling import claims
from cranberryglade.scheduling import decisions
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import lives
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools
from cranberryglade.scheduling.baselines import base

NO_ENDPOINT_RETRY_SECONDS = 1.0


class _SpreadPlacement(base.BaselinePlacement):
    """Dispatches on arrival; the queue of the engine does the rest."""

    __slots__ = ("_turns",)

    def __init__(
        self,
        collected: decisions.Decisions,
        known: fleet.Fleet,
        living: lives.Lives,
    ):
        super().__init__(collected, known, living)
        self._turns = itertools.count()

    def digests(self) -> tuple[messages.TargetDigest, ...]:
        """Nothing: the instances know nothing of each other."""
        return ()

    def next_wake(self) -> float | None:
        """Nothing is ever due."""
        return None

    def admit(self, record: claims.Record) -> None:
        """Dispatches the request, or refuses it for want of endpoints."""
        target = record.request.target
        members = self._fleet.pool(target).members.values()
        live = [member for member in members if not member.leaving]
        if not live:
            self._lives.refuse(
                record, verdicts.Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY_SECONDS
            )
            return
        member = self._choose(live)
        member.outstanding += 1
        self._lives.dispatch(record, member.endpoint)

    readmit = admit

    def withdraw(self, request: messages.Request) -> bool:
        """Nothing ever waits."""
        del request
        return False

    def run(self) -> None:
        """Does nothing."""

    def _choose(self, live: list[pools.Member]) -> pools.Member:
        raise NotImplementedError


class RoundRobinPlacement(_SpreadPlacement):
    """Takes the endpoints in turn."""

    __slots__ = ()

    def _choose(self, live: list[pools.Member]) -> pools.Member:
        return live[next(self._turns) % len(live)]


class LeastOutstandingPlacement(_SpreadPlacement):
    """Takes the endpoint with the fewest requests sent and not ended."""

    __slots__ = ()

    def _choose(self, live: list[pools.Member]) -> pools.Member:
        return min(live, key=lambda m: (m.outstanding, m.endpoint.name))
