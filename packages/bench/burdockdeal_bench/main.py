"""The bench's command: one experiment, or a comparison of all policies."""

import asyncio
import sys

import fire

from burdockdeal.core import codec
from burdockdeal.routing import policies
from burdockdeal_bench import comparison
from burdockdeal_bench import experiment as experiments
from burdockdeal_bench import hops as hop_costs
from burdockdeal_bench import scenario as scenarios
from burdockdeal_bench import streams as stream_arrivals

EXIT_OK = 0
EXIT_VIOLATION = 1
EXIT_USAGE = 2

_DEFAULT_COMPARE_SCENARIO = "sudden_slowdown"


def _check_policy(policy: str) -> str | None:
    if policy in policies.POLICIES:
        return None
    known = ", ".join(sorted(policies.POLICIES))
    return f"--policy: unknown policy {policy}; known: {known}"


def _run_one(experiment: scenarios.Experiment, policy: str, seed: int) -> int:
    result = asyncio.run(
        experiments.run_experiment(experiment, policy=policy, seed=seed)
    )
    print(codec.encode(result).decode())
    violations = (
        result.ran_twice + result.not_run_but_ran + result.foreign_answers
    )
    return EXIT_VIOLATION if violations else EXIT_OK


def _compare_policies(experiment: scenarios.Experiment, seed: int) -> int:
    reports = []
    for policy in policies.POLICIES:
        result = asyncio.run(
            experiments.run_experiment(experiment, policy=policy, seed=seed)
        )
        print(codec.encode(result).decode(), flush=True)
        reports.append(result)
    print(comparison.format_table(experiment, tuple(reports)))
    return EXIT_OK


def _run_hops(calls: int) -> int:
    result = asyncio.run(hop_costs.measure_hops(calls))
    print(hop_costs.format_table(result))
    print(codec.encode(result).decode())
    return EXIT_OK


def _run_streams(calls: int) -> int:
    rows = asyncio.run(stream_arrivals.measure_arrivals(calls))
    print(stream_arrivals.format_table(rows))
    print(codec.encode(rows).decode())
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
    streams: bool = False,
    calls: int = 2000,
) -> int:
    """Run an experiment with about 20 real processes on loopback.

    Exits with 1 if a request that is not idempotent ran twice, a request
    answered NOT_RUN ran, or a caller got another request's answer; with
    2 if the input is invalid. With --compare, such requests do not change
    the exit code.

    :param scenario: name of a scenario of this package, or a path; see
        docs/SCENARIOS.md.
    :param seed: seeds the arrival times, the choice of entry daemons and
        the daemons' random choices.
    :param policy: the routing policy, ignored with --compare.
    :param deployment: name of a deployment of this package, or a path;
        replaces the one that the scenario names.
    :param compare: run every policy with the same seed and print a table.
    :param check: validate the files without running anything.
    :param hops: measure the cost of hops against pass-through proxies.
    :param streams: measure when the head and the first message of responses
        arrive.
    :param calls: number of calls on each path, with --hops and --streams.
    """
    if hops:
        return _run_hops(calls)
    if streams:
        return _run_streams(calls)
    scenario_name = scenario or (
        _DEFAULT_COMPARE_SCENARIO if compare else "steady"
    )
    policy_error = _check_policy(policy)
    if policy_error:
        print(policy_error, file=sys.stderr)
        return EXIT_USAGE
    try:
        experiment = scenarios.load(scenario_name, deployment=deployment)
    except scenarios.ScenarioError as error:
        for violation in error.faults:
            print(f"{error.subject}: {violation}", file=sys.stderr)
        return EXIT_USAGE
    if check:
        print(f"{scenario_name}: valid")
        return EXIT_OK
    if compare:
        return _compare_policies(experiment, seed)
    return _run_one(experiment, policy, seed)


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda _: None))
