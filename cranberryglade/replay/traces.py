r"""Traces of requests, endpoints and faults: one JSON object on each line.

Every line has a "type"; one line is the header, written first. Times are
seconds since the start of the trace. docs/traces.md describes the fields.

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
    """Base of all lines; the class name in lower case is the "type"."""


class Header(Line, kw_only=True):
    """First line of a trace.

    Attributes:
        name: what the trace shows.
        version: version of the format.
        failure_domain: failure domain of all its instances and endpoints.
        instances: number of entry instances.
        hop_seconds: one-way latency between instances, or to an endpoint.
        report_lag_seconds: age of a load report on arrival.
        digest_seconds: period of the digests between instances.
        list_lag_seconds: delay after which the platform's list shows a change.
        capacity: offered work divided by the capacity of the endpoints.
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
    """An endpoint that is present from the start or joins later.

    Attributes:
        at: when it joins.
        name: name of the endpoint.
        target: the model or service it offers.
        generation: hardware generation.
        slots: number of requests that it declares to run at once.
        factor: its step time divided by that of `speed`; above 1 is slower.
        speed: parameters of its engine model.
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
        organisation: organisation of the caller.
        kind: name of its rule in the configuration.
        target: the model or service that answers it.
        rank: rank of the tier; 0 is the highest.
        idempotent: whether it may run more than once.
        keyed: whether the caller sent an idempotency key.
        prompt_tokens: length of the prompt.
        max_tokens: upper bound on the answer; 0 for a plain service.
        output_tokens: actual length of the answer.
        prefix: name of the shared prefix of the prompt; empty if none.
        prefix_tokens: length of the shared prefix.
        deadline_seconds: time limit of the whole answer, from `at`.
        first_token_seconds: time limit of the first token, from `at`.
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
    """A fault, or the end of one, that the replay injects.

    Attributes:
        at: when it happens.
        fault: "slow", "leaving", "died", "instance_died", "platform_down"
            or "platform_up".
        subject: name of the endpoint or instance; empty for the platform.
        factor: for "slow", factor on the endpoint's step time from then on; 1
            ends the fault.
        scene: name of the group of faults that are replayed together or not at
            all.
    """

    at: float
    fault: str
    subject: str = ""
    factor: float = 1.0
    scene: str = ""


class Trace(msgspec.Struct, frozen=True):
    """A whole trace.

    Attributes:
        header: the header line.
        endpoints: endpoints in the order in which they join.
        requests: requests in the order of arrival.
        faults: faults in the order of time.
    """

    header: Header
    endpoints: list[Endpoint]
    requests: list[Request]
    faults: list[Fault]

    @property
    def scenes(self) -> list[str]:
        """Sorted names of the scenes of its faults."""
        return sorted({fault.scene for fault in self.faults})

    def with_scenes(self, scenes: set[str]) -> "Trace":
        """Returns the trace with only the faults of the given scenes."""
        kept = [fault for fault in self.faults if fault.scene in scenes]
        return msgspec.structs.replace(self, faults=kept)

    @property
    def duration_seconds(self) -> float:
        """Arrival time of the last request, in seconds; 0 without requests."""
        return self.requests[-1].at if self.requests else 0.0


def encode(line: Line) -> bytes:
    """Encodes one line, without its newline."""
    return msgspec.json.encode(line)


def decode(data: bytes) -> Line:
    """Decodes one line.

    Raises:
        msgspec.MsgspecError: the line does not follow the format.
    """
    return msgspec.json.decode(data, type=Header | Endpoint | Request | Fault)


def read(path: pathlib.Path) -> Trace:
    """Reads a trace from a file.

    Raises:
        ValueError: a line does not follow the format, or the file does not have
            exactly one header, of the supported version.
    """
    parts = {Header: [], Endpoint: [], Request: [], Fault: []}
    for number, data in enumerate(path.read_bytes().splitlines(), 1):
        try:
            line = decode(data)
        except msgspec.MsgspecError as error:
            raise ValueError(f"{path}, line {number}: {error}") from error
        parts[type(line)].append(line)
    if len(parts[Header]) != 1 or parts[Header][0].version != FORMAT_VERSION:
        raise ValueError(
            f"{path}: expected one header of version {FORMAT_VERSION}"
        )
    by_time = operator.attrgetter("at")
    return Trace(
        parts[Header][0],
        sorted(parts[Endpoint], key=by_time),
        sorted(parts[Request], key=by_time),
        sorted(parts[Fault], key=by_time),
    )


def write(path: pathlib.Path, trace: Trace) -> None:
    """Writes a trace to a file."""
    lines = [
        trace.header,
        *trace.endpoints,
        *trace.faults,
        *trace.requests,
    ]
    path.write_bytes(b"".join(encode(line) + b"\n" for line in lines))


def core_endpoint(line: Endpoint, failure_domain: str) -> messages.Endpoint:
    """Returns the scheduler core's record of an endpoint of a trace."""
    return messages.Endpoint(
        line.name,
        f"{line.name}-1",
        "127.0.0.1:1",
        line.target,
        failure_domain,
        generation=line.generation,
        slots=line.slots,
    )
