"""Record of runs and verdicts, kept outside the scheduler cores."""

import collections

from cranberryglade import verdicts


class ViolationError(AssertionError):
    """A property was violated."""


class Ledger:
    """Runs and verdicts of requests, to check the properties against.

    Attributes:
        at_most_once: by request id, the key or else the id of each request
            that must not run twice.
        refused: ids of requests that an endpoint refused.
        runs: number of dispatches that an endpoint received, by request id.
        answered: ids of requests with a whole answer.
        relayed_to: id of the request that holds the key, by request id.
        sent_verdicts: verdicts sent to the caller, by request id.
        read_attempts: attempts whose tokens the caller may have read, by
            request id.
        admitted_after_stop: ids of requests admitted after a stop.
    """

    def __init__(self):
        self.at_most_once = {}
        self.refused = set()
        self.runs = collections.Counter()
        self.answered = set()
        self.relayed_to = {}
        self.sent_verdicts = collections.defaultdict(list)
        self.read_attempts = collections.defaultdict(set)
        self.admitted_after_stop = []

    def check(self):
        found = self.violations()
        if found:
            raise ViolationError("; ".join(found))

    def violations(self):
        runs = collections.Counter()
        for request_id, logical in self.at_most_once.items():
            if request_id in self.refused:
                logical = request_id
            runs[logical] += self.runs[request_id]
        found = [
            f"{logical} ran {n} times" for logical, n in runs.items() if n > 1
        ]
        for request_id, sent in self.sent_verdicts.items():
            ran = self.runs[request_id] and request_id not in self.refused
            if ran and any(
                isinstance(verdict, verdicts.NotRun) for verdict in sent
            ):
                found.append(f"{request_id} ran, but was told not run")
            if len(sent) > 1:
                found.append(f"{request_id} was told {sent}")
            holder = self.relayed_to.get(request_id)
            if verdicts.Ran() in sent and not (
                {request_id, holder} & self.answered
            ):
                found.append(f"{request_id} was told ran without an answer")
        for request_id, attempts in self.read_attempts.items():
            if len(attempts) > 1:
                found.append(f"{request_id} was read from {attempts}")
        for request_id in self.admitted_after_stop:
            found.append(f"{request_id} was admitted after the stop")
        return found
