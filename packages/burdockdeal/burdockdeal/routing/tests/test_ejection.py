"""Leaving instances out and letting them back."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from burdockdeal.core import verdict
from burdockdeal.routing import decisions
from burdockdeal.routing import ejection
from burdockdeal.routing import instance_group
from burdockdeal.routing import state
from burdockdeal.routing import tracking
from burdockdeal_standins import play

EVENTS = {
    "answered": ejection.Answered(),
    "failed": ejection.Failed(),
    "lagged": ejection.Lagged(),
}


def after(names: str, **fields: object) -> state.InstanceHealth:
    health = state.InstanceHealth(**fields)
    for name in names.split():
        health = ejection.step(health, EVENTS[name], 10.0, may_eject=True)
    return health


@pytest.mark.parametrize(
    ("names", "ejected"),
    [
        ("failed", False),
        ("failed failed", True),
        ("failed answered failed", False),
        ("lagged", False),
        ("lagged lagged", True),
        ("lagged answered lagged", False),
    ],
)
def test_how_much_it_takes(names: str, ejected: bool) -> None:
    assert ejection.is_ejected(after(names), 10.0) is ejected


def test_each_ejection_in_a_row_is_longer() -> None:
    health = state.InstanceHealth()
    lengths = []
    now = 10.0
    for _ in range(7):
        for _ in range(ejection.FAILURES_TO_EJECT):
            health = ejection.step(
                health, ejection.Failed(), now, may_eject=True
            )
        lengths.append(health.ejected_until - now)
        now = health.ejected_until
    assert lengths == [0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 16.0]


def test_let_back_by_a_trickle() -> None:
    health = after("failed failed")
    now = health.ejected_until
    allowed = []
    while health.allowance is not None:
        allowed.append(health.allowance)
        health = ejection.step(
            health, ejection.Answered(), now, may_eject=True
        )
    assert allowed == [1, 2, 4, 8, 16]
    early = after("failed failed answered")
    assert early.allowance == 1


def view(
    index: int, health: state.InstanceHealth, sent: int = 0, spared: int = 100
) -> state.View:
    member = play.make_member(index, "shotton")
    return state.View(
        member, True, sent, None, 0.0, 0.0, health=health, spared=spared
    )


def test_one_trial_at_a_time_and_lesser_work_first() -> None:
    health = after("failed failed")
    due = health.ejected_until
    views = [view(0, health), view(1, health), view(2, state.InstanceHealth())]

    def choose(views: list[state.View], now: float, patience: float) -> str:
        chosen = decisions.choose(
            views, state.Norm(), now, random.Random(1), patience=patience
        )
        return chosen.member.daemon

    assert choose(views, due - 0.01, 0.0) == "d2"
    assert choose(views, due, 0.0) == "d0"
    assert choose(views, due, 1.0) == "d2"
    assert choose(views, due + 0.5, 1.0) == "d0"
    rare = [view(0, health, spared=99), view(2, state.InstanceHealth())]
    assert choose(rare, due + 7.9, 0.0) == "d2"
    assert choose(rare, due + 8.1, 0.0) == "d0"
    rare[1] = view(2, state.InstanceHealth(), sent=2)
    assert choose(rare, due, 0.0) == "d0"
    views[0] = view(0, health, sent=1)
    assert choose(views, due + 5, 0.0) == "d2"


def test_a_call_is_placed_though_all_are_ejected() -> None:
    health = after("failed failed")
    chosen = decisions.choose(
        [view(0, health)], state.Norm(), 10.0, random.Random(1)
    )
    assert chosen.member.daemon == "d0"


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    strategies.integers(1, 12),
    strategies.floats(0, 1),
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 11),
            strategies.sampled_from(
                ["answer", "error", "break", "refuse", "hang", "report"]
            ),
            strategies.floats(0, 0.3),
        ),
        max_size=120,
    ),
)
def test_the_cap_holds_whatever_happens(
    count: int, share: float, steps: list[tuple[int, str, float]]
) -> None:
    now = [10.0]
    tracker = tracking.InstanceTracker(
        "entry", "shotton", lambda: now[0], lambda: state.LoadReport(0, 0, 0)
    )
    members = tuple(play.make_member(i, "shotton") for i in range(count))
    known = tracker.update_members(play.SERVICE, members, share)
    cap = ejection.count_ejectable(count, share)
    assert cap <= count * share + 1e-6
    assert cap < count
    for index, what, pause_s in steps:
        member = members[index % count]
        tracker.ensure_stats(member)
        watch = tracker.track_call(member.daemon, 1, play.SERVICE, timed=True)
        key = instance_group.make_key(member)
        with watch:
            now[0] += pause_s
            if what in ("answer", "error"):
                watch.record_response(200 if what == "answer" else 500)
        if what == "break":
            reason = verdict.Reason.BROKEN_CONNECTION
            tracker.record_error(key, play.SERVICE, reason, 0.0)
        if what == "refuse":
            reason = verdict.Reason.SHED
            tracker.record_error(key, play.SERVICE, reason, 0.0)
        if what == "hang":
            tracker.record_abandoned(key, play.SERVICE, 9.0)
        if what == "report":
            tracker.record_report(
                member.daemon, 1, state.LoadReport(0, 0, 9, pause_s * 1000)
            )
        left_out = [
            one
            for one in members
            if ejection.awaits_trial(tracker.view(one).health)
        ]
        assert len(left_out) == known.ejected <= cap
