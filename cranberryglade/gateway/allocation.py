"""Acquires slots of endpoints for the requests of this instance.

One instance, the allocator, grants the slots of all endpoints to all
instances. No instance depends on it: if neither the allocator nor its
successor answers within a fraction of a second, the instance decides by itself,
from its own state.
"""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol

from cranberryglade import log
from cranberryglade.endpoint_lookup import lookup as endpoint_lookup
from cranberryglade.gateway import charges
from cranberryglade.gateway import conversions
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import final_usage
from cranberryglade.gateway import membership
from cranberryglade.gateway import mesh
from cranberryglade.gateway import messages
from cranberryglade.gateway import quotas
from cranberryglade.gateway import slots

ANSWER_TIMEOUT_SECONDS = 0.04
QUEUED_ANSWER_TIMEOUT_SECONDS = 0.15
MAX_UNANSWERED_REQUESTS = 2
SUSPECT_SECONDS = 0.5
MAX_ALLOCATORS_TRIED = 2
"""Number of allocators that are asked before an instance decides alone."""

HOLDER_TIMEOUT_SECONDS = 1.5
"""Slots of an instance that sent nothing for longer are freed."""

START_SPREAD_SECONDS = 2.0
"""Instances that started longer before this one know the usage before."""

MAX_QUOTA_RETRY_AFTER_SECONDS = 2.0

KNOWLEDGE_SECONDS = 0.1
"""For this long what is known of the usage of quotas is not gathered anew,
unless an instance begins or stops to report."""

TAKEOVER_SECONDS = 0.6
"""The instances report to a new allocator within this time. Until then, a
request waits that is refused only because they have not."""

TAKEOVER_RETRY_SECONDS = 0.05
"""Time between two attempts to charge such a request of the allocator."""

ENDPOINT_FAULT_OUTCOMES = frozenset(
    (
        messages.Outcome.REFUSED,
        messages.Outcome.OVERLOADED,
        messages.Outcome.UNREACHABLE,
        messages.Outcome.MISDIRECTED,
        messages.Outcome.LOST,
        messages.Outcome.CRASHED,
    )
)

EVIDENCE_OUTCOMES = frozenset(
    (messages.Outcome.SERVED, messages.Outcome.CRASHED)
)
"""What tells something of the parts of a request."""

logger = log.get_logger(__name__)

Yielder = Callable[[str], bool]
"""Asks the attempt with a slot, by the id of its slot request, to yield it;
returns whether it does."""


class Allocator(Protocol):
    """Decides where requests run."""

    async def acquire(self, request: messages.SlotRequest) -> messages.Decision:
        """Asks for a slot and waits for the decision."""

    def release(
        self,
        request: messages.SlotRequest,
        outcome: messages.Outcome,
        first_answer_seconds: float | None = None,
    ) -> None:
        """Releases the slot of a request after an attempt.

        Args:
            request: the request that was granted the slot.
            outcome: how the attempt ended.
            first_answer_seconds: seconds from its sending to its answer, or
                its stream's first events; None if it had none.
        """


@dataclasses.dataclass(slots=True)
class PendingSlotRequest:
    """A slot request that waits for a decision.

    Attributes:
        request: the request.
        future: is resolved with the decision.
        acknowledged: whether the allocator has queued the request since it
            was last sent.
    """

    request: messages.SlotRequest
    future: asyncio.Future
    acknowledged: bool = False


class SharedAllocator:
    """Acquires slots from the allocator, or acts as the allocator.

    Attributes:
        handed_over: is set when this instance stops, and another one allocates
            in its stead.
    """

    __slots__ = (
        "_charges",
        "_earlier_periods",
        "_finished",
        "_granted_by",
        "_holders_seen",
        "_knowledge",
        "_knowledge_at",
        "_allocating_since",
        "_mesh",
        "_name",
        "_pending",
        "_reporters",
        "_last_reported_to",
        "_lookup",
        "_settled",
        "_slots",
        "_yielder",
        "handed_over",
    )

    def __init__(
        self,
        name: str,
        own_slots: slots.SlotScheduler,
        charging: charges.Charges,
    ):
        """Initialises the allocator; `set_mesh` must be called before use.

        Args:
            name: name of this instance.
            own_slots: leases and queue of this instance.
            charging: charges requests to the quotas.
        """
        self._name = name
        self._slots = own_slots
        self._charges = charging
        self._allocating_since: float | None = None
        self._settled = asyncio.Event()
        self.handed_over = asyncio.Event()
        self._mesh: mesh.Mesh | None = None
        self._pending: dict[str, PendingSlotRequest] = {}
        self._granted_by: dict[str, str] = {}
        self._holders_seen: dict[str, float] = {}
        self._reporters: set[str] = set()
        self._earlier_periods: dict[str, tuple[final_usage.Period, ...]] = {}
        self._finished = False
        self._knowledge: charges.UsageKnowledge | None = None
        self._knowledge_at = 0.0
        self._last_reported_to = ""
        self._yielder: Yielder = lambda id_: False
        self._lookup: endpoint_lookup.EndpointLookup | None = None

    @property
    def is_allocating(self) -> bool:
        """Whether this instance is the allocator."""
        return self._allocating_since is not None

    def settle(self) -> None:
        """Lets requests that count against quotas proceed.

        Load pattern: all instances are killed while an organisation presses.
        Until an instance knows how many others there are, and what was used
        before, each would grant the organisation a quota of its own.
        """
        self._settled.set()

    def finish(self) -> None:
        """Denies all requests from now on, as their usage is not told."""
        self._finished = True

    def report_again(self) -> None:
        """Reports to the allocator soon, as more is to be reported."""
        self._last_reported_to = ""

    def set_mesh(self, instances: mesh.Mesh) -> None:
        """Connects it to the other instances."""
        self._mesh = instances
        self._slots.placing.distance.set_domains(instances.members.domain_of)

    def set_yielder(self, yielder: Yielder) -> None:
        """Sets what asks requests of this instance to yield their slots."""
        self._yielder = yielder

    def set_tolerance(self, tolerance: quotas.OverrunTolerance) -> None:
        """Sets by how much quotas may be overrun."""
        self._charges.set_tolerance(tolerance)

    def set_lookup(self, lookup: endpoint_lookup.EndpointLookup) -> None:
        """Sets what looks up granted endpoints that are not listed here."""
        self._lookup = lookup

    async def acquire(self, request: messages.SlotRequest) -> messages.Decision:
        """Asks for a slot and waits for the decision."""
        if request.organisation and request.cost:
            await self._settled.wait()
        pending = PendingSlotRequest(
            request, asyncio.get_running_loop().create_future()
        )
        self._pending[request.id] = pending
        asked: list[str] = []
        try:
            decision = await self._request_from_allocators(
                request, pending, asked
            )
            granter = self._incarnation_of(self._granted_by.get(request.id, ""))
            if decision is None:
                isolated = self._lacks_allocator(bool(asked))
                decision = await self._decide_locally(
                    request, pending, isolated
                )
                granter = (
                    charges.NO_ALLOCATOR if isolated else self._mesh.incarnation
                )
            await self._ensure_listed(decision)
            if self._finished:
                self._withdraw(request.id, asked)
                return messages.Denied(request.id, "stopping", 1.0)
            if isinstance(decision, messages.Granted):
                now = asyncio.get_running_loop().time()
                self._charges.record_usage(request, granter, now)
            return decision
        except asyncio.CancelledError:
            self._withdraw(request.id, asked)
            raise
        finally:
            self._pending.pop(request.id, None)

    async def _ensure_listed(self, decision: messages.Decision) -> None:
        granter = self._granted_by.get(decision.id)
        if self._lookup is None or granter is None:
            return
        match decision:
            case messages.Granted(endpoint=endpoint):
                await self._lookup.ensure_listed(endpoint, granter)

    def release(
        self,
        request: messages.SlotRequest,
        outcome: messages.Outcome,
        first_answer_seconds: float | None = None,
    ) -> None:
        """Releases the slot of a request; see `Allocator.release`."""
        now = asyncio.get_running_loop().time()
        id_, parts = request.id, request.parts
        granter = self._granted_by.pop(id_, self._name)
        if granter != self._name:
            told = list(parts) if self._tells_of_parts(parts, outcome) else []
            released = conversions.encode_release(
                id_, outcome, told, first_answer_seconds
            )
            self._mesh.send_to(granter, released)
        if outcome in EVIDENCE_OUTCOMES:
            self._tell_successor(granter, request, outcome)
        decides = self._name in (granter, self._mesh.allocator)
        if decides or outcome is messages.Outcome.SERVED:
            self._slots.record_evidence(id_, parts, outcome, now)
        self._free_slot(self._name, id_, outcome, now, first_answer_seconds)

    def _tell_successor(
        self,
        granter: str,
        request: messages.SlotRequest,
        outcome: messages.Outcome,
    ) -> None:
        """Tells the present allocator what an earlier one's grant showed."""
        allocator = self._mesh.allocator
        if allocator not in (granter, self._name):
            told = datagrams.Release(request.id, outcome, list(request.parts))
            self._mesh.send_to(allocator, told)

    def _tells_of_parts(
        self, parts: tuple[str, ...], outcome: messages.Outcome
    ) -> bool:
        # The granter mostly knows the parts from the slot request.
        if outcome is messages.Outcome.SERVED:
            return self._slots.suspects(parts)
        return outcome is messages.Outcome.CRASHED

    def report(self, allocator: membership.Member) -> datagrams.Report:
        """Returns this instance's leases, and usage unknown to `allocator`."""
        held = [
            datagrams.HeldSlot(each.id, each.endpoint)
            for each in self._slots.leases_of(self._name)
        ]
        now = asyncio.get_running_loop().time()
        incarnation = allocator.incarnation
        return datagrams.Report(
            held,
            self._charges.usage_not_granted_by(incarnation, now),
            final_usage.encode_periods(
                self._charges.earlier_periods,
                self._charges.window_seconds,
                now,
            ),
        )

    def tick(self, now: float) -> None:
        """Expires waits, pending charges, and leases of unreachable instances.

        Also updates whether this instance is the allocator.
        """
        allocator = self._mesh.allocator
        self._update_role(allocator == self._name, now)
        self._send_first_report(allocator)
        self._slots.limit_share = self._limit_share(now)
        for holder, seen in list(self._holders_seen.items()):
            if now - seen > HOLDER_TIMEOUT_SECONDS:
                del self._holders_seen[holder]
                self._forget_reporter(holder)
                self.deliver_decisions(self._slots.remove_holder(holder, now))
        self.deliver_decisions(self._slots.tick(now))
        self._charges.expire(now)
        counted = self._slots.placing.take_summary(now)
        if counted is not None:
            logger.info("placement.counted", **dataclasses.asdict(counted))

    def deliver_decisions(
        self, decisions: list[endpoint_states.SlotDecision]
    ) -> None:
        """Settles charges and delivers decisions to those that asked."""
        for slot_decision in decisions:
            match slot_decision.result:
                case messages.Granted(id=id_):
                    self._charges.make_final(id_)
                case messages.Denied(id=id_):
                    self._charges.refund(id_)
                case messages.Preempted(id=id_, endpoint=endpoint):
                    logger.info(
                        "slot.preempted",
                        need=id_,
                        endpoint=endpoint,
                        holder=slot_decision.holder,
                    )
            if slot_decision.holder == self._name:
                self._deliver_here(slot_decision.result)
            else:
                self._mesh.send_to(
                    slot_decision.holder,
                    conversions.encode_decision(slot_decision.result),
                )

    def receive(self, sender: str, message: datagrams.Datagram) -> None:
        """Handles a datagram from another instance."""
        now = asyncio.get_running_loop().time()
        match message:
            case datagrams.Ping(name=name, report=None):
                # It reports to another allocator, which may grant it quota.
                self._forget_reporter(name)
            case datagrams.Ping(name=name, report=report):
                self._holders_seen[name] = now
                self._record_reporter(name, report, now)
                held = [messages.Granted(h.id, h.endpoint) for h in report.held]
                self._charges.record_report(
                    name, quotas.decode_usage(report.usage, now)
                )
                self.deliver_decisions(
                    self._slots.apply_report(name, held, now)
                )
            case datagrams.SlotRequest():
                self._holders_seen.setdefault(message.name, now)
                self._handle_slot_request(message, now)
            case datagrams.Release(id=id_, outcome=ended):
                self._slots.withdraw(id_)
                self._charges.refund(id_)
                parts = tuple(message.parts)
                self._slots.record_evidence(id_, parts, ended, now)
                first_answer = conversions.decode_first_answer(message)
                self._free_slot(sender, id_, ended, now, first_answer)
            case datagrams.Queued(id=id_):
                if id_ in self._pending:
                    self._pending[id_].acknowledged = True
            case datagrams.Grant():
                self._handle_grant(sender, conversions.decode_grant(message))
            case datagrams.Deny():
                self._deliver(conversions.decode_denial(message))
            case datagrams.Preempt(id=id_):
                asked_by_granter = self._granted_by.get(id_) == sender
                if not asked_by_granter or not self._yielder(id_):
                    self._mesh.send_to(sender, datagrams.Kept(id_))
            case datagrams.Kept(id=id_):
                self.deliver_decisions(self._slots.keep(sender, id_, now))

    def _record_reporter(
        self, name: str, report: datagrams.Report, now: float
    ) -> None:
        earlier = final_usage.decode_periods(report.earlier, now)
        begins = bool(earlier) != (name in self._earlier_periods)
        if earlier:
            self._earlier_periods[name] = earlier
        else:
            self._earlier_periods.pop(name, None)
        if begins or name not in self._reporters:
            self._reporters.add(name)
            self._knowledge = None

    async def _request_from_allocators(
        self,
        request: messages.SlotRequest,
        pending: PendingSlotRequest,
        asked: list[str],
    ) -> messages.Decision | None:
        """Asks the allocator for a slot, then its successor.

        Args:
            request: the request.
            pending: receives the decision.
            asked: extended by the names of the allocators that are asked.

        Returns:
            The decision; None if this instance must decide.
        """
        while len(asked) < MAX_ALLOCATORS_TRIED:
            allocator = self._mesh.allocator
            if allocator == self._name or allocator in asked:
                return None
            asked.append(allocator)
            decision = await self._request_from(allocator, request, pending)
            if decision is not None:
                return decision
            abandoned = messages.Outcome.ABANDONED
            self._mesh.send_to(
                allocator, datagrams.Release(request.id, abandoned)
            )
        return None

    async def _request_from(
        self,
        allocator: str,
        request: messages.SlotRequest,
        pending: PendingSlotRequest,
    ) -> messages.Decision | None:
        loop = asyncio.get_running_loop()
        unanswered = 0
        timeout = ANSWER_TIMEOUT_SECONDS
        self._send_first_report(allocator)
        while unanswered < MAX_UNANSWERED_REQUESTS:
            pending.acknowledged = False
            datagram = conversions.encode_slot_request(
                self._name, request, loop.time()
            )
            self._mesh.send_to(allocator, datagram)
            await asyncio.wait([pending.future], timeout=timeout)
            if pending.future.done():
                return pending.future.result()
            if pending.acknowledged:
                unanswered = 0
                timeout = QUEUED_ANSWER_TIMEOUT_SECONDS
            else:
                unanswered += 1
        self._mesh.members.suspect(allocator, loop.time() + SUSPECT_SECONDS)
        logger.warning("allocator.silent", allocator=allocator, need=request.id)
        return None

    def _send_first_report(self, allocator: str) -> None:
        """Reports to a new allocator before the first slot request to it."""
        member = self._mesh.members.get(allocator)
        if member is not None and allocator != self._last_reported_to:
            self._last_reported_to = allocator
            self._mesh.ping(member)

    async def _decide_locally(
        self,
        request: messages.SlotRequest,
        pending: PendingSlotRequest,
        isolated: bool,
    ) -> messages.Decision:
        now = asyncio.get_running_loop().time()
        if isolated:
            instance_count = self._mesh.members.instance_count(now)
            wait = self._charges.charge_isolated(request, instance_count, now)
            denied = None
            if wait > 0:
                fields = self._charges.isolated_log_fields(
                    request, instance_count, now
                )
                denied = _make_refusal(request, wait, fields)
        else:
            denied = await self._charge_own(request)
            now = asyncio.get_running_loop().time()
        if denied is not None:
            return denied
        self.deliver_decisions(
            self._slots.request_slot(self._name, request, now)
        )
        return await pending.future

    def _usage_knowledge(self, now: float) -> charges.UsageKnowledge:
        fresh = now - self._knowledge_at < KNOWLEDGE_SECONDS
        if self._knowledge is None or not fresh:
            self._knowledge = self._gather_knowledge(now)
            self._knowledge_at = now
        return self._knowledge

    def _gather_knowledge(self, now: float) -> charges.UsageKnowledge:
        allocating = 0.0
        if self._allocating_since is not None:
            allocating = now - self._allocating_since
        instance_count = self._mesh.members.instance_count(now)
        if self._charges.has_stored_usage:
            own_age, *ages = self._mesh.members.uptimes(self._reporters, now)
            older = sum(age > own_age + START_SPREAD_SECONDS for age in ages)
            if 2 * older >= instance_count:
                self._charges.forget_stored()
        return charges.UsageKnowledge(
            allocating_seconds=allocating,
            instance_count=instance_count,
            reporter_ages=tuple(self._known_seconds(now)),
            has_stored_usage=self._charges.has_stored_usage,
        )

    def _known_seconds(self, now: float) -> list[float]:
        """Returns the time of known usage of this instance, then of others."""
        members = self._mesh.members
        names = [name for name in self._reporters if members.get(name)]
        own_uptime, *uptimes = members.uptimes(names, now)
        periods = [self._charges.earlier_periods]
        periods += [self._earlier_periods.get(name, ()) for name in names]
        window = self._charges.window_seconds
        return [
            final_usage.known_seconds_of(uptime, earlier, window, now)
            for uptime, earlier in zip(
                (own_uptime, *uptimes), periods, strict=True
            )
        ]

    def _forget_reporter(self, name: str) -> None:
        """Counts the usage at an instance as unknown from now on."""
        self._earlier_periods.pop(name, None)
        if name in self._reporters:
            self._reporters.discard(name)
            self._knowledge = None

    def _update_role(self, allocating: bool, now: float) -> None:
        self._slots.set_allocating(allocating, now)
        if not allocating:
            if self._allocated_long_until(now) and self._mesh.stopping:
                self.handed_over.set()
            self._allocating_since = None
            self._knowledge = None
            return
        if self._allocating_since is None:
            self._allocating_since = now
            self._knowledge = None
            self._reporters.clear()
            self._earlier_periods.clear()
            logger.info("allocator.begun", held=self._slots.lease_count)
        usage = self._charges.usage_not_granted_by(self._mesh.incarnation, now)
        self._charges.record_report(self._name, quotas.decode_usage(usage, now))

    def _allocated_long_until(self, now: float) -> bool:
        since = self._allocating_since
        return since is not None and now - since >= TAKEOVER_SECONDS

    def _limit_share(self, now: float) -> float:
        """Returns the share of endpoints' limits that is granted here.

        If the network is partitioned, each side has an allocator. What an
        instance grants without one is its own part.
        """
        members = self._mesh.members
        if self._allocating_since is None:
            return 1 / members.instance_count(now)
        if not members.full_mesh:
            return 1.0
        reachable = members.reachable_count(now)
        return min(1.0, reachable / members.instance_count(now))

    def _lacks_allocator(self, unanswered: bool) -> bool:
        return unanswered and self._mesh.allocator != self._name

    def _incarnation_of(self, name: str) -> str:
        member = self._mesh.members.get(name)
        return (
            member.incarnation if member is not None else charges.NO_ALLOCATOR
        )

    def _withdraw(self, id_: str, asked: list[str]) -> None:
        self._slots.withdraw(id_)
        self._charges.refund(id_)
        abandoned = messages.Outcome.ABANDONED
        self._granted_by.pop(id_, None)
        for name in asked:
            self._mesh.send_to(name, datagrams.Release(id_, abandoned))
        now = asyncio.get_running_loop().time()
        self.deliver_decisions(self._slots.release(id_, abandoned, now))

    def _handle_slot_request(
        self, datagram: datagrams.SlotRequest, now: float
    ) -> None:
        request = conversions.decode_slot_request(datagram, now)
        known = self._slots.contains(request.id)
        wait = 0.0 if known else self._charge(request, now)
        if wait > 0 and self._awaits_reports(request, now):
            # It is sent again.
            self._mesh.send_to(datagram.name, datagrams.Queued(request.id))
            return
        if wait > 0:
            denied = self._over_quota(request, wait, now)
            self._mesh.send_to(
                datagram.name, conversions.encode_decision(denied)
            )
            return
        decisions = self._slots.request_slot(datagram.name, request, now)
        self.deliver_decisions(decisions)
        if not any(
            slot_decision.result.id == request.id for slot_decision in decisions
        ):
            self._mesh.send_to(datagram.name, datagrams.Queued(request.id))

    async def _charge_own(
        self, request: messages.SlotRequest
    ) -> messages.Denied | None:
        """Charges a request of this instance; returns why it is refused."""
        now = asyncio.get_running_loop().time
        while (wait := self._charge(request, now())) > 0:
            if not self._awaits_reports(request, now()):
                return self._over_quota(request, wait, now())
            await asyncio.sleep(TAKEOVER_RETRY_SECONDS)
        return None

    def _charge(self, request: messages.SlotRequest, now: float) -> float:
        return self._charges.charge(request, self._usage_knowledge(now), now)

    def _awaits_reports(
        self, request: messages.SlotRequest, now: float
    ) -> bool:
        """Returns whether reports that are on their way may admit a request.

        Load pattern: all requests of the moment in which the allocator changes
        ask the new one, which knows of nobody's usage yet.
        """
        if self._allocating_since is None:
            # It becomes the allocator with its next tick.
            begins = self._mesh.allocator == self._name
        else:
            begins = now - self._allocating_since < TAKEOVER_SECONDS
        in_time = now + QUEUED_ANSWER_TIMEOUT_SECONDS < request.wait_until
        return begins and in_time and self._charges.fits(request, now)

    def _over_quota(
        self, request: messages.SlotRequest, wait: float, now: float
    ) -> messages.Denied:
        knowledge = self._usage_knowledge(now)
        fields = self._charges.log_fields(request, knowledge, now)
        return _make_refusal(request, wait, fields)

    def _free_slot(
        self,
        holder: str,
        id_: str,
        outcome: messages.Outcome,
        now: float,
        first_answer_seconds: float | None,
    ) -> None:
        endpoint = self._slots.endpoint_of(id_)
        if (
            endpoint
            and outcome in ENDPOINT_FAULT_OUTCOMES
            and self._allocating_since is not None
        ):
            logger.info(
                "endpoint.doubted",
                endpoint=endpoint,
                outcome=outcome.value,
                holder=holder,
            )
        self.deliver_decisions(
            self._slots.release(id_, outcome, now, first_answer_seconds)
        )

    def _handle_grant(self, sender: str, granted: messages.Granted) -> None:
        pending = self._pending.get(granted.id)
        if granted.id in self._granted_by:
            return
        if pending is None or pending.future.done():
            self._mesh.send_to(
                sender,
                datagrams.Release(granted.id, messages.Outcome.ABANDONED),
            )
            return
        now = asyncio.get_running_loop().time()
        self._granted_by[granted.id] = sender
        self._slots.register_lease(
            self._name, granted.id, pending.request, granted.endpoint, now
        )
        self._deliver(granted)

    def _deliver_here(
        self, result: messages.Decision | messages.Preempted
    ) -> None:
        match result:
            case messages.Preempted(id=id_):
                if not self._yielder(id_):
                    now = asyncio.get_running_loop().time()
                    kept = self._slots.keep(self._name, id_, now)
                    self.deliver_decisions(kept)
            case _:
                self._deliver(result)

    def _deliver(self, decision: messages.Decision) -> None:
        pending = self._pending.get(decision.id)
        if pending is not None and not pending.future.done():
            pending.future.set_result(decision)


def _make_refusal(
    request: messages.SlotRequest, wait: float, fields: dict[str, float | str]
) -> messages.Denied:
    retry_after = min(MAX_QUOTA_RETRY_AFTER_SECONDS, wait)
    logger.info("quota.exceeded", id=request.id, **fields)
    return messages.Denied(request.id, messages.OVER_QUOTA, retry_after)
