"""The decisions of this instance as a bounded stream of facts."""

import collections

import msgspec
import reactivex
from reactivex import subject

from cranberryglade import metrics
from cranberryglade.scheduling import messages

KEPT_FACTS = 20_000


class FactLog:
    """Keeps the last facts and passes each on to those who watch."""

    __slots__ = ("_facts", "_metrics", "_subject")

    def __init__(self, sink: metrics.Metrics):
        self._facts: collections.deque[messages.Fact] = collections.deque(
            maxlen=KEPT_FACTS
        )
        self._subject: subject.Subject = subject.Subject()
        self._metrics = sink

    @property
    def stream(self) -> reactivex.Observable:
        """Facts as they come."""
        return self._subject

    def add(self, fact: messages.Fact) -> None:
        """Records a fact."""
        self._facts.append(fact)
        self._metrics.count(f"decision.{fact.decision.replace(' ', '_')}")
        if self._subject.observers:
            self._subject.on_next(fact)

    def about(self, request_id: str) -> list[messages.Fact]:
        """The facts kept about one request, oldest first."""
        return [f for f in self._facts if f.request_id == request_id]

    def latest(self, count: int) -> list[messages.Fact]:
        """The last facts, oldest first."""
        return list(self._facts)[-count:]


def encode(fact: messages.Fact) -> bytes:
    """Writes a fact as one line of JSON."""
    return msgspec.json.encode(fact)
