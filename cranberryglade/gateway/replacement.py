"""Decides when a silent attempt is replaced, and which of the two goes on.

Load pattern: sound endpoints pause for a second or two within an answer or
before it, most of all while every endpoint is full, so that no other has a
slot; stalled endpoints stay silent for good. Silence alone does not tell them
apart. So an attempt that may still succeed is kept until another endpoint has
shown that it goes on: by an event, a whole answer, or the end of a stream of
which nothing was left. A head alone shows nothing. As both must not work on it
for long, the silent attempt is given up at the latest 0.2 s after the request
was sent to the other endpoint: one that refuses later leaves neither. So
another endpoint is sought only when sound pauses are about to be over, unless
the caller would leave before that one could go on. Without another endpoint, a
silent attempt is not given up.

A plain request may be hedged before its attempt counts as silent: it may run
twice, so both attempts go on until one has the whole answer. If there is no
hedge, or it fails, the rules for silent attempts hold.
"""

import enum
import math

from cranberryglade.gateway import configuration

HEAD_SILENCE_FACTOR = 2.0
"""Least silence before an answer after which another endpoint is sought, in
target latencies."""

STREAM_SILENCE_FACTOR = 3.0
"""The least such silence between the parts of a stream, in longest gaps that
are on time."""

SOUND_PAUSE_SECONDS = 2.0
"""Longest pause of a sound endpoint within an answer."""

SLOT_SECONDS = 0.1
"""Time for a slot at another endpoint, if there is one, and for the way to it
and back."""

CALLER_GAP_SECONDS = 2.0
CALLER_GAP_TARGET_LATENCIES = 4.0
CALLER_GAP_FACTOR = 8.0
"""Callers leave a stream after the longest of these: a fixed time, a number of
target latencies, and a number of longest gaps that are on time."""

OVERLAP_SECONDS = 0.2
"""How long a silent attempt is kept after its request was sent to another
endpoint, whether or not that one has answered. Most refuse sooner, if they do.
Both must not work on it for more than twice as long."""

MIN_SEEK_PAUSE_SECONDS = 0.25
"""Least time from a refusal of another endpoint until one is sought again."""


class Step(enum.Enum):
    """What follows.

    Attributes:
        WAIT: nothing, until something happens or `due`.
        SEEK: another endpoint is sought, beside the silent attempt.
        KEEP: the attempt goes on, or has ended by itself; the other endpoint is
            not needed.
        SWITCH: the other attempt goes on; the silent one is given up.
    """

    WAIT = "wait"
    SEEK = "seek"
    KEEP = "keep"
    SWITCH = "switch"


class Replacement:
    """One silence of an attempt; performs no I/O.

    If both attempts send something, the earlier one goes on: what it sends
    follows what the caller has already, and nothing that it did is in vain.
    Times are seconds of the loop's clock.
    """

    __slots__ = (
        "_hedges",
        "_replaced",
        "_replace_at",
        "_lost",
        "_seek_at",
        "_seeking",
        "_sent_at",
        "_resumed",
    )

    def __init__(self, now: float, replace_at: float | None = None):
        """Begins when the silence has lasted so long that it is doubtful.

        Args:
            now: the present time.
            replace_at: when the silence will be doubtful, if a plain request
                is to be hedged until then; None if it is doubtful now.
        """
        self._hedges = replace_at is not None
        self._replace_at = now if replace_at is None else replace_at
        self._seek_at = now
        self._seeking = False
        self._sent_at = math.inf
        self._replaced = False
        self._resumed = False
        self._lost = False

    @property
    def hedges(self) -> bool:
        """Whether the other endpoint is sought, or runs, as a hedge."""
        return self._hedges

    @property
    def due(self) -> float:
        """When `step` is to be called again if nothing happens; may be inf."""
        if self._seeking:
            return self._sent_at + self._overlap_seconds
        return self._seek_at

    @property
    def _overlap_seconds(self) -> float:
        return math.inf if self._hedges else OVERLAP_SECONDS

    def resumed(self) -> None:
        """Records that the silent attempt went on."""
        self._resumed = True

    def lost(self) -> None:
        """Records that the silent attempt failed."""
        self._lost = True

    def sought(self) -> None:
        """Records that another endpoint is sought."""
        self._seeking = True

    def unavailable(self, pause_seconds: float, now: float) -> None:
        """Records that there is no other endpoint, or that it failed.

        Args:
            pause_seconds: time after which one may be sought again; inf if it
                may not.
            now: the present time.
        """
        self._seeking = False
        self._sent_at = math.inf
        self._replaced = False
        self._seek_at = now + max(MIN_SEEK_PAUSE_SECONDS, pause_seconds)
        # Why there is no hedge neither hastens nor delays a replacement.
        if self._hedges and now < self._replace_at and pause_seconds < math.inf:
            self._seek_at = self._replace_at
        self._hedges = False

    def sent(self, at: float) -> None:
        """Records when the request was sent to the other endpoint."""
        self._sent_at = at

    def replaced(self) -> None:
        """Records that the other endpoint goes on, or has ended its answer."""
        self._replaced = True

    def step(self, now: float) -> Step:
        """Returns what follows."""
        if self._resumed:
            return Step.KEEP
        sent = self._sent_at <= now
        if self._replaced or (self._lost and sent):
            return Step.SWITCH
        if self._lost:
            return Step.WAIT if self._seeking else Step.KEEP
        if sent and now >= self._sent_at + self._overlap_seconds:
            return Step.SWITCH
        if not self._seeking and now >= self._seek_at:
            return Step.SEEK
        return Step.WAIT


def silence_seconds(
    route: configuration.Route,
    begun: bool,
    left_seconds: float = math.inf,
    silent_seconds: float = 0.0,
) -> float | None:
    """Returns after which silence another endpoint is sought.

    Args:
        route: the route of the request.
        begun: whether the attempt has begun to answer.
        left_seconds: time left to the deadline of the request when the silence
            begins.
        silent_seconds: time for which the caller has got nothing by then.

    Returns:
        Seconds; None if the request must not be sent again.
    """
    if not route.kind.retryable:
        return None
    patience = left_seconds
    if route.kind.streams:
        caller_stays = caller_timeout_seconds(route) - silent_seconds
        patience = min(patience, caller_stays)
    least = HEAD_SILENCE_FACTOR * route.target_latency_seconds
    if begun:
        least = STREAM_SILENCE_FACTOR * route.max_gap_seconds
    latest = patience - proof_seconds(route)
    return max(least, min(SOUND_PAUSE_SECONDS - OVERLAP_SECONDS, latest))


def proof_seconds(route: configuration.Route) -> float:
    """Returns the time in which another endpoint shows that it goes on."""
    return SLOT_SECONDS + max(OVERLAP_SECONDS, route.target_latency_seconds)


def caller_timeout_seconds(route: configuration.Route) -> float:
    """Returns the silence in a stream after which callers leave it."""
    return max(
        CALLER_GAP_SECONDS,
        CALLER_GAP_TARGET_LATENCIES * route.target_latency_seconds,
        CALLER_GAP_FACTOR * route.max_gap_seconds,
    )
