"""Tests of a daemon's part of the fleet-wide retry budget."""

from hypothesis import given
from hypothesis import strategies

from burdockdeal.retry import fleet_budget
from burdockdeal.settings import model
from burdockdeal_standins import clocks

#: Chosen so that the usable part is a share of 0.1 and a slack of 40.
TERMS = model.FleetRetryBudget(
    share=0.1 / fleet_budget.USABLE_SHARE,
    slack=40.0 / fleet_budget.USABLE_SHARE,
    window_s=10.0,
)


def test_part_of_the_slack_is_available_before_any_call() -> None:
    fleet = fleet_budget.FleetBudget(lambda: TERMS, lambda: 13, clocks.Clock())
    retries = 0
    while fleet.may_retry("orders"):
        fleet.record_send("orders", first=False)
        retries += 1
    assert retries == 3
    assert fleet.may_retry("bookings")


def test_smaller_fleet_does_not_raise_the_budget() -> None:
    members = 40
    fleet = fleet_budget.FleetBudget(
        lambda: TERMS, lambda: members, clocks.Clock()
    )
    assert fleet.may_retry("orders")
    members = 1
    fleet.record_send("orders", first=False)
    assert not fleet.may_retry("orders")


@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0.0, 2.0), strategies.booleans()),
        max_size=300,
    )
)
def test_retries_in_any_window_keep_to_the_budget(
    events: list[tuple[float, bool]],
) -> None:
    clock = clocks.Clock()
    fleet = fleet_budget.FleetBudget(lambda: TERMS, lambda: 4, clock)
    first_sends: list[float] = []
    retries: list[float] = []
    for pause_s, first in events:
        clock.now += pause_s
        if not first and not fleet.may_retry("orders"):
            continue
        fleet.record_send("orders", first=first)
        (first_sends if first else retries).append(clock.now)
    for end in retries:
        within = [at for at in retries if end - 10.0 < at <= end]
        # First sends in the bucket in which the window begins count too.
        earned = [at for at in first_sends if end - 10.6 < at <= end]
        assert len(within) <= 0.1 * len(earned) + 10.0
