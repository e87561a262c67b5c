"""The service times and failures that a meter measures."""

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
    times: meter.Meter,
    clock: clocks.Clock,
    head_after_s: float,
    status: int = 200,
    rank: str = "",
) -> None:
    with times.track_call(timed=True, rank=rank) as record_status:
        clock.now += head_after_s
        record_status(status)
        clock.now += 5  # The body of the response takes long.


def test_the_service_time_ends_with_the_head(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    assert times.service_ms() == 0
    run(times, clock, 0.020)
    assert times.service_ms() == pytest.approx(20)


def test_a_response_after_a_pause_counts_almost_in_full(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    run(times, clock, 0.200)
    run(times, clock, 0.005)
    assert times.service_ms() < 7


def test_two_unanswered_calls_show_a_slowdown(
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


def test_a_streamed_body_is_not_timed(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    with (
        times.track_call(timed=False),
        times.track_call(timed=False) as record_status,
    ):
        clock.now += 9
        assert times.service_ms() == 0
        record_status(200)
    assert times.service_ms() == 0


def test_server_errors_count_as_failures_and_not_as_times(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    run(times, clock, 0.020)
    run(times, clock, 0.0001, 500)
    assert times.service_ms() == pytest.approx(20)
    assert times.failed_share > 0.9
    run(times, clock, 0.020)
    assert times.failed_share < 0.1


def test_a_long_kind_of_call_does_not_look_like_a_slow_upstream(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    for _ in range(100):
        run(times, clock, 0.040, rank="short")
        run(times, clock, 0.400, rank="long")
    after_long = times.service_ms()
    run(times, clock, 0.040, rank="short")
    assert times.service_ms() == pytest.approx(after_long, rel=0.05)


def test_a_slow_upstream_shows_in_any_kind_of_call(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    for _ in range(100):
        run(times, clock, 0.040, rank="short")
        run(times, clock, 0.400, rank="long")
    usual_ms = times.service_ms()
    run(times, clock, 0.200, rank="short")
    assert times.service_ms() > 3 * usual_ms


def test_one_slow_call_is_not_taken_for_a_slow_upstream(
    times: meter.Meter, clock: clocks.Clock
) -> None:
    def answer(duration_s: float) -> None:
        with times.track_call(timed=True) as record_status:
            clock.now += duration_s
            record_status(200)

    for duration_s in (0.1, 0.1, 0.1, 0.5):
        answer(duration_s)
    # The mean of the four, and no more.
    assert times.service_ms() == pytest.approx(200)
    for _ in range(2):
        answer(0.5)
    assert times.service_ms() > 400
