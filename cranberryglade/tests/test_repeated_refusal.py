"""A faulty endpoint writes an earlier refusal once more on a connection."""

import asyncio

import pytest

from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

PLAIN = "/pay/1"
"""Target of requests that may run once only."""

IDEMPOTENT = "/look/1"


class RepeatingEndpoint:
    """Behaviour of an endpoint that refuses one request, and says so twice.

    Attributes:
        refused: the request that it refused.
    """

    def __init__(self, endpoint, identified):
        self._endpoint = endpoint
        self._identified = identified
        self.refused = None

    async def refuse_twice(self, received, reader, writer) -> None:
        """Refuses a request, and at once once more."""
        refusal = self._endpoint.refusal(received, self._identified)
        writer.write(self._endpoint.refusal(received) + refusal)
        await writer.drain()

    async def refuse(self, received, reader, writer) -> None:
        """Refuses a request."""
        self.refused = received
        writer.write(self._endpoint.refusal(received))
        await writer.drain()

    async def repeat_then_run(self, received, reader, writer) -> None:
        """Repeats the earlier refusal while it runs the next request."""
        writer.write(self._endpoint.refusal(self.refused, self._identified))
        await writer.drain()
        await asyncio.sleep(0.05)
        await self._endpoint.succeed(received, reader, writer)


@pytest.mark.parametrize("identified", [True, False])
@pytest.mark.parametrize("target", [PLAIN, IDEMPOTENT])
async def test_repeated_refusal_is_no_answer_to_the_next_request(
    target, identified
):
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        faulty = RepeatingEndpoint(endpoint, identified)
        endpoint.script = [faulty.refuse_twice]
        first = await cluster.send_request(target=target, X_Attempt_Id="a-1")
        assert first.status == 503
        await asyncio.sleep(0.15)
        second = await cluster.send_request(target=target, X_Attempt_Id="a-2")
        assert second.status == 200
        assert endpoint.ran.count("a-2") == 1


@pytest.mark.parametrize("identified", [True, False])
@pytest.mark.parametrize("target", [PLAIN, IDEMPOTENT])
async def test_refusal_that_is_repeated_during_the_next_run_promises_nothing(
    target, identified
):
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        faulty = RepeatingEndpoint(endpoint, identified)
        endpoint.script = [faulty.refuse, faulty.repeat_then_run]
        first = await cluster.send_request(target=target, X_Attempt_Id="a-1")
        assert first.status == 503
        await asyncio.sleep(0.15)
        second = await cluster.send_request(target=target, X_Attempt_Id="a-2")
        # With an id it is told from the answer; without one, nothing is known.
        # Then only a request that may be repeated is sent again.
        if identified:
            assert second.status == 200
            assert endpoint.connections == 1
        else:
            assert second.status == 502 or target == IDEMPOTENT
        await gateway_cluster.wait_until(lambda: "a-2" in endpoint.ran)
        assert endpoint.ran.count("a-2") == 1 or target == IDEMPOTENT


async def test_request_is_not_sent_to_the_endpoint_that_refused_it_before():
    # Its refusal, written once more, would have the id of the second attempt.
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.refuse
        answer = await cluster.send_request(target=PLAIN, X_Attempt_Id="a-1")
        assert answer.status == 503
        for endpoint in cluster.runners:
            sent = [each.request_id for each in endpoint.received]
            assert sent.count("a-1") <= 1
