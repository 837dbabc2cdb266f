"""The gateway processes, links and stand-ins of a soak."""

import asyncio
import itertools
import pathlib
import random

from cranberryglade.gateway import dialect
from cranberryglade.soak import crowds
from cranberryglade.soak import links
from cranberryglade.soak import observations
from cranberryglade.standins import endpoint_standin
from cranberryglade.standins import machine
from cranberryglade.standins import operator_configuration
from cranberryglade.standins import store

EVENTS_PER_STREAM = 4
EVENT_GAP_SECONDS = 0.03
RESTART_SECONDS = (0.3, 1.0)
"""Time until an endpoint that crashed is back."""

WORK_SECONDS = (0.002, 0.04)
SLOW_SECONDS = (0.2, 0.4)
"""Delay of an answer of a slow software version: over five times the work."""

SILENCE_SECONDS = (0.6, 1.9)
SOUND_SILENCE_SECONDS = (1.0, 1.9)
"""Silences of sound endpoints beside planned work."""

SOUND_SILENCE_SHARE = 0.3
"""Share of requests in which a sound endpoint falls silent, while it does."""

READY_TIMEOUT_SECONDS = 10.0
PAUSE = "0.3"
"""Value of the Retry-After header of endpoints that ask for a pause."""

SOFTWARE_VERSIONS = ("v1", "v2")

BREAKABLE_FRAMINGS = (
    dialect.Framing.CHUNKED,
    dialect.Framing.CONNECTION_CLOSE,
)

QUOTA_RATE = 30.0
QUOTA_BURST = 10.0
QUOTA_RATIO = 0.1
QUOTA_SLACK = 30.0
QUOTA_WINDOW_SECONDS = 2.0

LARGE_ANSWER_BYTES = 2_000_000
"""Answers of this size, left unread, once made gateways fail later ones."""

ORDER_KEY = f"rollout/{operator_configuration.SERVICE}"

OPTIONS = (
    "[hedging]\nrequest_share = 0.1\nquantile = 0.8\n",
    "[preemption]\nenabled = yes\nschedule_returns = yes\n",
)
"""Sections of the operators' settings file that a run may have. Hedges are more
frequent than operators want them, so that a short run has some."""

OPTION_SHARE = 0.5
"""Share of the runs that have a section."""

BOUNDS = observations.Bounds(
    timeout_seconds=2.0,
    revoke_seconds=2.0,
    grace_seconds=6.0,
    apply_seconds=2.0,
    answer_seconds=0.2,
    quota=(QUOTA_RATE * QUOTA_WINDOW_SECONDS + QUOTA_BURST) * (1 + QUOTA_RATIO)
    + QUOTA_SLACK,
    quota_window_seconds=QUOTA_WINDOW_SECONDS,
    retry_ratio=0.2,
    retry_slack=30.0,
    retry_window_seconds=5.0,
    events=EVENTS_PER_STREAM,
    exposure_share=0.1,
    exposure_slack=50.0,
    rollback_seconds=5.0,
)
CHANGE_SECONDS = BOUNDS.apply_seconds + 1.0
"""Time after its writing for which a configuration counts as planned work."""


def draw_options(seed: int) -> str:
    """Returns the operators' settings file of a run; "" in a part of the runs.

    >>> draw_options(7) == draw_options(7)
    True
    """
    # Random numbers of their own, so that a seed keeps its faults.
    rng = random.Random(f"options {seed}")
    return "".join(
        section for section in OPTIONS if rng.random() < OPTION_SHARE
    )


def configuration(version: int, second_key: bool) -> dict:
    """Returns a version of the configuration of a soak.

    Args:
        version: its number.
        second_key: whether the second organisation has its key.
    """
    config = operator_configuration.a_config(version)
    shop = operator_configuration.second_organisation(
        second_key, QUOTA_RATE, QUOTA_BURST
    )
    config["tenants"].append(shop)
    config["limits"]["max_body_bytes"] = crowds.MAX_BODY_BYTES
    return config


class Deployment:
    """Gateway processes, with a store and endpoints in this process.

    Each gateway reaches the store through a link of its own; all of them
    reach an endpoint through the same link.

    Attributes:
        history: what was observed.
        store: the store stand-in.
        endpoints: the endpoint stand-ins.
        machines: the gateway processes.
        store_links: link to the store of each gateway.
        endpoint_links: link to each endpoint.
        version: number of the newest configuration.
        crashing_parts: prompt parts on which endpoints crash at present.
        silences: how many faults.Silence each endpoint has at present.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        gateways: int,
        endpoints: int,
        seed: int,
    ):
        self.history = observations.History()
        self.store = store.StoreStandin()
        self.endpoints = [
            endpoint_standin.EndpointStandin(f"i-{number}")
            for number in range(endpoints)
        ]
        self.machines: list[machine.Machine] = []
        self.store_links: list[links.Link] = []
        self.endpoint_links: list[links.Link] = []
        self.version = 0
        self.crashing_parts: set[str] = set()
        self.silences = [0] * endpoints
        self._silence_random = random.Random(f"silences {seed}")
        self._in_progress: dict[str, list[observations.Arrival]] = {
            each.id: [] for each in self.endpoints
        }
        self._restarts: set[asyncio.Task] = set()
        self._second_key = True
        self._listed_states: dict[int, str] = {}
        self._ended: set[int] = set()
        self._order = b""
        self._reports = itertools.count(1)
        self._folder = folder
        self._gateways = gateways
        self._options = draw_options(seed)
        self._random = random.Random(seed)
        self._network = machine.Network()

    async def start(self) -> None:
        """Starts everything and waits until all gateways are ready."""
        target = await self.store.serve()
        versions = itertools.cycle(SOFTWARE_VERSIONS)
        for each in self.endpoints:
            await self._start_endpoint(each, next(versions))
        self.configure(second_key=True)
        bounds = machine.Bounds(
            revoke_ms=int(BOUNDS.revoke_seconds * 1000),
            grace_seconds=int(BOUNDS.grace_seconds),
            retry_ratio=BOUNDS.retry_ratio,
            retry_slack=BOUNDS.retry_slack,
            retry_window_seconds=BOUNDS.retry_window_seconds,
            quota_window_seconds=BOUNDS.quota_window_seconds,
            quota_ratio=QUOTA_RATIO,
            quota_slack=QUOTA_SLACK,
            exposure_share=BOUNDS.exposure_share,
            exposure_slack=BOUNDS.exposure_slack,
            rollback_ms=int(BOUNDS.rollback_seconds * 1000),
        )
        for number in range(self._gateways):
            link = links.Link(target)
            await link.start()
            self.store_links.append(link)
            gateway = machine.Machine(
                number,
                self._folder,
                link.address,
                bounds,
                self._network,
                self._options,
            )
            self.machines.append(gateway)
            await gateway.start()
        for each in self.machines:
            await self.wait_ready(each)

    async def stop(self) -> None:
        """Kills the gateways, and stops the links and stand-ins."""
        for task in self._restarts:
            task.cancel()
        for each in self.machines:
            await each.kill()
        for link in self.store_links + self.endpoint_links:
            await link.stop()
        for each in self.endpoints:
            await each.stop()
        await self.store.close()
        self._network.close()

    async def add_endpoint(
        self, endpoint: endpoint_standin.EndpointStandin, version: str
    ) -> None:
        """Starts one more endpoint, of a software version, and lists it."""
        self.endpoints.append(endpoint)
        self.silences.append(0)
        self._in_progress[endpoint.id] = []
        await self._start_endpoint(endpoint, version)

    async def _start_endpoint(
        self, endpoint: endpoint_standin.EndpointStandin, version: str
    ) -> None:
        endpoint.software_version = version
        endpoint.event_text = f"piece of {version}"
        endpoint.event_gap_seconds = EVENT_GAP_SECONDS
        endpoint.default_behaviour = self.behaviour(endpoint)
        await endpoint.start()
        link = links.Link(endpoint.address)
        await link.start()
        self.endpoint_links.append(link)
        self.list_endpoint(len(self.endpoint_links) - 1)

    def end_endpoint(self, number: int) -> None:
        """Ends an endpoint at once and for good, and removes its row."""
        endpoint = self.endpoints[number]
        self._ended.add(number)
        self._listed_states.pop(number, None)
        endpoint.crash()
        self.endpoint_links[number].close()
        self.store.remove("servers", endpoint.id)

    def order_rollout(self, order: bytes) -> None:
        """Writes the order of a rollout."""
        self._order = order
        self.store.put("op", ORDER_KEY, order)

    def configure(self, second_key: bool) -> None:
        """Writes a new version of the configuration."""
        self.version += 1
        self._second_key = second_key
        self._write_configuration()

    def write_again(self) -> None:
        """Writes what the operator and the endpoints wrote last once more."""
        self._write_configuration()
        for number, state in self._listed_states.items():
            self.list_endpoint(number, state)
        for number in self._ended:
            self.store.remove("servers", self.endpoints[number].id)
        if self._order and self.store.row("op", ORDER_KEY) is None:
            self.store.put("op", ORDER_KEY, self._order)

    def _write_configuration(self) -> None:
        now = asyncio.get_running_loop().time()
        self.store.configure(configuration(self.version, self._second_key))
        self.history.changes.append(
            observations.Period(now, now + CHANGE_SECONDS)
        )

    def list_endpoint(self, number: int, state: str = "ready") -> None:
        """Writes a running endpoint's row, with the address of its link."""
        if number in self._ended:
            return
        each = self.endpoints[number]
        self._listed_states[number] = state
        entry = each.entry(
            operator_configuration.SERVICE,
            address=self.endpoint_links[number].address,
            state=state,
            sequence=next(self._reports),
        )
        self.store.list_endpoint(each.id, entry)

    async def wait_ready(self, gateway: machine.Machine) -> bool:
        """Waits until a gateway reports that it is ready.

        Returns:
            Whether it did so within READY_TIMEOUT_SECONDS.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_TIMEOUT_SECONDS
        while loop.time() < deadline:
            if await _is_ready(gateway):
                return True
            await asyncio.sleep(0.05)
        return False

    def behaviour(
        self, endpoint: endpoint_standin.EndpointStandin, mode: str = ""
    ) -> endpoint_standin.Behaviour:
        """Returns how an endpoint answers requests, and records their runs.

        Args:
            endpoint: the endpoint.
            mode: fault of half of the requests, drawn at random, as in
                faults.Endpoint; "" for none.
        """

        async def behave(received, reader, writer):
            loop = asyncio.get_running_loop()
            is_faulty = mode and self._random.random() < 0.5
            arrival = observations.Arrival(
                endpoint.id,
                loop.time(),
                received.request_id,
                _fault(received, mode) if is_faulty else "",
            )
            self.history.arrivals.append(arrival)
            self._in_progress[endpoint.id].append(arrival)
            try:
                await answer(received, reader, writer, is_faulty)
            finally:
                self._in_progress[endpoint.id].remove(arrival)
                arrival.ended = min(arrival.ended, loop.time())

        async def answer(received, reader, writer, is_faulty):
            if not is_faulty or mode not in observations.NOT_RUN_FAULTS:
                now = asyncio.get_running_loop().time()
                self.history.runs.append(
                    observations.Run(received.request_id, now)
                )
            process = endpoint.started_ms
            await asyncio.sleep(self._random.uniform(*WORK_SECONDS))
            if endpoint.crashed or endpoint.started_ms != process:
                return
            if self._crashes(received):
                self._crash(endpoint)
                return
            normal = self._normal(endpoint, received)
            if not is_faulty and self._falls_silent(endpoint, received):
                normal = self._falling_silent(
                    endpoint, received, SOUND_SILENCE_SECONDS
                )
            if is_faulty and mode == "duplicate":
                await normal(received, reader, writer)
            respond = normal
            if is_faulty and mode != "duplicate":
                respond = self._faulty(endpoint, received, mode)
            await respond(received, reader, writer)

        return behave

    def _falls_silent(
        self, endpoint: endpoint_standin.EndpointStandin, received
    ) -> bool:
        """Returns whether a sound endpoint falls silent in a request."""
        is_due = self.silences[self.endpoints.index(endpoint)] > 0
        return is_due and self._silence_random.random() < SOUND_SILENCE_SHARE

    def _crashes(self, received: endpoint_standin.Received) -> bool:
        return any(
            part in self.crashing_parts for part in received.prompt_parts
        )

    def _crash(self, endpoint: endpoint_standin.EndpointStandin) -> None:
        endpoint.crash()
        for arrival in self._in_progress[endpoint.id]:
            arrival.fault = observations.CRASH
        self.endpoint_links[self.endpoints.index(endpoint)].close()
        task = asyncio.create_task(self._restart_endpoint(endpoint))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_endpoint(
        self, endpoint: endpoint_standin.EndpointStandin
    ) -> None:
        await asyncio.sleep(self._random.uniform(*RESTART_SECONDS))
        number = self.endpoints.index(endpoint)
        if number in self._ended:
            return
        await endpoint.start()
        await self.endpoint_links[number].open_to(endpoint.address)
        self.list_endpoint(number, self._listed_states[number])

    def _faulty(
        self, endpoint: endpoint_standin.EndpointStandin, received, mode: str
    ) -> endpoint_standin.Behaviour:
        seen = int(received.headers.get("last-event-id") or 0)
        match _fault(received, mode):
            case "break_off":
                last = self._random.randint(seen, EVENTS_PER_STREAM - 1)
                framing = self._random.choice(BREAKABLE_FRAMINGS)
                return endpoint.events(seen + 1, last, False, framing)
            case "fall_silent":
                return self._falling_silent(endpoint, received, SILENCE_SECONDS)
            case "lose_end":
                return endpoint.without_end(EVENTS_PER_STREAM, first=seen + 1)
            case "reset_unframed":
                return endpoint.reset_unframed(EVENTS_PER_STREAM - 1, seen + 1)
            case "slow":
                seconds = self._random.uniform(*SLOW_SECONDS)
                normal = self._normal(endpoint, received)
                return endpoint.silent_first(seconds, normal)
            case "pause":
                return endpoint.ask_for_pause(PAUSE)
            case fault:
                return getattr(endpoint, fault)

    def _falling_silent(
        self,
        endpoint: endpoint_standin.EndpointStandin,
        received,
        shortest_and_longest: tuple[float, float],
    ) -> endpoint_standin.Behaviour:
        """Returns an answer with a silence before it or after any event.

        Args:
            endpoint: the endpoint.
            received: the request.
            shortest_and_longest: bounds of the silence, in seconds.
        """
        seconds = self._random.uniform(*shortest_and_longest)
        if not _is_stream(received):
            normal = self._normal(endpoint, received)
            return endpoint.silent_first(seconds, normal)
        seen = int(received.headers.get("last-event-id") or 0)
        last = EVENTS_PER_STREAM
        silent_after = self._random.randint(seen - 1, last)
        if silent_after < seen:
            return endpoint.silent_first(
                seconds, endpoint.events(seen + 1, last)
            )
        within_event = silent_after < last and self._random.random() < 0.5
        return endpoint.silent_within(
            silent_after,
            last,
            seconds,
            first=seen + 1,
            within_event=within_event,
        )

    def _normal(
        self, endpoint: endpoint_standin.EndpointStandin, received
    ) -> endpoint_standin.Behaviour:
        if _is_stream(received):
            seen = int(received.headers.get("last-event-id") or 0)
            return endpoint.events(seen + 1, EVENTS_PER_STREAM)

        async def answer(received, reader, writer):
            body = received.request_id.encode()
            if received.request_id.startswith(crowds.LARGE_PREFIX):
                body += bytes(LARGE_ANSWER_BYTES)
            writer.write(endpoint.answer(received, body))
            await writer.drain()

        return answer


def _is_stream(received: endpoint_standin.Received) -> bool:
    return received.target.startswith(("/write/", "/note/"))


def _fault(received: endpoint_standin.Received, mode: str) -> str:
    """Returns how a request fails at an endpoint with a fault."""
    seen = int(received.headers.get("last-event-id") or 0)
    match mode:
        case "break_off" | "lose_end" if not _is_stream(received):
            # Without framing nobody could tell that it is incomplete.
            return "truncate"
        case "break_off" if seen >= EVENTS_PER_STREAM:
            return "truncate"
    return mode


async def _is_ready(gateway: machine.Machine) -> bool:
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                gateway.host, machine.Machine.READY_PORT
            )
            try:
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False
    return line.startswith(b"HTTP/1.1 200 ")
