"""The bench's command: one experiment, or all policies beside each other."""

import asyncio
import sys

import fire

from burdockdeal.core import codec
from burdockdeal.routing import policies
from burdockdeal_bench import comparison
from burdockdeal_bench import experiment as experiments
from burdockdeal_bench import hops as hop_costs
from burdockdeal_bench import scenario as scenarios

EXIT_OK = 0
EXIT_WRONG = 1
EXIT_INPUT = 2

_COMPARED = "sudden_slowdown"


def _check_policy(policy: str) -> str | None:
    if policy in policies.POLICIES:
        return None
    known = ", ".join(sorted(policies.POLICIES))
    return f"--policy: no policy is named {policy}; known: {known}"


def _run_one(experiment: scenarios.Experiment, policy: str, seed: int) -> int:
    told = asyncio.run(
        experiments.run_experiment(experiment, policy=policy, seed=seed)
    )
    print(codec.encode(told).decode())
    wrong = told.ran_twice + told.not_run_but_ran + told.foreign_answers
    return EXIT_WRONG if wrong else EXIT_OK


def _run_all(experiment: scenarios.Experiment, seed: int) -> int:
    reports = []
    for policy in policies.POLICIES:
        told = asyncio.run(
            experiments.run_experiment(experiment, policy=policy, seed=seed)
        )
        print(codec.encode(told).decode(), flush=True)
        reports.append(told)
    print(comparison.format_table(experiment, tuple(reports)))
    return EXIT_OK


def _run_hops(calls: int) -> int:
    told = asyncio.run(hop_costs.measure_hops(calls))
    print(hop_costs.format_table(told))
    print(codec.encode(told).decode())
    return EXIT_OK


def main(
    *,
    scenario: str = "",
    seed: int = 1,
    policy: str = "hot_cold",
    deployment: str = "",
    compare: bool = False,
    check: bool = False,
    hops: bool = False,
    calls: int = 2000,
) -> int:
    """Run an experiment with about 20 real processes on loopback.

    :param scenario: a shipped scenario's name, or a path; see
        docs/SCENARIOS.md.
    :param seed: of arrivals, entries and the daemons' own choices.
    :param policy: the routing policy, ignored with --compare.
    :param deployment: a shipped deployment's name, or a path, in place of
        the one that the scenario names.
    :param compare: run every policy on the same seed and print a table.
    :param hops: measure what hops cost, beside bare pass-throughs.
    :param calls: calls on each way, with --hops.
    :param check: check the files and run nothing.
    """
    if hops:
        return _run_hops(calls)
    chosen = scenario or (_COMPARED if compare else "steady")
    wrong = _check_policy(policy)
    if wrong:
        print(wrong, file=sys.stderr)
        return EXIT_INPUT
    try:
        experiment = scenarios.load(chosen, deployment=deployment)
    except scenarios.ScenarioError as error:
        for fault in error.faults:
            print(f"{error.subject}: {fault}", file=sys.stderr)
        return EXIT_INPUT
    if check:
        print(f"{chosen}: no faults")
        return EXIT_OK
    if compare:
        return _run_all(experiment, seed)
    return _run_one(experiment, policy, seed)


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda _: None))
