"""Whether a request can still be answered by its deadline."""

import dataclasses

from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools

MINIMUM_RETRY_SECONDS = 0.1


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
    run_seconds: float,
    now: float,
) -> Forecast:
    """Predicts the finish of a request in a pool with serving endpoints."""
    wait = pool.wait_seconds(pool.queue.work_before(request))
    late = max(0.0, now + wait + run_seconds - request.deadline)
    return Forecast(wait, run_seconds, late)


def book_return(
    pool: pools.Pool, rank: int, run_seconds: float, now: float
) -> float:
    """When a refused request should come back, in seconds from now.

    Each refusal books the time that its work takes, so that those who come
    back do not come together.
    """
    slots = max(1, pool.slots)
    drained = now + pool.queue.work_up_to(rank) / slots
    start = max(pool.booked_until, drained, now + MINIMUM_RETRY_SECONDS)
    pool.booked_until = start + run_seconds / slots
    return start - now
