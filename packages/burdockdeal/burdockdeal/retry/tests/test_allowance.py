"""The entry's part of what the fleet may send again."""

from hypothesis import given
from hypothesis import strategies

from burdockdeal.retry import allowance
from burdockdeal.settings import model
from burdockdeal_standins import clocks

#: Of these, a share of 0.1 and 40 more are used.
TERMS = model.FleetRetryBudget(
    share=0.1 / allowance.USED_SHARE,
    slack=40.0 / allowance.USED_SHARE,
    window_s=10.0,
)


def test_a_part_of_the_slack_is_there_before_any_request() -> None:
    part = allowance.Allowance(lambda: TERMS, lambda: 13, clocks.Clock())
    sent = 0
    while part.may_repeat("orders"):
        part.count("orders", first=False)
        sent += 1
    assert sent == 3
    assert part.may_repeat("bookings")


def test_a_fleet_that_looks_smaller_allows_no_more() -> None:
    members = 40
    part = allowance.Allowance(lambda: TERMS, lambda: members, clocks.Clock())
    assert part.may_repeat("orders")
    members = 1
    part.count("orders", first=False)
    assert not part.may_repeat("orders")


@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0.0, 2.0), strategies.booleans()),
        max_size=300,
    )
)
def test_any_window_keeps_to_the_part(steps: list[tuple[float, bool]]) -> None:
    clock = clocks.Clock()
    part = allowance.Allowance(lambda: TERMS, lambda: 4, clock)
    firsts: list[float] = []
    repeats: list[float] = []
    for pause_s, first in steps:
        clock.now += pause_s
        if not first and not part.may_repeat("orders"):
            continue
        part.count("orders", first=first)
        (firsts if first else repeats).append(clock.now)
    for end in repeats:
        within = [at for at in repeats if end - 10.0 < at <= end]
        # What a window earned may lie in the step that it begins in.
        earned = [at for at in firsts if end - 10.6 < at <= end]
        assert len(within) <= 0.1 * len(earned) + 10.0
