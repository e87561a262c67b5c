"""Tests of the table of routing policies."""

import dataclasses
import random
import typing

import pytest

from burdockdeal.core import call
from burdockdeal.core import load_report
from burdockdeal.membership import messages
from burdockdeal.routing import policies
from burdockdeal.routing import selection
from burdockdeal.routing import tracking
from burdockdeal.settings import model
from burdockdeal_standins import simulation

MEMBERS = tuple(simulation.make_member(index, "shotton") for index in range(3))
WORK = call.Call("r", simulation.SERVICE, "browse", 20.0, idempotent=True)


def make_chooser(
    name: str, members: tuple[messages.Member, ...]
) -> tuple[tracking.InstanceTracker, selection.Chooser]:
    tracker = tracking.InstanceTracker(
        "own", "shotton", lambda: 10.0, lambda: load_report.LoadReport(0, 0, 0)
    )
    choose = selection.make_chooser(
        name,
        random.Random(1),
        tracker,
        list_serving=lambda service: members,
        services=dict,
        ranks=dict,
    )
    return tracker, choose


def test_settings_accept_every_policy() -> None:
    assert set(typing.get_args(model.Policy)) == set(policies.POLICIES)


@pytest.mark.parametrize("name", sorted(policies.POLICIES))
def test_tried_instances_are_not_chosen(name: str) -> None:
    _, choose = make_chooser(name, MEMBERS)
    tried: frozenset[str] = frozenset()
    for _ in MEMBERS:
        chosen = choose(WORK, tried)
        assert chosen.daemon not in tried
        tried |= {chosen.daemon}
    assert choose(WORK, tried) is None


def test_least_critical_calls_are_trial_calls_first() -> None:
    urgent = call.Call(
        "r", simulation.SERVICE, "tracking", 20.0, idempotent=True
    )
    once = call.Call("r", simulation.SERVICE, "browse", 20.0)
    trial_delay_factor = [
        selection.find_trial_delay_factor(work, simulation.RANKS)
        for work in (WORK, urgent, once)
    ]
    assert trial_delay_factor == sorted(set(trial_delay_factor))


@pytest.mark.parametrize("name", sorted(policies.POLICIES))
@pytest.mark.parametrize("count", [6, 60])
def test_a_call_stays_in_its_regions(name: str, count: int) -> None:
    """Not even the last instance that is left may be elsewhere."""
    members = tuple(
        dataclasses.replace(
            simulation.make_member(index, "shotton"),
            region=("north", "south", "east")[index % 3],
        )
        for index in range(count)
    )
    tracker, choose = make_chooser(name, members)
    choose(WORK, frozenset())
    for member in reversed(members):
        tracker.ensure_stats(member)
        tracker.record_report(
            member.daemon,
            member.upstream_incarnation,
            load_report.LoadReport(0, 0, 9),
        )
    limited = dataclasses.replace(WORK, regions=frozenset({"north", "south"}))
    tried: frozenset[str] = frozenset()
    while chosen := choose(limited, tried):
        assert chosen.region in limited.regions
        tried |= {chosen.daemon}
    assert len(tried) == 2 * count // 3
    assert choose(WORK, tried).region == "east"
