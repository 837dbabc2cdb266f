"""An answer that is none is no evidence: nothing that it says is believed."""

import asyncio
import dataclasses

import pytest
import structlog

from cranberryglade.answer_grammar import faults
from cranberryglade.answer_grammar import reporting
from cranberryglade.gateway import messages
from cranberryglade.standins import endpoint_standin
from cranberryglade.tests import answer_forms
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import test_malformed_answers

Cluster = gateway_cluster.Cluster
MALFORMED = answer_forms.MALFORMED
TARGETS = test_malformed_answers.TARGETS

SAYS_MUCH = (
    b"X-Not-Executed: 1\r\nRetry-After: 30\r\nServer-Leaving: 1\r\n"
    b"Server-Limit: 0.5\r\nServer-Brittle: 1\r\n"
)
"""Not run, a time to wait, leaving, and a limit."""

_NAMES = {
    fault: [name for name, form in MALFORMED.items() if form.fault == fault]
    for fault in {form.fault: None for form in MALFORMED.values()}
}
SHOWN = [
    name for names in _NAMES.values() for name in names[:: len(names) // 2]
]
"""A few of each fault."""


def refuse(form, status: bytes) -> answer_forms.Form:
    """Returns a malformed answer that refuses, and says much beside."""
    return dataclasses.replace(
        form,
        start=form.start.replace(b" 200", b" " + status),
        fields=SAYS_MUCH + form.fields,
    )


@pytest.mark.parametrize("status", [b"503", b"429", b"421"])
@pytest.mark.parametrize("name", SHOWN)
async def test_malformed_refusal_is_not_believed(name, status):
    form = refuse(MALFORMED[name], status)
    target = TARGETS[len(name) % len(TARGETS)]
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.script = [test_malformed_answers.send_form(endpoint, form)]
        endpoint.default_behaviour = endpoint.serve_by_target
        answer = await cluster.send_request(target=target, method="POST")
        if target in ("/pay/1", "/note/1"):
            assert answer.status in (502, 504)
            assert "retry-after" not in answer.headers
        (gateway,) = cluster.gateways
        (listed,) = gateway._state.endpoints.values()
        assert not listed.leaving
        now = asyncio.get_running_loop().time()
        assert not gateway._sender._pauses.is_paused(listed, now)
        assert gateway._sender._limits.is_empty
        later = await cluster.send_request(target=target, X_Attempt_Id="a-2")
        assert (later.status, later.whole) == (200, True)


async def test_process_that_sends_bytes_unasked_is_not_known_to_run_or_not():
    async def speak(reader, writer):
        writer.write(b"HTTP/1.1 000 No\r\n\r\n")
        await reader.read()
        writer.close()

    server = await asyncio.start_server(speak, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with Cluster() as cluster:
        (gateway,) = cluster.gateways
        (listed,) = gateway._state.endpoints.values()
        speaking = dataclasses.replace(listed, address=f"{host}:{port}")
        assert await gateway._sender.still_runs(listed, 0.1)
        assert not await gateway._sender.has_ended(speaking)
        assert not await gateway._sender.still_runs(speaking, 0.1)
    server.close()


@pytest.mark.parametrize("target", ["/look/1", "/pay/1"])
async def test_part_of_a_failure_without_a_length_is_none(target):
    # The end of the connection is that of the endpoint.
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners

        async def fail_and_crash(received, reader, writer):
            endpoint.ran.append(received.request_id)
            seal = endpoint_standin.SEAL.format(endpoint.id)
            lines = [f"X-Response-Seal: {seal}"]
            writer.write(endpoint._head(received, 500, lines, None) + b"part")
            await writer.drain()
            endpoint.crash()

        endpoint.default_behaviour = fail_and_crash
        answer = await cluster.send_request(target=target)
        assert answer.status == 502
        assert not answer.sealed


async def test_malformed_answer_counts_against_its_endpoint():
    form = MALFORMED["status: b'HTTP/1.1 000 OK\\r\\n'"]
    async with Cluster(runners=2) as cluster:
        faulty, sound = cluster.runners
        faulty.default_behaviour = test_malformed_answers.send_form(
            faulty, form
        )
        with structlog.testing.capture_logs() as lines:
            for number in range(20):
                answer = await cluster.send_request(
                    target="/look/1", X_Attempt_Id=f"a-{number}"
                )
                assert answer.status == 200
        assert len(sound.ran) == 20
        assert 0 < len(faulty.ran) < 10
    ended = [each for each in lines if each["event"] == "attempt.ended"]
    outcomes = {
        each["outcome"] for each in ended if each["endpoint"] == faulty.id
    }
    assert outcomes == {messages.Outcome.LOST.value}


@pytest.mark.parametrize("name", SHOWN)
async def test_log_and_counter_say_what_was_wrong(name):
    form = MALFORMED[name]
    if form.fault == "cut":
        return
    counter = reporting.MALFORMED_ANSWERS.labels(form.fault)
    before = counter._value.get()
    with structlog.testing.capture_logs() as lines:
        await test_malformed_answers.receive(form, 1_000_000)
    (line,) = [each for each in lines if each["event"] == "answer.malformed"]
    assert line["kind"] == form.fault
    assert line["detail"].isascii()
    assert line["detail"].isprintable()
    assert len(line["detail"]) <= faults.MAX_DETAIL_CHARACTERS
    assert counter._value.get() == before + 1


@pytest.mark.parametrize("size", test_malformed_answers.SIZES.values())
async def test_detail_of_a_fault_is_bounded(size):
    form = answer_forms.Form(fields=b"\xff" * 20_000 + b": 1\r\n")
    with structlog.testing.capture_logs() as lines:
        await test_malformed_answers.receive(form, size)
    (line,) = [each for each in lines if each["event"] == "answer.malformed"]
    assert len(line["detail"]) <= faults.MAX_DETAIL_CHARACTERS


async def test_counter_is_shown_with_the_other_metrics():
    async with Cluster() as cluster:
        reporting.MALFORMED_ANSWERS.labels("status").inc()
        text = await cluster.ask_status("GET", "/metrics")
        assert b'cranberryglade_malformed_answers_total{kind="status"}' in text
