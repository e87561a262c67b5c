"""Limiting the slots of an upstream that slows down when nearly full."""

import random

from burdockdeal.admission import saturation

SLOTS = 9
LIMITED_SLOTS = 7


def replay(
    factor: float, calls: int, seed: int
) -> saturation.SaturationDetector:
    """Feed a detector with calls that start with 1 to 9 in flight.

    :param factor: how many times as long a call takes that starts on a
        nearly full upstream.
    """
    rng = random.Random(seed)
    detector = saturation.SaturationDetector()
    for number in range(calls):
        running = rng.randint(1, SLOTS)
        fill = running / SLOTS
        held_s = rng.lognormvariate(-1.6, 0.3) * (
            factor if fill > saturation.FULL_SHARE else 1.0
        )
        detector.record("r", held_s, number / 100, fill=fill)
    return detector


def test_an_upstream_that_slows_down_is_limited() -> None:
    for seed in range(20):
        detector = replay(1.7, 300, seed)
        assert detector.limit_slots(SLOTS, 3.0) == LIMITED_SLOTS


def test_an_upstream_that_does_not_slow_down_is_not_limited() -> None:
    for seed in range(20):
        assert replay(1.0, 300, seed).limit_slots(SLOTS, 3.0) == SLOTS


def test_slower_downstream_calls_under_load_are_no_saturation() -> None:
    """The upstream's own calls get slower as the load rises everywhere."""
    for seed in range(20):
        rng = random.Random(seed)
        detector = saturation.SaturationDetector()
        for number in range(2000):
            fill = rng.randint(1, SLOTS) / SLOTS
            work_s = rng.lognormvariate(-1.8, 0.3)
            calls_s = 0.02 + 0.25 * fill
            detector.record("r", work_s + calls_s, number / 100, fill=fill)
            assert detector.limit_slots(SLOTS, number / 100) == SLOTS


def test_too_few_calls_are_no_evidence() -> None:
    assert replay(3.0, 25, 1).limit_slots(SLOTS, 1.0) == SLOTS


SLOWED = saturation.Evidence(saturation.MIN_CROWDED_CALLS, 1.7)


def test_evidence_of_other_owners_counts() -> None:
    some = saturation.Evidence(saturation.MIN_CROWDED_CALLS // 3, 1.7)
    assert (
        saturation.SaturationDetector().limit_slots(SLOTS, 0.0, [SLOWED])
        == LIMITED_SLOTS
    )
    assert (
        saturation.SaturationDetector().limit_slots(
            SLOTS, 0.0, [some, some, some]
        )
        == LIMITED_SLOTS
    )
    assert (
        saturation.SaturationDetector().limit_slots(SLOTS, 0.0, [some, some])
        == SLOTS
    )


def test_an_owner_with_many_normal_calls_outweighs_a_few_slow_ones() -> None:
    none = saturation.Evidence(1000, 1.0)
    assert (
        saturation.SaturationDetector().limit_slots(SLOTS, 0.0, [none, SLOWED])
        == SLOTS
    )


def test_evidence_of_other_owners_is_ignored_during_a_retest() -> None:
    detector = replay(1.7, 300, 1)
    assert detector.limit_slots(SLOTS, 3.0, [SLOWED]) == LIMITED_SLOTS
    retest_at = 4.0 + saturation.RETEST_INTERVAL_S
    assert detector.limit_slots(SLOTS, retest_at, [SLOWED]) == SLOTS
    assert detector.limit_slots(SLOTS, retest_at + 1.0, [SLOWED]) == SLOTS


def test_all_slots_are_used_again_after_the_retest_interval() -> None:
    detector = replay(1.7, 300, 1)
    assert detector.limit_slots(SLOTS, 3.0) == LIMITED_SLOTS
    assert (
        detector.limit_slots(SLOTS, 3.1 + saturation.RETEST_INTERVAL_S)
        == SLOTS
    )


def test_a_new_upstream_is_limited_where_the_service_is_known() -> None:
    detector = saturation.SaturationDetector()
    assert detector.limit_slots(SLOTS, 0.0) == SLOTS
    assert detector.limit_slots(SLOTS, 0.0, presumes=True) == LIMITED_SLOTS
    retest_at = 1.0 + saturation.RETEST_INTERVAL_S
    assert detector.limit_slots(SLOTS, retest_at, presumes=True) == SLOTS
    assert detector.limit_slots(SLOTS, retest_at + 1, presumes=True) == SLOTS


def test_evidence_of_other_owners_goes_before_the_presumption() -> None:
    detector = saturation.SaturationDetector()
    none = saturation.Evidence(1000, 1.0)
    assert detector.limit_slots(SLOTS, 1.0, [none], presumes=True) == SLOTS
