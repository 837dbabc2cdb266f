"""Forecasts for admission, and retry times of refused requests."""

import dataclasses

from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools

MINIMUM_RETRY_SECONDS = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Forecast:
    """Predicted times of a request that is admitted now, in seconds.

    Attributes:
        wait_seconds: time in the queue.
        run_seconds: time from dispatch to the complete answer.
        late_seconds: time from the deadline to the complete answer; 0 if the
            deadline is met.
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
    """Returns the predicted times of a request in a pool.

    Args:
        pool: a pool with serving endpoints.
        request: the request to be admitted.
        run_seconds: expected time from dispatch to the complete answer.
        now: current time in seconds.
    """
    wait = pool.wait_seconds(pool.queue.work_before(request))
    late = max(0.0, now + wait + run_seconds - request.deadline)
    return Forecast(wait, run_seconds, late)


def reserve_retry(
    pool: pools.Pool, rank: int, run_seconds: float, now: float
) -> float:
    """Returns after how many seconds a refused request should be retried.

    Each refusal books the slots for the duration of its work, so that refused
    requests do not return all at once.

    Args:
        pool: the pool that refused the request.
        rank: rank of the request's tier.
        run_seconds: expected run time of the request.
        now: current time in seconds.
    """
    slots = max(1, pool.slots)
    drained = now + pool.queue.work_up_to(rank) / slots
    start = max(pool.retries_booked_until, drained, now + MINIMUM_RETRY_SECONDS)
    pool.retries_booked_until = start + run_seconds / slots
    return start - now
