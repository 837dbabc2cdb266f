"""Membership of several instances connected in memory.

Covers platform lists that lag, cannot be read or are wrong, and the spread of
departures and configuration versions between instances.
"""

import asyncio
import random

import pytest
from returns.result import Failure
from returns.result import Success

from cranberryglade import gossip_encoding
from cranberryglade import membership
from cranberryglade import revisions
from cranberryglade import settings
from cranberryglade import subscriptions
from cranberryglade import tables
from cranberryglade import wire
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler
from cranberryglade.tests import builders
from cranberryglade.tests import fakes
from cranberryglade.tests import properties

PROBE_SECONDS = settings.DEFAULT_PROBE_SECONDS
POLL_SECONDS = settings.DEFAULT_POLL_SECONDS
TEXT = "[deployment]\nname = a\n"


class FakePlatformList(fakes.FakePlatform):
    """Serves a list of instances and a table; both fail while `down` is set."""

    def __init__(self):
        super().__init__()
        self.listed = []
        self.down = False

    async def instances(self, tag, **wanted):
        del tag, wanted
        if self.down:
            return Failure(tables.PlatformError("down"))
        return Success(tables.InstanceListing("", list(self.listed)))

    async def row(self, table, key):
        return fakes.LOST if self.down else await super().row(table, key)


class FakePeerNetwork:
    """Delivers peer calls between instances by address and counts them."""

    def __init__(self):
        self.instances = {}
        self.calls = 0

    async def call(self, address, incarnation, path, body):
        self.calls += 1
        await asyncio.sleep(0.01)
        other = self.instances.get(address)
        if other is None or incarnation not in ("", other.own.incarnation):
            return Failure("refused")
        if path == membership.DIGEST_PATH:
            message = gossip_encoding.decode(body).unwrap()
            return Success(
                other.members.handle_message(message, bool(incarnation))
            )
        update_request = wire.decode(body, revisions.UpdateRequest).unwrap()
        update = other.subscription.update_for(update_request.known_version)
        return Success(wire.encode(update))


class Instance:
    """One instance without HTTP interfaces."""

    def __init__(self, network, number, leaving_check):
        name = f"entry-{number}"
        self.own = builders.peer(name, address=f"{name}:1")
        self.leaving_check = leaving_check
        self.platform = FakePlatformList()
        generator = random.Random(number)
        self.core = scheduler.Scheduler(self.own)
        self.subscription = subscriptions.Subscription(self.platform, generator)
        self.members = membership.Membership(
            self.own,
            settings.parse(SETTINGS, "test").unwrap(),
            network,
            self.platform,
            self.subscription,
            self.core,
            generator,
        )
        self.members.events.subscribe(self.handle_event)
        network.instances[self.own.address] = self
        self.tasks = []

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    def handle_event(self, event):
        if isinstance(event, messages.EndpointLeaving):
            self.leaving_check.sign(event.name, event.incarnation, self.now)
        return self.core.handle(event, self.now)

    def start(self):
        if self.tasks:
            return
        for coroutine in (
            self.members.poll_list(POLL_SECONDS),
            self.members.run_probes(PROBE_SECONDS),
            self.subscription.run(POLL_SECONDS),
        ):
            self.tasks.append(asyncio.create_task(coroutine))

    def submit(self, number):
        deadline = self.now + 60
        request = builders.request(
            f"{self.own.name}-{number}",
            deadline=deadline,
            first_token_deadline=deadline,
        )
        for action in self.handle_event(messages.Submitted(request)):
            if isinstance(action, messages.Dispatch):
                endpoint = action.endpoint
                self.leaving_check.dispatched(
                    endpoint.name, endpoint.incarnation, self.now
                )
                self.handle_event(messages.Answered(request.request_id, 1, 20))

    def owned_endpoints(self):
        pools = self.core.all_pools()
        return {m.endpoint.name for pool in pools for m in pool.serving}


SETTINGS = f"""[daemon]
instance = entry-0
failure_domain = wien-a
[platform]
address = 127.0.0.1:1
[keys]
peer = {"ab" * 16}
ticket = {"cd" * 16}
"""


def instance_document(name, state="live", incarnation="i1", role="engine"):
    return wire.InstanceDocument(
        name=name,
        role=role,
        incarnation=incarnation,
        address=f"{name}:1",
        failure_domain="wien-a",
        state=state,
        target="assistant" if role == "engine" else "",
    )


ENGINES = [f"engine-{number}" for number in range(6)]


@pytest.fixture
async def domain():
    network, leaving_check = FakePeerNetwork(), properties.LeavingCheck()
    instances = [
        Instance(network, number, leaving_check) for number in range(4)
    ]
    entries = [instance_document(i.own.name, role="entry") for i in instances]
    for instance in instances:
        instance.platform.listed = entries + [
            instance_document(e) for e in ENGINES
        ]
    yield instances
    for instance in instances:
        instance.members.close()
        for task in instance.tasks:
            task.cancel()


async def start_and_settle(domain):
    for instance in domain:
        instance.start()
    await asyncio.sleep(20)
    assert all(len(i.members.peers) == len(domain) - 1 for i in domain)
    assert set().union(*(i.owned_endpoints() for i in domain)) == set(ENGINES)


async def submit_requests(domain, seconds):
    for number in range(int(seconds * 4)):
        for instance in domain:
            instance.submit(number)
        await asyncio.sleep(0.25)


def update_list(instance, *changed):
    names = {item.name for item in changed}
    kept = [i for i in instance.platform.listed if i.name not in names]
    instance.platform.listed = kept + list(changed)


@pytest.mark.looptime
@pytest.mark.parametrize("others_platform", ["down", "lagging"])
async def test_departure_in_one_list_stops_new_work_on_all_instances(
    domain, others_platform
):
    await start_and_settle(domain)
    for instance in domain[1:]:
        instance.platform.down = others_platform == "down"
    update_list(
        domain[0], *(instance_document(e, "leaving") for e in ENGINES[:3])
    )
    await submit_requests(domain, 15)
    assert set(domain[0].leaving_check.signs) == {
        (e, "i1") for e in ENGINES[:3]
    }
    assert set().union(*(i.owned_endpoints() for i in domain)) == set(
        ENGINES[3:]
    )


@pytest.mark.looptime
async def test_a_new_process_of_a_drained_endpoint_gets_work(domain):
    await start_and_settle(domain)
    departure = messages.EndpointLeaving("engine-0", "i1", "operator")
    domain[2].members.announce_departure(departure)
    await submit_requests(domain, 5)
    assert "engine-0" not in set().union(*(i.owned_endpoints() for i in domain))
    for instance in domain:
        update_list(instance, instance_document("engine-0", incarnation="i2"))
    await submit_requests(domain, 10)
    assert "engine-0" in set().union(*(i.owned_endpoints() for i in domain))


@pytest.mark.looptime
async def test_leaving_check_detects_departures_that_are_not_sent(
    domain, monkeypatch
):
    await start_and_settle(domain)
    monkeypatch.setattr(
        membership.Membership, "_update_departures", lambda _: None
    )
    monkeypatch.setattr(
        membership.Membership, "_exchange_with_neighbours", lambda _: None
    )
    monkeypatch.setattr(
        "cranberryglade.scheduling.gossip.Gossip._departures_to_send",
        lambda _: (),
    )
    for instance in domain[1:]:
        instance.platform.down = True
    update_list(domain[0], *(instance_document(e, "leaving") for e in ENGINES))
    with pytest.raises(properties.Violation):
        await submit_requests(domain, 15)


@pytest.mark.looptime
@pytest.mark.parametrize("list_fault", ["empty", "down", "old"])
async def test_faulty_list_removes_no_member(domain, list_fault):
    await start_and_settle(domain)
    for instance in domain:
        instance.platform.down = list_fault == "down"
        if list_fault == "empty":
            instance.platform.listed = []
        if list_fault == "old":
            update_list(instance, *(instance_document(e) for e in ENGINES[:2]))
    await asyncio.sleep(60)
    await start_and_settle(domain)


@pytest.mark.looptime
async def test_departure_in_all_lists_is_not_sent_by_every_instance(domain):
    await start_and_settle(domain)
    network = domain[0].members._client
    calls_before = network.calls
    await asyncio.sleep(POLL_SECONDS * 2)
    usual_calls = network.calls - calls_before
    for instance in domain:
        update_list(
            instance, *(instance_document(e, "leaving") for e in ENGINES)
        )
    calls_before = network.calls
    await asyncio.sleep(POLL_SECONDS * 2)
    additional_calls = network.calls - calls_before - usual_calls
    assert additional_calls <= 2 * (len(domain) - 1)


@pytest.mark.looptime
async def test_a_version_spreads_to_instances_without_platform(domain):
    for instance in domain[1:]:
        instance.platform.down = True
    domain[0].platform.rows["revisions/current"] = tables.Row(
        value=TEXT, version=1
    )
    for instance in domain:
        instance.start()
    for version in (1, 2):
        if version == 2:
            domain[0].platform.rows["revisions/current"] = tables.Row(
                value=TEXT + "[tier a]\nrank = 0\n", version=2
            )
        await asyncio.sleep(12)
        assert {i.subscription.version for i in domain} == {version}


@pytest.mark.looptime
async def test_message_not_bound_to_the_incarnation_is_ignored(domain):
    await start_and_settle(domain)
    unknown_peer = builders.peer("entry-9", address="entry-9:1")
    forged = gossip_encoding.encode(
        membership.gossip_messages.GossipMessage(
            membership.gossip_messages.HeartbeatEntry(unknown_peer, 1, 99, ()),
            leaving=(
                membership.gossip_messages.LeavingNotice("engine-0", "i1"),
            ),
        )
    )
    domain[0].members.handle_message(
        gossip_encoding.decode(forged).unwrap(), False
    )
    await asyncio.sleep(5)
    assert "entry-9" not in {p.name for p in domain[0].members.peers}
    assert not domain[0].leaving_check.signs
