"""Fakes: a platform that injects faults, and the mesh of an allocator."""

import asyncio

from returns.result import Failure
from returns.result import Success

from cranberryglade import tables
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import membership

LOST = Failure(tables.PlatformError("TimeoutError"))


class FakePlatform:
    """In-memory table service; `faults` lists the faults of the next calls.

    "ok" or no entry: the call is answered. "down": the call fails and has no
    effect. "lost": a write takes effect, but its answer is lost; a read fails.
    "late": the call fails, and a write takes effect when the next call
    arrives. "old": a read returns a copy that is one transaction behind; a
    write is answered.
    """

    def __init__(self):
        self.rows = {}
        self.previous_rows = {}
        self.faults = []
        self.delayed = []
        self.reads = 0

    def fault(self):
        fault = self.faults.pop(0) if self.faults else "ok"
        delayed, self.delayed = self.delayed, []
        for writes in delayed:
            self.commit(writes)
        return fault

    async def row(self, table, key):
        self.reads += 1
        await asyncio.sleep(0)
        fault = self.fault()
        if fault in ("down", "lost", "late"):
            return LOST
        rows = self.previous_rows if fault == "old" else self.rows
        absent = tables.Row(value="", version=0)
        return Success(rows.get(f"{table.value}/{key}", absent))

    async def transact(self, writes):
        await asyncio.sleep(0)
        fault = self.fault()
        if fault == "down":
            return LOST
        if fault == "late":
            self.delayed.append(writes)
            return LOST
        outcome = self.commit(writes)
        return LOST if fault == "lost" else Success(outcome)

    def commit(self, writes):
        for write in writes:
            present = self.rows.get(f"{write.table.value}/{write.key}")
            if (present.version if present else 0) != write.expected_version:
                return tables.TransactionOutcome(committed=False)
        self.previous_rows = dict(self.rows)
        for write in writes:
            self.rows[f"{write.table.value}/{write.key}"] = tables.Row(
                value=write.value, version=write.expected_version + 1
            )
        return tables.TransactionOutcome(committed=True)


class FakeMesh:
    """Mesh of an allocator that has three reachable peers."""

    def __init__(self, now):
        self.members = membership.Membership("a", "north", now - 60.0)
        for name in ("b", "c", "d"):
            self.members.register(name, f"{name}:1", "north", now)
            self.members.record_answer(name, "life-1", 60.0, now)
        self.allocator = "a"
        self.incarnation = "life-a"
        self.sent = []

    def send_to(self, name, message):
        self.sent.append(message)


class GrantingMesh(FakeMesh):
    """Mesh whose allocator grants each slot request a slot of "e-1" at once.

    Attributes:
        told: what was sent, and to whom.
        holder: the instance that asks; set by the test.
    """

    def __init__(self, now):
        super().__init__(now)
        self.told = []
        self.holder = None

    def send_to(self, name, message):
        self.told.append((name, message))
        if isinstance(message, datagrams.SlotRequest):
            self.holder.receive(name, datagrams.Grant(message.id, "e-1"))

    def ping(self, member):
        pass


class NoOriginRows:
    """Origins in a store that has none."""

    def add(self, records, sender=""):
        pass

    def set_listener(self, on_stored):
        pass

    async def read(self):
        return []
