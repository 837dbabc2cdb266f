"""Cuts gateways of a cluster off from all endpoints."""

import asyncio
import enum

from cranberryglade.gateway import outbound


class Cut(enum.Enum):
    """What happens to new connections of a gateway that is cut off."""

    REFUSED = "refused"
    HANGING = "hanging"


class RefusingPool(outbound.Pool):
    """Connections to an address that are refused."""

    async def _open(self) -> outbound.Channel:
        raise ConnectionRefusedError


class HangingPool(outbound.Pool):
    """Connections to an address that are not answered."""

    async def _open(self) -> outbound.Channel:
        await asyncio.sleep(60.0)
        raise AssertionError


POOLS = {Cut.REFUSED: RefusingPool, Cut.HANGING: HangingPool}


def cut_off(gateway, cut: Cut) -> None:
    """Cuts a gateway off from all endpoints; idle connections are closed."""
    pools = gateway._sender.pools
    pools.close_others(set())
    pools.pool_type = POOLS[cut]


def reconnect(gateway) -> None:
    """Ends the cut of a gateway."""
    pools = gateway._sender.pools
    pools.close_others(set())
    pools.pool_type = outbound.Pool
