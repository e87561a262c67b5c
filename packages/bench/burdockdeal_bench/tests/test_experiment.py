"""Tests of a short experiment from end to end."""

import dataclasses

from burdockdeal_bench import experiment as experiments
from burdockdeal_bench import scenario as scenarios
from burdockdeal_standins import store

_PLACE_COUNT = 3


def _make_short_experiment() -> scenarios.Experiment:
    shipped = scenarios.load("steady")
    deployment = dataclasses.replace(
        shipped.deployment, places=shipped.deployment.places[:_PLACE_COUNT]
    )
    scenario = scenarios.Scenario(
        name="short",
        duration_s=2.0,
        unloaded_s=1.0,
        loads=(
            scenarios.Load("urgent", 20.0),
            scenarios.Load("deep", 2.0, to_s=1.0),
        ),
        events=(
            scenarios.Event(1.0, scenarios.Action.CUT_DOMAIN, "p3"),
            scenarios.Event(1.2, scenarios.Action.HEAL_DOMAIN, "p3"),
            scenarios.Event(1.3, scenarios.Action.KILL_UPSTREAM, "p2"),
        ),
    )
    return scenarios.Experiment(scenario, deployment)


async def test_short_experiment_end_to_end() -> None:
    result = await experiments.run_experiment(
        _make_short_experiment(), policy="round_robin", seed=3
    )
    assert result.ran_twice == 0
    assert result.not_run_but_ran == 0
    assert result.foreign_answers == 0
    urgent = result.ranks[0]
    assert urgent.rank == "optician"
    assert urgent.sent > 20
    assert urgent.answered > 0
    # Runs of the killed upstream are still counted, and a chain of 8
    # calls counts as 8 runs.
    answered = sum(rank.answered for rank in result.ranks)
    assert result.runs >= answered
    # No resource is declared during the measured part of the run.
    assert result.store_calls.writes == 0


def test_store_calls_before_the_run_are_subtracted() -> None:
    before = store.Counts(reads=5, writes=4, watches=3, leases=2)
    after = store.Counts(reads=9, writes=7, watches=5, leases=3)
    expected = store.Counts(reads=4, writes=3, watches=2, leases=1)
    assert experiments.subtract_counts(after, before) == expected
