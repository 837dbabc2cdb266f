"""Stand-ins of the store and of an endpoint as processes of their own.

Run as `python -m cranberryglade.tests.memory_standins ROLE [ENDPOINT]`; the
process prints its address and serves until it is killed.
"""

import asyncio
import json
import sys

from cranberryglade.standins import endpoint_standin
from cranberryglade.standins import operator_configuration
from cranberryglade.standins import store

MAX_BODY_BYTES = 1_000_000
"""Largest legal body of a request."""

ANSWER_BYTES = 2_000_000
"""Body of the answer to a request for a large one."""

LARGE_TARGET = "/look/large"
"""Target of requests that get a large answer."""

IDLE_TIMEOUT_MS = 6000
"""Longest time that the body of a request may take."""

SLOTS = 200
"""Requests that the endpoint runs at once."""


def make_configuration() -> dict:
    """Returns the operator's configuration for a crowd of callers."""
    config = operator_configuration.a_config_with_long_routes(1, 20.0)
    config["limits"] |= {
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": IDLE_TIMEOUT_MS,
    }
    config["services"][0]["max_connections"] = 2 * SLOTS
    return config


async def serve_endpoint() -> str:
    """Starts an endpoint; returns its row."""
    endpoint = endpoint_standin.EndpointStandin("i-0")

    async def answer(received, reader, writer):
        body = b"ok"
        if received.target.startswith(LARGE_TARGET):
            body = bytes(ANSWER_BYTES)
        writer.write(endpoint.answer(received, body))
        await writer.drain()

    endpoint.default_behaviour = answer
    await endpoint.start()
    row = endpoint.entry(operator_configuration.SERVICE, slots=SLOTS)
    return json.dumps(row)


async def serve_store(endpoint_row: str) -> str:
    """Starts a store that lists an endpoint; returns its address."""
    standin = store.StoreStandin()
    standin.configure(make_configuration())
    standin.list_endpoint("i-0", json.loads(endpoint_row))
    return await standin.serve()


async def main() -> None:
    """Serves in the role that the arguments name."""
    match sys.argv[1:]:
        case ["endpoint"]:
            line = await serve_endpoint()
        case ["store", row]:
            line = await serve_store(row)
    print(line, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
