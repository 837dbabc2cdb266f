"""The decisions of this instance as a bounded stream of facts."""

import collections

import msgspec
import reactivex
from reactivex import subject

from cranberryglade import metrics
from cranberryglade.scheduling import messages

KEPT_REQUESTS = 10_000
KEPT_FACTS_OF_REQUEST = 50


class FactLog:
    """Keeps the facts of the last requests and passes each on to watchers."""

    __slots__ = ("_dropped", "_metrics", "_requests", "_subject")

    def __init__(self, sink: metrics.Metrics):
        self._requests: collections.OrderedDict[str, list[messages.Fact]] = (
            collections.OrderedDict()
        )
        self._subject: subject.Subject = subject.Subject()
        self._metrics = sink
        self._dropped = 0

    @property
    def stream(self) -> reactivex.Observable:
        """Facts as they come."""
        return self._subject

    @property
    def dropped(self) -> int:
        """How many facts have been forgotten for want of room."""
        return self._dropped

    def add(self, fact: messages.Fact) -> None:
        """Records a fact."""
        if fact.request_id:
            self._keep(fact)
        self._metrics.count(f"decision.{fact.decision.replace(' ', '_')}")
        if self._subject.observers:
            self._subject.on_next(fact)

    def about(self, request_id: str) -> list[messages.Fact]:
        """The facts kept about one request, oldest first."""
        return list(self._requests.get(request_id, ()))

    def _keep(self, fact: messages.Fact) -> None:
        kept = self._requests.setdefault(fact.request_id, [])
        if len(kept) < KEPT_FACTS_OF_REQUEST:
            kept.append(fact)
        else:
            self._dropped += 1
        if len(self._requests) > KEPT_REQUESTS:
            _, oldest = self._requests.popitem(last=False)
            self._dropped += len(oldest)


def encode(fact: messages.Fact) -> bytes:
    """Writes a fact as one line of JSON."""
    return msgspec.json.encode(fact)
