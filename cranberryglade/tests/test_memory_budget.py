"""Decisions on memory and descriptors, without a process."""

from cranberryglade.memory import budget
from cranberryglade.memory import connection_limit
from cranberryglade.memory import decisions
from cranberryglade.memory import holding
from cranberryglade.tests import gateway_cluster

Kind = holding.Kind
LIMIT_BYTES = 8_000_000
BODY_BYTES = 1_000_000
PART_BYTES = 4096


class Body:
    """A body that is read by parts while it may be."""

    def __init__(self, memory, owner="key", kind=Kind.REQUEST, now=0.0):
        self.memory = memory
        self.refused = False
        self.may_read = True
        self.held = memory.open(kind, now, owner, BODY_BYTES)
        self.held.resume = self._resume
        self.held.refuse = self._refuse

    def read(self, now, until=BODY_BYTES - 16):
        while self.may_read and not self.refused and self.held.size < until:
            more = min(PART_BYTES, until - self.held.size)
            self.may_read = self.memory.grow(self.held, more, now)

    def _resume(self):
        self.may_read = True

    def _refuse(self):
        self.refused = True
        self.memory.release(self.held)


def test_crowd_that_stops_short_of_its_end_keeps_others_out():
    memory = budget.MemoryBudget(LIMIT_BYTES)
    crowd = [Body(memory, f"caller-{number}") for number in range(20)]
    for body in crowd:
        body.read(0.0)
    assert memory.held_bytes <= LIMIT_BYTES
    assert any(not body.may_read for body in crowd)
    small = Body(memory, "other", now=0.1)
    small.read(0.1, decisions.SMALL_BYTES)
    assert small.may_read
    now = 0.1
    large = Body(memory, "other", now=now)
    while now < 2 * decisions.MAX_WAIT_SECONDS and not large.refused:
        large.read(now, BODY_BYTES)
        if large.held.size == BODY_BYTES:
            break
        memory.tick(now)
        now += 0.05
    assert large.held.size == BODY_BYTES
    assert memory.held_bytes <= LIMIT_BYTES


def test_body_that_waits_too_long_is_kept_without_end():
    memory = budget.MemoryBudget(BODY_BYTES)
    kept = memory.open(Kind.KEPT, 0.0)
    memory.resize(kept, BODY_BYTES, 0.0)
    body = Body(memory)
    body.read(0.0)
    assert not body.may_read
    memory.tick(decisions.MAX_WAIT_SECONDS - 0.1)
    assert not body.refused
    memory.tick(decisions.MAX_WAIT_SECONDS)
    assert body.refused
    assert memory.waiting_count == 0


def test_body_that_comes_byte_by_byte_keeps_its_memory():
    memory = budget.MemoryBudget(2 * BODY_BYTES)
    slow = Body(memory, "slow")
    slow.read(0.0, BODY_BYTES - 64)
    slow.read(0.5, BODY_BYTES - 63)
    waiting = Body(memory, "waiting", now=0.5)
    waiting.read(0.5)
    assert not waiting.may_read
    memory.tick(decisions.STALL_SECONDS - 0.1)
    assert not slow.refused
    memory.tick(decisions.STALL_SECONDS)
    assert slow.refused
    memory.tick(decisions.STALL_SECONDS + 0.05)
    assert waiting.may_read


def test_nearly_whole_body_waits_behind_one_that_has_begun():
    waiting = [
        holding.Holding(Kind.REQUEST, "a", 0.0, size=100, expected=900),
        holding.Holding(Kind.REQUEST, "b", 1.0, size=800, expected=900),
        holding.Holding(Kind.ANSWER, "", 2.0, size=1, expected=900_000),
    ]
    order = decisions.reading_order(waiting, {}, LIMIT_BYTES)
    assert [each.began for each in order] == [2.0, 1.0, 0.0]


def test_one_owner_takes_the_whole_budget():
    size = decisions.SMALL_BYTES + 1
    waiting = [
        holding.Holding(Kind.REQUEST, "a", 0.0, size=9 * size, expected=10**6),
        holding.Holding(Kind.REQUEST, "b", 0.0, size=size, expected=10**6),
    ]
    owners = {"a": LIMIT_BYTES, "b": size}
    order = decisions.reading_order(waiting, owners, LIMIT_BYTES)
    assert [each.owner for each in order] == ["b", "a"]


def test_owner_of_moving_bodies_keeps_others_from_reading():
    memory = budget.MemoryBudget(LIMIT_BYTES)
    crowd = [Body(memory, "crowd") for _ in range(7)]
    for body in crowd:
        body.read(0.0)
    other = Body(memory, "other")
    other.read(0.0)
    assert all(body.may_read for body in crowd) and not other.may_read
    memory.tick(0.05)
    assert [body.refused for body in crowd].count(True) == 1
    memory.tick(0.1)
    assert other.may_read


def test_answers_read_in_part_wait_for_each_other():
    memory = budget.MemoryBudget(2 * BODY_BYTES)
    answers = [Body(memory, "", Kind.ANSWER) for _ in range(40)]
    now = 0.0
    while answers and now < 10.0:
        for body in list(answers):
            body.read(now, BODY_BYTES)
            if body.held.size == BODY_BYTES:
                memory.release(body.held)
                answers.remove(body)
        memory.tick(now)
        now += 0.05
    assert not answers
    assert memory.held_bytes == 0


def test_caller_that_takes_its_answer_is_closed_for_memory():
    memory = budget.MemoryBudget(BODY_BYTES)
    unread = Body(memory, kind=Kind.UNREAD)
    memory.resize(unread.held, BODY_BYTES, 0.0)
    memory.resize(unread.held, BODY_BYTES - 1000, 3.9)
    body = Body(memory, now=3.9)
    body.read(3.9)
    memory.tick(decisions.UNREAD_SECONDS)
    assert not unread.refused
    memory.tick(3.9 + decisions.UNREAD_SECONDS)
    assert unread.refused


def test_holder_that_ends_while_it_waits_leaves_something_taken():
    memory = budget.MemoryBudget(BODY_BYTES // 2)
    bodies = [Body(memory), Body(memory)]
    for body in bodies:
        body.read(0.0)
    memory.tick(0.1)
    for body in bodies:
        memory.release(body.held)
        memory.release(body.held)
    assert (memory.held_bytes, memory.waiting_count) == (0, 0)
    fresh = Body(memory)
    fresh.read(1.0, BODY_BYTES // 4)
    assert fresh.may_read


def test_silent_connections_keep_a_new_one_out():
    limit = connection_limit.ConnectionLimit(2)
    limit.rest("idle")
    limit.read("reading")
    assert limit.find_excess() is None
    limit.rest("new")
    assert limit.find_excess() == "idle"
    limit.remove("idle")
    limit.serve("new")
    limit.serve("served")
    assert limit.find_excess() == "reading"
    limit.remove("reading")
    assert limit.find_excess() is None


async def test_refusal_on_a_connection_that_closes_ends_the_ticks():
    async with gateway_cluster.Cluster() as cluster:
        caller = await cluster.connect()
        caller.send(b"POST /pay/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nbody")
        connections = cluster.gateways[0]._caller_listener.connections
        await gateway_cluster.wait_until(
            lambda: [each for each in connections if each._held]
        )
        (connection,) = connections
        held = connection._held
        connection._transport.abort()
        held.refuse()
        assert cluster.gateways[0]._memory.held_bytes == 0
