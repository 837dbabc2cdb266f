"""Malformed input at every interface is refused without side effects.

The daemon keeps serving, and its verdict agrees with what ran.
"""

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

FUZZ_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=120,
    suppress_health_check=list(hypothesis.HealthCheck),
)
ORGANISATION_HEADERS = {"Authorization": f"Bearer {support.ORGANISATION_TOKEN}"}
VALID_REQUEST = {"kind": "stock-lookup", "payload": {"a": 1}}
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
        lambda document: json.dumps({**VALID_REQUEST, **document}).encode()
    )
)


@pytest.fixture(scope="module")
def served(tmp_path_factory):
    with support.deployment(tmp_path_factory.mktemp("fuzz")) as deployment:
        service = deployment.start_endpoint("service", "lists-1", "lists")
        daemon = deployment.start_daemon("entry-1")
        support.wait_until(lambda: support.status(daemon)["targets"])
        yield deployment, service, daemon


def send_request(address, method, path, body=b"", headers=None):
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def count_runs(deployment, service):
    return sum(deployment.runs(service).values())


def check_refused(status, body, reason=None):
    assert 400 <= status < 500, (status, body)
    document = json.loads(body)
    assert document["verdict"] == "not_run", document
    assert reason in (None, document["reason"]), document


def body(**changes):
    return json.dumps({**VALID_REQUEST, **changes}).encode()


INVALID_REQUESTS = [
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
    ("POST", "/v1/requests", body(prompt_tokens=10**30), {}, "malformed"),
    ("POST", "/v1/requests", body(max_tokens=10**30), {}, "malformed"),
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
    ("GET", f"/v1/requests/a.b.c.{'9' * 5000}.d", b"", {}, "unknown_request"),
    ("GET", "/v1/nothing", b"", {}, "unknown_path"),
    ("DELETE", "/v1/tickets", b"", {}, "wrong_method"),
    ("GET", "/v1/operators/status", b"", {}, "unauthenticated"),
    ("GET", "/v1/operators/facts", b"", {}, "unauthenticated"),
    ("PUT", "/v1/operators/configuration", b"{}", {}, "unauthenticated"),
    ("POST", "/v1/operators/drain", b"{}", {}, "unauthenticated"),
]


@pytest.mark.parametrize(
    ("method", "path", "request_body", "headers", "reason"), INVALID_REQUESTS
)
def test_invalid_requests_are_refused_as_not_run(
    served, method, path, request_body, headers, reason
):
    deployment, service, daemon = served
    before = count_runs(deployment, service)
    response = send_request(
        daemon.address,
        method,
        path,
        request_body,
        {**ORGANISATION_HEADERS, **headers},
    )
    check_refused(*response, reason)
    assert count_runs(deployment, service) == before
    assert send_request(daemon.address, "GET", "/health")[0] == 200


OPERATOR_HEADERS = {"Authorization": f"Bearer {support.OPERATOR_TOKEN}"}
INVALID_OPERATOR_REQUESTS = [
    ("PUT", "/v1/operators/configuration", b"{", 400),
    ("PUT", "/v1/operators/configuration", b'{"text": 3}', 400),
    (
        *("PUT", "/v1/operators/configuration"),
        *(b'{"expected_version": -7, "text": "[deployment]"}', 422),
    ),
    ("POST", "/v1/operators/drain", b'{"endpoint": null}', 400),
    ("POST", "/v1/operators/drain", b"[" * 3000, 400),
    ("POST", "/v1/operators/drain", b'{"all": true}', 400),
    ("GET", "/v1/operators/facts?colour=red", b"", 400),
    ("DELETE", "/v1/operators/status", b"", 405),
]


@pytest.mark.parametrize(
    ("method", "path", "request_body", "expected"), INVALID_OPERATOR_REQUESTS
)
def test_invalid_operator_requests_are_refused(
    served, method, path, request_body, expected
):
    _, _, daemon = served
    before = support.status(daemon)["version"]
    status, response = send_request(
        daemon.address, method, path, request_body, OPERATOR_HEADERS
    )
    assert (status, bool(json.loads(response))) == (expected, True)
    assert support.status(daemon)["version"] == before


def test_requests_are_hidden_from_other_organisations(served):
    _, _, daemon = served
    status, answer = support.submit(daemon, VALID_REQUEST)
    assert (status, answer["verdict"]) == (200, "ran")
    other = {"Authorization": f"Bearer {support.OTHER_TOKEN}"}
    for suffix in ("", "/explanation"):
        path = f"/v1/requests/{answer['request_id']}{suffix}"
        assert (
            send_request(
                daemon.address, "GET", path, headers=ORGANISATION_HEADERS
            )[0]
            == 200
        )
        response = send_request(daemon.address, "GET", path, headers=other)
        check_refused(*response, "unknown_request")
    joining_body = body(ticket=answer["request_id"])
    response = send_request(
        daemon.address, "POST", "/v1/requests", joining_body, other
    )
    check_refused(*response, "forbidden")


@FUZZ_SETTINGS
@hypothesis.given(request_body=BODIES)
def test_any_caller_body_gets_a_correct_verdict(served, request_body):
    deployment, service, daemon = served
    before = count_runs(deployment, service)
    status, response = send_request(
        daemon.address,
        "POST",
        "/v1/requests",
        request_body,
        ORGANISATION_HEADERS,
    )
    assert status in (200, 400, 404, 413, 429, 503), response
    if status != 200:
        assert json.loads(response)["verdict"] == "not_run"
        assert count_runs(deployment, service) == before


@FUZZ_SETTINGS
@hypothesis.given(request_body=BODIES, path=strategies.sampled_from(PEER_PATHS))
def test_any_body_from_a_peer_gets_a_verdict(served, request_body, path):
    _, _, daemon = served
    address = daemon.listening["peer_address"]
    unsigned = send_request(address, "POST", path, request_body)
    check_refused(*unsigned, "unauthenticated")
    incarnation = daemon.listening["incarnation"]
    signature = {
        peers.SIGNATURE_HEADER: KEY.sign(path, request_body, incarnation)
    }
    status, response = send_request(
        address, "POST", path, request_body, signature
    )
    assert status in (200, 400, 403, 404, 429, 503, 504), response


def test_undecodable_signature_is_refused(served):
    _, _, daemon = served
    address = daemon.listening["peer_address"]
    headers = {peers.SIGNATURE_HEADER: b"\xff\xfe"}
    response = send_request(address, "POST", PEER_PATHS[0], b"{}", headers)
    check_refused(*response, "unauthenticated")


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


@FUZZ_SETTINGS
@hypothesis.given(text=INI)
def test_any_ini_text_gives_settings_or_problems(text):
    for parse in (
        lambda: settings.parse(text, "fuzz"),
        lambda: configuration.parse(text, 1, "fuzz"),
        lambda: questions.parse(text, "fuzz"),
    ):
        problems = parse().swap().value_or([])
        assert all(str(problem).startswith("fuzz: ") for problem in problems)
