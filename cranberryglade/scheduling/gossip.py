"""Membership by gossip: heartbeats, relayed entries and failure detection.

Each period an instance exchanges messages with one other, in random order,
and with a few that it has reason to probe early. A message contains the
sender's own entry, a few recent entries of third instances, and notices of
endpoints that are leaving and of unreachable instances. So the cost for one
instance does not depend on the number of instances. An instance drops a peer of
its failure domain only after probes of its own have failed; notices of others
merely cause an earlier probe, after which fewer failures suffice.
"""

import random

from cranberryglade.scheduling import departures
from cranberryglade.scheduling import gossip_messages
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import peer_views

# Limits of one message.
RELAYED_ENTRIES = 4
RELAYED_FOREIGN_ENTRIES = 1
RELAYED_DEPARTURES = 32
REPEATED_DEPARTURES = (
    2  # departure records that were already sent MESSAGES_PER_NOTICE
)
RELAYED_UNREACHABLE = 4

MESSAGES_PER_NOTICE = 12  # messages that contain a new notice
URGENT_PROBES = 3  # additional probes in one period
SETTLED_PEERS = 3
FOREIGN_PROBE_PERIODS = 4  # periods between probes of other failure domains
RETRY_PROBE_PERIODS = 8  # periods between probes of unreachable instances
FOREIGN_CONTACTS = 3  # peers kept in each other failure domain
FOREIGN_RETENTION_SECONDS = 60.0
TRUSTED_AGE_SECONDS = 10.0  # older entries of new instances cause a probe
RELAYED_AGE_SECONDS = 30.0
REPROBE_SECONDS = 5.0


class Gossip:
    """Selects the instances to probe, writes messages and merges received ones.

    It has no clock and does no I/O: times are given in seconds of the caller's
    monotonic clock, and changes are returned as events.
    """

    __slots__ = (
        "_heartbeat",
        "_foreign_peers",
        "_lost",
        "_departures",
        "_own",
        "_probe_order",
        "_random",
        "_ticks",
        "_times_sent",
        "_urgent",
        "_views",
    )

    def __init__(self, own: messages.Peer, generator: random.Random):
        self._own = own
        self._random = generator
        self._views = peer_views.PeerViews()
        self._heartbeat = 0
        self._ticks = 0
        self._foreign_peers: set[str] = set()
        self._probe_order: list[str] = []
        self._urgent: list[str] = []
        self._departures: list[gossip_messages.LeavingNotice] = []
        self._times_sent: dict[
            gossip_messages.LeavingNotice | gossip_messages.UnreachableNotice,
            int,
        ] = {}
        self._lost: list[gossip_messages.UnreachableNotice] = []

    @property
    def peers(self) -> list[messages.Peer]:
        """The peers that count as reachable."""
        return [entry.peer for entry in self.entries]

    @property
    def entries(self) -> list[gossip_messages.HeartbeatEntry]:
        """The newest known entry of each peer that counts as reachable."""
        return [view.entry for view in self._views if self._is_peer(view)]

    @property
    def is_settled(self) -> bool:
        """Whether SETTLED_PEERS are reachable or no urgent probe is left."""
        return not self._urgent or len(self.peers) >= SETTLED_PEERS

    def domain_contacts(self) -> list[gossip_messages.Contact]:
        """Returns the reachable instances of the own failure domain."""
        return [view.contact for view in self._live(foreign=False)]

    def add_instance(self, name: str, address: str, domain: str) -> None:
        """Adds an instance from a list or from the settings.

        Args:
            name: its name, or its address while the name is not known.
            address: "host:port".
            domain: its failure domain; "" if unknown.
        """
        if name == self._own.name or address == self._own.address:
            return
        known = self._views.get(name)
        view = self._views.get_or_add(name, address, domain)
        foreign = domain not in ("", self._own.failure_domain)
        if not foreign and (known is None or not known.is_live):
            self._probe_soon(view.name)

    def remove_unlisted(self, listed: set[str]) -> None:
        """Removes instances that are neither peers nor listed.

        Args:
            listed: names of the listed instances.
        """
        for view in list(self._views):
            if not self._is_peer(view) and view.name not in listed:
                self._views.remove(view.name)

    def set_departures(
        self, leaving: list[departures.DepartureRecord]
    ) -> list[gossip_messages.LeavingNotice]:
        """Sets the departure records to send to the own failure domain.

        Returns:
            Notices of those that were not known before.
        """
        notices = [
            gossip_messages.LeavingNotice(m.name, m.incarnation)
            for m in leaving
        ]
        known = set(self._departures)
        fresh = [notice for notice in notices if notice not in known]
        self._departures = notices
        kept = set(notices) | set(self._lost)
        self._times_sent = {
            k: n for k, n in self._times_sent.items() if k in kept
        }
        return fresh

    def tick(self, now: float) -> list[gossip_messages.Contact]:
        """Returns the instances to probe in this period; `now` in seconds."""
        self._ticks += 1
        chosen = [self._views.get(name) for name in self._pop_urgent()]
        if self._ticks % RETRY_PROBE_PERIODS == 0:
            chosen.append(self._pick(self._unreachable()))
        elif self._ticks % FOREIGN_PROBE_PERIODS == 0:
            chosen.append(self._pick_foreign())
        else:
            chosen.append(self._next_neighbour())
        if chosen[-1] is None:
            chosen[-1] = self._next_neighbour()
        wanted = {view.name: view for view in chosen if view is not None}
        for view in wanted.values():
            view.probed_at = now
        return [view.contact for view in wanted.values()]

    def message(
        self,
        to: str,
        version: int,
        digests: tuple[messages.TargetDigest, ...],
        now: float,
        owner: bool = True,
        crashes: tuple[messages.CrashReported, ...] = (),
        quarantines: tuple[messages.QuarantineReported, ...] = (),
    ) -> gossip_messages.GossipMessage:
        """Returns the next message to an instance.

        Args:
            to: name of the instance.
            version: newest known version of the configuration.
            digests: one digest of this instance's load for each target.
            now: time in seconds.
            owner: whether this instance can own endpoints.
            crashes: recent crashes, for the own failure domain.
            quarantines: quarantines of prefixes, for all failure domains.
        """
        self._heartbeat += 1
        own = gossip_messages.HeartbeatEntry(
            self._own, self._heartbeat, version, digests, owner
        )
        domain = self._domain_of(to)
        relayed = self._select_relayed(to, domain, now)
        if domain != self._own.failure_domain:
            return gossip_messages.GossipMessage(
                own, relayed, quarantines=quarantines
            )
        return gossip_messages.GossipMessage(
            own,
            relayed,
            self._departures_to_send(),
            self._lost_to_send(),
            crashes,
            quarantines,
        )

    def receive(
        self,
        message: gossip_messages.GossipMessage,
        now: float,
        is_answer: bool = False,
    ) -> list[messages.Event] | None:
        """Merges a message that an instance sent to this one.

        Args:
            message: the message.
            now: time in seconds.
            is_answer: whether it answers a message of this instance, which
                proves that its sender is running now.

        Returns:
            The resulting events; None for a message from a replaced process or
            one under this instance's own name.
        """
        entry = message.own
        if entry.peer.name == self._own.name:
            return None
        view = self._views.get_or_add(
            entry.peer.name, entry.peer.address, entry.peer.failure_domain
        )
        if entry.peer.incarnation in view.replaced:
            if not is_answer:
                self._probe_address_soon(entry.peer)
                return None
            view.replaced.remove(entry.peer.incarnation)
        events: list[messages.Event] = [
            messages.EndpointLeaving(notice.name, notice.incarnation, "peer")
            for notice in message.leaving
        ]
        events += [*message.quarantines, *message.crashes]
        same = view.incarnation == entry.peer.incarnation
        if same and entry.heartbeat <= view.direct_heartbeat:
            return events
        self._views.update(view, entry, now)
        view.direct_heartbeat = entry.heartbeat
        self._views.remove(entry.peer.address)
        events += self._register_peer(view)
        for relayed in message.relayed:
            events += self._merge_relayed(relayed, now)
        for lost in message.unreachable:
            self._merge_lost(lost, now)
        return events

    def expire(self, now: float) -> list[messages.Event]:
        """Drops peers of other failure domains without a recent entry.

        Args:
            now: time in seconds.

        Returns:
            One event for each peer dropped.
        """
        old = [
            name
            for name in sorted(self._foreign_peers)
            if now - self._views.get(name).sent_at > FOREIGN_RETENTION_SECONDS
        ]
        self._foreign_peers.difference_update(old)
        return [messages.PeerGone(name) for name in old]

    def record_failed_probe(self, name: str) -> list[messages.Event]:
        """Records a failed probe of an instance.

        Returns:
            PeerGone if the instance has become unreachable by it.
        """
        view = self._views.get(name)
        if view is None:
            return []
        if not self._views.record_failed_probe(view):
            if view.is_live:
                self._probe_soon(name)
            return []
        self._foreign_peers.discard(name)
        lost = gossip_messages.UnreachableNotice(name, view.incarnation)
        self._lost = [*self._lost[1 - RELAYED_UNREACHABLE :], lost]
        return [messages.PeerGone(name)]

    def _is_peer(self, view: peer_views.PeerView) -> bool:
        near = view.failure_domain == self._own.failure_domain
        return view.is_live and (near or view.name in self._foreign_peers)

    def _register_peer(self, view: peer_views.PeerView) -> list[messages.Event]:
        entry = view.entry
        reported = messages.PeerReported(entry.peer, entry.digests, entry.owner)
        if view.failure_domain == self._own.failure_domain:
            return [reported]
        self._foreign_peers.add(view.name)
        contacts = [
            self._views.get(name)
            for name in sorted(self._foreign_peers)
            if self._views.get(name).failure_domain == view.failure_domain
        ]
        if len(contacts) <= FOREIGN_CONTACTS:
            return [reported]
        oldest = min(contacts, key=lambda other: other.sent_at)
        self._foreign_peers.discard(oldest.name)
        return [reported, messages.PeerGone(oldest.name)]

    def _merge_relayed(
        self, relayed: gossip_messages.RelayedEntry, now: float
    ) -> list[messages.Event]:
        entry = relayed.entry
        peer = entry.peer
        if peer.name == self._own.name:
            return []
        view = self._views.get_or_add(
            peer.name, peer.address, peer.failure_domain
        )
        if peer.incarnation in view.replaced:
            return []
        if view.entry and view.incarnation != peer.incarnation:
            self._probe_address_soon(peer)
            return []
        if view.entry and entry.heartbeat <= view.entry.heartbeat:
            return []
        is_old = relayed.age_seconds > TRUSTED_AGE_SECONDS
        if not view.is_live and (view.state == "gone" or is_old):
            self._probe_soon_unless_recent(view, now)
            return []
        self._views.update(view, entry, now - relayed.age_seconds)
        return self._register_peer(view)

    def _merge_lost(
        self, lost: gossip_messages.UnreachableNotice, now: float
    ) -> None:
        view = self._views.get(lost.name)
        if view is None or not view.is_live:
            return
        if (
            view.incarnation == lost.incarnation
            and not view.reported_unreachable
        ):
            view.reported_unreachable = now - view.probed_at >= REPROBE_SECONDS
            self._probe_soon_unless_recent(view, now)

    def _probe_soon(self, name: str) -> None:
        if name not in self._urgent:
            self._urgent.append(name)

    def _probe_soon_unless_recent(
        self, view: peer_views.PeerView, now: float
    ) -> None:
        if now - view.probed_at >= REPROBE_SECONDS:
            self._probe_soon(view.name)

    def _probe_address_soon(self, peer: messages.Peer) -> None:
        if self._views.get(peer.address) is None:
            domain = peer.failure_domain
            self._views.get_or_add(peer.address, peer.address, domain)
            self._probe_soon(peer.address)

    def _pop_urgent(self) -> list[str]:
        taken = self._urgent[:URGENT_PROBES]
        del self._urgent[:URGENT_PROBES]
        return [name for name in taken if self._views.get(name)]

    def _next_neighbour(self) -> peer_views.PeerView | None:
        while True:
            if not self._probe_order:
                self._probe_order = [v.name for v in self._live(foreign=False)]
                self._random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            view = self._views.get(self._probe_order.pop())
            if view is not None and view.is_live:
                return view

    def _pick_foreign(self) -> peer_views.PeerView | None:
        domains = {
            view.failure_domain
            for view in self._views
            if view.failure_domain not in ("", self._own.failure_domain)
        }
        if not domains:
            return None
        domain = self._random.choice(sorted(domains))
        known = [v for v in self._views if v.failure_domain == domain]
        live = [view for view in known if view.is_live]
        return self._pick(live if len(live) >= FOREIGN_CONTACTS else known)

    def _pick(
        self, among: list[peer_views.PeerView]
    ) -> peer_views.PeerView | None:
        return self._random.choice(among) if among else None

    def _unreachable(self) -> list[peer_views.PeerView]:
        return [view for view in self._views if not view.is_live]

    def _live(self, foreign: bool) -> list[peer_views.PeerView]:
        own = self._own.failure_domain
        return [
            view
            for view in self._views
            if view.is_live and (view.failure_domain != own) == foreign
        ]

    def _domain_of(self, name: str) -> str:
        view = self._views.get(name)
        return (view and view.failure_domain) or self._own.failure_domain

    def _select_relayed(
        self, to: str, domain: str, now: float
    ) -> tuple[gossip_messages.RelayedEntry, ...]:
        near = self._least_relayed(self._live(foreign=False), to, now)
        if domain != self._own.failure_domain:
            near.sort(key=_free_slots, reverse=True)
        far = self._least_relayed(self._live(foreign=True), to, now)
        chosen = near[:RELAYED_ENTRIES] + far[:RELAYED_FOREIGN_ENTRIES]
        for view in chosen:
            view.relay_count += 1
        return tuple(
            gossip_messages.RelayedEntry(
                view.entry, max(0.0, now - view.sent_at)
            )
            for view in chosen
        )

    def _least_relayed(
        self, among: list[peer_views.PeerView], to: str, now: float
    ) -> list[peer_views.PeerView]:
        fresh = [
            view
            for view in among
            if view.name != to and now - view.sent_at <= RELAYED_AGE_SECONDS
        ]
        fresh.sort(key=lambda view: (view.relay_count, -view.sent_at))
        return fresh

    def _departures_to_send(self) -> tuple[gossip_messages.LeavingNotice, ...]:
        fresh = [
            notice
            for notice in self._departures
            if self._times_sent.get(notice, 0) < MESSAGES_PER_NOTICE
        ]
        if fresh:
            return self._least_sent(fresh, RELAYED_DEPARTURES)
        return self._least_sent(self._departures, REPEATED_DEPARTURES)

    def _lost_to_send(self) -> tuple[gossip_messages.UnreachableNotice, ...]:
        fresh = [
            lost
            for lost in self._lost
            if self._times_sent.get(lost, 0) < MESSAGES_PER_NOTICE
        ]
        return self._least_sent(fresh, RELAYED_UNREACHABLE)

    def _least_sent(self, known: list, count: int) -> tuple:
        chosen = sorted(known, key=lambda item: self._times_sent.get(item, 0))
        for item in chosen[:count]:
            self._times_sent[item] = self._times_sent.get(item, 0) + 1
        return tuple(chosen[:count])


def _free_slots(view: peer_views.PeerView) -> int:
    return sum(digest.free_slots for digest in view.entry.digests)
