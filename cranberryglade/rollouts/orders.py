"""Orders of rollouts, and what is stored of their state."""

import dataclasses
import enum


class State(enum.Enum):
    """State of a rollout, as others are told."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Phase(enum.Enum):
    """Step of a running rollout.

    Attributes:
        CANARY: the new version gets a limited number of requests.
        PROMOTION: the new version gets all new requests; the old one drains.
    """

    CANARY = "canary"
    PROMOTION = "promotion"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An order to move the traffic of a service to a software version.

    Attributes:
        service: the service.
        version: the software version that is to serve it.
        period_seconds: time within which the rollout ends.
        id: tells this order from an earlier one for the same service, also
            after the store has come back from an old copy.
    """

    service: str
    version: str
    period_seconds: float
    id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Withdrawn:
    """No order exists for a service any more."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class Status:
    """The stored state of a service's latest rollout.

    Attributes:
        service: the service.
        state: the state that others act on.
        version: the new software version.
        order_id: id of the order; "" if another writer made the row.
        phase: step of a running rollout.
        began_ms: when it began, milliseconds of Unix time.
        requests: requests that reached the service since it began.
        reserved: grants of the new version that may have been made in the
            canary phase. They are stored before they are made.
    """

    service: str
    state: State
    version: str
    order_id: str = ""
    phase: Phase = Phase.CANARY
    began_ms: int = 0
    requests: int = 0
    reserved: int = 0

    def answers(self, order: Order) -> bool:
        """Returns whether it is the state of an order."""
        return (self.order_id, self.version) == (order.id, order.version)
