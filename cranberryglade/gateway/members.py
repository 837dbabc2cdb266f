"""Which instances there are, which are heard, and which one allocates."""

import dataclasses

import xxhash

FEW = 16
"""Up to so many instances, each keeps in touch with all others."""

CONTACTS = 4
"""With more, each keeps in touch with the first so many in rendezvous order
of all, and with as many of its own failure domain."""

PING_SECONDS = 0.3
PING_SECONDS_OF_MANY = 0.5
MISSED_PINGS = 3
"""An instance that left so many heartbeats unanswered does not allocate."""

SEEN_SECONDS = 3.0

SETTLED_SECONDS = 3.0
"""A life that began later allocates only if there is no older one: it does
not know yet what is under way and how fast the endpoints are."""

CURRENT_SECONDS = 2.5
"""What an instance knows is taken as current if it was confirmed by the
platform's store so lately."""

CURRENT_CONTACTS = 2
"""So many contacts with current knowledge make reading the store needless."""

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
        begun: when its present life began, by its own account.
        heard: when it last answered; None if never.
        seen: when a heartbeat of it came in; None if never.
        told: how many instances it knows.
        confirmed: when its configuration was last confirmed, by its account;
            None if never.
        stopping: whether it said that it stops.
    """

    name: str
    address: str
    domain: str
    listed: float
    incarnation: str = ""
    begun: float = 0.0
    heard: float | None = None
    seen: float | None = None
    told: int = 0
    confirmed: float | None = None
    stopping: bool = False

    @property
    def latest(self) -> float:
        """When there was last a sign of it."""
        return max(self.listed, self.heard or 0.0, self.seen or 0.0)


class Members:
    """The other instances, as one instance sees them; sans I/O."""

    __slots__ = (
        "_addresses",
        "_begun",
        "_domain",
        "_members",
        "_own",
        "_suspects",
    )

    def __init__(self, own: str, domain: str, now: float):
        self._own = own
        self._domain = domain
        self._begun = now
        self._members: dict[str, Member] = {}
        self._addresses: dict[str, str] = {}
        self._suspects: dict[str, float] = {}

    @property
    def all(self) -> list[Member]:
        """All that are known."""
        return list(self._members.values())

    @property
    def few(self) -> bool:
        """Whether all keep in touch with all."""
        return len(self._members) < FEW

    @property
    def period(self) -> float:
        """Seconds between two heartbeats to the same instance."""
        return PING_SECONDS if self.few else PING_SECONDS_OF_MANY

    @property
    def contacts(self) -> list[Member]:
        """Those that this instance keeps in touch with."""
        if self.few:
            return self.all
        order = sorted(
            self._members.values(), key=lambda m: _weight(m.name), reverse=True
        )
        near = [member for member in order if member.domain == self._domain]
        chosen = {m.name: m for m in order[:CONTACTS] + near[:CONTACTS]}
        return list(chosen.values())

    @property
    def relays(self) -> bool:
        """Whether others keep in touch with this instance."""
        own = _weight(self._own)
        first = [m for m in self._members.values() if _weight(m.name) > own]
        near = [member for member in first if member.domain == self._domain]
        return len(first) < CONTACTS or len(near) < CONTACTS

    def informed(self, now: float) -> bool:
        """Whether the contacts tell all that the store would tell.

        Load pattern: a change of one row, which each of hundreds of
        instances would fetch by a call of its own.
        """
        if self.few or self.relays:
            return False
        current = [
            member
            for member in self.heard(now)
            if member.confirmed is not None
            and now - member.confirmed < CURRENT_SECONDS
            and not member.stopping
        ]
        return len(current) >= CURRENT_CONTACTS

    def age(self, now: float) -> float:
        """Seconds since this life began."""
        return now - self._begun

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
            self._addresses.pop(member.address, None)
            member.address = address
        self._addresses[address] = name
        return member

    def at(self, address: str) -> str:
        """The name of the instance at an address; "" if none is known."""
        return self._addresses.get(address, "")

    def see(self, name: str, now: float) -> None:
        """Takes in a heartbeat."""
        member = self._members.get(name)
        if member is not None:
            member.seen = now

    def newcomers(self, now: float) -> list[Member]:
        """Those whose heartbeats came in lately, for introductions."""
        return [
            member
            for member in self._members.values()
            if member.seen is not None and now - member.seen < SEEN_SECONDS
        ]

    def hear(
        self, name: str, incarnation: str, age_seconds: float, now: float
    ) -> bool:
        """Takes in a sign of life; returns whether a new life began."""
        member = self._members.get(name)
        if member is None:
            return False
        fresh = member.incarnation != incarnation
        if fresh:
            member.incarnation = incarnation
            member.begun = now - age_seconds
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
        longest = MISSED_PINGS * self.period
        return [
            member
            for member in self._members.values()
            if member.heard is not None and now - member.heard < longest
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
        """How many share what all may use, this one included.

        With many, an instance hears of most only through its contacts.
        """
        own = 1 + sum(
            now - member.latest < KNOWN_SECONDS
            for member in self._members.values()
        )
        if self.few:
            return own
        return max([own, *(member.told for member in self.heard(now))])

    def ages(self, names: set[str], now: float) -> tuple[float, ...]:
        """How long these and this one have lived, seconds."""
        lives = [self._begun]
        lives += [m.begun for m in self._members.values() if m.name in names]
        return tuple(now - begun for begun in lives)

    def present(self, now: float) -> int:
        """How many are heard at present, this one included."""
        return 1 + len(self.heard(now))


def _weight(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
