"""Freshness, directory, budgets, quotas, members: what is believed when."""

import pytest

from cranberryglade.gateway import admission
from cranberryglade.gateway import budgets
from cranberryglade.gateway import catalogue
from cranberryglade.gateway import charges
from cranberryglade.gateway import directory
from cranberryglade.gateway import freshness
from cranberryglade.gateway import members
from cranberryglade.gateway import quotas
from cranberryglade.tests import gateway_builders as builders


class Always:
    """Chooses the first of what it is given."""

    def choices(self, options, weights):
        return [options[0]]


def decide(facts, known, fresh, now):
    return admission.Admission(fresh, Always()).decide(facts, known, now)


def fresh_at(now, revoke_seconds=5.0):
    made = freshness.Freshness(revoke_seconds)
    made.confirm(now)
    return made


def test_keys_are_admitted_until_shortly_before_the_bound():
    fresh = fresh_at(10.0)
    known = builders.a_catalogue()
    admitted = decide(builders.the_facts(), known, fresh, 14.4)
    assert isinstance(admitted, admission.Admitted)
    refused = decide(builders.the_facts(), known, fresh, 14.6)
    assert refused.status == 503
    assert refused.retry_after_seconds


@pytest.mark.parametrize("revoke_seconds", [1.0, 2.0, 5.0, 30.0])
def test_the_store_is_asked_before_keys_are_refused(revoke_seconds):
    # Two heartbeats may pass until the one that asks has told the others.
    fresh = fresh_at(0.0, revoke_seconds)
    ages = [n / 100 for n in range(10_000)]
    asked = next(age for age in ages if fresh.probe_due(age))
    assert fresh.admits_keys(asked + min(0.6, 0.4 * revoke_seconds))
    last = max(age for age in ages if fresh.admits_keys(age))
    assert last < revoke_seconds - min(0.4, 0.2 * revoke_seconds)


def test_a_late_confirmation_does_not_take_back_a_newer_one():
    fresh = fresh_at(10.0)
    fresh.confirm(8.0)
    assert fresh.age(11.0) == 1.0


def test_what_is_not_listed_is_unknown_only_while_the_list_is_fresh():
    known = builders.a_catalogue()
    nowhere = builders.the_facts(path="/other/")
    stranger = builders.the_facts(key="nobody")
    assert decide(nowhere, known, fresh_at(10.0), 10.5).status == 404
    assert decide(stranger, known, fresh_at(10.0), 10.5).status == 401
    assert decide(nowhere, known, fresh_at(10.0), 13.0).status == 503
    assert decide(stranger, known, fresh_at(10.0), 13.0).status == 503


def test_without_a_configuration_nothing_is_told_to_be_unknown():
    fresh = freshness.Freshness(5.0)
    refused = decide(builders.the_facts(), None, fresh, 1.0)
    assert refused.status == 503


def test_the_rank_of_the_organisation_goes_before_that_of_the_route():
    routes = [builders.a_route(rank=2)]
    known = builders.a_catalogue(routes=routes)
    low = decide(builders.the_facts(), known, fresh_at(0.0), 0.0).rank
    urgent = [builders.an_organisation(rank=0)]
    known = builders.a_catalogue(routes=routes, organisations=urgent)
    high = decide(builders.the_facts(), known, fresh_at(0.0), 0.0).rank
    known = builders.a_catalogue(routes=[builders.a_route(rank=1)])
    between = decide(builders.the_facts(), known, fresh_at(0.0), 0.0).rank
    assert high < between < low


def test_the_longest_prefix_wins():
    routes = [
        builders.a_route(name="short", prefix="/brief/"),
        builders.a_route(name="long", prefix="/brief/new/"),
    ]
    known = builders.a_catalogue(routes=routes)
    assert known.route("Example.Test", "/brief/new/1").name == "long"
    assert known.route(builders.HOST, "/brief/newer").name == "short"
    assert known.route("elsewhere.test", "/brief/") is None


def test_time_left_is_the_shorter_of_patience_and_timeout():
    known = builders.a_catalogue()
    hasty = builders.the_facts(patience_seconds=0.7)
    assert decide(hasty, known, fresh_at(0.0), 0.0).seconds == 0.7
    patient = builders.the_facts(patience_seconds=None)
    assert decide(patient, known, fresh_at(0.0), 0.0).seconds == 2.0


def listed(book):
    return sorted(book.listed)


def test_a_removed_endpoint_is_out_of_use_at_once():
    book = directory.Directory()
    book.put(builders.an_endpoint("e-1"), 3)
    assert book.remove("e-1", 4, 10.0)
    assert listed(book) == []


def test_entries_that_lapsed_in_an_outage_have_time_to_come_back():
    book = directory.Directory()
    book.put(builders.an_endpoint("e-1"), 3)
    book.put(builders.an_endpoint("e-2"), 4)
    book.store_lost()
    book.store_back(20.0)
    assert not book.keep_only(set(), 9, 20.0)
    assert listed(book) == ["e-1", "e-2"]
    book.put(builders.an_endpoint("e-1"), 11)
    assert book.next_wake == pytest.approx(20.0 + directory.RETURN_SECONDS)
    assert book.expire(23.0)
    assert listed(book) == ["e-1"]


def test_a_stale_reading_takes_nothing_back():
    book = directory.Directory()
    book.put(builders.an_endpoint("e-1"), 8)
    assert not book.put(builders.an_endpoint("e-1", leaving=True), 6)
    assert not book.remove("e-1", 7, 10.0)
    assert not book.keep_only(set(), 7, 10.0)
    assert listed(book) == ["e-1"]


def test_repeats_stay_within_the_budget_in_any_window():
    budget = budgets.RetryBudget(0.2, 40.0, 10.0, -100.0)
    spent = []
    for tick in range(400):
        now = tick * 0.1
        budget.first("s", now)
        while budget.spend("s", 0.5, now):
            spent.append(now)
    for start in spent:
        window = sum(start <= at < start + 10.0 for at in spent)
        assert window <= 0.2 * 100 + 40.0 * 0.5


def test_the_budget_is_smaller_right_after_a_start():
    young = budgets.RetryBudget(0.2, 40.0, 10.0, 0.0)
    old = budgets.RetryBudget(0.2, 40.0, 10.0, -100.0)
    assert sum(young.spend("s", 1.0, 0.0) for _ in range(60)) == 12
    assert sum(old.spend("s", 1.0, 0.0) for _ in range(60)) == 24


def make_quotas(holder, slack=0.0, ratio=0.0):
    tolerance = quotas.Tolerance(8.0, ratio, slack)
    return quotas.Quotas(lambda name: holder, tolerance)


def spend(counted, cost, share, times):
    total = 0.0
    for now in times:
        if counted.take("studio", cost, share, now) == 0.0:
            total += cost
    return total


def granted_at(counted, cost, share, times):
    return [
        now for now in times if counted.take("studio", cost, share, now) == 0.0
    ]


def test_a_quota_holds_in_any_window():
    counted = make_quotas(builders.an_organisation())
    times = [n / 100 for n in range(4000)]
    granted = granted_at(counted, 50.0, 1.0, times)
    most = max(
        sum(begun <= at < begun + 8.0 for at in granted) for begun in granted
    )
    assert 50.0 * most <= 1000.0 * 8 + 500.0
    assert 50.0 * len(granted) >= 1000.0 * 39


def test_a_burst_may_use_the_quota_of_a_whole_window():
    # Load: an organisation is idle and then sends all that a window allows
    # within one second, again and again.
    counted = make_quotas(builders.an_organisation())
    for begun in (0.0, 10.0, 20.0):
        times = [begun + n / 200 for n in range(200)]
        assert spend(counted, 50.0, 1.0, times) == 8500.0


def test_the_tolerance_is_used_in_part():
    strict = make_quotas(builders.an_organisation())
    lenient = make_quotas(builders.an_organisation(), slack=4000.0)
    burst = [5.0] * 400
    extra = spend(lenient, 50.0, 1.0, burst) - spend(strict, 50.0, 1.0, burst)
    assert extra == 4000.0 * quotas.TOLERANCE_USED


def test_a_refusal_tells_when_the_request_would_fit():
    counted = make_quotas(builders.an_organisation())
    spend(counted, 50.0, 1.0, [5.0] * 85 + [6.0] * 85)
    wait = counted.take("studio", 100.0, 1.0, 7.0)
    assert wait > 5.0
    assert counted.take("studio", 100.0, 1.0, 6.9 + wait) > 0.0
    assert counted.take("studio", 100.0, 1.0, 7.01 + wait) == 0.0


def test_what_did_not_run_is_given_back():
    counted = make_quotas(builders.an_organisation())
    spend(counted, 50.0, 1.0, [5.0] * 170)
    assert counted.take("studio", 50.0, 1.0, 6.0) > 0.0
    counted.give_back("studio", 50.0, 5.0)
    assert counted.take("studio", 50.0, 1.0, 6.0) == 0.0
    # It doesn't count twice once the window has passed.
    assert spend(counted, 50.0, 1.0, [20.0] * 400) == 8500.0


def test_what_others_granted_counts_until_it_leaves_the_window():
    counted = make_quotas(builders.an_organisation())
    counted.report("a", [quotas.Spend("studio", 8400.0, 2.0, "old-life")])
    assert spend(counted, 50.0, 1.0, [5.0] * 10) == 100.0
    assert spend(counted, 50.0, 1.0, [10.1] * 400) == 8400.0


def test_a_ledger_tells_a_new_allocator_only_what_it_did_not_grant():
    ledger = quotas.Ledger()
    ledger.add(quotas.Spend("studio", 100.0, 1.0, "old-life"))
    ledger.add(quotas.Spend("studio", 300.0, 8.0, "old-life"))
    ledger.add(quotas.Spend("studio", 70.0, 9.0, "new-life"))
    told = quotas.spends(ledger.unknown_to("new-life", 8.0, 9.5), 9.5)
    assert [each.cost for each in told] == [300.0]
    assert 8.0 <= told[0].at <= 9.0


OLD = 60.0


def test_a_new_allocator_trusts_those_who_remember():
    new = charges.Recollection(0.0, 6, (OLD,) * 5 + (0.0,))
    assert new.share(8.0) == pytest.approx(5 / 6)
    after_all_died = charges.Recollection(2.0, 6, (2.0,) * 6)
    assert after_all_died.share(8.0) == 0.25


def test_a_change_of_the_allocator_does_not_take_the_memory_back():
    # Load: all were killed at once, and the first to come back allocate for
    # a moment only.
    view = members.Members("a", "north", 0.0)
    for name in ("b", "c"):
        view.learn(name, f"{name}:1", "north", 0.0)
        view.hear(name, "life-1", 4.0, 4.0)
    new = charges.Recollection(0.0, 3, view.ages({"b", "c"}, 4.0))
    assert new.share(8.0) == pytest.approx(0.5)


def test_an_allocator_of_a_whole_window_knows_everything():
    settled = charges.Recollection(9.0, 6, (9.0,) + (0.0,) * 5)
    assert settled.share(8.0) == 1.0


@pytest.mark.parametrize(
    "sides", [[6], [5, 1], [4, 2], [3, 3], [2, 2, 2], [3, 2, 1], [1] * 6]
)
def test_all_sides_of_a_cut_together_keep_the_quota(sides):
    # Load: instances that are cut off from the others meet each other, and
    # each side has an allocator of its own.
    shares = [
        charges.Recollection(20.0, sum(sides), (OLD,) * side).share(8.0)
        for side in sides
    ]
    assert sum(shares) <= 1.0


def test_a_request_that_is_denied_costs_nothing():
    holder = builders.an_organisation()
    counted = make_quotas(holder)
    charging = charges.Charges(counted, make_quotas(holder))
    recalled = charges.Recollection(20.0, 1, (OLD,))
    need = builders.a_need("a.1", organisation="studio", cost=8500.0)
    assert charging.charge(need, recalled, 5.0) == 0.0
    charging.refund("a.1")
    assert charging.charge(need, recalled, 5.1) == 0.0
    charging.keep("a.1")
    charging.refund("a.1")
    assert charging.charge(need, recalled, 5.2) > 0.0


def test_what_was_granted_alone_is_told_to_every_allocator():
    holder = builders.an_organisation()
    charging = charges.Charges(make_quotas(holder), make_quotas(holder))
    need = builders.a_need("a.1", organisation="studio", cost=80.0)
    charging.note(need, charges.NOBODY, 5.0)
    # Also to the own life, when it becomes the allocator.
    assert [each.cost for each in charging.unknown_to("own", 6.0)] == [80.0]
    assert charging.unknown_to("own", 14.0) == []


def test_a_lower_quota_comes_into_force_over_one_window():
    holder = builders.an_organisation()
    counted = quotas.Quotas(
        lambda name: holder, quotas.Tolerance(8.0, 0.0, 0.0)
    )
    assert counted.take("studio", 500.0, 1.0, 5.0) == 0.0
    holder = builders.an_organisation(rate=10.0, burst=20.0)
    assert counted.take("studio", 10.0, 1.0, 5.0) == 0.0
    times = [13.4 + n / 10 for n in range(80)]
    assert spend(counted, 10.0, 1.0, times) <= 100.0


def heard(view, *names, now):
    for name in names:
        view.learn(name, f"{name}:1", "north", now)
        view.hear(name, "life-1", now, now)


def test_all_who_hear_each_other_agree_on_the_allocator():
    names = ["a", "b", "c", "d"]
    chosen = set()
    for own in names:
        view = members.Members(own, "north", 0.0)
        heard(view, *(n for n in names if n != own), now=0.0)
        chosen.add(view.allocator(0.1))
    assert len(chosen) == 1


def test_a_silent_or_stopping_instance_does_not_allocate():
    view = members.Members("b", "north", 0.0)
    heard(view, "a", "c", "d", "e", "f", now=0.0)
    first = view.allocator(0.1)
    assert first != "b"
    view.stopping(first, "life-1")
    assert view.allocator(0.1) != first
    view.hear(first, "life-2", 0.0, 0.2)
    assert view.allocator(0.2) == first
    view.suspect(first, 0.6)
    assert view.allocator(0.3) != first
    assert view.allocator(10.0) == "b"


def test_a_new_life_does_not_allocate_while_there_are_older_ones():
    view = members.Members("b", "north", 0.0)
    names = ["a", "c", "d", "e", "f"]
    for now in (0.0, 10.0):
        heard(view, *names, now=now)
    first = view.allocator(10.0)
    view.hear(first, "life-2", 0.0, 10.0)
    assert view.allocator(10.0) != first
    heard(view, *(n for n in names if n != first), now=13.5)
    view.hear(first, "life-2", 3.5, 13.5)
    assert view.allocator(13.5) == first


def test_an_instance_that_is_gone_gives_its_share_back():
    view = members.Members("a", "north", 0.0)
    heard(view, "b", "c", now=0.0)
    assert view.known(1.0) == 3
    assert view.present(1.5) == 1
    assert view.known(members.KNOWN_SECONDS + 1) == 1


@pytest.mark.parametrize(
    ("kind", "repeatable"),
    [
        (catalogue.Kind.IDEMPOTENT, True),
        (catalogue.Kind.RESUMABLE, True),
        (catalogue.Kind.ONCE, False),
        (catalogue.Kind.STREAM, False),
    ],
)
def test_only_these_kinds_may_be_repeated(kind, repeatable):
    assert kind.repeatable is repeatable


def test_many_instances_keep_in_touch_with_few_and_agree():
    names = [f"gate-{number}" for number in range(80)]
    views = {name: members.Members(name, "north", 0.0) for name in names}
    for view in views.values():
        for number, other in enumerate(names):
            domain = ("north", "south")[number % 2]
            view.learn(other, f"{other}:1", domain, 0.0)
        assert len(view.contacts) <= 2 * members.CONTACTS
        for contact in view.contacts:
            view.hear(contact.name, "life-1", 4.0, 4.0)
            contact.told = 80
    assert len({view.allocator(4.1) for view in views.values()}) == 1
    later = members.KNOWN_SECONDS + 10
    for view in views.values():
        for contact in view.contacts:
            view.hear(contact.name, "life-1", later, later)
        assert view.known(later) == 80


def test_few_of_many_instances_are_contacts_of_others():
    names = [f"gate-{number}" for number in range(300)]
    views = []
    for number, own in enumerate(names):
        view = members.Members(own, ("north", "south")[number % 2], 0.0)
        for place, other in enumerate(names):
            domain = ("north", "south")[place % 2]
            view.learn(other, f"{other}:1", domain, 0.0)
        views.append(view)
    assert sum(view.relays for view in views) <= 3 * members.CONTACTS
    told = next(view for view in views if not view.relays)
    assert not told.informed(1.0)
    for contact in told.contacts:
        told.hear(contact.name, "life-1", 4.0, 4.0)
        contact.confirmed = 3.5
    assert told.informed(4.1)
    # All of them are cut off from the store.
    for contact in told.contacts:
        told.hear(contact.name, "life-1", 9.0, 9.0)
    assert not told.informed(9.1)
