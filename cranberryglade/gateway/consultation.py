"""Asks the other instances for what the store may have forgotten."""

import asyncio

from cranberryglade import log
from cranberryglade.gateway import mesh
from cranberryglade.gateway import state
from cranberryglade.gateway import store_watch

ANSWER_SECONDS = 0.4
"""How long the other instances may take to answer."""

REGISTER_SECONDS = 2.0
"""How long the list of the other instances may take to be read."""

FETCH_SECONDS = 3.0
"""How long a configuration that others have may take to be fetched."""

PERIOD_SECONDS = 0.1
"""Time between two heartbeats to those that have not answered."""

logger = log.get_logger(__name__)


class Consultation:
    """Asks the others once in each era of the store, and at the start.

    Load pattern: the store comes back from a copy in which a key that was
    taken away is still listed, and an instance starts before the operator has
    written the configuration again. The store alone would confirm it. So what
    the store says confirms a configuration only when the other instances were
    asked for a newer one. Each wait is bounded: when all start at once, or one
    is alone, nobody may answer.

    Attributes:
        asked: is set when the contacts have answered once, or do not.
    """

    __slots__ = (
        "_greeted",
        "_mesh",
        "_registered",
        "_state",
        "_store_watcher",
        "asked",
    )

    def __init__(
        self,
        instance_state: state.InstanceState,
        instances: mesh.Mesh,
        store_watcher: store_watch.StoreWatcher,
        registered: asyncio.Event,
    ):
        """Connects it to the other components.

        Args:
            instance_state: state of this instance.
            instances: the other instances.
            store_watcher: is told when they were asked.
            registered: is set when the other instances are known.
        """
        self._state = instance_state
        self._mesh = instances
        self._store_watcher = store_watcher
        self._registered = registered
        self._greeted = False
        self.asked = asyncio.Event()

    async def run(self) -> None:
        """Asks at the start and after each restore; runs until cancelled."""
        while True:
            await self._state.store_answered.wait()
            self._state.store_answered.clear()
            try:
                await self._ask()
            except Exception:
                # Started again, it asks again.
                self._state.store_answered.set()
                raise

    async def _ask(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self._wait_until_registered()
        if self._registered.is_set() and not self._greeted:
            self._greeted = True
            self._mesh.greet()
        asked_at = loop.time()
        while silent := self._silent_members(began):
            if loop.time() - asked_at >= ANSWER_SECONDS:
                break
            for member in silent:
                self._mesh.ping(member)
            await self._wait_for_answer()
        self.asked.set()
        await self._wait_for_configuration()
        if self._state.store_answered.is_set():
            # It came back from another copy meanwhile.
            return
        logger.info(
            "peers.asked",
            silent=len(silent),
            seconds=round(loop.time() - began, 3),
        )
        self._store_watcher.accept_confirmations()

    async def _wait_until_registered(self) -> None:
        try:
            async with asyncio.timeout(REGISTER_SECONDS):
                await self._registered.wait()
        except TimeoutError:
            logger.warning("peers.unlisted")

    async def _wait_for_configuration(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        while self._state.version < self._mesh.newest_configuration:
            if loop.time() - began >= FETCH_SECONDS:
                logger.warning(
                    "peers.newer_unfetched",
                    version=self._mesh.newest_configuration,
                )
                return
            await asyncio.sleep(PERIOD_SECONDS / 10)

    async def _wait_for_answer(self) -> None:
        self._mesh.answered.clear()
        try:
            async with asyncio.timeout(PERIOD_SECONDS):
                await self._mesh.answered.wait()
        except TimeoutError:
            pass

    def _silent_members(self, since: float):
        return [
            member
            for member in self._mesh.members.contacts
            if member.answered_at is None or member.answered_at < since
        ]
