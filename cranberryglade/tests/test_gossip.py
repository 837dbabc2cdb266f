"""Membership by gossip: dissemination, failure detection and rejoining."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cranberryglade import gossip_encoding
from cranberryglade.scheduling import gossip_messages
from cranberryglade.tests import gossip_network

DOMAIN_SIZE = 43
APPLIED_SECONDS = 12
BYTES_PER_SECOND = 4096


def all_instances_know_each_other(net):
    names = {node.peer.name for node in net.nodes.values()}
    return all(
        set(node.view) == names - {node.peer.name}
        for node in net.nodes.values()
    )


def periods_until(net, check, limit):
    for period in range(limit + 1):
        if check():
            return period
        net.run(1)
    raise AssertionError(f"not within {limit} periods")


def test_full_domain_stays_within_byte_and_dissemination_limits():
    net = gossip_network.network(DOMAIN_SIZE)
    periods_until(net, lambda: all_instances_know_each_other(net), 30)
    before = net.bytes
    net.run(15)
    per_instance = 2 * (net.bytes - before) / 15 / DOMAIN_SIZE
    assert per_instance < BYTES_PER_SECOND
    net.node("entry-1").version = 2
    periods_until(
        net,
        lambda: all(node.version == 2 for node in net.nodes.values()),
        APPLIED_SECONDS,
    )


def test_pushed_departure_reaches_the_domain_immediately():
    net = gossip_network.network(20)
    net.run(20)
    first = net.node("entry-0")
    first.leave("engine-1", "i1", net.now)
    for contact in first.core.domain_contacts():
        net.exchange(first, contact)
    assert all(list(node.departure_records) for node in net.nodes.values())


def test_departure_spreads_by_gossip_after_its_source_dies():
    net = gossip_network.network(20)
    net.run(30)
    net.node("entry-0").leave("engine-1", "i1", net.now)
    net.run(1)
    del net.nodes["entry-0:1"]
    periods_until(
        net,
        lambda: all(list(n.departure_records) for n in net.nodes.values()),
        15,
    )


def test_a_dead_instance_is_dropped_and_a_new_process_replaces_the_old():
    net = gossip_network.network(20)
    net.run(30)
    del net.nodes["entry-2:1"]
    gone = lambda: all("entry-2" not in n.view for n in net.nodes.values())  # noqa: E731
    periods_until(net, gone, 30)
    fresh = gossip_network.Node("entry-2", 99, "i2")
    net.nodes["entry-2:1"] = fresh
    for node in net.nodes.values():
        peer = node.peer
        fresh.core.add_instance(peer.name, peer.address, peer.failure_domain)
    periods_until(net, lambda: all_instances_know_each_other(net), 40)
    assert {
        node.view["entry-2"] for node in net.nodes.values() if node is not fresh
    } == {fresh.peer.incarnation}


def test_a_new_process_at_once_at_the_old_address_replaces_the_old():
    net = gossip_network.network(6)
    net.run(10)
    fresh = gossip_network.Node("entry-2", 99, "i2")
    net.nodes["entry-2:1"] = fresh
    for node in net.nodes.values():
        peer = node.peer
        fresh.core.add_instance(peer.name, peer.address, peer.failure_domain)
    net.run(6)
    seen = {n.view["entry-2"] for n in net.nodes.values() if n is not fresh}
    assert seen == {fresh.peer.incarnation}


def test_paused_instance_is_dropped_and_rejoins_when_resumed():
    net = gossip_network.network(10)
    net.run(10)
    net.run(20, frozen={"entry-3"})
    others = [n for n in net.nodes.values() if n.peer.name != "entry-3"]
    assert all("entry-3" not in node.view for node in others)
    periods_until(net, lambda: all_instances_know_each_other(net), 20)


def test_partitioned_sides_drop_each_other_and_rejoin():
    net = gossip_network.network(10)
    net.run(10)
    left = {f"entry-{n}" for n in range(5)}
    net.cut = lambda a, b: (a in left) != (b in left)
    net.run(60)
    assert set(net.node("entry-0").view) == left - {"entry-0"}
    net.cut = lambda a, b: False
    periods_until(net, lambda: all_instances_know_each_other(net), 40)


def test_an_instance_cut_from_one_peer_only_drops_only_that_one():
    net = gossip_network.network(10)
    net.run(10)
    net.cut = lambda a, b: {a, b} == {"entry-0", "entry-1"}
    net.run(60)
    assert "entry-1" not in net.node("entry-0").view
    assert all(
        {"entry-0", "entry-1"} - {name} <= set(net.node(name).view)
        for name in (f"entry-{n}" for n in range(2, 10))
    )


def test_an_old_message_sent_again_changes_nothing():
    net = gossip_network.network(2)
    net.run(5)
    first, second = net.nodes.values()
    recorded = first.encode_message("entry-1", net.now)
    second.receive(first.encode_message("entry-1", net.now), net.now)
    before = second.core.entries
    second.receive(recorded, net.now)
    assert second.core.entries == before


def test_message_of_a_replaced_process_is_ignored():
    net = gossip_network.network(2)
    net.run(5)
    first, second = net.nodes.values()
    recorded = gossip_encoding.decode(
        first.encode_message("entry-1", net.now)
    ).unwrap()
    fresh = gossip_network.Node("entry-0", 99, "i2")
    second.receive(fresh.encode_message("entry-1", net.now), net.now)
    assert second.core.receive(recorded, net.now) is None
    assert second.view["entry-0"] == fresh.peer.incarnation


def test_an_old_entry_passed_on_does_not_drop_a_newer_process():
    net = gossip_network.network(3)
    net.run(5)
    old = net.node("entry-2")
    message = gossip_encoding.decode(
        old.encode_message("entry-1", net.now)
    ).unwrap()
    fresh = gossip_network.Node("entry-2", 99, "i2")
    fresh.peer = dataclasses.replace(fresh.peer, address="moved:1")
    fresh.core._own = fresh.peer
    net.nodes = {n.peer.address: n for n in (*net.nodes.values(), fresh)}
    del net.nodes["entry-2:1"]
    newcomer = gossip_network.Node("entry-9", 7)
    newcomer.receive(fresh.encode_message("entry-9", net.now), net.now)
    carrier = dataclasses.replace(
        gossip_encoding.decode(
            net.node("entry-0").encode_message("entry-9", net.now)
        ).unwrap(),
        relayed=(gossip_messages.RelayedEntry(message.own, 1.0),),
    )
    newcomer.apply(newcomer.core.receive(carrier, net.now), net.now)
    net.nodes["entry-9:1"] = newcomer
    net.run(10)
    assert newcomer.view["entry-2"] == fresh.peer.incarnation


def test_old_process_beside_the_new_one_does_not_replace_it():
    net = gossip_network.network(3)
    net.run(5)
    old = net.nodes.pop("entry-2:1")
    fresh = gossip_network.Node("entry-2", 99, "i2")
    net.nodes["entry-2:1"] = fresh
    net.run(10)
    first = net.node("entry-0")
    first.receive(old.encode_message("entry-0", net.now), net.now)
    assert first.view["entry-2"] == fresh.peer.incarnation
    first.receive(
        old.encode_message("entry-0", net.now), net.now, is_answer=True
    )
    net.run(10)
    assert first.view["entry-2"] == fresh.peer.incarnation


def test_other_domains_have_few_contacts_and_separate_departures():
    domains = ("wien-a", "wien-b", "wien-c")
    net = gossip_network.network(18, domains)
    net.node("entry-1").leave("engine-1", "i1", net.now)
    net.run(40)
    for node in net.nodes.values():
        near = node.peer.failure_domain
        by_domain = {domain: 0 for domain in domains}
        for name in node.view:
            by_domain[net.node(name).peer.failure_domain] += 1
        assert by_domain.pop(near) == 5
        assert all(1 <= count <= 3 for count in by_domain.values()), by_domain
        assert bool(list(node.departure_records)) == (near == "wien-b")


def test_partitioned_domain_expires_and_is_rediscovered():
    net = gossip_network.network(12, ("wien-a", "wien-b"))
    net.run(20)
    net.cut = lambda a, b: (
        net.node(a).peer.failure_domain != net.node(b).peer.failure_domain
    )
    net.run(90)
    assert all(len(node.view) == 5 for node in net.nodes.values())
    net.cut = lambda a, b: False
    net.run(40)
    assert all(len(node.view) == 8 for node in net.nodes.values())


def test_an_instance_is_settled_after_a_few_answers_or_all_attempts():
    net = gossip_network.network(DOMAIN_SIZE)
    first = net.node("entry-0")
    assert not first.core.is_settled
    periods_until(net, lambda: first.core.is_settled, 2)
    alone = gossip_network.Node("entry-0", 1)
    assert alone.core.is_settled
    alone.core.add_instance("entry-1", "entry-1:1", "wien-a")
    assert not alone.core.is_settled
    net = gossip_network.Network([alone])
    net.run(1)
    assert alone.core.is_settled


def test_message_round_trip():
    net = gossip_network.network(4)
    net.run(5)
    node = net.node("entry-0")
    node.leave("engine-1", "i1", net.now)
    node.core.record_failed_probe("entry-1")
    sent = node.core.message("entry-2", 7, (), net.now, owner=False)
    decoded = gossip_encoding.decode(gossip_encoding.encode(sent)).unwrap()
    assert (decoded.own, decoded.leaving) == (sent.own, sent.leaving)
    assert [r.entry.peer for r in decoded.relayed] == [
        r.entry.peer for r in sent.relayed
    ]


steps = st.lists(
    st.tuples(
        st.sampled_from(["run", "freeze", "thaw", "restart", "cut", "heal"]),
        st.integers(0, 5),
        st.integers(0, 5),
    ),
    max_size=25,
)


def apply_history(history):
    net = gossip_network.network(6)
    net.run(5)
    frozen, cut_pairs, restarts = set(), set(), 0
    net.cut = lambda a, b: frozenset((a, b)) in cut_pairs
    for kind, one, other in history:
        name = f"entry-{one}"
        match kind:
            case "run":
                net.run(other + 1, frozen)
            case "freeze":
                frozen.add(name)
            case "thaw":
                frozen.discard(name)
            case "cut":
                cut_pairs.add(frozenset((name, f"entry-{other}")))
            case "heal":
                cut_pairs.clear()
            case "restart":
                restarts += 1
                fresh = gossip_network.Node(name, restarts, f"r{restarts}")
                net.nodes[f"{name}:1"] = fresh
                frozen.discard(name)
                for node in net.nodes.values():
                    fresh.core.add_instance(
                        node.peer.name,
                        node.peer.address,
                        node.peer.failure_domain,
                    )
    return net, cut_pairs


@settings(derandomize=True, max_examples=20, deadline=None)
@given(steps)
def test_after_any_faults_everyone_finds_the_present_processes(history):
    net, cut_pairs = apply_history(history)
    cut_pairs.clear()
    periods_until(net, lambda: all_instances_know_each_other(net), 60)
    net.run(10)
    present = {n.peer.name: n.peer.incarnation for n in net.nodes.values()}
    for node in net.nodes.values():
        expected = {k: v for k, v in present.items() if k != node.peer.name}
        assert node.view == expected


@pytest.mark.parametrize("data", [b"", b"{}", b"x" * 100])
def test_a_malformed_message_is_refused(data):
    assert gossip_encoding.decode(data).swap().unwrap()
