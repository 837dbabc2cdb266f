"""Gossip cores connected by a fake transport that counts bytes."""

import random

from cranberryglade import gossip_encoding
from cranberryglade.scheduling import departures
from cranberryglade.scheduling import gossip
from cranberryglade.scheduling import messages
from cranberryglade.tests import builders


class Node:
    """One instance: its gossip core and the state that its events lead to."""

    def __init__(self, name, seed, incarnation="i1", domain="wien-a"):
        self.peer = builders.peer(
            name,
            incarnation=random.Random(f"{name}{incarnation}")
            .randbytes(6)
            .hex(),
            address=f"{name}:1",
            failure_domain=domain,
        )
        self.random = random.Random(seed)
        self.core = gossip.Gossip(self.peer, random.Random(seed))
        self.departure_records = departures.Departures()
        self.view = {}
        self.version = 1

    def apply(self, events, now):
        for event in events or ():
            match event:
                case messages.PeerReported(peer=peer):
                    self.view[peer.name] = peer.incarnation
                case messages.PeerGone(name=name):
                    self.view.pop(name, None)
                case messages.EndpointLeaving():
                    self.leave(event.name, event.incarnation, now)

    def leave(self, name, incarnation, now):
        self.departure_records.add(name, incarnation, now)
        self.core.set_departures(list(self.departure_records))

    def encode_message(self, to, now):
        targets = tuple(
            messages.TargetDigest(
                f"model-{n}",
                self.random.randrange(20),
                self.random.randrange(300),
                self.random.randrange(-1, 3),
                self.random.random() * 3,
                tuple(self.random.random() * 3 * n for n in range(1, 4)),
                self.random.random() * 30,
            )
            for n in range(4)
        )
        message = self.core.message(to, self.version, targets, now)
        return gossip_encoding.encode(message)

    def receive(self, data, now, is_answer=False):
        message = gossip_encoding.decode(data).unwrap()
        self.version = max(self.version, message.own.version)
        self.apply(self.core.receive(message, now, is_answer), now)
        return message.own.peer.name


class Network:
    """Nodes by address; `cut` returns whether two are disconnected."""

    def __init__(self, nodes):
        self.now = 0.0
        self.bytes = 0
        self.exchanges = 0
        self.cut = lambda a, b: False
        self.nodes = {node.peer.address: node for node in nodes}

    def node(self, name):
        return self.nodes[f"{name}:1"]

    def introduce_all(self):
        for node in self.nodes.values():
            for other in self.nodes.values():
                peer = other.peer
                node.core.add_instance(
                    peer.name, peer.address, peer.failure_domain
                )

    def run(self, periods, frozen=()):
        for _ in range(periods):
            self.now += 1.0
            for node in list(self.nodes.values()):
                if node.peer.name not in frozen:
                    self.tick(node, frozen)

    def tick(self, node, frozen=()):
        node.apply(node.core.expire(self.now), self.now)
        for contact in node.core.tick(self.now):
            self.exchange(node, contact, frozen)

    def exchange(self, node, contact, frozen=()):
        other = self.nodes.get(contact.address)
        unreachable = (
            other is None
            or other.peer.name in frozen
            or self.cut(node.peer.name, other.peer.name)
            or contact.incarnation not in ("", other.peer.incarnation)
        )
        if unreachable:
            node.apply(node.core.record_failed_probe(contact.name), self.now)
            return
        request = node.encode_message(contact.name, self.now)
        if contact.incarnation:
            name = other.receive(request, self.now)
        else:
            peer = node.peer
            name = peer.name
            other.core.add_instance(name, peer.address, peer.failure_domain)
        answer = other.encode_message(name, self.now)
        node.receive(answer, self.now, is_answer=True)
        self.bytes += len(request) + len(answer)
        self.exchanges += 1


def network(count, domains=("wien-a",)):
    nodes = [
        Node(f"entry-{n}", n, domain=domains[n % len(domains)])
        for n in range(count)
    ]
    built = Network(nodes)
    built.introduce_all()
    return built
