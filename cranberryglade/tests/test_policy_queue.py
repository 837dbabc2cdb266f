"""The order in which waiting requests are served."""

import pytest

from cranberryglade.scheduling import queues
from cranberryglade.tests import builders


def entry(name, latest_start=100.0, work=1.0, **changes):
    request = builders.request(name, **changes)
    return queues.Entry(request, 0.0, latest_start, work=work)


def serve(queue, count):
    requests = []
    for _ in range(count):
        head = queue.head(queue.ranks[0], queues.Lane.SHORT)
        queue.dequeue(head)
        requests.append(head.request)
    return requests


@pytest.mark.parametrize(("weight", "share"), [(1.0, 20), (3.0, 30)])
def test_organisations_share_by_weight_and_not_by_requests(weight, share):
    queue = queues.Queue()
    for number in range(100):
        queue.push(entry(f"a{number}", organisation="a", weight=weight))
    for number in range(40):
        queue.push(entry(f"b{number}", organisation="b"))
    served = [r.organisation for r in serve(queue, 40)]
    assert abs(served.count("a") - share) <= 1


def test_work_counts_and_not_the_number_of_requests():
    queue = queues.Queue()
    for number in range(40):
        queue.push(entry(f"a{number}", organisation="a", work=4.0))
        queue.push(entry(f"b{number}", organisation="b", work=1.0))
    served = [r.organisation for r in serve(queue, 25)]
    assert abs(served.count("b") - 20) <= 1


def test_tiers_go_first_and_then_the_nearest_latest_start():
    queue = queues.Queue()
    queue.push(entry("low", 1.0, rank=1))
    queue.push(entry("later", 9.0))
    queue.push(entry("sooner", 5.0))
    names = [request.request_id for request in serve(queue, 3)]
    assert names == ["sooner", "later", "low"]


def test_totals_return_to_zero():
    queue = queues.Queue()
    for number in range(200):
        queue.push(entry(f"r{number}", float(number), rank=number % 3))
    for number in range(0, 200, 2):
        queue.remove(f"r{number}")
    while queue.pop_expired(1000.0):
        pass
    assert (len(queue), queue.worst_rank, queue.work_up_to(2)) == (0, -1, 0.0)
    assert queue.next_expiry() is None
