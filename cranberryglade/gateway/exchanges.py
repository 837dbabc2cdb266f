"""A request on its way to its final answer."""

import asyncio
import dataclasses

from cranberryglade.gateway import admission
from cranberryglade.gateway import events
from cranberryglade.gateway import messages
from cranberryglade.gateway import responding
from cranberryglade.gateway import sending


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request on its way.

    Attributes:
        request: as it was read.
        facts: what its headers say.
        admitted: how it shall be served.
        responder: where its answer goes.
        deadline: when its final answer is due, seconds of the loop's clock.
        arrived: when it was read, same clock.
        cutter: cuts its stream.
        sends: endpoints that it was sent to, in order.
        tried: endpoints that it shall not be sent to again.
        asked: whether its cost has been counted.
        sent: whether it is on its way to an endpoint.
        ran: whether an earlier attempt may have run.
        spare: a failure answer to pass on if nothing better comes.
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
        """Whether an endpoint may have started it, or may yet."""
        return self.sent or self.ran

    @property
    def left(self) -> float:
        """Seconds until the final answer is due."""
        return self.deadline - asyncio.get_running_loop().time()


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """How a request ended.

    Attributes:
        status: of the answer; 0 if the connection was broken.
        reason: why, in one word.
    """

    status: int
    reason: str
