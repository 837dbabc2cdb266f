"""Scheduling policies by name."""

from collections.abc import Callable
import dataclasses
from typing import Any

from cranberryglade.scheduling import placement
from cranberryglade.scheduling import queues
from cranberryglade.scheduling.baselines import arrival_queue
from cranberryglade.scheduling.baselines import immediate
from cranberryglade.scheduling.baselines import thin


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """The classes with which an instance queues and places requests.

    Attributes:
        name: name on the command line.
        make_placement: factory of the object that decides whether, where and
            when requests run.
        make_queue: factory of the queue of one target.
    """

    name: str
    make_placement: Callable[..., Any]
    make_queue: Callable[[], Any]


PREDICTIVE = Policy("predictive", placement.Placement, queues.Queue)

POLICIES = (
    Policy(
        "round-robin", immediate.RoundRobinPlacement, arrival_queue.ArrivalQueue
    ),
    Policy(
        "least-outstanding",
        immediate.LeastOutstandingPlacement,
        arrival_queue.ArrivalQueue,
    ),
    Policy("thin", thin.ThinPlacement, arrival_queue.ArrivalQueue),
    PREDICTIVE,
)


def get_policy(name: str) -> Policy:
    """Returns the policy with a name.

    Raises:
        KeyError: no policy has that name.
    """
    return {policy.name: policy for policy in POLICIES}[name]
