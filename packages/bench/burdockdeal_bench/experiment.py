"""Running of one experiment with real processes."""

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
from burdockdeal_bench import stage as stages
from burdockdeal_standins import store
from burdockdeal_standins import upstream

_GENERATORS = 2
_START_AFTER_S = 1.5
_PATIENCE_S = 15.0
_SETTLE_S = 0.5


async def _run_generators(
    stage: stages.Stage, requests: tuple[plan.Request, ...], start_at: float
) -> tuple[plan.Outcome, ...]:
    folder = stage.fleet.folder
    started = []
    for index in range(_GENERATORS):
        wanted = plan.Plan(start_at, _PATIENCE_S, requests[index::_GENERATORS])
        plan_file = folder / f"plan-{index}.json"
        plan_file.write_bytes(codec.encode(wanted))
        outcome_file = folder / f"outcomes-{index}.json"
        process = await stage.fleet.start(
            "burdockdeal_bench.caller",
            f"caller-{index}",
            plan_file=plan_file,
            outcome_file=outcome_file,
        )
        started.append((process, outcome_file))
    for process, _ in started:
        if await process.wait():
            raise RuntimeError(stage.fleet.read_log_tails())
    listed = [
        codec.decode(path.read_bytes(), plan.Outcomes).outcomes
        for _, path in started
    ]
    return tuple(itertools.chain.from_iterable(listed))


async def _happen(
    stage: stages.Stage, events: tuple[scenarios.Event, ...], start_at: float
) -> None:
    for event in sorted(events, key=lambda event: event.at_s):
        due = start_at + event.at_s
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        await stages.HAPPENINGS[event.action](stage, event)


def _read_ledger(stage: stages.Stage) -> tuple[upstream.Run, ...]:
    return tuple(
        codec.decode(line, upstream.Run)
        for path in sorted(stage.fleet.folder.glob("*.ledger"))
        for line in path.read_bytes().splitlines()
    )


def subtract(after: store.Counts, before: store.Counts) -> store.Counts:
    """Count the calls between two readings of the store's counts."""
    return store.Counts(
        *(
            getattr(after, field.name) - getattr(before, field.name)
            for field in dataclasses.fields(store.Counts)
        )
    )


async def _gather_evidence(
    stage: stages.Stage, experiment: scenarios.Experiment, seed: int
) -> report.Evidence:
    fleet = stage.fleet
    requests = plan.draw_requests(experiment, stage.entries, seed)
    calls_before = await fleet.read_store_counts()
    samples: list[scrape.Sample] = []
    scraping = asyncio.create_task(
        scrape.scrape_forever(fleet.session, stage.operator_urls, samples)
    )
    start_at = time.monotonic() + _START_AFTER_S
    happening = asyncio.create_task(
        _happen(stage, experiment.scenario.events, start_at)
    )
    try:
        outcomes = await _run_generators(stage, requests, start_at)
        await happening
    finally:
        for task in (scraping, happening):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
    await asyncio.sleep(_SETTLE_S)
    samples += await scrape.scrape_all(fleet.session, stage.operator_urls)
    return report.Evidence(
        requests=requests,
        outcomes=outcomes,
        ledger=_read_ledger(stage),
        samples=tuple(samples),
        store_calls=subtract(await fleet.read_store_counts(), calls_before),
    )


async def run_experiment(
    experiment: scenarios.Experiment, *, policy: str, seed: int
) -> report.Report:
    """Run an experiment from the start of its processes to their end.

    :param policy: the routing policy of every daemon.
    :param seed: of arrivals, entries and the daemons' own choices.
    """
    async with stages.run_stage(experiment.deployment, policy, seed) as stage:
        evidence = await _gather_evidence(stage, experiment, seed)
    return report.build_report(experiment, evidence, policy=policy, seed=seed)
