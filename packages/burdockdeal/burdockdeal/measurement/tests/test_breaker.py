"""The circuit breaker of an upstream that breaks its connections."""

import pytest

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.measurement import breaker
from burdockdeal_standins import clocks


def break_once(
    upstream_breaker: breaker.CircuitBreaker,
    reason: verdict.Reason = verdict.Reason.BROKEN_CONNECTION,
) -> None:
    with (
        pytest.raises(errors.LostResponseError),
        upstream_breaker.track_call(),
    ):
        raise errors.LostResponseError(reason)


def answer_once(upstream_breaker: breaker.CircuitBreaker) -> None:
    with upstream_breaker.track_call() as record_response:
        record_response()


def test_it_opens_after_consecutive_broken_connections() -> None:
    clock = clocks.Clock()
    upstream_breaker = breaker.CircuitBreaker(clock)
    for _ in range(breaker.FAILURE_THRESHOLD - 1):
        break_once(upstream_breaker)
    answer_once(upstream_breaker)
    for _ in range(breaker.FAILURE_THRESHOLD - 1):
        break_once(upstream_breaker)
        assert upstream_breaker.allows_call(1, idempotent=False)
    break_once(upstream_breaker)
    assert not upstream_breaker.allows_call(1, idempotent=True)


def test_after_a_while_one_idempotent_call_at_a_time_is_a_trial() -> None:
    clock = clocks.Clock()
    upstream_breaker = breaker.CircuitBreaker(clock)
    for _ in range(breaker.FAILURE_THRESHOLD):
        break_once(upstream_breaker)
    clock.now += breaker.MIN_OPEN_S
    assert not upstream_breaker.allows_call(1, idempotent=False)
    assert upstream_breaker.allows_call(1, idempotent=True)
    with upstream_breaker.track_call() as record_response:
        assert not upstream_breaker.allows_call(1, idempotent=True)
        record_response()
        assert upstream_breaker.allows_call(1, idempotent=False)
    assert upstream_breaker.allows_call(1, idempotent=False)


def test_the_time_it_stays_open_grows_up_to_a_limit() -> None:
    clock = clocks.Clock()
    upstream_breaker = breaker.CircuitBreaker(clock)
    open_times_s = []
    for _ in range(breaker.FAILURE_THRESHOLD + 6):
        break_once(upstream_breaker)
        open_times_s.append(upstream_breaker.state.open_until - clock.now)
    growing = open_times_s[breaker.FAILURE_THRESHOLD - 1 :]
    assert growing[0] == pytest.approx(breaker.MIN_OPEN_S)
    assert growing == sorted(growing)
    assert growing[-1] == pytest.approx(breaker.MAX_OPEN_S)


def test_a_response_that_breaks_off_after_its_head_is_no_failure() -> None:
    upstream_breaker = breaker.CircuitBreaker(clocks.Clock())
    for _ in range(2 * breaker.FAILURE_THRESHOLD):
        with (
            pytest.raises(errors.LostResponseError),
            upstream_breaker.track_call() as record_response,
        ):
            record_response()
            raise errors.LostResponseError(verdict.Reason.BROKEN_CONNECTION)
    assert upstream_breaker.allows_call(1, idempotent=False)


def test_time_outs_do_not_open_it() -> None:
    upstream_breaker = breaker.CircuitBreaker(clocks.Clock())
    for _ in range(2 * breaker.FAILURE_THRESHOLD):
        break_once(upstream_breaker, verdict.Reason.TIMED_OUT)
    assert upstream_breaker.allows_call(1, idempotent=False)


def test_it_closes_without_any_idempotent_call() -> None:
    clock = clocks.Clock()
    upstream_breaker = breaker.CircuitBreaker(clock)
    for _ in range(breaker.FAILURE_THRESHOLD):
        break_once(upstream_breaker)
    clock.now += 2 * breaker.MIN_OPEN_S
    assert upstream_breaker.allows_call(1, idempotent=False)
    answer_once(upstream_breaker)
    assert upstream_breaker.allows_call(1, idempotent=False)


def test_a_new_upstream_starts_with_a_closed_circuit() -> None:
    upstream_breaker = breaker.CircuitBreaker(clocks.Clock())
    assert upstream_breaker.allows_call(1, idempotent=True)
    for _ in range(breaker.FAILURE_THRESHOLD):
        break_once(upstream_breaker)
    assert not upstream_breaker.allows_call(1, idempotent=True)
    assert upstream_breaker.allows_call(2, idempotent=False)
