"""Runs one experiment: testbed, load generators, events and metrics."""

import asyncio
import contextlib
import dataclasses
import itertools
import time

from burdockdeal.core import codec
from burdockdeal_bench import plan
from burdockdeal_bench import report
from burdockdeal_bench import scenario as scenarios
from burdockdeal_bench import scrape
from burdockdeal_bench import testbed as testbeds
from burdockdeal_standins import store
from burdockdeal_standins import upstream

_GENERATOR_COUNT = 2
_START_DELAY_S = 1.5
_REQUEST_TIMEOUT_S = 15.0
_SETTLE_TIME_S = 0.5


async def _run_load_generators(
    testbed: testbeds.Testbed,
    requests: tuple[plan.Request, ...],
    start_at: float,
) -> tuple[plan.Outcome, ...]:
    folder = testbed.fleet.folder
    running = []
    for index in range(_GENERATOR_COUNT):
        plan_ = plan.Plan(
            start_at, _REQUEST_TIMEOUT_S, requests[index::_GENERATOR_COUNT]
        )
        plan_file = folder / f"plan-{index}.json"
        plan_file.write_bytes(codec.encode(plan_))
        outcome_file = folder / f"outcomes-{index}.json"
        process = await testbed.fleet.start(
            "burdockdeal_bench.load_generator",
            f"load-generator-{index}",
            plan_file=plan_file,
            outcome_file=outcome_file,
        )
        running.append((process, outcome_file))
    for process, _ in running:
        if await process.wait():
            raise RuntimeError(testbed.fleet.read_log_tails())
    batches = [
        codec.decode(path.read_bytes(), plan.Outcomes).outcomes
        for _, path in running
    ]
    return tuple(itertools.chain.from_iterable(batches))


async def _inject_events(
    testbed: testbeds.Testbed,
    events: tuple[scenarios.Event, ...],
    start_at: float,
) -> None:
    for event in sorted(events, key=lambda event: event.at_s):
        due = start_at + event.at_s
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        await testbeds.ACTION_HANDLERS[event.action](testbed, event)


def _read_ledgers(testbed: testbeds.Testbed) -> tuple[upstream.Run, ...]:
    return tuple(
        codec.decode(line, upstream.Run)
        for path in sorted(testbed.fleet.folder.glob("*.ledger"))
        for line in path.read_bytes().splitlines()
    )


def subtract_counts(after: store.Counts, before: store.Counts) -> store.Counts:
    """Return the store calls made between two readings of its counters."""
    return store.Counts(
        *(
            getattr(after, field.name) - getattr(before, field.name)
            for field in dataclasses.fields(store.Counts)
        )
    )


async def _collect_run_data(
    testbed: testbeds.Testbed, experiment: scenarios.Experiment, seed: int
) -> report.RunData:
    fleet = testbed.fleet
    requests = plan.draw_requests(experiment, testbed.entries, seed)
    calls_before = await fleet.read_store_counts()
    samples: list[scrape.Sample] = []
    scraping = asyncio.create_task(
        scrape.scrape_periodically(
            fleet.session, testbed.operator_urls, samples
        )
    )
    start_at = time.monotonic() + _START_DELAY_S
    injecting = asyncio.create_task(
        _inject_events(testbed, experiment.scenario.events, start_at)
    )
    try:
        outcomes = await _run_load_generators(testbed, requests, start_at)
        await injecting
    finally:
        for task in (scraping, injecting):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
    await asyncio.sleep(_SETTLE_TIME_S)
    samples += await scrape.scrape_all(fleet.session, testbed.operator_urls)
    return report.RunData(
        requests=requests,
        outcomes=outcomes,
        ledger=_read_ledgers(testbed),
        samples=tuple(samples),
        store_calls=subtract_counts(
            await fleet.read_store_counts(), calls_before
        ),
    )


async def run_experiment(
    experiment: scenarios.Experiment, *, policy: str, seed: int
) -> report.Report:
    """Start the processes, run the experiment, stop them and report.

    :param policy: the routing policy of every daemon.
    :param seed: seeds the arrival times, the choice of entry daemons and
        the daemons' random choices.
    :raises RuntimeError: with all logs, if a load generator fails.
    """
    async with testbeds.run_testbed(
        experiment.deployment, policy, seed
    ) as testbed:
        run_data = await _collect_run_data(testbed, experiment, seed)
    return report.build_report(experiment, run_data, policy=policy, seed=seed)
