"""Builders of objects for the tests of the gateway."""

from cranberryglade.gateway import configuration
from cranberryglade.gateway import messages
from cranberryglade.gateway import settings
from cranberryglade.standins import endpoint_standin
from cranberryglade.standins import operator_configuration

SERVICE = operator_configuration.SERVICE
HOST = operator_configuration.HOST


def make_endpoint(id_="e-1", **changes) -> messages.Endpoint:
    fields = {
        "id": id_,
        "service": SERVICE,
        "address": f"10.0.0.{len(id_)}:80",
        "domain": "north",
        "slots": 2,
        "leaving": False,
        "started_ms": 1,
        "software_version": "v1",
    }
    return messages.Endpoint(**(fields | changes))


def make_slot_request(id_="r-1", **changes) -> messages.SlotRequest:
    fields = {
        "id": id_,
        "service": SERVICE,
        "rank": 0,
        "kind": configuration.Kind.RESUMABLE,
        "prompt_tokens": 1000,
        "output_tokens": 100,
        "wait_until": 100.0,
        "first_answer_due": 100.0,
    }
    return messages.SlotRequest(**(fields | changes))


def make_route(**changes) -> configuration.Route:
    fields = {
        "name": "r-brief",
        "host": HOST,
        "prefix": "/brief/",
        "kind": configuration.Kind.IDEMPOTENT,
        "timeout_seconds": 2.0,
        "target_latency_seconds": 0.5,
        "rank": 0,
        "service_weights": (configuration.ServiceWeight(SERVICE, 1.0),),
        "max_attempts": 2,
        "allow_anonymous": False,
        "max_gap_seconds": 0.5,
    }
    return configuration.Route(**(fields | changes))


def make_organisation(**changes) -> configuration.Organisation:
    fields = {
        "name": "studio",
        "keys": ("key-1",),
        "rank": 1,
        "counts_tokens": True,
        "plain_tokens": 200,
        "rate": 1000.0,
        "burst": 500.0,
    }
    return configuration.Organisation(**(fields | changes))


def make_configuration(version=1, routes=None, organisations=None, **limits):
    return configuration.Configuration(
        version,
        [make_route()] if routes is None else routes,
        [configuration.Service(SERVICE, 2, 100, 0)],
        configuration.Limits(**limits),
        [make_organisation()] if organisations is None else organisations,
    )


def make_operator_config(**route_fields) -> dict:
    """Returns the operator's configuration, with fields of all routes changed.

    Args:
        **route_fields: fields of a route as the operator writes them.
    """
    config = operator_configuration.a_config()
    for route in config["routes"]:
        route |= route_fields
    return config


def make_short_gap_config(**route_fields) -> dict:
    """Returns one under which most of a second is far too long a silence.

    Args:
        **route_fields: as in `make_operator_config`.
    """
    short = {"timeout_ms": 4000, "target_latency_ms": 200, "gap_aim_ms": 100}
    return make_operator_config(**(short | route_fields))


def make_facts(**changes) -> messages.RequestMetadata:
    fields = {
        "id": "a-1",
        "host": HOST,
        "path": "/brief/x",
        "key": "key-1",
        "caller_timeout_seconds": 5.0,
        "prompt_tokens": 100,
        "output_tokens": 20,
        "has_token_counts": True,
        "expected_tokens": 20,
        "last_event_id": "",
        "resumed_attempt": "",
    }
    return messages.RequestMetadata(**(fields | changes))


def make_events(first: int, last: int) -> bytes:
    """Returns the events of an endpoint stand-in with these numbers."""
    numbers = range(first, last + 1)
    return b"".join(endpoint_standin.event(number) for number in numbers)


def make_settings(**changes) -> settings.Settings:
    fields = {
        "instance": "gate-0",
        "failure_domain": "north",
        "host": "127.0.0.1",
        "front_address": "127.0.0.1:8221",
        "ready_address": "127.0.0.1:8224",
        "peer_port": 7600,
        "store_address": "127.0.0.1:8225",
        "revoke_seconds": 5.0,
        "grace_seconds": 6.0,
        "retry_ratio": 0.2,
        "retry_slack": 100.0,
        "retry_window_seconds": 10.0,
        "quota_window_seconds": 8.0,
        "quota_ratio": 0.1,
        "quota_slack": 0.0,
    }
    return settings.Settings(**(fields | changes))
