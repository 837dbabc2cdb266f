"""Checks that no request is shed while one of a lower tier waits.

The rule holds for the requests of one target at the instances of one failure
domain that receive each other's digests. A request refused for load before its
latest start, after which even an idle endpoint could not answer it in time,
requires that no request of a lower tier waits at the instance that refuses it,
nor at a peer according to the peer's last digest. The digests do not count if a
peer has already refused the request.
"""

from cranberryglade import verdicts
from cranberryglade.scheduling import messages

LOAD_REASONS = (verdicts.Reason.SHED, verdicts.Reason.DEADLINE_CANNOT_BE_MET)


class SheddingChecker:
    """Checks the events and actions of the instances of a failure domain.

    It does not read the queues: a request counts as waiting from its submission
    until it is dispatched, delegated or finished.
    """

    def __init__(self, cannot_meet_deadline):
        self._cannot_meet_deadline = cannot_meet_deadline
        self._waiting = {}
        self._digests = {}
        self._declined_by_peer = set()
        self._delegated = {}
        self.violations = []

    def submitted(self, instance, request):
        self._waiting.setdefault(instance, {})[request.request_id] = request

    def digest_received(self, instance, peer, digests):
        worst_ranks = {digest.target: digest.worst_rank for digest in digests}
        self._digests.setdefault(instance, {})[peer] = worst_ranks

    def peer_gone(self, instance, peer):
        self._digests.get(instance, {}).pop(peer, None)

    def delegation_failed(self, instance, request_id):
        """Records that a request delegated to a peer waits at home again."""
        request = self._delegated.pop(request_id, None)
        if request is not None:
            self._declined_by_peer.add(request_id)
            self._waiting[instance][request_id] = request

    def actions_returned(self, instance, actions, now):
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
        if self._cannot_meet_deadline(request, now):
            return
        finished_ids = {action.request_id for action in finished}
        lower = [
            other.request_id
            for other in self._waiting[instance].values()
            if other.target == request.target
            and other.rank > request.rank
            and other.request_id not in finished_ids
        ]
        peers = [] if request.delegated else self._peers(instance, request)
        if lower or peers:
            self.violations.append((request, now, lower, peers))

    def _peers(self, instance, request):
        if request.request_id in self._declined_by_peer:
            return []
        return [
            name
            for name, worst_ranks in self._digests.get(instance, {}).items()
            if worst_ranks.get(request.target, -1) > request.rank
        ]
