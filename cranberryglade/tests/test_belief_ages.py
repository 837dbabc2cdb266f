"""An answer proves what was in force when it was made, not when it is read."""

import dataclasses
import json
import math
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
from returns.result import Success

from cranberryglade.gateway import configuration_age
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import mesh
from cranberryglade.gateway import ports
from cranberryglade.gateway import state
from cranberryglade.gateway import store_clock
from cranberryglade.gateway import store_watch
from cranberryglade.gateway import telemetry
from cranberryglade.platform import documents
from cranberryglade.platform import store
from cranberryglade.standins import operator_configuration
from cranberryglade.standins import store as store_standin
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import stepped_clock

STORE_AHEAD_SECONDS = 5000.0
REVOKE_SECONDS = 5.0
HEARTBEAT_STEP_SECONDS = 0.3509
"""Nearly a whole number of milliseconds, so that rounding down shows."""

FIRST = ports.Version(0, 1)


def make_rows(version: int, made_at: float | None) -> ports.Rows:
    """Returns an answer that holds one version of the configuration."""
    config = operator_configuration.a_config(version)
    number = ports.Version(0, version)
    row = ports.Row("config", number, json.dumps(config).encode())
    return ports.Rows(number, [row], made_at)


class SlowlyReadStore:
    """Makes its answers after a time; each is read after a further time."""

    def __init__(self, stepped: stepped_clock.SteppedClock, tells_time: bool):
        self._clock = stepped
        self._tells_time = tells_time
        self.waits_seconds = 0.0
        self.unread_seconds = 0.0

    def _make(self, version):
        self._clock.step(self.waits_seconds)
        made_at = self._clock.time() + STORE_AHEAD_SECONDS
        self._clock.step(self.unread_seconds)
        return make_rows(version, made_at if self._tells_time else None)

    async def read_table(self, table):
        del table
        return Success(self._make(1))

    async def changes(self, table, after, wait_seconds):
        del table, after, wait_seconds
        return Success(self._make(2))


async def watch_a_change(store):
    """Reads the configuration, then a change; returns the state."""
    shared = state.InstanceState(
        "life-1",
        configuration_age.ConfigurationAge(REVOKE_SECONDS),
        telemetry.Telemetry(),
    )
    watcher = store_watch.StoreWatcher(
        store,
        documents.Decoder(),
        shared,
        random.Random(1),
        lambda: None,
        lambda: None,
    )
    table = ports.Table.CONFIGURATION
    await watcher._read_table(table)
    watcher.accept_confirmations()
    store.waits_seconds, store.unread_seconds = 20.0, 5.0
    await watcher._read_changes(table, FIRST)
    return shared


async def test_a_change_that_waited_while_the_process_stood_still_is_old(
    monkeypatch,
):
    stepped = stepped_clock.SteppedClock(monkeypatch)
    shared = await watch_a_change(SlowlyReadStore(stepped, True))
    assert shared.version == 2
    age = shared.configuration_age.age(stepped.time())
    lag = store_watch.FEED_LAG_SECONDS
    assert 5.0 + lag <= age < 5.1 + lag
    assert not shared.configuration_age.admits_keys(stepped.time())


async def test_a_change_of_a_store_without_a_clock_is_dated_when_asked_for(
    monkeypatch,
):
    stepped = stepped_clock.SteppedClock(monkeypatch)
    shared = await watch_a_change(SlowlyReadStore(stepped, False))
    assert shared.version == 2
    assert 25.0 <= shared.configuration_age.age(stepped.time()) < 25.1


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """Seconds until a call is made, answered by the store, and read."""

    pause: float
    wait: float
    unread: float


SECONDS = st.floats(0.0, 100.0)
CALLS = st.lists(st.builds(Call, SECONDS, SECONDS, SECONDS), max_size=12)


@given(
    CALLS,
    st.floats(-1e6, 1e6),
    st.floats(-store_clock.MAX_DRIFT, store_clock.MAX_DRIFT),
    st.booleans(),
)
def test_no_answer_is_dated_later_than_it_was_made(calls, ahead, drift, steps):
    dated = store_clock.StoreClock()
    now = 1000.0
    for number, call in enumerate(calls):
        asked_at = now + call.pause
        made_at = asked_at + call.wait
        now = made_at + call.unread
        store_seconds = ahead + made_at * (1 + drift * 0.99)
        answer = make_rows(1, math.floor(store_seconds * 1000) / 1000)
        date = dated.date(answer, asked_at, now)
        assert asked_at <= date <= made_at + 1e-6
        if steps and number == len(calls) // 2:
            # Back in time, as a store that starts anew at another machine.
            ahead -= 50.0


def test_a_clock_of_the_store_that_steps_ahead_is_noticed():
    dated = store_clock.StoreClock()
    dated.date(make_rows(1, 10.0), 100.0, 100.01)
    assert dated.date(make_rows(1, 500.0), 101.0, 101.01) == 101.0
    assert dated.date(make_rows(1, 510.0), 101.5, 111.1) < 111.1


async def test_a_new_era_of_the_store_has_a_clock_of_its_own():
    dated = store_clock.StoreClock()
    dated.date(make_rows(1, 10.0), 100.0, 100.01)
    restored = dataclasses.replace(
        make_rows(1, 13.0), version=ports.Version(1, 1)
    )
    assert dated.date(restored, 101.0, 109.0) == 101.0


@pytest.mark.parametrize(
    "told, made_at",
    [(1500, 1.5), (1500.5, 1.5005), ("soon", None), (None, None)]
    + [(True, None), ([1], None), (1e300, None), (-1e300, None)],
)
async def test_a_time_of_the_store_that_is_no_number_is_ignored(
    told, made_at, monkeypatch
):
    standin = store_standin.StoreStandin()
    address = await standin.serve()
    standin.put("op", "config", b"{}")
    monkeypatch.setattr(
        store_standin.StoreStandin, "_now_ms", lambda standin: told
    )
    client = store.StoreClient(address)
    read = await client.read_table(ports.Table.CONFIGURATION)
    assert read.unwrap().made_at == made_at
    assert len(read.unwrap().rows) == 1
    client.close()
    await standin.close()


class DirectTransport:
    """Hands datagrams to the other instance at once."""

    def __init__(self):
        self.receiver: mesh.Mesh | None = None

    def is_closing(self):
        return False

    def sendto(self, data, address):
        self.receiver.datagram_received(data, ("127.0.0.1", 1))


def make_mesh(name: str, shared: state.InstanceState) -> mesh.Mesh:
    """Returns the datagrams of an instance that has only its state."""
    return mesh.Mesh(
        name,
        "north",
        "127.0.0.1:7600",
        shared,
        lambda sender, message: None,
        lambda member, status: None,
        lambda member: datagrams.Report([], []),
    )


async def test_instances_that_vouch_for_each_other_make_nothing_younger(
    monkeypatch,
):
    # Load: the store is away, and the instances go on with their heartbeats.
    stepped = stepped_clock.SteppedClock(monkeypatch)
    age = configuration_age.ConfigurationAge
    states = [
        state.InstanceState(name, age(None), telemetry.Telemetry())
        for name in ("life-1", "life-2")
    ]
    meshes = [make_mesh(f"gate-{n}", each) for n, each in enumerate(states)]
    members = []
    for number, each in enumerate(meshes):
        transport = DirectTransport()
        transport.receiver = meshes[1 - number]
        each.connection_made(transport)
        members.append(
            each.members.register(
                f"gate-{1 - number}", "127.0.0.1:7600", "north", stepped.time()
            )
        )
    config = builders.make_configuration(routes=[], organisations=[])
    confirmed_at = stepped.time()
    for each in states:
        each.configuration = config
    states[0].configuration_age.confirm(confirmed_at)
    for number in range(200):
        stepped.step(HEARTBEAT_STEP_SECONDS)
        meshes[number % 2].ping(members[number % 2])
        truth = stepped.time() - confirmed_at
        for each in states:
            assert each.configuration_age.age(stepped.time()) >= truth - 1e-6
    assert states[1].configuration_age.age(stepped.time()) < math.inf
