"""Measures the cost of the control plane to an instance; run by `python -m`.

The first part runs gossip cores over a fake transport, for several sizes of the
failure domain. The second runs idle daemons on loopback with the default
periods; the arguments are the numbers of daemons.
"""

import contextlib
import os
import pathlib
import statistics
import sys
import tempfile
import time

from cranberryglade.tests import gossip_network
from cranberryglade.tests import support

SIZES = (5, 11, 22, 43, 86)
DOMAINS = ("wien-a", "wien-b")
SETTLE_PERIODS = 40
PERIODS = 60
TICK_SECONDS = 1 / os.sysconf("SC_CLK_TCK")
MEASUREMENT_SECONDS = 30.0


def periods_until(net, check, limit=200):
    for period in range(limit):
        if check():
            return period
        net.run(1)
    return limit


def measure_core(size):
    count = len(DOMAINS) * size
    net = gossip_network.network(count, DOMAINS)
    net.run(SETTLE_PERIODS)
    net.bytes = net.exchanges = 0
    began = time.process_time()
    net.run(PERIODS)
    cpu_seconds = time.process_time() - began
    ages = sorted(
        net.now - view.sent_at
        for node in net.nodes.values()
        for view in node.core._views
        if view.is_live and view.failure_domain == node.peer.failure_domain
    )
    message = net.bytes / net.exchanges / 2
    exchanges = net.exchanges / PERIODS / count
    local_nodes = [
        node
        for node in net.nodes.values()
        if node.peer.failure_domain == DOMAINS[0]
    ]
    net.node("entry-0").leave("engine-1", "i1", net.now)
    departure_known = periods_until(
        net, lambda: all(list(n.departure_records) for n in local_nodes)
    )
    net.node("entry-1").version = 2
    applied = periods_until(
        net, lambda: all(n.version == 2 for n in net.nodes.values())
    )
    del net.nodes["entry-2:1"]
    local_nodes.remove(next(n for n in local_nodes if n.peer.name == "entry-2"))
    first_noticed = periods_until(
        net, lambda: any("entry-2" not in n.view for n in local_nodes)
    )
    all_noticed = first_noticed + periods_until(
        net, lambda: all("entry-2" not in n.view for n in local_nodes)
    )
    print(
        f"{size:3} instances in each of {len(DOMAINS)} domains: "
        f"{message:.0f} bytes a message, "
        f"{4 * message * exchanges:.0f} bytes/s in and out, "
        f"{1e6 * cpu_seconds / total_exchanges(count, exchanges):.0f} us "
        f"an exchange (both sides); "
        f"digest age median {statistics.median(ages):.0f} s, "
        f"95% {ages[int(len(ages) * 0.95)]:.0f} s; departure record "
        f"by gossip alone {departure_known} s, version {applied} s, death "
        f"first noticed {first_noticed} s, by all {all_noticed} s"
    )


def total_exchanges(count, exchanges):
    return PERIODS * count * exchanges


def process_usage(process):
    proc = pathlib.Path("/proc") / str(process._process.pid)
    fields = (proc / "stat").read_text().rpartition(")")[2].split()
    cpu_seconds = (int(fields[11]) + int(fields[12])) * TICK_SECONDS
    io = dict(
        line.split(": ") for line in (proc / "io").read_text().splitlines()
    )
    resident = int((proc / "statm").read_text().split()[1]) * 4096
    return cpu_seconds, int(io["rchar"]), int(io["wchar"]), resident


def measure_daemons(count, endpoints):
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        started = stack.enter_context(
            support.deployment(pathlib.Path(directory))
        )
        for number in range(endpoints):
            started.endpoint("engine", f"engine-{number}", "assistant")
        daemons = [
            started.start_daemon(
                f"entry-{n}", probe_seconds=1.0, poll_seconds=5.0
            )
            for n in range(count)
        ]
        for daemon in daemons:
            support.wait_until(
                lambda d=daemon: len(support.status(d)["peers"]) == count - 1,
                seconds=90.0,
            )
        time.sleep(10.0)
        before = [process_usage(daemon) for daemon in daemons]
        time.sleep(MEASUREMENT_SECONDS)
        after = [process_usage(daemon) for daemon in daemons]
        cores, read, written = (
            statistics.mean(
                a[i] - b[i] for a, b in zip(after, before, strict=True)
            )
            / MEASUREMENT_SECONDS
            for i in range(3)
        )
        resident = max(item[3] for item in after)
        version = support.status(daemons[0])["version"]
        text = support.CONFIGURATION.replace("rank = 1", "rank = 2")
        began = time.monotonic()
        support.send_operator_request(
            daemons[0],
            "PUT",
            "configuration",
            {"expected_version": version, "text": text},
        )
        waiting = set(range(count))
        times = []
        while waiting:
            for number in list(waiting):
                if support.status(daemons[number])["version"] > version:
                    waiting.discard(number)
                    times.append(time.monotonic() - began)
        print(
            f"{count:3} daemons, {endpoints} engines: "
            f"{100 * cores:.2f}% of a core, {read:.0f} bytes/s read, "
            f"{written:.0f} bytes/s written, {resident / 1e6:.0f} MB; "
            f"version in force everywhere after {max(times):.1f} s "
            f"(median {statistics.median(times):.1f} s)"
        )


def main():
    for count in SIZES:
        measure_core(count)
    for count in map(int, sys.argv[1:]):
        measure_daemons(count, endpoints=6)


if __name__ == "__main__":
    main()
