"""What an instance exports about a request: spans, logs, metrics and facts."""

import json
import logging
import socket

import structlog

from cranberryglade import facts
from cranberryglade import log
from cranberryglade import metrics
from cranberryglade.scheduling import messages
from cranberryglade.tests import support
from cranberryglade.tools import explanation_text

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
CALLER_SPAN = "b7ad6b7169203331"
SECRET_TEXT = "the-dog-was-called-Bonnie"
SPAN_NAMES = [
    *("receive", "forward", "home", "delegate", "delegated", "dispatch"),
    "call",
]


def read_spans(path):
    lines = path.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines]


def test_one_trace_spans_every_hop_and_contains_no_secret(tmp_path):
    with support.deployment(tmp_path) as deployment:
        files = {
            name: tmp_path / f"{name}.spans"
            for name in ("lists", "entry-1", "entry-2", "entry-3")
        }
        service = deployment.start_endpoint(
            *("service", "lists-1", "lists", "wien-b"),
            spans_file=files["lists"],
        )
        home, entry, owner = (
            deployment.start_daemon(
                f"entry-{n}", domain, spans=files[f"entry-{n}"]
            )
            for n, domain in ((1, "wien-a"), (2, "wien-c"), (3, "wien-b"))
        )
        daemons = (home, entry, owner)
        for daemon in daemons:
            support.wait_until(
                lambda d=daemon: len(support.status(d)["peers"]) == 2
            )
        support.wait_until(lambda: support.status(owner)["targets"])
        authorised = {"Authorization": f"Bearer {support.ORGANISATION_TOKEN}"}
        _, issued = support.send_request(
            "POST", f"http://{home.address}/v1/tickets", {}, authorised
        )
        ticket = issued["tickets"][0]
        support.wait_until(lambda: submit_and_check_ran(entry, ticket))
        url = f"http://{entry.address}/v1/requests/{ticket}/explanation"
        explained = support.send_request("GET", url, headers=authorised)[1]
        lines = home.stop_and_read_output()
        _, orphaned = support.send_request("GET", url, headers=authorised)
        log_output = "\n".join(
            [
                *lines,
                *entry.stop_and_read_output(),
                *owner.stop_and_read_output(),
            ]
        )
        service.stop_and_read_output()
        spans = [span for path in files.values() for span in read_spans(path)]
    trace_spans = [
        span for span in spans if span["context"]["trace_id"] == f"0x{TRACE_ID}"
    ]
    by_id = {span["context"]["span_id"]: span for span in trace_spans}
    span_chain = [next(span for span in trace_spans if span["name"] == "call")]
    while parent := by_id.get(span_chain[-1]["parent_id"]):
        span_chain.append(parent)
    assert [span["name"] for span in reversed(span_chain)] == SPAN_NAMES
    assert span_chain[-1]["parent_id"] == f"0x{CALLER_SPAN}"
    assert [hop["instance"] for hop in explained["hops"]] == [
        *("entry-2", "entry-1", "entry-3")
    ]
    assert all(hop["facts"] for hop in explained["hops"])
    assert orphaned["verdict"] == "unknown", orphaned
    assert orphaned["hops"][0]["missing"]
    assert all(json.loads(line) for line in log_output.splitlines())
    all_output = log_output + json.dumps(spans) + json.dumps(explained)
    for secret in (
        *(support.ORGANISATION_TOKEN, support.OPERATOR_TOKEN),
        *("ab" * 16, "cd" * 16, SECRET_TEXT),
    ):
        assert secret not in all_output


def submit_and_check_ran(entry, ticket):
    """Submits the request in the caller's trace and returns whether it ran."""
    _, answer = support.submit(
        entry,
        {
            "kind": "reservation",
            "payload": {"memo": SECRET_TEXT},
            "ticket": ticket,
        },
        {"traceparent": f"00-{TRACE_ID}-{CALLER_SPAN}-01"},
    )
    return answer["verdict"] == "ran"


def test_lines_of_libraries_are_json_too(capsys):
    original_handlers = logging.root.handlers[:]
    try:
        log.configure("info", "entry-1")
        logging.getLogger("aiohttp.server").warning("odd %s", "line")
        line = json.loads(capsys.readouterr().out)
    finally:
        # Loggers that are first used later would keep the captured output,
        # which is closed by then.
        structlog.reset_defaults()
        structlog.contextvars.clear_contextvars()
        logging.root.handlers[:] = original_handlers
    assert (line["event"], line["level"]) == ("odd line", "warning")
    assert line["instance"] == "entry-1"


def test_metrics_go_to_statsd_under_one_prefix():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5)
        sink = metrics.Metrics(f"127.0.0.1:{receiver.getsockname()[1]}")
        sink.count("verdict.ran")
        sink.gauge("unfinished", 3)
        sink.timing("answer", 0.25)
        received = [receiver.recv(200) for _ in range(3)]
    assert received == [
        b"cranberryglade.verdict.ran:1|c",
        b"cranberryglade.unfinished:3|g",
        b"cranberryglade.answer:250.000000|ms",
    ]


def test_facts_are_kept_within_bounds_and_drops_are_counted():
    fact_log = facts.FactLog(metrics.Metrics(""))
    for number in range(facts.MAXIMUM_REQUESTS + 5):
        fact_log.add(messages.Fact(0.0, f"r{number}", "queued", "admitted"))
    for _ in range(facts.MAXIMUM_FACTS_PER_REQUEST):
        fact_log.add(messages.Fact(0.0, "r9", "retried", "answer_lost"))
    assert fact_log.facts_of("r4") == []
    assert len(fact_log.facts_of("r5")) == 1
    assert len(fact_log.facts_of("r9")) == facts.MAXIMUM_FACTS_PER_REQUEST
    assert fact_log.dropped == 6
    assert set(explanation_text.MEANINGS) >= {"queued", "retried"}
