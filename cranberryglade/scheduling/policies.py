"""The policies that a scheduler can follow, by name."""

from collections.abc import Callable
import dataclasses
from typing import Any

from cranberryglade.scheduling import placement
from cranberryglade.scheduling import queues
from cranberryglade.scheduling.baselines import arrivals
from cranberryglade.scheduling.baselines import spread
from cranberryglade.scheduling.baselines import thin


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """How one instance places requests.

    Attributes:
        name: what it is called on the command line.
        placement: makes what decides whether, where and when requests run.
        queue: makes the queue of one target.
    """

    name: str
    placement: Callable[..., Any]
    queue: Callable[[], Any]


PREDICTIVE = Policy("predictive", placement.Placement, queues.Queue)

POLICIES = (
    Policy("round-robin", spread.RoundRobinPlacement, arrivals.ArrivalQueue),
    Policy(
        "least-outstanding",
        spread.LeastOutstandingPlacement,
        arrivals.ArrivalQueue,
    ),
    Policy("thin", thin.ThinPlacement, arrivals.ArrivalQueue),
    PREDICTIVE,
)


def named(name: str) -> Policy:
    """The policy of that name.

    Raises:
        KeyError: there is none.
    """
    return {policy.name: policy for policy in POLICIES}[name]
