"""The table of policies."""

import random
import typing

import pytest

from burdockdeal.core import call
from burdockdeal.routing import policies
from burdockdeal.routing import selection
from burdockdeal.routing import state
from burdockdeal.routing import tracking
from burdockdeal.settings import model
from burdockdeal_standins import play

MEMBERS = tuple(play.make_member(index, "shotton") for index in range(3))
WORK = call.Call("r", play.SERVICE, "browse", 20.0, idempotent=True)


def test_the_settings_know_every_policy() -> None:
    assert set(typing.get_args(model.Policy)) == set(policies.POLICIES)


@pytest.mark.parametrize("name", sorted(policies.POLICIES))
def test_never_one_that_was_tried(name: str) -> None:
    tracker = tracking.InstanceTracker(
        "own", "shotton", lambda: 10.0, lambda: state.LoadReport(0, 0, 0)
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


def test_lesser_work_is_risked_first() -> None:
    urgent = call.Call("r", play.SERVICE, "tracking", 20.0, idempotent=True)
    once = call.Call("r", play.SERVICE, "browse", 20.0)
    patience = [
        selection.weigh_patience(work, play.RANKS)
        for work in (WORK, urgent, once)
    ]
    assert patience == sorted(set(patience))
