"""Header fields and settings that cannot be read get an answer."""

import sys

import hypothesis
from hypothesis import strategies
import msgspec

from cranberryglade.gateway import dialect
from cranberryglade.gateway import messages
from cranberryglade.platform import headers
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import odd_values

Cluster = gateway_cluster.Cluster
HEADER_NAMES = strategies.sampled_from(
    [
        *(b"Host", b"X-Token-Counts", b"X-Length-Hint", b"X-Deadline-Ms"),
        *(b"X-Prompt-Prefix", b"Authorization", b"Keep-Alive", b"Retry-After"),
        *(b"Server-Limit", b"Connection", b"Content-Encoding", b"X-Attempt-Id"),
    ]
)
HEADER_VALUES = strategies.binary(max_size=40) | strategies.sampled_from(
    [
        *(b"9" * 5000, b"9" * 400, b"-1", b"nan", b"inf", b"1e400", b"\xb2"),
        *(b"timeout=" + b"9" * 5000, b"1,2", b"9" * 5000 + b",1", b"1_000"),
    ]
)
FIELDS = strategies.lists(
    strategies.builds(messages.Header, HEADER_NAMES, HEADER_VALUES), max_size=6
)


async def test_numbers_without_end_in_a_request_get_an_answer():
    limits = operator_configuration.a_config()["limits"]
    limits |= {"max_header_bytes": 30_000}
    config = operator_configuration.a_config(limits=limits)
    for name in ("X_Token_Counts", "X_Length_Hint", "X_Deadline_Ms"):
        async with Cluster(gateways=2, config=config) as cluster:
            for gateway in range(2):
                digits = "9" * 5000
                answer = await cluster.send_request(gateway, **{name: digits})
                assert answer.status in (200, 429)


async def test_the_name_of_an_organisation_may_be_of_any_letters():
    tenants = operator_configuration.a_config()["tenants"]
    tenants[0]["name"] = "\u65e5\u672c"
    config = operator_configuration.a_config(tenants=tenants)
    async with Cluster(config=config) as cluster:
        assert (await cluster.send_request()).status == 200


@odd_values.SETTINGS
@hypothesis.given(fields=FIELDS)
def test_any_header_fields_are_decoded_or_refused(fields):
    decoder = headers.HeaderDialect()
    request = messages.Request(b"GET", b"/", fields, b"", False, True, 0.0)
    try:
        facts = decoder.decode_request(request)
    except dialect.UnreadableRequestError:
        pass
    else:
        counts = (facts.prompt_tokens, facts.output_tokens)
        assert msgspec.msgpack.encode(counts)
        assert float(sum(counts)) + facts.expected_tokens < sys.float_info.max
    answer = decoder.decode_answer(
        dialect.AnswerHead(200, b"OK", fields, dialect.Framing.LENGTH)
    )
    assert all(limit < sys.float_info.max for limit in answer.limits) or any(
        limit != limit for limit in answer.limits
    )
