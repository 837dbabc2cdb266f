"""Extracts the history of one request from the logs of several instances."""

from collections.abc import Iterable
import dataclasses
import json

COMMON_FIELDS = ("event", "level", "timestamp", "instance", "module", "id")
MAXIMUM_CONTEXT_EVENTS = 12
"""Events of instances and endpoints shown up to the end of a request."""

CONTEXT_EVENTS = (
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
        timestamp: date and time in ISO 8601 form.
        instance: name of the instance that wrote it.
        event: name of the event.
        request_id: id of the request; "" if the event belongs to none.
        fields: the remaining fields of the line.
    """

    timestamp: str
    instance: str
    event: str
    request_id: str
    fields: dict

    def __str__(self) -> str:
        details = " ".join(
            f"{name}={value}" for name, value in self.fields.items()
        )
        clock = self.timestamp[11:23]
        return f"{clock} {self.instance:20} {self.event:24} {details}".rstrip()


def parse(texts: Iterable[str]) -> list[Line]:
    r"""Parses log lines and sorts them by timestamp.

    Text before the JSON object of a line is ignored, and so is a line without
    an event.

    >>> lines = parse(['0.5 a {"event": "started", "instance": "a"}\n', "x"])
    >>> [line.event for line in lines]
    ['started']
    """
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            decoded = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(decoded, dict) and "event" in decoded:
            lines.append(_parse_line(decoded))
    return sorted(lines, key=lambda line: line.timestamp)


def request_history(lines: list[Line], request: str) -> list[Line]:
    """Returns the lines of one request with the events that may explain them.

    These are the last MAXIMUM_CONTEXT_EVENTS events of its instances and
    endpoints before it ended.
    """
    request_lines = [line for line in lines if line.request_id == request]
    if not request_lines:
        return []
    endpoints = set()
    for line in request_lines:
        endpoints.update(line.fields.get("endpoints", ()))
        if "endpoint" in line.fields:
            endpoints.add(line.fields["endpoint"])
    instances = {line.instance for line in request_lines}
    end = request_lines[-1].timestamp
    context = [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS
        and not line.request_id
        and line.timestamp <= end
        and _is_relevant(line, instances, endpoints)
    ]
    return sorted(
        [*context[-MAXIMUM_CONTEXT_EVENTS:], *request_lines],
        key=lambda line: line.timestamp,
    )


def _is_relevant(line: Line, instances: set[str], endpoints: set[str]) -> bool:
    if line.fields.get("endpoint") in endpoints:
        return True
    return line.instance in instances and "endpoint" not in line.fields


def _parse_line(decoded: dict) -> Line:
    fields = {
        name: value
        for name, value in decoded.items()
        if name not in COMMON_FIELDS
    }
    return Line(
        timestamp=str(decoded.get("timestamp", "")),
        instance=str(decoded.get("instance", "")),
        event=str(decoded["event"]),
        request_id=str(decoded.get("id", "")),
        fields=fields,
    )
