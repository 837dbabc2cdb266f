"""Tests that a grant costs the same whatever the size of the deployment.

Also that what makes it cheap, the order of endpoints and that of the queue,
gives what going through all of them would give.
"""

import asyncio
import itertools
import random
import statistics
import sys

import pytest

from cranberryglade.gateway import allocation
from cranberryglade.gateway import charges
from cranberryglade.gateway import configuration_age
from cranberryglade.gateway import conversions
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import endpoint_group
from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import leases
from cranberryglade.gateway import membership
from cranberryglade.gateway import mesh
from cranberryglade.gateway import messages
from cranberryglade.gateway import quotas
from cranberryglade.gateway import slot_queue
from cranberryglade.gateway import slots
from cranberryglade.gateway import state
from cranberryglade.gateway import telemetry
from cranberryglade.placement import options as placement_options
from cranberryglade.preemption import options
from cranberryglade.tests import fakes
from cranberryglade.tests import gateway_builders as builders

Outcome = messages.Outcome

FEW_ENDPOINTS = 45
MOST_GROWTH = 1.3
"""Growth of the work for a grant that is allowed from the smallest size."""


def count_steps(action) -> int:
    """Returns how many instructions of the interpreter an action takes."""
    steps = 0

    def trace(frame, event, argument):
        nonlocal steps
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        steps += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(before)
    return steps


def make_loaded_scheduler(
    endpoints: int,
    waiting: int,
    placement: placement_options.PlacementOptions | None = None,
    domains: int = 1,
    contention: options.PreemptionOptions | None = None,
    running_rank: int = 0,
) -> slots.SlotScheduler:
    """Returns a scheduler with measured endpoints.

    Half of the slots are in use, or all of them if requests wait.
    """
    scheduler = slots.SlotScheduler(placement=placement, contention=contention)
    scheduler.placing.distance.set_domains(
        lambda holder: f"d-{sum(holder.encode()) % domains}"
    )
    listed = {
        f"e-{n}": builders.make_endpoint(
            f"e-{n}", slots=4, domain=f"d-{n % domains}"
        )
        for n in range(endpoints)
    }
    scheduler.update_endpoints(listed, 0.0)
    for number in range(4 * endpoints):
        request = builders.make_slot_request(f"first-{number}")
        scheduler.request_slot("a", request, 1.0)
    for number in range(4 * endpoints):
        pace = 0.3 + number % 7 / 10
        scheduler.release(f"first-{number}", Outcome.SERVED, 1.0 + pace)
    for number in range((4 if waiting else 2) * endpoints):
        request = builders.make_slot_request(
            f"running-{number}", rank=running_rank, yields=running_rank > 0
        )
        scheduler.request_slot(f"holder-{number % 200}", request, 3.0)
    for number in range(waiting):
        request = builders.make_slot_request(
            f"waiting-{number}", rank=number % 3, wait_until=1e6
        )
        scheduler.request_slot("a", request, 3.0)
    assert scheduler.queue_length == waiting
    return scheduler


def steps_of_a_request(scheduler: slots.SlotScheduler) -> float:
    """Returns the median steps of a request, a release and a report."""
    running = itertools.count()
    samples = []
    for number in range(15):

        def play(number=number):
            now = 3.1 + number / 100
            request = builders.make_slot_request(f"r-{number}", wait_until=1e6)
            scheduler.request_slot("b", request, now)
            ended = f"running-{next(running)}"
            scheduler.release(ended, Outcome.SERVED, now)
            scheduler.apply_report("c", [], now)

        samples.append(count_steps(play))
    return statistics.median(samples)


@pytest.mark.parametrize("waiting", [0, 100, 10_000])
@pytest.mark.parametrize("endpoints", [200, 400, 2_000])
def test_a_grant_costs_the_same_at_any_size(endpoints, waiting):
    # Load: from 45 to 2,000 endpoints, half full, or full with a long queue.
    few = min(waiting, 100)
    base = steps_of_a_request(make_loaded_scheduler(FEW_ENDPOINTS, few))
    large = steps_of_a_request(make_loaded_scheduler(endpoints, waiting))
    assert large <= MOST_GROWTH * base


@pytest.mark.parametrize("waiting", [0, 10_000])
@pytest.mark.parametrize("domains", [3, 30])
def test_a_grant_costs_the_same_with_many_failure_domains(domains, waiting):
    # Load: distance matters, with 2,000 endpoints in up to 30 domains.
    near = placement_options.PlacementOptions(remote_cost=1.5)
    few = make_loaded_scheduler(FEW_ENDPOINTS, min(waiting, 100), near, 3)
    large = make_loaded_scheduler(2_000, waiting, near, domains)
    assert steps_of_a_request(large) <= MOST_GROWTH * steps_of_a_request(few)


@pytest.mark.parametrize("waiting", [100, 10_000])
def test_a_grant_costs_the_same_at_any_size_if_streams_may_yield(waiting):
    enabled = options.PreemptionOptions(enabled=True)
    base = steps_of_a_request(
        make_loaded_scheduler(
            FEW_ENDPOINTS, 100, contention=enabled, running_rank=2
        )
    )
    large = steps_of_a_request(
        make_loaded_scheduler(
            2_000, waiting, contention=enabled, running_rank=2
        )
    )
    assert large <= MOST_GROWTH * base


def make_state(name: str, held: leases.LeaseTable, **changes):
    return endpoint_states.EndpointState(
        builders.make_endpoint(name, **changes), held.at(name)
    )


@pytest.mark.parametrize("seed", range(20))
def test_the_endpoint_chosen_has_the_least_cost_of_all(seed):
    rng = random.Random(seed)
    held = leases.LeaseTable()
    rates = endpoint_group.EndpointRates(endpoint_limits.EndpointLimits())
    group = endpoint_group.EndpointGroup(rates)
    count = endpoint_group.MAX_COMPARED
    states = [make_state(f"e-{n}", held, slots=3) for n in range(count)]
    for each in states:
        group.add(each, 0.0)
    ids = []
    now = 0.0
    for number in range(400):
        now += rng.expovariate(10.0)
        request = builders.make_slot_request(
            f"r-{number}", prompt_tokens=rng.randrange(100, 5000)
        )
        free = [
            each
            for each in states
            if each.free_slots and each.paused_until <= now
        ]
        chosen = group.choose(request, lambda each: True, now)
        assert (chosen is None) == (not free)
        if chosen is not None:
            default = group.median_pace
            least = min(each.cost(default, now) for each in free)
            # Endpoints without a pace are ordered anew only now and then.
            assert chosen.cost(default, now).seconds <= 1.25 * least.seconds
            name = chosen.endpoint.id
            held.add(request.id, endpoint_states.Lease("a", request, name, now))
            group.renew(chosen, now)
            ids.append(request.id)
        if ids and rng.random() < 0.9:
            ended = held.remove(ids.pop(rng.randrange(len(ids))))
            freed = states[int(ended.endpoint.removeprefix("e-"))]
            pace = (now - ended.granted_at + 0.01) / ended.work_units
            group.record_pace(freed, pace, now)
            if rng.random() < 0.1:
                freed.paused_until = now + 0.3
            group.renew(freed, now)


@pytest.mark.parametrize("seed", range(20))
def test_the_queue_is_in_the_order_of_rank_lateness_and_arrival(seed):
    rng = random.Random(seed)
    queue = slot_queue.SlotQueue()
    waiting: dict[str, endpoint_states.QueuedRequest] = {}
    pace = 1e-4
    for number in range(500):
        now = number / 100
        request = builders.make_slot_request(
            f"r-{number}",
            rank=rng.randrange(3),
            first_answer_due=now + rng.uniform(0.1, 3.0),
        )
        waiting[request.id] = endpoint_states.QueuedRequest("a", request, now)
        queue.add(waiting[request.id])
        if rng.random() < 0.2:
            id_ = rng.choice(list(waiting))
            assert queue.remove(id_) is waiting.pop(id_)
        if waiting and rng.random() < 0.7:
            expected = min(
                waiting.values(),
                key=lambda w, at=now: (
                    w.request.rank,
                    w.is_late(pace, at),
                    w.queued_at,
                ),
            )
            assert queue.first(pace, now) is expected
            queue.remove(expected.request.id)
            del waiting[expected.request.id]
        rank = rng.randrange(3)
        ahead = [w for w in waiting.values() if w.request.rank <= rank]
        assert queue.load_up_to(rank).requests == len(ahead)


def test_requests_that_were_set_aside_get_their_places_back():
    queue = slot_queue.SlotQueue()
    waiting = [
        endpoint_states.QueuedRequest(
            "a", builders.make_slot_request(f"r-{n}"), float(n)
        )
        for n in range(3)
    ]
    for each in waiting:
        queue.add(each)
    queue.set_aside(waiting[0])
    queue.set_aside(waiting[1])
    assert queue.first(0.0, 5.0) is waiting[2]
    queue.restore(1)
    assert queue.first(0.0, 5.0) is waiting[0]
    queue.remove("r-0")
    queue.restore()
    assert queue.first(0.0, 5.0) is waiting[1]


def test_requests_for_no_free_endpoint_do_not_hold_up_those_behind():
    # Load: the only free endpoint lost many requests, which wait for another.
    scheduler = slots.SlotScheduler()
    listed = {
        "e-1": builders.make_endpoint("e-1", slots=1),
        "e-2": builders.make_endpoint("e-2", slots=40),
    }
    scheduler.update_endpoints(listed, 0.0)
    scheduler.register_lease("b", "other", None, "e-1", 0.0)
    for number in range(50):
        request = builders.make_slot_request(
            f"again-{number}", excluded_endpoints=("e-2",)
        )
        assert not scheduler.request_slot("a", request, 0.0)
    request = builders.make_slot_request("first")
    (decision,) = scheduler.request_slot("a", request, 0.1)
    assert decision.result == messages.Granted("first", "e-2")
    (decision,) = scheduler.release("other", Outcome.SERVED, 0.2)
    assert decision.result == messages.Granted("again-0", "e-1")


def test_leases_are_found_by_holder_endpoint_and_part():
    table = leases.LeaseTable()
    request = builders.make_slot_request("r-1", parts=("p-1", "p-2"))
    table.add("r-1", endpoint_states.Lease("a", request, "e-1", 0.0))
    table.add("r-2", endpoint_states.Lease("a", None, "e-2", 0.0))
    table.add("r-2", endpoint_states.Lease("b", None, "e-1", 0.0))
    assert list(table.of("a")) == ["r-1"]
    assert list(table.at("e-1")) == ["r-1", "r-2"]
    assert table.runs_any_part({"p-2", "p-3"})
    assert not table.runs_any_part({"p-3"})
    table.remove("r-1")
    assert not table.of("a")
    assert not table.runs_any_part({"p-1"})
    table.remove("r-2")
    table.forget_endpoints({})
    assert not len(table)


def make_membership(instances: int) -> membership.Membership:
    """Returns the view of an instance that all others send heartbeats to."""
    view = membership.Membership("gate-0", "north", 0.0)
    for number in range(1, instances):
        name = f"gate-{number}"
        view.register(name, f"{name}:1", f"domain-{number % 5}", 0.0)
        view.record_heartbeat(name, "life-1", 9.0, 9.0)
    for contact in view.contacts:
        view.record_answer(contact.name, "life-1", 9.0, 9.0)
    view.instance_count(9.0)
    return view


def steps_of_a_heartbeat(instances: int) -> int:
    view = make_membership(instances)

    def play():
        view.register("gate-7", "gate-7:1", "domain-2", 9.1)
        view.record_heartbeat("gate-7", "life-1", 9.1, 9.1)
        view.introduction(9.1)
        view.instance_count(9.1)
        view.allocator(9.1)
        view.contacts_suffice(9.1)
        view.rank(9.1)

    return count_steps(play)


@pytest.mark.parametrize("instances", [100, 300, 730])
def test_a_heartbeat_costs_the_same_with_any_number_of_instances(instances):
    # Load: all instances send heartbeats to the allocator.
    assert steps_of_a_heartbeat(instances) <= MOST_GROWTH * (
        steps_of_a_heartbeat(30)
    )


def test_all_instances_that_send_heartbeats_are_introduced_in_turn():
    view = make_membership(50)
    gone = {"gate-3", "gate-4"}
    for number in range(1, 50):
        if f"gate-{number}" not in gone:
            view.record_heartbeat(f"gate-{number}", "life-1", 20.0, 20.0)
    introduced = {view.introduction(20.1).name for _ in range(49)}
    assert introduced == {f"gate-{n}" for n in range(1, 50)} - gone


async def test_the_capacity_of_a_machine_is_told_with_an_introduction():
    loop = asyncio.get_running_loop()
    told = []

    def make_mesh(name, own_capacity):
        return mesh.Mesh(
            name,
            "north",
            f"127.0.0.1:{7600 + len(name)}",
            state.InstanceState(
                "1",
                configuration_age.ConfigurationAge(5.0),
                telemetry.Telemetry(),
            ),
            lambda sender, message: None,
            lambda member, status: None,
            lambda member: datagrams.Report([], []),
            own_capacity,
        )

    class Transport:
        def is_closing(self):
            return False

        def sendto(self, data, address):
            told.append(data)

    large, small = make_mesh("large", 2.2), make_mesh("sm", 0.5)
    for instance in (large, small):
        instance.connection_made(Transport())
    member = large.members.register("sm", "127.0.0.1:7602", "n", loop.time())
    large.ping(member)
    small.datagram_received(told.pop(), ("127.0.0.1", 7605))
    assert small.members.get("large").capacity == 2.2
    for number in range(20):
        name = f"x-{number}"
        small.members.register(name, f"{name}:1", "n", loop.time(), 0.1)
        small.members.record_heartbeat(name, "1", 1.0, loop.time())
    introduced = {}
    for _ in range(21):
        told.clear()
        large.ping(member)
        small.datagram_received(told.pop(0), ("127.0.0.1", 7605))
        other = datagrams.decode(told.pop()).unwrap().other
        introduced[other.name] = other.capacity
    assert introduced["large"] == 2.2
    assert introduced["x-7"] == 0.1


def test_contacts_follow_instances_that_become_known():
    small = membership.Membership("gate-0", "north", 0.0)
    for number in range(1, 40):
        name = f"gate-{number}"
        small.register(name, f"{name}:1", "north", 0.0)
        assert small.contacts
    at_once = membership.Membership("gate-0", "north", 0.0)
    for number in range(1, 40):
        name = f"gate-{number}"
        at_once.register(name, f"{name}:1", "north", 0.0)
    assert [m.name for m in small.contacts] == [
        m.name for m in at_once.contacts
    ]


async def test_usage_is_known_anew_once_an_instance_reports():
    # Load: a new allocator gets slot requests between the first reports.
    now = asyncio.get_running_loop().time()
    organisation = builders.make_organisation(rate=1000.0, burst=0.0)
    tolerance = quotas.OverrunTolerance(8.0, 0.0, 0.0)
    charging = charges.Charges(
        quotas.Quotas(lambda name: organisation, tolerance),
        quotas.Quotas(lambda name: organisation, tolerance),
    )
    fake_mesh = fakes.FakeMesh(now)
    allocator = allocation.SharedAllocator("a", slots.SlotScheduler(), charging)
    allocator.set_mesh(fake_mesh)
    allocator.tick(now)

    def ask(id_):
        fake_mesh.sent.clear()
        request = builders.make_slot_request(
            id_, organisation="studio", cost=1500.0
        )
        allocator.receive(
            "b", conversions.encode_slot_request("b", request, now)
        )
        return fake_mesh.sent[0]

    assert ask("r-1").reason == messages.OVER_QUOTA
    for name in ("b", "c", "d"):
        status = datagrams.Status(1, 0, 1, 4, 60_000)
        report = datagrams.Report([], [])
        ping = datagrams.Ping(name, "l", f"{name}:1", "n", 1, status, report)
        allocator.receive(name, ping)
    assert ask("r-1").reason == "no_endpoint"


def test_late_requests_are_counted_apart_once_they_are_found():
    queue = slot_queue.SlotQueue()
    for number, rank in enumerate([1, 1, 2]):
        request = builders.make_slot_request(
            f"r-{number}", rank=rank, first_answer_due=2.0 * number + 1.0
        )
        queue.add(endpoint_states.QueuedRequest("a", request, number / 10))
    assert queue.oldest_late(2) is None
    assert queue.first(0.0, 1.5).request.id == "r-1"
    assert queue.oldest_late(1) == 0.0
    assert queue.oldest_late(0) is None
    assert queue.timely_load_up_to(1).requests == 1
    assert queue.load_up_to(1).requests == 2
    queue.remove("r-0")
    assert queue.oldest_late(1) is None
    assert queue.load_up_to(2) == queue.timely_load_up_to(2)
