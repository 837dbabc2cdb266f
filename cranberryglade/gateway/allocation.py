"""Gets slots of endpoints for the requests of this instance.

One instance, the allocator, grants the slots of all endpoints for all
instances. Any instance does without it at once: when the allocator does not
answer within a moment, the request is placed by what is known here.
"""

import asyncio
import dataclasses
from typing import Protocol

from cranberryglade import log
from cranberryglade.gateway import catalogue
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import mesh
from cranberryglade.gateway import messages
from cranberryglade.gateway import places
from cranberryglade.gateway import quotas
from cranberryglade.gateway import slots

ANSWER_SECONDS = 0.04
QUEUED_ANSWER_SECONDS = 0.15
SILENT_ASKS = 2
SUSPECT_SECONDS = 0.5
CAUTION_ALONE = 0.5
"""Part of its share of a quota that an instance uses without an allocator."""

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
        "_alone",
        "_granted_by",
        "_holders",
        "_leading",
        "_mesh",
        "_name",
        "_pending",
        "_quotas",
        "_slots",
    )

    def __init__(
        self,
        name: str,
        own: slots.Slots,
        counted: quotas.Quotas,
        alone: quotas.Quotas,
    ):
        """Sets it up.

        Args:
            name: this instance.
            own: the slots as they are known here.
            counted: quotas while this instance counts for all.
            alone: quotas while the allocator does not answer.
        """
        self._name = name
        self._slots = own
        self._quotas = counted
        self._alone = alone
        self._leading = False
        self._mesh: mesh.Mesh | None = None
        self._pending: dict[str, Pending] = {}
        self._granted_by: dict[str, str] = {}
        self._holders: dict[str, float] = {}

    def join(self, joined: mesh.Mesh) -> None:
        """Begins to work with the other instances."""
        self._mesh = joined

    def tolerate(self, tolerance: quotas.Tolerance) -> None:
        """Takes in by how much quotas may be exceeded."""
        self._quotas.tolerate(tolerance)
        self._alone.tolerate(tolerance)

    async def acquire(self, need: messages.Need) -> messages.Decision:
        """Waits for a slot."""
        pending = Pending(need, asyncio.get_running_loop().create_future())
        self._pending[need.id] = pending
        asked = ""
        try:
            asked = self._mesh.allocator
            decision = None
            if asked != self._name:
                decision = await self._ask(asked, need, pending)
            if decision is None:
                decision = await self._decide_here(need, pending, asked)
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

    def held(self) -> list[datagrams.Held]:
        """The attempts of this instance, for the allocator."""
        return [
            datagrams.Held(each.id, each.endpoint)
            for each in self._slots.held_by(self._name)
        ]

    def tick(self, now: float) -> None:
        """Ends waits that are over and frees what silent instances held."""
        leading = self._mesh.allocator == self._name
        if leading and not self._leading:
            logger.info("allocator.begun", held=self._slots.leases)
            self._quotas.restart(now)
        self._leading = leading
        for holder, heard in list(self._holders.items()):
            if now - heard > HOLDER_SECONDS:
                del self._holders[holder]
                self.settle(self._slots.forget(holder, now))
        self.settle(self._slots.tick(now))

    def settle(self, rulings: list[places.Ruling]) -> None:
        """Hands decisions to those who wait for them."""
        for ruling in rulings:
            if ruling.holder == self._name:
                self._decided(ruling.decision)
            else:
                self._mesh.send_to(ruling.holder, _spoken(ruling.decision))

    def receive(self, sender: str, message: datagrams.Datagram) -> None:
        """Takes in a datagram of another instance."""
        now = asyncio.get_running_loop().time()
        match message:
            case datagrams.Ping(name=name, held=held):
                self._holders[name] = now
                listed = [messages.Granted(h.id, h.endpoint) for h in held]
                self.settle(self._slots.adopt(name, listed, now))
            case datagrams.Ask():
                self._holders.setdefault(message.name, now)
                self._answer(message, now)
            case datagrams.Release(id=id_, outcome=outcome):
                self._slots.withdraw(id_)
                ended = messages.Outcome(outcome)
                self._released(sender, id_, ended, now)
            case datagrams.Queued(id=id_):
                if id_ in self._pending:
                    self._pending[id_].acknowledged = True
            case datagrams.Grant(id=id_, endpoint=endpoint):
                self._granted(sender, messages.Granted(id_, endpoint))
            case datagrams.Deny():
                self._decided(_heard(message))

    async def _ask(
        self, allocator: str, need: messages.Need, pending: Pending
    ) -> messages.Decision | None:
        loop = asyncio.get_running_loop()
        silent = 0
        patience = ANSWER_SECONDS
        while silent < SILENT_ASKS:
            pending.acknowledged = False
            ask = _ask_of(self._name, need, loop.time())
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

    async def _decide_here(
        self, need: messages.Need, pending: Pending, asked: str
    ) -> messages.Decision:
        now = asyncio.get_running_loop().time()
        alone = asked != self._name
        if alone:
            self._mesh.send_to(asked, datagrams.Release(need.id, "abandoned"))
        wait = self._charge(need, alone, now)
        if wait > 0:
            return _over_quota(need.id, wait)
        self.settle(self._slots.ask(self._name, need, now))
        decision = await pending.future
        if isinstance(decision, messages.Denied) and not alone:
            self._quotas.give_back(need.organisation, need.cost)
        return decision

    def _charge(self, need: messages.Need, alone: bool, now: float) -> float:
        known = self._mesh.members.known(now)
        if alone:
            share = CAUTION_ALONE / known
            return self._alone.take(need.organisation, need.cost, share, now)
        share = min(1.0, (1 + len(self._holders)) / known)
        return self._quotas.take(need.organisation, need.cost, share, now)

    def _withdraw(self, id_: str, asked: str) -> None:
        self._slots.withdraw(id_)
        abandoned = messages.Outcome.ABANDONED
        if asked not in ("", self._name):
            self._granted_by.pop(id_, None)
            self._mesh.send_to(asked, datagrams.Release(id_, "abandoned"))
        now = asyncio.get_running_loop().time()
        self.settle(self._slots.release(id_, abandoned, now))

    def _answer(self, ask: datagrams.Ask, now: float) -> None:
        need = _need_of(ask, now)
        known = self._slots.knows(need.id)
        wait = 0.0 if known else self._charge(need, False, now)
        if wait > 0:
            denied = _over_quota(need.id, wait)
            self._mesh.send_to(ask.name, _spoken(denied))
            return
        rulings = self._slots.ask(ask.name, need, now)
        for ruling in rulings:
            own = ruling.decision.id == need.id
            if own and isinstance(ruling.decision, messages.Denied):
                self._quotas.give_back(need.organisation, need.cost)
        self.settle(rulings)
        if not any(ruling.decision.id == need.id for ruling in rulings):
            self._mesh.send_to(ask.name, datagrams.Queued(need.id))

    def _released(
        self, holder: str, id_: str, outcome: messages.Outcome, now: float
    ) -> None:
        endpoint = self._slots.place_of(id_)
        if endpoint and outcome in DOUBTS and self._leading:
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


def _spoken(decision: messages.Decision) -> datagrams.Datagram:
    match decision:
        case messages.Granted(id=id_, endpoint=endpoint):
            return datagrams.Grant(id_, endpoint)
        case messages.Denied(id=id_, reason=reason, retry_after_seconds=after):
            waiting = decision.waiting
            return datagrams.Deny(id_, reason, round(after * 1000), waiting)


def _heard(deny: datagrams.Deny) -> messages.Denied:
    after = deny.retry_after_ms / 1000
    return messages.Denied(deny.id, deny.reason, after, deny.waiting)


def _ask_of(name: str, need: messages.Need, now: float) -> datagrams.Ask:
    return datagrams.Ask(
        name=name,
        id=need.id,
        service=need.service,
        rank=need.rank,
        kind=need.kind.value,
        prompt_tokens=need.prompt_tokens,
        output_tokens=need.output_tokens,
        wait_ms=max(0, round((need.until - now) * 1000)),
        aim_ms=round((need.aim - now) * 1000),
        avoid=list(need.avoid),
        organisation=need.organisation,
        cost=need.cost,
    )


def _need_of(ask: datagrams.Ask, now: float) -> messages.Need:
    return messages.Need(
        id=ask.id,
        service=ask.service,
        rank=ask.rank,
        kind=catalogue.Kind(ask.kind),
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        until=now + ask.wait_ms / 1000,
        aim=now + ask.aim_ms / 1000,
        avoid=tuple(ask.avoid),
        organisation=ask.organisation,
        cost=ask.cost,
    )
