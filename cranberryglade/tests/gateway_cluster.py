"""Runs gateways with stand-ins of the store and endpoints in one process."""

import asyncio

from returns.result import Success

from cranberryglade.gateway import process
from cranberryglade.gateway import settings
from cranberryglade.gateway import sockets
from cranberryglade.platform import documents
from cranberryglade.platform import headers
from cranberryglade.platform import store
from cranberryglade.standins import callers
from cranberryglade.standins import endpoint_standin
from cranberryglade.standins import free_ports
from cranberryglade.standins import operator_configuration
from cranberryglade.standins import store as store_standin
from cranberryglade.tests import gateway_builders

WAIT_TIMEOUT_SECONDS = 5.0
"""Default timeout of waits."""

free_port = free_ports.free_port


class Cluster:
    """A store, endpoints and gateways; use as an async context manager.

    Attributes:
        store: stand-in of the store.
        runners: stand-ins of the endpoints.
        gateways: the gateways in the order of their start.
        settings: settings of each gateway.
        reload_result: result of reading the settings again, for all gateways.
        errors: exceptions that were raised in callbacks; none are allowed.
    """

    def __init__(
        self, gateways=1, runners=1, config=None, versions=None, **changes
    ):
        self.store = store_standin.StoreStandin()
        self.runners = [
            endpoint_standin.EndpointStandin(f"i-{number}")
            for number in range(runners)
        ]
        for runner, version in zip(
            self.runners, versions or (), strict=versions is not None
        ):
            runner.software_version = version
        self.gateways: list[process.Gateway] = []
        self.settings: list[settings.Settings] = []
        self._gateway_count = gateways
        self._config = (
            operator_configuration.a_config() if config is None else config
        )
        self._changes = changes
        self._callers: list[callers.Caller] = []
        self.errors: list[dict] = []
        self.reload_result = None

    async def __aenter__(self):
        asyncio.get_running_loop().set_exception_handler(self._record_error)
        self.store_address = await self.store.serve(free_port())
        for each in self.runners:
            await each.start()
            self.register_runner(each)
        if self._config:
            self.configure(self._config)
        for number in range(self._gateway_count):
            await self.add_gateway(f"gate-{number}")
        if self._config:
            await self.wait_until_ready()
        return self

    async def __aexit__(self, *_):
        for caller in self._callers:
            caller.close()
        for gateway in self.gateways:
            gateway.close()
        for each in self.runners:
            await each.stop()
        await self.store.close()
        await asyncio.sleep(0)
        assert not self.errors

    def _record_error(self, loop, context) -> None:
        # Errors in callbacks, such as on a datagram, reach no test otherwise.
        if context.get("exception") is not None:
            self.errors.append(context)
        loop.default_exception_handler(context)

    async def add_gateway(self, name: str) -> process.Gateway:
        """Starts a gateway.

        Args:
            name: its instance name.
        """
        fields = {
            "instance": name,
            "front_address": f"127.0.0.1:{free_port()}",
            "ready_address": f"127.0.0.1:{free_port()}",
            "peer_port": free_port(),
            "store_address": self.store_address,
        }
        configured = gateway_builders.make_settings(**(fields | self._changes))
        gateway = process.Gateway(
            configured,
            store.StoreClient(self.store_address),
            documents.Decoder(),
            headers.HeaderDialect(),
            free_port(),
            lambda: self.reload_result,
        )
        self.reload_result = Success(configured)
        self.settings.append(configured)
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    def change_settings(self, **changes) -> None:
        """Changes the settings of the gateways that are added from now on."""
        self._changes |= changes

    def configure(self, config: dict) -> None:
        """Writes a configuration to the store, as the operator does."""
        self.store.configure(config)

    def register_runner(
        self, listed: endpoint_standin.EndpointStandin, **changes
    ) -> None:
        """Writes an endpoint's row to the store."""
        fields = {"service": operator_configuration.SERVICE} | changes
        entry = listed.entry(**fields)
        self.store.list_endpoint(listed.id, entry)

    async def add_runner(
        self, added: endpoint_standin.EndpointStandin, **changes
    ) -> None:
        """Starts an endpoint and writes its row to the store."""
        await added.start()
        self.runners.append(added)
        self.register_runner(added, **changes)

    async def wait_for_endpoints(self, check) -> None:
        """Waits until the endpoints of each gateway satisfy a check.

        Args:
            check: receives the endpoints in use by id.
        """
        await wait_until(
            lambda: all(
                check(gateway._state.endpoints) for gateway in self.gateways
            )
        )

    async def connect(self, gateway=0) -> callers.Caller:
        """Opens a connection to a gateway, by its index."""
        address = sockets.split_address(self.settings[gateway].front_address)
        opened = await asyncio.open_connection(*address)
        caller = callers.Caller(*opened)
        self._callers.append(caller)
        return caller

    async def send_request(self, gateway=0, **fields) -> callers.Answer:
        """Sends a request on a new connection and returns the answer."""
        caller = await self.connect(gateway)
        caller.request(**fields)
        return await asyncio.wait_for(caller.answer(), WAIT_TIMEOUT_SECONDS)

    async def ask_status(self, method: str, path: str) -> bytes:
        """Calls the status pages of the first gateway; returns the body."""
        address = sockets.split_address(self.settings[0].ready_address)
        caller = callers.Caller(*await asyncio.open_connection(*address))
        caller.request(target=path, method=method)
        answer = await caller.answer()
        caller.close()
        return answer.body

    async def wait_until_ready(self) -> None:
        """Waits until the gateways are ready and receive each other's state.

        Raises:
            AssertionError: if that takes longer than WAIT_TIMEOUT_SECONDS.
        """
        others = self._gateway_count - 1
        await wait_until(
            lambda: all(
                gateway.is_ready(len(self.runners), others)
                for gateway in self.gateways
            )
        )


def is_running(gateway) -> bool:
    """Returns whether no task of a gateway has failed so far."""
    return not gateway._supervisor.failures


async def wait_until(check, seconds: float = WAIT_TIMEOUT_SECONDS) -> None:
    """Waits until a check returns true.

    Args:
        check: called every 10 ms.
        seconds: timeout.

    Raises:
        AssertionError: if the check has not returned true in time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while not check():
        assert loop.time() < deadline, "condition not met in time"
        await asyncio.sleep(0.01)
