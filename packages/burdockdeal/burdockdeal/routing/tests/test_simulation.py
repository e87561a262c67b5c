"""Plays in virtual time, beside the baselines, on the same seeds."""

import collections
import dataclasses

import pytest

from burdockdeal.routing import instance_group
from burdockdeal_standins import play

SLOW = play.Fault(1.0, 3.0, 1, service_ms=200.0)
FAILING = play.Fault(1.0, 3.0, 1, service_ms=0.3, status=500)


def run(policy: str, seed: int, **fields: object) -> list[play.Outcome]:
    return play.Stage(play.Play(**fields), policy, seed).run()


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("baseline", ["round_robin", "least_reported"])
def test_slowdown_halves_the_tail(baseline: str, seed: int) -> None:
    ours = play.p99_ms(run("hot_cold", seed, fault=SLOW), "tracking")
    theirs = play.p99_ms(run(baseline, seed, fault=SLOW), "tracking")
    assert ours <= theirs / 2


@pytest.mark.parametrize("seed", [1, 2])
def test_a_slow_instance_is_left_within_tens_of_milliseconds(
    seed: int,
) -> None:
    outcomes = run("hot_cold", seed, fault=SLOW, entries=1)
    sent = [
        one.at - SLOW.at
        for one in outcomes
        if one.instance == 1 and SLOW.at <= one.at < SLOW.until
    ]
    # After that only trials, one at a time and ever rarer.
    assert len([at for at in sent if at > 0.05]) <= 4


@pytest.mark.parametrize("seed", [1, 2])
def test_failing_fast_draws_no_work(seed: int) -> None:
    outcomes = run("hot_cold", seed, fault=FAILING)
    failed = [one for one in outcomes if one.status != 200]
    assert len(failed) / len(outcomes) < 0.01
    baseline = run("least_reported", seed, fault=FAILING)
    assert sum(one.status != 200 for one in baseline) > 10 * len(failed)


def test_an_instance_comes_back() -> None:
    brief = dataclasses.replace(SLOW, until=1.5)
    outcomes = run("hot_cold", 1, fault=brief, seconds=6.0)
    late = collections.Counter(
        one.instance for one in outcomes if one.at > 4.0
    )
    assert late[1] > 0.5 * late[0]


def test_own_domain_first() -> None:
    outcomes = run("hot_cold", 1)
    assert play.p99_ms(outcomes, "tracking") < 2 * 3.0 + 5.0


def test_a_large_service_costs_no_more_a_choice() -> None:
    drawn = []
    for count in (20, 400):
        stage = play.Stage(play.Play(instances=count), "hot_cold", 1)
        tracker = stage.entries[0].tracker
        known = tracker.update_members(play.SERVICE, stage.members, 0.5)
        drawn.append(len(known.sample(frozenset(), stage.chance)))
    assert max(drawn) <= instance_group.POOL_INSTANCES + 7


def test_the_same_seed_gives_the_same_play() -> None:
    assert run("hot_cold", 3, seconds=0.5) == run("hot_cold", 3, seconds=0.5)
