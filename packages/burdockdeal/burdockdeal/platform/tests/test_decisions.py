"""The store's call budget and its pauses."""

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
def test_a_lane_never_exceeds_its_rate(
    pauses: list[float], calls_per_s: float, burst: float, patience_s: float
) -> None:
    rate = state.RateLimit(calls_per_s, burst)
    bucket = state.TokenBucket(burst, 0.0)
    now, made = 0.0, 0
    for pause in pauses:
        now += pause
        bucket, wait_s = decisions.reserve(
            bucket, rate, now, max_wait_s=patience_s
        )
        if wait_s is not None:
            made += 1
            assert 0 <= wait_s <= patience_s
            assert made <= burst + (now + wait_s) * calls_per_s + 1e-6


def is_allowed(bucket: state.TokenBucket, now: float) -> bool:
    return (
        decisions.reserve(bucket, state.RateLimit(1.0, 1.0), now)[1]
        is not None
    )


def test_a_clock_that_goes_back_gives_nothing() -> None:
    bucket, wait_s = decisions.reserve(
        state.TokenBucket(1.0, 10.0), state.RateLimit(1.0, 1.0), 10.0
    )
    assert wait_s == 0.0
    assert not is_allowed(bucket, 5.0)
    assert not is_allowed(bucket, 10.5)
    assert is_allowed(bucket, 11.0)


@settings(derandomize=True)
@given(strategies.integers(1, 1000), strategies.integers())
def test_a_pause_never_spins_nor_sleeps_on(attempt: int, seed: int) -> None:
    pause_s = decisions.choose_backoff(
        attempt, random.Random(seed), initial_s=0.25, max_s=3.0
    )
    assert 0.125 <= pause_s <= 3.0


def test_pauses_of_many_daemons_spread_out() -> None:
    pauses = [
        decisions.choose_backoff(
            5, random.Random(seed), initial_s=0.25, max_s=3.0
        )
        for seed in range(1000)
    ]
    per_tenth = [0] * 30
    for pause_s in pauses:
        per_tenth[min(29, int(pause_s * 10))] += 1
    assert max(per_tenth) < 80


def test_an_outage_is_counted_until_an_answer() -> None:
    outage = decisions.record_answer(state.FailureStreak(), False, 1.0)
    outage = decisions.record_answer(outage, False, 2.0)
    assert outage == state.FailureStreak(2, 1.0)
    assert decisions.record_answer(outage, True, 3.0) == state.FailureStreak()
