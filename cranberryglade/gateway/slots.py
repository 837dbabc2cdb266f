"""Grants slots of endpoints to requests that wait in one queue.

Load pattern: more requests than slots for seconds, on endpoints whose speeds
differ by several times. Requests wait here, by rank and by whether they can
still be in time, instead of in the endpoints' own queues, so that each runs
where a slot comes free first and none is stuck behind a slow endpoint.
"""

from cranberryglade.gateway import messages
from cranberryglade.gateway import places

UNKNOWN_PACE = 0.0
LEARNING_RATE = 0.2
CROWDING = 0.3
"""How much each request that runs beside slows an endpoint down."""

UNREACHABLE_PAUSE_SECONDS = 1.0
FIRST_PAUSE_SECONDS = 0.4
LONGEST_PAUSE_SECONDS = 4.0
REFUSED_PAUSE_SECONDS = 0.1
LEAST_RETRY_SECONDS = 0.25


class Slots:
    """The allocator: sans I/O, events and `now` in, rulings out."""

    __slots__ = ("_leases", "_paces", "_places", "_services", "_waiting")

    def __init__(self):
        self._places: dict[str, places.Place] = {}
        self._services: dict[str, list[places.Place]] = {}
        self._paces: dict[str, float] = {}
        self._leases: dict[str, places.Lease] = {}
        self._waiting: dict[str, places.Waiting] = {}

    @property
    def leases(self) -> int:
        """Slots in use."""
        return len(self._leases)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    def endpoints(
        self, listed: dict[str, messages.Endpoint], now: float
    ) -> list[places.Ruling]:
        """Takes in the present list of endpoints."""
        for gone in self._places.keys() - listed.keys():
            del self._places[gone]
        for name, entry in listed.items():
            place = self._places.get(name)
            if place is None:
                place = self._places[name] = places.Place(entry)
                for id_, lease in self._leases.items():
                    if lease.endpoint == name:
                        place.leases.add(id_)
            elif place.endpoint.born != entry.born:
                self._places[name] = places.Place(entry, leases=place.leases)
            else:
                place.endpoint = entry
        self._index()
        return self._serve(now)

    def ask(
        self, holder: str, need: messages.Need, now: float
    ) -> list[places.Ruling]:
        """Grants a slot, puts the request in the queue, or denies it."""
        held = self._leases.get(need.id)
        if held is not None:
            granted = messages.Granted(need.id, held.endpoint)
            return [places.Ruling(holder, granted)]
        if need.id in self._waiting:
            return []
        self._waiting[need.id] = places.Waiting(holder, need, now)
        rulings = self._serve(now)
        if need.id in self._waiting:
            denied = self._hopeless(holder, need, now)
            if denied is not None:
                del self._waiting[need.id]
                rulings.append(places.Ruling(holder, denied))
        return rulings

    def withdraw(self, id_: str) -> None:
        """Forgets a request that waits."""
        self._waiting.pop(id_, None)

    def release(
        self,
        id_: str,
        outcome: messages.Outcome,
        now: float,
    ) -> list[places.Ruling]:
        """Frees a slot and learns from how the attempt went."""
        lease = self._leases.pop(id_, None)
        if lease is None:
            return []
        place = self._places.get(lease.endpoint)
        if place is not None:
            place.leases.discard(id_)
            self._learn(place, lease, outcome, now)
        return self._serve(now)

    def adopt(
        self, holder: str, needs: list[messages.Granted], now: float
    ) -> list[places.Ruling]:
        """Takes in the attempts that an instance has under way.

        Leases of that holder which it no longer lists are freed, but for
        those granted too recently to be in its list.
        """
        listed = {each.id: each.endpoint for each in needs}
        for id_, lease in list(self._leases.items()):
            stale = lease.holder == holder and id_ not in listed
            if stale and now - lease.since > LEAST_RETRY_SECONDS:
                self._drop(id_)
        for id_, endpoint in listed.items():
            if id_ not in self._leases:
                self.hold(holder, id_, None, endpoint, now)
        return self._serve(now)

    def hold(
        self,
        holder: str,
        id_: str,
        need: messages.Need | None,
        endpoint: str,
        now: float,
    ) -> None:
        """Takes in a lease that another instance has granted."""
        self._leases[id_] = places.Lease(holder, need, endpoint, now)
        if endpoint in self._places:
            self._places[endpoint].leases.add(id_)

    def knows(self, id_: str) -> bool:
        """Whether a request waits or has a slot."""
        return id_ in self._leases or id_ in self._waiting

    def place_of(self, id_: str) -> str:
        """The endpoint that a request runs at; "" if it has no slot."""
        lease = self._leases.get(id_)
        return lease.endpoint if lease is not None else ""

    def held_by(self, holder: str) -> list[messages.Granted]:
        """The leases of one instance."""
        return [
            messages.Granted(id_, lease.endpoint)
            for id_, lease in self._leases.items()
            if lease.holder == holder
        ]

    def forget(self, holder: str, now: float) -> list[places.Ruling]:
        """Frees all that an instance held, which is no longer heard of."""
        for id_, lease in list(self._leases.items()):
            if lease.holder == holder:
                self._drop(id_)
        for id_, waiting in list(self._waiting.items()):
            if waiting.holder == holder:
                del self._waiting[id_]
        return self._serve(now)

    def tick(self, now: float) -> list[places.Ruling]:
        """Ends waits that are over, and grants what has come free."""
        rulings = []
        for id_, waiting in list(self._waiting.items()):
            if now >= waiting.need.until:
                del self._waiting[id_]
                denied = self._denied(waiting.need, "waited", 0.5)
                rulings.append(places.Ruling(waiting.holder, denied))
        return rulings + self._serve(now)

    def _drop(self, id_: str) -> None:
        lease = self._leases.pop(id_)
        place = self._places.get(lease.endpoint)
        if place is not None:
            place.leases.discard(id_)

    def _index(self) -> None:
        self._services = {}
        self._paces = {}
        for place in self._places.values():
            if not place.endpoint.leaving:
                name = place.endpoint.service
                self._services.setdefault(name, []).append(place)

    def _of(self, service: str) -> list[places.Place]:
        return self._services.get(service, [])

    def _serve(self, now: float) -> list[places.Ruling]:
        rulings = []
        if not self._waiting:
            return rulings
        paces = {
            service: self._typical_pace(service)
            for service in {w.need.service for w in self._waiting.values()}
        }
        queue = sorted(
            self._waiting.values(),
            key=lambda each: each.order(paces[each.need.service], now),
        )
        spent = {s for s in paces if not any(p.free > 0 for p in self._of(s))}
        for waiting in queue:
            if waiting.need.service in spent:
                continue
            place = self._best(waiting.holder, waiting.need, now)
            if place is None:
                continue
            need = waiting.need
            del self._waiting[need.id]
            name = place.endpoint.id
            self._leases[need.id] = places.Lease(
                waiting.holder, need, name, now
            )
            place.leases.add(need.id)
            if not any(p.free > 0 for p in self._of(need.service)):
                spent.add(need.service)
            rulings.append(
                places.Ruling(waiting.holder, messages.Granted(need.id, name))
            )
        return rulings

    def _best(
        self, holder: str, need: messages.Need, now: float
    ) -> places.Place | None:
        free = [
            place
            for place in self._of(need.service)
            if place.free > 0
            and place.endpoint.id not in need.avoid
            and place.open_to(holder, now)
        ]
        typical = self._typical_pace(need.service)
        return min(
            free,
            key=lambda place: self._cost(place, typical, now),
            default=None,
        )

    def _cost(
        self, place: places.Place, typical: float, now: float
    ) -> places.Cost:
        """How long a request would take there, relative to other places."""
        running = [
            self._leases[id_] for id_ in place.leases if id_ in self._leases
        ]
        # A run that takes long already tells of a slow endpoint before it
        # ends, which matters most when nothing is known yet.
        shown = [(now - r.since) / r.work for r in running if r.work]
        pace = place.pace if place.samples else typical
        pace = max([pace, *shown])
        return places.Cost(pace * (1 + CROWDING * len(running)), len(running))

    def _typical_pace(self, service: str) -> float:
        known = self._paces.get(service)
        if known is None:
            paces = sorted(p.pace for p in self._of(service) if p.samples)
            known = paces[len(paces) // 2] if paces else UNKNOWN_PACE
            self._paces[service] = known
        return known

    def _hopeless(
        self, holder: str, need: messages.Need, now: float
    ) -> messages.Denied | None:
        usable = [
            place
            for place in self._of(need.service)
            if place.endpoint.id not in need.avoid
        ]
        if not usable:
            return self._denied(need, "no_endpoint", 1.0)
        if all(place.bars(holder, now) for place in usable):
            return self._denied(need, "unreachable", UNREACHABLE_PAUSE_SECONDS)
        wait = self._expected_wait(need, usable, now)
        if now + wait > need.until:
            return self._denied(need, "hopeless", wait)
        return None

    def _expected_wait(
        self, need: messages.Need, usable: list[places.Place], now: float
    ) -> float:
        slots = sum(place.endpoint.slots for place in usable)
        typical = self._typical_pace(need.service)
        ahead = [
            other.need
            for other in self._waiting.values()
            if other.need.service == need.service
            and other.need.rank <= need.rank
        ]
        running = [
            self._leases[id_].work
            for place in usable
            for id_ in place.leases
            if id_ in self._leases
        ]
        load = sum(map(places.work, ahead)) + 0.5 * sum(running)
        return load * typical / max(1, slots)

    def _learn(
        self,
        place: places.Place,
        lease: places.Lease,
        outcome: messages.Outcome,
        now: float,
    ) -> None:
        match outcome:
            case messages.Outcome.SERVED:
                place.strikes = 0
                place.barred.pop(lease.holder, None)
                if lease.work:
                    self._paces.pop(place.endpoint.service, None)
                    _learn_pace(place, (now - lease.since) / lease.work)
            case messages.Outcome.FAILED | messages.Outcome.ABANDONED:
                pass
            case messages.Outcome.UNREACHABLE:
                place.barred[lease.holder] = now + UNREACHABLE_PAUSE_SECONDS
            case messages.Outcome.REFUSED:
                place.paused_until = now + REFUSED_PAUSE_SECONDS
            case messages.Outcome.MISDIRECTED | messages.Outcome.LOST:
                place.strikes += 1
                pause = FIRST_PAUSE_SECONDS * 2 ** (place.strikes - 1)
                place.paused_until = now + min(LONGEST_PAUSE_SECONDS, pause)

    def _denied(
        self, need: messages.Need, reason: str, wait: float
    ) -> messages.Denied:
        after = max(LEAST_RETRY_SECONDS, wait)
        return messages.Denied(need.id, reason, after, len(self._waiting))


def _learn_pace(place: places.Place, pace: float) -> None:
    rate = max(LEARNING_RATE, 1 / (place.samples + 1))
    place.pace += rate * (pace - place.pace)
    place.samples += 1
