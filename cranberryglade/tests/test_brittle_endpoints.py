"""Endpoints that fall over when they have to refuse too many requests."""

import asyncio

import pytest

from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.gateway import slots
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

Outcome = messages.Outcome

MOST_REFUSALS = 2
"""Refusals in a second that an endpoint withstands, as it states."""

PLACES = 3
"""Requests that an endpoint runs at once; its row states four."""


class Brittle:
    """Behaviour of an endpoint that has fewer places than its row states.

    Attributes:
        refused_at: when it refused requests, seconds of the loop's clock.
    """

    def __init__(self, endpoint):
        self._endpoint = endpoint
        self._running = 0
        self.refused_at: list[float] = []

    async def behave(self, received, reader, writer) -> None:
        if self._running >= PLACES:
            self.refused_at.append(asyncio.get_running_loop().time())
            await self._endpoint.refuse(received, reader, writer)
            return
        self._running += 1
        await asyncio.sleep(0.05)
        self._running -= 1
        await self._endpoint.succeed(received, reader, writer)

    def falls(self) -> bool:
        """Returns whether it refused too many requests in any second."""
        later = self.refused_at[MOST_REFUSALS:]
        return any(
            at - before < 1.0
            for before, at in zip(self.refused_at, later, strict=False)
        )


async def test_brittle_endpoint_does_not_fall_as_it_has_to_refuse_too_often():
    async with gateway_cluster.Cluster(3, 2) as cluster:
        brittle = [Brittle(endpoint) for endpoint in cluster.runners]
        for endpoint, behaviour in zip(cluster.runners, brittle, strict=True):
            endpoint.brittle = str(MOST_REFUSALS)
            endpoint.default_behaviour = behaviour.behave
        for _ in range(8):
            await asyncio.gather(
                *(
                    cluster.send_request(n % 3, X_Attempt_Id=f"a-{n}")
                    for n in range(30)
                )
            )
        assert not any(each.falls() for each in brittle)


@pytest.mark.parametrize("places", [1, 2, 3])
def test_grants_find_the_places_of_a_brittle_endpoint(places):
    # Load: more requests than places; the row states twice as many.
    scheduler = slots.SlotScheduler()
    scheduler.update_endpoints({"e-1": builders.make_endpoint(slots=6)}, 0.0)
    running: dict[str, float] = {}
    refused_at: list[float] = []
    arrived = 0
    for step in range(600):
        now = step / 50
        decisions = scheduler.tick(now)
        if step % 2:
            arrived += 1
            request = builders.make_slot_request(f"r-{arrived}")
            decisions += scheduler.request_slot("a", request, now)
        for id_, end in list(running.items()):
            if now >= end:
                del running[id_]
                decisions += scheduler.release(id_, Outcome.SERVED, now)
        while decisions:
            id_ = decisions.pop(0).result.id
            if len(running) < places:
                running[id_] = now + 0.3
            else:
                refused_at.append(now)
                decisions += scheduler.release(id_, Outcome.OVERLOADED, now)
    first = [at for at in refused_at if at < 1.0]
    later = [at for at in refused_at if at >= 1.0]
    assert 1 <= len(first) <= 2
    most = 12.0 / endpoint_states.LIMIT_RISE_SECONDS
    assert 1 <= len(later) <= most
    assert scheduler.lease_count == places


def test_a_refusal_of_another_endpoint_limits_nothing():
    scheduler = slots.SlotScheduler()
    scheduler.update_endpoints({"e-1": builders.make_endpoint(slots=6)}, 0.0)
    for number in range(3):
        request = builders.make_slot_request(f"r-{number}")
        scheduler.request_slot("a", request, 0.0)
    scheduler.release("r-0", Outcome.REFUSED, 0.0)
    for number in range(3, 7):
        request = builders.make_slot_request(f"r-{number}")
        scheduler.request_slot("a", request, 0.5)
    assert scheduler.lease_count == 6
