"""Load for tests of planned work: what each request came to, and why."""

import asyncio
import collections
from collections.abc import Callable
import copy
import dataclasses
import socket

from cranberryglade.gateway import messages
from cranberryglade.gateway import sockets
from cranberryglade.standins import callers
from cranberryglade.standins import endpoint_standin
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_cluster

TARGETS = ("/look/1", "/pay/1", "/write/1", "/note/1")

EVENTS = 3
EVENT_GAP_SECONDS = 0.03
WORK_SECONDS = 0.05

ANSWER_TIMEOUT_SECONDS = 6.0
"""Longer than any timeout of the requests."""


@dataclasses.dataclass(slots=True, frozen=True)
class Sent:
    """A request that was sent, and its answer.

    Attributes:
        id: its request id.
        answer: its answer; status 0 if there was none.
        behind_close: whether it was sent behind another whose answer says that
            the connection closes.
    """

    id: str
    answer: callers.Answer
    behind_close: bool = False


@dataclasses.dataclass(slots=True)
class Load:
    """Callers that send back to back on kept connections.

    Attributes:
        sent: what was sent, with its answer.
        is_over: whether the callers send no more.
    """

    sent: list[Sent] = dataclasses.field(default_factory=list)
    is_over: bool = False

    async def send_on(self, cluster, name: str, target: str, gateway=0) -> None:
        """Sends request after request, until the load is over.

        Opens a new connection if the last one has ended, until none is to be
        had.

        Args:
            cluster: the gateways.
            name: prefix of the request ids.
            target: request target.
            gateway: index of the gateway.
        """
        number = 0
        while not self.is_over:
            try:
                caller = await cluster.connect(gateway)
            except OSError:
                return
            is_open = True
            while is_open and not self.is_over:
                number += 1
                one = await send_all(caller, [f"{name}-{number}"], target)
                self.sent += one
                is_open = not ends_connection(one[0].answer)

    @property
    def statuses(self) -> collections.Counter:
        """Number of answers of each status."""
        return collections.Counter(each.answer.status for each in self.sent)


def ends_connection(answer: callers.Answer) -> bool:
    """Returns whether no request on the same connection is answered."""
    return not answer.whole or answer.headers.get("connection") == "close"


async def send_all(caller, ids, target="/look/1", behind=None) -> list[Sent]:
    """Sends requests at once on one connection, and reads their answers.

    Args:
        caller: the connection.
        ids: the request ids.
        target: request target.
        behind: reading of the answer before these; None if there is none.
    """
    for id_ in ids:
        caller.request(target=target, X_Attempt_Id=id_)
    behind_close = behind is not None and ends_connection(await behind)
    sent = []
    for id_ in ids:
        answer = await asyncio.wait_for(caller.answer(), ANSWER_TIMEOUT_SECONDS)
        sent.append(Sent(id_, answer, behind_close))
        behind_close = behind_close or ends_connection(answer)
    return sent


def connect_at_once(cluster) -> socket.socket:
    """Connects to the first gateway and sends a request, in one turn."""
    address = sockets.split_address(cluster.settings[0].front_address)
    connection = socket.create_connection(address)
    connection.setblocking(False)
    lines = [
        "GET /look/1 HTTP/1.1",
        f"Host: {operator_configuration.HOST}",
        "X-Attempt-Id: r-1",
        "X-Deadline-Ms: 2000",
        f"Authorization: Bearer {operator_configuration.KEY}",
    ]
    connection.send(("\r\n".join(lines) + "\r\n\r\n").encode())
    return connection


async def read_some(connection: socket.socket) -> bytes | None:
    """Returns the first bytes of the answer; None if it was reset."""
    loop = asyncio.get_running_loop()
    with connection:
        try:
            return await loop.sock_recv(connection, 1000)
        except ConnectionResetError:
            return None


def record_read_requests(monkeypatch) -> set[str]:
    """Returns a set that gets the id of each request that is read whole."""
    read = set()
    make_request = messages.Request

    def record(**fields) -> messages.Request:
        request = make_request(**fields)
        for header in request.headers:
            if header.name.lower() == b"x-attempt-id":
                read.add(header.value.decode())
        return request

    monkeypatch.setattr(messages, "Request", record)
    return read


def received_ids(cluster) -> set[str]:
    """Returns the ids of the requests that reached an endpoint."""
    return {
        received.request_id
        for endpoint in cluster.runners
        for received in endpoint.received
    }


def crossed_close(each: Sent, cluster) -> bool:
    """Returns whether a request crossed the close and was not passed on."""
    nothing = each.answer.status == 0
    return nothing and each.id not in received_ids(cluster)


def find_lost(sent, cluster, *excuses: Callable) -> list[str]:
    """Returns the ids of requests without a whole answer and an excuse.

    Args:
        sent: the requests.
        cluster: the gateways and endpoints.
        *excuses: called with a request and the cluster; each returns whether
            it need not be answered.
    """
    return [
        each.id
        for each in sent
        if not each.answer.whole
        and not any(excuses_it(each, cluster) for excuses_it in excuses)
    ]


def work_for(endpoint, seconds: float = WORK_SECONDS) -> None:
    """Lets an endpoint take its time, with streams where they are asked for."""
    endpoint.event_gap_seconds = EVENT_GAP_SECONDS

    async def behave(received, reader, writer):
        if is_stream(received):
            await endpoint.events(1, EVENTS)(received, reader, writer)
            return
        await asyncio.sleep(seconds)
        await endpoint.succeed(received, reader, writer)

    endpoint.default_behaviour = behave


def pause_once_each(endpoint, seconds: float) -> None:
    """Lets an endpoint fall silent once in each request, and go on."""

    async def behave(received, reader, writer):
        if is_stream(received):
            pausing = endpoint.silent_within(2, EVENTS, seconds)
        else:
            pausing = endpoint.silent_first(seconds, endpoint.succeed)
        await pausing(received, reader, writer)

    endpoint.default_behaviour = behave


def is_stream(received: endpoint_standin.Received) -> bool:
    """Returns whether an endpoint is asked for a stream."""
    return received.target.startswith(("/write/", "/note/"))


def write_change(cluster, version: int, apply) -> None:
    """Writes a changed configuration without waiting for it.

    Args:
        cluster: the gateways.
        version: its version.
        apply: changes it in place.
    """
    config = copy.deepcopy(operator_configuration.a_config(version=version))
    apply(config)
    cluster.configure(config)


async def wait_for_version(cluster, version: int) -> None:
    """Waits until all gateways use a version of the configuration."""
    await gateway_cluster.wait_until(
        lambda: all(
            gateway._state.version == version for gateway in cluster.gateways
        )
    )
