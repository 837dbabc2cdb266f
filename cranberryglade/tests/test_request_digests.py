"""Digests by which a repeated request is recognised."""

from cranberryglade import crash_evidence
from cranberryglade.gateway import messages
from cranberryglade.gateway import request_digests
from cranberryglade.platform import headers as dialect_headers


def digest(
    target=b"/look/1?a=1&b=2",
    body=b"body",
    host=b"example.test",
    organisation="studio",
    method=b"POST",
    headers=(),
) -> str:
    fields = [messages.Header(b"Host", host), *headers]
    request = messages.Request(method, target, fields, body, False, True, 0.0)
    facts = dialect_headers.HeaderDialect().decode_request(request)
    return request_digests.compute_digest(request, facts, organisation)


def prompt(parts: bytes) -> list[messages.Header]:
    return [messages.Header(b"X-Prompt-Prefix", parts)]


def test_digest_is_the_same_for_each_repeat():
    attempt_id = messages.Header(b"X-Attempt-Id", b"a-2")
    assert digest(headers=[attempt_id]) == digest()
    assert digest(target=b"/look/1?b=2&a=1") == digest()
    assert digest(host=b"EXAMPLE.test") == digest()
    assert digest(headers=prompt(b"a0:1,b1:2")) == digest()


def test_digest_differs_for_different_requests():
    different = [
        digest(),
        digest(target=b"/look/2?a=1&b=2"),
        digest(target=b"/look/1"),
        digest(body=b"body2"),
        digest(host=b"other.test"),
        digest(body=b""),
        digest(body=b"", headers=prompt(b"a0:1,b1:2")),
        digest(body=b"", headers=prompt(b"a0:1,b2:2")),
        digest(organisation="shop"),
        digest(method=b"GET"),
        digest(organisation="studi", method=b"oPOST"),
    ]
    assert len(set(different)) == len(different)


def test_digest_is_never_the_id_of_a_prompt_part():
    assert digest().startswith(crash_evidence.REQUEST_PREFIX)
