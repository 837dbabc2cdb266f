"""Load generator for benchmarks: many streams, with each token timed."""

import array
import asyncio
from collections.abc import Iterator
import dataclasses
import itertools
import random
import re
import secrets
import time

import msgspec
import numpy

from cranberryglade.tools import processes

MILLISECONDS_PER_NANOSECOND = 1e-6
BYTES_PER_MEGABYTE = 1_000_000
END_EVENT = b"event: end\n"
LAST_CHUNK = b"0\r\n\r\n"
OK_STATUS_LINE = b"HTTP/1.1 200 "
TOKEN_TIMES = re.compile(rb'"at":(\d+),"after":(\d+)}\n')


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """The load to generate.

    Attributes:
        address: "host:port" of the daemon's interface for callers.
        token: the organisation's token.
        kind: kind of every request.
        rate: mean requests per second; the intervals are exponential.
        tokens: number of tokens in every answer.
        ramp_seconds: warm-up time before the measurement.
        seconds: duration of the measurement.
        pid: id of the process whose usage is measured; 0 for none.
        keyed: whether each request has an idempotency key of its own.
        seed: seed of the sending times.
    """

    address: str
    token: str
    kind: str
    rate: float
    tokens: int
    ramp_seconds: float
    seconds: float
    pid: int
    keyed: bool = False
    seed: int = 1


class Percentiles(msgspec.Struct):
    """Percentiles of a time in milliseconds."""

    p50: float
    p95: float
    p99: float


class Report(msgspec.Struct):
    """The measurements between the warm-up and the end.

    Attributes:
        requests_per_second: answers that began, per second.
        tokens_per_second: token events received, per second.
        streams: streams open at the end.
        whole: streams whose end marker matches the tokens received; those of
            the warm-up are included.
        failed: streams that ended otherwise; those of the warm-up are
            included.
        added_first_token_ms: time from sending the request to its first token,
            less the time inside the engine.
        added_token_ms: time from the engine's write of a token to its arrival.
        gap_ms: time between two tokens of a stream.
        cores: processor time of the daemon divided by elapsed time.
        resident_mb: resident memory of the daemon at the end, in millions of
            bytes.
        peak_mb: largest resident memory of the daemon, in millions of bytes.
    """

    requests_per_second: float
    tokens_per_second: float
    streams: int
    whole: int
    failed: int
    added_first_token_ms: Percentiles
    added_token_ms: Percentiles
    gap_ms: Percentiles
    cores: float = 0.0
    resident_mb: float = 0.0
    peak_mb: float = 0.0


class Samples:
    """Measurements of all streams, in nanoseconds.

    Attributes:
        measuring: whether times are recorded; false during the warm-up.
        first_token_ns: times to the first token, less the time inside the
            engine.
        token_delays_ns: times from the engine's write of a token to its
            arrival.
        token_gaps_ns: times between two tokens of a stream.
        complete: number of streams whose end marker matches the tokens
            received.
        failed: number of streams that ended otherwise.
    """

    __slots__ = (
        "failed",
        "first_token_ns",
        "token_gaps_ns",
        "token_delays_ns",
        "measuring",
        "complete",
    )

    def __init__(self):
        self.measuring = False
        self.first_token_ns = array.array("q")
        self.token_delays_ns = array.array("q")
        self.token_gaps_ns = array.array("q")
        self.complete = 0
        self.failed = 0


class Stream(asyncio.Protocol):
    """One connection of a caller; it carries one request at a time.

    Args:
        samples: receives the measurements.
        idle_streams: receives this stream when its answer has ended.
        open_streams: contains this stream while an answer is in progress.
    """

    __slots__ = (
        "_count",
        "_idle_streams",
        "_last_ns",
        "_open_streams",
        "_samples",
        "_sent_ns",
        "_partial",
        "_transport",
        "_complete",
    )

    def __init__(self, samples: Samples, idle_streams: list, open_streams: set):
        self._samples = samples
        self._idle_streams = idle_streams
        self._open_streams = open_streams

    def connection_made(self, transport) -> None:
        """Stores the transport."""
        self._transport = transport

    def connection_lost(self, _) -> None:
        """Counts an interrupted answer as failed."""
        if self in self._open_streams:
            self._open_streams.discard(self)
            self._samples.failed += 1

    def send(self, request: bytes) -> None:
        """Sends one request."""
        self._open_streams.add(self)
        self._count = 0
        self._partial = b""
        self._complete = False
        self._sent_ns = time.monotonic_ns()
        self._transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Records the token times and checks the end marker."""
        now_ns = time.monotonic_ns()
        if self._partial:
            data = self._partial + data
        self._partial = b""
        if not data.endswith((b"\r\n", b"}")):
            self._partial = data
            return
        for stamp in TOKEN_TIMES.finditer(data):
            self._record_token(now_ns, int(stamp[1]), int(stamp[2]))
        if END_EVENT in data:
            self._complete = b'"count":%d}' % self._count in data
        refused = data.startswith(b"HTTP/") and not data.startswith(
            OK_STATUS_LINE
        )
        if not refused and not data.endswith(LAST_CHUNK):
            return
        self._samples.complete += self._complete
        self._samples.failed += not self._complete
        self._open_streams.discard(self)
        self._idle_streams.append(self)

    def _record_token(self, now_ns: int, at_ns: int, after_ns: int) -> None:
        self._count += 1
        if self._samples.measuring:
            self._samples.token_delays_ns.append(now_ns - at_ns)
            if self._count == 1:
                self._samples.first_token_ns.append(
                    now_ns - self._sent_ns - after_ns
                )
            else:
                self._samples.token_gaps_ns.append(now_ns - self._last_ns)
        self._last_ns = now_ns


async def run(plan: Plan) -> Report:
    """Sends the load and returns the measurements."""
    samples = Samples()
    idle_streams: list[Stream] = []
    open_streams: set[Stream] = set()
    sender = asyncio.create_task(
        _send(plan, samples, idle_streams, open_streams)
    )
    await asyncio.sleep(plan.ramp_seconds)
    samples.measuring = True
    before = processes.usage(plan.pid) if plan.pid else None
    started = time.monotonic()
    await asyncio.sleep(plan.seconds)
    elapsed = time.monotonic() - started
    samples.measuring = False
    report = _build_report(samples, len(open_streams), elapsed)
    if before is not None:
        after = processes.usage(plan.pid)
        cpu_seconds = after.cpu_seconds - before.cpu_seconds
        report.cores = round(cpu_seconds / elapsed, 3)
        report.resident_mb = round(after.resident_bytes / BYTES_PER_MEGABYTE, 1)
        report.peak_mb = round(after.peak_bytes / BYTES_PER_MEGABYTE, 1)
    sender.cancel()
    return report


async def _send(plan, samples, idle_streams, open_streams) -> None:
    loop = asyncio.get_running_loop()
    host, _, port = plan.address.rpartition(":")
    requests = _encode_requests(plan)
    rng = random.Random(plan.seed)
    due = loop.time()
    while True:
        due += rng.expovariate(plan.rate)
        await asyncio.sleep(due - loop.time())
        if not idle_streams:
            _, stream = await loop.create_connection(
                lambda: Stream(samples, idle_streams, open_streams),
                host,
                int(port),
            )
        else:
            stream = idle_streams.pop()
        stream.send(next(requests))


def _encode_requests(plan: Plan) -> Iterator[bytes]:
    body = msgspec.json.encode(
        {
            "kind": plan.kind,
            "prompt": "How many litres of paint for forty square metres?",
            "max_tokens": plan.tokens,
            "deadline_ms": 600_000,
            "stream": True,
        }
    )
    head = (
        f"POST /v1/requests HTTP/1.1\r\nHost: {plan.address}\r\n"
        f"Authorization: Bearer {plan.token}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    ).encode()
    prefix = secrets.token_hex(4)
    for number in itertools.count():
        key = f"Idempotency-Key: {prefix}-{number}\r\n" if plan.keyed else ""
        yield head + key.encode() + b"\r\n" + body


def _build_report(samples: Samples, streams: int, elapsed: float) -> Report:
    return Report(
        requests_per_second=round(len(samples.first_token_ns) / elapsed, 1),
        tokens_per_second=round(len(samples.token_delays_ns) / elapsed, 1),
        streams=streams,
        whole=samples.complete,
        failed=samples.failed,
        added_first_token_ms=_percentiles(samples.first_token_ns),
        added_token_ms=_percentiles(samples.token_delays_ns),
        gap_ms=_percentiles(samples.token_gaps_ns),
    )


def _percentiles(values: array.array) -> Percentiles:
    if not values:
        return Percentiles(0.0, 0.0, 0.0)
    percentiles = numpy.percentile(values, (50, 95, 99))
    return Percentiles(
        *(round(float(v) * MILLISECONDS_PER_NANOSECOND, 2) for v in percentiles)
    )
