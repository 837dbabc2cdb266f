"""The cost of a decision does not grow with the length of the queue."""

import sys

import pytest

from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler
from cranberryglade.tests import builders

MAX_GROWTH = 1.5


def scheduler_with_queue(waiting):
    core = scheduler.Scheduler(builders.peer())
    core.handle(messages.EndpointJoined(builders.endpoint()), 0.0)
    for number in range(waiting):
        core.handle(messages.Submitted(queued(f"w{number}", number)), 0.0)
    return core


def queued(name, number):
    return builders.request(
        name,
        rank=number % 3,
        organisation=f"store-{number % 7}",
        deadline=1e9 + number,
    )


def calls_of(core, event, now):
    """Returns how many Python and C functions one event calls."""
    count = 0

    def profile(frame, kind, argument):
        nonlocal count
        count += kind in ("call", "c_call")

    sys.setprofile(profile)
    try:
        core.handle(event, now)
    finally:
        sys.setprofile(None)
    return count


def events(number):
    request = queued(f"n{number}", number)
    yield "submit", messages.Submitted(request)
    yield "cancel", messages.Cancelled(request.request_id)
    yield "tick", messages.Tick()
    yield "load", messages.LoadReported("engine-1", 1, 0, 0.5)


def cost(waiting):
    core = scheduler_with_queue(waiting)
    counts = {}
    for number in range(9):
        for name, event in events(number):
            found = calls_of(core, event, 1.0)
            counts.setdefault(name, []).append(found)
    counts["end"] = [
        calls_of(core, messages.Answered(f"w{number}", 1, 20), 2.0)
        for number in range(2)
    ]
    return {
        name: sorted(values)[len(values) // 2]
        for name, values in counts.items()
    }


@pytest.mark.parametrize("waiting", [1_000, 10_000])
def test_calls_per_event_do_not_grow_with_the_queue(waiting):
    few, many = cost(100), cost(waiting)
    assert {n: c for n, c in many.items() if c > MAX_GROWTH * few[n]} == {}
