"""Endpoints that fall over when they have to refuse too many requests."""

import asyncio

from cranberryglade.tests import gateway_cluster

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
