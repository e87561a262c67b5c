"""Model checking of a daemon and a store that is restored.

Every reachable state is explored with the production decisions, and once
more for each faulty variant of a decision, which must break an invariant.
"""

import minicheck
import pytest

from burdockdeal.platform import decisions
from burdockdeal.platform import era_specification
from burdockdeal.platform import state

Rules = era_specification.Rules


def explore(rules: Rules) -> tuple[set[str], int]:
    """Explore all reachable states.

    :returns: the invariants that do not hold, and the number of states.
    """
    result = minicheck.check_safety(
        minicheck.Protocol(
            name="era",
            candidate=False,
            fields=("system",),
            initial=(era_specification.State(),),
            transitions=lambda values: [
                (name, (after,))
                for name, after in era_specification.transitions(
                    values[0], rules
                )
            ],
            invariants={
                name: (lambda values, holds=holds: holds(values["system"]))
                for name, holds in era_specification.INVARIANTS.items()
            },
        ),
        max_states=2_000_000,
    )
    assert result["exhaustive"]
    failed = {
        name
        for name, found in result["properties"].items()
        if not found["holds"]
    }
    return failed, result["reachable_states"]


def test_invariants_hold() -> None:
    failed, states = explore(Rules())
    print("eras:", states, "states")
    assert not failed
    assert states > 1000


def take_every_response(outcome, **arguments) -> bool:
    """Take also the response of an older era for a result."""
    return decisions.is_result(state.EraOutcome.SAME, **arguments)


FAULTY_VARIANTS = {
    "the era of a write's response is ignored": (
        Rules(
            is_result=lambda outcome, *, answered, written_on: (
                decisions.is_result(
                    outcome, answered=answered, written_on=None
                )
            )
        ),
        "a successful write replaced the value that was read",
    ),
    "a write on a version of an earlier era is sent": (
        Rules(may_use_version=lambda *args: True),
        "no write in a known era replaces a value that was not read",
    ),
    "a write without a result counts as refused": (
        Rules(unanswered=era_specification.Outcome.REFUSED),
        "a refused write never took effect",
    ),
    "a watch continues in another era": (
        Rules(can_continue=lambda *args: True),
        "a view of the newest version is current",
    ),
    "pages of two eras are joined": (
        Rules(can_continue=lambda *args: True),
        "the pages of a listing are of one era",
    ),
    "a response of an older era is a result": (
        Rules(is_result=take_every_response),
        "no result is of an older era than is known",
    ),
}


@pytest.mark.parametrize("name", FAULTY_VARIANTS)
def test_a_faulty_variant_breaks_its_invariant(name: str) -> None:
    rules, invariant = FAULTY_VARIANTS[name]
    assert invariant in explore(rules)[0]
