"""Measures how processor time and memory grow with the size of the state.

Each quantity is measured in this process, on the code of the daemon itself, at
three or more sizes. Its slope is that of a least-squares line through the
measured values.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import gc
import itertools
import time
import tracemalloc

import msgspec
import numpy

from cranberryglade import configuration
from cranberryglade import exchanges
from cranberryglade import facts
from cranberryglade import metrics
from cranberryglade import verdicts
from cranberryglade.scheduling import answers
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler

SUBMISSIONS_PER_REPEAT = 500
REPEATS = 3
MICROSECONDS_PER_SECOND = 1e6
DISTANT_DEADLINE_SECONDS = 1e9
DOMAIN = "domain-1"
TARGET = "model-1"
TOKEN_DATA = b'{"text":"word "}'
ANSWER_TOKENS = 250
RANKS = 3
TIERS = 3
ORGANISATIONS = 250
INSTANCES_PER_DOMAIN = 43


class Slope(msgspec.Struct):
    """A quantity measured at several sizes, and the line fitted to it.

    Attributes:
        name: what was measured.
        unit: unit of the values.
        per: unit of the sizes.
        sizes: the sizes at which it was measured.
        values: the value measured at each size.
        slope: increase of the value per unit of size.
        base: value of the fitted line at size 0.
    """

    name: str
    unit: str
    per: str
    sizes: list[int]
    values: list[float]
    slope: float
    base: float


def measure(
    name: str,
    unit: str,
    per: str,
    sizes: tuple[int, ...],
    measure_at: Callable[[int], float],
) -> Slope:
    """Measures one quantity at each size and fits a line.

    Args:
        name: what is measured.
        unit: unit of the values.
        per: unit of the sizes.
        sizes: the sizes to measure at.
        measure_at: measures the quantity at one size.
    """
    values = [measure_at(size) for size in sizes]
    slope, base = numpy.polyfit(sizes, values, 1)
    return Slope(
        name,
        unit,
        per,
        list(sizes),
        [round(value, 3) for value in values],
        float(f"{slope:.4g}"),
        float(f"{base:.4g}"),
    )


def measure_all() -> Iterator[Slope]:
    """Measures the slopes one by one and yields each when it is done."""
    yield measure(
        "decision, by requests waiting",
        "us per event",
        "request waiting",
        (100, 1_000, 10_000, 100_000),
        _decision_by_waiting,
    )
    yield measure(
        "decision, by endpoints of a target",
        "us per event",
        "endpoint",
        (25, 100, 400),
        _decision_by_endpoints,
    )
    yield measure(
        "decision, by endpoints of a target that 43 instances share",
        "us per event",
        "endpoint",
        (100, 200, 400),
        _decision_by_shared_endpoints,
    )
    yield measure(
        "decision, by peers",
        "us per event",
        "peer",
        (3, 12, 43),
        _decision_by_peers,
    )
    yield measure(
        "decision, by organisations waiting",
        "us per event",
        "organisation",
        (1, 25, 250, 1_000),
        _decision_by_organisations,
    )
    yield measure(
        "report of a peer",
        "us per report",
        "peer",
        (3, 12, 43),
        _report_by_peers,
    )
    yield measure(
        "core, requests waiting",
        "bytes",
        "request waiting",
        (1_000, 4_000, 16_000),
        lambda n: _measure_bytes(lambda: _core_with_waiting(n)),
    )
    yield measure(
        "core, endpoints",
        "bytes",
        "endpoint",
        (25, 100, 400),
        lambda n: _measure_bytes(lambda: _make_core(n)),
    )
    yield measure(
        "core, peers",
        "bytes",
        "peer",
        (3, 12, 43),
        lambda n: _measure_bytes(lambda: _core_with_peers(n)),
    )
    yield measure(
        "configuration, organisations",
        "bytes",
        "organisation",
        (25, 250, 2_500),
        lambda n: _measure_bytes(lambda: _parse_configuration(n)),
    )
    yield measure(
        "configuration, reading",
        "us",
        "organisation",
        (25, 250, 2_500),
        lambda n: _measure_microseconds(lambda: _parse_configuration(n)),
    )
    yield measure(
        "answer, check and pass on",
        "us",
        "token",
        (1_000, 4_000, 16_000),
        lambda n: _measure_microseconds(lambda: asyncio.run(_relay_answer(n))),
    )
    yield measure(
        "answer, held",
        "bytes",
        "token",
        (1_000, 4_000, 16_000),
        lambda n: _measure_bytes(lambda: asyncio.run(_relay_answer(n))),
    )
    yield measure(
        f"kept answers of {ANSWER_TOKENS} tokens",
        "bytes",
        "answer",
        (500, 1_000, 2_000),
        lambda n: _measure_bytes(lambda: _keep_answers(n)),
    )
    yield measure(
        "tombstones",
        "bytes",
        "request ended",
        (1_000, 4_000, 16_000),
        lambda n: _measure_bytes(lambda: _core_after_requests(n, None)),
    )
    yield measure(
        "tombstones and kept facts",
        "bytes",
        "request ended",
        (1_000, 4_000, 8_000),
        lambda n: _measure_bytes(
            lambda: _core_after_requests(n, facts.FactLog(_make_metrics()))
        ),
    )


def _make_instance(number: int) -> messages.Peer:
    name = f"entry-{number}"
    return messages.Peer(name, f"i{number}", "127.0.0.1:9", DOMAIN)


def _make_endpoint(number: int, slots: int) -> messages.Endpoint:
    return messages.Endpoint(
        f"engine-{number}", "i1", "127.0.0.1:9", TARGET, DOMAIN, slots=slots
    )


def _make_request(number: int, organisations: int) -> messages.Request:
    return messages.Request(
        request_id=f"{DOMAIN}.entry-0.i0.{number}",
        organisation=f"organisation-{number % organisations}",
        kind="question",
        target=TARGET,
        rank=number % RANKS,
        idempotent=False,
        prompt_tokens=100,
        output_tokens=ANSWER_TOKENS,
        prefix="",
        deadline=DISTANT_DEADLINE_SECONDS,
        first_token_deadline=DISTANT_DEADLINE_SECONDS,
    )


def _make_core(endpoints: int, slots: int = 8) -> scheduler.Scheduler:
    core = scheduler.Scheduler(_make_instance(0))
    for number in range(endpoints):
        core.handle(messages.EndpointJoined(_make_endpoint(number, slots)), 0.0)
    return core


def _core_with_peers(count: int) -> scheduler.Scheduler:
    core = _make_core(8)
    for number in range(1, count + 1):
        core.handle(_make_report(number), 0.0)
    return core


def _make_report(number: int) -> messages.PeerReported:
    digest = messages.TargetDigest(TARGET, 0, number, 2, 1.0)
    return messages.PeerReported(_make_instance(number), (digest,))


def _core_with_waiting(
    count: int, endpoints: int = 8, organisations: int = ORGANISATIONS
) -> scheduler.Scheduler:
    core = _make_core(endpoints)
    _submit_all(core, count, organisations)
    return core


def _submit_all(
    core, count: int, organisations: int
) -> list[messages.Dispatch]:
    running = []
    for number in range(count):
        submitted = messages.Submitted(_make_request(number, organisations))
        running += _dispatches(core.handle(submitted, 0.0))
    return running


def _dispatches(actions) -> list[messages.Dispatch]:
    return [a for a in actions if isinstance(a, messages.Dispatch)]


def _event_microseconds(
    core: scheduler.Scheduler, waiting: int, organisations: int
) -> float:
    """Returns the processor time per event, in microseconds.

    One request is answered for each one submitted, so that the number of
    waiting requests stays the same. The best of REPEATS runs counts.
    """
    running = _submit_all(core, waiting, organisations)
    numbers = itertools.count(waiting)
    clock = itertools.count(1)
    best = DISTANT_DEADLINE_SECONDS
    for _ in range(REPEATS):
        started = time.process_time()
        events = 0
        for _ in range(SUBMISSIONS_PER_REPEAT):
            now = next(clock) * 0.001
            request = _make_request(next(numbers), organisations)
            running += _dispatches(
                core.handle(messages.Submitted(request), now)
            )
            events += 1
            if running:
                dispatch = running.pop(0)
                answered = messages.Answered(
                    dispatch.request_id, dispatch.attempt, ANSWER_TOKENS
                )
                running += _dispatches(core.handle(answered, now))
                events += 1
        best = min(best, (time.process_time() - started) / events)
    return best * MICROSECONDS_PER_SECOND


def _decision_by_waiting(count: int) -> float:
    return _event_microseconds(_make_core(8), count, ORGANISATIONS)


def _decision_by_endpoints(count: int) -> float:
    return _event_microseconds(_make_core(count), 4_000, ORGANISATIONS)


def _decision_by_shared_endpoints(count: int) -> float:
    core = _make_core(count)
    for number in range(1, INSTANCES_PER_DOMAIN):
        core.handle(_make_report(number), 0.0)
    return _event_microseconds(core, 1_000, ORGANISATIONS)


def _decision_by_peers(count: int) -> float:
    core = _core_with_peers(count)
    return _event_microseconds(core, 1_000, ORGANISATIONS)


def _decision_by_organisations(count: int) -> float:
    return _event_microseconds(_make_core(8), 4_000, count)


def _report_by_peers(count: int) -> float:
    core = _core_with_peers(count)

    def report() -> None:
        for number in range(1, count + 1):
            core.handle(_make_report(number), 1.0)

    return _measure_microseconds(report) / count


def _parse_configuration(organisations: int) -> configuration.Configuration:
    sections = ["[deployment]", "name = bench"]
    for number in range(TIERS):
        sections += [f"[tier tier-{number}]", f"rank = {number}"]
    for number in range(organisations):
        digest = f"{number:064x}"
        sections += [
            f"[organisation organisation-{number}]",
            f"token_sha256 = {digest}",
        ]
    return configuration.parse("\n".join(sections), 1).unwrap()


class _DiscardingWriter:
    def write(self, events: bytes) -> bool:
        del events
        return True


async def _relay_answer(tokens: int) -> exchanges.Exchange:
    exchange = exchanges.Exchange("r1", "organisation-1")
    check = answers.AnswerCheck("r1")
    relaying = asyncio.ensure_future(exchange.follow(_DiscardingWriter(), 0))
    await asyncio.sleep(0)
    for offset in range(tokens):
        exchange.append(check.feed(answers.token_event(offset, TOKEN_DATA)))
    exchange.finish(verdicts.Ran())
    await relaying
    return exchange


def _keep_answers(count: int) -> exchanges.Exchanges:
    kept = exchanges.Exchanges()
    for number in range(count):
        request_id = _make_request(number, 1).request_id
        exchange = kept.open(request_id, "organisation-1")
        for offset in range(ANSWER_TOKENS):
            exchange.append(answers.token_event(offset, TOKEN_DATA))
        kept.finish(request_id, verdicts.Ran())
    return kept


def _core_after_requests(count: int, log: facts.FactLog | None):
    core = _make_core(8)
    for number in range(count):
        submitted = messages.Submitted(_make_request(number, ORGANISATIONS))
        actions = core.handle(submitted, number * 0.001)
        for dispatch in _dispatches(actions):
            answered = messages.Answered(
                dispatch.request_id, dispatch.attempt, ANSWER_TOKENS
            )
            actions += core.handle(answered, number * 0.001)
        for fact in actions if log else ():
            if isinstance(fact, messages.Fact):
                log.add(fact)
    return core, log


def _make_metrics() -> metrics.Metrics:
    return metrics.Metrics("")


def _measure_bytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return float(size)


def _measure_microseconds(work: Callable[[], object]) -> float:
    best = DISTANT_DEADLINE_SECONDS
    for _ in range(REPEATS):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best * MICROSECONDS_PER_SECOND
