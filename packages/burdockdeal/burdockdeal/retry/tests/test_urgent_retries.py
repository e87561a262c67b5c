"""The most urgent calls are retried first when an upstream sheds load.

All instances of a service refuse half of what they are sent, so that the
retries that the fleet allows don't suffice for all. Most calls are of a less
urgent rank; each rank paid for its retries with what it had earned, so the
urgent ones, few as they are, could hardly pay for any.
"""

import heapq
import random
import types

import pytest

from burdockdeal.core import call
from burdockdeal.retry import budget as budgets
from burdockdeal.retry import fleet_budget
from burdockdeal_standins import clocks

RATES_PER_S = {"urgent": 1.0, "bulk": 7.0}
URGENCIES = {"urgent": 0, "bulk": 1}
REFUSED_SHARE = 0.55
DURATION_S = 300.0
TERMS = types.SimpleNamespace(share=0.2, slack=60.0, window_s=10.0)
DAEMONS = 10
MAX_SENDS = 3


def play(seed: int, *, by_urgency: bool) -> dict[str, float]:
    """Play one daemon; return the answered share of each rank."""
    rng, clock = random.Random(seed), clocks.Clock()
    budget = budgets.Budget(
        fleet_budget.FleetBudget(lambda: TERMS, lambda: DAEMONS, clock),
        lambda: fleet_budget.USABLE_SHARE * TERMS.share,
        (lambda rank: URGENCIES[rank]) if by_urgency else (lambda rank: 0),
    )
    arrivals = []
    for rank, rate in RATES_PER_S.items():
        at = clock.now
        while at < clock.now + DURATION_S:
            at += rng.expovariate(rate)
            heapq.heappush(arrivals, (at, rank))
    answered = dict.fromkeys(RATES_PER_S, 0)
    counts = dict.fromkeys(RATES_PER_S, 0)
    while arrivals:
        clock.now, rank = heapq.heappop(arrivals)
        work = call.Call("a", "orders", rank, clock.now + 1.0)
        counts[rank] += 1
        for attempt in range(MAX_SENDS):
            if attempt and not budget.spend(work):
                break
            budget.record_send(work, first=not attempt)
            budget.record_arrival(work, first=not attempt)
            if rng.random() >= REFUSED_SHARE:
                answered[rank] += 1
                break
    return {rank: answered[rank] / counts[rank] for rank in counts}


def compute_worth(answered: dict[str, float]) -> float:
    """Compute the worth of all answers; an urgent one counts twice."""
    return sum(
        share * RATES_PER_S[rank] * (2 - URGENCIES[rank])
        for rank, share in answered.items()
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_urgent_calls_are_answered_more_often(seed: int) -> None:
    before = play(seed, by_urgency=False)
    after = play(seed, by_urgency=True)
    print("urgent", before["urgent"], "to", after["urgent"])
    print("bulk", before["bulk"], "to", after["bulk"])
    assert after["urgent"] > before["urgent"] + 0.1
    assert compute_worth(after) > compute_worth(before)


def test_a_less_urgent_call_never_pays_with_an_urgent_one() -> None:
    budget = budgets.Budget(get_urgency=URGENCIES.__getitem__)
    urgent = call.Call("a", "orders", "urgent", 10.0)
    bulk = call.Call("b", "orders", "bulk", 10.0)
    for _ in range(100):
        budget.record_send(urgent, first=True)
    budget.record_send(bulk, first=True)
    assert budget.spend(bulk)
    assert not budget.spend(bulk)
    assert budget.find_account(urgent).tokens > 5


def test_refusals_of_other_services_pay_for_nothing() -> None:
    budget = budgets.Budget(get_urgency=URGENCIES.__getitem__)
    other = call.Call("a", "bookings", "bulk", 10.0)
    for _ in range(100):
        budget.record_send(other, first=True)
    urgent = call.Call("b", "orders", "urgent", 10.0)
    assert budget.spend(urgent)
    assert not budget.spend(urgent)
