"""Hands the usage of quotas by an instance that stops to its successor.

`final_usage` says which usage is known by that, and which is not.
"""

import asyncio

from cranberryglade import log
from cranberryglade.gateway import allocation
from cranberryglade.gateway import charges
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import final_usage
from cranberryglade.gateway import mesh

MAX_BYTES = 65_507
"""Largest datagram that can be sent."""

logger = log.get_logger(__name__)


class UsageHandover:
    """Tells others this instance's final usage, and theirs to them."""

    __slots__ = ("_allocator", "_charges", "_kept", "_mesh", "_name")

    def __init__(
        self,
        name: str,
        charging: charges.Charges,
        allocator: allocation.SharedAllocator,
        instances: mesh.Mesh,
    ):
        """Connects it to the other components.

        Args:
            name: name of this instance.
            charging: has the usage by requests of this instance.
            allocator: acquires slots for them.
            instances: the other instances.
        """
        self._name = name
        self._charges = charging
        self._allocator = allocator
        self._mesh = instances
        self._kept = final_usage.KeptUsage()

    def finish(self) -> None:
        """Ends the use of quotas, and tells all usage to the contacts."""
        now = asyncio.get_running_loop().time()
        self._allocator.finish()
        final = self._charges.final_usage(
            self._mesh.incarnation, self._mesh.members.started_at, now
        )
        datagram = self._encode(self._name, final, now)
        size = len(datagrams.encode(datagram))
        told = self._mesh.members.contacts if size <= MAX_BYTES else []
        for member in told:
            self._mesh.send(member, datagram)
        # What is too large to be told stays unknown, as after a kill.
        logger.info(
            "usage.finished",
            told=len(told),
            entries=len(datagram.usage),
            size_bytes=size,
        )

    def receive(self, message: datagrams.FinalUsage) -> None:
        """Receives final usage, of this instance's name or of another."""
        now = asyncio.get_running_loop().time()
        final = final_usage.decode(message, now)
        if message.name == self._name:
            self._adopt(final, now)
            return
        member = self._mesh.members.get(message.name)
        if member is not None:
            self._kept.keep(message.name, final, member.heartbeat_incarnation)

    def hear(self, ping: datagrams.Ping) -> None:
        """Tells an instance that was started again what it used before."""
        now = asyncio.get_running_loop().time()
        self._kept.expire(now - self._charges.window_seconds)
        final = self._kept.usage_before(ping.name, ping.incarnation)
        if final is not None:
            self._mesh.send_to(ping.name, self._encode(ping.name, final, now))

    def _adopt(self, final: final_usage.FinalUsage, now: float) -> None:
        own = self._mesh.incarnation
        if final.incarnation == own or not self._charges.adopt(final):
            return
        self._allocator.report_again()
        logger.info(
            "usage.adopted",
            life=final.incarnation,
            ended_s=round(now - final.ended_at, 3),
            entries=len(final.usages),
        )

    def _encode(
        self, name: str, final: final_usage.FinalUsage, now: float
    ) -> datagrams.FinalUsage:
        window = self._charges.window_seconds
        return final_usage.encode(name, final, window, now)
