"""The log's specification, checked within its bounds."""

import dataclasses

import minicheck
import pytest

from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import specification

MAX_STATES = 300_000
#: A counterexample is one, however much of the search is left.
MAX_STATES_BROKEN = 12_000


def check(rules: specification.Rules, max_states: int = MAX_STATES) -> dict:
    invariants = {
        invariant.__name__: lambda fields, invariant=invariant: invariant(
            fields["state"]
        )
        for invariant in specification.INVARIANTS
    }
    return minicheck.check_safety(
        minicheck.Protocol(
            name="log",
            candidate=False,
            fields=("state",),
            initial=(specification.begin(rules),),
            transitions=specification.make_transitions(rules),
            invariants=invariants,
        ),
        max_states=max_states,
    )


BOUNDS = {
    "two writers, a lap and a half": specification.Rules(),
    "a follower, three laps": specification.Rules(
        last_revision=6, follows=True
    ),
}


@pytest.mark.parametrize("name", BOUNDS)
def test_the_log_holds_within_its_bounds(name: str) -> None:
    result = check(BOUNDS[name])
    assert result["exhaustive"], result.get("incomplete_reason")
    for name, found in result["properties"].items():
        assert found["holds"] is True, (name, found.get("counterexample"))
    print(result["reachable_states"], "states")


def take_newest(changes, revision):
    return tuple(change for change in changes if change.revision > revision)


def take_any(changes, revision):
    return tuple(changes)


BROKEN = {
    "anew at the next revision while open": (
        specification.Rules(gives_up_open=True),
        "at_most_once",
    ),
    "a conflict believed without a look": (
        specification.Rules(trusts_conflict=True),
        "at_most_once",
    ),
    "covered entries deleted": (
        specification.Rules(deletes=True),
        "in_order",
    ),
    "covered entries deleted, what was accepted": (
        specification.Rules(deletes=True),
        "never_lost",
    ),
    "refused while open": (
        specification.Rules(refuses_open=True),
        "refused_stays_out",
    ),
    "written over without a snapshot": (
        specification.Rules(can_overwrite=lambda *args: True),
        "all_is_kept",
    ),
    "a gap skipped": (
        specification.Rules(
            last_revision=5, follows=True, select_contiguous=take_newest
        ),
        "never_reverts",
    ),
    "stale entries taken": (
        specification.Rules(
            last_revision=5, follows=True, select_contiguous=take_any
        ),
        "never_reverts",
    ),
    "landed believed of any change": (
        specification.Rules(
            classify_slot=lambda revision, change_id, stands: (
                log.WriteOutcome.COMMITTED
                if stands and stands.revision == revision
                else log.classify_slot(revision, change_id, stands)
            )
        ),
        "never_lost",
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_variant_is_caught(name: str, monkeypatch) -> None:
    rules, invariant = BROKEN[name]
    monkeypatch.setattr(
        specification, "INVARIANTS", (getattr(specification, invariant),)
    )
    found = check(rules, MAX_STATES_BROKEN)["properties"][invariant]
    assert found["holds"] is False, name


def test_a_change_of_the_specification_is_a_message() -> None:
    change = specification.make_change(3, "a")
    assert isinstance(change, messages.Change)
    assert dataclasses.replace(change, revision=3) == change
