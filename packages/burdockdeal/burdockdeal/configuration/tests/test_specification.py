"""Exhaustive checks of the model of the change log, within its bounds."""

import dataclasses

import minicheck
import pytest

from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import specification

MAX_STATES = 300_000
#: A faulty variant needs no exhaustive search, only a counterexample.
MAX_STATES_FAULTY = 12_000


def check(
    decisions: specification.Decisions, max_states: int = MAX_STATES
) -> dict:
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
            initial=(specification.make_initial_state(decisions),),
            transitions=specification.make_transitions(decisions),
            invariants=invariants,
        ),
        max_states=max_states,
    )


BOUNDS = {
    "two writers, a lap and a half": specification.Decisions(),
    "a follower, three laps": specification.Decisions(
        last_revision=6, has_follower=True
    ),
}


@pytest.mark.parametrize("name", BOUNDS)
def test_invariants_hold_within_bounds(name: str) -> None:
    result = check(BOUNDS[name])
    assert result["exhaustive"], result.get("incomplete_reason")
    for name, found in result["properties"].items():
        assert found["holds"] is True, (name, found.get("counterexample"))
    print(result["reachable_states"], "states")


def select_newer(changes, revision):
    return tuple(change for change in changes if change.revision > revision)


def select_all(changes, revision):
    return tuple(changes)


FAULTY_VARIANTS = {
    "starts over at the next revision while in doubt": (
        specification.Decisions(skips_in_doubt=True),
        "applied_at_most_once",
    ),
    "trusts a conflict without reading the slot": (
        specification.Decisions(trusts_conflict=True),
        "applied_at_most_once",
    ),
    "deletes covered entries": (
        specification.Decisions(deletes_covered=True),
        "writes_are_in_order",
    ),
    "deletes covered entries, which loses accepted changes": (
        specification.Decisions(deletes_covered=True),
        "accepted_is_never_lost",
    ),
    "reports refused while in doubt": (
        specification.Decisions(refuses_in_doubt=True),
        "refused_never_applied",
    ),
    "overwrites without a snapshot": (
        specification.Decisions(can_overwrite=lambda *args: True),
        "no_change_is_dropped",
    ),
    "skips a gap": (
        specification.Decisions(
            last_revision=5, has_follower=True, select_contiguous=select_newer
        ),
        "follower_never_reverts",
    ),
    "applies stale entries": (
        specification.Decisions(
            last_revision=5, has_follower=True, select_contiguous=select_all
        ),
        "follower_never_reverts",
    ),
    "takes any change in the slot for its own": (
        specification.Decisions(
            classify_slot=lambda revision, change_id, stored: (
                log.WriteOutcome.COMMITTED
                if stored and stored.revision == revision
                else log.classify_slot(revision, change_id, stored)
            )
        ),
        "accepted_is_never_lost",
    ),
}


@pytest.mark.parametrize("name", FAULTY_VARIANTS)
def test_faulty_variant_violates_invariant(name: str, monkeypatch) -> None:
    decisions, invariant = FAULTY_VARIANTS[name]
    monkeypatch.setattr(
        specification, "INVARIANTS", (getattr(specification, invariant),)
    )
    found = check(decisions, MAX_STATES_FAULTY)["properties"][invariant]
    assert found["holds"] is False, name


def test_model_change_is_a_log_message() -> None:
    change = specification.make_change(3, "a")
    assert isinstance(change, messages.Change)
    assert dataclasses.replace(change, revision=3) == change
