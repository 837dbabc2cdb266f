"""What ran and what callers were told, counted outside the cores."""

import collections

from cranberryglade import verdicts


class ViolationError(AssertionError):
    """A property does not hold."""


class Ledger:
    """Counts from outside the cores what ran and what callers were told."""

    def __init__(self):
        self.once = {}
        self.denied = set()
        self.runs = collections.Counter()
        self.answered = set()
        self.relayed_to = {}
        self.told = collections.defaultdict(list)
        self.read = collections.defaultdict(set)
        self.admitted_after_stop = []

    def check(self):
        found = self.violations()
        if found:
            raise ViolationError("; ".join(found))

    def violations(self):
        runs = collections.Counter()
        for request_id, logical in self.once.items():
            if request_id in self.denied:
                logical = request_id
            runs[logical] += self.runs[request_id]
        found = [
            f"{logical} ran {n} times" for logical, n in runs.items() if n > 1
        ]
        for request_id, said in self.told.items():
            ran = self.runs[request_id] and request_id not in self.denied
            if ran and any(
                isinstance(verdict, verdicts.NotRun) for verdict in said
            ):
                found.append(f"{request_id} ran, but was told not run")
            if len(said) > 1:
                found.append(f"{request_id} was told {said}")
            holder = self.relayed_to.get(request_id)
            if verdicts.Ran() in said and not (
                {request_id, holder} & self.answered
            ):
                found.append(f"{request_id} was told ran without an answer")
        for request_id, attempts in self.read.items():
            if len(attempts) > 1:
                found.append(f"{request_id} was read from {attempts}")
        for request_id in self.admitted_after_stop:
            found.append(f"{request_id} was admitted after the stop")
        return found
