"""What a status may claim, checked within the specification's bounds."""

import dataclasses

import minicheck
import pytest

from burdockdeal.configuration import messages
from burdockdeal.configuration import status_specification as specification
from burdockdeal.configuration import tree
from burdockdeal.membership import messages as membership

INVARIANTS = (
    specification.claims_no_more_than_holds,
    specification.domains_never_vanish,
)


def check(rules: specification.Rules) -> dict:
    return minicheck.check_safety(
        minicheck.Protocol(
            name="spread",
            candidate=False,
            fields=("state",),
            initial=(specification.State(),),
            transitions=specification.transitions,
            invariants={
                invariant.__name__: lambda fields, invariant=invariant: (
                    invariant(rules, fields["state"])
                )
                for invariant in INVARIANTS
            },
        )
    )


def test_a_status_holds_within_its_bounds() -> None:
    result = check(specification.Rules())
    assert result["exhaustive"], result.get("incomplete_reason")
    for name, found in result["properties"].items():
        assert found["holds"] is True, (name, found.get("counterexample"))


def survey_the_living(members, remembered, dead_s):
    living = [m for m in members if m.health is membership.Health.ALIVE]
    return tree.group_by_domain(living, (), {})


def survey_without_memory(members, remembered, dead_s):
    return tree.group_by_domain(members, (), dead_s)


def forget_at_once(members, remembered, dead_s):
    always = {member.daemon: 9e9 for member in members}
    return tuple(
        dataclasses.replace(domain, lost=0)
        for domain in tree.group_by_domain(members, remembered, always)
    )


def combine_the_highest(domain, answers):
    combined = tree.aggregate(domain, answers)
    highest = max((answer.revision for answer in answers), default=0)
    return dataclasses.replace(combined, revision=highest)


def combine_those_that_answer(domain, answers):
    combined = tree.aggregate(domain, answers)
    return dataclasses.replace(combined, unreached=0)


def judge_by_revision(generation, domains):
    reached = [
        messages.Applied(d.failure_domain, d.revision or generation, 1, 0)
        for d in domains
    ]
    return tree.evaluate_status(generation, reached)


BROKEN = {
    "the dead are left out": (
        specification.Rules(survey=survey_the_living),
        "claims_no_more_than_holds",
    ),
    "the dead are left out, a whole domain": (
        specification.Rules(survey=survey_the_living),
        "domains_never_vanish",
    ),
    "domains are not remembered": (
        specification.Rules(survey=survey_without_memory),
        "domains_never_vanish",
    ),
    "the lost are not named": (
        specification.Rules(survey=forget_at_once),
        "claims_no_more_than_holds",
    ),
    "the highest revision counts": (
        specification.Rules(combine=combine_the_highest),
        "claims_no_more_than_holds",
    ),
    "who does not answer is left out": (
        specification.Rules(combine=combine_those_that_answer),
        "claims_no_more_than_holds",
    ),
    "a domain that does not answer passes": (
        specification.Rules(judge=judge_by_revision),
        "claims_no_more_than_holds",
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_variant_is_caught(name: str) -> None:
    rules, invariant = BROKEN[name]
    found = check(rules)["properties"][invariant]
    assert found["holds"] is False, name
