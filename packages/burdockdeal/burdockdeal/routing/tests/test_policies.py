"""Tests of the table of routing policies."""

import random
import typing

import pytest

from burdockdeal.core import call
from burdockdeal.core import load_report
from burdockdeal.routing import policies
from burdockdeal.routing import selection
from burdockdeal.routing import tracking
from burdockdeal.settings import model
from burdockdeal_standins import simulation

MEMBERS = tuple(simulation.make_member(index, "shotton") for index in range(3))
WORK = call.Call("r", simulation.SERVICE, "browse", 20.0, idempotent=True)


def test_settings_accept_every_policy() -> None:
    assert set(typing.get_args(model.Policy)) == set(policies.POLICIES)


@pytest.mark.parametrize("name", sorted(policies.POLICIES))
def test_tried_instances_are_not_chosen(name: str) -> None:
    tracker = tracking.InstanceTracker(
        "own", "shotton", lambda: 10.0, lambda: load_report.LoadReport(0, 0, 0)
    )
    choose = selection.make_chooser(
        name,
        random.Random(1),
        tracker,
        list_serving=lambda service: MEMBERS,
        services=dict,
        ranks=dict,
    )
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
