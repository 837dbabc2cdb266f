"""Cuts gateways of a cluster off from all endpoints."""

import asyncio
import enum

from cranberryglade.gateway import outbound
from cranberryglade.gateway import tunnels


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


class RefusingTunnelServer(tunnels.TunnelServer):
    """Passes on for others, but is refused by all endpoints itself."""

    async def _connect(self, address, peer) -> None:
        raise ConnectionRefusedError


class HangingTunnelServer(tunnels.TunnelServer):
    """Passes on for others, but gets no answer from endpoints itself."""

    async def _connect(self, address, peer) -> None:
        await asyncio.sleep(60.0)


TUNNEL_SERVERS = {
    Cut.REFUSED: RefusingTunnelServer,
    Cut.HANGING: HangingTunnelServer,
}
POOLS = {Cut.REFUSED: RefusingPool, Cut.HANGING: HangingPool}


def cut_off(gateway, cut: Cut) -> None:
    """Cuts a gateway off from all endpoints; idle connections are closed."""
    pools = gateway._sender.pools
    pools.close_others(set())
    pools.pool_type = POOLS[cut]
    gateway._tunnel_server = TUNNEL_SERVERS[cut](gateway._state)


def reconnect(gateway) -> None:
    """Ends the cut of a gateway."""
    pools = gateway._sender.pools
    pools.close_others(set())
    pools.pool_type = outbound.Pool
    gateway._tunnel_server = tunnels.TunnelServer(gateway._state)
