"""Values that other processes may write, and that nobody can use."""

import json

import hypothesis
from hypothesis import strategies
import msgspec

from cranberryglade.standins import operator_configuration

LARGE = 10**30
NESTED = b'{"hints":' + b"[" * 3000
SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    suppress_health_check=list(hypothesis.HealthCheck),
)
ODD_FIELDS = [
    {"address": "127.0.0.1:70000"},
    {"address": "127.0.0.1:0"},
    {"address": "127.0.0.1:99999999999999999999"},
    {"address": "127.0.0.1:" + "9" * 5000},
    {"address": "127.0.0.1:\u00b2"},
    {"address": f"{'x' * 80}.example:80"},
    {"address": "\0:80"},
    {"address": "fe80::1%\0:80"},
    {"slots": LARGE},
    {"slots": -1},
    {"born": LARGE},
    {"born": -1},
    {"sequence": LARGE},
    {"sequence": 1.5},
    {"version": "v" * 60_000},
    {"state": ["ready"]},
]
ODD_IDS = ["i-\u65e5\u672c", "i\r\nX-Tenant: other", "\0", " i"]


def odd_rows():
    """Yields keys and values of entries that name no endpoint to use."""
    entry = {
        "service": operator_configuration.SERVICE,
        "address": "127.0.0.1:9",
        "zone": "north",
        "state": "ready",
        "slots": 4,
    }
    yield "i-odd", NESTED
    yield "i-odd", b"\xff\xfe"
    yield "i-odd", json.dumps(entry | {"zone": "\ud800"}).encode()
    for changes in ODD_FIELDS:
        yield "i-odd", json.dumps(entry | changes).encode()
    for id_ in ODD_IDS:
        yield id_, json.dumps(entry).encode()


NUMBERS = (
    strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.sampled_from([LARGE, 2**63, 2**64 - 1, -(2**63), 1e308])
)
TEXTS = strategies.text(max_size=12) | strategies.sampled_from(
    [
        *("ready", "draining", "127.0.0.1:80", "127.0.0.1:70000", "a:1"),
        *("::1:80", "1.2.3.4:\u0663", "idempotent", "once", "served", "v1"),
    ]
)
VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | NUMBERS | TEXTS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=4), inner)
    ),
    max_leaves=8,
)


def documents_of(kinds):
    """Returns a strategy of JSON, mostly with fields of one of some types."""
    return strategies.one_of(
        strategies.binary(max_size=60),
        VALUES.map(lambda value: json.dumps(value).encode()),
        *map(_documents_like, kinds),
    )


def _documents_like(kind):
    names = [field.encode_name for field in msgspec.structs.fields(kind)]
    return strategies.dictionaries(
        strategies.sampled_from(names), VALUES, max_size=len(names)
    ).map(lambda document: json.dumps(document).encode())
