"""Scheduler cores with fake endpoints, fake claim rows and a ledger."""

import collections
import dataclasses

from cranberryglade import exchanges
from cranberryglade import snapshots
from cranberryglade import verdicts
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler
from cranberryglade.tests import builders
from cranberryglade.tests import ledgers

ANSWER_LOST = verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
HOME_UNREACHABLE = verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE)
CONNECTION_REFUSED = verdicts.NotRun(verdicts.Reason.CONNECTION_REFUSED)
ENDPOINT_REFUSED = verdicts.NotRun(verdicts.Reason.ENDPOINT_REFUSED)
OUTCOME = messages.ClaimOutcome
DIGEST = messages.TargetDigest("assistant", 3, 0, -1, 0.0)


@dataclasses.dataclass(eq=False)
class Operation:
    """An action of an instance whose result is still to come.

    Attributes:
        home: the instance.
        action: the action of its core.
        state: "new", "running" or "token" for a dispatch, "reply" for an
            answer on its way back, "attached" while a peer works on it.
        cancelled: whether the instance ignores the result.
        verdict: the verdict in the reply.
    """

    home: "Instance"
    action: messages.Action
    state: str = "new"
    cancelled: bool = False
    verdict: verdicts.Verdict | None = None


class Instance:
    """One incarnation of an instance."""

    def __init__(self, domain, number):
        self.peer = builders.peer(
            f"entry-{domain}", incarnation=f"i{number}", failure_domain=domain
        )
        self.core = scheduler.Scheduler(self.peer)
        self.endpoint = builders.endpoint(
            f"engine-{domain}", failure_domain=domain, slots=1
        )
        self.requests = {}
        self.attached = collections.defaultdict(list)
        self.sequence = 0
        self.alive = True
        self.stopping = False

    def next_request_id(self):
        self.sequence += 1
        return f"{self.peer.home}.{self.sequence}.5167"


class Cluster:
    """Two instances in two failure domains, with their faults."""

    def __init__(self):
        self.ledger = ledgers.Ledger()
        self.now = 0.0
        self.operations = []
        self.claim_rows = {}
        self.late_claims = []
        self.past_events = []
        self.snapshots = {}
        self.tokens = {}
        self.submitted = []
        self.incarnations = 0
        self.homes = [self.start(domain) for domain in ("wien-a", "wien-b")]
        for home in self.homes:
            self.connect(home)

    def start(self, domain):
        self.incarnations += 1
        home = Instance(domain, self.incarnations)
        home.core.handle(messages.EndpointJoined(home.endpoint), self.now)
        return home

    def connect(self, home):
        for other in self.homes:
            if other is not home:
                for one, two in ((home, other), (other, home)):
                    reported = messages.PeerReported(two.peer, (DIGEST,))
                    self.handle(one, reported)

    def home_of(self, request_id):
        issuer, _ = messages.split_request_id(request_id)
        found = [h for h in self.homes if h.alive and h.peer.home == issuer]
        return found[0] if found else None

    def submit(self, home, key="", idempotent=False, streamed=False):
        request_id = home.next_request_id()
        later_is_more_urgent = 30 - home.sequence
        request = builders.request(
            request_id,
            key=key,
            idempotent=idempotent,
            streamed=streamed,
            deadline=self.now + later_is_more_urgent,
        )
        if not idempotent:
            self.ledger.at_most_once[request.request_id] = (
                key or request.request_id
            )
        self.submitted.append(request)
        joined = self.submit_to(home, request)
        if joined is not None:
            self.submitted.remove(request)

    def submit_to(self, home, request):
        """Submits a caller's request, new or repeated, to an instance."""
        token = self.tokens.get(request.request_id)
        if request.streamed and token:
            self.ledger.read_attempts[request.request_id].add(token)
        home.requests.setdefault(request.request_id, request)
        return self.handle(home, messages.Submitted(request))

    def handle(self, home, event):
        self.now += 0.001
        joined = None
        for action in home.core.handle(event, self.now):
            match action:
                case messages.AttachCaller():
                    joined = action
                case messages.Finish(request_id=request_id, verdict=verdict):
                    self.finish(home, request_id, verdict)
                case messages.CancelAttempt():
                    self.cancel(home, action)
                case messages.Fact() | messages.Reject():
                    pass
                case _:
                    self.start_operation(home, event, action)
        return joined

    def start_operation(self, home, event, action):
        if (
            home.stopping
            and isinstance(event, messages.Submitted)
            and not isinstance(action, messages.Relay)
        ):
            self.ledger.admitted_after_stop.append(action.request_id)
        if isinstance(action, messages.Relay):
            self.ledger.relayed_to[action.request_id] = action.holder
        if isinstance(action, messages.Dispatch):
            self.tokens.pop(action.request_id, None)
        self.operations.append(Operation(home, action))

    def cancel(self, home, action):
        for operation in self.operations:
            if (
                operation.home is home
                and isinstance(
                    operation.action, messages.Dispatch | messages.Delegate
                )
                and operation.action.request_id == action.request_id
            ):
                operation.cancelled = True

    def finish(self, home, request_id, verdict):
        for operation in home.attached.pop(request_id, []):
            operation.state, operation.verdict = "reply", verdict
        request = home.requests.get(request_id)
        if request is not None and not request.delegated:
            self.ledger.sent_verdicts[request_id].append(verdict)

    def report(self, operation, event):
        if operation in self.operations:
            self.operations.remove(operation)
        if operation.home.alive and not operation.cancelled:
            self.past_events.append((operation.home, event))
            self.handle(operation.home, event)

    def fail(self, operation, verdict):
        action = operation.action
        self.report(
            operation,
            messages.AttemptFailed(action.request_id, action.attempt, verdict),
        )

    def ready(self):
        return [o for o in self.operations if o.state != "attached"]

    def running(self):
        return [o for o in self.operations if o.state in ("running", "token")]

    def step(self, operation, choice):
        """Advances one operation; `choice` selects the outcome."""
        match operation:
            case Operation(action=messages.Claim()):
                self.step_claim(operation, choice % 4)
            case Operation(action=messages.Dispatch(), state="new"):
                self.step_dispatch(operation, choice % 4)
            case Operation(action=messages.Dispatch()):
                self.step_running(operation, choice % 4)
            case Operation(state="new"):
                self.step_to_peer(operation, choice % 4)
            case Operation(state="reply"):
                self.step_reply(operation, choice % 4)

    def step_claim(self, operation, choice):
        action = operation.action
        row = (action.key, action.request_id, action.expected_version)
        if choice == 3:
            self.late_claims.append(row)
        if choice >= 2:
            outcome = messages.ClaimSettled(
                action.request_id, OUTCOME.UNAVAILABLE
            )
        else:
            self.write_claim(*row)
            holder, version = self.claim_rows[action.key]
            won = holder == action.request_id
            outcome = messages.ClaimSettled(
                action.request_id,
                OUTCOME.WON if won else OUTCOME.LOST,
                holder,
                version,
            )
        self.report(operation, outcome)

    def write_claim(self, key, request_id, expected_version):
        _, version = self.claim_rows.get(key, ("", 0))
        if version == expected_version:
            self.claim_rows[key] = (request_id, version + 1)

    def step_dispatch(self, operation, choice):
        if choice == 3 or operation.cancelled and choice == 2:
            self.fail(operation, CONNECTION_REFUSED)
            return
        request_id = operation.action.request_id
        self.ledger.runs[request_id] += 1
        operation.state = "running"
        if choice == 2:
            self.ledger.refused.add(request_id)
            self.fail(operation, ENDPOINT_REFUSED)

    def step_running(self, operation, choice):
        action = operation.action
        if choice == 1:
            self.first_token(operation)
        elif choice == 2:
            self.fail(operation, ANSWER_LOST)
        elif choice == 3 and operation.state == "token":
            self.fail(operation, ENDPOINT_REFUSED)
        else:
            if not operation.cancelled:
                self.ledger.answered.add(action.request_id)
            self.report(
                operation,
                messages.Answered(action.request_id, action.attempt, 9),
            )

    def first_token(self, operation):
        action = operation.action
        if operation.cancelled or not operation.home.alive:
            return
        operation.state = "token"
        token = (operation.home.peer.home, action.attempt)
        event = messages.FirstToken(action.request_id, action.attempt)
        request = operation.home.requests[action.request_id]
        if not request.delegated:
            self.tokens[action.request_id] = token
            if any(
                other.streamed
                for other in self.submitted
                if other.request_id == action.request_id
            ):
                self.ledger.read_attempts[action.request_id].add(token)
        self.past_events.append((operation.home, event))
        self.handle(operation.home, event)

    def step_to_peer(self, operation, choice):
        action = operation.action
        if isinstance(action, messages.Relay):
            peer = self.home_of(action.holder)
        else:
            peer = self.home_of(f"{action.peer.home}.1.5167")
        if peer is None or choice == 3:
            self.fail(operation, self.unreachable_verdict(action))
            return
        request = dataclasses.replace(
            operation.home.requests[action.request_id], key="", streamed=True
        )
        operation.state = "attached"
        if isinstance(action, messages.Relay):
            request = dataclasses.replace(request, request_id=action.holder)
        else:
            request = dataclasses.replace(request, delegated=True)
        peer.attached[request.request_id].append(operation)
        joined = self.submit_to(peer, request)
        if joined is not None and joined.verdict is not None:
            peer.attached[request.request_id].remove(operation)
            operation.state, operation.verdict = "reply", joined.verdict

    def unreachable_verdict(self, action):
        if isinstance(action, messages.Delegate):
            return CONNECTION_REFUSED
        return self.snapshot_verdict(action.holder)

    def snapshot_verdict(self, request_id):
        issuer, _ = messages.split_request_id(request_id)
        snapshot = self.snapshots.get(issuer)
        if snapshot is None:
            return HOME_UNREACHABLE
        return snapshots.find(snapshot, request_id).verdict

    def step_reply(self, operation, choice):
        action, verdict = operation.action, operation.verdict
        if choice == 3:
            self.fail(operation, ANSWER_LOST)
        elif isinstance(verdict, verdicts.Ran):
            self.report(
                operation,
                messages.Answered(action.request_id, action.attempt, 9),
            )
        else:
            self.fail(operation, verdict)

    def crash(self, home, sent):
        """Kills an instance; `sent` lets its new operations start first."""
        for operation in [o for o in self.operations if o.home is home]:
            if sent and operation.state == "new":
                self.step(operation, 0)
        self.replace(home)

    def replace(self, home):
        home.alive = False
        self.operations = [o for o in self.operations if o.home is not home]
        for operations in home.attached.values():
            for operation in operations:
                operation.state, operation.verdict = "reply", ANSWER_LOST
        self.homes[self.homes.index(home)] = fresh = self.start(
            home.peer.failure_domain
        )
        self.connect(fresh)

    def stop(self, home):
        home.stopping = True
        self.handle(home, messages.StopRequested())

    def exit(self, home):
        """Ends a graceful stop once every request has its verdict."""
        if home.stopping and not home.core.unfinished:
            self.snapshots[home.peer.home] = snapshots.create(
                home.core, home.peer.home, exchanges.Exchanges()
            )
            self.replace(home)

    def run_to_end(self):
        """Completes all operations and returns requests without a verdict."""
        for _ in range(2000):
            ready = self.ready()
            if ready:
                self.step(ready[0], 0)
            elif self.without_verdict():
                self.now += 60.0
                for home in self.homes:
                    self.handle(home, messages.Tick())
            else:
                break
        return self.without_verdict()

    def without_verdict(self):
        return [
            request.request_id
            for request in self.submitted
            if self.home_of(request.request_id)
            and not self.ledger.sent_verdicts[request.request_id]
        ]
