"""Types of the gossip messages between instances."""

import dataclasses

from cranberryglade.scheduling import messages


@dataclasses.dataclass(slots=True, frozen=True)
class HeartbeatEntry:
    """Heartbeat entry of one instance.

    Attributes:
        peer: name, incarnation, address and failure domain of the instance.
        heartbeat: message counter of that process; the highest is the newest.
        version: newest configuration version known to the instance.
        digests: one digest of its load for each target.
        owner: whether it can own endpoints; not while it stops.
    """

    peer: messages.Peer
    heartbeat: int
    version: int
    digests: tuple[messages.TargetDigest, ...]
    owner: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class RelayedEntry:
    """A third instance's entry that a peer relays.

    Attributes:
        entry: the entry.
        age_seconds: time since that instance sent it.
    """

    entry: HeartbeatEntry
    age_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class LeavingNotice:
    """A notice that an endpoint process is leaving."""

    name: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class UnreachableNotice:
    """A notice that an instance process is unreachable for the sender."""

    name: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class GossipMessage:
    """One gossip message.

    Attributes:
        own: entry of the sender.
        relayed: entries of third instances.
        leaving: endpoint processes that are leaving.
        unreachable: instance processes that the sender cannot reach.
        crashes: recent crashes of endpoints.
        quarantines: quarantines of prefixes.
    """

    own: HeartbeatEntry
    relayed: tuple[RelayedEntry, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()
    unreachable: tuple[UnreachableNotice, ...] = ()
    crashes: tuple[messages.CrashReported, ...] = ()
    quarantines: tuple[messages.QuarantineReported, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Contact:
    """An instance to probe by an exchange of messages.

    Attributes:
        name: its name, or its address while the name is not known.
        address: "host:port".
        incarnation: the process expected at the address; "" for any.
    """

    name: str
    address: str
    incarnation: str
