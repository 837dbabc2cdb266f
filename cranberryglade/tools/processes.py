"""Processor time and memory of another process, read from /proc."""

import dataclasses
import os
import pathlib
import re

BYTES_PER_KIB = 1024
CPU_FIELDS = slice(11, 13)


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """What a process has used so far.

    Attributes:
        cpu_seconds: user and system time of all its threads.
        resident_bytes: resident memory now.
        peak_bytes: largest resident memory so far.
    """

    cpu_seconds: float
    resident_bytes: int
    peak_bytes: int


def usage(pid: int) -> Usage:
    """Reads the usage of a process.

    Raises:
        OSError: there is no such process.
    """
    directory = pathlib.Path("/proc", str(pid))
    status = (directory / "status").read_text(encoding="utf-8")
    return Usage(
        cpu_seconds((directory / "stat").read_text(encoding="utf-8")),
        _kib(status, "VmRSS") * BYTES_PER_KIB,
        _kib(status, "VmHWM") * BYTES_PER_KIB,
    )


def cpu_seconds(stat: str) -> float:
    """User and system time in the text of a stat file.

    >>> stat = "7 (a b) S " + "0 " * 10 + "30 12 0 0"
    >>> cpu_seconds(stat) * os.sysconf("SC_CLK_TCK")
    42.0
    """
    fields = stat.rpartition(")")[2].split()
    ticks = sum(int(field) for field in fields[CPU_FIELDS])
    return ticks / os.sysconf("SC_CLK_TCK")


def _kib(status: str, name: str) -> int:
    found = re.search(rf"^{name}:\s+(\d+) kB$", status, re.MULTILINE)
    return int(found[1]) if found else 0
