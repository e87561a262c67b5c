"""A suspended machine acts on no permission that ran out meanwhile."""

import time

import pytest

from burdockdeal.announce import api
from burdockdeal.announce import messages
from burdockdeal.core import clock
from burdockdeal.daemon import components


def test_the_clock_counts_the_time_of_a_suspension() -> None:
    """The monotonic clock stands still while a machine is suspended."""
    boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert clock.read_seconds() == pytest.approx(boot_time, abs=1.0)


def test_a_lease_that_ran_out_during_a_suspension_is_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    suspended_s = 0.0
    read = time.clock_gettime

    def read_after_suspension(clock_id: int) -> float:
        counts_it = clock_id == time.CLOCK_BOOTTIME
        return read(clock_id) + (suspended_s if counts_it else 0.0)

    monkeypatch.setattr(time, "clock_gettime", read_after_suspension)
    tracker = api.UpstreamTracker(components.CLOCK)
    tracker.apply(
        messages.Announce("orders", "10.0.0.1", 80, 1, 9, lease_s=2.5)
    )
    tracker.apply(messages.Heartbeat(1, tracker.clock()))
    assert tracker.may_start_call()
    suspended_s = 3.0
    assert not tracker.may_start_call()
