"""Tests of how calls made on behalf of retries are counted."""

import pytest

from burdockdeal.core import verdict
from burdockdeal.retry import decisions
from burdockdeal.retry import fleet_budget
from burdockdeal.retry import running
from burdockdeal.retry import state
from burdockdeal.settings import model

TERMS = model.FleetRetryBudget(share=0.2, slack=0.0, window_s=10.0)


def test_retry_share_follows_the_running_calls() -> None:
    calls = running.RunningCalls()
    assert calls.retry_share == 0.0
    with calls.track(repeated=False):
        assert calls.retry_share == 0.0
        with calls.track(repeated=True):
            assert calls.retry_share == pytest.approx(0.5)
        assert calls.retry_share == 0.0


def count_retries(retry_share: float) -> int:
    """Return the number of retries that 100 first sends allow."""
    fleet = fleet_budget.FleetBudget(
        lambda: TERMS, lambda: 1, lambda: 0.0, lambda: retry_share
    )
    for _ in range(100):
        fleet.record_send("bookings", first=True)
    retries = 0
    while fleet.may_retry("bookings"):
        fleet.record_send("bookings", first=False)
        retries += 1
    return retries


def test_calls_on_behalf_of_retries_use_up_the_budget() -> None:
    allowed = int(100 * TERMS.share * fleet_budget.USABLE_SHARE)
    assert count_retries(0.0) == allowed
    assert count_retries(0.1) == allowed - 10
    assert count_retries(0.2) == 0


@pytest.mark.parametrize(
    ("outcome", "reason", "arrived"),
    [
        (verdict.Verdict.NOT_RUN, verdict.Reason.BUSY, False),
        (verdict.Verdict.NOT_RUN, verdict.Reason.TARGET_MISSED, False),
        (verdict.Verdict.NOT_RUN, verdict.Reason.UPSTREAM_REFUSED, True),
        (
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.BROKEN_CONNECTION,
            True,
        ),
        (verdict.Verdict.RAN, None, True),
    ],
)
def test_call_counts_as_retried_only_if_it_reached_an_upstream(
    outcome: verdict.Verdict, reason: verdict.Reason | None, arrived: bool
) -> None:
    progress = state.Progress(sends_left=2)
    assert decisions.may_have_arrived(outcome, reason) is arrived
    failed = decisions.record_failure(progress, outcome, reason)
    assert failed.reached_upstream is arrived
