"""Which instances there are, which are heard, and which one allocates."""

import dataclasses

import xxhash

HEARD_SECONDS = 0.9
"""An instance that was silent for longer does not allocate."""

SETTLED_SECONDS = 3.0
"""A life that began later allocates only if there is no older one: it does
not know yet what is under way and how fast the endpoints are."""

KNOWN_SECONDS = 20.0
"""An instance that was silent for longer has no share of what all may use."""


@dataclasses.dataclass(slots=True)
class Member:
    """Another instance.

    Attributes:
        name: its name.
        address: where it reads datagrams and serves its peers.
        domain: its failure domain.
        incarnation: its present life; "" until it is heard.
        listed: when it was first known, seconds of the loop's clock.
        begun: when its present life was first heard.
        heard: when it last answered; None if never.
        stopping: whether it said that it stops.
    """

    name: str
    address: str
    domain: str
    listed: float
    incarnation: str = ""
    begun: float = 0.0
    heard: float | None = None
    stopping: bool = False


class Members:
    """The other instances, as one instance sees them; sans I/O."""

    __slots__ = ("_begun", "_members", "_own", "_suspects")

    def __init__(self, own: str, now: float):
        self._own = own
        self._begun = now
        self._members: dict[str, Member] = {}
        self._suspects: dict[str, float] = {}

    @property
    def all(self) -> list[Member]:
        """All that are known."""
        return list(self._members.values())

    def get(self, name: str) -> Member | None:
        """One of them."""
        return self._members.get(name)

    def learn(
        self, name: str, address: str, domain: str, now: float
    ) -> Member | None:
        """Takes in that there is an instance; None for this one itself."""
        if name == self._own:
            return None
        member = self._members.get(name)
        if member is None:
            member = self._members[name] = Member(name, address, domain, now)
        elif member.address != address:
            member.address = address
        return member

    def hear(self, name: str, incarnation: str, now: float) -> bool:
        """Takes in a sign of life; returns whether a new life began."""
        member = self._members.get(name)
        if member is None:
            return False
        fresh = member.incarnation != incarnation
        if fresh:
            member.incarnation = incarnation
            member.begun = now
            member.stopping = False
        member.heard = now
        self._suspects.pop(name, None)
        return fresh

    def suspect(self, name: str, until: float) -> None:
        """Does without an instance for a while, or until it is heard."""
        self._suspects[name] = until

    def stopping(self, name: str, incarnation: str) -> None:
        """Takes in that an instance stops."""
        member = self._members.get(name)
        if member is not None and member.incarnation == incarnation:
            member.stopping = True

    def heard(self, now: float) -> list[Member]:
        """Those that answered lately."""
        return [
            member
            for member in self._members.values()
            if member.heard is not None and now - member.heard < HEARD_SECONDS
        ]

    def allocator(self, now: float, own_stopping: bool = False) -> str:
        """The instance that grants slots: the first in rendezvous order."""
        lives = {
            member.name: member.begun
            for member in self.heard(now)
            if not member.stopping
            and self._suspects.get(member.name, 0.0) <= now
        }
        if not own_stopping or not lives:
            lives[self._own] = self._begun
        settled = [
            name
            for name, begun in lives.items()
            if now - begun >= SETTLED_SECONDS
        ]
        return max(settled or lives, key=_weight)

    def order(self, now: float) -> int:
        """This instance's place among those heard, in rendezvous order."""
        own = _weight(self._own)
        return sum(_weight(member.name) > own for member in self.heard(now))

    def known(self, now: float) -> int:
        """How many share what all may use, this one included."""
        return 1 + sum(
            now - max(member.listed, member.heard or 0.0) < KNOWN_SECONDS
            for member in self._members.values()
        )

    def present(self, now: float) -> int:
        """How many are heard at present, this one included."""
        return 1 + len(self.heard(now))

    def forgotten(self, now: float) -> list[Member]:
        """Drops and returns those that were silent for very long."""
        silent = [
            member
            for member in self._members.values()
            if now - max(member.listed, member.heard or 0.0) > 2 * KNOWN_SECONDS
        ]
        for member in silent:
            del self._members[member.name]
        return silent


def _weight(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
