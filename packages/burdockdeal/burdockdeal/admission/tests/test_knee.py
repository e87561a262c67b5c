"""An upstream that slows down when it is nearly full."""

import random

from burdockdeal.admission import knee

SLOTS = 9
BOUND = 7


def replay(factor: float, calls: int, seed: int) -> knee.Knee:
    """Replay calls that start with 1 to 9 in flight."""
    chance = random.Random(seed)
    learned = knee.Knee()
    for number in range(calls):
        running = chance.randint(1, SLOTS)
        crowded = knee.is_crowded(running, SLOTS)
        held_s = chance.lognormvariate(-1.6, 0.3) * (
            factor if crowded else 1.0
        )
        learned.note("r", held_s, number / 100, crowded=crowded)
    return learned


def test_an_upstream_that_slows_down_is_not_filled() -> None:
    for seed in range(20):
        learned = replay(1.7, 300, seed)
        assert learned.bound(SLOTS, 3.0) == BOUND


def test_one_that_does_not_is_filled() -> None:
    for seed in range(20):
        assert replay(1.0, 300, seed).bound(SLOTS, 3.0) == SLOTS


def test_too_few_calls_say_nothing() -> None:
    assert replay(3.0, 25, 1).bound(SLOTS, 1.0) == SLOTS


def test_it_is_tried_again() -> None:
    learned = replay(1.7, 300, 1)
    assert learned.bound(SLOTS, 3.0 + knee.TRIAL_S) == SLOTS
