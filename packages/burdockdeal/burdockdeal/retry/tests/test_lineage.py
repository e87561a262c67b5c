"""Calls that are made for repeated calls."""

import pytest

from burdockdeal.core import verdict
from burdockdeal.retry import allowance
from burdockdeal.retry import decisions
from burdockdeal.retry import lineage
from burdockdeal.retry import state
from burdockdeal.settings import model

TERMS = model.FleetRetryBudget(share=0.2, slack=0.0, window_s=10.0)


def test_the_share_follows_the_calls_that_run() -> None:
    running = lineage.Lineage()
    assert running.repeated_share == 0.0
    with running.hold(repeated=False):
        assert running.repeated_share == 0.0
        with running.hold(repeated=True):
            assert running.repeated_share == pytest.approx(0.5)
        assert running.repeated_share == 0.0


def count_repeats(repeated_share: float) -> int:
    """Count the repeats that 100 first sends allow."""
    part = allowance.Allowance(
        lambda: TERMS, lambda: 1, lambda: 0.0, lambda: repeated_share
    )
    for _ in range(100):
        part.count("bookings", first=True)
    repeats = 0
    while part.may_repeat("bookings"):
        part.count("bookings", first=False)
        repeats += 1
    return repeats


def test_calls_for_repeated_calls_use_up_what_may_be_repeated() -> None:
    allowed = int(100 * TERMS.share * allowance.USED_SHARE)
    assert count_repeats(0.0) == allowed
    assert count_repeats(0.1) == allowed - 10
    assert count_repeats(0.2) == 0


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
def test_only_what_reached_an_upstream_makes_a_call_repeated(
    outcome: verdict.Verdict, reason: verdict.Reason | None, arrived: bool
) -> None:
    progress = state.Progress(left=2)
    assert decisions.has_arrived(outcome, reason) is arrived
    failed = decisions.note_failure(progress, outcome, reason)
    assert failed.reached is arrived
