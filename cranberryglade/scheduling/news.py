"""What instances tell each other in one gossip message."""

import dataclasses

from cranberryglade.scheduling import messages


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """What one instance says of itself.

    Attributes:
        peer: who it is.
        beat: counts the messages of that process; the highest is the newest.
        version: newest version of the configuration known there.
        digests: load by target.
        feeds: whether it feeds endpoints; not while it stops.
    """

    peer: messages.Peer
    beat: int
    version: int
    digests: tuple[messages.TargetDigest, ...]
    feeds: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Relayed:
    """What a peer passes on about a third instance.

    Attributes:
        entry: what that instance said.
        age_seconds: how long ago it said so.
    """

    entry: Entry
    age_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Leaving:
    """A sign that an endpoint process leaves."""

    name: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class Lost:
    """An instance process that did not answer."""

    name: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class Message:
    """One message of the gossip between instances."""

    own: Entry
    relayed: tuple[Relayed, ...] = ()
    leaving: tuple[Leaving, ...] = ()
    lost: tuple[Lost, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Contact:
    """An instance to exchange messages with.

    Attributes:
        name: its name, or its address while the name is not known.
        address: "host:port".
        incarnation: the process expected there; "" while it is not known.
    """

    name: str
    address: str
    incarnation: str
