"""Assembles the components of one instance of the scheduler."""

import asyncio
import random
import secrets
import signal

from aiohttp import web

from cranberryglade import callers
from cranberryglade import claimants
from cranberryglade import editing
from cranberryglade import endpoints
from cranberryglade import executors
from cranberryglade import explanations
from cranberryglade import facts
from cranberryglade import forwarding
from cranberryglade import gauges
from cranberryglade import http_errors
from cranberryglade import lifecycle
from cranberryglade import listeners
from cranberryglade import log
from cranberryglade import membership
from cranberryglade import metrics
from cranberryglade import operators
from cranberryglade import orders
from cranberryglade import peer_interface
from cranberryglade import peers
from cranberryglade import proposals
from cranberryglade import reports
from cranberryglade import settings
from cranberryglade import snapshots
from cranberryglade import subscriptions
from cranberryglade import supervision
from cranberryglade import tables
from cranberryglade import tickets
from cranberryglade import tracing
from cranberryglade import verdict_counts
from cranberryglade import watching
from cranberryglade.platform import store
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler

INCARNATION_BYTES = 6
CUT_TIMEOUT_SECONDS = 2.0
NOTICE_DELAY_SECONDS = 0.05
"""Time in which news for peers is collected, to be sent at once."""

logger = log.get_logger(__name__)


class Instance:
    """One instance of the system: builds its components and runs them."""

    def __init__(self, configured: settings.Settings):
        self._settings = configured
        self._lifecycle = lifecycle.Lifecycle()
        self._tracing = tracing.Tracing(
            configured.instance, configured.spans_file
        )
        self._metrics = metrics.Metrics(configured.statsd_address)
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._runners: list[web.AppRunner] = []
        self._supervisor = supervision.Supervisor()

    async def run(self) -> None:
        """Serves requests until a graceful stop is complete.

        Raises:
            OSError: one of the addresses cannot be bound.
        """
        self._install_signal_handlers()
        caller_app = web.Application(
            client_max_size=self._settings.request_bytes,
            middlewares=[
                self._lifecycle.count_in_flight,
                http_errors.verdict_middleware,
            ],
        )
        peer_app = web.Application(
            client_max_size=2 * self._settings.request_bytes,
            middlewares=[
                self._lifecycle.count_in_flight,
                http_errors.verdict_middleware,
            ],
        )
        peer_listener = listeners.Listener.open(self._settings.peer_address)
        own = messages.Peer(
            self._settings.instance,
            self._incarnation,
            peer_listener.address,
            self._settings.failure_domain,
        )
        self._build_components(own, caller_app, peer_app)
        self._runners.append(await peer_listener.serve(peer_app))
        caller_listener = listeners.Listener.open(self._settings.caller_address)
        self._runners.append(await caller_listener.serve(caller_app))
        self._lifecycle.transition("started")
        logger.info(
            "listening",
            caller_address=caller_listener.address,
            peer_address=peer_listener.address,
            incarnation=self._incarnation,
        )
        await self._lifecycle.wait_for_stop_request()
        await self._stop()

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._lifecycle.request_stop)

    def _build_components(self, own, caller_app, peer_app) -> None:
        peer_key = peers.PeerKey(self._settings.peer_key)
        ticket_issuer = tickets.TicketIssuer(
            own.failure_domain,
            own.name,
            own.incarnation,
            self._settings.ticket_key,
        )
        core = scheduler.Scheduler(own)
        fact_log = facts.FactLog(self._metrics)
        self._endpoint_client = endpoints.EndpointClient()
        self._peer_client = peers.PeerClient(
            peer_key, self._settings.probe_timeout_seconds
        )
        timeout = self._settings.platform_timeout_seconds
        self._store = store.StoreClient(
            self._settings.platform_address, timeout, timeout
        )
        self._platform = tables.Tables(self._store)
        generator = random.Random(own.incarnation)
        subscription = subscriptions.Subscription(self._platform, generator)
        members = membership.Membership(
            own,
            self._settings,
            self._peer_client,
            self._platform,
            subscription,
            core,
            generator,
        )
        self._home = own.home
        self._snapshot_store = snapshots.SnapshotStore(self._platform)
        verdict_counter = verdict_counts.VerdictCounter(self._metrics)
        forwarder = forwarding.Forwarder(
            self._peer_client,
            members,
            ticket_issuer,
            self._snapshot_store,
            verdict_counter,
            self._tracing,
        )
        self._executor = executors.Executor(
            core,
            self._endpoint_client,
            self._peer_client,
            claimants.Claimant(self._platform),
            forwarder,
            fact_log,
            verdict_counter,
            self._tracing,
        )
        self._members = members
        members.events.subscribe(self._executor.post)
        self._executor.news.subscribe(
            lambda _: members.notify_peers(NOTICE_DELAY_SECONDS)
        )
        self._reports = reports.ReportReader(core, members)
        self._reports.events.subscribe(self._executor.post)
        self._orders = orders.OrderSender(
            orders.LeaseManager(self._platform, own.incarnation)
        )
        callers.CallerInterface(
            self._executor,
            forwarder,
            subscription,
            ticket_issuer,
            fact_log,
            self._tracing,
        ).register(caller_app)
        operators.OperatorInterface(
            own.name,
            self._executor,
            members,
            subscription,
            self._orders,
            self._lifecycle,
            verdict_counter,
        ).register(caller_app)
        editing.ConfigurationInterface(
            subscription, proposals.RevisionStore(self._platform)
        ).register(caller_app)
        watching.WatchInterface(
            self._executor, subscription, fact_log
        ).register(caller_app)
        explanations.Explainer(
            own,
            self._executor,
            members,
            subscription,
            ticket_issuer,
            fact_log,
            peer_key,
            self._peer_client,
        ).register(caller_app, peer_app)
        peer_interface.PeerInterface(
            self._executor,
            forwarder,
            members,
            subscription,
            ticket_issuer,
            peer_key,
            own.incarnation,
            self._tracing,
        ).register(peer_app)
        measured = gauges.Gauges(
            self._metrics, self._executor, subscription, fact_log
        )
        poll_seconds = self._settings.poll_seconds
        probe_seconds = self._settings.probe_seconds
        for name, run in {
            "gauges": measured.run,
            "configuration": lambda: subscription.run(poll_seconds),
            "list": lambda: members.poll_list(poll_seconds),
            "reports": self._reports.run,
            "probes": lambda: members.run_probes(probe_seconds),
        }.items():
            self._supervisor.start(name, run)

    async def _stop(self) -> None:
        self._members.stop()
        self._executor.post(messages.StopRequested())
        draining = asyncio.create_task(self._drain())
        cutting = asyncio.create_task(self._lifecycle.wait_for_cut_request())
        await asyncio.wait(
            {draining, cutting}, return_when=asyncio.FIRST_COMPLETED
        )
        if not draining.done():
            self._executor.post(messages.CutRequested())
            await asyncio.wait({draining}, timeout=CUT_TIMEOUT_SECONDS)
        cutting.cancel()
        draining.cancel()
        await self._snapshot_store.store(
            snapshots.create(
                self._executor.scheduler, self._home, self._executor.exchanges
            )
        )
        await self._close()
        self._lifecycle.transition("drained")

    async def _drain(self) -> None:
        await self._executor.wait_until_drained()
        await self._lifecycle.wait_until_idle()

    async def _close(self) -> None:
        self._supervisor.cancel()
        await self._supervisor.wait_until_ended()
        for runner in self._runners:
            await runner.cleanup()
        self._members.close()
        await self._reports.close()
        await self._orders.close()
        await self._endpoint_client.close()
        await self._peer_client.close()
        self._store.close()
        self._tracing.close()
