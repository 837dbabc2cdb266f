"""Checks the limits of rollouts against what endpoints observed."""

from collections.abc import Iterator

from cranberryglade.soak import observations

BAD_ANSWERS = 50
"""Bad answers after which the time until the last request is limited."""

ARRIVAL_SLACK_SECONDS = 0.2
"""Time from the sending of a request until the soak has recorded it."""


def find(
    history: observations.History, bounds: observations.Bounds
) -> Iterator[tuple[str, str]]:
    """Yields the broken limits, as name of the guarantee and detail."""
    for each in history.rollouts:
        if each.ended > each.due:
            detail = f"status {each.state!r} at the end of the period"
            yield "rollout end", detail
        if each.is_bad:
            yield from _check_exposure(each, history, bounds)
            yield from _check_rollback(each, history, bounds)


def _check_exposure(
    rollout: observations.Rollout,
    history: observations.History,
    bounds: observations.Bounds,
) -> Iterator[tuple[str, str]]:
    within = [
        each
        for each in history.arrivals
        if rollout.ordered <= each.at <= rollout.due
    ]
    requests = len({each.id for each in within})
    exposed = sum(each.endpoint in rollout.endpoints for each in within)
    if exposed > bounds.exposure_share * requests + bounds.exposure_slack:
        detail = f"{exposed} of {requests} requests at a bad version"
        yield "exposure", detail


def _check_rollback(
    rollout: observations.Rollout,
    history: observations.History,
    bounds: observations.Bounds,
) -> Iterator[tuple[str, str]]:
    exposed = [
        each for each in history.arrivals if each.endpoint in rollout.endpoints
    ]
    # Crashes are due to a prompt, not to the version.
    bad = sorted(
        each.ended
        for each in exposed
        if each.fault not in ("", observations.CRASH)
    )
    if len(bad) < BAD_ANSWERS:
        return
    found = bad[BAD_ANSWERS - 1]
    last = max(each.at for each in exposed)
    if last > found + bounds.rollback_seconds + ARRIVAL_SLACK_SECONDS:
        detail = f"a request {last - found:.2f} s after {BAD_ANSWERS} bad ones"
        yield "rollback", detail
