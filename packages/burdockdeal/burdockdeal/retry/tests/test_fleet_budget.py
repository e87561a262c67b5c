"""The entry's part of what the fleet may send again."""

from hypothesis import given
from hypothesis import strategies

from burdockdeal.retry import fleet_budget
from burdockdeal.settings import model
from burdockdeal_standins import clocks

#: Of these, a share of 0.1 and 40 more are used.
TERMS = model.FleetRetries(
    share=0.1 / fleet_budget.USABLE_SHARE,
    slack=40.0 / fleet_budget.USABLE_SHARE,
    window_s=10.0,
)


def test_a_part_of_the_slack_is_there_before_any_request() -> None:
    part = fleet_budget.FleetBudget(lambda: TERMS, lambda: 13, clocks.Clock())
    sent = 0
    while part.may_retry("orders"):
        part.record_send("orders", first=False)
        sent += 1
    assert sent == 3
    assert part.may_retry("bookings")


def test_a_fleet_that_looks_smaller_allows_no_more() -> None:
    members = 40
    part = fleet_budget.FleetBudget(
        lambda: TERMS, lambda: members, clocks.Clock()
    )
    assert part.may_retry("orders")
    members = 1
    part.record_send("orders", first=False)
    assert not part.may_retry("orders")


@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0.0, 2.0), strategies.booleans()),
        max_size=300,
    )
)
def test_any_window_keeps_to_the_part(
    buckets: list[tuple[float, bool]],
) -> None:
    clock = clocks.Clock()
    part = fleet_budget.FleetBudget(lambda: TERMS, lambda: 4, clock)
    first_sends: list[float] = []
    retries: list[float] = []
    for pause_s, first in buckets:
        clock.now += pause_s
        if not first and not part.may_retry("orders"):
            continue
        part.record_send("orders", first=first)
        (first_sends if first else retries).append(clock.now)
    for end in retries:
        within = [at for at in retries if end - 10.0 < at <= end]
        # What a window earned may lie in the step that it begins in.
        earned = [at for at in first_sends if end - 10.6 < at <= end]
        assert len(within) <= 0.1 * len(earned) + 10.0
