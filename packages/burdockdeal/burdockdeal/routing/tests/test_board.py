"""The board: what calls in flight and reports leave behind."""

import asyncio
import dataclasses

import pytest

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.routing import board
from burdockdeal.routing import links
from burdockdeal.routing import state
from burdockdeal_standins import clocks
from burdockdeal_standins import play


@pytest.fixture
def clock() -> clocks.Clock:
    return clocks.Clock(10.0)


@pytest.fixture
def tallies(clock: clocks.Clock) -> board.Board:
    made = board.Board(
        "own", "shotton", clock, lambda: state.Report(3, 0, 9, 5.0)
    )
    made.refresh(play.SERVICE, MEMBERS, 0.5)
    for member in MEMBERS:
        made.enlist(member)
    return made


MEMBERS = tuple(play.make_member(index, "shotton") for index in range(3))


def watch(tallies: board.Board, *, timed: bool = True) -> board.Watch:
    return tallies.watch("d0", 1, play.SERVICE, timed=timed)


def test_in_flight_until_the_end(tallies: board.Board) -> None:
    with watch(tallies) as seen:
        assert tallies.view(MEMBERS[0]).sent == 1
        seen.answered(200)
        assert tallies.view(MEMBERS[0]).unanswered == 0
        assert tallies.view(MEMBERS[0]).sent == 1
    assert tallies.view(MEMBERS[0]).sent == 0


def test_silence_counts_from_the_oldest_call_not_overtaken(
    tallies: board.Board, clock: clocks.Clock
) -> None:
    with watch(tallies) as first:
        clock.now += 0.1
        with watch(tallies), watch(tallies) as third:
            clock.now += 0.1
            assert tallies.view(MEMBERS[0]).silent_s == pytest.approx(0.2)
            first.answered(200)
            assert tallies.view(MEMBERS[0]).silent_s == pytest.approx(0.1)
            clock.now += 0.1
            with watch(tallies):
                third.answered(200)
                clock.now += 0.05
                shown = tallies.view(MEMBERS[0])
                assert shown.silent_s == pytest.approx(0.05)
                assert shown.unanswered == 2


def test_a_slow_caller_is_not_a_slow_instance(
    tallies: board.Board, clock: clocks.Clock
) -> None:
    with watch(tallies, timed=False):
        clock.now += 30
        shown = tallies.judge(MEMBERS[0])
        assert shown.sent == 1
        assert shown.silent_s == 0


def test_two_calls_without_an_answer_eject(
    tallies: board.Board, clock: clocks.Clock
) -> None:
    with watch(tallies):
        clock.now += 1
        assert tallies.judge(MEMBERS[0]).health.allowance is None
        with watch(tallies):
            assert tallies.judge(MEMBERS[0]).health.allowance == 1


@pytest.mark.parametrize("status", [500, 502, 503])
def test_server_errors_count(tallies: board.Board, status: int) -> None:
    for _ in range(2):
        assert tallies.view(MEMBERS[0]).health.allowance is None
        with watch(tallies) as seen:
            seen.answered(status)
    shown = tallies.view(MEMBERS[0])
    assert shown.failure_load == pytest.approx(36.0)
    assert shown.health.allowance == 1


def test_client_errors_do_not(tallies: board.Board) -> None:
    for _ in range(9):
        with watch(tallies) as seen:
            seen.answered(404)
    assert tallies.view(MEMBERS[0]).failure_load == 0


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
    tallies: board.Board, reason: verdict.Reason, load: float, streak: int
) -> None:
    with pytest.raises(errors.CallError), watch(tallies):
        raise errors.NotRunError(reason)
    shown = tallies.view(MEMBERS[0])
    assert shown.failure_load == load
    assert shown.health.streak == streak


@pytest.mark.parametrize(("waited_s", "lags"), [(0.002, 0), (0.5, 1)])
def test_a_cancelled_call_tells_how_long_it_waited(
    tallies: board.Board, clock: clocks.Clock, waited_s: float, lags: int
) -> None:
    with pytest.raises(asyncio.CancelledError), watch(tallies):
        clock.now += waited_s
        raise asyncio.CancelledError
    assert tallies.view(MEMBERS[0]).health.lags == lags


def test_failures_fade(tallies: board.Board, clock: clocks.Clock) -> None:
    with watch(tallies) as seen:
        seen.answered(500)
    clock.now += 1
    assert tallies.view(MEMBERS[0]).failure_load == pytest.approx(9)
    clock.now += 60
    assert tallies.view(MEMBERS[0]).failure_load == pytest.approx(0)


def test_a_new_incarnation_starts_afresh(tallies: board.Board) -> None:
    for _ in range(3):
        with watch(tallies) as seen:
            seen.answered(500)
    restarted = dataclasses.replace(MEMBERS[0], upstream_incarnation=2)
    tallies.forget(MEMBERS[0], restarted)
    assert tallies.view(restarted).health == state.Health()
    assert tallies.view(MEMBERS[0]).health == state.Health()


def test_a_call_to_a_forgotten_instance_still_ends(
    tallies: board.Board,
) -> None:
    tallies.forget(
        MEMBERS[0],
        dataclasses.replace(MEMBERS[0], health=membership.Health.DEAD),
    )
    with watch(tallies) as seen:
        seen.answered(500)


def test_the_own_load_is_known_at_once(tallies: board.Board) -> None:
    own = dataclasses.replace(MEMBERS[0], daemon="own")
    assert tallies.view(own).report == state.Report(3, 0, 9, 5.0)
    assert tallies.view(own).link_s == 0


def test_link_time_is_the_lowest_of_late() -> None:
    known = links.Links("shotton")
    assert known.round_trip_s("shotton") < known.round_trip_s("sealand")
    for at, sample_s in ((0, 0.009), (1, 0.006), (2, 0.2)):
        known.note("sealand", sample_s, at)
    assert known.round_trip_s("sealand") == 0.006
    for at in range(3, 15):
        known.note("sealand", 0.012, at)
    assert known.round_trip_s("sealand") == 0.012


def test_the_index_of_a_service_is_kept() -> None:
    standing = roster.Roster(play.make_member(9, "shotton"))
    standing.merge_members(MEMBERS)
    listed = standing.list_serving(play.SERVICE)
    assert {member.daemon for member in listed} == {"d0", "d1", "d2", "d9"}
    assert standing.list_serving(play.SERVICE) is listed
    assert standing.list_serving("nothing") == ()
    standing.update_own(service="other")
    assert {m.daemon for m in standing.list_serving(play.SERVICE)} == {
        "d0",
        "d1",
        "d2",
    }
    assert [m.daemon for m in standing.list_serving("other")] == ["d9"]


def test_a_failure_that_others_saw_too_ejects_at_once(
    tallies: board.Board,
) -> None:
    report = state.Report(0, 0, 9, 5.0, failed_share=0.7)
    with watch(tallies) as seen:
        tallies.note_report("d0", 1, report)
        seen.answered(500)
    assert tallies.view(MEMBERS[0]).health.allowance == 1
