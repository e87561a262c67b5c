"""The budget of measuring: an invariant in every second."""

from collections import abc

import hypothesis
from hypothesis import strategies
import pytest

from burdockdeal.configuration import resources
from burdockdeal.measurement import decisions
from burdockdeal.measurement import prober
from burdockdeal.measurement import state

SIZE = prober.compute_probe_bytes("x" * 24)

#: What happens between two decisions: a pause in seconds, how many
#: instances there are, whether all are suspect, and answered calls.
STEPS = strategies.lists(
    strategies.tuples(
        strategies.one_of(
            strategies.sampled_from([0.0, 0.05, 0.999, 1.0, 1.5]),
            strategies.floats(0, 3),
        ),
        strategies.integers(0, 40),
        strategies.booleans(),
        strategies.integers(0, 1000),
    ),
    max_size=60,
)
TERMS = strategies.builds(
    state.Terms, strategies.integers(1, 30), strategies.integers(1, 30_000)
)


def find_worst(sent: abc.Sequence[float]) -> int:
    """Count the most in any window of a second, its two ends included.

    A probe's bytes may be on the link until it is given up.
    """
    window_s = 1.0 + decisions.PROBE_TIMEOUT_S
    return max(
        (sum(1 for other in sent if 0 <= other - at <= window_s))
        for at in sent
    )


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(TERMS, STEPS)
def test_no_second_goes_beyond_the_budget(
    terms: state.Terms, steps: list[tuple[float, int, bool, int]]
) -> None:
    sent = send_all(terms, steps)
    if sent:
        assert find_worst(sent) <= terms.probes_per_second
        assert find_worst(sent) * SIZE <= terms.bytes_per_second


def send_all(
    terms: state.Terms, steps: list[tuple[float, int, bool, int]]
) -> list[float]:
    ledger, credit, now = state.Ledger(), 0.0, 0.0
    sent: list[float] = []
    for pause_s, count, suspect, answers in steps:
        now += pause_s
        credit = decisions.add_credit(credit, answers)
        wants = [
            decisions.Want(f"d{index}", suspect, 1.0) for index in range(count)
        ]
        planned = decisions.plan(
            wants, ledger, terms, SIZE, now, credit=credit
        )
        ledger, credit = planned.ledger, planned.credit
        sent += [now] * len(planned.names)
    return sent


def test_the_invariant_catches_an_average() -> None:
    """A ledger that is emptied each second lets twice as much through."""
    terms = state.Terms(5, 10**6)
    sent = []
    for start in (0.9, 1.0):
        ledger = state.Ledger()
        for _ in range(9):
            ruling = decisions.charge(ledger, terms, SIZE, start)
            ledger = ruling.ledger
            sent += [start] * ruling.allowed
    assert find_worst(sent) > terms.probes_per_second


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    TERMS, strategies.lists(strategies.floats(0, 0.5), max_size=100)
)
def test_the_receiver_keeps_its_budget_too(
    terms: state.Terms, pauses: list[float]
) -> None:
    ledger, now = state.Ledger(), 0.0
    taken: list[float] = []
    for pause_s in pauses:
        now += pause_s
        ruling = decisions.charge(ledger, terms, SIZE, now)
        ledger = ruling.ledger
        taken += [now] * ruling.allowed
    if taken:
        assert find_worst(taken) <= terms.probes_per_second
        assert find_worst(taken) * SIZE <= terms.bytes_per_second


def plan(wants: list[decisions.Want], credit: float) -> tuple[str, ...]:
    terms = decisions.terms_of_sender(resources.Budget(4, 10**6))
    planned = decisions.plan(
        wants, state.Ledger(), terms, SIZE, 0.0, credit=credit
    )
    return planned.names


def test_suspects_first_and_without_credit() -> None:
    wants = [
        decisions.Want("fresh", False, 0.1),
        decisions.Want("old", False, 5.0),
        decisions.Want("older", False, 9.0),
        decisions.Want("suspect", True, 0.3),
        decisions.Want("just-asked", True, 0.1),
    ]
    assert plan(wants, 0.0) == ("suspect",)
    assert plan(wants, 1.0) == ("suspect", "older")
    assert plan(wants, 9.0) == ("suspect", "older", "old")


def test_all_suspect_at_once() -> None:
    wants = [decisions.Want(f"d{i}", True, 1.0) for i in range(50)]
    assert len(plan(wants, 0.0)) == 4


@pytest.mark.parametrize("answers", [100, 1000, 10_000])
def test_few_probes_for_answers_that_bring_reports(answers: int) -> None:
    credit, sent = 0.0, 0
    ledger = state.Ledger()
    terms = state.Terms(10**6, 10**9)
    for step in range(answers):
        credit = decisions.add_credit(credit, 1)
        wants = [decisions.Want(f"d{i}", False, 9.0) for i in range(40)]
        planned = decisions.plan(
            wants, ledger, terms, SIZE, step * 0.01, credit=credit
        )
        ledger, credit = planned.ledger, planned.credit
        sent += len(planned.names)
    assert sent <= 0.1 * answers
