"""Which process of an endpoint answers, and which streams that leaves open."""

import pytest

from cranberryglade.gateway import endpoint_directory
from cranberryglade.gateway import endpoint_processes
from cranberryglade.gateway import messages
from cranberryglade.gateway import store_watch
from cranberryglade.gateway import tentative_origins
from cranberryglade.tests import gateway_builders as builders

LAG = store_watch.FEED_LAG_SECONDS
SETTLE = endpoint_processes.SETTLE_SECONDS
OUT_OF_STEP = endpoint_processes.MAX_STEP_AGE_SECONDS + 0.1


class Connection:
    """The part of a connection that the records use."""

    def __init__(self):
        self.live = True

    def is_live(self, max_idle_seconds):
        return self.live


class Observer:
    """The records of an instance whose age is set by the test."""

    def __init__(self):
        self.age = 0.0
        self.endpoint = builders.make_endpoint()
        self.processes = endpoint_processes.EndpointProcesses(lambda: self.age)

    def use(self, connection, now):
        return self.processes.observe(self.endpoint, connection, now)


def test_a_connection_is_certain_once_the_row_is_confirmed_later():
    observer = Observer()
    connection = Connection()
    assert not observer.use(connection, 100.0)
    observer.processes.tick(100.0 + LAG - 0.1)
    assert not observer.use(connection, 100.0 + LAG)
    observer.processes.tick(100.0 + LAG)
    assert observer.use(connection, 100.0 + LAG)
    assert observer.processes.is_certain(observer.endpoint)


def test_a_connection_is_certain_while_an_earlier_one_is_open():
    observer = Observer()
    first, second, third = Connection(), Connection(), Connection()
    observer.use(first, 100.0)
    observer.processes.tick(102.0)
    # From here on nothing is confirmed.
    assert observer.use(second, 103.0)
    first.live = False
    assert observer.use(third, 104.0)
    second.live = third.live = False
    assert not observer.use(Connection(), 105.0)


def test_a_process_that_is_listed_anew_has_no_certain_connections():
    observer = Observer()
    observer.use(Connection(), 100.0)
    observer.processes.tick(102.0)
    observer.endpoint = builders.make_endpoint(started_ms=2)
    assert not observer.processes.is_certain(observer.endpoint)
    listed = {observer.endpoint.id: observer.endpoint}
    observer.processes.keep_only(listed)
    assert not observer.use(Connection(), 103.0)


def test_rows_settle_after_an_instance_was_out_of_step():
    observer = Observer()
    connection = Connection()
    observer.processes.tick(100.0)
    observer.age = OUT_OF_STEP
    observer.processes.tick(101.0)
    assert not observer.processes.is_in_step(101.0)
    observer.age = 0.0
    observer.use(connection, 101.0)
    observer.processes.tick(101.0 + SETTLE - 0.1)
    assert not observer.use(connection, 101.0 + SETTLE - 0.1)
    observer.processes.tick(101.0 + SETTLE)
    assert observer.processes.is_in_step(101.0 + SETTLE)
    assert observer.use(connection, 101.0 + SETTLE)


def test_an_instance_that_has_just_started_is_in_step():
    observer = Observer()
    observer.age = float("inf")
    observer.processes.tick(100.0)
    assert observer.processes.is_in_step(100.0)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"started_ms": 2, "software_version": "v2"}, True),
        ({"started_ms": 2}, False),
        ({"software_version": "v2"}, False),
        ({"id_": "e-2", "started_ms": 2, "software_version": "v2"}, False),
    ],
)
def test_another_version_of_an_endpoint_replaces_it(changes, expected):
    later = builders.make_endpoint(**changes)
    found = endpoint_processes.is_replaced(
        builders.make_endpoint(), {later.id: later}
    )
    assert found == expected


def test_origins_stay_tentative_until_they_are_confirmed_or_refuted():
    origins = tentative_origins.TentativeOrigins()
    endpoint = builders.make_endpoint()
    for number in range(3):
        origins.add(
            f"a-{number}",
            tentative_origins.TentativeOrigin(endpoint, 47.0 + number),
        )
    origins.confirm(47.0)
    assert len(origins) == 2
    assert origins.take_refuted({endpoint.id: endpoint}) == {}
    later = builders.make_endpoint(started_ms=2, software_version="v2")
    refuted = origins.take_refuted({later.id: later})
    assert refuted.keys() == {"a-1", "a-2"}
    assert len(origins) == 0


def test_nothing_confirms_tentative_origins_out_of_step():
    origins = tentative_origins.TentativeOrigins()
    tentative = tentative_origins.TentativeOrigin(
        builders.make_endpoint(), 47.0
    )
    origins.add("a-1", tentative)
    assert origins.take_all() == {"a-1": tentative}
    assert len(origins) == 0


def test_no_endpoint_admits_a_stream_of_unknown_version():
    origin = messages.StreamOrigin(builders.SERVICE, messages.UNKNOWN_VERSION)
    assert not origin.is_known
    for version in ("", "v1"):
        endpoint = builders.make_endpoint(software_version=version)
        assert not origin.admits(endpoint)


def test_a_connection_stays_certain_when_idle_ones_are_dropped_for_it():
    observer = Observer()
    first, second = Connection(), Connection()
    observer.use(first, 100.0)
    observer.processes.tick(102.0)
    was_certain = observer.processes.is_certain(observer.endpoint)
    first.live = False
    assert observer.processes.observe(
        observer.endpoint, second, 103.0, was_certain
    )


def test_all_rows_are_written_soon_after_an_instance_was_out_of_step():
    observer = Observer()
    observer.age = OUT_OF_STEP
    observer.processes.tick(100.0)
    grace = endpoint_directory.RECOVERY_GRACE_SECONDS
    assert not observer.processes.has_all_rows(100.0 + grace - 0.1)
    assert observer.processes.has_all_rows(100.0 + grace + 0.1)
