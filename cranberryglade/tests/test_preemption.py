"""Running requests that give way: the choice, the datagrams, the streams."""

import asyncio
import collections
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from cranberryglade.gateway import allocation
from cranberryglade.gateway import charges
from cranberryglade.gateway import configuration
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.gateway import quotas
from cranberryglade.gateway import slots
from cranberryglade.gateway_settings import features
from cranberryglade.preemption import options
from cranberryglade.preemption import victims
from cranberryglade.rollouts import bars
from cranberryglade.tests import fakes
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import test_replacing as replacing_world

EVENTS = 60
"""Events of a stream that lasts until its origin is confirmed."""

ENABLED = options.PreemptionOptions(enabled=True)
Outcome = messages.Outcome


class YieldingWorld(replacing_world.World):
    """Asks the running attempt to yield, again and again, at random times."""

    def __init__(self, seed):
        super().__init__(seed, configuration.Kind.RESUMABLE)
        shared = self._forwarder._state
        shared.contention = ENABLED
        shared.configuration_age.confirm(1e9)
        self._random = random.Random(seed)
        self.yielded = []
        self._release = self.allocator.release
        self.allocator.release = self._check_closed

    def _check_closed(self, request, outcome, first_answer_seconds=None):
        endpoint = self.allocator.held[request.id]
        if request.id in self.yielded:
            assert all(
                work.ended_at is not None
                for work in self.sender.works
                if work.endpoint == endpoint
            )
        self._release(request, outcome, first_answer_seconds)

    async def run(self):
        asking = asyncio.create_task(self._ask())
        await super().run()
        asking.cancel()
        await asyncio.wait([asking])

    async def _ask(self):
        while True:
            pauses = (0.0, 0.01, 0.1, 0.5, 1.0, 2.0)
            await asyncio.sleep(self._random.choice(pauses))
            for id_ in list(self.allocator.held):
                if self._forwarder.yield_slot(id_):
                    self.yielded.append(id_)
                    # A datagram may arrive twice.
                    assert self._forwarder.yield_slot(id_)


outcomes = collections.Counter()


@settings(derandomize=True, max_examples=400, deadline=None)
@given(strategies.integers(0, 2**32))
def check_yields(seed):
    world = replacing_world.play(YieldingWorld(seed))
    works = world.sender.works
    assert world.allocator.held == {}
    assert len(set(world.yielded)) <= 1
    assert len(works) <= replacing_world.MAX_ATTEMPTS
    assert all(work.ended_at is not None for work in works)
    assert len({work.endpoint for work in works}) == len(works)
    for earlier, later in zip(works, works[1:], strict=False):
        overlap = min(earlier.ended_at, later.ended_at) - later.sent_at
        assert overlap <= replacing_world.MAX_OVERLAP_SECONDS
    assert world.budget.taken == max(0, len(works) - 1)
    if world.connection.status == 200:
        whole = builders.make_events(1, replacing_world.EVENTS)
        assert whole.startswith(world.connection.events)
        assert not world.connection.ended or world.connection.events == whole
    outcomes["yielded"] += bool(world.yielded)
    outcomes["whole"] += bool(world.yielded and world.connection.ended)


def test_no_event_slot_or_retry_is_lost_whenever_an_attempt_yields():
    # Guards against streams joined wrongly, overlaps, and slots held twice.
    outcomes.clear()
    check_yields()
    assert outcomes["yielded"] > 100
    assert outcomes["whole"] > 30


@pytest.mark.parametrize("ends", ["none", "allocator", "endpoint"])
async def test_stream_that_yields_goes_on_whole_at_another_endpoint(ends):
    # Guards against events that are lost, repeated or sent by both.
    async with gateway_cluster.Cluster(
        gateways=2,
        runners=2,
        config=builders.make_operator_config(timeout_ms=9000),
        options=features.Features(preemption=ENABLED),
    ) as cluster:
        for each in cluster.runners:
            each.event_gap_seconds = 0.05
            each.default_behaviour = each.resuming(EVENTS, EVENTS)
        allocator, holder = sorted(
            cluster.gateways, key=lambda each: not each._allocator.is_allocating
        )
        caller = await cluster.connect(cluster.gateways.index(holder))
        caller.request(target="/write/1", method="POST")
        name = holder._settings.instance
        leases = holder._slots.leases_of
        await gateway_cluster.wait_until(lambda: leases(name))
        (held,) = leases(name)
        yields = holder._forwarder.yield_slot
        await gateway_cluster.wait_until(lambda: yields(held.id))
        match ends:
            case "allocator":
                allocator.close()
            case "endpoint":
                (first,) = [e for e in cluster.runners if e.id == held.endpoint]
                first.crash()
        answer = await asyncio.wait_for(caller.answer(), 9.0)
        assert answer.whole
        assert answer.body == builders.make_events(1, EVENTS)
        assert all(len(each.received) == 1 for each in cluster.runners)


def make_full_scheduler() -> slots.SlotScheduler:
    """Returns one whose four slots run work of 2 s since 10.0."""
    scheduler = slots.SlotScheduler(contention=ENABLED)
    listed = {
        n: builders.make_endpoint(n, slots=2, domain="north")
        for n in ("e-1", "e-2")
    }
    scheduler.update_endpoints(listed, 0.0)
    for number in range(4):
        make = builders.make_slot_request(f"first-{number}")
        scheduler.request_slot("a", make, 1.0)
    for number in range(4):
        scheduler.release(f"first-{number}", Outcome.SERVED, 3.0)
    for number, rank in enumerate([1, 2, 2, 0]):
        request = builders.make_slot_request(
            f"r-{number}", rank=rank, yields=number != 1
        )
        scheduler.request_slot("bcde"[number], request, 10.0)
    return scheduler


def ask_urgently(scheduler, id_="urgent", now=10.2, due=0.4, rank=0):
    request = builders.make_slot_request(
        id_, rank=rank, first_answer_due=now + due, wait_until=now + 5.0
    )
    decisions = scheduler.request_slot("z", request, now)
    return preempted(decisions)


def preempted(decisions):
    return [
        (each.holder, each.result.id)
        for each in decisions
        if isinstance(each.result, messages.Preempted)
    ]


def test_the_least_urgent_that_offers_gives_way_and_its_slot_is_granted():
    scheduler = make_full_scheduler()
    assert ask_urgently(scheduler) == [("d", "r-2")]
    (granted,) = scheduler.release("r-2", Outcome.ABANDONED, 10.22)
    assert granted.result.id == "urgent"


def test_none_gives_way_to_an_equal_a_late_or_a_timely_request():
    for changes in ({"rank": 2}, {"due": 0.1}, {"due": 60.0}):
        assert ask_urgently(make_full_scheduler(), **changes) == []


def test_none_gives_way_that_is_nearly_done():
    assert ask_urgently(make_full_scheduler(), now=11.5) == []


def test_another_is_asked_if_one_keeps_its_slot_and_each_once_only():
    scheduler = make_full_scheduler()
    assert ask_urgently(scheduler) == [("d", "r-2")]
    # Not from its holder, as after a change of holders.
    assert scheduler.keep("x", "r-2", 10.21) == []
    assert preempted(scheduler.keep("d", "r-2", 10.21)) == [("b", "r-0")]
    assert scheduler.keep("b", "r-0", 10.22) == []
    assert ask_urgently(scheduler, "other") == []


def test_a_lost_datagram_does_not_keep_others_from_giving_way(monkeypatch):
    monkeypatch.setattr(victims, "MAX_ASKED", 1)
    scheduler = make_full_scheduler()
    assert ask_urgently(scheduler) == [("d", "r-2")]
    assert ask_urgently(scheduler, "second", now=10.3) == []
    scheduler.withdraw("urgent")
    scheduler.withdraw("second")
    later = 10.21 + victims.ANSWER_SECONDS
    assert ask_urgently(scheduler, "third", now=later) == [("b", "r-0")]


def test_a_holder_that_ends_frees_the_slot_for_the_urgent_request():
    scheduler = make_full_scheduler()
    ask_urgently(scheduler)
    (granted,) = scheduler.remove_holder("d", 11.7)
    assert granted.result.id == "urgent"
    assert scheduler.keep("d", "r-2", 11.8) == []


async def make_holder(mesh) -> allocation.SharedAllocator:
    """Returns one with a slot for "r-1" that "b" has granted."""
    tolerance = quotas.OverrunTolerance(8.0, 0.0, 0.0)
    accounts = [quotas.Quotas(lambda _: None, tolerance) for _ in range(2)]
    scheduler = slots.SlotScheduler()
    scheduler.update_endpoints({"e-1": builders.make_endpoint("e-1")}, 0.0)
    mesh.holder = allocation.SharedAllocator(
        "a", scheduler, charges.Charges(*accounts)
    )
    mesh.holder.set_mesh(mesh)
    await mesh.holder.acquire(builders.make_slot_request("r-1"))
    return mesh.holder


@pytest.mark.parametrize(
    ("sender", "id_", "yields", "kept"),
    [
        ("b", "r-1", True, False),
        ("b", "r-1", False, True),
        ("c", "r-1", True, True),
        ("b", "ended", True, True),
    ],
)
async def test_a_holder_yields_only_to_the_allocator_that_granted_the_slot(
    sender, id_, yields, kept
):
    # Load: a former allocator resumes, or a datagram is late or repeated.
    mesh = fakes.GrantingMesh(asyncio.get_running_loop().time())
    mesh.allocator = "b"
    await make_holder(mesh)
    asked = []
    mesh.holder.set_yielder(lambda each: asked.append(each) or yields)
    mesh.holder.receive(sender, datagrams.Preempt(id_))
    assert ((sender, datagrams.Kept(id_)) in mesh.told) is kept
    assert bool(asked) is (sender == "b" and id_ == "r-1")


async def test_the_allocator_asks_other_holders_by_datagram():
    mesh = fakes.GrantingMesh(asyncio.get_running_loop().time())
    mesh.allocator = "b"
    holder = await make_holder(mesh)
    asked = []
    holder.set_yielder(lambda each: asked.append(each))
    for name in ("a", "b"):
        preempted_slot = messages.Preempted(f"r-{name}", "e-1")
        decision = endpoint_states.SlotDecision(name, preempted_slot)
        holder.deliver_decisions([decision])
    assert asked == ["r-a"]
    assert mesh.told[-1] == ("b", datagrams.Preempt("r-b"))


def test_a_stream_at_an_excluded_version_does_not_yield():
    """It could not go on, as its version gets no more slots."""
    scheduler = make_full_scheduler()
    assert ask_urgently(scheduler)
    scheduler = make_full_scheduler()
    (group,) = scheduler._groups.values()
    group.barred = bars.Bars(any_version=frozenset({"v1"}))
    assert not ask_urgently(scheduler)


def test_a_stream_that_goes_on_makes_no_other_yield():
    """One preemption would follow the other, each at the cost of a retry."""
    scheduler = make_full_scheduler()
    resumed = builders.make_slot_request(
        "resumed",
        software_version="v1",
        first_answer_due=10.6,
        wait_until=15.0,
    )
    assert not preempted(scheduler.request_slot("z", resumed, 10.2))
