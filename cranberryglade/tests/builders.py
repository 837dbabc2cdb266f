"""Builders of test data."""

from cranberryglade.scheduling import messages


def request(request_id="r1", **changes):
    values = {
        "request_id": request_id,
        "organisation": "store-1",
        "kind": "counter-question",
        "target": "assistant",
        "rank": 0,
        "idempotent": False,
        "prompt_tokens": 100,
        "output_tokens": 20,
        "prefix": "",
        "deadline": 30.0,
        "first_token_deadline": 0.51,
    }
    return messages.Request(**{**values, **changes})


def endpoint(name="engine-1", **changes):
    values = {
        "name": name,
        "incarnation": "i1",
        "address": "127.0.0.1:9",
        "target": "assistant",
        "failure_domain": "wien-a",
        "slots": 2,
    }
    return messages.Endpoint(**{**values, **changes})


def peer(name="entry-1", **changes):
    values = {
        "name": name,
        "incarnation": f"{name}-i1",
        "address": "127.0.0.1:9",
        "failure_domain": "wien-a",
    }
    return messages.Peer(**{**values, **changes})
