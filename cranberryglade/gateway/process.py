"""One gateway: wires the stages and runs them until SIGTERM."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import secrets
import signal
import time

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import admission
from cranberryglade.gateway import allocation
from cranberryglade.gateway import budgets
from cranberryglade.gateway import catalogue
from cranberryglade.gateway import charges
from cranberryglade.gateway import dialect
from cranberryglade.gateway import following
from cranberryglade.gateway import forwarding
from cranberryglade.gateway import freshness
from cranberryglade.gateway import handouts
from cranberryglade.gateway import inbound
from cranberryglade.gateway import mesh
from cranberryglade.gateway import messages
from cranberryglade.gateway import ports
from cranberryglade.gateway import quotas
from cranberryglade.gateway import registration
from cranberryglade.gateway import responding
from cranberryglade.gateway import sending
from cranberryglade.gateway import settings
from cranberryglade.gateway import slots
from cranberryglade.gateway import sockets
from cranberryglade.gateway import state
from cranberryglade.gateway import telemetry

INCARNATION_BYTES = 4
TICK_SECONDS = 0.05
LEAST_STOP_SECONDS = 2.9
STOP_MARGIN_SECONDS = 0.8
REREAD_SECONDS = 3.0
PROBE_STEP_SECONDS = 0.4
READY_PATH = b"/ready"


class Gateway:
    """Serves callers on one machine."""

    def __init__(
        self,
        configured: settings.Settings,
        store: ports.Store,
        decoder: ports.Decoder,
        words: dialect.Dialect,
        metrics_port: int,
        reread: Callable[[], Result[settings.Settings, str]],
    ):
        """Wires it.

        Args:
            configured: settings at the start.
            store: the platform's store.
            decoder: reads its rows.
            words: reads and writes headers.
            metrics_port: where the metrics are served.
            reread: reads the settings again.
        """
        self._settings = configured
        self._reread = reread
        self._metrics_port = metrics_port
        randomness = random.Random(secrets.randbits(64))
        self._state = state.State(
            secrets.token_hex(INCARNATION_BYTES),
            freshness.Freshness(configured.revoke_seconds),
            telemetry.Telemetry(),
        )
        self._slots = slots.Slots()
        self._store = store
        self._allocator = allocation.SharedAllocator(
            configured.instance,
            self._slots,
            charges.Charges(self._quotas(configured), self._quotas(configured)),
        )
        self._sender = sending.Sender(words)
        self._follower = following.Follower(
            store,
            decoder,
            self._state,
            randomness,
            self._catalogue_changed,
            self._endpoints_changed,
        )
        self._handouts = handouts.Handouts(self._state, self._follower)
        self._mesh = mesh.Mesh(
            configured.instance,
            configured.failure_domain,
            self._peer_address,
            self._state,
            self._allocator.receive,
            self._handouts.compare,
            self._allocator.report,
        )
        self._allocator.join(self._mesh)
        self._budget = budgets.RetryBudget(
            configured.retry_ratio,
            configured.retry_slack,
            configured.retry_window_seconds,
            time.monotonic(),
        )
        forwarder = forwarding.Forwarder(
            self._state,
            words,
            admission.Admission(self._state.freshness, randomness),
            self._allocator,
            self._budget,
            self._sender,
        )
        self._front = inbound.Listener(forwarder.handle, self._flawed)
        self._plain = inbound.Listener(self._answer, self._flawed)
        self._peers = inbound.Listener(self._handouts.answer, self._flawed)
        self._server: asyncio.Server | None = None
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task] = []
        self._stopping = asyncio.Event()
        self._logger = log.get_logger(__name__)
        self._watch_values()

    @property
    def _peer_address(self) -> str:
        return f"{self._settings.host}:{self._settings.peer_port}"

    async def run(self) -> None:
        """Serves until SIGTERM, then finishes what is under way."""
        self._handle_signals()
        await self.start()
        await self._stopping.wait()
        await self.finish()

    async def start(self) -> None:
        """Begins to serve."""
        await self._listen()
        await self._mesh.open()
        for each in (
            self._follower.follow(ports.Table.CONFIGURATION),
            self._follower.follow(ports.Table.ENDPOINTS),
            self._follower.probe(),
            self._mesh.run(),
            self._register(),
            self._tick(),
            self._watch_settings(),
        ):
            self._tasks.append(asyncio.create_task(each))
        self._logger.info("started", incarnation=self._state.incarnation)

    def stop(self) -> None:
        """Asks callers and balancer to go elsewhere."""
        if not self._stopping.is_set():
            self._logger.info("stopping", busy=self._front.busy)
        self._front.stopping = True
        self._mesh.leave()
        self._stopping.set()

    async def finish(self) -> None:
        """Lets what is under way end, within the time for it."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        last = begun + self._settings.grace_seconds - STOP_MARGIN_SECONDS
        # Until the balancer has noticed, new connections still arrive.
        await asyncio.sleep(LEAST_STOP_SECONDS)
        self._server.close()
        while self._front.connections and loop.time() < last:
            for connection in list(self._front.connections):
                connection.close_if_idle()
            await asyncio.sleep(TICK_SECONDS)
        self.close()
        self._logger.info("stopped", busy=self._front.busy)

    def close(self) -> None:
        """Drops everything at once."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        for listener in (self._front, self._plain, self._peers):
            for connection in list(listener.connections):
                connection.break_off()
        self._mesh.close()

    def serves(self, endpoints: int, peers: int) -> bool:
        """Whether it is ready, with so many endpoints and peers at least."""
        now = asyncio.get_running_loop().time()
        return (
            self._ready()
            and len(self._state.endpoints) >= endpoints
            and self._mesh.members.present(now) > peers
        )

    async def _listen(self) -> None:
        for listener, address in (
            (self._plain, self._settings.ready_address),
            (self._plain, f"{self._settings.host}:{self._metrics_port}"),
            (self._peers, self._peer_address),
            (self._front, self._settings.front_address),
        ):
            self._server = await listener.serve(*sockets.split(address))
            self._servers.append(self._server)

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        match self._reread():
            case Failure(problem):
                self._logger.error("reload.unreadable", problem=problem)
            case Success(read) if read != self._settings:
                self._logger.info(
                    "reload", changed=_differing(self._settings, read)
                )
                self._apply(read)

    def _apply(self, read: settings.Settings) -> None:
        # Addresses and names belong to a life; they are taken at its start.
        self._settings = read
        self._state.freshness.bound(read.revoke_seconds)
        self._budget.limit(read.retry_ratio, read.retry_slack)
        self._allocator.tolerate(self._tolerance(read))

    def _watch_values(self) -> None:
        state = self._state
        members = self._mesh.members
        watch = state.metrics.watch
        watch(
            "configuration_version",
            "Version in force; 0 before the first.",
            lambda: state.version,
        )
        watch(
            "configuration_age_seconds",
            "Since it was last confirmed to be the newest.",
            lambda: state.freshness.age(state.steady_now()),
        )
        watch("endpoints", "Endpoints in use.", lambda: len(state.endpoints))
        watch(
            "peers_heard",
            "Instances heard lately, this one included.",
            lambda: members.present(asyncio.get_running_loop().time()),
        )
        watch(
            "allocating",
            "1 if this instance grants the slots.",
            lambda: self._mesh.allocator == self._settings.instance,
        )
        watch("slots_used", "Slots in use.", lambda: self._slots.leases)
        watch(
            "requests_waiting",
            "Requests in the allocator's queue.",
            lambda: self._slots.waiting,
        )

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(REREAD_SECONDS)
            self._reload()

    async def _answer(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        if request.target.startswith(READY_PATH):
            status = 200 if self._ready() else 503
            responder.whole(status, [], b"")
        else:
            kind = messages.Header(b"Content-Type", b"text/plain")
            responder.whole(200, [kind], self._state.metrics.text())

    def _ready(self) -> bool:
        known = self._state.catalogue is not None
        if not known or self._stopping.is_set():
            return False
        return self._state.freshness.admits_keys(self._state.steady_now())

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = loop.time()
            if self._state.directory.expire(now):
                self._endpoints_changed()
            self._allocator.tick(now)
            self._state.share = 1 / self._mesh.members.known(now)
            order = self._mesh.members.order(now)
            self._follower.patience = order * PROBE_STEP_SECONDS
            self._follower.informed = self._mesh.members.informed(now)

    async def _register(self) -> None:
        entry = registration.Entry(
            self._peer_address, self._settings.failure_domain
        )
        await registration.register(
            self._store, self._settings.instance, entry, self._mesh.members
        )

    def _tolerance(self, configured: settings.Settings) -> quotas.Tolerance:
        return quotas.Tolerance(
            configured.quota_window_seconds,
            configured.quota_ratio,
            configured.quota_slack,
        )

    def _quotas(self, configured: settings.Settings) -> quotas.Quotas:
        return quotas.Quotas(self._organisation, self._tolerance(configured))

    def _organisation(self, name: str) -> catalogue.Organisation | None:
        known = self._state.catalogue
        return known.organisations.get(name) if known else None

    def _catalogue_changed(self) -> None:
        self._front.limits = self._state.catalogue.limits

    def _endpoints_changed(self) -> None:
        listed = self._state.directory.listed
        self._state.endpoints = listed
        self._sender.pools.keep_only({e.address for e in listed.values()})
        now = asyncio.get_running_loop().time()
        self._allocator.settle(self._slots.endpoints(listed, now))

    def _flawed(self, flaw: inbound.Flaw) -> None:
        self._state.metrics.event("flawed_request")
        self._logger.info(
            "request.flawed", status=flaw.status, reason=flaw.reason
        )


def _differing(
    before: settings.Settings, after: settings.Settings
) -> list[str]:
    return [
        field.name
        for field in dataclasses.fields(after)
        if getattr(before, field.name) != getattr(after, field.name)
    ]
