"""Contents of the row with a rollout's status."""

import msgspec
from returns.result import Result

from cranberryglade import decoding
from cranberryglade.rollouts import orders


class StatusRow(msgspec.Struct):
    """A rollout's status; operators read `state` and `to`.

    Attributes:
        state: whether it runs, or how it ended.
        to: the new software version.
        order: id of the order.
        phase: as in `orders.Phase`.
        began_ms: when it began, milliseconds of the store's clock.
        requests: requests of the service since then.
        reserved: grants of the new version that are reserved.
    """

    state: orders.State
    to: str
    order: str = ""
    phase: orders.Phase = orders.Phase.CANARY
    began_ms: decoding.Count = 0
    requests: decoding.Count = 0
    reserved: decoding.Count = 0


def encode(status: orders.Status) -> bytes:
    """Returns the contents of the row of a status."""
    return msgspec.json.encode(
        StatusRow(
            status.state,
            status.version,
            status.order_id,
            status.phase,
            status.began_ms,
            status.requests,
            status.reserved,
        )
    )


def decode(service: str, value: bytes) -> Result[orders.Status, str]:
    """Returns the status of a service's rollout, or why it is unreadable."""
    return decoding.from_json(value, StatusRow).map(
        lambda row: orders.Status(
            service,
            row.state,
            row.to,
            row.order,
            row.phase,
            row.began_ms,
            row.requests,
            row.reserved,
        )
    )
