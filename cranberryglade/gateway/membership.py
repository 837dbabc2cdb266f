"""Membership: known and reachable instances, and which one allocates."""

import bisect
from collections.abc import Iterable
import dataclasses
import random

import xxhash

from cranberryglade.gateway import capacity

FULL_MESH_LIMIT = 16
"""Up to this many instances, each sends heartbeats to all others."""

CONTACTS_PER_GROUP = 4
"""With more instances, each sends heartbeats to this many that come first in
order of precedence, and to as many of its own failure domain."""

HEARTBEAT_SECONDS = 0.3
PARTIAL_MESH_HEARTBEAT_SECONDS = 0.5
MAX_MISSED_HEARTBEATS = 3
"""An instance counts as unreachable, and does not allocate, when it has not
answered for this many heartbeat periods."""

RECENT_HEARTBEAT_SECONDS = 3.0

MIN_ALLOCATOR_AGE_SECONDS = 3.0
"""An instance that started more recently allocates only if none is older: it
does not yet know the running requests and the speeds of the endpoints."""

START_SPREAD_SECONDS = 2.0
"""Instances that started within this time after the oldest one know as much."""

MAX_CONFIRMATION_AGE_SECONDS = 2.5
"""The configuration of a contact counts as current if the platform's store
confirmed it within this time."""

MIN_CURRENT_CONTACTS = 2
"""With this many current contacts, an instance need not read the store."""

MEMBER_TIMEOUT_SECONDS = 20.0
"""An instance not heard from for longer has no share of common limits."""

COUNT_SECONDS = 0.25
"""For this long the number of instances is not counted anew."""

MAX_INTRODUCTIONS_TRIED = 8
"""How many instances are looked at for one that sent a heartbeat recently."""


Precedence = tuple[float, int]
"""Capacity, then weight in rendezvous order; the greatest comes first."""


@dataclasses.dataclass(slots=True)
class Member:
    """Another instance; times are seconds of the loop's clock.

    Attributes:
        name: its name.
        address: host and port at which it receives datagrams and serves peers.
        domain: its failure domain.
        incarnation: its current incarnation; "" until it has answered.
        heartbeat_incarnation: incarnation that its last heartbeat came from; ""
            if none came.
        registered_at: when it became known.
        started_at: when its current incarnation started, as it reports.
        answered_at: when it last answered a heartbeat; None if never.
        heartbeat_at: when a heartbeat from it last arrived; None if never.
        reported_instances: number of instances that it reports to know.
        confirmed_at: when its configuration was last confirmed to be the
            newest, as it reports; None if never.
        stopping_incarnation: incarnation that announced that it stops; "" if
            none did, or another one was heard of since.
        cut_off: whether it reports that it reaches endpoints only through
            other instances.
        capacity: as in `capacity.of_machine`.
        weight: its weight in rendezvous order.
    """

    name: str
    address: str
    domain: str
    registered_at: float
    incarnation: str = ""
    heartbeat_incarnation: str = ""
    started_at: float = 0.0
    answered_at: float | None = None
    heartbeat_at: float | None = None
    reported_instances: int = 0
    confirmed_at: float | None = None
    stopping_incarnation: str = ""
    cut_off: bool = False
    capacity: float = capacity.DEFAULT_CAPACITY
    weight: int = dataclasses.field(init=False)

    def __post_init__(self):
        """Computes the weight."""
        self.weight = _rendezvous_weight(self.name)

    @property
    def stopping(self) -> bool:
        """Whether it stops, as far as is known."""
        return bool(self.stopping_incarnation)

    @property
    def precedence(self) -> Precedence:
        """Its place among the instances that do more than their share."""
        return (self.capacity, self.weight)

    @property
    def last_contact_at(self) -> float:
        """Time at which it became known, answered or sent a heartbeat."""
        return max(
            self.registered_at,
            self.answered_at or 0.0,
            self.heartbeat_at or 0.0,
        )


class Membership:
    """The other instances, as seen by this one; performs no I/O."""

    __slots__ = (
        "_answered",
        "_contacts",
        "_contacts_of_all",
        "_counted",
        "_counted_at",
        "_domain",
        "_introduced",
        "_members",
        "_names_by_address",
        "_own",
        "_own_precedence",
        "_ring",
        "_started",
        "_stopping_contacts",
        "_suspects",
    )

    def __init__(
        self,
        own: str,
        domain: str,
        now: float,
        own_capacity: float = capacity.DEFAULT_CAPACITY,
    ):
        self._own = own
        self._own_precedence = (own_capacity, _rendezvous_weight(own))
        self._domain = domain
        self._started = now
        self._members: dict[str, Member] = {}
        self._ring: list[tuple[int, str]] = []
        self._names_by_address: dict[str, str] = {}
        self._suspects: dict[str, float] = {}
        # Only a few of hundreds are sent heartbeats, and answer.
        self._answered: dict[str, Member] = {}
        self._contacts: list[Member] | None = None
        self._stopping_contacts: list[Member] = []
        self._contacts_of_all: set[str] = set()
        self._counted = 1
        self._counted_at = float("-inf")
        self._introduced = 0

    @property
    def all(self) -> list[Member]:
        """All known members."""
        return list(self._members.values())

    def domain_of(self, name: str) -> str:
        """Returns the failure domain of an instance; "" if it is unknown."""
        if name == self._own:
            return self._domain
        member = self._members.get(name)
        return member.domain if member is not None else ""

    @property
    def full_mesh(self) -> bool:
        """Whether each instance sends heartbeats to all others."""
        return len(self._members) < FULL_MESH_LIMIT

    @property
    def heartbeat_seconds(self) -> float:
        """Seconds between two heartbeats to the same instance."""
        return (
            HEARTBEAT_SECONDS
            if self.full_mesh
            else PARTIAL_MESH_HEARTBEAT_SECONDS
        )

    @property
    def contacts(self) -> list[Member]:
        """Members that this instance sends heartbeats to.

        Load pattern: a large part of the instances is stopped at once. Those
        that stop are no contacts while enough others are left: whoever has no
        other contact would allocate alone.
        """
        if self._contacts is None:
            self._contacts = self._choose_contacts()
        return self._contacts

    @property
    def stopping_contacts(self) -> list[Member]:
        """Members that are no contacts only because they stop.

        They get heartbeats, too: that they run again may otherwise stay unseen.
        """
        chosen = {member.name for member in self.contacts}
        return [
            each for each in self._stopping_contacts if each.name not in chosen
        ]

    def _choose_contacts(self) -> list[Member]:
        if self.full_mesh:
            self._stopping_contacts = []
            return self.all
        order = sorted(
            self._members.values(), key=lambda m: m.precedence, reverse=True
        )
        usual = self._first_of(order)
        self._stopping_contacts = [each for each in usual if each.stopping]
        order.sort(key=lambda member: member.stopping)
        self._contacts_of_all = {
            member.name for member in order[:CONTACTS_PER_GROUP]
        }
        return self._first_of(order)

    def _first_of(self, order: list[Member]) -> list[Member]:
        """Returns the first members of all and of the failure domain."""
        of_domain = [each for each in order if each.domain == self._domain]
        first = order[:CONTACTS_PER_GROUP] + of_domain[:CONTACTS_PER_GROUP]
        return list({member.name: member for member in first}.values())

    @property
    def is_contact(self) -> bool:
        """Whether this instance is a contact of other instances."""
        ahead = same_domain = 0
        for member in self.contacts:
            if member.precedence > self._own_precedence:
                ahead += 1
                same_domain += member.domain == self._domain
        return ahead < CONTACTS_PER_GROUP or same_domain < CONTACTS_PER_GROUP

    @property
    def is_contact_of_all(self) -> bool:
        """Whether all instances send heartbeats to this one."""
        ahead = sum(
            member.precedence > self._own_precedence for member in self.contacts
        )
        return ahead < CONTACTS_PER_GROUP

    def contacts_suffice(self, now: float) -> bool:
        """Returns whether the contacts report all that the store would.

        Load pattern: one row changes, and each of hundreds of instances
        would fetch it from the store by a call of its own. The contacts of all
        fetch it for the others. The contacts of a failure domain do so only if
        their domain is cut off from those: what they tell each other comes
        from there.
        """
        if self.full_mesh or self.is_contact_of_all:
            return False
        informed = self._answered.keys()
        if self.is_contact:
            informed = self._contacts_of_all
        current = [
            member
            for member in self.reachable(now)
            if member.name in informed and self._is_current(member, now)
        ]
        return len(current) >= MIN_CURRENT_CONTACTS

    def _is_current(self, member: Member, now: float) -> bool:
        return (
            member.confirmed_at is not None
            and now - member.confirmed_at < MAX_CONFIRMATION_AGE_SECONDS
            and not member.stopping
        )

    @property
    def started_at(self) -> float:
        """When this instance started, seconds of the loop's clock."""
        return self._started

    def uptime(self, now: float) -> float:
        """Returns the seconds since this instance started."""
        return now - self._started

    def get(self, name: str) -> Member | None:
        """Returns the member of a name, if it is known."""
        return self._members.get(name)

    def register(
        self,
        name: str,
        address: str,
        domain: str,
        now: float,
        its_capacity: float = capacity.DEFAULT_CAPACITY,
    ) -> Member | None:
        """Registers an instance, or its new address and capacity.

        Returns:
            The member; None if the name is that of this instance.
        """
        if name == self._own:
            return None
        member = self._members.get(name)
        if member is None:
            member = self._members[name] = Member(name, address, domain, now)
            bisect.insort(self._ring, (member.weight, name))
            self._contacts = None
            self._counted_at = float("-inf")
        elif member.address != address:
            self._names_by_address.pop(member.address, None)
            member.address = address
        if member.capacity != its_capacity:
            member.capacity = its_capacity
            self._contacts = None
        self._names_by_address[address] = name
        return member

    def name_at(self, address: str) -> str:
        """Returns the name of the instance at an address; "" if unknown."""
        return self._names_by_address.get(address, "")

    def record_heartbeat(
        self, name: str, incarnation: str, age_seconds: float, now: float
    ) -> None:
        """Records a heartbeat from an instance.

        With many instances, most send heartbeats to this one and are sent none.

        Args:
            name: name of the instance.
            incarnation: its current incarnation.
            age_seconds: time since that incarnation started.
            now: seconds of the loop's clock.
        """
        member = self._members.get(name)
        if member is None:
            return
        member.heartbeat_at = now
        self._record_running(member, incarnation)
        if member.heartbeat_incarnation != incarnation:
            member.heartbeat_incarnation = incarnation
            member.started_at = now - age_seconds

    def recent_senders(self, now: float) -> list[Member]:
        """Returns members whose heartbeats arrived recently, to introduce."""
        return [
            member
            for member in self._members.values()
            if self._sent_recently(member, now)
        ]

    def _sent_recently(self, member: Member, now: float) -> bool:
        return (
            member.heartbeat_at is not None
            and now - member.heartbeat_at < RECENT_HEARTBEAT_SECONDS
        )

    def introduction(self, now: float) -> Member | None:
        """Returns a member that sent a heartbeat recently, in turn.

        None if there are few instances, or none of the next ones did.
        """
        if self.full_mesh:
            return None
        for _ in range(MAX_INTRODUCTIONS_TRIED):
            self._introduced = (self._introduced + 1) % len(self._ring)
            member = self._members[self._ring[self._introduced][1]]
            if self._sent_recently(member, now) and not member.stopping:
                return member
        return None

    def record_answer(
        self, name: str, incarnation: str, age_seconds: float, now: float
    ) -> bool:
        """Records an answer from an instance.

        Args:
            name: name of the instance.
            incarnation: its current incarnation.
            age_seconds: time since that incarnation started.
            now: seconds of the loop's clock.

        Returns:
            Whether the incarnation is new.
        """
        member = self._members.get(name)
        if member is None:
            return False
        restarted = member.incarnation != incarnation
        if restarted:
            member.incarnation = incarnation
            member.started_at = now - age_seconds
        self._record_running(member, incarnation)
        member.answered_at = now
        self._answered[name] = member
        self._suspects.pop(name, None)
        return restarted

    def suspect(self, name: str, until: float) -> None:
        """Excludes an instance from allocating, until a time or its answer."""
        self._suspects[name] = until

    def record_stopping(self, name: str, incarnation: str) -> bool:
        """Records that an incarnation of an instance is stopping.

        Returns:
            Whether that is new.
        """
        member = self._members.get(name)
        if member is None or member.stopping_incarnation == incarnation:
            return False
        member.stopping_incarnation = incarnation
        self._contacts = None
        return True

    def _record_running(self, member: Member, incarnation: str) -> None:
        """Records that an incarnation of an instance runs, maybe to its end."""
        if member.stopping and member.stopping_incarnation != incarnation:
            member.stopping_incarnation = ""
            self._contacts = None

    def reachable(self, now: float) -> list[Member]:
        """Returns the reachable members, which answered recently."""
        timeout = MAX_MISSED_HEARTBEATS * self.heartbeat_seconds
        return [
            member
            for member in self._answered.values()
            if now - member.answered_at < timeout
        ]

    def helpers(self, now: float) -> list[Member]:
        """Returns the members that may reach endpoints for this instance.

        Those that are not cut off themselves come first, in random order but
        for one of the same failure domain at the head: all instances of a
        domain may be cut off together.
        """
        usable = [each for each in self.reachable(now) if not each.stopping]
        random.shuffle(usable)
        near = [m for m in usable if m.domain == self._domain]
        far = [m for m in usable if m.domain != self._domain]
        return sorted(
            [*near[:1], *far, *near[1:]], key=lambda each: each.cut_off
        )

    def replicas(self, key: str, count: int, now: float) -> list[Member]:
        """Returns the members that have copies of what is stored under a key.

        They follow the key on a consistent-hashing ring of all names, which is
        nearly the same at all instances. Where each sends heartbeats to all
        others, unreachable members are left out.

        Args:
            key: what is looked up.
            count: number of members to return, if there are as many.
            now: seconds of the loop's clock.
        """
        usable = self._members.keys()
        if self.full_mesh:
            usable = {member.name for member in self.reachable(now)}
        start = bisect.bisect(self._ring, (_rendezvous_weight(key), ""))
        chosen = []
        for position in range(len(self._ring)):
            _, name = self._ring[(start + position) % len(self._ring)]
            if name in usable and not self._members[name].stopping:
                chosen.append(self._members[name])
            if len(chosen) == count:
                break
        return chosen

    def allocator(self, now: float, own_stopping: bool = False) -> str:
        """Returns the name of the instance that grants slots.

        It is the first in order of precedence of the reachable instances that
        are neither stopping nor suspected. Those that have run for
        MIN_ALLOCATOR_AGE_SECONDS precede the others; if the oldest have run
        hardly longer than that, those that started with them precede.

        Load pattern: half of the instances were started again, one after the
        other, when the other half stops. The first of them would allocate as
        each becomes old enough, for a moment each.

        Args:
            now: seconds of the loop's clock.
            own_stopping: whether this instance is stopping.
        """
        usable = [
            member
            for member in self.reachable(now)
            if not member.stopping
            and self._suspects.get(member.name, 0.0) <= now
        ]
        ages = [now - each.started_at for each in usable]
        precedences = [each.precedence for each in usable]
        names = [each.name for each in usable]
        if not own_stopping or not usable:
            ages.append(now - self._started)
            precedences.append(self._own_precedence)
            names.append(self._own)
        settled_age = min(
            MIN_ALLOCATOR_AGE_SECONDS, max(ages) - START_SPREAD_SECONDS
        )
        candidates = [
            (age >= settled_age, precedence)
            for age, precedence in zip(ages, precedences, strict=True)
        ]
        return names[candidates.index(max(candidates))]

    def rank(self, now: float) -> int:
        """Returns this instance's position in order of precedence, from 0.

        Only reachable instances count.
        """
        return sum(
            member.precedence > self._own_precedence
            for member in self.reachable(now)
        )

    def instance_count(self, now: float) -> int:
        """Returns how many instances, with this one, share common limits.

        With many instances, most are known only from reports of the contacts.
        """
        if now - self._counted_at >= COUNT_SECONDS:
            self._counted = self._count_instances(now)
            self._counted_at = now
        return self._counted

    def _count_instances(self, now: float) -> int:
        own = 1 + sum(
            now - member.last_contact_at < MEMBER_TIMEOUT_SECONDS
            for member in self._members.values()
        )
        if self.full_mesh:
            return own
        return max(
            [
                own,
                *(member.reported_instances for member in self.reachable(now)),
            ]
        )

    def uptimes(self, names: Iterable[str], now: float) -> tuple[float, ...]:
        """Returns seconds since the start of this instance and those named."""
        start_times = [self._started]
        start_times += [
            self._members[name].started_at
            for name in names
            if name in self._members
        ]
        return tuple(now - start for start in start_times)

    def reachable_count(self, now: float) -> int:
        """Returns the number of reachable instances, including this one."""
        return 1 + len(self.reachable(now))


def _rendezvous_weight(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
