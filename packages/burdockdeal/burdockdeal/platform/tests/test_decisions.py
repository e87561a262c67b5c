"""Rate limiting and backoff of the store's client."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from burdockdeal.platform import decisions
from burdockdeal.platform import state

floats = strategies.floats(0.0, 100.0)


@settings(derandomize=True)
@given(
    strategies.lists(floats, max_size=200),
    strategies.floats(0.01, 100.0),
    floats,
    strategies.sampled_from([0.0, 0.5, 20.0]),
)
def test_the_rate_limit_is_never_exceeded(
    steps_s: list[float], calls_per_s: float, burst: float, max_wait_s: float
) -> None:
    rate = state.RateLimit(calls_per_s, burst)
    bucket = state.TokenBucket(burst, 0.0)
    now, allowed = 0.0, 0
    for step_s in steps_s:
        now += step_s
        bucket, wait_s = decisions.reserve(
            bucket, rate, now, max_wait_s=max_wait_s
        )
        if wait_s is not None:
            allowed += 1
            assert 0 <= wait_s <= max_wait_s
            assert allowed <= burst + (now + wait_s) * calls_per_s + 1e-6


def is_allowed(bucket: state.TokenBucket, now: float) -> bool:
    return (
        decisions.reserve(bucket, state.RateLimit(1.0, 1.0), now)[1]
        is not None
    )


def test_no_tokens_are_added_when_the_clock_goes_back() -> None:
    bucket, wait_s = decisions.reserve(
        state.TokenBucket(1.0, 10.0), state.RateLimit(1.0, 1.0), 10.0
    )
    assert wait_s == 0.0
    assert not is_allowed(bucket, 5.0)
    assert not is_allowed(bucket, 10.5)
    assert is_allowed(bucket, 11.0)


@settings(derandomize=True)
@given(strategies.integers(1, 1000), strategies.integers())
def test_a_backoff_stays_within_its_bounds(attempt: int, seed: int) -> None:
    delay_s = decisions.choose_backoff(
        attempt, random.Random(seed), initial_s=0.25, max_s=3.0
    )
    assert 0.125 <= delay_s <= 3.0


def test_backoffs_of_many_daemons_are_spread_out() -> None:
    delays_s = [
        decisions.choose_backoff(
            5, random.Random(seed), initial_s=0.25, max_s=3.0
        )
        for seed in range(1000)
    ]
    per_tenth_s = [0] * 30
    for delay_s in delays_s:
        per_tenth_s[min(29, int(delay_s * 10))] += 1
    assert max(per_tenth_s) < 80


def test_an_answer_ends_a_run_of_failures() -> None:
    streak = decisions.record_answer(state.FailureStreak(), False, 1.0)
    streak = decisions.record_answer(streak, False, 2.0)
    assert streak == state.FailureStreak(2, 1.0)
    assert decisions.record_answer(streak, True, 3.0) == state.FailureStreak()
