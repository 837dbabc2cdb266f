"""Plays the platform's part in a rollout of a soak."""

import asyncio
import json

from cranberryglade.soak import deployment
from cranberryglade.soak import faults
from cranberryglade.soak import observations
from cranberryglade.standins import endpoint_standin
from cranberryglade.standins import operator_configuration

NEW_VERSION = "v3"
START_SECONDS = 1.0
"""Time from the order until the new endpoints are listed. Endpoints that are
listed before gateways know the order get requests without a limit."""

DRAIN_SECONDS = 3.5
"""Time for which new endpoints drain after a rollback. Gateways may send to an
endpoint for 3 s after it began to drain."""

POLL_SECONDS = 0.02

ENDED = ("completed", "rolled_back")


class RolloutDriver:
    """Orders a software version, and acts on the status that gateways store.

    Args:
        site: where the endpoints run.
        ordered: the rollout.
    """

    def __init__(self, site: deployment.Deployment, ordered: faults.Rollout):
        self._site = site
        self._ordered = ordered
        self._old = range(len(site.endpoints))
        self._new: list[int] = []

    async def run(self) -> None:
        """Takes the rollout from its order to its end, or past its period."""
        loop = asyncio.get_running_loop()
        ids = [f"n-{number}" for number in self._old]
        begun = loop.time()
        watched = observations.Rollout(
            frozenset(ids),
            self._ordered.quality != "good",
            begun,
            begun + self._ordered.period_seconds,
        )
        self._site.history.rollouts.append(watched)
        self._site.order_rollout(self._order())
        following = asyncio.create_task(self._follow(watched))
        try:
            await asyncio.sleep(START_SECONDS)
            await self._start(ids)
            await asyncio.sleep(self._ordered.good_seconds)
            self._turn()
            await following
        finally:
            following.cancel()
        await self._finish(watched.state)

    def _order(self) -> bytes:
        order = {
            "service": operator_configuration.SERVICE,
            "to": NEW_VERSION,
            "period_s": self._ordered.period_seconds,
        }
        return json.dumps(order).encode()

    async def _start(self, ids: list[str]) -> None:
        for id_ in ids:
            each = endpoint_standin.EndpointStandin(id_)
            self._new.append(len(self._site.endpoints))
            await self._site.add_endpoint(each, NEW_VERSION)

    def _turn(self) -> None:
        """Gives the new endpoints the fault of their version, if any."""
        mode = faults.ROLLOUT_QUALITIES[self._ordered.quality]
        for number in self._new:
            each = self._site.endpoints[number]
            each.default_behaviour = self._site.behaviour(each, mode)

    async def _follow(self, watched: observations.Rollout) -> None:
        """Reads the status row until it says the end or the period is over."""
        loop = asyncio.get_running_loop()
        while loop.time() < watched.due:
            stored = self._site.store.row("status", deployment.ORDER_KEY)
            row = json.loads(stored or b"{}")
            if row.get("to") == NEW_VERSION:
                watched.state = row["state"]
                if watched.state in ENDED:
                    watched.ended = loop.time()
                    return
            await asyncio.sleep(POLL_SECONDS)

    async def _finish(self, state: str) -> None:
        match state:
            case "completed":
                for number in self._old:
                    self._site.end_endpoint(number)
            case "rolled_back":
                for number in self._new:
                    self._site.list_endpoint(number, "draining")
                await asyncio.sleep(DRAIN_SECONDS)
                for number in self._new:
                    self._site.end_endpoint(number)
