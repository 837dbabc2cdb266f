"""One instance allocates, however many are stopped at once."""

import pytest

from cranberryglade.gateway import membership

COUNT = 70
DOMAINS = ("north", "east", "south", "west")
NAMES = [f"gate-{number}" for number in range(COUNT)]
STARTED = 0.0
NOW = 20.0


def life_of(name: str, restarts: int = 0) -> str:
    return f"{name}-life-{restarts}"


def capacity_of(name: str) -> float:
    return 2.2 if NAMES.index(name) % 9 == 0 else 0.5


def make_view(own: str) -> membership.Membership:
    """Returns the view of an instance that knows all and hears its contacts."""
    view = membership.Membership(own, domain_of(own), STARTED, capacity_of(own))
    for name in NAMES:
        address = f"{name}:1"
        view.register(
            name, address, domain_of(name), STARTED, capacity_of(name)
        )
    hear_contacts(view, NOW)
    return view


def domain_of(name: str) -> str:
    return DOMAINS[NAMES.index(name) % len(DOMAINS)]


def hear_contacts(view: membership.Membership, now: float) -> None:
    for contact in view.contacts:
        view.record_answer(contact.name, life_of(contact.name), now, now)


def in_order_of_precedence() -> list[str]:
    view = membership.Membership("other", "north", STARTED)
    members = [
        view.register(name, f"{name}:1", "north", STARTED, capacity_of(name))
        for name in NAMES
    ]
    members.sort(key=lambda member: member.precedence, reverse=True)
    return [member.name for member in members]


STOPPING = {
    "the first half": in_order_of_precedence()[: COUNT // 2],
    "every second one": in_order_of_precedence()[::2],
    "a tenth": in_order_of_precedence()[: COUNT // 10],
    "the allocator": in_order_of_precedence()[:1],
    "the allocator and its successor": in_order_of_precedence()[:2],
    "all but one": in_order_of_precedence()[:-1],
}


@pytest.mark.parametrize("case", STOPPING)
def test_instances_that_stop_do_not_each_allocate_alone(case):
    stopping = STOPPING[case]
    allocators = set()
    for own in NAMES:
        view = make_view(own)
        for name in stopping:
            view.record_stopping(name, life_of(name))
        hear_contacts(view, NOW + 0.01)
        allocators.add(view.allocator(NOW + 0.02, own in stopping))
    (allocator,) = allocators
    assert allocator not in stopping


def test_an_instance_that_came_back_is_a_contact_again():
    first, *_ = in_order_of_precedence()
    view = make_view(in_order_of_precedence()[-1])
    assert first in {each.name for each in view.contacts}
    view.record_stopping(first, life_of(first))
    assert first not in {each.name for each in view.contacts}
    # It goes on to send heartbeats until it ends.
    view.record_heartbeat(first, life_of(first), NOW, NOW + 1)
    assert first not in {each.name for each in view.contacts}
    view.record_heartbeat(first, life_of(first, 1), 0.1, NOW + 8)
    assert first in {each.name for each in view.contacts}


def test_an_instance_that_stops_is_introduced_to_nobody():
    view = make_view(NAMES[0])
    for name in NAMES[1:]:
        view.record_heartbeat(name, life_of(name), NOW, NOW)
        view.record_stopping(name, life_of(name))
    assert view.introduction(NOW) is None


def test_an_instance_whose_return_was_missed_is_still_sent_heartbeats():
    # Its own heartbeats may go to others only.
    first, *_ = in_order_of_precedence()
    view = make_view(in_order_of_precedence()[-1])
    view.record_stopping(first, life_of(first))
    assert first in {each.name for each in view.stopping_contacts}
    view.record_answer(first, life_of(first, 1), 4.0, NOW + 12)
    assert first in {each.name for each in view.contacts}
    assert not view.stopping_contacts


@pytest.mark.parametrize("spread", [0.5, 1.0, 1.9])
def test_the_allocator_does_not_change_as_restarted_instances_grow_older(
    spread,
):
    # Load: half are started again one after the other; then the others stop.
    order = in_order_of_precedence()
    restarted = order[::2]
    own, first = restarted[-1], restarted[0]
    started = {
        name: NOW + spread * (1 - place / len(restarted))
        for place, name in enumerate(restarted)
    }
    view = membership.Membership(
        own, domain_of(own), started[own], capacity_of(own)
    )
    for name in order:
        view.register(
            name, f"{name}:1", domain_of(name), NOW, capacity_of(name)
        )
    for name in order[1::2]:
        view.record_stopping(name, life_of(name))
    allocators = set()
    for step in range(20, 100):
        now = NOW + step / 10
        for name in restarted[:-1]:
            age = now - started[name]
            view.record_answer(name, life_of(name, 1), age, now)
        allocators.add(view.allocator(now))
    assert allocators == {first}
