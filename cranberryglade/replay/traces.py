r"""Traces of requests, endpoints and faults: one JSON object on each line.

Every line has a "type"; the first is the header. Times are seconds since the
start of the trace. docs/traces.md describes the fields.

>>> line = encode(Fault(at=2.0, fault="leaving", subject="e1"))
>>> decode(line)
Fault(at=2.0, fault='leaving', subject='e1', factor=1.0, scene='')
"""

import operator
import pathlib

import msgspec

from cranberryglade.scheduling import messages
from cranberryglade.standins import model

FORMAT_VERSION = 1


class Line(
    msgspec.Struct,
    tag_field="type",
    tag=str.lower,
    forbid_unknown_fields=True,
    omit_defaults=True,
    kw_only=True,
):
    """Base of all lines."""


class Header(Line, kw_only=True):
    """First line of a trace.

    Attributes:
        name: what the trace shows.
        version: version of the format.
        failure_domain: where everything in it stands.
        instances: how many entry instances took part.
        hop_seconds: one way between instances, or to an endpoint.
        report_lag_seconds: age of a load report on arrival.
        digest_seconds: period of the digests between instances.
        list_lag_seconds: how late the platform's list is.
        capacity: offered work divided by what the endpoints can do.
    """

    name: str
    version: int = FORMAT_VERSION
    failure_domain: str = "domain-a"
    instances: int = 1
    hop_seconds: float = 0.001
    report_lag_seconds: float = 0.5
    digest_seconds: float = 0.25
    list_lag_seconds: float = 2.0
    capacity: float = 0.0


class Endpoint(Line, kw_only=True):
    """An endpoint that is live from the start or joins later.

    Attributes:
        at: when it joins.
        name: its name.
        target: the model or service it offers.
        generation: hardware generation.
        slots: requests it is said to run at once.
        factor: how much slower than `speed` it is.
        speed: figures of its engine model.
    """

    at: float = 0.0
    name: str
    target: str
    generation: str = "g1"
    slots: int = 8
    factor: float = 1.0
    speed: model.Speed = model.Speed()


class Request(Line, kw_only=True):
    """A request as a caller sent it.

    Attributes:
        at: when it arrived.
        request_id: unique in the trace.
        organisation: who asked.
        kind: rule of the configuration.
        target: the model or service wanted.
        rank: rank of the tier; 0 is the highest.
        idempotent: whether it may run more than once.
        keyed: whether the caller brought an idempotency key.
        prompt_tokens: length of the prompt.
        max_tokens: bound on the answer; 0 for a plain service.
        output_tokens: true length of the answer.
        prefix: name of the shared part of the prompt.
        prefix_tokens: length of the shared part.
        deadline_seconds: time for the whole answer.
        first_token_seconds: time for the first token.
    """

    at: float
    request_id: str
    organisation: str
    kind: str
    target: str
    rank: int
    idempotent: bool = False
    keyed: bool = False
    prompt_tokens: int
    max_tokens: int
    output_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0
    deadline_seconds: float
    first_token_seconds: float


class Fault(Line, kw_only=True):
    """Something that goes wrong.

    Attributes:
        at: when.
        fault: "slow", "leaving", "died", "instance_died", "platform_down"
            or "platform_up".
        subject: the endpoint, or the number of the instance.
        factor: for "slow", how much slower the endpoint is from then on.
        scene: faults of one scene are replayed together or not at all.
    """

    at: float
    fault: str
    subject: str = ""
    factor: float = 1.0
    scene: str = ""


class Trace(msgspec.Struct, frozen=True):
    """A whole trace, each part in order of time."""

    header: Header
    endpoints: list[Endpoint]
    requests: list[Request]
    faults: list[Fault]

    @property
    def scenes(self) -> list[str]:
        """Names of the scenes of its faults."""
        return sorted({fault.scene for fault in self.faults})

    def only(self, scenes: set[str]) -> "Trace":
        """The same trace with the faults of these scenes alone."""
        kept = [fault for fault in self.faults if fault.scene in scenes]
        return msgspec.structs.replace(self, faults=kept)

    @property
    def seconds(self) -> float:
        """When the last request arrives."""
        return self.requests[-1].at if self.requests else 0.0


def encode(line: Line) -> bytes:
    """Writes one line, without its newline."""
    return msgspec.json.encode(line)


def decode(data: bytes) -> Line:
    """Reads one line.

    Raises:
        msgspec.MsgspecError: the line is not of the format.
    """
    return msgspec.json.decode(data, type=Header | Endpoint | Request | Fault)


def read(path: pathlib.Path) -> Trace:
    """Reads a trace.

    Raises:
        ValueError: a line is not of the format, or there is no header.
    """
    parts = {Header: [], Endpoint: [], Request: [], Fault: []}
    for number, data in enumerate(path.read_bytes().splitlines(), 1):
        try:
            line = decode(data)
        except msgspec.MsgspecError as error:
            raise ValueError(f"{path}, line {number}: {error}") from error
        parts[type(line)].append(line)
    if len(parts[Header]) != 1 or parts[Header][0].version != FORMAT_VERSION:
        raise ValueError(f"{path}: one header of version {FORMAT_VERSION}")
    in_time = operator.attrgetter("at")
    return Trace(
        parts[Header][0],
        sorted(parts[Endpoint], key=in_time),
        sorted(parts[Request], key=in_time),
        sorted(parts[Fault], key=in_time),
    )


def write(path: pathlib.Path, trace: Trace) -> None:
    """Writes a trace."""
    lines = [
        trace.header,
        *trace.endpoints,
        *trace.faults,
        *trace.requests,
    ]
    path.write_bytes(b"".join(encode(line) + b"\n" for line in lines))


def core_endpoint(line: Endpoint, failure_domain: str) -> messages.Endpoint:
    """The endpoint as the scheduler core is told of it."""
    return messages.Endpoint(
        line.name,
        f"{line.name}-1",
        "127.0.0.1:1",
        line.target,
        failure_domain,
        generation=line.generation,
        slots=line.slots,
    )
