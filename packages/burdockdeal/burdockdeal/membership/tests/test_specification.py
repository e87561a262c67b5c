"""Exhaustive checks of the membership model within its bounds."""

from collections import abc
import dataclasses

import minicheck
import pytest

from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.membership import specification

_MAX_STATES = 200_000
_ONE_WATCHER = specification.Bounds(watchers=1, serial=2, restarts=1)
_TWO_WATCHERS = specification.Bounds(watchers=2, serial=1, restarts=1)


def check(
    functions: specification.Functions,
    bounds: specification.Bounds,
    names: abc.Collection[str] = tuple(specification.INVARIANTS),
) -> dict[str, bool]:
    transitions = specification.make_transitions(functions, bounds)
    protocol = minicheck.Protocol(
        name="membership",
        candidate=False,
        fields=("state",),
        initial=(specification.make_initial(bounds),),
        transitions=lambda fields: [
            (label, (after,)) for label, after in transitions(fields[0])
        ],
        invariants={
            name: lambda fields, invariant=invariant: invariant(
                fields["state"]
            )
            for name, invariant in specification.INVARIANTS.items()
            if name in names
        },
    )
    result = minicheck.check_safety(protocol, max_states=_MAX_STATES)
    return {
        name: outcome["holds"]
        for name, outcome in result["properties"].items()
    }


@pytest.mark.parametrize("bounds", [_ONE_WATCHER, _TWO_WATCHERS])
def test_all_invariants_hold(bounds: specification.Bounds) -> None:
    assert check(specification.Functions(), bounds) == {
        "never_regresses": True,
        "can_be_refuted": True,
    }


def _merge_last_received(
    known: messages.Member | None, received: messages.Member
) -> messages.Member:
    return received


def _refute_without_raising_serial(
    own: messages.Member, received: messages.Member, *, has_joined: bool
) -> decisions.SelfUpdate:
    return decisions.SelfUpdate(own)


def _refute_keeping_incarnation(
    own: messages.Member, received: messages.Member, *, has_joined: bool
) -> decisions.SelfUpdate:
    if received.incarnation > own.incarnation and not has_joined:
        return decisions.SelfUpdate(own)
    return decisions.refute(own, received, has_joined=has_joined)


def _apply_any_claim(
    known: messages.Member, claim: messages.Claim
) -> messages.Member:
    return dataclasses.replace(known, health=claim.health)


@pytest.mark.parametrize(
    ("broken", "violated"),
    [
        ({"merge": _merge_last_received}, "never_regresses"),
        ({"apply_claim": _apply_any_claim}, "never_regresses"),
        ({"refute": _refute_without_raising_serial}, "can_be_refuted"),
        ({"refute": _refute_keeping_incarnation}, "can_be_refuted"),
    ],
)
def test_each_invariant_detects_broken_functions(
    broken: dict, violated: str
) -> None:
    functions = specification.Functions(**broken)
    results = check(functions, specification.Bounds(), {violated})
    assert results[violated] is False
