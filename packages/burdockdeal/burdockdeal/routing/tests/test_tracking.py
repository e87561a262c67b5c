"""Tests of what the tracker derives from calls in flight and reports."""

import asyncio
import dataclasses

import pytest

from burdockdeal.core import errors
from burdockdeal.core import load_report
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.routing import round_trips
from burdockdeal.routing import state
from burdockdeal.routing import tracked_call
from burdockdeal.routing import tracking
from burdockdeal_standins import clocks
from burdockdeal_standins import simulation


@pytest.fixture
def clock() -> clocks.Clock:
    return clocks.Clock(10.0)


@pytest.fixture
def tracker(clock: clocks.Clock) -> tracking.InstanceTracker:
    tracker = tracking.InstanceTracker(
        "own", "shotton", clock, lambda: load_report.LoadReport(3, 0, 9, 5.0)
    )
    tracker.update_members(simulation.SERVICE, MEMBERS, 0.5)
    for member in MEMBERS:
        tracker.ensure_stats(member)
    return tracker


MEMBERS = tuple(simulation.make_member(index, "shotton") for index in range(3))


def track(
    tracker: tracking.InstanceTracker, *, timed: bool = True
) -> tracked_call.TrackedCall:
    return tracker.track_call("d0", 1, simulation.SERVICE, timed=timed)


def test_call_is_outstanding_until_it_ends(
    tracker: tracking.InstanceTracker,
) -> None:
    with track(tracker) as tracked:
        assert tracker.view(MEMBERS[0]).outstanding == 1
        tracked.record_response(200)
        assert tracker.view(MEMBERS[0]).unanswered == 0
        assert tracker.view(MEMBERS[0]).outstanding == 1
    assert tracker.view(MEMBERS[0]).outstanding == 0


def test_unanswered_time_ignores_calls_older_than_an_answered_one(
    tracker: tracking.InstanceTracker, clock: clocks.Clock
) -> None:
    with track(tracker) as first:
        clock.now += 0.1
        with track(tracker), track(tracker) as third:
            clock.now += 0.1
            assert tracker.view(MEMBERS[0]).unanswered_s == pytest.approx(0.2)
            first.record_response(200)
            assert tracker.view(MEMBERS[0]).unanswered_s == pytest.approx(0.1)
            clock.now += 0.1
            with track(tracker):
                third.record_response(200)
                clock.now += 0.05
                view = tracker.view(MEMBERS[0])
                assert view.unanswered_s == pytest.approx(0.05)
                assert view.unanswered == 2


def test_untimed_call_does_not_count_as_unanswered(
    tracker: tracking.InstanceTracker, clock: clocks.Clock
) -> None:
    with track(tracker, timed=False):
        clock.now += 30
        view = tracker.evaluate(MEMBERS[0])
        assert view.outstanding == 1
        assert view.unanswered_s == 0


def test_two_unanswered_calls_eject_the_instance(
    tracker: tracking.InstanceTracker, clock: clocks.Clock
) -> None:
    with track(tracker):
        clock.now += 1
        assert tracker.evaluate(MEMBERS[0]).health.readmission_limit is None
        with track(tracker):
            assert tracker.evaluate(MEMBERS[0]).health.readmission_limit == 1


@pytest.mark.parametrize("status", [500, 502, 503])
def test_server_errors_eject_the_instance(
    tracker: tracking.InstanceTracker, status: int
) -> None:
    for _ in range(2):
        assert tracker.view(MEMBERS[0]).health.readmission_limit is None
        with track(tracker) as tracked:
            tracked.record_response(status)
    view = tracker.view(MEMBERS[0])
    assert view.failure_penalty == pytest.approx(36.0)
    assert view.health.readmission_limit == 1


def test_client_errors_do_not_count_as_failures(
    tracker: tracking.InstanceTracker,
) -> None:
    for _ in range(9):
        with track(tracker) as tracked:
            tracked.record_response(404)
    assert tracker.view(MEMBERS[0]).failure_penalty == 0


@pytest.mark.parametrize(
    ("reason", "penalty", "consecutive_failures"),
    [
        (verdict.Reason.UNREACHABLE, 18.0, 1),
        (verdict.Reason.BROKEN_CONNECTION, 18.0, 1),
        (verdict.Reason.STALE_INSTANCE, 18.0, 1),
        (verdict.Reason.QUEUE_FULL, 18.0, 0),
        (verdict.Reason.SHED, 18.0, 0),
        (verdict.Reason.CALLER_GONE, 0.0, 0),
        (verdict.Reason.UNKNOWN_RANK, 0.0, 0),
    ],
)
def test_errors_count_depending_on_their_reason(
    tracker: tracking.InstanceTracker,
    reason: verdict.Reason,
    penalty: float,
    consecutive_failures: int,
) -> None:
    with pytest.raises(errors.CallError), track(tracker):
        raise errors.NotRunError(reason)
    view = tracker.view(MEMBERS[0])
    assert view.failure_penalty == penalty
    assert view.health.consecutive_failures == consecutive_failures


@pytest.mark.parametrize(
    ("waited_s", "consecutive_slow"), [(0.002, 0), (0.5, 1)]
)
def test_cancelled_call_counts_as_slow_if_it_waited_long(
    tracker: tracking.InstanceTracker,
    clock: clocks.Clock,
    waited_s: float,
    consecutive_slow: int,
) -> None:
    with pytest.raises(asyncio.CancelledError), track(tracker):
        clock.now += waited_s
        raise asyncio.CancelledError
    assert tracker.view(MEMBERS[0]).health.consecutive_slow == consecutive_slow


def test_failure_penalty_decays(
    tracker: tracking.InstanceTracker, clock: clocks.Clock
) -> None:
    with track(tracker) as tracked:
        tracked.record_response(500)
    clock.now += 1
    assert tracker.view(MEMBERS[0]).failure_penalty == pytest.approx(9)
    clock.now += 60
    assert tracker.view(MEMBERS[0]).failure_penalty == pytest.approx(0)


def test_new_incarnation_has_new_statistics(
    tracker: tracking.InstanceTracker,
) -> None:
    for _ in range(3):
        with track(tracker) as tracked:
            tracked.record_response(500)
    restarted = dataclasses.replace(MEMBERS[0], upstream_incarnation=2)
    tracker.drop_departed(MEMBERS[0], restarted)
    assert tracker.view(restarted).health == state.InstanceHealth()
    assert tracker.view(MEMBERS[0]).health == state.InstanceHealth()


def test_call_to_a_departed_instance_can_end(
    tracker: tracking.InstanceTracker,
) -> None:
    tracker.drop_departed(
        MEMBERS[0],
        dataclasses.replace(MEMBERS[0], health=membership.Health.DEAD),
    )
    with track(tracker) as tracked:
        tracked.record_response(500)


def test_own_load_is_read_directly(
    tracker: tracking.InstanceTracker,
) -> None:
    own = dataclasses.replace(MEMBERS[0], daemon="own")
    assert tracker.view(own).report == load_report.LoadReport(3, 0, 9, 5.0)
    assert tracker.view(own).round_trip_s == 0


def test_round_trip_is_the_minimum_of_recent_samples() -> None:
    estimator = round_trips.RoundTripEstimator("shotton")
    assert estimator.estimate_s("shotton") < estimator.estimate_s("sealand")
    for at, sample_s in ((0, 0.009), (1, 0.006), (2, 0.2)):
        estimator.record("sealand", sample_s, at)
    assert estimator.estimate_s("sealand") == 0.006
    for at in range(3, 15):
        estimator.record("sealand", 0.012, at)
    assert estimator.estimate_s("sealand") == 0.012


def test_roster_returns_the_same_tuple_until_a_change() -> None:
    member_roster = roster.Roster(simulation.make_member(9, "shotton"))
    member_roster.merge_members(MEMBERS)
    listed = member_roster.list_serving(simulation.SERVICE)
    assert {member.daemon for member in listed} == {"d0", "d1", "d2", "d9"}
    assert member_roster.list_serving(simulation.SERVICE) is listed
    assert member_roster.list_serving("nothing") == ()
    member_roster.update_own(service="other")
    assert {
        m.daemon for m in member_roster.list_serving(simulation.SERVICE)
    } == {
        "d0",
        "d1",
        "d2",
    }
    assert [m.daemon for m in member_roster.list_serving("other")] == ["d9"]


def test_one_failure_ejects_if_the_report_shows_failures(
    tracker: tracking.InstanceTracker,
) -> None:
    report = load_report.LoadReport(0, 0, 9, 5.0, failed_share=0.7)
    with track(tracker) as tracked:
        tracker.record_report("d0", 1, report)
        tracked.record_response(500)
    assert tracker.view(MEMBERS[0]).health.readmission_limit == 1
