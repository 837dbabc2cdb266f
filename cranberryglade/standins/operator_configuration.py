"""Builders of the configuration that an operator of the platform writes."""

SERVICE = "writers"
HOST = "example.test"
KEY = "key-1"
SECOND_KEY = "key-2"


def a_route(name, kind, **changes) -> dict:
    """Returns a route as an operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 2,
        "allow_anonymous": False,
        "stream_resume": False,
        "gap_aim_ms": 500,
    } | changes


def a_config(version=1, **changes) -> dict:
    """Returns a configuration as an operator writes it."""
    return {
        "version": version,
        "routes": [
            a_route("look", "idempotent"),
            a_route("pay", "non_idempotent"),
            a_route("write", "streaming", stream_resume=True),
            a_route("note", "streaming"),
        ],
        "services": [{"name": SERVICE, "max_connections": 100}],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 10_000,
            "header_timeout_ms": 300,
            "idle_timeout_ms": 1000,
        },
        "tenants": [
            {
                "name": "studio",
                "api_keys": [KEY],
                "priority": 1,
                "unit": "token_count",
                "plain_tokens": 10,
                "rate_per_s": 100000,
                "burst": 100000,
            }
        ],
    } | changes


def second_organisation(has_key: bool, rate: float, burst: float) -> dict:
    """Returns a second organisation, whose quota counts requests.

    Args:
        has_key: whether it has its key.
        rate: quota in requests per second.
        burst: requests that it may send at once.
    """
    return {
        "name": "shop",
        "api_keys": [SECOND_KEY] if has_key else [],
        "priority": 2,
        "unit": "",
        "rate_per_s": rate,
        "burst": burst,
    }


def a_config_with_long_routes(version: int, seconds: float) -> dict:
    """Returns a configuration whose routes have a time limit, in seconds."""
    config = a_config(version)
    for route in config["routes"]:
        route |= {
            "timeout_ms": int(seconds * 1000),
            "target_latency_ms": 200,
            "gap_aim_ms": 100,
        }
    return config
