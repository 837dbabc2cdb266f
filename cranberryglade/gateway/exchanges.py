"""State of a request from its admission to its final answer."""

import asyncio
import dataclasses

from cranberryglade.gateway import admission
from cranberryglade.gateway import events
from cranberryglade.gateway import messages
from cranberryglade.gateway import responding
from cranberryglade.gateway import sending


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request in progress.

    Attributes:
        request: the request as it was read.
        facts: its decoded headers.
        admitted: its route, organisation, rank and cost.
        responder: writes its answer.
        deadline: when its final answer is due, seconds of the loop's clock.
        arrived: when its last byte was read, seconds of the loop's clock.
        cutter: splits its stream into whole events.
        sends: ids of the endpoints that it was sent to, in order.
        tried: ids of the endpoints that it must not be sent to again.
        asked: whether its cost was part of an earlier slot request.
        sent: whether an attempt is in progress.
        ran: whether an earlier attempt may have run.
        spare: the last failure answer, relayed if no later attempt succeeds.
        waited: seconds spent waiting for slots.
    """

    request: messages.Request
    facts: messages.Facts
    admitted: admission.Admitted
    responder: responding.Responder
    deadline: float
    arrived: float
    cutter: events.EventCutter
    sends: list[str] = dataclasses.field(default_factory=list)
    tried: list[str] = dataclasses.field(default_factory=list)
    asked: bool = False
    sent: bool = False
    ran: bool = False
    spare: sending.Answer | None = None
    waited: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run it, or may still run it."""
        return self.sent or self.ran

    @property
    def left(self) -> float:
        """Seconds until the final answer is due."""
        return self.deadline - asyncio.get_running_loop().time()


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """How a request ended.

    Attributes:
        status: HTTP status of the answer; 0 if the connection was closed
            without a whole answer.
        reason: why, for logs and metrics.
    """

    status: int
    reason: str
