"""Tests of the allocator: grants, the queue, and denials."""

import asyncio
import collections
import heapq
import random

import pytest

from cranberryglade.gateway import allocation
from cranberryglade.gateway import charges
from cranberryglade.gateway import conversions
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import messages
from cranberryglade.gateway import quotas
from cranberryglade.gateway import slots
from cranberryglade.tests import fakes
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import stepped_clock

Outcome = messages.Outcome


def make_allocator(*endpoints) -> slots.SlotScheduler:
    allocator = slots.SlotScheduler()
    allocator.update_endpoints({each.id: each for each in endpoints}, 0.0)
    return allocator


def granted(decisions):
    return {
        slot_decision.result.id: slot_decision.result.endpoint
        for slot_decision in decisions
        if isinstance(slot_decision.result, messages.Granted)
    }


def denied(decisions):
    return {
        slot_decision.result.id: slot_decision.result.reason
        for slot_decision in decisions
        if isinstance(slot_decision.result, messages.Denied)
    }


def record_paces(allocator, seconds=0.5, now=0.0):
    """Runs one request of usual size on each of two endpoints."""
    for number in range(2):
        allocator.request_slot(
            "a", builders.make_slot_request(f"t-{number}"), now
        )
    for number in range(2):
        allocator.release(f"t-{number}", Outcome.SERVED, now + seconds)


def test_no_endpoint_gets_more_than_its_slots():
    allocator = make_allocator(
        builders.make_endpoint("e-1"), builders.make_endpoint("e-2")
    )
    grants = {}
    for number in range(6):
        request = builders.make_slot_request(f"r-{number}")
        grants |= granted(allocator.request_slot("a", request, 0.0))
    assert sorted(grants.values()) == ["e-1", "e-1", "e-2", "e-2"]
    assert allocator.queue_length == 2
    assert len(granted(allocator.release("r-0", Outcome.SERVED, 1.0))) == 1


def test_urgent_requests_go_first_and_equal_ones_in_order():
    allocator = make_allocator(builders.make_endpoint(slots=1))
    allocator.request_slot("a", builders.make_slot_request("running"), 0.0)
    allocator.request_slot(
        "a", builders.make_slot_request("plain", rank=2), 0.1
    )
    allocator.request_slot(
        "b", builders.make_slot_request("first", rank=1), 0.2
    )
    allocator.request_slot(
        "a", builders.make_slot_request("second", rank=1), 0.3
    )
    order = []
    finished = "running"
    for now in (1.0, 2.0, 3.0):
        (finished,) = granted(allocator.release(finished, Outcome.SERVED, now))
        order.append(finished)
    assert order == ["first", "second", "plain"]


def test_late_requests_queue_behind_those_that_can_be_in_time():
    allocator = make_allocator(builders.make_endpoint(slots=1))
    allocator.request_slot("a", builders.make_slot_request("running"), 0.0)
    allocator.request_slot(
        "a", builders.make_slot_request("late", first_answer_due=0.5), 0.0
    )
    allocator.request_slot(
        "a", builders.make_slot_request("timely", first_answer_due=5.0), 0.9
    )
    assert "timely" in granted(
        allocator.release("running", Outcome.SERVED, 1.0)
    )


def share_in_time(order_by_aim: bool, seed: int) -> float:
    """Returns the share of requests answered in time at 1.5 times capacity.

    Four slots, with 0.4 s for each request, get 15 requests a second for
    20 s. The target time of each is 0.8 s after its arrival.
    """
    rng = random.Random(seed)
    allocator = make_allocator(builders.make_endpoint(slots=4))
    arrivals = sorted(rng.uniform(0, 20) for _ in range(300))
    ends: dict[str, float] = {}
    in_time = 0
    now = 0.0
    names = {f"r-{n}": at for n, at in enumerate(arrivals)}
    pending = list(names.items())

    def record_grants(decisions):
        nonlocal in_time
        for name in granted(decisions):
            ends[name] = now + 0.4
            in_time += now + 0.4 <= names[name] + 0.8

    while pending or ends:
        due = min(ends, key=ends.get, default=None)
        if due is None or (pending and pending[0][1] < ends[due]):
            name, now = pending.pop(0)
            aim = now + 0.8 if order_by_aim else now + 1000
            request = builders.make_slot_request(
                name,
                first_answer_due=aim,
                wait_until=now + 2.0,
                prompt_tokens=0,
                output_tokens=0,
            )
            record_grants(allocator.request_slot("a", request, now))
        else:
            now = ends.pop(due)
            record_grants(allocator.release(due, Outcome.SERVED, now))
        record_grants(allocator.tick(now))
    return in_time / len(arrivals)


@pytest.mark.parametrize("seed", range(3))
def test_overload_does_not_make_all_requests_late(seed):
    # The capacity is 10 of the 15 requests a second.
    assert share_in_time(order_by_aim=True, seed=seed) > 0.5
    assert share_in_time(order_by_aim=False, seed=seed) < 0.35


def test_requests_that_cannot_run_in_time_are_denied_at_once():
    allocator = make_allocator(builders.make_endpoint(slots=1))
    record_paces(allocator)
    denials = {}
    for number in range(40):
        request = builders.make_slot_request(f"r-{number}", wait_until=3.0)
        denials |= denied(allocator.request_slot("a", request, 1.0))
    assert set(denials.values()) == {"hopeless"}
    assert 20 < len(denials) < 39


def play_full_endpoints(load: float, seed: int) -> dict[str, list[float]]:
    """Plays requests on 20 endpoints of 4 slots, with answers of 1.5 s.

    Each request may wait for a second.

    Args:
        load: requests that arrive, as a share of what the endpoints can run.
        seed: seed of arrivals and lengths.

    Returns:
        Under "granted" how long requests waited for a slot, and under the
        reason of each denial how long those waited.
    """
    rng = random.Random(seed)
    allocator = make_allocator(
        *(builders.make_endpoint(f"e-{n}", slots=4) for n in range(20))
    )
    arrived: dict[str, float] = {}
    ends: list[tuple[float, str]] = []
    waits: dict[str, list[float]] = collections.defaultdict(list)

    def record(decisions, now):
        for each in decisions:
            id_ = each.result.id
            match each.result:
                case messages.Granted():
                    waits["granted"].append(now - arrived[id_])
                    end = now + rng.uniform(1.0, 2.0)
                    heapq.heappush(ends, (end, id_))
                case messages.Denied(reason=reason):
                    waits[reason].append(now - arrived[id_])

    now = 0.0
    while now < 20.0:
        now += rng.expovariate(load * 80 / 1.5)
        while ends and ends[0][0] <= now:
            at, id_ = heapq.heappop(ends)
            record(allocator.release(id_, Outcome.SERVED, at), at)
        id_ = f"r-{len(arrived)}"
        arrived[id_] = now
        request = builders.make_slot_request(
            id_, wait_until=now + 1.0, first_answer_due=now + 0.4
        )
        record(allocator.tick(now), now)
        record(allocator.request_slot("a", request, now), now)
    return waits


@pytest.mark.parametrize("seed", range(3))
def test_no_request_is_denied_while_slots_become_free_in_time(seed):
    # Load: all 80 slots are in use at times, and one becomes free every 20 ms.
    waits = play_full_endpoints(load=0.9, seed=seed)
    assert waits.keys() == {"granted"}


@pytest.mark.parametrize("seed", range(3))
def test_under_overload_requests_are_denied_at_once_and_no_slot_is_idle(seed):
    # Load: half as much again as the endpoints can run.
    waits = play_full_endpoints(load=1.5, seed=seed)
    assert len(waits["granted"]) > 0.95 * 20 * 80 / 1.5
    in_time = sum(wait < 0.25 for wait in waits["granted"])
    assert in_time > 0.95 * len(waits["granted"])
    denied_at_once = sum(wait == 0.0 for wait in waits["hopeless"])
    assert denied_at_once > len(waits["waited"])


def test_one_waits_although_all_endpoints_are_busy_for_longer():
    # Load: answers of 4 s in all of 80 slots; the next one ends in 50 ms.
    allocator = make_allocator(
        *(builders.make_endpoint(f"e-{n}", slots=4) for n in range(20))
    )
    for number in range(80):
        request = builders.make_slot_request(f"first-{number}")
        allocator.request_slot("a", request, 0.0)
    for number in range(80):
        allocator.release(f"first-{number}", Outcome.SERVED, 4.0)
    for number in range(80):
        request = builders.make_slot_request(f"r-{number}")
        allocator.request_slot("a", request, 4.0 + number / 20)
    waiting = builders.make_slot_request("waiting", wait_until=9.0)
    assert allocator.request_slot("a", waiting, 8.0) == []
    assert "waiting" in granted(allocator.release("r-0", Outcome.SERVED, 8.05))


def test_a_slower_endpoint_is_used_last():
    allocator = make_allocator(
        builders.make_endpoint("e-1"), builders.make_endpoint("e-2")
    )
    for now in range(0, 20, 2):
        grants = granted(
            allocator.request_slot(
                "a", builders.make_slot_request(f"a-{now}"), now
            )
        )
        grants |= granted(
            allocator.request_slot(
                "a", builders.make_slot_request(f"b-{now}"), now
            )
        )
        for name, endpoint in grants.items():
            seconds = 0.2 if endpoint == "e-1" else 0.9
            allocator.release(name, Outcome.SERVED, now + seconds)
    assert granted(
        allocator.request_slot("a", builders.make_slot_request("next"), 30.0)
    ) == {"next": "e-1"}


def test_at_the_start_requests_are_spread():
    allocator = make_allocator(
        builders.make_endpoint("e-1"), builders.make_endpoint("e-2")
    )
    grants = {}
    for number in range(2):
        request = builders.make_slot_request(f"r-{number}")
        grants |= granted(allocator.request_slot("a", request, 0.0))
    assert sorted(grants.values()) == ["e-1", "e-2"]


def test_a_running_request_reveals_a_slow_endpoint():
    allocator = make_allocator(
        builders.make_endpoint("e-1"), builders.make_endpoint("e-2")
    )
    first = granted(
        allocator.request_slot("a", builders.make_slot_request("r-1"), 0.0)
    )["r-1"]
    allocator.request_slot("a", builders.make_slot_request("r-2"), 0.0)
    allocator.release("r-1", Outcome.SERVED, 0.2)
    allocator.request_slot("a", builders.make_slot_request("r-3"), 0.7)
    # Each endpoint runs one request; that on the other has run for 0.8 s.
    assert (
        granted(
            allocator.request_slot("a", builders.make_slot_request("r-4"), 0.8)
        )["r-4"]
        == first
    )


def test_an_endpoint_that_one_instance_cannot_reach_serves_the_others():
    allocator = make_allocator(builders.make_endpoint("e-1"))
    allocator.request_slot("a", builders.make_slot_request("r-1"), 0.0)
    allocator.release("r-1", Outcome.UNREACHABLE, 0.1)
    denials = denied(
        allocator.request_slot("a", builders.make_slot_request("r-2"), 0.2)
    )
    assert denials == {"r-2": "unreachable"}
    assert granted(
        allocator.request_slot("b", builders.make_slot_request("r-3"), 0.2)
    )
    assert granted(
        allocator.request_slot("a", builders.make_slot_request("r-4"), 2.0)
    )


def test_a_request_for_one_version_runs_or_waits_only_there():
    old = builders.make_endpoint("e-1", slots=1, software_version="v1")
    new = builders.make_endpoint("e-2", slots=4, software_version="v2")
    allocator = make_allocator(old, new)
    requests = [
        builders.make_slot_request(f"r-{number}", software_version=version)
        for number, version in enumerate(["v1", "v1", "v2", "v3"])
    ]
    decisions = []
    for request in requests:
        decisions += allocator.request_slot("a", request, 0.0)
    assert granted(decisions) == {"r-0": "e-1", "r-2": "e-2"}
    assert denied(decisions) == {"r-3": "no_endpoint_of_version"}
    freed = allocator.release("r-0", Outcome.SERVED, 0.1)
    assert granted(freed) == {"r-1": "e-1"}


@pytest.mark.parametrize("ahead", [None, "v2"])
def test_a_request_for_one_version_waits_only_for_slots_of_that_version(ahead):
    # Load: all instances were killed in a release and are back; streams of
    # both versions are taken up at once, beside new requests.
    old = builders.make_endpoint("e-1", slots=4, software_version="v1")
    new = builders.make_endpoint("e-2", slots=4, software_version="v2")
    allocator = make_allocator(old, new)
    record_paces(allocator)
    for number in range(8):
        request = builders.make_slot_request(f"running-{number}")
        allocator.request_slot("a", request, 1.0)
    for number in range(8):
        request = builders.make_slot_request(
            f"ahead-{number}", software_version=ahead
        )
        assert not denied(allocator.request_slot("a", request, 1.0))
    resumed = builders.make_slot_request(software_version="v1", wait_until=2.0)
    assert not denied(allocator.request_slot("a", resumed, 1.0))
    late = builders.make_slot_request(
        "r-2", software_version="v1", wait_until=1.2
    )
    assert denied(allocator.request_slot("a", late, 1.0))


def test_a_slot_request_keeps_its_version_between_instances():
    request = builders.make_slot_request(software_version="v1")
    sent = datagrams.encode(conversions.encode_slot_request("a", request, 0.0))
    received = datagrams.decode(sent).unwrap()
    assert conversions.decode_slot_request(received, 0.0) == request


def test_an_endpoint_that_lost_a_request_backs_off():
    allocator = make_allocator(builders.make_endpoint("e-1"))
    allocator.request_slot("a", builders.make_slot_request("r-1"), 0.0)
    allocator.release("r-1", Outcome.LOST, 0.1)
    assert not granted(
        allocator.request_slot("b", builders.make_slot_request("r-2"), 0.2)
    )
    assert "r-2" in granted(allocator.tick(0.6))


def test_slots_of_an_unreachable_instance_are_freed():
    allocator = make_allocator(builders.make_endpoint(slots=1))
    allocator.request_slot("a", builders.make_slot_request("r-1"), 0.0)
    allocator.request_slot("b", builders.make_slot_request("r-2"), 0.0)
    assert "r-2" in granted(allocator.remove_holder("a", 2.0))


def test_a_new_allocator_registers_running_requests():
    allocator = make_allocator(builders.make_endpoint(slots=1))
    allocator.apply_report("b", [messages.Granted("x-1", "e-1")], 0.0)
    assert not granted(
        allocator.request_slot("a", builders.make_slot_request("r-1"), 0.1)
    )
    assert "r-1" in granted(allocator.apply_report("b", [], 1.0))


def test_a_repeated_slot_request_gets_the_same_answer():
    allocator = make_allocator(builders.make_endpoint(slots=1))
    request = builders.make_slot_request("r-1")
    first = granted(allocator.request_slot("a", request, 0.0))
    assert granted(allocator.request_slot("a", request, 0.1)) == first
    assert allocator.lease_count == 1


def test_a_queued_request_is_denied_at_its_time_limit():
    allocator = make_allocator(builders.make_endpoint(slots=1))
    allocator.request_slot("a", builders.make_slot_request("r-1"), 0.0)
    allocator.request_slot(
        "a", builders.make_slot_request("r-2", wait_until=1.0), 0.0
    )
    assert denied(allocator.tick(1.0)) == {"r-2": "waited"}


def test_a_restart_clears_the_backoff_of_an_endpoint():
    allocator = make_allocator(builders.make_endpoint("e-1"))
    allocator.request_slot("a", builders.make_slot_request("r-1"), 0.0)
    allocator.release("r-1", Outcome.LOST, 0.1)
    restarted = builders.make_endpoint("e-1", started_ms=2)
    allocator.update_endpoints({"e-1": restarted}, 0.2)
    assert granted(
        allocator.request_slot("a", builders.make_slot_request("r-2"), 0.2)
    )


class PressedAllocator:
    """An allocator in touch with b, c and d; one organisation presses.

    Its quota is 8,500 in 8 s, without tolerance; each request costs 500.
    """

    COST = 500.0
    QUOTA = 8500.0

    def __init__(self, now: float):
        organisation = builders.make_organisation()
        tolerance = quotas.OverrunTolerance(8.0, 0.0, 0.0)
        accounts = [
            quotas.Quotas(lambda name: organisation, tolerance)
            for _ in range(2)
        ]
        self._now = now
        self._mesh = fakes.FakeMesh(now)
        self._sent = 0
        endpoints = make_allocator(builders.make_endpoint(slots=100))
        self._charges = charges.Charges(*accounts)
        self._allocator = allocation.SharedAllocator(
            "a", endpoints, self._charges
        )
        self._allocator.set_mesh(self._mesh)
        self._allocator.tick(now)

    def count_grants(self) -> int:
        """Returns how many of 50 more requests have been granted, and before.

        They come from b, c and d in turn.
        """
        self.ask(range(self._sent, self._sent + 50))
        self._sent += 50
        return len(self.grants)

    @property
    def grants(self) -> list[datagrams.Grant]:
        """The grants so far."""
        return [m for m in self._mesh.sent if isinstance(m, datagrams.Grant)]

    @property
    def denials(self) -> list[datagrams.Deny]:
        """The denials so far."""
        return [m for m in self._mesh.sent if isinstance(m, datagrams.Deny)]

    @property
    def usage(self) -> list[datagrams.QuotaUsage]:
        """The usage by requests of the allocator itself."""
        return self._charges.usage_not_granted_by("", self._now)

    def finish(self) -> None:
        """Lets it use no more."""
        self._allocator.finish()

    async def ask_itself(self, number: int) -> messages.Decision:
        """Asks for a slot for a request of the allocator itself."""
        self._allocator.settle()
        return await self._allocator.acquire(
            builders.make_slot_request(
                f"own-{number}",
                organisation="studio",
                cost=self.COST,
                wait_until=self._now + 10.0,
            )
        )

    def ask_in_time(self, first: int, last: int) -> None:
        """Sends requests that may wait, or sends them again."""
        self.ask(range(first, last), wait_until=self._now + 10.0)

    def ask(self, numbers: range, **changes) -> None:
        """Sends the requests of some numbers, whether they are new or not."""
        for number in numbers:
            request = builders.make_slot_request(
                f"{number}", organisation="studio", cost=self.COST, **changes
            )
            datagram = conversions.encode_slot_request(
                "bcd"[number % 3], request, self._now
            )
            self._allocator.receive(datagram.name, datagram)

    def receive_heartbeat(self, name: str, used: float | None) -> None:
        """Receives a heartbeat, with the usage it reports; None for no report.

        Instances report to the allocator only, that is, to the one that they
        take for it.
        """
        report = None
        if used is not None:
            usage = [datagrams.QuotaUsage("studio", used, 1.0)]
            report = datagrams.Report([], usage)
        status = datagrams.Status(1, 0, 1, 4, 60_000)
        ping = datagrams.Ping(name, "l", f"{name}:1", "n", 1, status, report)
        self._allocator.receive(name, ping)


async def test_a_new_allocator_grants_no_quota_before_it_has_reports():
    # Load: the allocator fails while an organisation is at the limit of its
    # quota; its successor gets slot requests before it has the usage reports.
    pressed = PressedAllocator(asyncio.get_running_loop().time())
    # Only one of four instances, itself, has reported: a quarter.
    assert pressed.count_grants() <= pressed.QUOTA / 4 / pressed.COST
    for name in ("b", "c", "d"):
        pressed.receive_heartbeat(name, 1500.0)
    left = pressed.QUOTA - 3 * 1500
    assert pressed.count_grants() <= left / pressed.COST


async def test_requests_wait_for_the_reports_to_a_new_allocator(monkeypatch):
    # Load: the allocator stops as planned; all requests of that moment ask its
    # successor before anybody has reported to it.
    clock = stepped_clock.SteppedClock(monkeypatch)
    pressed = PressedAllocator(asyncio.get_running_loop().time())
    pressed.ask_in_time(0, 9)
    assert len(pressed.grants) <= pressed.QUOTA / 4 / pressed.COST
    assert not pressed.denials
    for name in ("b", "c", "d"):
        pressed.receive_heartbeat(name, 100.0)
    clock.step(0.15)
    pressed.ask_in_time(0, 9)
    assert {each.id for each in pressed.grants} >= {f"{n}" for n in range(9)}
    assert not pressed.denials


async def test_the_requests_of_a_new_allocator_itself_wait_for_the_reports():
    pressed = PressedAllocator(asyncio.get_running_loop().time())
    async with asyncio.TaskGroup() as group:
        own = [group.create_task(pressed.ask_itself(n)) for n in range(9)]
        await asyncio.sleep(0.01)
        assert not all(each.done() for each in own)
        for name in ("b", "c", "d"):
            pressed.receive_heartbeat(name, 100.0)
    assert all(isinstance(each.result(), messages.Granted) for each in own)


async def test_an_instance_that_told_its_final_usage_uses_no_more():
    pressed = PressedAllocator(asyncio.get_running_loop().time())
    async with asyncio.TaskGroup() as group:
        own = [group.create_task(pressed.ask_itself(n)) for n in range(9)]
        await asyncio.sleep(0.01)
        granted = sum(each.done() for each in own)
        pressed.finish()
        for name in ("b", "c", "d"):
            pressed.receive_heartbeat(name, 100.0)
    results = [each.result() for each in own]
    denied = [each for each in results if isinstance(each, messages.Denied)]
    assert 0 < len(denied) == len(own) - granted
    assert sum(u.cost for u in pressed.usage) == granted * pressed.COST


async def test_requests_wait_for_no_reports_beyond_the_time_for_them(
    monkeypatch,
):
    clock = stepped_clock.SteppedClock(monkeypatch)
    pressed = PressedAllocator(asyncio.get_running_loop().time())
    pressed.ask_in_time(0, 9)
    waiting = {f"{n}" for n in range(9)} - {each.id for each in pressed.grants}
    clock.step(allocation.TAKEOVER_SECONDS + 0.1)
    pressed.ask_in_time(0, 9)
    assert {each.id for each in pressed.denials} == waiting


async def test_a_new_allocator_refuses_at_once_what_is_over_the_whole_quota():
    pressed = PressedAllocator(asyncio.get_running_loop().time())
    for name in ("b", "c", "d"):
        pressed.receive_heartbeat(name, pressed.QUOTA / 3)
    pressed.ask_in_time(0, 9)
    assert len(pressed.denials) == 9


async def test_an_allocator_leaves_quota_to_the_one_that_others_turned_to():
    # Load: the allocator falls silent for a moment while an organisation
    # presses; some instances turn to its successor, which grants them more.
    pressed = PressedAllocator(asyncio.get_running_loop().time())
    for name in ("b", "c", "d"):
        pressed.receive_heartbeat(name, 1500.0)
    for name in ("b", "c"):
        pressed.receive_heartbeat(name, None)
    # Two of four instances report to it: what is used is more than it may
    # grant.
    assert pressed.count_grants() == 0
    for name in ("b", "c"):
        pressed.receive_heartbeat(name, 1500.0)
    left = pressed.QUOTA - 3 * 1500
    assert pressed.count_grants() == left / pressed.COST


@pytest.mark.parametrize(
    ("outcome", "told"),
    [
        (Outcome.CRASHED, True),
        (Outcome.SERVED, True),
        (Outcome.FAILED, False),
    ],
)
async def test_an_allocator_learns_what_its_predecessors_grants_showed(
    outcome, told
):
    # Load: the allocator changes while requests with a faulty part run.
    mesh = fakes.GrantingMesh(asyncio.get_running_loop().time())
    tolerance = quotas.OverrunTolerance(8.0, 0.0, 0.0)
    accounts = [quotas.Quotas(lambda _: None, tolerance) for _ in range(2)]
    mesh.holder = allocation.SharedAllocator(
        "a",
        make_allocator(builders.make_endpoint("e-1")),
        charges.Charges(*accounts),
    )
    mesh.holder.set_mesh(mesh)
    mesh.allocator = "b"
    request = builders.make_slot_request("r-1", parts=("bad",))
    await mesh.holder.acquire(request)
    mesh.allocator = "c"
    mesh.holder.release(request, outcome)
    release = datagrams.Release("r-1", outcome, ["bad"])
    assert (("c", release) in mesh.told) is told
    assert any(name == "b" for name, _ in mesh.told[1:])


def test_a_stream_that_waits_to_go_on_counts_as_running_at_its_version():
    """Endpoints of a version must not stop while its streams are to go on."""
    allocator = make_allocator(builders.make_endpoint("e-1", slots=1))
    first = builders.make_slot_request("r-1")
    allocator.request_slot("a", first, 0.0)
    resumed = builders.make_slot_request("r-2", software_version="v1")
    allocator.request_slot("a", resumed, 0.1)
    assert allocator.requests_at(["e-1"]) == ["r-1", "r-2"]
    allocator.withdraw("r-2")
    assert allocator.requests_at(["e-1"]) == ["r-1"]
