"""Software versions that get no slots at present."""

import dataclasses

NO_VERSIONS: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class Bars:
    """Versions of one service that get no slots.

    Attributes:
        any_version: for requests that any version may run.
        all_requests: for all requests, also those that resume a stream which
            the version began.
    """

    any_version: frozenset[str] = NO_VERSIONS
    all_requests: frozenset[str] = NO_VERSIONS

    @property
    def is_empty(self) -> bool:
        """Whether all versions get slots."""
        return not self.any_version and not self.all_requests


NO_BARS = Bars()


def bar(versions: frozenset[str]) -> Bars:
    """Returns bars of some versions for all requests."""
    return Bars(versions, versions)
