"""Exhaustive checks of the model of a log that a restore cuts short."""

import minicheck
import pytest

from burdockdeal.configuration import restore_specification as specification

Decisions = specification.Decisions

#: A faulty variant needs no exhaustive search, only a counterexample.
MAX_STATES_FAULTY = 60_000


def check(decisions: Decisions, max_states: int = 1_000_000) -> dict:
    return minicheck.check_safety(
        minicheck.Protocol(
            name="restored log",
            candidate=False,
            fields=("state",),
            initial=(specification.State(),),
            transitions=specification.make_transitions(decisions),
            invariants={
                invariant.__name__: lambda fields, holds=invariant: holds(
                    fields["state"]
                )
                for invariant in specification.INVARIANTS
            },
        ),
        max_states=max_states,
    )


def test_invariants_hold() -> None:
    result = check(Decisions())
    print("restored log:", result["reachable_states"], "states")
    assert result["exhaustive"], result.get("incomplete_reason")
    for name, found in result["properties"].items():
        assert found["holds"] is True, (name, found.get("counterexample"))


FAULTY_VARIANTS = {
    "applies every change that is received": (
        Decisions(select_contiguous=lambda changes, revision: changes),
        "active_never_goes_back",
    ),
    "leaves the gaps of the log": (
        Decisions(rewrites=False),
        "writes_extend_applied_log",
    ),
    "does not read the previous slot": (
        Decisions(checks_previous=False),
        "writes_extend_applied_log",
    ),
    "does not compare changes": (
        Decisions(find_replaced=lambda applied, received: ()),
        "replaced_is_reported",
    ),
}


@pytest.mark.parametrize("name", FAULTY_VARIANTS)
def test_a_faulty_variant_violates_its_invariant(name: str) -> None:
    decisions, invariant = FAULTY_VARIANTS[name]
    result = check(decisions, MAX_STATES_FAULTY)
    assert result["properties"][invariant]["holds"] is False
