"""The quota of a workspace while some daemons are cut off from the others.

A lender that was cut off went on lending its credit, while another daemon lent
in its place: its failure domain's other daemons had confirmed its loss.
"""

import asyncio
from collections import abc

import pytest

from burdockdeal.quotas.tests import quota_fleet

_CALM_S = 10.0
_CUT_S = 5.5
_AFTER_S = 8.0


def _choose_apart(
    fleet: quota_fleet.Fleet, count: int, *, has_lender: bool
) -> list[quota_fleet.Node]:
    """Choose daemons of all domains that are cut off."""
    lender = fleet.find_lender()
    others = [node for node in fleet.nodes if node is not lender]
    chosen = fleet.rng.sample(others, count)
    return [lender, *chosen[1:]] if has_lender else chosen


async def _offer_to_both(
    fleet: quota_fleet.Fleet,
    apart: abc.Sequence[quota_fleet.Node],
    seconds: float,
) -> None:
    """Offer three times the quota, half of it to the daemons cut off."""
    others = [node for node in fleet.nodes if node not in apart]
    rate = 1.5 * fleet.quota.requests_per_s
    await asyncio.gather(
        fleet.offer(rate, seconds, apart), fleet.offer(rate, seconds, others)
    )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("direction", quota_fleet.Direction)
@pytest.mark.parametrize("has_lender", [True, False])
@pytest.mark.parametrize(
    ("size", "count"), [(9, 1), (9, 3), (60, 1), (60, 15), (60, 40)]
)
def test_daemons_that_are_cut_off_keep_the_quota_with_the_others(
    size: int,
    count: int,
    has_lender: bool,
    direction: quota_fleet.Direction,
    seed: int,
) -> None:
    """During the cut and after it; one machine, some of them, and most."""

    async def play() -> None:
        fleet = quota_fleet.Fleet(size, seed=seed)
        apart = _choose_apart(fleet, count, has_lender=has_lender)
        await _offer_to_both(fleet, apart, _CALM_S)
        fleet.cut_off(apart, direction)
        await _offer_to_both(fleet, apart, _CUT_S)
        fleet.heal()
        healed_at = fleet.clock() - 100.0
        await _offer_to_both(fleet, apart, _AFTER_S)
        fleet.assert_within_bound()
        until = healed_at + _AFTER_S
        assert fleet.count_between(until - 4.0, until) >= 0.8 * 200

    quota_fleet.play(play)
