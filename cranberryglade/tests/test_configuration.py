"""Versions of the configuration are written, distributed, never reverted."""

import asyncio
import datetime
import pathlib
import random
import re

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import looptime
import pytest

from cranberryglade import proposals
from cranberryglade import revisions
from cranberryglade import subscriptions
from cranberryglade import tables
from cranberryglade import wire
from cranberryglade.tests import fakes
from cranberryglade.tests import properties

UNKNOWN_OPTION = "[deployment]\nname = a\n[tier x]\nrank = 0\ncolour = blue\n"
WALL_CLOCK = re.compile(r"time\.time\(|time_ns\(|datetime\.now|utcnow")


def text(name, size=3):
    tiers = "".join(f"[tier t{n}]\nrank = {n}\n" for n in range(size))
    return f"[deployment]\nname = {name}\n{tiers}"


def subscription(platform, seed=1):
    return subscriptions.Subscription(platform, random.Random(seed))


class Cluster:
    """Operators and instances on one platform, with the version check."""

    def __init__(self, instances=3):
        self.platform = fakes.FakePlatform()
        self.proposals = proposals.RevisionStore(self.platform)
        self.check = properties.VersionCheck()
        self.instances = {}
        for name in range(instances):
            self.start(name)

    def start(self, name):
        self.check.in_force.pop(name, None)
        self.instances[name] = started = subscription(self.platform, name)
        started.stream.subscribe(
            lambda c: self.check.applied(name, c.version, c.text)
        )

    def send_update(self, sender, receiver):
        known = self.instances[receiver].accepted.version
        update = self.instances[sender].update_for(known)
        self.instances[receiver].apply_update(update, known)


@pytest.mark.parametrize(
    ("faults", "expected", "version"),
    [
        ([], proposals.Accepted, 2),
        (["ok", "ok", "ok", "lost"], proposals.Accepted, 2),
        (["ok", "ok", "ok", "late"], proposals.Accepted, 2),
        (["ok", "ok", "ok", "lost", "down", "down"], proposals.Accepted, 2),
        (["ok", "ok", "ok", "down"], proposals.Accepted, 2),
        (["down"] * 20, proposals.Uncertain, 1),
        (["ok", "ok", "ok", "lost", *["down"] * 9], proposals.Uncertain, 2),
        (["old", "ok", "ok", "ok", "ok"], proposals.Accepted, 2),
    ],
)
async def test_a_proposal_under_faults(faults, expected, version):
    cluster = Cluster()
    await cluster.proposals.propose(text("a"), 0, "ops", "n0")
    cluster.platform.faults = list(faults)
    outcome = await cluster.proposals.propose(text("b"), 1, "ops", "n1")
    cluster.platform.faults = []
    assert isinstance(outcome, expected), outcome
    row = cluster.platform.rows["revisions/current"]
    assert row.version == version
    retry = await cluster.proposals.propose(text("b"), 1, "ops", "n1")
    assert isinstance(retry, proposals.Accepted)
    kept = retry.revision
    assert (kept.version, kept.nonce, kept.operator, kept.text) == (
        2,
        "n1",
        "ops",
        text("b"),
    )


async def test_conflicting_proposal_gets_both_revisions():
    cluster = Cluster()
    await cluster.proposals.propose(text("a"), 0, "ops", "n0")
    cluster.platform.faults = ["ok", "ok", "ok", "lost", *["down"] * 4]
    lost = await cluster.proposals.propose(text("b"), 1, "ops-1", "n1")
    assert lost.nonce == "n1"
    second = await cluster.proposals.propose(text("c"), 1, "ops-2", "n2")
    assert second.proposed.text == text("c")
    assert (second.present.operator, second.present.text) == (
        "ops-1",
        text("b"),
    )
    third = await cluster.proposals.propose(text("d"), 2, "ops-2", "n3")
    assert isinstance(third, proposals.Accepted)
    retried = await cluster.proposals.propose(text("b"), 1, "ops-1", "n1")
    assert isinstance(retried, proposals.Accepted)
    assert retried.revision.version == 2
    other = await cluster.proposals.propose(text("e"), 1, "ops-1", "n1")
    assert isinstance(other, proposals.Conflict)


async def test_history_is_kept_in_a_bounded_ring():
    cluster = Cluster()
    count = revisions.KEPT_TEXTS + 5
    for version in range(count):
        await cluster.proposals.propose(text(f"v{version}"), version, "ops")
    assert len(cluster.platform.rows) == 1 + revisions.KEPT_TEXTS
    history = (await cluster.proposals.history(count, 3)).unwrap()
    assert [item.version for item in history] == [count, count - 1, count - 2]
    assert (await cluster.proposals.revision(1)).unwrap() is None


async def test_an_instance_one_version_behind_reads_one_row():
    cluster = Cluster()
    first = cluster.instances[0]
    await cluster.proposals.propose(text("a"), 0, "ops")
    await first.poll()
    await cluster.proposals.propose(text("b"), 1, "ops")
    cluster.platform.reads = 0
    await first.poll()
    assert (first.version, cluster.platform.reads) == (2, 1)
    await cluster.proposals.propose(text("c"), 2, "ops")
    await cluster.proposals.propose(text("d"), 3, "ops")
    await first.poll()
    assert (first.version, first.current.text) == (4, text("d"))


async def test_proposals_can_follow_a_text_written_by_hand():
    cluster = Cluster()
    cluster.platform.rows["revisions/current"] = tables.Row(
        value=text("a"), version=1
    )
    first = cluster.instances[0]
    await first.poll()
    assert first.version == 1
    conflict = await cluster.proposals.propose(text("b"), 0, "ops")
    assert conflict.present.text == text("a")
    await cluster.proposals.propose(text("b"), 1, "ops")
    await first.poll()
    assert (first.version, first.accepted.operator) == (2, "ops")


async def test_instance_without_platform_gets_versions_from_a_peer():
    cluster = Cluster()
    await cluster.proposals.propose(text("a"), 0, "ops")
    await cluster.instances[0].poll()
    cluster.send_update(0, 1)
    assert cluster.instances[1].version == 1
    for version in range(1, 4):
        await cluster.proposals.propose(text(f"b{version}"), version, "ops")
        await cluster.instances[0].poll()
    update = cluster.instances[0].update_for(1)
    assert (len(update.changes), update.text) == (3, None)
    cluster.send_update(0, 1)
    cluster.send_update(0, 2)
    assert {cluster.instances[n].version for n in range(3)} == {4}
    assert cluster.instances[1].confirmed_at is None


async def test_stale_read_is_neither_applied_nor_confirms():
    cluster = Cluster()
    first = cluster.instances[0]
    await cluster.proposals.propose(text("a"), 0, "ops")
    await cluster.proposals.propose(text("b"), 1, "ops")
    await first.poll()
    confirmed = first.confirmed_at
    cluster.platform.faults = ["old"]
    await first.poll()
    assert (first.version, first.confirmed_at) == (2, confirmed)


async def test_a_version_that_cannot_be_read_here_is_reported():
    cluster = Cluster()
    first = cluster.instances[0]
    await cluster.proposals.propose(text("a"), 0, "ops")
    await first.poll()
    unreadable = revisions.Revision(
        version=2, nonce="n", operator="newer", text=UNKNOWN_OPTION
    )
    head = revisions.encode_head(unreadable, text("a"))
    cluster.platform.rows["revisions/current"] = tables.Row(
        value=head, version=2
    )
    await first.poll()
    assert (first.version, first.accepted.version) == (1, 2)
    assert (first.state, "colour" in first.problems[0]) == ("behind", True)
    cluster.send_update(0, 1)
    assert cluster.instances[1].accepted.version == 2
    cluster.platform.rows["revisions/text-2"] = tables.Row(
        value=wire.encode(unreadable).decode(), version=1
    )
    await cluster.proposals.propose(text("c"), 2, "ops")
    await first.poll()
    assert (first.version, first.state) == (3, "in_force")


async def test_change_with_wrong_digest_is_refused():
    cluster = Cluster()
    await cluster.proposals.propose(text("a"), 0, "ops")
    await cluster.instances[0].poll()
    update = cluster.instances[0].update_for(0)
    update.changes[0].inserted.append("; forged")
    assert not cluster.instances[1].apply_update(update, 0)


def test_wall_clock_is_only_used_for_display():
    package = pathlib.Path(proposals.__file__).parent
    files = {
        path.name
        for path in package.rglob("*.py")
        if "tests" not in path.parts and WALL_CLOCK.search(path.read_text())
    }
    assert files == {"proposals.py"}


async def test_a_wall_clock_that_goes_back_changes_nothing(monkeypatch):
    class BackwardClock(datetime.datetime):
        year_now = 2030

        @classmethod
        def now(cls, zone=None):
            cls.year_now -= 1
            return datetime.datetime(cls.year_now, 1, 1, tzinfo=zone)

    monkeypatch.setattr(proposals.datetime, "datetime", BackwardClock)
    cluster = Cluster()
    for version in range(4):
        outcome = await cluster.proposals.propose(
            text(f"v{version}"), version, "o"
        )
        assert outcome.revision.version == version + 1
        for instance in cluster.instances.values():
            await instance.poll()
    assert {i.version for i in cluster.instances.values()} == {4}


HISTORIES = st.lists(
    st.tuples(
        st.sampled_from(
            ["propose", "race", "poll", "pass", "restart", "fault"]
        ),
        st.integers(0, 2),
        st.integers(0, 2),
        st.sampled_from(["down", "lost", "late", "old"]),
    ),
    max_size=30,
)


async def run_history(history):
    cluster = Cluster()
    accepted = {}
    for number, (kind, one, other, fault) in enumerate(history):
        match kind:
            case "propose" | "race":
                known = cluster.instances[one].accepted.version
                proposers = 2 if kind == "race" else 1
                outcomes = await asyncio.gather(
                    *(
                        cluster.proposals.propose(
                            text(f"p{number}-{proposer}", 2 + other),
                            known,
                            "ops",
                        )
                        for proposer in range(proposers)
                    )
                )
                for outcome in outcomes:
                    if isinstance(outcome, proposals.Accepted):
                        revision = outcome.revision
                        assert revision.version not in accepted
                        accepted[revision.version] = revision.text
            case "poll":
                await cluster.instances[one].poll()
            case "pass":
                cluster.send_update(one, other)
            case "restart":
                cluster.start(one)
            case "fault":
                cluster.platform.faults.append(fault)
    cluster.platform.faults = []
    for instance in cluster.instances.values():
        await instance.poll()
    return cluster, accepted


@settings(derandomize=True, max_examples=120, deadline=None)
@given(HISTORIES)
def test_versions_increase_and_each_has_one_text(history):
    loop = looptime.new_event_loop()
    try:
        cluster, accepted = loop.run_until_complete(run_history(history))
    finally:
        loop.close()
    for version, proposed in accepted.items():
        assert cluster.check.texts.get(version, proposed) == proposed
    current = cluster.platform.rows.get("revisions/current")
    newest = current.version if current else 0
    assert {i.version for i in cluster.instances.values()} == {newest}


def test_version_check_detects_reversals_and_conflicting_texts():
    check = properties.VersionCheck()
    check.applied("a", 2, "x")
    with pytest.raises(properties.Violation):
        check.applied("a", 1, "y")
    with pytest.raises(properties.Violation):
        check.applied("b", 2, "z")
