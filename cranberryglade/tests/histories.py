"""Builders of histories in which a request is lost."""

from cranberryglade.soak import deployment
from cranberryglade.soak import guarantees
from cranberryglade.soak import losses
from cranberryglade.soak import observations

SENT = 10.0
ENDED = 10.5
"""When a lost request was sent and cut, in seconds."""


def a_lost_request(id_="s-1", **changes) -> observations.Submission:
    """Returns a request whose connection ended without an answer."""
    defaults = {
        "route": "look",
        "gateway": 0,
        "second_key": False,
        "sent": SENT,
        "written": SENT,
        "ended": ENDED,
    }
    return observations.Submission(id_, **(defaults | changes))


def an_arrival(id_="s-1", **changes) -> observations.Arrival:
    """Returns the arrival of a lost request at a sound endpoint."""
    defaults = {"endpoint": "i-0", "at": SENT + 0.1, "ended": ENDED}
    return observations.Arrival(id=id_, **(defaults | changes))


def a_served_request(id_: str, at: float) -> observations.Submission:
    """Returns a request that was answered within 0.1 s."""
    return a_lost_request(
        id_,
        sent=at,
        written=at,
        ended=at + 0.1,
        status=200,
        whole=True,
        sealed=True,
        body=id_.encode(),
    )


def a_history(
    *submissions: observations.Submission, arrivals=None, **periods
) -> observations.History:
    """Returns the history of requests.

    Args:
        *submissions: the requests.
        arrivals: their arrivals; one each at a sound endpoint by default.
        **periods: further fields of the history.
    """
    if arrivals is None:
        arrivals = [an_arrival(each.id) for each in submissions]
    return observations.History(
        submissions={each.id: each for each in submissions},
        arrivals=arrivals,
        **periods,
    )


def a_stop(begun: float, gateway: int = 0) -> observations.GatewayPeriod:
    """Returns a planned stop that took 1 s."""
    return observations.GatewayPeriod(gateway, begun, begun + 1.0)


def a_reload(begun: float, gateway: int = 0) -> observations.GatewayPeriod:
    """Returns the period of a SIGHUP."""
    due = begun + deployment.BOUNDS.apply_seconds
    return observations.GatewayPeriod(gateway, begun, due)


def a_change(begun: float) -> observations.Period:
    """Returns the period of a new configuration."""
    return observations.Period(begun, begun + deployment.CHANGE_SECONDS)


def clauses(history: observations.History) -> set[str]:
    """Returns the clauses about losses that a history breaks."""
    found = {loss.clause for loss in losses.find(history, deployment.BOUNDS)}
    violations = guarantees.check(history, deployment.BOUNDS)
    assert found <= {each.guarantee for each in violations}
    return found
