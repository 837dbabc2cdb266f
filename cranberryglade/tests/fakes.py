"""A platform in memory whose faults are chosen call by call."""

import asyncio

from returns.result import Failure
from returns.result import Success

from cranberryglade import tables

LOST = Failure(tables.PlatformError("TimeoutError"))


class FakePlatform:
    """Table service; `faults` holds what happens to the next calls.

    "ok": answered. "down": refused without effect. "lost": takes effect, the
    answer is lost. "late": takes effect after the next call only. "old": a
    read from a copy that is one write behind.
    """

    def __init__(self):
        self.rows = {}
        self.former = {}
        self.faults = []
        self.late = []
        self.reads = 0

    def fault(self):
        fault = self.faults.pop(0) if self.faults else "ok"
        late, self.late = self.late, []
        for writes in late:
            self.commit(writes)
        return fault

    async def row(self, table, key):
        self.reads += 1
        await asyncio.sleep(0)
        fault = self.fault()
        if fault in ("down", "lost", "late"):
            return LOST
        rows = self.former if fault == "old" else self.rows
        absent = tables.Row(value="", version=0)
        return Success(rows.get(f"{table.value}/{key}", absent))

    async def transact(self, writes):
        await asyncio.sleep(0)
        fault = self.fault()
        if fault == "down":
            return LOST
        if fault == "late":
            self.late.append(writes)
            return LOST
        outcome = self.commit(writes)
        return LOST if fault == "lost" else Success(outcome)

    def commit(self, writes):
        for write in writes:
            present = self.rows.get(f"{write.table.value}/{write.key}")
            if (present.version if present else 0) != write.expected_version:
                return tables.Outcome(committed=False)
        self.former = dict(self.rows)
        for write in writes:
            self.rows[f"{write.table.value}/{write.key}"] = tables.Row(
                value=write.value, version=write.expected_version + 1
            )
        return tables.Outcome(committed=True)
