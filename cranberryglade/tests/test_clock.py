"""All ages of a gateway are taken from one clock."""

import asyncio
import pathlib
import re
import time

from returns.result import Success

from cranberryglade.gateway import clock
from cranberryglade.gateway import process
from cranberryglade.platform import __main__ as program
from cranberryglade.platform import boot
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import stepped_clock

GATEWAY = pathlib.Path(process.__file__).parent
OTHER_CLOCKS = re.compile(r"\btime\.(monotonic|time|perf_counter|clock_)")


def test_a_gateway_runs_by_the_clock_that_counts_suspensions(monkeypatch):
    loops = []

    async def run(gateway):
        del gateway
        loops.append(asyncio.get_running_loop())

    monkeypatch.setattr(process.Gateway, "run", run)
    monkeypatch.setattr(program.log, "configure", lambda *_: None)
    monkeypatch.setattr(boot, "read", lambda: Success(builders.make_settings()))
    program.main()
    (loop,) = loops
    assert isinstance(loop, clock.BoottimeLoop)
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= loop.time() <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_no_module_of_the_gateway_reads_another_clock():
    sources = {path.name: path.read_text() for path in GATEWAY.glob("*.py")}
    reading = {
        name for name, text in sources.items() if OTHER_CLOCKS.search(text)
    }
    assert reading == {"clock.py"}


def test_timers_that_became_due_in_a_suspension_run_when_it_is_over(
    monkeypatch,
):
    async def sleep_through_a_suspension():
        stepped = stepped_clock.SteppedClock(monkeypatch)
        loop = asyncio.get_running_loop()
        sleeping = asyncio.ensure_future(asyncio.sleep(60.0))
        await asyncio.sleep(0.0)
        began = loop.time()
        stepped.step(100.0)
        # Any other timer turns the loop, as the gateway's ticks do.
        await asyncio.sleep(0.01)
        assert sleeping.done()
        assert loop.time() - began < 101.0

    clock.run(sleep_through_a_suspension())
