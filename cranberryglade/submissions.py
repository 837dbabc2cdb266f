"""A request together with what only the shell needs of it."""

import dataclasses

from cranberryglade import wire
from cranberryglade.scheduling import messages


@dataclasses.dataclass(slots=True, frozen=True)
class Submission:
    """A request with all that the core does not need to know.

    Attributes:
        request: what the core decides about.
        document: what the caller sent.
        span: the span of the hop that brought it.
    """

    request: messages.Request
    document: wire.RequestDocument
    span: object
