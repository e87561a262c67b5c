"""An upstream that slows down when it is nearly full."""

import random

from burdockdeal.admission import saturation

SLOTS = 9
BOUND = 7


def replay(
    factor: float, calls: int, seed: int
) -> saturation.SaturationDetector:
    """Replay calls that start with 1 to 9 in flight."""
    chance = random.Random(seed)
    learned = saturation.SaturationDetector()
    for number in range(calls):
        running = chance.randint(1, SLOTS)
        fill = running / SLOTS
        held_s = chance.lognormvariate(-1.6, 0.3) * (
            factor if fill > saturation.FULL_SHARE else 1.0
        )
        learned.note("r", held_s, number / 100, fill=fill)
    return learned


def test_an_upstream_that_slows_down_is_not_filled() -> None:
    for seed in range(20):
        learned = replay(1.7, 300, seed)
        assert learned.limit_slots(SLOTS, 3.0) == BOUND


def test_one_that_does_not_is_filled() -> None:
    for seed in range(20):
        assert replay(1.0, 300, seed).limit_slots(SLOTS, 3.0) == SLOTS


def test_slower_calls_of_its_own_under_load_are_no_slowdown() -> None:
    """What an upstream calls is slower while all are loaded."""
    for seed in range(20):
        chance = random.Random(seed)
        learned = saturation.SaturationDetector()
        for number in range(2000):
            fill = chance.randint(1, SLOTS) / SLOTS
            work_s = chance.lognormvariate(-1.8, 0.3)
            calls_s = 0.02 + 0.25 * fill
            learned.note("r", work_s + calls_s, number / 100, fill=fill)
            assert learned.limit_slots(SLOTS, number / 100) == SLOTS


def test_too_few_calls_say_nothing() -> None:
    assert replay(3.0, 25, 1).limit_slots(SLOTS, 1.0) == SLOTS


SEEN = saturation.Evidence(saturation.LEAST_CROWDED, 1.7)


def test_what_other_owners_saw_counts() -> None:
    some = saturation.Evidence(saturation.LEAST_CROWDED // 3, 1.7)
    assert (
        saturation.SaturationDetector().limit_slots(SLOTS, 0.0, [SEEN])
        == BOUND
    )
    assert (
        saturation.SaturationDetector().limit_slots(
            SLOTS, 0.0, [some, some, some]
        )
        == BOUND
    )
    assert (
        saturation.SaturationDetector().limit_slots(SLOTS, 0.0, [some, some])
        == SLOTS
    )


def test_an_owner_that_saw_nothing_of_it_outweighs_a_few_calls() -> None:
    none = saturation.Evidence(1000, 1.0)
    assert (
        saturation.SaturationDetector().limit_slots(SLOTS, 0.0, [none, SEEN])
        == SLOTS
    )


def test_what_other_owners_saw_is_left_out_while_it_is_tried() -> None:
    learned = replay(1.7, 300, 1)
    assert learned.limit_slots(SLOTS, 3.0, [SEEN]) == BOUND
    tried_at = 4.0 + saturation.TRIAL_S
    assert learned.limit_slots(SLOTS, tried_at, [SEEN]) == SLOTS
    assert learned.limit_slots(SLOTS, tried_at + 1.0, [SEEN]) == SLOTS


def test_it_is_tried_again() -> None:
    learned = replay(1.7, 300, 1)
    assert learned.limit_slots(SLOTS, 3.0) == BOUND
    assert learned.limit_slots(SLOTS, 3.1 + saturation.TRIAL_S) == SLOTS
