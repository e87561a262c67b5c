"""Compares the hot/cold policy with baselines in simulated time.

All policies run on the same seeds.
"""

import collections
import dataclasses

import pytest

from burdockdeal.routing import instance_group
from burdockdeal_standins import simulation

SLOW = simulation.Fault(1.0, 3.0, 1, service_ms=200.0)
FAILING = simulation.Fault(1.0, 3.0, 1, service_ms=0.3, status=500)


def run(policy: str, seed: int, **fields: object) -> list[simulation.Outcome]:
    return simulation.Simulation(
        simulation.Parameters(**fields), policy, seed
    ).run()


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("baseline", ["round_robin", "least_reported"])
def test_p99_with_a_slow_instance_is_half_that_of_the_baseline(
    baseline: str, seed: int
) -> None:
    p99_ms = simulation.p99_ms(run("hot_cold", seed, fault=SLOW), "tracking")
    baseline_ms = simulation.p99_ms(
        run(baseline, seed, fault=SLOW), "tracking"
    )
    assert p99_ms <= baseline_ms / 2


@pytest.mark.parametrize("seed", [1, 2])
def test_slow_instance_is_avoided_within_50_ms(
    seed: int,
) -> None:
    outcomes = run("hot_cold", seed, fault=SLOW, entries=1)
    sent = [
        outcome.at - SLOW.at
        for outcome in outcomes
        if outcome.instance == 1 and SLOW.at <= outcome.at < SLOW.until
    ]
    # After that it gets only trial calls, one at a time and at growing
    # intervals.
    assert len([at for at in sent if at > 0.05]) <= 4


@pytest.mark.parametrize("seed", [1, 2])
def test_instance_that_fails_fast_attracts_no_calls(seed: int) -> None:
    outcomes = run("hot_cold", seed, fault=FAILING)
    failed = [outcome for outcome in outcomes if outcome.status != 200]
    assert len(failed) / len(outcomes) < 0.01
    baseline = run("least_reported", seed, fault=FAILING)
    assert sum(outcome.status != 200 for outcome in baseline) > 10 * len(
        failed
    )


def test_recovered_instance_is_readmitted() -> None:
    brief = dataclasses.replace(SLOW, until=1.5)
    outcomes = run("hot_cold", 1, fault=brief, seconds=6.0)
    late = collections.Counter(
        outcome.instance for outcome in outcomes if outcome.at > 4.0
    )
    assert late[1] > 0.5 * late[0]


def test_p99_without_faults_shows_no_remote_round_trips() -> None:
    outcomes = run("hot_cold", 1)
    assert simulation.p99_ms(outcomes, "tracking") < 2 * 3.0 + 5.0


def test_number_of_candidates_is_bounded() -> None:
    counts = []
    for count in (20, 400):
        model = simulation.Simulation(
            simulation.Parameters(instances=count), "hot_cold", 1
        )
        tracker = model.entries[0].tracker
        group = tracker.update_members(simulation.SERVICE, model.members, 0.5)
        counts.append(len(group.sample(frozenset(), model.rng)))
    assert max(counts) <= instance_group.MAX_RECENT_INSTANCES + 7


def test_simulation_is_deterministic() -> None:
    assert run("hot_cold", 3, seconds=0.5) == run("hot_cold", 3, seconds=0.5)
