"""Exhaustive checks of what the status of a resource may claim."""

import dataclasses

import minicheck
import pytest

from burdockdeal.configuration import messages
from burdockdeal.configuration import status_specification as specification
from burdockdeal.configuration import tree
from burdockdeal.membership import messages as membership

INVARIANTS = (
    specification.everywhere_is_never_claimed_falsely,
    specification.domains_are_never_omitted,
)


def check(decisions: specification.Decisions) -> dict:
    return minicheck.check_safety(
        minicheck.Protocol(
            name="status",
            candidate=False,
            fields=("state",),
            initial=(specification.State(),),
            transitions=specification.transitions,
            invariants={
                invariant.__name__: lambda fields, invariant=invariant: (
                    invariant(decisions, fields["state"])
                )
                for invariant in INVARIANTS
            },
        )
    )


def test_invariants_hold_within_bounds() -> None:
    result = check(specification.Decisions())
    assert result["exhaustive"], result.get("incomplete_reason")
    for name, found in result["properties"].items():
        assert found["holds"] is True, (name, found.get("counterexample"))


def group_only_alive(members, remembered, dead_s):
    alive = [m for m in members if m.health is membership.Health.ALIVE]
    return tree.group_by_domain(alive, (), {})


def group_without_remembered_domains(members, remembered, dead_s):
    return tree.group_by_domain(members, (), dead_s)


def omit_lost(members, remembered, dead_s):
    long_dead = {member.daemon: 9e9 for member in members}
    return tuple(
        dataclasses.replace(domain, lost=0)
        for domain in tree.group_by_domain(members, remembered, long_dead)
    )


def aggregate_highest_revision(domain, answers):
    aggregated = tree.aggregate(domain, answers)
    highest = max((answer.revision for answer in answers), default=0)
    return dataclasses.replace(aggregated, revision=highest)


def aggregate_without_unreached(domain, answers):
    aggregated = tree.aggregate(domain, answers)
    return dataclasses.replace(aggregated, unreached=0)


def evaluate_by_revision_only(generation, domains):
    reached = [
        messages.Applied(d.failure_domain, d.revision or generation, 1, 0)
        for d in domains
    ]
    return tree.evaluate_status(generation, reached)


FAULTY_VARIANTS = {
    "dead daemons are left out": (
        specification.Decisions(group_by_domain=group_only_alive),
        "everywhere_is_never_claimed_falsely",
    ),
    "dead daemons are left out, a whole domain of them": (
        specification.Decisions(group_by_domain=group_only_alive),
        "domains_are_never_omitted",
    ),
    "domains are not remembered": (
        specification.Decisions(
            group_by_domain=group_without_remembered_domains
        ),
        "domains_are_never_omitted",
    ),
    "lost daemons are not mentioned": (
        specification.Decisions(group_by_domain=omit_lost),
        "everywhere_is_never_claimed_falsely",
    ),
    "the highest revision counts": (
        specification.Decisions(aggregate=aggregate_highest_revision),
        "everywhere_is_never_claimed_falsely",
    ),
    "daemons that do not answer are left out": (
        specification.Decisions(aggregate=aggregate_without_unreached),
        "everywhere_is_never_claimed_falsely",
    ),
    "a domain that does not answer counts as up to date": (
        specification.Decisions(evaluate_status=evaluate_by_revision_only),
        "everywhere_is_never_claimed_falsely",
    ),
}


@pytest.mark.parametrize("name", FAULTY_VARIANTS)
def test_faulty_variant_violates_invariant(name: str) -> None:
    decisions, invariant = FAULTY_VARIANTS[name]
    found = check(decisions)["properties"][invariant]
    assert found["holds"] is False, name
