"""Checks of guaranteed properties, made on observed events."""

import dataclasses

LEAVING_SECONDS = 3.0


class Violation(AssertionError):  # noqa: N818
    pass


@dataclasses.dataclass(slots=True)
class LeavingCheck:
    """No dispatch to a process over LEAVING_SECONDS after its first notice."""

    signs: dict = dataclasses.field(default_factory=dict)

    def sign(self, name, incarnation, at):
        self.signs.setdefault((name, incarnation), at)

    def dispatched(self, name, incarnation, at):
        first = self.signs.get((name, incarnation))
        if first is not None and at > first + LEAVING_SECONDS:
            raise Violation(f"{name} {incarnation} got work at {at}")


@dataclasses.dataclass(slots=True)
class VersionCheck:
    """Instances apply only newer versions, and each version has one text."""

    in_force: dict = dataclasses.field(default_factory=dict)
    texts: dict = dataclasses.field(default_factory=dict)

    def applied(self, instance, version, text):
        if version <= self.in_force.get(instance, 0):
            raise Violation(f"{instance} went back to {version}")
        self.in_force[instance] = version
        if self.texts.setdefault(version, text) != text:
            raise Violation(f"two texts of version {version}")
