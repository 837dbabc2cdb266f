"""What the decisions on slots have in common."""

import dataclasses

from cranberryglade.gateway import endpoint_group
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import slot_queue


@dataclasses.dataclass(slots=True, frozen=True)
class SlotTables:
    """Endpoints and waiting requests of an allocator.

    Attributes:
        states: the endpoints, by id.
        groups: the endpoints that do not leave, by service.
        queues: the waiting requests, by service.
        waiting: the waiting requests, by id.
    """

    states: dict[str, endpoint_states.EndpointState]
    groups: dict[str, endpoint_group.EndpointGroup]
    queues: dict[str, slot_queue.SlotQueue]
    waiting: dict[str, endpoint_states.QueuedRequest]
