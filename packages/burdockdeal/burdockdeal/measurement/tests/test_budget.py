"""The budget for probes, an invariant of every second."""

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
#: instances there are, whether all of them are suspect, and how many calls
#: are answered.
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
LIMITS = strategies.builds(
    state.ProbeLimits,
    strategies.integers(1, 30),
    strategies.integers(1, 30_000),
)


def count_most_in_a_second(sent: abc.Sequence[float]) -> int:
    """Count the most probes that may be on the link in any one second.

    The bytes of a probe may be on the link until its time-out, so that much
    is added to the window. Both ends of it are included.
    """
    window_s = 1.0 + decisions.PROBE_TIMEOUT_S
    return max(
        (sum(1 for other in sent if 0 <= other - at <= window_s))
        for at in sent
    )


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(LIMITS, STEPS)
def test_no_second_exceeds_the_budget(
    limits: state.ProbeLimits, steps: list[tuple[float, int, bool, int]]
) -> None:
    sent = send_all(limits, steps)
    if sent:
        assert count_most_in_a_second(sent) <= limits.probes_per_second
        assert count_most_in_a_second(sent) * SIZE <= limits.bytes_per_second


def send_all(
    limits: state.ProbeLimits, steps: list[tuple[float, int, bool, int]]
) -> list[float]:
    window, credit, now = state.CostWindow(), 0.0, 0.0
    sent: list[float] = []
    for pause_s, count, suspect, answers in steps:
        now += pause_s
        credit = decisions.add_credit(credit, answers)
        candidates = [
            decisions.ProbeCandidate(f"d{index}", suspect, 1.0)
            for index in range(count)
        ]
        planned = decisions.plan_probes(
            candidates, window, limits, SIZE, now, credit=credit
        )
        window, credit = planned.window, planned.credit
        sent += [now] * len(planned.names)
    return sent


def test_the_invariant_catches_a_fixed_window() -> None:
    """A window that is emptied each second allows twice the limit."""
    limits = state.ProbeLimits(5, 10**6)
    sent = []
    for start in (0.9, 1.0):
        window = state.CostWindow()
        for _ in range(9):
            result = decisions.try_spend(window, limits, SIZE, start)
            window = result.window
            sent += [start] * result.allowed
    assert count_most_in_a_second(sent) > limits.probes_per_second


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    LIMITS, strategies.lists(strategies.floats(0, 0.5), max_size=100)
)
def test_the_receiver_keeps_its_budget(
    limits: state.ProbeLimits, pauses: list[float]
) -> None:
    window, now = state.CostWindow(), 0.0
    taken: list[float] = []
    for pause_s in pauses:
        now += pause_s
        result = decisions.try_spend(window, limits, SIZE, now)
        window = result.window
        taken += [now] * result.allowed
    if taken:
        assert count_most_in_a_second(taken) <= limits.probes_per_second
        assert count_most_in_a_second(taken) * SIZE <= limits.bytes_per_second


def plan(
    candidates: list[decisions.ProbeCandidate], credit: float
) -> tuple[str, ...]:
    limits = decisions.get_sender_limits(resources.Budget(4, 10**6))
    planned = decisions.plan_probes(
        candidates, state.CostWindow(), limits, SIZE, 0.0, credit=credit
    )
    return planned.names


def test_suspects_go_first_and_need_no_credit() -> None:
    candidates = [
        decisions.ProbeCandidate("fresh", False, 0.1),
        decisions.ProbeCandidate("old", False, 5.0),
        decisions.ProbeCandidate("older", False, 9.0),
        decisions.ProbeCandidate("suspect", True, 0.3),
        decisions.ProbeCandidate("just-asked", True, 0.1),
    ]
    assert plan(candidates, 0.0) == ("suspect",)
    assert plan(candidates, 1.0) == ("suspect", "older")
    assert plan(candidates, 9.0) == ("suspect", "older", "old")


def test_suspects_are_limited_by_the_budget() -> None:
    candidates = [
        decisions.ProbeCandidate(f"d{i}", True, 1.0) for i in range(50)
    ]
    assert len(plan(candidates, 0.0)) == 4


@pytest.mark.parametrize("answers", [100, 1000, 10_000])
def test_few_routine_probes_while_answers_bring_reports(answers: int) -> None:
    credit, sent = 0.0, 0
    window = state.CostWindow()
    limits = state.ProbeLimits(10**6, 10**9)
    for step in range(answers):
        credit = decisions.add_credit(credit, 1)
        candidates = [
            decisions.ProbeCandidate(f"d{i}", False, 9.0) for i in range(40)
        ]
        planned = decisions.plan_probes(
            candidates, window, limits, SIZE, step * 0.01, credit=credit
        )
        window, credit = planned.window, planned.credit
        sent += len(planned.names)
    assert sent <= 0.1 * answers
