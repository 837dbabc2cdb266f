"""Instances that are restarted while an organisation uses its quota; no I/O.

Datagrams arrive at once, and each instance knows all others; the decisions are
those of the instances.
"""

import dataclasses

from cranberryglade.gateway import charges
from cranberryglade.gateway import configuration
from cranberryglade.gateway import final_usage
from cranberryglade.gateway import membership
from cranberryglade.gateway import quotas
from cranberryglade.tests import gateway_builders as builders

WINDOW_SECONDS = 8.0
RATE = 1000.0
LIMIT = RATE * WINDOW_SECONDS
COST = 10.0
STEP_SECONDS = 0.1
CONTACTS = 2 * membership.CONTACTS_PER_GROUP


def make_charges() -> charges.Charges:
    organisation = builders.make_organisation(rate=RATE, burst=0.0)
    tolerance = quotas.OverrunTolerance(WINDOW_SECONDS, 0.0, 0.0)

    def find(name: str) -> configuration.Organisation:
        del name
        return organisation

    return charges.Charges(
        quotas.Quotas(find, tolerance), quotas.Quotas(find, tolerance)
    )


@dataclasses.dataclass(eq=False)
class Instance:
    """One incarnation of an instance."""

    name: str
    incarnation: str
    started_at: float
    charging: charges.Charges = dataclasses.field(default_factory=make_charges)
    kept: final_usage.KeptUsage = dataclasses.field(
        default_factory=final_usage.KeptUsage
    )
    stopping: bool = False
    allocating_since: float = 0.0


class Site:
    """Instances of one site, all started long ago.

    Attributes:
        now: the present time in seconds.
        hands_over: whether instances tell their final usage.
        asked: number of requests.
        refused: number of those that were refused.
        granted: times of those that were not.
        allocators: incarnations that have allocated, in order.
    """

    def __init__(self, count: int, hands_over: bool = True):
        self.now = 100.0
        self.hands_over = hands_over
        self.asked = 0
        self.refused = 0
        self.granted: list[float] = []
        self.allocators: list[str] = []
        self._count = count
        self._started = 0
        self._sent = 0.0
        self._running: dict[str, Instance] = {}
        self._heard: dict[str, str] = {}
        for number in range(count):
            self.start(f"gate-{number:03}", 0.0)

    @property
    def names(self) -> list[str]:
        return [f"gate-{number:03}" for number in range(self._count)]

    def start(self, name: str, at: float | None = None) -> None:
        """Starts an instance; it sends heartbeats to all others."""
        self._started += 1
        started_at = self.now if at is None else at
        new = Instance(name, f"life-{self._started}", started_at)
        for other in self._running.values():
            final = other.kept.usage_before(name, new.incarnation)
            if final is not None:
                new.charging.adopt(self._sent_again(name, final))
        self._heard[name] = new.incarnation
        self._running[name] = new

    def stop(self, name: str) -> None:
        """Lets an instance begin to stop; it still has requests."""
        self._running[name].stopping = True

    def end(self, name: str, told: int = CONTACTS) -> None:
        """Ends an instance that stops.

        Args:
            name: its name.
            told: to how many others it tells its final usage before it ends.
        """
        ended = self._running.pop(name)
        if not self.hands_over:
            return
        final = ended.charging.final_usage(
            ended.incarnation, ended.started_at, self.now
        )
        for other in self._in_order()[:told]:
            sent = self._sent_again(name, final)
            other.kept.keep(name, sent, self._heard[name])

    def kill(self, name: str) -> None:
        self._running.pop(name)

    def run(self, seconds: float, load: float) -> None:
        """Lets time pass.

        Args:
            seconds: how long.
            load: what the organisation asks for, as a part of its quota.
        """
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self._report()
            self._sent += load * RATE * STEP_SECONDS / COST
            while self._sent >= 1:
                self._sent -= 1
                self._ask()

    def most_granted(self) -> float:
        """Returns the highest cost granted in one window, of the quota."""
        return (
            max(
                (
                    COST
                    * sum(
                        at - WINDOW_SECONDS < each <= at
                        for each in self.granted
                    )
                    for at in sorted(set(self.granted))
                ),
                default=0.0,
            )
            / LIMIT
        )

    def _sent_again(
        self, name: str, final: final_usage.FinalUsage
    ) -> final_usage.FinalUsage:
        sent = final_usage.encode(name, final, WINDOW_SECONDS, self.now)
        return final_usage.decode(sent, self.now)

    def _in_order(self) -> list[Instance]:
        """Returns those that run; those that do not stop come first."""
        return sorted(
            self._running.values(), key=lambda each: (each.stopping, each.name)
        )

    def _allocator(self) -> Instance:
        running = self._in_order()
        usable = [each for each in running if not each.stopping] or running
        oldest = max(self.now - each.started_at for each in usable)
        settled_age = min(
            membership.MIN_ALLOCATOR_AGE_SECONDS,
            oldest - membership.START_SPREAD_SECONDS,
        )
        return next(
            each for each in usable if self.now - each.started_at >= settled_age
        )

    def _report(self) -> None:
        allocator = self._allocator()
        if self.allocators[-1:] != [allocator.incarnation]:
            self.allocators.append(allocator.incarnation)
            allocator.allocating_since = self.now
        for each in self._running.values():
            usage = each.charging.usage_not_granted_by(
                allocator.incarnation, self.now
            )
            allocator.charging.record_report(
                each.name, quotas.decode_usage(usage, self.now)
            )
        for name in self.names:
            if name not in self._running:
                allocator.charging.record_report(name, [])
        self._knowledge = charges.UsageKnowledge(
            self.now - allocator.allocating_since,
            self._count,
            tuple(self._known_seconds(each) for each in self._running.values()),
        )

    def _known_seconds(self, instance: Instance) -> float:
        earlier = final_usage.encode_periods(
            instance.charging.earlier_periods, WINDOW_SECONDS, self.now
        )
        return final_usage.known_seconds_of(
            self.now - instance.started_at,
            final_usage.decode_periods(earlier, self.now),
            WINDOW_SECONDS,
            self.now,
        )

    def _ask(self) -> None:
        self.asked += 1
        allocator = self._allocator()
        running = list(self._running.values())
        asking = running[self.asked % len(running)]
        request = builders.make_slot_request(
            f"r-{self.asked}", organisation="studio", cost=COST
        )
        if allocator.charging.charge(request, self._knowledge, self.now) > 0:
            self.refused += 1
            return
        allocator.charging.make_final(request.id)
        asking.charging.record_usage(request, allocator.incarnation, self.now)
        self.granted.append(self.now)
