"""Model checking of claims that a restored store loses.

Every reachable state is explored with the production decisions, and once
more for each faulty variant of a decision, which must break an invariant.
"""

import dataclasses

import minicheck
import pytest

from burdockdeal.bookings import decisions
from burdockdeal.bookings import era_specification

Rules = era_specification.Rules
#: A faulty variant needs no exhaustive search, only a counterexample.
MAX_STATES_FAULTY = 60_000

RUNS_ONCE = "a key runs once within the retention time"


def check(rules: Rules, max_states: int = 500_000) -> dict:
    return minicheck.check_safety(
        minicheck.Protocol(
            name="claims",
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
        max_states=max_states,
    )


def test_invariants_hold() -> None:
    result = check(Rules())
    print("claims and eras:", result["reachable_states"], "states")
    assert result["exhaustive"], result.get("incomplete_reason")
    for name, found in result["properties"].items():
        assert found["holds"] is True, (name, found.get("counterexample"))


def wait_too_little(window, **arguments):
    entered = decisions.enter_era(window, **arguments)
    if entered == window:
        return window
    return dataclasses.replace(entered, opens_at=entered.opens_at - 1)


FAULTY_VARIANTS = {
    "claims stay open": (Rules(may_claim=lambda *a, **k: True), RUNS_ONCE),
    "claims open too early": (Rules(enter_era=wait_too_little), RUNS_ONCE),
    "an era counts as open without its entry": (
        Rules(
            accept_open_era=lambda window, era, now: decisions.accept_open_era(
                window, window.era, now
            )
        ),
        RUNS_ONCE,
    ),
    "the answer's era is not checked": (
        Rules(checks_after_answer=False),
        RUNS_ONCE,
    ),
    "an absent claim is trusted in a new era": (
        Rules(may_claim=lambda *a, **k: True),
        "no request is reported as not run after a run",
    ),
}


@pytest.mark.parametrize("name", FAULTY_VARIANTS)
def test_a_faulty_variant_breaks_its_invariant(name: str) -> None:
    rules, invariant = FAULTY_VARIANTS[name]
    found = check(rules, MAX_STATES_FAULTY)["properties"][invariant]
    assert found["holds"] is False
