"""Estimates of other daemons' clocks never exceed the true time."""

import hypothesis
from hypothesis import strategies

from burdockdeal.bookings import peer_clocks

AHEAD = 5000.0
SPAN = strategies.floats(0, 20)


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.lists(strategies.tuples(SPAN, SPAN)))
def test_an_estimate_is_a_lower_bound(readings) -> None:
    now = 0.0
    clocks = peer_clocks.PeerClocks(lambda: now)
    for pause, delay in readings:
        now += pause + delay
        # The peer's clock is slow by less than MAX_CLOCK_DRIFT.
        reading = AHEAD + (now - delay) * 0.9998
        clocks.record("d2", 1, reading)
        estimate = clocks.estimate("d2", 1)
        assert estimate is not None
        assert estimate <= AHEAD + now * 0.9998 + 1e-6


def test_an_old_reading_is_not_used() -> None:
    now = 0.0
    clocks = peer_clocks.PeerClocks(lambda: now)
    assert clocks.estimate("d2", 1) is None
    clocks.record("d2", 1, 10.0)
    assert clocks.estimate("d2", 2) is None
    now = peer_clocks.MAX_AGE_S + 1
    assert clocks.estimate("d2", 1) is None
