"""Checks from outside that no higher tier is shed before a lower one.

The rule, for requests of one target at the instances of one failure domain that
hear each other: when a request is refused for load before its latest start,
which is the moment when even an idle endpoint could not answer it in time, no
request of a lower tier waits at the instance that refuses it, nor at a peer by
its last digest, unless a peer has already refused it.
"""

from cranberryglade import verdicts
from cranberryglade.scheduling import messages

LOAD_REASONS = (verdicts.Reason.SHED, verdicts.Reason.DEADLINE)


class SheddingChecker:
    """Follows the events and actions of the instances of a domain.

    Knows nothing of the queues: a request waits from its submission until it is
    dispatched, delegated or finished.
    """

    def __init__(self, hopeless):
        self._hopeless = hopeless
        self._waiting = {}
        self._digests = {}
        self._refused_by_peer = set()
        self._delegated = {}
        self.violations = []

    def submitted(self, instance, request):
        self._waiting.setdefault(instance, {})[request.request_id] = request

    def heard(self, instance, peer, digests):
        worst = {digest.target: digest.worst_rank for digest in digests}
        self._digests.setdefault(instance, {})[peer] = worst

    def lost(self, instance, peer):
        self._digests.get(instance, {}).pop(peer, None)

    def returned(self, instance, request_id):
        """A peer refused it, so it waits at its home again."""
        request = self._delegated.pop(request_id, None)
        if request is not None:
            self._refused_by_peer.add(request_id)
            self._waiting[instance][request_id] = request

    def acted(self, instance, actions, now):
        waiting = self._waiting.setdefault(instance, {})
        finished = [a for a in actions if isinstance(a, messages.Finish)]
        for action in finished:
            request = waiting.pop(action.request_id, None)
            if request is not None:
                self._check(instance, request, action.verdict, now, finished)
        for action in actions:
            match action:
                case messages.Dispatch(request_id=request_id):
                    waiting.pop(request_id, None)
                case messages.Delegate(request_id=request_id):
                    self._delegated[request_id] = waiting.pop(request_id)

    def _check(self, instance, request, verdict, now, finished):
        match verdict:
            case verdicts.NotRun(reason=reason) if reason in LOAD_REASONS:
                pass
            case _:
                return
        if self._hopeless(request, now):
            return
        also = {action.request_id for action in finished}
        lower = [
            other.request_id
            for other in self._waiting[instance].values()
            if other.target == request.target
            and other.rank > request.rank
            and other.request_id not in also
        ]
        peers = [] if request.delegated else self._peers(instance, request)
        if lower or peers:
            self.violations.append((request, now, lower, peers))

    def _peers(self, instance, request):
        if request.request_id in self._refused_by_peer:
            return []
        return [
            name
            for name, worst in self._digests.get(instance, {}).items()
            if worst.get(request.target, -1) > request.rank
        ]
