"""The board: what calls in flight and reports leave behind."""

import asyncio
import dataclasses

import pytest

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.routing import round_trips
from burdockdeal.routing import state
from burdockdeal.routing import tracking
from burdockdeal_standins import clocks
from burdockdeal_standins import play


@pytest.fixture
def clock() -> clocks.Clock:
    return clocks.Clock(10.0)


@pytest.fixture
def tracker(clock: clocks.Clock) -> tracking.InstanceTracker:
    made = tracking.InstanceTracker(
        "own", "shotton", clock, lambda: state.LoadReport(3, 0, 9, 5.0)
    )
    made.update_members(play.SERVICE, MEMBERS, 0.5)
    for member in MEMBERS:
        made.ensure_stats(member)
    return made


MEMBERS = tuple(play.make_member(index, "shotton") for index in range(3))


def watch(
    tracker: tracking.InstanceTracker, *, timed: bool = True
) -> tracking.TrackedCall:
    return tracker.track_call("d0", 1, play.SERVICE, timed=timed)


def test_in_flight_until_the_end(tracker: tracking.InstanceTracker) -> None:
    with watch(tracker) as seen:
        assert tracker.view(MEMBERS[0]).sent == 1
        seen.record_response(200)
        assert tracker.view(MEMBERS[0]).unanswered == 0
        assert tracker.view(MEMBERS[0]).sent == 1
    assert tracker.view(MEMBERS[0]).sent == 0


def test_silence_counts_from_the_oldest_call_not_overtaken(
    tracker: tracking.InstanceTracker, clock: clocks.Clock
) -> None:
    with watch(tracker) as first:
        clock.now += 0.1
        with watch(tracker), watch(tracker) as third:
            clock.now += 0.1
            assert tracker.view(MEMBERS[0]).silent_s == pytest.approx(0.2)
            first.record_response(200)
            assert tracker.view(MEMBERS[0]).silent_s == pytest.approx(0.1)
            clock.now += 0.1
            with watch(tracker):
                third.record_response(200)
                clock.now += 0.05
                shown = tracker.view(MEMBERS[0])
                assert shown.silent_s == pytest.approx(0.05)
                assert shown.unanswered == 2


def test_a_slow_caller_is_not_a_slow_instance(
    tracker: tracking.InstanceTracker, clock: clocks.Clock
) -> None:
    with watch(tracker, timed=False):
        clock.now += 30
        shown = tracker.evaluate(MEMBERS[0])
        assert shown.sent == 1
        assert shown.silent_s == 0


def test_two_calls_without_an_answer_eject(
    tracker: tracking.InstanceTracker, clock: clocks.Clock
) -> None:
    with watch(tracker):
        clock.now += 1
        assert tracker.evaluate(MEMBERS[0]).health.allowance is None
        with watch(tracker):
            assert tracker.evaluate(MEMBERS[0]).health.allowance == 1


@pytest.mark.parametrize("status", [500, 502, 503])
def test_server_errors_count(
    tracker: tracking.InstanceTracker, status: int
) -> None:
    for _ in range(2):
        assert tracker.view(MEMBERS[0]).health.allowance is None
        with watch(tracker) as seen:
            seen.record_response(status)
    shown = tracker.view(MEMBERS[0])
    assert shown.failure_load == pytest.approx(36.0)
    assert shown.health.allowance == 1


def test_client_errors_do_not(tracker: tracking.InstanceTracker) -> None:
    for _ in range(9):
        with watch(tracker) as seen:
            seen.record_response(404)
    assert tracker.view(MEMBERS[0]).failure_load == 0


@pytest.mark.parametrize(
    ("reason", "load", "streak"),
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
def test_errors_count_by_their_reason(
    tracker: tracking.InstanceTracker,
    reason: verdict.Reason,
    load: float,
    streak: int,
) -> None:
    with pytest.raises(errors.CallError), watch(tracker):
        raise errors.NotRunError(reason)
    shown = tracker.view(MEMBERS[0])
    assert shown.failure_load == load
    assert shown.health.streak == streak


@pytest.mark.parametrize(("waited_s", "lags"), [(0.002, 0), (0.5, 1)])
def test_a_cancelled_call_tells_how_long_it_waited(
    tracker: tracking.InstanceTracker,
    clock: clocks.Clock,
    waited_s: float,
    lags: int,
) -> None:
    with pytest.raises(asyncio.CancelledError), watch(tracker):
        clock.now += waited_s
        raise asyncio.CancelledError
    assert tracker.view(MEMBERS[0]).health.lags == lags


def test_failures_fade(
    tracker: tracking.InstanceTracker, clock: clocks.Clock
) -> None:
    with watch(tracker) as seen:
        seen.record_response(500)
    clock.now += 1
    assert tracker.view(MEMBERS[0]).failure_load == pytest.approx(9)
    clock.now += 60
    assert tracker.view(MEMBERS[0]).failure_load == pytest.approx(0)


def test_a_new_incarnation_starts_afresh(
    tracker: tracking.InstanceTracker,
) -> None:
    for _ in range(3):
        with watch(tracker) as seen:
            seen.record_response(500)
    restarted = dataclasses.replace(MEMBERS[0], upstream_incarnation=2)
    tracker.drop_departed(MEMBERS[0], restarted)
    assert tracker.view(restarted).health == state.InstanceHealth()
    assert tracker.view(MEMBERS[0]).health == state.InstanceHealth()


def test_a_call_to_a_forgotten_instance_still_ends(
    tracker: tracking.InstanceTracker,
) -> None:
    tracker.drop_departed(
        MEMBERS[0],
        dataclasses.replace(MEMBERS[0], health=membership.Health.DEAD),
    )
    with watch(tracker) as seen:
        seen.record_response(500)


def test_the_own_load_is_known_at_once(
    tracker: tracking.InstanceTracker,
) -> None:
    own = dataclasses.replace(MEMBERS[0], daemon="own")
    assert tracker.view(own).report == state.LoadReport(3, 0, 9, 5.0)
    assert tracker.view(own).link_s == 0


def test_link_time_is_the_lowest_of_late() -> None:
    known = round_trips.Links("shotton")
    assert known.round_trip_s("shotton") < known.round_trip_s("sealand")
    for at, sample_s in ((0, 0.009), (1, 0.006), (2, 0.2)):
        known.note("sealand", sample_s, at)
    assert known.round_trip_s("sealand") == 0.006
    for at in range(3, 15):
        known.note("sealand", 0.012, at)
    assert known.round_trip_s("sealand") == 0.012


def test_the_index_of_a_service_is_kept() -> None:
    standing = roster.Roster(play.make_member(9, "shotton"))
    standing.hear(MEMBERS)
    listed = standing.list_serving(play.SERVICE)
    assert {member.daemon for member in listed} == {"d0", "d1", "d2", "d9"}
    assert standing.list_serving(play.SERVICE) is listed
    assert standing.list_serving("nothing") == ()
    standing.declare(service="other")
    assert {m.daemon for m in standing.list_serving(play.SERVICE)} == {
        "d0",
        "d1",
        "d2",
    }
    assert [m.daemon for m in standing.list_serving("other")] == ["d9"]


def test_a_failure_that_others_saw_too_ejects_at_once(
    tracker: tracking.InstanceTracker,
) -> None:
    report = state.LoadReport(0, 0, 9, 5.0, failed_share=0.7)
    with watch(tracker) as seen:
        tracker.record_report("d0", 1, report)
        seen.record_response(500)
    assert tracker.view(MEMBERS[0]).health.allowance == 1
