"""Datagrams that cannot be read leave the instances in touch."""

import asyncio
import json
import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from returns.result import Failure
from returns.result import Success

from cranberryglade.gateway import conversions
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import messages
from cranberryglade.gateway import ports
from cranberryglade.platform import store
from cranberryglade.tests import gateway_builders
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import odd_values

Cluster = gateway_cluster.Cluster


async def test_a_member_whose_address_cannot_be_used_silences_nobody():
    async with Cluster(gateways=2) as cluster:
        table = store.TABLES[ports.Table.MEMBERS]
        for number, address in enumerate(["127.0.0.1:70000", "x", "a:9", ""]):
            row = {"address": address, "domain": "north"}
            cluster.store.put(
                table, f"gate-odd-{number}", json.dumps(row).encode()
            )
            ping = make_ping(name=f"gate-false-{number}", address=address)
            await send_datagram(cluster, 0, datagrams.encode(ping))
        late = await cluster.add_gateway("gate-late")
        await gateway_cluster.wait_until(lambda: late.is_ready(1, 2))
        await asyncio.sleep(0.5)
        now = asyncio.get_running_loop().time()
        for gateway in cluster.gateways:
            assert gateway._mesh.members.reachable_count(now) == 3
            assert gateway_cluster.is_running(gateway)


async def test_any_datagram_leaves_the_instances_in_touch():
    choices = random.Random(11)
    async with Cluster(gateways=2) as cluster:
        for _ in range(600):
            data = bytearray(choices.choice(SAMPLES))
            for _ in range(choices.randint(1, 3)):
                data[choices.randrange(len(data))] = choices.randrange(256)
            await send_datagram(cluster, choices.randrange(2), bytes(data))
        await send_datagram(cluster, 0, b"\x91" * 3000)
        await gateway_cluster.wait_until(
            lambda: all(gateway.is_ready(1, 1) for gateway in cluster.gateways)
        )
        for gateway in cluster.gateways:
            assert gateway_cluster.is_running(gateway)
            assert not gateway._mesh._transport.is_closing()
        assert (await cluster.send_request()).status == 200


async def send_datagram(cluster, number, data):
    loop = asyncio.get_running_loop()
    settings = cluster.settings[number]
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol,
        remote_addr=(settings.host, settings.peer_port),
    )
    transport.sendto(data)
    transport.close()


def make_ping(**changes):
    status = datagrams.Status(1, 10, 5, 2, 4000)
    fields = {
        "name": "gate-0",
        "incarnation": "ab",
        "address": "127.0.0.1:9",
        "domain": "north",
        "sequence": 3,
        "status": status,
        "report": datagrams.Report(
            [datagrams.HeldSlot("r-1", "i-0")],
            [datagrams.QuotaUsage("studio", 5.0, 0.4)],
        ),
        "leaving": [datagrams.LeavingEndpoint("i-0", 5)],
        "quarantine": [datagrams.QuarantineEntry(["p"], 900, 1, False)],
        "suspects": [datagrams.SuspectPart("p", 1, 1)],
        "limits": [datagrams.EndpointLimit("i-0", 5, 2.0, False, 7)],
    }
    return datagrams.Ping(**(fields | changes))


SAMPLES = [
    datagrams.encode(message)
    for message in (
        make_ping(name="gate-x"),
        datagrams.Pong(
            "gate-1", "ab", 1, datagrams.Status(1, 1, 1, 1, 1), None
        ),
        conversions.encode_slot_request(
            "gate-x", gateway_builders.make_slot_request(), 99.0
        ),
        datagrams.Release("r-1", messages.Outcome.SERVED),
        datagrams.Grant("r-1", "i-0", 120),
        datagrams.Deny("r-1", "busy", 10, 1),
        datagrams.EndpointLimit("i-0", 5, 2.0, False, 7),
        datagrams.Origins([datagrams.OriginRecord("a", "writers", "v1")]),
        datagrams.OriginQuery("gate-x", 1, "a", "writers"),
    )
]


def change_values(draw, sample):
    """Returns a decoded datagram in which some values were replaced."""
    if isinstance(sample, list) and sample:
        position = draw(strategies.integers(0, len(sample) - 1))
        changed = list(sample)
        changed[position] = change_values(draw, sample[position])
        return changed
    return draw(
        strategies.integers(-(2**63), 2**64 - 1)
        | strategies.floats()
        | strategies.sampled_from([-(2**63), 2**64 - 1, 2**63])
        | odd_values.TEXTS
        | strategies.just([])
    )


@strategies.composite
def any_datagram(draw):
    """Draws bytes, or a datagram with other values in some places."""
    if draw(strategies.booleans()):
        return draw(strategies.binary(max_size=60))
    message = msgspec.msgpack.decode(draw(strategies.sampled_from(SAMPLES)))
    for _ in range(draw(strategies.integers(1, 3))):
        message = change_values(draw, message)
    return msgspec.msgpack.encode(message)


@odd_values.SETTINGS
@hypothesis.given(data=any_datagram())
@hypothesis.example(data=b"\x91" * 3000)
def test_any_datagram_is_decoded_and_passed_on_or_refused(data):
    match datagrams.decode(data):
        case Success(datagrams.Ping() as ping):
            for each in ping.quarantine:
                pass_on(
                    conversions.decode_quarantine,
                    conversions.encode_quarantine,
                    each,
                )
            for each in ping.limits:
                pass_on(
                    conversions.decode_limit, conversions.encode_limit, each
                )
            for each in ping.suspects or []:
                suspicion = conversions.decode_suspicion(each)
                datagrams.encode(conversions.encode_suspicion(suspicion))
        case Success(datagrams.SlotRequest() as asked):
            decoded = conversions.decode_slot_request(asked, 9.0)
            encoded = conversions.encode_slot_request("a", decoded, 9.5)
            assert datagrams.encode(encoded)
        case Success(datagrams.EndpointLimit() as limit):
            pass_on(conversions.decode_limit, conversions.encode_limit, limit)
        case Success(datagrams.Grant() as grant):
            granted = conversions.decode_grant(grant)
            assert datagrams.encode(conversions.encode_decision(granted))
        case Success(datagrams.Deny() as deny):
            denied = conversions.decode_denial(deny)
            assert datagrams.encode(conversions.encode_decision(denied))
        case Success(_):
            pass
        case Failure(problem):
            assert problem


def pass_on(decode, encode, received):
    """Checks that what was received can be sent, at once and later."""
    decoded = decode(received, 9.0)
    for now in (9.0, 9.5, 1e6):
        assert msgspec.msgpack.encode(encode(decoded, now))


ENCODED = [
    (
        conversions.encode_slot_request(
            "gate-x", gateway_builders.make_slot_request(), 99.0
        ),
        b"\xdc\x00\x10\x03\xa6gate-x\xa3r-1\xa7writers\x00\xa9resumable\xcd\x03\xe8d"
        b"\xcd\x03\xe8\xcd\x03\xe8\x90\xa0\xcb\x00\x00\x00\x00\x00\x00\x00\x00"
        b"\xc0\x90\xc2",
    ),
    (
        datagrams.Release("r-1", messages.Outcome.SERVED, ["p"]),
        b"\x95\x07\xa3r-1\xa6served\x91\xa1p\xff",
    ),
]


@pytest.mark.parametrize(("message", "encoded"), ENCODED)
def test_kinds_and_outcomes_are_written_and_read_as_before(message, encoded):
    assert datagrams.encode(message) == encoded
    assert datagrams.decode(encoded) == Success(message)


def test_a_release_of_the_former_build_is_read():
    former = b"\x94\x07\xa3r-1\xa6served\x91\xa1p"
    released = datagrams.Release("r-1", messages.Outcome.SERVED, ["p"])
    assert datagrams.decode(former) == Success(released)


def test_a_grant_of_the_former_build_has_no_threshold():
    former = datagrams.decode(b"\x93\x05\xa3r-1\xa3i-0").unwrap()
    granted = conversions.decode_grant(former)
    assert granted == messages.Granted("r-1", "i-0", None)
    present = conversions.encode_decision(messages.Granted("r-1", "i-0", 0.12))
    read = datagrams.decode(datagrams.encode(present)).unwrap()
    assert conversions.decode_grant(read).late_after_seconds == 0.12


def test_a_slot_request_of_the_former_build_is_read():
    present, encoded = ENCODED[0]
    former = b"\x9f" + encoded[3:-1]
    assert datagrams.decode(former) == Success(present)
