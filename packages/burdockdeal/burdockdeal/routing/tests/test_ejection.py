"""Tests of ejection and readmission."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from burdockdeal.core import load_report
from burdockdeal.core import verdict
from burdockdeal.routing import decisions
from burdockdeal.routing import ejection
from burdockdeal.routing import instance_group
from burdockdeal.routing import state
from burdockdeal.routing import tracking
from burdockdeal_standins import simulation

EVENTS = {
    "ok": ejection.Succeeded(),
    "failed": ejection.Failed(),
    "slow": ejection.TooSlow(),
}


def apply_events(names: str, **fields: object) -> state.InstanceHealth:
    health = state.InstanceHealth(**fields)
    for name in names.split():
        health = ejection.apply_event(
            health, EVENTS[name], 10.0, may_eject=True
        )
    return health


@pytest.mark.parametrize(
    ("names", "ejected"),
    [
        ("failed", False),
        ("failed failed", True),
        ("failed ok failed", False),
        ("slow", False),
        ("slow slow", True),
        ("slow ok slow", False),
    ],
)
def test_two_consecutive_bad_calls_eject(names: str, ejected: bool) -> None:
    assert ejection.is_ejected(apply_events(names), 10.0) is ejected


def test_consecutive_ejections_double_up_to_the_maximum() -> None:
    health = state.InstanceHealth()
    lengths_s = []
    now = 10.0
    for _ in range(7):
        for _ in range(ejection.FAILURES_TO_EJECT):
            health = ejection.apply_event(
                health, ejection.Failed(), now, may_eject=True
            )
        lengths_s.append(health.ejected_until - now)
        now = health.ejected_until
    assert lengths_s == [0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 16.0]


def test_readmission_limit_doubles_with_each_success() -> None:
    health = apply_events("failed failed")
    now = health.ejected_until
    allowed = []
    while health.readmission_limit is not None:
        allowed.append(health.readmission_limit)
        health = ejection.apply_event(
            health, ejection.Succeeded(), now, may_eject=True
        )
    assert allowed == [1, 2, 4, 8, 16]
    too_early = apply_events("failed failed ok")
    assert too_early.readmission_limit == 1


def make_view(
    index: int,
    health: state.InstanceHealth,
    outstanding: int = 0,
    calls_since_ejection: int = 100,
) -> state.View:
    member = simulation.make_member(index, "shotton")
    return state.View(
        member,
        True,
        outstanding,
        None,
        0.0,
        0.0,
        health=health,
        calls_since_ejection=calls_since_ejection,
    )


def test_one_trial_call_at_a_time_least_critical_calls_first() -> None:
    health = apply_events("failed failed")
    due = health.ejected_until
    views = [
        make_view(0, health),
        make_view(1, health),
        make_view(2, state.InstanceHealth()),
    ]

    def choose(
        views: list[state.View], now: float, trial_delay_factor: float
    ) -> str:
        chosen = decisions.choose(
            views,
            state.Baseline(),
            now,
            random.Random(1),
            trial_delay_factor=trial_delay_factor,
        )
        return chosen.member.daemon

    assert choose(views, due - 0.01, 0.0) == "d2"
    assert choose(views, due, 0.0) == "d0"
    assert choose(views, due, 1.0) == "d2"
    assert choose(views, due + 0.5, 1.0) == "d0"
    few_calls = [
        make_view(0, health, calls_since_ejection=99),
        make_view(2, state.InstanceHealth()),
    ]
    assert choose(few_calls, due + 7.9, 0.0) == "d2"
    assert choose(few_calls, due + 8.1, 0.0) == "d0"
    few_calls[1] = make_view(2, state.InstanceHealth(), outstanding=2)
    assert choose(few_calls, due, 0.0) == "d0"
    views[0] = make_view(0, health, outstanding=1)
    assert choose(views, due + 5, 0.0) == "d2"


def test_call_is_sent_even_if_all_instances_are_ejected() -> None:
    health = apply_events("failed failed")
    chosen = decisions.choose(
        [make_view(0, health)], state.Baseline(), 10.0, random.Random(1)
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
                ["respond", "error", "break", "refuse", "hang", "report"]
            ),
            strategies.floats(0, 0.3),
        ),
        max_size=120,
    ),
)
def test_ejections_never_exceed_the_cap(
    count: int, share: float, steps: list[tuple[int, str, float]]
) -> None:
    now = [10.0]
    tracker = tracking.InstanceTracker(
        "entry",
        "shotton",
        lambda: now[0],
        lambda: load_report.LoadReport(0, 0, 0),
    )
    members = tuple(simulation.make_member(i, "shotton") for i in range(count))
    group = tracker.update_members(simulation.SERVICE, members, share)
    cap = ejection.find_ejection_cap(count, share)
    assert cap <= count * share + 1e-6
    assert cap < count
    for index, action, pause_s in steps:
        member = members[index % count]
        tracker.ensure_stats(member)
        tracked_call = tracker.track_call(
            member.daemon, 1, simulation.SERVICE, timed=True
        )
        key = instance_group.make_key(member)
        with tracked_call:
            now[0] += pause_s
            if action in ("respond", "error"):
                tracked_call.record_response(
                    200 if action == "respond" else 500
                )
        if action == "break":
            reason = verdict.Reason.BROKEN_CONNECTION
            tracker.record_error(key, simulation.SERVICE, reason, 0.0)
        if action == "refuse":
            reason = verdict.Reason.SHED
            tracker.record_error(key, simulation.SERVICE, reason, 0.0)
        if action == "hang":
            tracker.record_abandoned(key, simulation.SERVICE, 9.0)
        if action == "report":
            tracker.record_report(
                member.daemon,
                1,
                load_report.LoadReport(0, 0, 9, pause_s * 1000),
            )
        ejected = [
            one
            for one in members
            if ejection.awaits_trial(tracker.view(one).health)
        ]
        assert len(ejected) == group.ejected_count <= cap
