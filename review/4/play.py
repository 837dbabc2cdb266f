"""An entry from another writer can't be read; then runners are replaced."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import lab

RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
KEY = "i9n73hh2b9wu3fexd9dn"
DRAIN_SECONDS = 2.0
RECOVERY_SECONDS = 12.0
PAUSE_SECONDS = 2.5
LINGER_SECONDS = 6.0
NESTED_LISTS = 3000


async def send(case, gateway, log):
    """Sends a request on a new channel."""
    attempt = lab.attempt_id()
    sent_at = time.monotonic()
    try:
        answer = await asyncio.wait_for(
            lab.call(
                gateway.front,
                "GET",
                "/stock/2f",
                lab.request_headers(attempt, KEY)[1:],
            ),
            3.0,
        )
        status = answer.status
    except (OSError, ValueError, TimeoutError, EOFError) as error:
        status = type(error).__name__
    log.append((sent_at, attempt, gateway.name, status))


async def play(case):
    service = "commission-desk"
    old = [await case.add_runner(f"i-old-{n}", service) for n in range(2)]
    case.store.put_json(
        "op",
        "config",
        lab.manifest(
            1,
            [lab.route("stock", "idempotent", service)],
            [service],
            [lab.tenant("hule930", [KEY])],
        ),
    )
    await case.start_gateways(2)
    await asyncio.sleep(4.0)
    if lab.TROUBLE:
        foreign = b'{"service":"commission-desk","hints":' + b"[" * NESTED_LISTS
        case.store.put("servers", "x-1", foreign)
        case.record.write(
            "an entry that can't be read was written: servers/x-1"
        )
    log = []
    for _ in range(2):
        for gateway in case.gateways:
            await send(case, gateway, log)
        await asyncio.sleep(1.0)
    lab.require(all(status == 200 for *_, status in log), "not served at first")
    # The release: the new runners start first, the old ones drain.
    new = [await case.add_runner(f"i-new-{n}", service) for n in range(2)]
    await asyncio.sleep(2.0)
    confirmed = {runner.id: runner.leave() for runner in old}
    case.record.write(f"old runners report that they drain: {list(confirmed)}")
    await asyncio.sleep(PAUSE_SECONDS)
    for gateway in case.gateways:
        await send(case, gateway, log)
    await asyncio.sleep(LINGER_SECONDS - PAUSE_SECONDS)
    for runner in old:
        runner.end()
    case.record.write("old runners have ended")
    await asyncio.sleep(1.0)
    ended_at = time.monotonic()
    for _ in range(10):
        for gateway in case.gateways:
            await send(case, gateway, log)
        await asyncio.sleep(0.5)
    for gateway in case.gateways:
        gateway.kill()
        await gateway.wait_ended()
        gateway.start()
    for gateway in case.gateways:
        await gateway.wait_ready()
    case.record.write("all gateways were killed, and are ready again")
    await asyncio.sleep(RECOVERY_SECONDS + 1.0)
    recovered = []
    for _ in range(5):
        for gateway in case.gateways:
            await send(case, gateway, recovered)
    served = sum(status == 200 for *_, status in recovered)
    log += recovered
    late = []
    for runner in old:
        sent = {attempt: at for at, attempt, *_ in log}
        for at, attempt in runner.arrivals:
            if sent[attempt] > confirmed[runner.id] + DRAIN_SECONDS:
                late.append((attempt, runner.id, at - confirmed[runner.id]))
    ran = {run[1]: r.id for r in old + new for run in r.runs}
    for _, attempt, name, status in log:
        case.record.write(
            f"{attempt} sent to {name} answered {status} run at {ran.get(attempt)}"
        )
    for attempt, runner, seconds in late:
        case.record.write(
            f"DRAIN {attempt} reached {runner} {seconds:.2f} s after the"
            " confirmation that it drains"
        )
    last = collections.Counter(
        str(status)
        for at, _, _, status in log
        if at > ended_at and at < recovered[0][0]
    )
    case.record.write(
        f"DRAIN {len(late)}; answers after the old runners had ended:"
        f" {dict(last)}; after all gateways were killed and came back:"
        f" {served} of {len(recovered)} served"
    )
    return bool(late) or served < len(recovered) / 4


lab.main(RECORD, play)
