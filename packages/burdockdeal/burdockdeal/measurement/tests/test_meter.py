"""The owner's measure of its upstream's time."""

import contextlib

import pytest

from burdockdeal.measurement import meter
from burdockdeal_standins import clocks


@pytest.fixture
def clock() -> clocks.Clock:
    return clocks.Clock(10.0)


@pytest.fixture
def times(clock: clocks.Clock) -> meter.Meter:
    return meter.Meter(clock)


def run(
    times: meter.Meter, clock: clocks.Clock, spent_s: float, status: int = 200
) -> None:
    with times.track_call(timed=True) as head:
        clock.now += spent_s
        head(status)
        clock.now += 5  # The answer's body takes long.


def test_the_time_to_the_head_counts(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    assert times.service_ms() == 0
    run(times, clock, 0.020)
    assert times.service_ms() == pytest.approx(20)


def test_one_answer_after_a_pause_counts_almost_in_full(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    run(times, clock, 0.200)
    run(times, clock, 0.005)
    assert times.service_ms() < 7


def test_two_that_wait_show_a_slowdown(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    run(times, clock, 0.005)
    with contextlib.ExitStack() as stack:
        stack.enter_context(times.track_call(timed=True))
        clock.now += 0.1
        assert times.service_ms() == pytest.approx(5)
        stack.enter_context(times.track_call(timed=True))
        clock.now += 0.04
        assert times.service_ms() == pytest.approx(40)
    assert times.service_ms() == pytest.approx(5)


def test_a_streamed_body_tells_nothing(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    with times.track_call(timed=False), times.track_call(timed=False) as head:
        clock.now += 9
        assert times.service_ms() == 0
        head(200)
    assert times.service_ms() == 0


def test_server_errors_are_a_share_and_no_time(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    run(times, clock, 0.020)
    run(times, clock, 0.0001, 500)
    assert times.service_ms() == pytest.approx(20)
    assert times.failed_share > 0.9
    run(times, clock, 0.020)
    assert times.failed_share < 0.1
