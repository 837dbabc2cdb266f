"""Gets slots of endpoints for the requests of this instance.

One instance, the allocator, grants the slots of all endpoints for all
instances. Any instance does without it at once: when the allocator does not
answer within a moment, the request is placed by what is known here.
"""

import asyncio
import dataclasses
from typing import Protocol

from cranberryglade import log
from cranberryglade.gateway import charges
from cranberryglade.gateway import conversions
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import members
from cranberryglade.gateway import mesh
from cranberryglade.gateway import messages
from cranberryglade.gateway import places
from cranberryglade.gateway import quotas
from cranberryglade.gateway import slots

ANSWER_SECONDS = 0.04
QUEUED_ANSWER_SECONDS = 0.15
SILENT_ASKS = 2
SUSPECT_SECONDS = 0.5
ALLOCATORS_ASKED = 2
"""So many are asked before an instance decides alone."""

HOLDER_SECONDS = 1.5
"""Slots of an instance that was silent for longer are free."""

LONGEST_QUOTA_RETRY_SECONDS = 2.0

DOUBTS = frozenset(
    (
        messages.Outcome.REFUSED,
        messages.Outcome.UNREACHABLE,
        messages.Outcome.MISDIRECTED,
        messages.Outcome.LOST,
    )
)

logger = log.get_logger(__name__)


class Allocator(Protocol):
    """Whoever decides where requests run."""

    async def acquire(self, need: messages.Need) -> messages.Decision:
        """Waits for a slot."""

    def release(self, id_: str, outcome: messages.Outcome) -> None:
        """Gives a slot back."""


@dataclasses.dataclass(slots=True)
class Pending:
    """A request that waits for a decision.

    Attributes:
        need: what was asked.
        future: gets the decision.
        acknowledged: whether the allocator has answered since the last ask.
    """

    need: messages.Need
    future: asyncio.Future
    acknowledged: bool = False


class SharedAllocator:
    """Asks the allocator, or is it."""

    __slots__ = (
        "_charges",
        "_granted_by",
        "_holders",
        "_leading_since",
        "_mesh",
        "_name",
        "_pending",
        "_reported",
        "_reported_to",
        "_slots",
    )

    def __init__(
        self,
        name: str,
        own: slots.Slots,
        charging: charges.Charges,
    ):
        """Sets it up.

        Args:
            name: this instance.
            own: the slots as they are known here.
            charging: counts against the quotas.
        """
        self._name = name
        self._slots = own
        self._charges = charging
        self._leading_since: float | None = None
        self._mesh: mesh.Mesh | None = None
        self._pending: dict[str, Pending] = {}
        self._granted_by: dict[str, str] = {}
        self._holders: dict[str, float] = {}
        self._reported: set[str] = set()
        self._reported_to = ""

    def join(self, joined: mesh.Mesh) -> None:
        """Begins to work with the other instances."""
        self._mesh = joined

    def tolerate(self, tolerance: quotas.Tolerance) -> None:
        """Takes in by how much quotas may be exceeded."""
        self._charges.tolerate(tolerance)

    async def acquire(self, need: messages.Need) -> messages.Decision:
        """Waits for a slot."""
        pending = Pending(need, asyncio.get_running_loop().create_future())
        self._pending[need.id] = pending
        asked: list[str] = []
        try:
            decision = await self._ask_some(need, pending, asked)
            granter = self._life_of(self._granted_by.get(need.id, ""))
            if decision is None:
                alone = self._decides_alone(bool(asked))
                decision = await self._decide_here(need, pending, alone)
                granter = charges.NOBODY if alone else self._mesh.life
            if isinstance(decision, messages.Granted):
                now = asyncio.get_running_loop().time()
                self._charges.note(need, granter, now)
            return decision
        except asyncio.CancelledError:
            self._withdraw(need.id, asked)
            raise
        finally:
            self._pending.pop(need.id, None)

    def release(self, id_: str, outcome: messages.Outcome) -> None:
        """Gives a slot back."""
        now = asyncio.get_running_loop().time()
        granter = self._granted_by.pop(id_, self._name)
        if granter != self._name:
            self._mesh.send_to(granter, datagrams.Release(id_, outcome.value))
        self._released(self._name, id_, outcome, now)

    def report(self, allocator: members.Member) -> datagrams.Report:
        """What the allocator must know of this instance's requests."""
        held = [
            datagrams.Held(each.id, each.endpoint)
            for each in self._slots.held_by(self._name)
        ]
        now = asyncio.get_running_loop().time()
        life = allocator.incarnation
        return datagrams.Report(held, self._charges.unknown_to(life, now))

    def tick(self, now: float) -> None:
        """Ends waits that are over and frees what silent instances held."""
        self._lead(self._mesh.allocator == self._name, now)
        for holder, heard in list(self._holders.items()):
            if now - heard > HOLDER_SECONDS:
                del self._holders[holder]
                self._reported.discard(holder)
                self.settle(self._slots.forget(holder, now))
        self.settle(self._slots.tick(now))
        self._charges.expire(now)

    def settle(self, rulings: list[places.Ruling]) -> None:
        """Hands decisions to those who wait for them."""
        for ruling in rulings:
            match ruling.decision:
                case messages.Granted(id=id_):
                    self._charges.keep(id_)
                case messages.Denied(id=id_):
                    self._charges.refund(id_)
            if ruling.holder == self._name:
                self._decided(ruling.decision)
            else:
                self._mesh.send_to(
                    ruling.holder, conversions.spoken(ruling.decision)
                )

    def receive(self, sender: str, message: datagrams.Datagram) -> None:
        """Takes in a datagram of another instance."""
        now = asyncio.get_running_loop().time()
        match message:
            case datagrams.Ping(name=name, report=report):
                self._holders[name] = now
                self._reported.add(name)
                held = [messages.Granted(h.id, h.endpoint) for h in report.held]
                self._charges.report(name, quotas.spends(report.spent, now))
                self.settle(self._slots.adopt(name, held, now))
            case datagrams.Ask():
                self._holders.setdefault(message.name, now)
                self._answer(message, now)
            case datagrams.Release(id=id_, outcome=outcome):
                self._slots.withdraw(id_)
                self._charges.refund(id_)
                ended = messages.Outcome(outcome)
                self._released(sender, id_, ended, now)
            case datagrams.Queued(id=id_):
                if id_ in self._pending:
                    self._pending[id_].acknowledged = True
            case datagrams.Grant(id=id_, endpoint=endpoint):
                self._granted(sender, messages.Granted(id_, endpoint))
            case datagrams.Deny():
                self._decided(conversions.heard(message))

    async def _ask_some(
        self, need: messages.Need, pending: Pending, asked: list[str]
    ) -> messages.Decision | None:
        """Asks the allocator, and its successor if it is silent.

        Args:
            need: what is asked.
            pending: where the decision comes in.
            asked: gets the names of those that were asked.

        Returns:
            The decision; None if this instance must decide.
        """
        while len(asked) < ALLOCATORS_ASKED:
            allocator = self._mesh.allocator
            if allocator == self._name or allocator in asked:
                return None
            asked.append(allocator)
            decision = await self._ask(allocator, need, pending)
            if decision is not None:
                return decision
            abandoned = messages.Outcome.ABANDONED.value
            self._mesh.send_to(allocator, datagrams.Release(need.id, abandoned))
        return None

    async def _ask(
        self, allocator: str, need: messages.Need, pending: Pending
    ) -> messages.Decision | None:
        loop = asyncio.get_running_loop()
        silent = 0
        patience = ANSWER_SECONDS
        self._introduce(allocator)
        while silent < SILENT_ASKS:
            pending.acknowledged = False
            ask = conversions.ask_of(self._name, need, loop.time())
            self._mesh.send_to(allocator, ask)
            await asyncio.wait([pending.future], timeout=patience)
            if pending.future.done():
                return pending.future.result()
            if pending.acknowledged:
                silent = 0
                patience = QUEUED_ANSWER_SECONDS
            else:
                silent += 1
        self._mesh.members.suspect(allocator, loop.time() + SUSPECT_SECONDS)
        logger.warning("allocator.silent", allocator=allocator, need=need.id)
        return None

    def _introduce(self, allocator: str) -> None:
        """Reports to an allocator before it is asked for the first time."""
        member = self._mesh.members.get(allocator)
        if member is not None and allocator != self._reported_to:
            self._reported_to = allocator
            self._mesh.ping(member)

    async def _decide_here(
        self, need: messages.Need, pending: Pending, alone: bool
    ) -> messages.Decision:
        now = asyncio.get_running_loop().time()
        if alone:
            known = self._mesh.members.known(now)
            wait = self._charges.charge_alone(need, known, now)
        else:
            wait = self._charges.charge(need, self._recalled(now), now)
        if wait > 0:
            return _over_quota(need.id, wait)
        self.settle(self._slots.ask(self._name, need, now))
        return await pending.future

    def _recalled(self, now: float) -> charges.Recollection:
        leading = 0.0
        if self._leading_since is not None:
            leading = now - self._leading_since
        return charges.Recollection(
            leading_seconds=leading,
            known=self._mesh.members.known(now),
            ages=self._mesh.members.ages(self._reported, now),
        )

    def _lead(self, leading: bool, now: float) -> None:
        if not leading:
            self._leading_since = None
            return
        if self._leading_since is None:
            self._leading_since = now
            self._reported.clear()
            logger.info("allocator.begun", held=self._slots.leases)
        own = self._charges.unknown_to(self._mesh.life, now)
        self._charges.report(self._name, quotas.spends(own, now))

    def _decides_alone(self, asked_in_vain: bool) -> bool:
        return asked_in_vain and self._mesh.allocator != self._name

    def _life_of(self, name: str) -> str:
        member = self._mesh.members.get(name)
        return member.incarnation if member is not None else charges.NOBODY

    def _withdraw(self, id_: str, asked: list[str]) -> None:
        self._slots.withdraw(id_)
        self._charges.refund(id_)
        abandoned = messages.Outcome.ABANDONED
        self._granted_by.pop(id_, None)
        for name in asked:
            self._mesh.send_to(name, datagrams.Release(id_, abandoned.value))
        now = asyncio.get_running_loop().time()
        self.settle(self._slots.release(id_, abandoned, now))

    def _answer(self, ask: datagrams.Ask, now: float) -> None:
        need = conversions.need_of(ask, now)
        known = self._slots.knows(need.id)
        wait = 0.0
        if not known:
            wait = self._charges.charge(need, self._recalled(now), now)
        if wait > 0:
            denied = _over_quota(need.id, wait)
            self._mesh.send_to(ask.name, conversions.spoken(denied))
            return
        rulings = self._slots.ask(ask.name, need, now)
        self.settle(rulings)
        if not any(ruling.decision.id == need.id for ruling in rulings):
            self._mesh.send_to(ask.name, datagrams.Queued(need.id))

    def _released(
        self, holder: str, id_: str, outcome: messages.Outcome, now: float
    ) -> None:
        endpoint = self._slots.place_of(id_)
        if endpoint and outcome in DOUBTS and self._leading_since is not None:
            logger.info(
                "endpoint.doubted",
                endpoint=endpoint,
                outcome=outcome.value,
                holder=holder,
            )
        self.settle(self._slots.release(id_, outcome, now))

    def _granted(self, sender: str, granted: messages.Granted) -> None:
        pending = self._pending.get(granted.id)
        if granted.id in self._granted_by:
            return
        if pending is None or pending.future.done():
            self._mesh.send_to(
                sender, datagrams.Release(granted.id, "abandoned")
            )
            return
        now = asyncio.get_running_loop().time()
        self._granted_by[granted.id] = sender
        self._slots.hold(
            self._name, granted.id, pending.need, granted.endpoint, now
        )
        self._decided(granted)

    def _decided(self, decision: messages.Decision) -> None:
        pending = self._pending.get(decision.id)
        if pending is not None and not pending.future.done():
            pending.future.set_result(decision)


def _over_quota(id_: str, wait: float) -> messages.Denied:
    after = min(LONGEST_QUOTA_RETRY_SECONDS, wait)
    return messages.Denied(id_, messages.OVER_QUOTA, after)
