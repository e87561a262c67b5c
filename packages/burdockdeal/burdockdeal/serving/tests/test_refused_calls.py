"""Ids of refused calls."""

from burdockdeal.serving import refused_calls
from burdockdeal_standins import clocks


def test_a_refused_call_is_remembered_until_its_deadline() -> None:
    clock = clocks.Clock()
    calls = refused_calls.RefusedCalls(clock)
    calls.record("first", clock.now + 1.0)
    calls.record("first", clock.now + 2.0)
    assert "first" in calls
    assert "second" not in calls
    clock.now += 3.0
    calls.record("second", clock.now + 1.0)
    assert "first" not in calls
    assert len(calls) == 1
