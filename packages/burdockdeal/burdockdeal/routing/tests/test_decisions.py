"""Tests of the hot/cold rule on instance views."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from burdockdeal.core import load_report
from burdockdeal.routing import decisions
from burdockdeal.routing import state
from burdockdeal_standins import simulation

BASELINE = state.Baseline(service_s=0.005, utilization=0.0)


def make_view(
    index: int, *, round_trip_ms: float = 0.5, **fields: object
) -> state.View:
    defaults: dict[str, object] = {
        "member": simulation.make_member(index, "shotton"),
        "is_local": round_trip_ms < 1,
        "outstanding": 0,
        "report": load_report.LoadReport(0, 0, 9, 5.0),
        "report_age_s": 0.0,
        "latency_s": 0.005,
        "round_trip_s": round_trip_ms / 1000,
    }
    return state.View(**(defaults | fields))


def choose(*views: state.View) -> str:
    chosen = decisions.choose(views, BASELINE, 10.0, random.Random(1))
    return chosen.member.daemon


def make_report(
    in_flight: int, waiting: int = 0, service_ms: float = 5.0
) -> dict:
    return {
        "report": load_report.LoadReport(in_flight, waiting, 9, service_ms)
    }


def test_own_instance_is_chosen_while_it_has_free_slots() -> None:
    own = make_view(0, round_trip_ms=0.0, **make_report(4))
    assert choose(own, make_view(1)) == "d0"
    full = make_view(0, round_trip_ms=0.0, **make_report(9, 2))
    assert choose(full, make_view(1)) == "d1"


@pytest.mark.parametrize(
    ("waiting", "chosen"), [(0, "d0"), (4, "d0"), (14, "d1")]
)
def test_remote_domain_is_chosen_if_the_local_wait_is_longer(
    waiting: int, chosen: str
) -> None:
    local = make_view(0, **make_report(9, waiting))
    assert choose(local, make_view(1, round_trip_ms=6.5)) == chosen


def test_unresponsive_instance_is_avoided_despite_its_report() -> None:
    local = make_view(0, outstanding=2, unanswered_s=0.030, unanswered=2)
    assert choose(local, make_view(1, round_trip_ms=6.5)) == "d1"
    assert decisions.is_unresponsive(
        dataclasses.replace(local, unanswered_s=0.05), BASELINE
    )
    assert not decisions.is_unresponsive(
        dataclasses.replace(local, unanswered_s=0.01), BASELINE
    )


def test_long_waits_in_a_saturated_service_are_not_unresponsive() -> None:
    waiting = make_view(0, outstanding=9, unanswered_s=3.0, unanswered=9)
    assert decisions.is_unresponsive(waiting, BASELINE)
    saturated = dataclasses.replace(BASELINE, utilization=1.5)
    assert not decisions.is_unresponsive(waiting, saturated)


def test_slow_instance_is_avoided() -> None:
    slow = make_view(0, **make_report(1, service_ms=200.0))
    assert choose(slow, make_view(1, round_trip_ms=6.5)) == "d1"


def test_failures_count_as_load() -> None:
    failing = make_view(0, failure_penalty=9.0)
    assert choose(failing, make_view(1, **make_report(6))) == "d1"


def test_sends_since_the_report_are_added_to_it() -> None:
    reused = make_view(0, outstanding=7, sent_since_report=7)
    assert choose(reused, make_view(1, **make_report(5))) == "d1"


def test_old_report_is_replaced_by_the_usual_utilization() -> None:
    baseline = state.Baseline(0.005, 0.5)
    loads = [
        decisions.estimate(
            make_view(0, report_age_s=age, **make_report(0)), baseline
        ).load
        for age in (0.0, 0.5, 10.0)
    ]
    assert loads == pytest.approx([0.0, 2.25, 4.5], abs=0.01)


def test_report_is_ignored_after_enough_sends() -> None:
    baseline = state.Baseline(0.005, 0.5)
    reused = make_view(0, sent_since_report=9, outstanding=0, **make_report(0))
    assert decisions.estimate(reused, baseline).load == 9 + 4.5


def test_instance_without_a_report_gets_few_calls() -> None:
    unreported = make_view(0, report=None, outstanding=0)
    assert decisions.estimate(unreported, BASELINE).slots == 2
    loaded = make_view(0, report=None, outstanding=4, sent_since_report=4)
    assert choose(loaded, make_view(1, **make_report(6))) == "d1"


def test_instance_with_few_slots_gets_few_calls() -> None:
    ramping = {"report": load_report.LoadReport(0, 0, 1, 5.0)}
    cold = make_view(0, outstanding=2, sent_since_report=2, **ramping)
    assert choose(cold, make_view(1, **make_report(6))) == "d1"
    assert (
        choose(make_view(0, **ramping), make_view(1, **make_report(9, 9)))
        == "d0"
    )


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    strategies.integers(0, 40),
    strategies.integers(0, 40),
    strategies.floats(0, 30),
    strategies.floats(0, 10),
)
def test_estimate_never_falls_with_load_or_unanswered_time(
    load: int, more: int, age_s: float, unanswered_s: float
) -> None:
    def total(in_flight: int, unanswered: float) -> float:
        view = make_view(
            0,
            report_age_s=age_s,
            unanswered_s=unanswered,
            **make_report(in_flight),
        )
        return decisions.estimate(view, BASELINE).total_s

    assert total(load, 0) <= total(load + more, 0)
    assert total(load, 0) <= total(load, unanswered_s)


def test_remote_penalty_grows_with_the_body() -> None:
    small = decisions.find_remote_penalty(400)
    large = decisions.find_remote_penalty(60_000)
    assert small < 0.02
    assert 0.2 < large < 0.5
