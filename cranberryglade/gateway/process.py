"""The gateway process: creates its components and runs them until SIGTERM."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import secrets
import signal

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import log
from cranberryglade import supervision
from cranberryglade.endpoint_lookup import lookup
from cranberryglade.gateway import accepting
from cranberryglade.gateway import admission
from cranberryglade.gateway import allocation
from cranberryglade.gateway import budgets
from cranberryglade.gateway import capacity
from cranberryglade.gateway import charges
from cranberryglade.gateway import configuration
from cranberryglade.gateway import configuration_age
from cranberryglade.gateway import consultation
from cranberryglade.gateway import conversions
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import dialect
from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import endpoint_pauses
from cranberryglade.gateway import endpoint_processes
from cranberryglade.gateway import forwarding
from cranberryglade.gateway import gauges
from cranberryglade.gateway import inbound
from cranberryglade.gateway import mesh
from cranberryglade.gateway import messages
from cranberryglade.gateway import origin_rows
from cranberryglade.gateway import origin_sharing
from cranberryglade.gateway import peer_sync
from cranberryglade.gateway import ports
from cranberryglade.gateway import process_verification
from cranberryglade.gateway import quarantine_sync
from cranberryglade.gateway import quotas
from cranberryglade.gateway import registration
from cranberryglade.gateway import responding
from cranberryglade.gateway import sending
from cranberryglade.gateway import settings
from cranberryglade.gateway import shared_read
from cranberryglade.gateway import slots
from cranberryglade.gateway import sockets
from cranberryglade.gateway import software_versions
from cranberryglade.gateway import state
from cranberryglade.gateway import status
from cranberryglade.gateway import store_watch
from cranberryglade.gateway import telemetry
from cranberryglade.gateway import tunnels
from cranberryglade.gateway import usage_handover
from cranberryglade.gateway import usage_sync
from cranberryglade.gateway import version_sync
from cranberryglade.hedging import control as hedge_control
from cranberryglade.hedging import service_hedges
from cranberryglade.memory import budget as memory_budget
from cranberryglade.memory import connection_limit
from cranberryglade.memory import system_memory
from cranberryglade.placement import explaining
from cranberryglade.rollouts import control as rollout_control
from cranberryglade.rollouts import exposure
from cranberryglade.rollouts import gate
from cranberryglade.warmup import waits

INCARNATION_BYTES = 4
TICK_SECONDS = 0.05
SETTINGS_REREAD_SECONDS = 3.0
PROBE_STEP_SECONDS = 0.4
"""Delay of the probe of the store for each instance that is earlier in
order of precedence, so that one probe usually serves all instances."""

SETTLE_SECONDS = 1.0
"""How long requests that count against quotas wait after a start for what the
store knows."""


class Gateway:
    """One instance of the gateway.

    It accepts requests of callers, dispatches them to endpoints, and exchanges
    heartbeats, slot requests and configuration with the other instances.
    """

    def __init__(
        self,
        initial_settings: settings.Settings,
        store: ports.Store,
        decoder: ports.Decoder,
        header_dialect: dialect.Dialect,
        metrics_port: int,
        read_settings: Callable[[], Result[settings.Settings, str]],
    ):
        """Creates the components without starting them.

        Args:
            initial_settings: the settings to start with.
            store: client of the platform's store.
            decoder: decodes rows of the store.
            header_dialect: decodes and encodes HTTP headers.
            metrics_port: TCP port that serves the metrics.
            read_settings: reads the settings file again, or returns why it
                cannot be read.
        """
        self._settings = initial_settings
        self._settings_read = initial_settings
        self._read_settings = read_settings
        self._metrics_port = metrics_port
        randomness = random.Random(secrets.randbits(64))
        self._memory = memory_budget.MemoryBudget(
            round(
                initial_settings.options.memory.budget_share
                * initial_settings.memory_bytes
            )
        )
        self._state = state.InstanceState(
            secrets.token_hex(INCARNATION_BYTES),
            configuration_age.ConfigurationAge(initial_settings.revoke_seconds),
            telemetry.Telemetry(),
        )
        self._state.contention = initial_settings.options.preemption
        self._versions = gate.ServiceVersions()
        self._service_hedges = service_hedges.ServiceHedges(
            initial_settings.options.hedging, randomness
        )
        self._slots = slots.SlotScheduler(
            self._state.quarantine,
            self._state.endpoint_limits,
            initial_settings.options.placement,
            initial_settings.options.preemption,
            self._versions,
            self._service_hedges,
        )
        self._quarantine_sync = quarantine_sync.QuarantineSync(
            store, self._state
        )
        self._store = store
        charging = charges.Charges(
            self._create_quotas(initial_settings),
            self._create_quotas(initial_settings),
        )
        self._allocator = allocation.SharedAllocator(
            initial_settings.instance, self._slots, charging
        )
        self._usage_sync = usage_sync.UsageSync(
            store, self._state, charging, self._allocator
        )
        self._registered = asyncio.Event()
        self._pauses = endpoint_pauses.EndpointPauses(randomness)
        versions = software_versions.SoftwareVersions()
        self._version_sync = version_sync.VersionSync(
            store, versions, self._allocator
        )
        self._origin_rows = origin_rows.OriginRows(
            store, lambda: self._allocator.is_allocating
        )
        self._processes = endpoint_processes.EndpointProcesses(
            self._state.confirmation_age
        )
        endpoints_read = shared_read.SharedRead(
            "endpoints", lambda: self._store_watcher.read_endpoints()
        )
        self._origins = origin_sharing.OriginSharing(
            initial_settings.instance,
            versions,
            self._version_sync.load,
            self._origin_rows,
            endpoints_read.get,
            shared_read.SharedRead("versions", self._version_sync.read).get,
            self._state.confirmation_age,
            self._processes,
        )
        self._sender = sending.Sender(
            header_dialect,
            self._endpoint_leaves,
            self._pauses,
            self._state.endpoint_limits,
            self._endpoint_limit_changed,
            self._processes,
            tunnels.TunnelClient(
                self._helpers, self._state.reachability, self._cut_off
            ),
            self._memory,
        )
        self._tunnel_server = tunnels.TunnelServer(self._state, self._memory)
        self._store_watcher = store_watch.StoreWatcher(
            store,
            decoder,
            self._state,
            randomness,
            self._configuration_changed,
            self._endpoints_changed,
        )
        self._rollouts = rollout_control.RolloutControl(
            store,
            decoder,
            self._versions,
            _exposure_limit(initial_settings),
            initial_settings.options.rollouts,
            lambda: self._allocator.is_allocating,
            self._hears_all,
            self._slots.requests_at,
            self._state.metrics.count_event,
            randomness,
        )
        self._store_watcher.on_orders = self._rollouts.observe_orders
        self._peer_sync = peer_sync.PeerSync(self._state, self._store_watcher)
        self._mesh = mesh.Mesh(
            initial_settings.instance,
            initial_settings.failure_domain,
            self._peer_address,
            self._state,
            self._receive_datagram,
            self._peer_sync.fetch_newer,
            self._allocator.report,
            self._capacity,
        )
        self._allocator.set_mesh(self._mesh)
        self._allocator.set_lookup(
            lookup.EndpointLookup(
                lambda id_: id_ in self._state.endpoints,
                self._fetch_endpoint,
                self._state.metrics.count_event,
            )
        )
        self._usage_handover = usage_handover.UsageHandover(
            initial_settings.instance, charging, self._allocator, self._mesh
        )
        self._state.process_pauses.set_on_resumed(self._ask_again)
        self._origins.set_mesh(self._mesh)
        self._consultation = consultation.Consultation(
            self._state, self._mesh, self._store_watcher, self._registered
        )
        self._budget = budgets.RetryBudget(
            initial_settings.retry_ratio,
            initial_settings.retry_slack,
            initial_settings.retry_window_seconds,
            asyncio.get_running_loop().time(),
        )
        self._hedges = hedge_control.HedgeControl(
            initial_settings.options.hedging, randomness
        )
        self._forwarder = forwarding.Forwarder(
            self._state,
            header_dialect,
            admission.Admission(
                self._state.configuration_age,
                self._state.process_pauses,
                randomness,
            ),
            self._allocator,
            self._budget,
            self._sender,
            self._origins,
            self._pauses,
            process_verification.ProcessVerifier(
                self._state, self._processes, endpoints_read.get
            ),
            self._hedges,
            waits.Warmup(
                asyncio.get_running_loop().time(),
                initial_settings.options.warmup.max_wait_ms / 1000,
            ),
        )
        self._allocator.set_yielder(self._forwarder.yield_slot)
        self._caller_listener = inbound.Listener(
            self._forwarder.handle,
            self._report_invalid_request,
            self._memory,
            connection_limit.callers_limit(initial_settings.max_descriptors),
        )
        self._status_listener = inbound.Listener(
            status.StatusPages(
                self._state,
                self._ready,
                explaining.Explainer(
                    initial_settings.instance,
                    self._state,
                    self._slots,
                    self._mesh,
                ),
            ).answer,
            self._report_invalid_request,
            self._memory,
        )
        self._peer_listener = inbound.Listener(
            self._handle_peer, self._report_invalid_request, self._memory
        )
        self._caller_acceptor: accepting.Acceptor | None = None
        self._acceptors: list[accepting.Acceptor] = []
        self._supervisor = supervision.Supervisor(
            lambda: self._state.metrics.count_event("task_failed")
        )
        self._stopping = asyncio.Event()
        self._logger = log.get_logger(__name__)
        gauges.register(
            initial_settings.instance,
            self._state,
            self._mesh,
            self._slots,
            self._origins,
            self._memory,
            self._caller_listener.open_limit,
            self._rollouts,
        )
        self._state.metrics.add_gauge(
            "hedged_share",
            "Hedges for each request of the last minute.",
            lambda: self._hedges.extra_share(asyncio.get_running_loop().time()),
        )
        self._state.metrics.add_gauge(
            "common_hedged_share",
            "Hedges granted for each slot request of the last minute; 0 "
            "if this instance does not allocate.",
            lambda: self._service_hedges.extra_share(
                asyncio.get_running_loop().time()
            ),
        )

    @property
    def _capacity(self) -> float:
        return capacity.of_machine(
            self._settings.processor_cores, self._settings.link_mbps
        )

    @property
    def _peer_address(self) -> str:
        return f"{self._settings.host}:{self._settings.peer_port}"

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then drains open requests."""
        self._handle_signals()
        await self.start()
        await self._stopping.wait()
        await self.drain()

    async def start(self) -> None:
        """Opens the listeners and starts the background tasks."""
        self._state.process_pauses.observe(asyncio.get_running_loop().time())
        system_memory.map_large_blocks()
        self._listen()
        await self._mesh.open()
        watch = self._store_watcher.watch
        for name, run in {
            "watch_configuration": lambda: watch(ports.Table.CONFIGURATION),
            "watch_endpoints": lambda: watch(ports.Table.ENDPOINTS),
            "probe": self._store_watcher.probe,
            "mesh": self._mesh.run,
            "register": self._register,
            "consultation": self._consultation.run,
            "quarantine": self._quarantine_sync.run,
            "usage": self._usage_sync.run,
            "versions": self._version_sync.run,
            "origins": self._origin_rows.run,
            "rollouts": self._rollouts.run,
            "rollout_statuses": self._rollouts.watch,
            "settle": self._settle,
            "tick": self._tick,
            "settings": self._reread_settings,
        }.items():
            self._supervisor.start(name, run)
        self._logger.info("started", incarnation=self._state.incarnation)

    def stop(self) -> None:
        """Starts the shutdown.

        The instance reports that it is not ready, asks callers to reconnect
        elsewhere, tells its peers that it is leaving, and lets `run` proceed.
        """
        if not self._stopping.is_set():
            self._logger.info("stopping", busy=self._caller_listener.busy)
        now = asyncio.get_running_loop().time()
        self._state.shutdown.begin(
            self._state.process_pauses.earliest_arrival(now),
            self._settings.grace_seconds,
        )
        self._caller_listener.stopping = True
        self._mesh.leave()
        self._stopping.set()

    async def drain(self) -> None:
        """Drains open requests until the grace period is nearly over.

        Requests that are still open then are answered that the instance stops,
        or cut off if their answer has begun.
        """
        now = asyncio.get_running_loop().time
        schedule = self._state.shutdown.begin(
            now(), self._settings.grace_seconds
        )
        try:
            while now() < schedule.balancer_until:
                self._drop_callers_that_left()
                await asyncio.sleep(TICK_SECONDS)
            self._caller_acceptor.close()
            await self._caller_acceptor.wait_opened()
            await self._wait_for_callers(schedule.ends_at)
            await self._wait_for_tunnels(schedule.ends_at)
            self._forwarder.end_all()
            await self._wait_for_callers(now() + schedule.flush_seconds)
            self._usage_handover.finish()
            self._logger.info(
                "stopped",
                busy=self._caller_listener.busy,
                untaken=self._caller_listener.untaken,
            )
        finally:
            self.close()

    async def _wait_for_callers(self, latest: float) -> None:
        """Closes idle connections until none is left, or up to a time."""
        connections = self._caller_listener.connections
        now = asyncio.get_running_loop().time
        while connections and now() < latest:
            self._drop_callers_that_left()
            for connection in list(connections):
                connection.close_if_idle()
            await asyncio.sleep(TICK_SECONDS)

    def _drop_callers_that_left(self) -> None:
        for connection in list(self._caller_listener.connections):
            connection.drop_if_left()

    async def _wait_for_tunnels(self, latest: float) -> None:
        """Waits for the tunnels of other instances to end, up to a time."""
        now = asyncio.get_running_loop().time
        while self._tunnel_server.open_transports and now() < latest:
            await asyncio.sleep(TICK_SECONDS)

    def close(self) -> None:
        """Cancels all tasks and drops all connections at once."""
        self._supervisor.cancel()
        for acceptor in self._acceptors:
            acceptor.close()
        for listener in (
            self._caller_listener,
            self._status_listener,
            self._peer_listener,
        ):
            for connection in list(listener.connections):
                connection.abort()
        self._tunnel_server.close()
        self._mesh.close()

    def is_ready(self, endpoints: int, peers: int) -> bool:
        """Returns whether the instance is ready to serve.

        Args:
            endpoints: least number of endpoints in use.
            peers: least number of reachable peers.
        """
        now = asyncio.get_running_loop().time()
        return (
            self._ready()
            and len(self._state.endpoints) >= endpoints
            and self._mesh.members.reachable_count(now) > peers
        )

    def _listen(self) -> None:
        for listener, address in (
            (self._status_listener, self._settings.ready_address),
            (
                self._status_listener,
                f"{self._settings.host}:{self._metrics_port}",
            ),
            (self._peer_listener, self._peer_address),
            (self._caller_listener, self._settings.front_address),
        ):
            # After the loop, this is the one for callers, which is last.
            self._caller_acceptor = listener.serve(
                *sockets.split_address(address)
            )
            self._acceptors.append(self._caller_acceptor)

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        match self._read_settings():
            case Failure(problem):
                self._logger.error("reload.unreadable", problem=problem)
            case Success(new_settings) if new_settings != self._settings_read:
                self._logger.info(
                    "reload",
                    changed=_changed_fields(self._settings_read, new_settings),
                )
                self._settings_read = new_settings
                self._apply(new_settings)

    def _apply(self, new_settings: settings.Settings) -> None:
        # Changes to names and addresses take effect at the next start: peers
        # know this incarnation by them.
        kept = {name: getattr(self._settings, name) for name in settings.FIXED}
        self._settings = dataclasses.replace(new_settings, **kept)
        self._state.configuration_age.set_revoke_seconds(
            new_settings.revoke_seconds
        )
        self._budget.set_limits(
            new_settings.retry_ratio,
            new_settings.retry_slack,
            new_settings.retry_window_seconds,
        )
        self._allocator.set_tolerance(self._quota_tolerance(new_settings))
        self._hedges.set_options(new_settings.options.hedging)
        self._service_hedges.set_options(new_settings.options.hedging)
        self._rollouts.limit = _exposure_limit(new_settings)
        self._rollouts.schedule = new_settings.options.rollouts

    def _receive_datagram(
        self, sender: str, message: datagrams.Datagram
    ) -> None:
        if isinstance(message, datagrams.Ping):
            for leaving in message.leaving:
                self._announce_leaving(
                    leaving.id, leaving.started_ms, message.name
                )
            self._usage_handover.hear(message)
        if isinstance(message, datagrams.OriginMessage):
            self._origins.receive(sender, message)
        elif isinstance(message, datagrams.FinalUsage):
            self._usage_handover.receive(message)
        else:
            self._allocator.receive(sender, message)

    def _endpoint_leaves(self, endpoint: messages.Endpoint) -> None:
        self._announce_leaving(
            endpoint.id, endpoint.started_ms, self._settings.instance
        )

    def _endpoint_limit_changed(
        self, limit: endpoint_limits.EndpointLimit
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._mesh.send_to(
            self._mesh.allocator, conversions.encode_limit(limit, now)
        )

    async def _handle_peer(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        if request.target.startswith(tunnels.PATH):
            await self._tunnel_server.handle(request, responder)
        else:
            await self._peer_sync.handle(request, responder)

    def _helpers(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        return [each.address for each in self._mesh.members.helpers(now)]

    def _cut_off(self) -> None:
        self._state.metrics.count_event("cut_off")
        self._sender.pools.close_direct()

    def _announce_leaving(
        self, id_: str, started_ms: int, reported_by: str
    ) -> None:
        if not self._state.directory.announce_leaving(id_, started_ms):
            return
        self._logger.info(
            "endpoint.leaving", endpoint=id_, reported_by=reported_by
        )
        self._state.metrics.count_event("endpoint_leaving")
        self._endpoints_changed()

    async def _reread_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_REREAD_SECONDS)
            self._reload()

    async def _fetch_endpoint(self, id_: str, peer: str) -> bool:
        member = self._mesh.members.get(peer)
        if member is None:
            return False
        return await self._peer_sync.fetch_endpoint(id_, member)

    def _ready(self) -> bool:
        configured = self._state.configuration is not None
        if not configured or self._stopping.is_set():
            return False
        return self._state.configuration_age.admits_keys(
            asyncio.get_running_loop().time()
        )

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = loop.time()
            self._state.process_pauses.observe(now)
            if self._state.directory.expire(now):
                self._endpoints_changed()
            self._memory.tick(now)
            self._allocator.tick(now)
            self._processes.tick(now)
            self._origins.tick()
            self._state.quarantine.expire(now, self._allocator.is_allocating)
            self._state.endpoint_limits.expire(self._state.endpoints, now)
            self._state.limit_share = 1 / self._mesh.members.instance_count(now)
            rank = self._mesh.members.rank(now)
            self._store_watcher.probe_delay_seconds = rank * PROBE_STEP_SECONDS
            self._store_watcher.relies_on_peers = (
                self._mesh.members.contacts_suffice(now)
            )

    def _ask_again(self) -> None:
        """Asks for what may have changed while this process stood still."""
        self._state.metrics.count_event("process_paused")
        self._store_watcher.ask_again()
        self._mesh.ask_again()

    async def _register(self) -> None:
        entry = registration.MemberRow(
            self._peer_address, self._settings.failure_domain, self._capacity
        )
        await registration.keep_registered(
            self._store,
            self._settings.instance,
            entry,
            self._mesh.members,
            self._registered,
            self._state.store_restored,
        )

    async def _settle(self) -> None:
        try:
            async with asyncio.timeout(SETTLE_SECONDS):
                await self._registered.wait()
                await self._usage_sync.read.wait()
                await self._consultation.asked.wait()
        except TimeoutError:
            self._logger.warning("settled.unread")
        self._allocator.settle()

    def _quota_tolerance(
        self, configured: settings.Settings
    ) -> quotas.OverrunTolerance:
        return quotas.OverrunTolerance(
            configured.quota_window_seconds,
            configured.quota_ratio,
            configured.quota_slack,
        )

    def _hears_all(self) -> bool:
        now = asyncio.get_running_loop().time()
        members = self._mesh.members
        return members.reachable_count(now) >= members.instance_count(now)

    def _create_quotas(self, configured: settings.Settings) -> quotas.Quotas:
        return quotas.Quotas(
            self._find_organisation, self._quota_tolerance(configured)
        )

    def _find_organisation(
        self, name: str
    ) -> configuration.Organisation | None:
        current = self._state.configuration
        return current.organisations.get(name) if current else None

    def _configuration_changed(self) -> None:
        self._caller_listener.limits = self._state.configuration.limits
        self._mesh.confirm_fetched()

    def _endpoints_changed(self) -> None:
        listed = self._state.directory.endpoints
        self._state.endpoints = listed
        self._processes.keep_only(listed)
        self._origins.observe_endpoints(listed)
        self._sender.pools.close_others({e.address for e in listed.values()})
        self._versions.observe_endpoints(listed)
        now = asyncio.get_running_loop().time()
        self._allocator.deliver_decisions(
            self._slots.update_endpoints(listed, now)
        )

    def _report_invalid_request(self, failure: inbound.ReadFailure) -> None:
        self._state.metrics.count_event("flawed_request")
        self._logger.info(
            "request.flawed", status=failure.status, reason=failure.reason
        )


def _changed_fields(
    before: settings.Settings, after: settings.Settings
) -> list[str]:
    return [
        field.name
        for field in dataclasses.fields(after)
        if getattr(before, field.name) != getattr(after, field.name)
    ]


def _exposure_limit(configured: settings.Settings) -> exposure.Limit:
    return exposure.Limit(configured.exposure_share, configured.exposure_slack)
