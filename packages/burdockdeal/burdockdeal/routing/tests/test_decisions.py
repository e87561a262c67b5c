"""The hot/cold rule, on views alone."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from burdockdeal.routing import decisions
from burdockdeal.routing import state
from burdockdeal_standins import play

NORM = state.Norm(service_s=0.005, fill=0.0)


def show(index: int, *, link_ms: float = 0.5, **fields: object) -> state.View:
    given: dict[str, object] = {
        "member": play.make_member(index, "shotton"),
        "local": link_ms < 1,
        "sent": 0,
        "report": state.LoadReport(0, 0, 9, 5.0),
        "report_age_s": 0.0,
        "latency_s": 0.005,
        "link_s": link_ms / 1000,
    }
    return state.View(**(given | fields))


def choose(*views: state.View) -> str:
    chosen = decisions.choose(views, NORM, 10.0, random.Random(1))
    return chosen.member.daemon


def busy(in_flight: int, waiting: int = 0, service_ms: float = 5.0) -> dict:
    return {"report": state.LoadReport(in_flight, waiting, 9, service_ms)}


def test_own_upstream_while_it_has_room() -> None:
    own = show(0, link_ms=0.0, **busy(4))
    assert choose(own, show(1)) == "d0"
    full = show(0, link_ms=0.0, **busy(9, 2))
    assert choose(full, show(1)) == "d1"


@pytest.mark.parametrize(
    ("waiting", "chosen"), [(0, "d0"), (4, "d0"), (14, "d1")]
)
def test_far_domain_once_the_wait_is_longer_than_the_link(
    waiting: int, chosen: str
) -> None:
    near = show(0, **busy(9, waiting))
    assert choose(near, show(1, link_ms=6.5)) == chosen


def test_a_silent_instance_is_left_though_its_report_is_good() -> None:
    near = show(0, sent=2, silent_s=0.030, unanswered=2)
    assert choose(near, show(1, link_ms=6.5)) == "d1"
    assert decisions.is_silent(dataclasses.replace(near, silent_s=0.05), NORM)
    assert not decisions.is_silent(
        dataclasses.replace(near, silent_s=0.01), NORM
    )


def test_in_a_flood_waits_are_no_silence() -> None:
    waiting = show(0, sent=9, silent_s=3.0, unanswered=9)
    assert decisions.is_silent(waiting, NORM)
    flooded = dataclasses.replace(NORM, fill=1.5)
    assert not decisions.is_silent(waiting, flooded)


def test_a_slow_owner_is_left() -> None:
    slow = show(0, **busy(1, service_ms=200.0))
    assert choose(slow, show(1, link_ms=6.5)) == "d1"


def test_failures_count_as_load() -> None:
    failing = show(0, failure_load=9.0)
    assert choose(failing, show(1, **busy(6))) == "d1"


def test_own_sends_are_added_to_a_report() -> None:
    reused = show(0, sent=7, sent_since=7)
    assert choose(reused, show(1, **busy(5))) == "d1"


def test_an_old_report_gives_way_to_the_usual_fill() -> None:
    norm = state.Norm(0.005, 0.5)
    loads = [
        decisions.expect(show(0, report_age_s=age, **busy(0)), norm).load
        for age in (0.0, 0.5, 10.0)
    ]
    assert loads == pytest.approx([0.0, 2.25, 4.5], abs=0.01)


def test_a_report_is_reused_a_bounded_number_of_times() -> None:
    norm = state.Norm(0.005, 0.5)
    worn = show(0, sent_since=9, sent=0, **busy(0))
    assert decisions.expect(worn, norm).load == 9 + 4.5


def test_an_instance_without_a_report_gets_few_calls() -> None:
    unheard = show(0, report=None, sent=0)
    assert decisions.expect(unheard, NORM).slots == 2
    flooded = show(0, report=None, sent=4, sent_since=4)
    assert choose(flooded, show(1, **busy(6))) == "d1"


def test_a_cold_start_gets_its_share() -> None:
    ramping = {"report": state.LoadReport(0, 0, 1, 5.0)}
    cold = show(0, sent=2, sent_since=2, **ramping)
    assert choose(cold, show(1, **busy(6))) == "d1"
    assert choose(show(0, **ramping), show(1, **busy(9, 9))) == "d0"


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    strategies.integers(0, 40),
    strategies.integers(0, 40),
    strategies.floats(0, 30),
    strategies.floats(0, 10),
)
def test_more_load_or_silence_is_never_better(
    load: int, more: int, age_s: float, silent_s: float
) -> None:
    def total(in_flight: int, silence: float) -> float:
        view = show(0, report_age_s=age_s, silent_s=silence, **busy(in_flight))
        return decisions.expect(view, NORM).total_s

    assert total(load, 0) <= total(load + more, 0)
    assert total(load, 0) <= total(load, silent_s)


def test_a_large_body_stays_in_its_failure_domain() -> None:
    small = decisions.find_remote_cost(400)
    large = decisions.find_remote_cost(60_000)
    assert small < 0.02
    assert 0.2 < large < 0.5
