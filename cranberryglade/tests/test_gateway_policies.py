"""Tests of configuration age, directory, budgets, quotas and members."""

import pytest

from cranberryglade.gateway import admission
from cranberryglade.gateway import budgets
from cranberryglade.gateway import charges
from cranberryglade.gateway import configuration
from cranberryglade.gateway import configuration_age
from cranberryglade.gateway import endpoint_directory
from cranberryglade.gateway import membership
from cranberryglade.gateway import ports
from cranberryglade.gateway import process_pauses
from cranberryglade.gateway import quotas
from cranberryglade.tests import gateway_builders as builders


class FirstChoice:
    """Random source that always chooses the first option."""

    def choices(self, options, weights):
        return [options[0]]


def decide(facts, config, config_age, now):
    pauses = process_pauses.ProcessPauses()
    return admission.Admission(config_age, pauses, FirstChoice()).decide(
        facts, config, now
    )


def confirmed_at(now, revoke_seconds=5.0):
    config_age = configuration_age.ConfigurationAge(revoke_seconds)
    config_age.confirm(now)
    return config_age


def test_keys_are_admitted_until_shortly_before_the_bound():
    config_age = confirmed_at(10.0)
    config = builders.make_configuration()
    admitted = decide(builders.make_facts(), config, config_age, 14.4)
    assert isinstance(admitted, admission.Admitted)
    refused = decide(builders.make_facts(), config, config_age, 14.6)
    assert refused.status == 503
    assert refused.retry_after_seconds


@pytest.mark.parametrize("revoke_seconds", [1.0, 2.0, 5.0, 30.0])
def test_the_store_is_asked_before_keys_are_refused(revoke_seconds):
    # Peers may get the confirmation of the store two heartbeats later.
    config_age = confirmed_at(0.0, revoke_seconds)
    ages = [n / 100 for n in range(10_000)]
    probed_at = next(age for age in ages if config_age.probe_due(age))
    assert config_age.admits_keys(probed_at + min(0.6, 0.4 * revoke_seconds))
    last = max(age for age in ages if config_age.admits_keys(age))
    assert last < revoke_seconds - min(0.4, 0.2 * revoke_seconds)


def test_a_late_confirmation_does_not_take_back_a_newer_one():
    config_age = confirmed_at(10.0)
    config_age.confirm(8.0)
    assert config_age.age(11.0) == 1.0


def test_unlisted_names_are_rejected_only_while_the_configuration_is_fresh():
    config = builders.make_configuration()
    unrouted = builders.make_facts(path="/other/")
    unknown_key = builders.make_facts(key="nobody")
    assert decide(unrouted, config, confirmed_at(10.0), 10.5).status == 404
    assert decide(unknown_key, config, confirmed_at(10.0), 10.5).status == 401
    assert decide(unrouted, config, confirmed_at(10.0), 13.0).status == 503
    assert decide(unknown_key, config, confirmed_at(10.0), 13.0).status == 503


def test_without_a_configuration_requests_get_503():
    config_age = configuration_age.ConfigurationAge(5.0)
    refused = decide(builders.make_facts(), None, config_age, 1.0)
    assert refused.status == 503


def test_an_organisations_rank_takes_precedence_over_the_routes():
    routes = [builders.make_route(rank=2)]
    config = builders.make_configuration(routes=routes)
    low = decide(builders.make_facts(), config, confirmed_at(0.0), 0.0).rank
    urgent = [builders.make_organisation(rank=0)]
    config = builders.make_configuration(routes=routes, organisations=urgent)
    high = decide(builders.make_facts(), config, confirmed_at(0.0), 0.0).rank
    config = builders.make_configuration(routes=[builders.make_route(rank=1)])
    between = decide(builders.make_facts(), config, confirmed_at(0.0), 0.0).rank
    assert high < between < low


def test_the_longest_prefix_wins():
    routes = [
        builders.make_route(name="short", prefix="/brief/"),
        builders.make_route(name="long", prefix="/brief/new/"),
    ]
    config = builders.make_configuration(routes=routes)
    assert config.route("Example.Test", "/brief/new/1").name == "long"
    assert config.route(builders.HOST, "/brief/newer").name == "short"
    assert config.route("elsewhere.test", "/brief/") is None


def test_the_shorter_of_the_callers_and_the_routes_timeout_applies():
    config = builders.make_configuration()
    short_timeout = builders.make_facts(caller_timeout_seconds=0.7)
    assert (
        decide(short_timeout, config, confirmed_at(0.0), 0.0).timeout_seconds
        == 0.7
    )
    without_timeout = builders.make_facts(caller_timeout_seconds=None)
    assert (
        decide(without_timeout, config, confirmed_at(0.0), 0.0).timeout_seconds
        == 2.0
    )


def listed_ids(entries):
    return sorted(entries.endpoints)


def version(number, era=0):
    return ports.Version(era, number)


def test_a_removed_endpoint_is_out_of_use_at_once():
    entries = endpoint_directory.EndpointDirectory()
    entries.put(builders.make_endpoint("e-1"), version(3))
    assert entries.remove("e-1", version(4), 10.0)
    assert listed_ids(entries) == []


def test_entries_that_expired_in_an_outage_are_retained_for_a_while():
    entries = endpoint_directory.EndpointDirectory()
    entries.put(builders.make_endpoint("e-1"), version(3))
    entries.put(builders.make_endpoint("e-2"), version(4))
    entries.store_lost()
    entries.store_regained(20.0)
    assert not entries.keep_only(set(), version(9), 20.0)
    assert listed_ids(entries) == ["e-1", "e-2"]
    entries.put(builders.make_endpoint("e-1"), version(11))
    assert entries.next_expiry == pytest.approx(
        20.0 + endpoint_directory.RECOVERY_GRACE_SECONDS
    )
    assert entries.expire(23.0)
    assert listed_ids(entries) == ["e-1"]


def test_a_stale_read_changes_nothing():
    entries = endpoint_directory.EndpointDirectory()
    entries.put(builders.make_endpoint("e-1"), version(8))
    assert not entries.put(
        builders.make_endpoint("e-1", leaving=True), version(6)
    )
    assert not entries.remove("e-1", version(7), 10.0)
    assert not entries.keep_only(set(), version(7), 10.0)
    assert listed_ids(entries) == ["e-1"]


def make_report(number, **changes):
    return builders.make_endpoint("e-1", report_number=number, **changes)


def test_an_old_copy_does_not_make_a_leaving_endpoint_ready():
    entries = endpoint_directory.EndpointDirectory()
    entries.put(make_report(4), version(8))
    entries.put(make_report(6, leaving=True), version(9))
    entries.store_restored(10.0)
    assert not entries.put(make_report(4), version(8, era=1))
    assert entries.endpoints["e-1"].leaving
    assert entries.put(make_report(7), version(9, era=1))
    assert not entries.endpoints["e-1"].leaving


def test_a_report_of_a_new_era_counts_although_its_number_is_lower():
    entries = endpoint_directory.EndpointDirectory()
    entries.put(make_report(4), version(500))
    entries.store_restored(10.0)
    assert entries.put(make_report(6, leaving=True), version(450, era=1))
    assert not entries.put(make_report(4), version(501))
    assert entries.endpoints["e-1"].leaving


def test_a_restarted_endpoint_counts_although_its_reports_start_anew():
    entries = endpoint_directory.EndpointDirectory()
    entries.put(make_report(90), version(500))
    entries.store_restored(10.0)
    restarted = make_report(1, started_ms=2)
    assert entries.put(restarted, version(450, era=1))


def test_a_removed_endpoint_that_an_old_copy_shows_is_not_used():
    entries = endpoint_directory.EndpointDirectory()
    entries.put(make_report(4), version(8))
    entries.remove("e-1", version(9), 9.0)
    entries.store_restored(10.0)
    assert not entries.put(make_report(5), version(8, era=1))
    assert listed_ids(entries) == []
    entries.remove("e-1", version(9, era=1), 12.0)
    assert not entries.expire(10.0 + endpoint_directory.WITHHOLDING_SECONDS)
    assert listed_ids(entries) == []


def test_an_endpoint_that_stays_listed_after_a_restore_is_used_again():
    entries = endpoint_directory.EndpointDirectory()
    entries.put(make_report(4), version(8))
    entries.remove("e-1", version(9), 9.0)
    entries.store_restored(10.0)
    entries.put(make_report(5), version(8, era=1))
    assert entries.expire(10.0 + endpoint_directory.WITHHOLDING_SECONDS)
    assert listed_ids(entries) == ["e-1"]


def test_an_endpoint_that_a_restored_store_shows_unchanged_stays_in_use():
    entries = endpoint_directory.EndpointDirectory()
    entries.put(make_report(4), version(8))
    entries.store_lost()
    entries.remove("e-1", version(9), 9.0)
    entries.store_regained(10.0)
    entries.store_restored(10.0)
    entries.put(make_report(4), version(8, era=1))
    assert not entries.expire(13.0)
    assert listed_ids(entries) == ["e-1"]


def test_entries_that_a_restored_store_lacks_are_retained_for_a_while():
    entries = endpoint_directory.EndpointDirectory()
    entries.put(make_report(4), version(8))
    entries.store_restored(10.0)
    assert not entries.keep_only(set(), version(5, era=1), 10.0)
    assert listed_ids(entries) == ["e-1"]
    assert entries.expire(10.0 + endpoint_directory.RECOVERY_GRACE_SECONDS)
    assert listed_ids(entries) == []


def test_retries_stay_within_the_budget_in_any_window():
    budget = budgets.RetryBudget(0.2, 40.0, 10.0, -100.0)
    spent = []
    for tick in range(400):
        now = tick * 0.1
        budget.record_request("s", now)
        while budget.try_spend("s", 0.5, now):
            spent.append(now)
    for start in spent:
        window = sum(start <= at < start + 10.0 for at in spent)
        assert window <= 0.2 * 100 + 40.0 * 0.5


def test_the_budget_is_smaller_right_after_a_start():
    starting = budgets.RetryBudget(0.2, 40.0, 10.0, 0.0)
    running = budgets.RetryBudget(0.2, 40.0, 10.0, -100.0)
    assert sum(starting.try_spend("s", 1.0, 0.0) for _ in range(60)) == 12
    assert sum(running.try_spend("s", 1.0, 0.0) for _ in range(60)) == 24


def test_retries_that_waited_for_slots_count_from_when_they_are_sent():
    # Load: all slots are taken for seconds, and then many retries are sent.
    budget = budgets.RetryBudget(0.0, 10.0, 10.0, -100.0)
    taken = 0
    while budget.try_spend("s", 1.0, 0.0):
        taken += 1
    assert taken == 6
    for _ in range(taken):
        budget.record_sent("s", 0.0, 8.0)
    assert not budget.try_spend("s", 1.0, 17.9)
    assert budget.try_spend("s", 1.0, 18.6)


def test_a_retry_that_was_given_back_may_be_taken_again():
    budget = budgets.RetryBudget(0.0, 10.0, 10.0, -100.0)
    taken = [now for now in (0.0, 1.0, 2.0) if budget.try_spend("s", 0.5, now)]
    assert taken == [0.0, 1.0, 2.0]
    assert not budget.try_spend("s", 0.5, 3.0)
    budget.give_back("s", 1.0)
    assert budget.try_spend("s", 0.5, 3.0)
    assert not budget.try_spend("s", 0.5, 3.0)


def make_quotas(organisation, slack=0.0, ratio=0.0):
    tolerance = quotas.OverrunTolerance(8.0, ratio, slack)
    return quotas.Quotas(lambda name: organisation, tolerance)


def total_charged(quota, cost, share, times):
    total = 0.0
    for now in times:
        if quota.charge("studio", cost, share, now) == 0.0:
            total += cost
    return total


def charge_times(quota, cost, share, times):
    return [
        now for now in times if quota.charge("studio", cost, share, now) == 0.0
    ]


def test_a_quota_holds_in_any_window():
    quota = make_quotas(builders.make_organisation())
    times = [n / 100 for n in range(4000)]
    granted = charge_times(quota, 50.0, 1.0, times)
    most = max(
        sum(start <= at < start + 8.0 for at in granted) for start in granted
    )
    assert 50.0 * most <= 1000.0 * 8 + 500.0
    assert 50.0 * len(granted) >= 1000.0 * 39


def test_a_burst_may_use_the_quota_of_a_whole_window():
    # Load: an organisation is idle and then sends all that a window allows
    # within one second, again and again.
    quota = make_quotas(builders.make_organisation())
    for start in (0.0, 10.0, 20.0):
        times = [start + n / 200 for n in range(200)]
        assert total_charged(quota, 50.0, 1.0, times) == 8500.0


def test_only_a_fraction_of_the_tolerance_is_granted():
    strict = make_quotas(builders.make_organisation())
    lenient = make_quotas(builders.make_organisation(), slack=4000.0)
    burst = [5.0] * 400
    overrun = total_charged(lenient, 50.0, 1.0, burst) - total_charged(
        strict, 50.0, 1.0, burst
    )
    assert overrun == 4000.0 * quotas.USED_TOLERANCE_FRACTION


def test_a_refusal_states_when_the_request_would_fit():
    quota = make_quotas(builders.make_organisation())
    total_charged(quota, 50.0, 1.0, [5.0] * 85 + [6.0] * 85)
    wait = quota.charge("studio", 100.0, 1.0, 7.0)
    assert wait > 5.0
    assert quota.charge("studio", 100.0, 1.0, 6.9 + wait) > 0.0
    assert quota.charge("studio", 100.0, 1.0, 7.01 + wait) == 0.0


def test_the_cost_of_a_request_that_did_not_run_is_refunded():
    quota = make_quotas(builders.make_organisation())
    total_charged(quota, 50.0, 1.0, [5.0] * 170)
    assert quota.charge("studio", 50.0, 1.0, 6.0) > 0.0
    quota.refund("studio", 50.0, 5.0)
    assert quota.charge("studio", 50.0, 1.0, 6.0) == 0.0
    # The refund is not applied again after the window has passed.
    assert total_charged(quota, 50.0, 1.0, [20.0] * 400) == 8500.0


def test_what_others_granted_counts_until_it_leaves_the_window():
    quota = make_quotas(builders.make_organisation())
    quota.record_report("a", [quotas.Usage("studio", 8400.0, 2.0, "old-life")])
    assert total_charged(quota, 50.0, 1.0, [5.0] * 10) == 100.0
    assert total_charged(quota, 50.0, 1.0, [10.1] * 400) == 8400.0


def test_a_ledger_reports_only_usage_that_the_allocator_did_not_grant():
    ledger = quotas.Ledger()
    ledger.add(quotas.Usage("studio", 100.0, 1.0, "old-life"))
    ledger.add(quotas.Usage("studio", 300.0, 8.0, "old-life"))
    ledger.add(quotas.Usage("studio", 70.0, 9.0, "new-life"))
    reported = quotas.decode_usage(
        ledger.usage_not_granted_by("new-life", 8.0, 9.5), 9.5
    )
    assert [each.cost for each in reported] == [300.0]
    assert 8.0 <= reported[0].at <= 9.0


LONG_UPTIME_SECONDS = 60.0


def test_a_new_allocator_counts_reports_of_older_instances():
    knowledge = charges.UsageKnowledge(
        0.0, 6, (LONG_UPTIME_SECONDS,) * 5 + (0.0,)
    )
    assert knowledge.share(8.0) == pytest.approx(5 / 6)
    after_total_restart = charges.UsageKnowledge(2.0, 6, (2.0,) * 6)
    assert after_total_restart.share(8.0) == 0.25


def test_a_change_of_allocator_keeps_the_known_usage():
    # Load: all instances are killed at once, and the first to restart are
    # allocators for a moment only.
    view = membership.Membership("a", "north", 0.0)
    for name in ("b", "c"):
        view.register(name, f"{name}:1", "north", 0.0)
        view.record_answer(name, "life-1", 4.0, 4.0)
    knowledge = charges.UsageKnowledge(0.0, 3, view.uptimes({"b", "c"}, 4.0))
    assert knowledge.share(8.0) == pytest.approx(0.5)


def test_instances_that_only_send_heartbeats_count_with_their_true_age():
    # Load: all of many instances are killed at once. The allocator gets
    # heartbeats with reports of all, but sends its own to a few only.
    view = membership.Membership("a", "north", 0.0)
    names = {f"b{number}" for number in range(87)}
    for name in names:
        view.register(name, f"{name}:1", "north", 0.5)
        view.record_heartbeat(name, "life-1", 0.5, 0.5)
    knowledge = charges.UsageKnowledge(0.5, 88, view.uptimes(names, 0.5))
    assert knowledge.share(8.0) == pytest.approx(0.5 / 8.0)
    # A later life is younger; an earlier one that is heard late is not.
    view.record_heartbeat("b1", "life-2", 0.1, 4.0)
    assert sorted(view.uptimes({"b1"}, 4.0)) == pytest.approx([0.1, 4.0])
    view.record_heartbeat("b1", "life-2", 0.5, 9.0)
    assert sorted(view.uptimes({"b1"}, 9.0)) == pytest.approx([5.1, 9.0])


def test_usage_in_the_store_counts_for_one_window_only():
    # Load: the allocator fails long after all instances were started at once.
    organisation = builders.make_organisation()
    charging = charges.Charges(
        make_quotas(organisation), make_quotas(organisation)
    )
    charging.record_stored([], 51.0)
    charging.expire(58.9)
    assert charging.has_stored_usage
    charging.expire(60.0)
    assert not charging.has_stored_usage


def test_usage_that_was_only_reported_is_stored_again():
    # Load: all instances are killed twice within one window.
    quota = make_quotas(builders.make_organisation())
    reported = quotas.Usage("studio", 8000.0, 4.0, "")
    quota.record_report(charges.STORED, [reported])
    assert quota.large_usage(0.3, 5.0) == [reported]


def test_an_allocator_for_a_whole_window_grants_the_whole_quota():
    long_allocator = charges.UsageKnowledge(9.0, 6, (9.0,) + (0.0,) * 5)
    assert long_allocator.share(8.0) == 1.0


@pytest.mark.parametrize(
    "sides", [[6], [5, 1], [4, 2], [3, 3], [2, 2, 2], [3, 2, 1], [1] * 6]
)
def test_all_sides_of_a_partition_together_keep_the_quota(sides):
    # Load: the network is partitioned, and each side has its own allocator.
    shares = [
        charges.UsageKnowledge(
            20.0, sum(sides), (LONG_UPTIME_SECONDS,) * side
        ).share(8.0)
        for side in sides
    ]
    assert sum(shares) <= 1.0


def test_a_request_that_is_denied_costs_nothing():
    organisation = builders.make_organisation()
    quota = make_quotas(organisation)
    charging = charges.Charges(quota, make_quotas(organisation))
    knowledge = charges.UsageKnowledge(20.0, 1, (LONG_UPTIME_SECONDS,))
    request = builders.make_slot_request(
        "a.1", organisation="studio", cost=8500.0
    )
    assert charging.charge(request, knowledge, 5.0) == 0.0
    charging.refund("a.1")
    assert charging.charge(request, knowledge, 5.1) == 0.0
    charging.make_final("a.1")
    charging.refund("a.1")
    assert charging.charge(request, knowledge, 5.2) > 0.0


def test_usage_granted_without_an_allocator_is_reported_to_every_allocator():
    organisation = builders.make_organisation()
    charging = charges.Charges(
        make_quotas(organisation), make_quotas(organisation)
    )
    request = builders.make_slot_request(
        "a.1", organisation="studio", cost=80.0
    )
    charging.record_usage(request, charges.NO_ALLOCATOR, 5.0)
    # Also to this instance itself, when it becomes the allocator.
    assert [
        each.cost for each in charging.usage_not_granted_by("own", 6.0)
    ] == [80.0]
    assert charging.usage_not_granted_by("own", 14.0) == []


def test_two_decreases_of_a_quota_in_one_window_come_into_force_gradually():
    limits = [8000.0, 6000.0, 2000.0]
    organisation = builders.make_organisation(rate=1000.0, burst=0.0)
    quota = quotas.Quotas(
        lambda name: organisation, quotas.OverrunTolerance(8.0, 0.0, 0.0)
    )
    granted = 0.0
    for number, limit in enumerate(limits):
        organisation = builders.make_organisation(rate=limit / 8, burst=0.0)
        now = 5.0 + number / 10
        granted += total_charged(quota, 50.0, 1.0, [now] * 160)
    # What the first quota allowed has been used; the others leave nothing.
    assert granted == 8000.0
    account = quota._account("studio", 5.2)
    assert account.current_limit(8.0, 5.2) >= 7900.0
    assert account.current_limit(8.0, 9.2) == pytest.approx(5000.0, abs=50.0)
    assert account.current_limit(8.0, 13.3) == 2000.0


def test_a_changed_window_applies_to_quotas_in_use():
    organisation = builders.make_organisation(rate=1000.0, burst=0.0)
    quota = quotas.Quotas(
        lambda name: organisation, quotas.OverrunTolerance(8.0, 0.0, 0.0)
    )
    assert total_charged(quota, 50.0, 1.0, [5.0] * 200) == 8000.0
    quota.set_tolerance(quotas.OverrunTolerance(2.0, 0.0, 0.0))
    assert total_charged(quota, 50.0, 1.0, [8.0] * 200) == 2000.0
    quota.set_tolerance(quotas.OverrunTolerance(4.0, 0.0, 0.0))
    assert total_charged(quota, 50.0, 1.0, [9.0] * 200) == 2000.0


def test_a_changed_window_applies_to_the_retry_budget():
    budget = budgets.RetryBudget(0.5, 0.0, 10.0, 0.0)
    for _ in range(8):
        budget.record_request("writers", 20.0)
    budget.set_limits(0.5, 0.0, 2.0)
    assert not budget.try_spend("writers", 1.0, 25.0)
    budget.set_limits(0.5, 0.0, 10.0)
    for _ in range(2):
        budget.record_request("writers", 26.0)
    assert budget.try_spend("writers", 1.0, 30.0)


def test_instances_with_a_small_share_each_grant_no_more_than_it():
    # Load: all instances are killed while an organisation presses; each grants
    # by itself until it knows the others.
    granted = 0.0
    for _ in range(88):
        quota = make_quotas(builders.make_organisation())
        granted += total_charged(quota, 100.0, 0.5 / 88, [5.0] * 10)
    assert granted <= 0.5 * 8500.0


def test_a_lower_quota_comes_into_force_over_one_window():
    organisation = builders.make_organisation()
    quota = quotas.Quotas(
        lambda name: organisation, quotas.OverrunTolerance(8.0, 0.0, 0.0)
    )
    assert quota.charge("studio", 500.0, 1.0, 5.0) == 0.0
    organisation = builders.make_organisation(rate=10.0, burst=20.0)
    assert quota.charge("studio", 10.0, 1.0, 5.0) == 0.0
    times = [13.4 + n / 10 for n in range(80)]
    assert total_charged(quota, 10.0, 1.0, times) <= 100.0


def add_reachable(view, *names, now):
    for name in names:
        view.register(name, f"{name}:1", "north", now)
        view.record_answer(name, "life-1", now, now)


def test_instances_that_reach_each_other_agree_on_the_allocator():
    names = ["a", "b", "c", "d"]
    chosen = set()
    for own in names:
        view = membership.Membership(own, "north", 0.0)
        add_reachable(view, *(n for n in names if n != own), now=0.0)
        chosen.add(view.allocator(0.1))
    assert len(chosen) == 1


def test_contacts_of_a_domain_watch_the_store_only_while_it_is_cut_off():
    # Load: rows of endpoints change several times a second.
    names = [f"gate-{number}" for number in range(60)]
    domains = {name: f"domain-{n % 3}" for n, name in enumerate(names)}
    views = []
    for own in names:
        view = membership.Membership(own, domains[own], 0.0)
        for other in names:
            view.register(other, f"{other}:1", domains[other], 0.0)
        views.append(view)
    relays = [v for v in views if v.is_contact and not v.is_contact_of_all]
    assert relays
    for view in relays:
        for contact in view.contacts:
            view.record_answer(contact.name, "life-1", 4.0, 4.0)
            contact.confirmed_at = 3.5
        assert view.contacts_suffice(4.1)
        # Now only those of its domain are reached. They know no more, but for
        # those of them that are contacts of all.
        for contact in view.contacts:
            if contact.domain == view._domain:
                view.record_answer(contact.name, "life-1", 9.0, 9.0)
                contact.confirmed_at = 8.5
        reached = sum(
            contact.name in view._contacts_of_all
            for contact in view.contacts
            if contact.domain == view._domain
        )
        assert view.contacts_suffice(9.1) == (
            reached >= membership.MIN_CURRENT_CONTACTS
        )


def test_all_agree_that_the_most_capable_machine_allocates():
    # Load: small machines with a few large ones among them, in two domains.
    capacities = {f"gate-{n}": 2.2 if n % 16 == 3 else 0.5 for n in range(80)}
    chosen = set()
    for own, own_capacity in capacities.items():
        view = membership.Membership(own, "north", 0.0, own_capacity)
        for other, its_capacity in capacities.items():
            view.register(other, f"{other}:1", "north", 0.0, its_capacity)
        for contact in view.contacts:
            view.record_answer(contact.name, "life-1", 4.0, 4.0)
        chosen.add(view.allocator(4.1))
        large = {m.name for m in view.contacts if m.capacity > 1}
        assert len(large) >= membership.CONTACTS_PER_GROUP
    (allocator,) = chosen
    assert capacities[allocator] == 2.2


def test_a_machine_that_became_smaller_is_a_contact_no_more():
    view = membership.Membership("a", "north", 0.0, 0.5)
    for number in range(40):
        name = f"gate-{number}"
        view.register(name, f"{name}:1", "north", 0.0, 1.0)
    first = view.contacts[0]
    view.register(first.name, first.address, "north", 5.0, 0.2)
    assert first not in view.contacts


def test_an_unreachable_or_stopping_instance_does_not_allocate():
    view = membership.Membership("b", "north", 0.0)
    add_reachable(view, "a", "c", "d", "e", "f", now=0.0)
    allocator = view.allocator(0.1)
    assert allocator != "b"
    view.record_stopping(allocator, "life-1")
    assert view.allocator(0.1) != allocator
    view.record_answer(allocator, "life-2", 0.0, 0.2)
    assert view.allocator(0.2) == allocator
    view.suspect(allocator, 0.6)
    assert view.allocator(0.3) != allocator
    assert view.allocator(10.0) == "b"


def test_a_restarted_instance_does_not_allocate_while_older_ones_run():
    view = membership.Membership("b", "north", 0.0)
    names = ["a", "c", "d", "e", "f"]
    for now in (0.0, 10.0):
        add_reachable(view, *names, now=now)
    allocator = view.allocator(10.0)
    view.record_answer(allocator, "life-2", 0.0, 10.0)
    assert view.allocator(10.0) != allocator
    add_reachable(view, *(n for n in names if n != allocator), now=13.5)
    view.record_answer(allocator, "life-2", 3.5, 13.5)
    assert view.allocator(13.5) == allocator


def test_a_timed_out_instance_has_no_share_of_limits():
    view = membership.Membership("a", "north", 0.0)
    add_reachable(view, "b", "c", now=0.0)
    assert view.instance_count(1.0) == 3
    assert view.reachable_count(1.5) == 1
    assert view.instance_count(membership.MEMBER_TIMEOUT_SECONDS + 1) == 1


@pytest.mark.parametrize(
    ("kind", "retryable"),
    [
        (configuration.Kind.IDEMPOTENT, True),
        (configuration.Kind.RESUMABLE, True),
        (configuration.Kind.ONCE, False),
        (configuration.Kind.STREAM, False),
    ],
)
def test_only_these_kinds_may_be_repeated(kind, retryable):
    assert kind.retryable is retryable


def test_in_a_partial_mesh_all_instances_agree_on_the_allocator():
    names = [f"gate-{number}" for number in range(80)]
    views = {name: membership.Membership(name, "north", 0.0) for name in names}
    for view in views.values():
        for number, other in enumerate(names):
            domain = ("north", "south")[number % 2]
            view.register(other, f"{other}:1", domain, 0.0)
        assert len(view.contacts) <= 2 * membership.CONTACTS_PER_GROUP
        for contact in view.contacts:
            view.record_answer(contact.name, "life-1", 4.0, 4.0)
            contact.reported_instances = 80
    assert len({view.allocator(4.1) for view in views.values()}) == 1
    later = membership.MEMBER_TIMEOUT_SECONDS + 10
    for view in views.values():
        for contact in view.contacts:
            view.record_answer(contact.name, "life-1", later, later)
        assert view.instance_count(later) == 80


def test_few_of_many_instances_are_contacts_of_others():
    names = [f"gate-{number}" for number in range(300)]
    views = []
    for number, own in enumerate(names):
        view = membership.Membership(own, ("north", "south")[number % 2], 0.0)
        for place, other in enumerate(names):
            domain = ("north", "south")[place % 2]
            view.register(other, f"{other}:1", domain, 0.0)
        views.append(view)
    assert (
        sum(view.is_contact for view in views)
        <= 3 * membership.CONTACTS_PER_GROUP
    )
    assert (
        sum(view.is_contact_of_all for view in views)
        <= membership.CONTACTS_PER_GROUP
    )
    non_relay = next(view for view in views if not view.is_contact)
    assert not non_relay.contacts_suffice(1.0)
    for contact in non_relay.contacts:
        non_relay.record_answer(contact.name, "life-1", 4.0, 4.0)
        contact.confirmed_at = 3.5
    assert non_relay.contacts_suffice(4.1)
    # All contacts are now cut off from the store.
    for contact in non_relay.contacts:
        non_relay.record_answer(contact.name, "life-1", 9.0, 9.0)
    assert not non_relay.contacts_suffice(9.1)
