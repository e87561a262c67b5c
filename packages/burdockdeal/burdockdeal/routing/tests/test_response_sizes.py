"""Calls with large responses stay in their failure domain."""

from burdockdeal.core import call
from burdockdeal.routing import decisions
from burdockdeal.routing import response_sizes


def make_call(rank: str) -> call.Call:
    return call.Call("a", "orders", rank, 10.0)


def test_sizes_are_kept_by_kind_of_call() -> None:
    sizes = response_sizes.ResponseSizes()
    assert sizes.estimate(make_call("photos")) == 0
    for _ in range(50):
        sizes.record(make_call("photos"), 30_000)
        sizes.record(make_call("status"), 400)
    sizes.record(make_call("photos"), 0)
    assert 25_000 < sizes.estimate(make_call("photos")) < 30_000
    assert sizes.estimate(make_call("status")) == 400


def test_a_large_response_weighs_like_a_large_request() -> None:
    sizes = response_sizes.ResponseSizes()
    sizes.record(make_call("photos"), 30_000)
    expected = sizes.estimate(make_call("photos"))
    penalty_s = decisions.find_remote_penalty(expected)
    assert penalty_s == decisions.find_remote_penalty(30_000)
    assert penalty_s > 5 * decisions.find_remote_penalty(400)
