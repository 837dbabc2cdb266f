"""A request together with the data needed to send it on."""

import dataclasses

from cranberryglade import wire
from cranberryglade.scheduling import messages


@dataclasses.dataclass(slots=True, frozen=True)
class Submission:
    """A request, with the data that the scheduler core does not use.

    Attributes:
        request: what the core bases its decisions on.
        document: the message that the caller sent.
        span: tracing span of the hop that received it.
    """

    request: messages.Request
    document: wire.RequestDocument
    span: object
