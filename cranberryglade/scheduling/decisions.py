"""What one event has led to so far."""

from cranberryglade.scheduling import messages


class Decisions:
    """Collects the actions and facts that follow from one event."""

    __slots__ = ("_actions", "_now")

    def __init__(self):
        self._actions: list[messages.Action] = []
        self._now = 0.0

    @property
    def now(self) -> float:
        """Time of the event in seconds."""
        return self._now

    def begin(self, now: float) -> None:
        """Starts afresh for an event at that time."""
        self._now = now
        self._actions = []

    def take(self) -> list[messages.Action]:
        """Returns what has been collected."""
        return self._actions

    def act(self, action: messages.Action) -> None:
        """Adds an action."""
        self._actions.append(action)

    def note(
        self,
        request_id: str,
        decision: str,
        reason: str,
        subject: str = "",
        measures: tuple[messages.Measure, ...] = (),
    ) -> None:
        """Adds a fact about a decision."""
        self._actions.append(
            messages.Fact(
                self._now, request_id, decision, reason, subject, measures
            )
        )
