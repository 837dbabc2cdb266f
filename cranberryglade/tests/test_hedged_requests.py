"""Hedged requests among scripted endpoints, under any order of events."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from cranberryglade.gateway import configuration
from cranberryglade.gateway import messages
from cranberryglade.hedging import control
from cranberryglade.hedging import options
from cranberryglade.hedging import share
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import test_replacing

Kind = configuration.Kind

LATE_SECONDS = 0.04
SEEDS = strategies.integers(0, 2**32)


def make_world(seed, kind) -> test_replacing.World:
    """Returns one in which answers are late after LATE_SECONDS."""
    hedges = control.HedgeControl(options.HedgingOptions(request_share=0.2))
    for _ in range(100):
        hedges.record_request(builders.SERVICE, Kind.IDEMPOTENT, 0.0)
        hedges.record_answer(
            builders.SERVICE, Kind.IDEMPOTENT, LATE_SECONDS, 0.0
        )
    world = test_replacing.World(seed, kind, hedges=hedges)
    world.hedges = hedges
    return world


def hedges_taken(world) -> int:
    """Returns how many hedges were taken from the share and not given back."""
    return round(100 * world.hedges.extra_share(0.0))


def count(world, event) -> int:
    return int(world.metrics.event_counter.labels(event)._value.get())


def check_limits(world):
    """Checks what holds of any request, hedged or not."""
    works = world.sender.works
    assert world.allocator.held == {}
    assert len(works) <= test_replacing.MAX_ATTEMPTS
    assert all(work.ended_at is not None for work in works)
    assert len({work.endpoint for work in works}) == len(works)
    assert world.budget.taken == max(0, len(works) - 1)
    costs = [request.cost for request in world.allocator.requests]
    assert not any(costs[1:])
    if world.connection.status in (429, 503):
        assert all(work.refused for work in works)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(SEEDS)
def test_slots_and_retries_are_right_however_a_hedge_ends(seed):
    world = test_replacing.play(make_world(seed, Kind.IDEMPOTENT))
    check_limits(world)
    asked = count(world, "hedge_asked")
    assert asked == count(world, "hedge_won") + count(world, "hedge_lost")
    requests = world.allocator.requests
    hedges = [e for e in requests if e.rank == messages.HEDGE_RANK]
    # Endpoints that were withheld are asked for again.
    assert asked <= 1
    assert asked <= len(hedges)
    # Guards against a share that is used up by hedges that were never sent.
    assert hedges_taken(world) <= max(0, len(world.sender.works) - 1)
    assert world.connection.data.count(b"whole") <= 1


@settings(derandomize=True, max_examples=200, deadline=None)
@given(SEEDS, strategies.sampled_from((Kind.ONCE, Kind.STREAM, Kind.RESUMABLE)))
def test_no_other_kind_is_hedged(seed, kind):
    world = test_replacing.play(make_world(seed, kind))
    check_limits(world)
    requests = world.allocator.requests
    assert all(each.rank != messages.HEDGE_RANK for each in requests)


class TwoEndpoints(test_replacing.ScriptedSender):
    """The first attempt takes long, and others answer at once."""

    def __init__(self, first_seconds):
        super().__init__(None)
        self._first_seconds = first_seconds

    async def send(
        self, request, endpoint, added, facts, repeatable, streams, on_sent
    ):
        now = asyncio.get_running_loop().time
        work = test_replacing.Work(endpoint.id, now())
        seconds = 0.05 if self.works else self._first_seconds
        self.works.append(work)
        on_sent()
        try:
            await asyncio.sleep(seconds)
        finally:
            work.end()
        return test_replacing.sending.Answer(
            messages.Outcome.SERVED, test_replacing.HEAD, endpoint.id.encode()
        )


class FreeSlots(test_replacing.ScriptedAllocator):
    """Grants at once; records when slots are given back."""

    def __init__(self, late_after_seconds):
        super().__init__(None, False)
        self._late_after_seconds = late_after_seconds
        self.told: list[float] = []
        self.released: list[tuple[float, messages.Outcome]] = []

    async def acquire(self, request):
        self.requests.append(request)
        endpoint = test_replacing.ENDPOINTS[len(self.requests)]
        self.held[request.id] = endpoint
        return messages.Granted(request.id, endpoint, self._late_after_seconds)

    def release(self, request, outcome, first_answer_seconds=None):
        super().release(request, outcome)
        self.told.append(round(first_answer_seconds, 3))
        at = round(asyncio.get_running_loop().time(), 3)
        self.released.append((at, outcome))


def play_two(first_seconds, late_after_seconds=None):
    world = make_world(1, Kind.IDEMPOTENT)
    world.leaves_after = None
    world._forwarder._sender = world.sender = TwoEndpoints(first_seconds)
    world._forwarder._attempts._sender = world.sender
    world.allocator = world._forwarder._attempts._allocator = FreeSlots(
        late_after_seconds
    )
    return test_replacing.play(world)


def test_late_attempt_is_stopped_once_its_hedge_has_the_answer():
    world = play_two(first_seconds=1.0)
    answered = round(LATE_SECONDS + 0.05, 3)
    assert world.connection.data.endswith(b"e-2")
    assert world.allocator.released == [
        (answered, messages.Outcome.ABANDONED),
        (answered, messages.Outcome.SERVED),
    ]
    assert world.sender.distrusted == []
    assert count(world, "hedge_won") == 1


def test_threshold_of_the_grant_is_used_and_no_hedge_of_the_own_share():
    # Else each instance would hedge by its own share beside the common one.
    world = play_two(first_seconds=1.0, late_after_seconds=0.2)
    assert world.allocator.released[0] == (0.25, messages.Outcome.ABANDONED)
    assert [each.takes_common_hedge for each in world.allocator.requests] == [
        False,
        True,
    ]
    assert world.allocator.told == [0.25, 0.05]
    taken = 0
    while not world.hedges.try_take(builders.SERVICE, False, 0.0):
        taken += 1
    assert taken == share.MAX_TOKENS


def test_hedge_is_stopped_once_the_late_attempt_has_the_answer():
    world = play_two(first_seconds=0.06)
    assert world.connection.data.endswith(b"e-1")
    assert world.allocator.released == [
        (0.06, messages.Outcome.ABANDONED),
        (0.06, messages.Outcome.SERVED),
    ]
    assert count(world, "hedge_lost") == 1
