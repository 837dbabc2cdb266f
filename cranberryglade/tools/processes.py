"""Reads processor time and memory of other processes from /proc."""

import dataclasses
import os
import pathlib
import re

BYTES_PER_KIB = 1024
BYTES_PER_MEGABYTE = 1_000_000
CPU_TIME_FIELDS = slice(11, 13)


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """Resource usage of a process since its start.

    Attributes:
        cpu_seconds: user and system time of all its threads.
        resident_bytes: resident memory now.
        peak_bytes: largest resident memory since its start.
        read_bytes: bytes read from sockets and files.
        written_bytes: bytes written to sockets and files.
    """

    cpu_seconds: float
    resident_bytes: int
    peak_bytes: int
    read_bytes: int
    written_bytes: int


@dataclasses.dataclass(slots=True, frozen=True)
class MeanUsage:
    """Mean resource usage of one of several processes.

    Attributes:
        processes: number of processes.
        cores: processor time divided by elapsed time.
        read_bytes_per_second: bytes read from sockets and files.
        written_bytes_per_second: bytes written to sockets and files.
        resident_mb: resident memory at the end, in millions of bytes.
    """

    processes: int
    cores: float
    read_bytes_per_second: float
    written_bytes_per_second: float
    resident_mb: float


def usage(pid: int) -> Usage:
    """Reads the usage of a process.

    Raises:
        OSError: the process does not exist or may not be read.
    """
    directory = pathlib.Path("/proc", str(pid))
    status = (directory / "status").read_text(encoding="utf-8")
    return Usage(
        cpu_seconds((directory / "stat").read_text(encoding="utf-8")),
        _kib(status, "VmRSS") * BYTES_PER_KIB,
        _kib(status, "VmHWM") * BYTES_PER_KIB,
        *_transferred((directory / "io").read_text(encoding="utf-8")),
    )


def mean_usage(
    before: list[Usage], after: list[Usage], seconds: float
) -> MeanUsage:
    """Returns the mean usage of processes between two readings.

    Args:
        before: first reading of each process.
        after: second reading of each process.
        seconds: time between the readings.
    """
    count = len(before)
    process_seconds = count * seconds

    def total_used(name: str) -> float:
        return sum(getattr(u, name) for u in after) - sum(
            getattr(u, name) for u in before
        )

    return MeanUsage(
        count,
        round(total_used("cpu_seconds") / process_seconds, 5),
        round(total_used("read_bytes") / process_seconds, 1),
        round(total_used("written_bytes") / process_seconds, 1),
        round(
            sum(u.resident_bytes for u in after) / count / BYTES_PER_MEGABYTE, 1
        ),
    )


def cpu_seconds(stat: str) -> float:
    """Returns the user and system time, in seconds, in a stat file's text.

    >>> stat = "7 (a b) S " + "0 " * 10 + "30 12 0 0"
    >>> cpu_seconds(stat) * os.sysconf("SC_CLK_TCK")
    42.0
    """
    fields = stat.rpartition(")")[2].split()
    ticks = sum(int(field) for field in fields[CPU_TIME_FIELDS])
    return ticks / os.sysconf("SC_CLK_TCK")


def _kib(status: str, name: str) -> int:
    found = re.search(rf"^{name}:\s+(\d+) kB$", status, re.MULTILINE)
    return int(found[1]) if found else 0


def _transferred(io: str) -> tuple[int, int]:
    values = dict(line.split(": ") for line in io.splitlines())
    return int(values["rchar"]), int(values["wchar"])
