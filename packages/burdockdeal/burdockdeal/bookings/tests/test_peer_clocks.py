"""What other daemons' clocks show, never more than they do."""

import hypothesis
from hypothesis import strategies

from burdockdeal.bookings import peer_clocks

AHEAD = 5000.0
SPAN = strategies.floats(0, 20)


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.lists(strategies.tuples(SPAN, SPAN)))
def test_a_clock_is_never_read_ahead(events) -> None:
    now = 0.0
    standing = peer_clocks.PeerClocks(lambda: now)
    for pause, delay in events:
        now += pause + delay
        # The peer's clock is slow by less than MAX_CLOCK_DRIFT.
        theirs = AHEAD + (now - delay) * 0.9998
        standing.record("d2", 1, theirs)
        shown = standing.estimate("d2", 1)
        assert shown is not None
        assert shown <= AHEAD + now * 0.9998 + 1e-6


def test_a_clock_unheard_of_late_is_not_read() -> None:
    now = 0.0
    standing = peer_clocks.PeerClocks(lambda: now)
    assert standing.estimate("d2", 1) is None
    standing.record("d2", 1, 10.0)
    assert standing.estimate("d2", 2) is None
    now = peer_clocks.MAX_AGE_S + 1
    assert standing.estimate("d2", 1) is None
