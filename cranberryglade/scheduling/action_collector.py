"""Collection of the actions that follow from one event."""

from cranberryglade.scheduling import messages


class ActionCollector:
    """Collects the actions, facts included, that follow from one event."""

    __slots__ = ("_actions", "_now")

    def __init__(self):
        self._actions: list[messages.Action] = []
        self._now = 0.0

    @property
    def now(self) -> float:
        """Time of the current event in seconds."""
        return self._now

    def begin(self, now: float) -> None:
        """Clears the collection for a new event; `now` in seconds."""
        self._now = now
        self._actions = []

    def actions(self) -> list[messages.Action]:
        """Returns the actions collected since the event began."""
        return self._actions

    def add_action(self, action: messages.Action) -> None:
        """Adds an action."""
        self._actions.append(action)

    def add_fact(
        self,
        request_id: str,
        decision: str,
        reason: str,
        subject: str = "",
        measures: tuple[messages.Measure, ...] = (),
    ) -> None:
        """Adds a fact about a decision.

        Args:
            request_id: the request, or "" for facts about instances.
            decision: what was decided.
            reason: why.
            subject: endpoint or peer concerned, or "".
            measures: the numbers compared.
        """
        self._actions.append(
            messages.Fact(
                self._now, request_id, decision, reason, subject, measures
            )
        )
