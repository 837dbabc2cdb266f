"""Finds the way of one request in the logs of several instances."""

from collections.abc import Iterable
import dataclasses
import json

SHOWN_LAST = ("event", "level", "timestamp", "instance", "module", "id")
LONGEST_STORY = 12
"""Events of instances and endpoints shown before a request ends."""

WORLD_EVENTS = (
    "started",
    "stopping",
    "stopped",
    "reload",
    "store.lost",
    "store.regained",
    "peer.lost",
    "peer.regained",
    "allocator.begun",
    "allocator.silent",
    "configuration.in_force",
    "endpoint.listed",
    "endpoint.removed",
    "endpoint.doubted",
    "log.dropped",
)


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One log line.

    Attributes:
        timestamp: time of day, ISO form.
        instance: who wrote it.
        event: what it tells.
        request: id of the request; "" if it is about none.
        fields: everything else.
    """

    timestamp: str
    instance: str
    event: str
    request: str
    fields: dict

    def __str__(self) -> str:
        told = " ".join(
            f"{name}={value}" for name, value in self.fields.items()
        )
        clock = self.timestamp[11:23]
        return f"{clock} {self.instance:20} {self.event:24} {told}".rstrip()


def read(texts: Iterable[str]) -> list[Line]:
    r"""Reads log lines; what stands before the JSON of a line is ignored.

    >>> lines = read(['0.5 a {"event": "started", "instance": "a"}\n', "x"])
    >>> [line.event for line in lines]
    ['started']
    """
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            found = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(found, dict) and "event" in found:
            lines.append(_line(found))
    return sorted(lines, key=lambda line: line.timestamp)


def way(lines: list[Line], request: str) -> list[Line]:
    """The lines of one request, with what its endpoints' events explain."""
    own = [line for line in lines if line.request == request]
    if not own:
        return []
    endpoints = set()
    for line in own:
        endpoints.update(line.fields.get("endpoints", ()))
        if "endpoint" in line.fields:
            endpoints.add(line.fields["endpoint"])
    instances = {line.instance for line in own}
    end = own[-1].timestamp
    before = [
        line
        for line in lines
        if line.event in WORLD_EVENTS
        and not line.request
        and line.timestamp <= end
        and _concerns(line, instances, endpoints)
    ]
    return sorted(
        [*before[-LONGEST_STORY:], *own], key=lambda line: line.timestamp
    )


def _concerns(line: Line, instances: set[str], endpoints: set[str]) -> bool:
    if line.fields.get("endpoint") in endpoints:
        return True
    return line.instance in instances and "endpoint" not in line.fields


def _line(found: dict) -> Line:
    fields = {
        name: value for name, value in found.items() if name not in SHOWN_LAST
    }
    return Line(
        timestamp=str(found.get("timestamp", "")),
        instance=str(found.get("instance", "")),
        event=str(found["event"]),
        request=str(found.get("id", "")),
        fields=fields,
    )
