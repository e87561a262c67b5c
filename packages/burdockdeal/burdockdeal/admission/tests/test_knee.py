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


def test_what_another_owner_found_is_believed_for_a_time() -> None:
    assert knee.Knee().bound(SLOTS, 0.0, 1.0) == BOUND
    assert knee.Knee().bound(SLOTS, 0.0, knee.TOLD_S + 1.0) == SLOTS


def test_what_another_owner_found_is_not_believed_while_it_is_tried() -> None:
    learned = replay(1.7, 300, 1)
    tried_at = 4.0 + knee.TRIAL_S
    assert learned.bound(SLOTS, tried_at, 1.0) == SLOTS
    assert not learned.found
    assert learned.bound(SLOTS, tried_at + 1.0, 1.0) == SLOTS


def test_it_is_tried_again() -> None:
    learned = replay(1.7, 300, 1)
    assert learned.bound(SLOTS, 3.0 + knee.TRIAL_S) == SLOTS
