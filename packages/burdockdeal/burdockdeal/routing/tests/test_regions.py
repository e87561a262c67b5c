"""Demand that moves from region to region, over a link that all share."""

import random

import pytest

from burdockdeal.core import load_report
from burdockdeal.membership import messages
from burdockdeal.routing import decisions
from burdockdeal.routing import instance_group
from burdockdeal.routing import state
from burdockdeal.settings import model

SERVICE_S = 0.18
SLOTS = 6
BODY_BYTES = 5_000
BASELINE = state.Baseline(service_s=SERVICE_S)


def make_member(number: int, domain: str) -> messages.Member:
    """Make an instance; the region is the first part of its domain's name."""
    return messages.Member(
        f"d{number}",
        domain,
        domain.split("-")[0],
        model.Address("127.0.0.1", 9000 + number),
        1,
        service="desk",
        upstream_incarnation=1,
        slots=SLOTS,
    )


def make_view(
    number: int, domain: str, waiting: int, round_trip_s: float
) -> state.View:
    busy = SLOTS if waiting else 0
    return state.View(
        member=make_member(number, domain),
        is_local=domain == "north-a",
        is_in_region=domain.startswith("north"),
        outstanding=0,
        report=load_report.LoadReport(busy, waiting, SLOTS, SERVICE_S * 1000),
        report_age_s=0.0,
        latency_s=SERVICE_S,
        round_trip_s=round_trip_s,
    )


def choose(at_home: int, in_region: int) -> str:
    """Choose by the calls that wait at home and in the region; none beyond."""
    chosen = decisions.choose(
        [
            make_view(0, "north-a", at_home, 0.0005),
            make_view(1, "north-b", in_region, 0.001),
            make_view(2, "south-a", 0, 0.04),
        ],
        BASELINE,
        10.0,
        random.Random(1),
        remote_penalty_s=decisions.find_remote_penalty(BODY_BYTES),
    )
    return chosen.member.failure_domain


@pytest.mark.parametrize(
    ("at_home", "in_region", "expected"),
    [
        (0, 0, "north-a"),
        (1, 0, "north-b"),
        (1, 1, "north-a"),
        (4, 4, "north-a"),
        (4, 2, "north-b"),
        (12, 12, "south-a"),
    ],
)
def test_work_goes_further_only_as_the_wait_exceeds_the_way(
    at_home: int, in_region: int, expected: str
) -> None:
    assert choose(at_home, in_region) == expected


def test_a_region_that_fills_gives_up_work_gradually() -> None:
    """A wave must not send all work away at once, nor back at once."""
    order = ["north-a", "south-a"]
    chosen = [order.index(choose(wait, wait)) for wait in range(30)]
    assert chosen == sorted(chosen)
    assert chosen[0] == 0
    assert chosen[-1] == 1


def test_a_sample_has_instances_of_the_own_region() -> None:
    """In a large fleet few random candidates would be near by."""
    domains = ["north-a", "north-b", *(f"r{index}-a" for index in range(20))]
    members = tuple(
        make_member(20 * index + number, domain)
        for index, domain in enumerate(domains)
        for number in range(20)
    )
    group = instance_group.InstanceGroup("d0", "north-a", "north")
    group.update_members(members, 0.5)
    sample = group.sample(frozenset(), random.Random(1))
    near = [member for member in sample if member.region == "north"]
    assert len(near) >= 5
    assert len(sample) < 16


def test_an_only_region_draws_no_further_candidates() -> None:
    """Deployments of one region are served as before."""
    members = tuple(make_member(number, "north-a") for number in range(40))
    drawn = []
    for region in ("north", ""):
        group = instance_group.InstanceGroup("d0", "north-a", region)
        group.update_members(members, 0.5)
        drawn.append(group.sample(frozenset(), random.Random(1)))
    assert drawn[0] == drawn[1]
