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
    rate = state.Rate(calls_per_s, burst)
    bucket = state.Bucket(burst, 0.0)
    now, made = 0.0, 0
    for pause in pauses:
        now += pause
        bucket, wait_s = decisions.reserve(
            bucket, rate, now, patience_s=patience_s
        )
        if wait_s is not None:
            made += 1
            assert 0 <= wait_s <= patience_s
            assert made <= burst + (now + wait_s) * calls_per_s + 1e-6


def is_allowed(bucket: state.Bucket, now: float) -> bool:
    return decisions.reserve(bucket, state.Rate(1.0, 1.0), now)[1] is not None


def test_a_clock_that_goes_back_gives_nothing() -> None:
    bucket, wait_s = decisions.reserve(
        state.Bucket(1.0, 10.0), state.Rate(1.0, 1.0), 10.0
    )
    assert wait_s == 0.0
    assert not is_allowed(bucket, 5.0)
    assert not is_allowed(bucket, 10.5)
    assert is_allowed(bucket, 11.0)


@settings(derandomize=True)
@given(strategies.integers(1, 1000), strategies.integers())
def test_a_pause_never_spins_nor_sleeps_on(attempt: int, seed: int) -> None:
    pause_s = decisions.back_off(
        attempt, random.Random(seed), first_s=0.25, most_s=3.0
    )
    assert 0.125 <= pause_s <= 3.0


def test_pauses_of_many_daemons_spread_out() -> None:
    pauses = [
        decisions.back_off(5, random.Random(seed), first_s=0.25, most_s=3.0)
        for seed in range(1000)
    ]
    per_tenth = [0] * 30
    for pause_s in pauses:
        per_tenth[min(29, int(pause_s * 10))] += 1
    assert max(per_tenth) < 80


def test_an_outage_is_counted_until_an_answer() -> None:
    outage = decisions.note_answer(state.Outage(), False, 1.0)
    outage = decisions.note_answer(outage, False, 2.0)
    assert outage == state.Outage(2, 1.0)
    assert decisions.note_answer(outage, True, 3.0) == state.Outage()
