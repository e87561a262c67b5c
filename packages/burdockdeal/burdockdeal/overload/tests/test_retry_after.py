"""Callers that are refused in a flood return when it is likely over."""

import heapq
import random

import pytest

from burdockdeal.overload import retry_after

CAPACITY_PER_S = 60
ARRIVALS_PER_S = 90
FLOOD_S = 6.0
RETRIES = 2


def test_a_caller_returns_soon_after_the_first_refusal() -> None:
    flood = retry_after.record_refusal(None, 10.0)
    chosen = retry_after.choose_retry_after(flood, 10.0, random.Random(1))
    assert 0.1 < chosen < 0.2


def test_the_longer_a_flood_lasts_the_later_callers_return() -> None:
    flood = None
    for tick in range(10):
        flood = retry_after.record_refusal(flood, 10.0 + tick / 10)
    rng = random.Random(1)
    early, late = (
        [retry_after.choose_retry_after(flood, now, rng) for _ in range(100)]
        for now in (10.9, 11.3)
    )
    assert sum(late) > 1.2 * sum(early)
    assert max(late) - min(late) > 0.2
    assert max(late) < 1.25 * retry_after.MAX_RETRY_AFTER_S


def test_a_flood_that_is_over_counts_no_more() -> None:
    flood = retry_after.record_refusal(None, 10.0)
    flood = retry_after.record_refusal(flood, 10.4)
    assert flood.since == 10.0
    assert retry_after.record_refusal(flood, 11.0).since == 11.0


def play(seed: int, *, fixed: bool) -> tuple[int, int]:
    """Play a flood at one service whose callers return when they are told.

    :param fixed: whether all are told the shortest time.
    :returns: how many are served, and how many come back for nothing.
    """
    rng = random.Random(seed)
    events = [
        (rng.uniform(0, FLOOD_S), number, 0)
        for number in range(round(ARRIVALS_PER_S * FLOOD_S))
    ]
    events += [
        (rng.uniform(FLOOD_S, 2 * FLOOD_S), 10_000 + number, 0)
        for number in range(round(0.5 * CAPACITY_PER_S * FLOOD_S))
    ]
    heapq.heapify(events)
    flood, free_at, served, in_vain = None, 0.0, 0, 0
    while events:
        now, number, tries = heapq.heappop(events)
        if free_at <= now + 2 / CAPACITY_PER_S:
            free_at = max(free_at, now) + 1 / CAPACITY_PER_S
            served += 1
            continue
        in_vain += tries > 0
        flood = retry_after.record_refusal(flood, now)
        wait_s = retry_after.choose_retry_after(flood, now, rng)
        if fixed:
            wait_s = retry_after.MIN_RETRY_AFTER_S
        if tries < RETRIES:
            heapq.heappush(events, (now + wait_s, number, tries + 1))
    return served, in_vain


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fewer_callers_come_back_for_nothing(seed: int) -> None:
    served_before, in_vain_before = play(seed, fixed=True)
    served, in_vain = play(seed, fixed=False)
    print("served", served_before, served, "in vain", in_vain_before, in_vain)
    assert in_vain < 0.8 * in_vain_before
    assert served > served_before
