"""Malformed input at every interface: refused truthfully, and it goes on."""

import http.client
import json

import hypothesis
from hypothesis import strategies
import pytest

from cranberryglade import configuration
from cranberryglade import peers
from cranberryglade import settings
from cranberryglade.tests import support
from cranberryglade.tools import questions

FIXED = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=120,
    suppress_health_check=list(hypothesis.HealthCheck),
)
AUTHORISED = {"Authorization": f"Bearer {support.ORGANISATION_TOKEN}"}
GOOD = {"kind": "stock-lookup", "payload": {"a": 1}}
KEY = peers.PeerKey(bytes.fromhex("ab" * 16))
PEER_PATHS = (
    "/v1/peer/digest",
    "/v1/peer/requests",
    "/v1/peer/submissions",
    "/v1/peer/explanations",
)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.sampled_from(["stock-lookup", "counter-question"]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=8,
)
FIELDS = strategies.sampled_from(
    [
        *("kind", "prompt", "prefix", "prompt_tokens", "max_tokens"),
        *("payload", "deadline_ms", "ticket", "stream", "request"),
        *("request_id", "organisation", "key", "attempt", "remaining_ms"),
        *("first_token_ms", "version", "instance", "targets", "leaving"),
        *("address", "failure_domain", "incarnation", "hops", "other"),
    ]
)
BODIES = (
    strategies.binary(max_size=200)
    | strategies.dictionaries(FIELDS, VALUES, max_size=8).map(
        lambda document: json.dumps(document).encode()
    )
    | strategies.dictionaries(FIELDS, VALUES, max_size=4).map(
        lambda document: json.dumps({**GOOD, **document}).encode()
    )
)


@pytest.fixture(scope="module")
def served(tmp_path_factory):
    with support.deployment(tmp_path_factory.mktemp("fuzz")) as deployment:
        service = deployment.endpoint("service", "lists-1", "lists")
        daemon = deployment.daemon("entry-1")
        support.eventually(lambda: support.status(daemon)["targets"])
        yield deployment, service, daemon


def ask(address, method, path, body=b"", headers=None):
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def runs(deployment, service):
    return sum(deployment.runs(service).values())


def check_refused(status, body, reason=None):
    assert 400 <= status < 500, (status, body)
    document = json.loads(body)
    assert document["verdict"] == "not_run", document
    assert reason in (None, document["reason"]), document


def body(**changes):
    return json.dumps({**GOOD, **changes}).encode()


WRONG = [
    ("POST", "/v1/requests", b"{", {}, "malformed"),
    ("POST", "/v1/requests", b"\xff\xfe", {}, "malformed"),
    ("POST", "/v1/requests", b"[" * 100_000, {}, "malformed"),
    ("POST", "/v1/requests", b'{"kind": NaN}', {}, "malformed"),
    ("POST", "/v1/requests", body(colour="red"), {}, "malformed"),
    ("POST", "/v1/requests", body(stream="yes"), {}, "malformed"),
    ("POST", "/v1/requests", body(prompt_tokens=-1), {}, "malformed"),
    ("POST", "/v1/requests", body(max_tokens=-5), {}, "malformed"),
    ("POST", "/v1/requests", body(deadline_ms=-1), {}, "malformed"),
    ("POST", "/v1/requests", body(deadline_ms=10**30), {}, "malformed"),
    ("POST", "/v1/requests", body(ticket="made.up"), {}, "malformed"),
    ("POST", "/v1/requests", body(kind="nothing"), {}, "unknown_kind"),
    ("POST", "/v1/requests", b" " * 2_000_000, {}, "too_large"),
    (
        *("POST", "/v1/requests", body(), {"Idempotency-Key": "k" * 200}),
        "malformed",
    ),
    ("POST", "/v1/requests", body(), {"X-Padding": "x" * 40_000}, "malformed"),
    (
        *("POST", "/v1/requests", body(), {"Authorization": "Bearer no"}),
        "unauthenticated",
    ),
    (
        *("POST", "/v1/requests", body(), {"Authorization": b"Bearer \xff"}),
        "unauthenticated",
    ),
    ("POST", "/v1/tickets", b'{"count": 0}', {}, "malformed"),
    ("POST", "/v1/tickets", b'{"count": 100000}', {}, "malformed"),
    ("GET", "/v1/requests/none", b"", {}, "unknown_request"),
    ("GET", "/v1/requests/none/explanation", b"", {}, "unknown_request"),
    ("GET", "/v1/nothing", b"", {}, "unknown_path"),
    ("DELETE", "/v1/tickets", b"", {}, "wrong_method"),
    ("GET", "/v1/operators/status", b"", {}, "unauthenticated"),
    ("GET", "/v1/operators/facts", b"", {}, "unauthenticated"),
    ("PUT", "/v1/operators/configuration", b"{}", {}, "unauthenticated"),
    ("POST", "/v1/operators/drain", b"{}", {}, "unauthenticated"),
]


@pytest.mark.parametrize(("method", "path", "sent", "headers", "reason"), WRONG)
def test_wrong_requests_are_refused_as_not_run(
    served, method, path, sent, headers, reason
):
    deployment, service, daemon = served
    before = runs(deployment, service)
    found = ask(daemon.address, method, path, sent, {**AUTHORISED, **headers})
    check_refused(*found, reason)
    assert runs(deployment, service) == before
    assert ask(daemon.address, "GET", "/health")[0] == 200


OPERATOR = {"Authorization": f"Bearer {support.OPERATOR_TOKEN}"}
WRONG_ORDERS = [
    ("PUT", "/v1/operators/configuration", b"{", 400),
    ("PUT", "/v1/operators/configuration", b'{"text": 3}', 400),
    (
        *("PUT", "/v1/operators/configuration"),
        *(b'{"expected_version": -7, "text": "[deployment]"}', 422),
    ),
    ("POST", "/v1/operators/drain", b'{"endpoint": null}', 400),
    ("POST", "/v1/operators/drain", b'{"all": true}', 400),
    ("GET", "/v1/operators/facts?colour=red", b"", 400),
    ("DELETE", "/v1/operators/status", b"", 405),
]


@pytest.mark.parametrize(("method", "path", "sent", "expected"), WRONG_ORDERS)
def test_wrong_orders_of_operators_are_refused(
    served, method, path, sent, expected
):
    _, _, daemon = served
    before = support.status(daemon)["version"]
    status, found = ask(daemon.address, method, path, sent, OPERATOR)
    assert (status, bool(json.loads(found))) == (expected, True)
    assert support.status(daemon)["version"] == before


def test_another_organisation_learns_nothing_of_a_request(served):
    _, _, daemon = served
    status, answer = support.submit(daemon, GOOD)
    assert (status, answer["verdict"]) == (200, "ran")
    other = {"Authorization": f"Bearer {support.OTHER_TOKEN}"}
    for suffix in ("", "/explanation"):
        path = f"/v1/requests/{answer['request_id']}{suffix}"
        assert ask(daemon.address, "GET", path, headers=AUTHORISED)[0] == 200
        found = ask(daemon.address, "GET", path, headers=other)
        check_refused(*found, "unknown_request")
    joined = body(ticket=answer["request_id"])
    found = ask(daemon.address, "POST", "/v1/requests", joined, other)
    check_refused(*found, "forbidden")


@FIXED
@hypothesis.given(sent=BODIES)
def test_any_body_from_a_caller_gets_a_truthful_answer(served, sent):
    deployment, service, daemon = served
    before = runs(deployment, service)
    status, found = ask(
        daemon.address, "POST", "/v1/requests", sent, AUTHORISED
    )
    assert status in (200, 400, 404, 413, 429, 503), found
    if status != 200:
        assert json.loads(found)["verdict"] == "not_run"
        assert runs(deployment, service) == before


@FIXED
@hypothesis.given(sent=BODIES, path=strategies.sampled_from(PEER_PATHS))
def test_any_body_from_a_peer_gets_a_verdict(served, sent, path):
    _, _, daemon = served
    address = daemon.listening["peer_address"]
    unsigned = ask(address, "POST", path, sent)
    check_refused(*unsigned, "unauthenticated")
    incarnation = daemon.listening["incarnation"]
    signature = {peers.SIGNATURE_HEADER: KEY.sign(path, sent, incarnation)}
    status, found = ask(address, "POST", path, sent, signature)
    assert status in (200, 400, 403, 404, 429, 503, 504), found


def test_a_signature_that_is_no_text_is_refused(served):
    _, _, daemon = served
    address = daemon.listening["peer_address"]
    headers = {peers.SIGNATURE_HEADER: b"\xff\xfe"}
    found = ask(address, "POST", PEER_PATHS[0], b"{}", headers)
    check_refused(*found, "unauthenticated")


INI = strategies.text(max_size=200) | strategies.lists(
    strategies.sampled_from(
        [
            *("[daemon]", "[keys]", "[tier a]", "[rule b]", "[deployment]"),
            *("[organisation c]", "[platform]", "[target d]", "[DEFAULT]"),
            *("name = x", "rank = 1", "rank = nan", "weight = inf", "a = %x"),
            *("port", "= 3", "peer = zz", "address = :", "address = a:b"),
            *("tier = a", "deadline_ms = 1e9", "token_sha256 = \u00e9"),
            *("caller_address = h:99999", "probe_seconds = nan", "  more"),
        ]
    ),
    max_size=12,
).map("\n".join)


@FIXED
@hypothesis.given(text=INI)
def test_any_ini_text_gives_settings_or_problems(text):
    for parse in (
        lambda: settings.parse(text, "fuzz"),
        lambda: configuration.parse(text, 1, "fuzz"),
        lambda: questions.read(text, "fuzz"),
    ):
        problems = parse().swap().value_or([])
        assert all(str(problem).startswith("fuzz: ") for problem in problems)
