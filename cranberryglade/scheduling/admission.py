"""Whether a request can still be answered by its deadline."""

import dataclasses

from cranberryglade.scheduling import estimates
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools

MINIMUM_RETRY_SECONDS = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class Forecast:
    """What is expected of a request if it is admitted now.

    Attributes:
        wait_seconds: time in the queue.
        run_seconds: time from dispatch to the whole answer.
        late_seconds: how far the answer would miss its deadline; 0 if not.
    """

    wait_seconds: float
    run_seconds: float
    late_seconds: float


def forecast(
    pool: pools.Pool,
    request: messages.Request,
    learnt: estimates.Estimates,
    now: float,
) -> Forecast:
    """Predicts the finish of a request in a pool with serving endpoints."""
    run = learnt.seconds(request)
    slots = sum(member.endpoint.slots for member in pool.serving)
    ahead = pool.queue.count_up_to(request.rank)
    wait = 0.0
    if pool.free_slots <= ahead:
        wait = (ahead + 1) * run / max(1, slots)
    late = max(0.0, now + wait + run - request.deadline)
    return Forecast(wait, run, late)
