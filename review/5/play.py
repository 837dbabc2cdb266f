"""The open channels to the store go silent; later runners drain."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import lab

KEY = "i9n73hh2b9wu3fexd9dn"
DRAIN_SECONDS = 2.0
SILENT_SECONDS = 5.0
LINGER_SECONDS = 4.0


async def send(gateway, log):
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
    proxy = lab.Proxy(case.store.address)
    await proxy.start()
    await case.start_gateways(2, proxy.address)
    # Until the gateways read changes of the runners at once.
    await asyncio.sleep(12.0)
    log = []
    for gateway in case.gateways:
        await send(gateway, log)
    lab.require(all(status == 200 for *_, status in log), "not served at first")
    if lab.TROUBLE:
        count = proxy.silence_open_channels()
        case.record.write(f"{count} open channels to the store go silent")
    await asyncio.sleep(SILENT_SECONDS)
    for gateway in case.gateways:
        await send(gateway, log)
    new = [await case.add_runner(f"i-new-{n}", service) for n in range(2)]
    await asyncio.sleep(1.0)
    confirmed = {runner.id: runner.leave() for runner in old}
    case.record.write(f"old runners report that they drain: {list(confirmed)}")
    await asyncio.sleep(DRAIN_SECONDS + 0.5)
    for gateway in case.gateways:
        await send(gateway, log)
    await asyncio.sleep(LINGER_SECONDS - DRAIN_SECONDS - 0.5)
    for runner in old:
        runner.end()
    case.record.write("old runners have ended")
    await asyncio.sleep(0.5)
    ended_at = time.monotonic()
    for _ in range(20):
        for gateway in case.gateways:
            await send(gateway, log)
        await asyncio.sleep(0.5)
    late = []
    sent = {attempt: at for at, attempt, *_ in log}
    for runner in old:
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
        str(status) for at, _, _, status in log if at > ended_at
    )
    case.record.write(
        f"DRAIN {len(late)}; answers after the old runners had ended: {dict(last)}"
    )
    return bool(late)


lab.main(__file__, play)
