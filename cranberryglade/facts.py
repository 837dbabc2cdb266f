"""Retains and publishes the decisions of this instance as facts."""

import collections

import msgspec
import reactivex
from reactivex import subject

from cranberryglade import metrics
from cranberryglade.scheduling import messages

MAXIMUM_REQUESTS = 10_000
MAXIMUM_FACTS_PER_REQUEST = 50


class FactLog:
    """Retains the facts of recent requests and publishes each new fact.

    At most MAXIMUM_FACTS_PER_REQUEST facts are retained for each of the last
    MAXIMUM_REQUESTS requests, in the order of their first facts.
    """

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
        """Facts as they are added."""
        return self._subject

    @property
    def dropped(self) -> int:
        """Number of facts not retained, or evicted, because of the limits."""
        return self._dropped

    def add(self, fact: messages.Fact) -> None:
        """Retains a fact, counts its decision and publishes it.

        Facts that concern no request are not retained.
        """
        if fact.request_id:
            self._retain(fact)
        self._metrics.count(f"decision.{fact.decision.replace(' ', '_')}")
        if self._subject.observers:
            self._subject.on_next(fact)

    def facts_of(self, request_id: str) -> list[messages.Fact]:
        """Returns the facts retained for a request, oldest first."""
        return list(self._requests.get(request_id, ()))

    def _retain(self, fact: messages.Fact) -> None:
        request_facts = self._requests.setdefault(fact.request_id, [])
        if len(request_facts) < MAXIMUM_FACTS_PER_REQUEST:
            request_facts.append(fact)
        else:
            self._dropped += 1
        if len(self._requests) > MAXIMUM_REQUESTS:
            _, oldest = self._requests.popitem(last=False)
            self._dropped += len(oldest)


def encode(fact: messages.Fact) -> bytes:
    """Returns a fact as JSON, without a line feed."""
    return msgspec.json.encode(fact)
