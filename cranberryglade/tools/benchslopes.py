"""How processor time and memory grow with the size of the state.

Everything is measured in this process, on the code of the daemon itself, at
three or more sizes. The slope is a least-squares line through the sizes.
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

DECISIONS = 500
REPEATS = 3
MICROSECONDS = 1e6
FAR_SECONDS = 1e9
DOMAIN = "domain-1"
TARGET = "model-1"
TOKEN = b'{"text":"word "}'
ANSWER_TOKENS = 250
RANKS = 3
TIERS = 3
ORGANISATIONS = 250
DOMAIN_DAEMONS = 43


class Slope(msgspec.Struct):
    """One measured line.

    Attributes:
        name: what was measured.
        unit: unit of the values.
        per: unit of the sizes.
        sizes: the sizes measured.
        values: what was found at each.
        slope: growth of the value for each further one.
        base: value of the line at none.
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
    find: Callable[[int], float],
) -> Slope:
    """Measures one quantity at each size and fits a line."""
    values = [find(size) for size in sizes]
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


def all_slopes() -> Iterator[Slope]:
    """Measures one slope after another."""
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
        lambda n: _bytes(lambda: _waiting(n)),
    )
    yield measure(
        "core, endpoints",
        "bytes",
        "endpoint",
        (25, 100, 400),
        lambda n: _bytes(lambda: _core(n)),
    )
    yield measure(
        "core, peers",
        "bytes",
        "peer",
        (3, 12, 43),
        lambda n: _bytes(lambda: _with_peers(n)),
    )
    yield measure(
        "configuration, organisations",
        "bytes",
        "organisation",
        (25, 250, 2_500),
        lambda n: _bytes(lambda: _configuration(n)),
    )
    yield measure(
        "configuration, reading",
        "us",
        "organisation",
        (25, 250, 2_500),
        lambda n: _microseconds(lambda: _configuration(n)),
    )
    yield measure(
        "answer, check and pass on",
        "us",
        "token",
        (1_000, 4_000, 16_000),
        lambda n: _microseconds(lambda: asyncio.run(_passed_on(n))),
    )
    yield measure(
        "answer, held",
        "bytes",
        "token",
        (1_000, 4_000, 16_000),
        lambda n: _bytes(lambda: asyncio.run(_passed_on(n))),
    )
    yield measure(
        f"kept answers of {ANSWER_TOKENS} tokens",
        "bytes",
        "answer",
        (500, 1_000, 2_000),
        lambda n: _bytes(lambda: _kept(n)),
    )
    yield measure(
        "tombstones",
        "bytes",
        "request ended",
        (1_000, 4_000, 16_000),
        lambda n: _bytes(lambda: _ended(n, None)),
    )
    yield measure(
        "tombstones and kept facts",
        "bytes",
        "request ended",
        (1_000, 4_000, 8_000),
        lambda n: _bytes(lambda: _ended(n, facts.FactLog(_metrics()))),
    )


def _instance(number: int) -> messages.Peer:
    name = f"entry-{number}"
    return messages.Peer(name, f"i{number}", "127.0.0.1:9", DOMAIN)


def _endpoint(number: int, slots: int) -> messages.Endpoint:
    return messages.Endpoint(
        f"engine-{number}", "i1", "127.0.0.1:9", TARGET, DOMAIN, slots=slots
    )


def _request(number: int, organisations: int) -> messages.Request:
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
        deadline=FAR_SECONDS,
        first_token_deadline=FAR_SECONDS,
    )


def _core(endpoints: int, slots: int = 8) -> scheduler.Scheduler:
    core = scheduler.Scheduler(_instance(0))
    for number in range(endpoints):
        core.handle(messages.EndpointJoined(_endpoint(number, slots)), 0.0)
    return core


def _with_peers(count: int) -> scheduler.Scheduler:
    core = _core(8)
    for number in range(1, count + 1):
        core.handle(_report(number), 0.0)
    return core


def _report(number: int) -> messages.PeerReported:
    digest = messages.TargetDigest(TARGET, 0, number, 2, 1.0)
    return messages.PeerReported(_instance(number), (digest,))


def _waiting(
    count: int, endpoints: int = 8, organisations: int = ORGANISATIONS
) -> scheduler.Scheduler:
    core = _core(endpoints)
    _fill(core, count, organisations)
    return core


def _fill(core, count: int, organisations: int) -> list[messages.Dispatch]:
    running = []
    for number in range(count):
        submitted = messages.Submitted(_request(number, organisations))
        running += _dispatches(core.handle(submitted, 0.0))
    return running


def _dispatches(actions) -> list[messages.Dispatch]:
    return [a for a in actions if isinstance(a, messages.Dispatch)]


def _turnover(
    core: scheduler.Scheduler, waiting: int, organisations: int
) -> float:
    """Microseconds per event while as many come as are answered."""
    running = _fill(core, waiting, organisations)
    numbers = itertools.count(waiting)
    clock = itertools.count(1)
    best = FAR_SECONDS
    for _ in range(REPEATS):
        started = time.process_time()
        events = 0
        for _ in range(DECISIONS):
            now = next(clock) * 0.001
            request = _request(next(numbers), organisations)
            running += _dispatches(
                core.handle(messages.Submitted(request), now)
            )
            events += 1
            if running:
                done = running.pop(0)
                answered = messages.Answered(
                    done.request_id, done.attempt, ANSWER_TOKENS
                )
                running += _dispatches(core.handle(answered, now))
                events += 1
        best = min(best, (time.process_time() - started) / events)
    return best * MICROSECONDS


def _decision_by_waiting(count: int) -> float:
    return _turnover(_core(8), count, ORGANISATIONS)


def _decision_by_endpoints(count: int) -> float:
    return _turnover(_core(count), 4_000, ORGANISATIONS)


def _decision_by_shared_endpoints(count: int) -> float:
    core = _core(count)
    for number in range(1, DOMAIN_DAEMONS):
        core.handle(_report(number), 0.0)
    return _turnover(core, 1_000, ORGANISATIONS)


def _decision_by_peers(count: int) -> float:
    core = _with_peers(count)
    return _turnover(core, 1_000, ORGANISATIONS)


def _decision_by_organisations(count: int) -> float:
    return _turnover(_core(8), 4_000, count)


def _report_by_peers(count: int) -> float:
    core = _with_peers(count)

    def report() -> None:
        for number in range(1, count + 1):
            core.handle(_report(number), 1.0)

    return _microseconds(report) / count


def _configuration(organisations: int) -> configuration.Configuration:
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


class _Discard:
    def write(self, events: bytes) -> bool:
        del events
        return True


async def _passed_on(tokens: int) -> exchanges.Exchange:
    exchange = exchanges.Exchange("r1", "organisation-1")
    check = answers.AnswerCheck("r1")
    following = asyncio.ensure_future(exchange.pass_on(_Discard(), 0))
    await asyncio.sleep(0)
    for offset in range(tokens):
        exchange.append(check.feed(answers.token_event(offset, TOKEN)))
    exchange.finish(verdicts.Ran())
    await following
    return exchange


def _kept(count: int) -> exchanges.Exchanges:
    kept = exchanges.Exchanges()
    for number in range(count):
        request_id = _request(number, 1).request_id
        exchange = kept.open(request_id, "organisation-1")
        for offset in range(ANSWER_TOKENS):
            exchange.append(answers.token_event(offset, TOKEN))
        kept.finish(request_id, verdicts.Ran())
    return kept


def _ended(count: int, log: facts.FactLog | None):
    core = _core(8)
    for number in range(count):
        submitted = messages.Submitted(_request(number, ORGANISATIONS))
        actions = core.handle(submitted, number * 0.001)
        for sent in _dispatches(actions):
            answered = messages.Answered(
                sent.request_id, sent.attempt, ANSWER_TOKENS
            )
            actions += core.handle(answered, number * 0.001)
        for fact in actions if log else ():
            if isinstance(fact, messages.Fact):
                log.add(fact)
    return core, log


def _metrics() -> metrics.Metrics:
    return metrics.Metrics("")


def _bytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    held = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return float(size)


def _microseconds(work: Callable[[], object]) -> float:
    best = FAR_SECONDS
    for _ in range(REPEATS):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best * MICROSECONDS
