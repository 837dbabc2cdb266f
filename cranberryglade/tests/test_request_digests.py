"""Digests by which a repeated request is recognised."""

from cranberryglade.gateway import messages
from cranberryglade.gateway import request_digests


def digest(
    target=b"/look/1?a=1&b=2",
    body=b"body",
    host="example.test",
    organisation="studio",
    method=b"POST",
    headers=(),
) -> str:
    request = messages.Request(
        method, target, list(headers), body, False, True, 0.0
    )
    return request_digests.compute_digest(request, host, organisation)


def test_digest_is_the_same_for_each_repeat():
    attempt_id = messages.Header(b"X-Attempt-Id", b"a-2")
    assert digest(headers=[attempt_id]) == digest()
    assert digest(target=b"/look/1?b=2&a=1") == digest()
    assert digest(host="EXAMPLE.test") == digest()


def test_digest_differs_for_different_requests():
    different = [
        digest(),
        digest(target=b"/look/2?a=1&b=2"),
        digest(target=b"/look/1"),
        digest(body=b"body2"),
        digest(host="other.test"),
        digest(organisation="shop"),
        digest(method=b"GET"),
        digest(organisation="studi", method=b"oPOST"),
    ]
    assert len(set(different)) == len(different)


def test_digest_is_never_the_id_of_a_prompt_part():
    assert digest().startswith(request_digests.PREFIX)
