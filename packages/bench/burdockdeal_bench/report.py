"""The report on a run, computed from outcomes, ledgers and metrics."""

import collections
from collections import abc
import dataclasses

from hdrh import histogram

from burdockdeal.configuration import resources
from burdockdeal.core import verdict
from burdockdeal_bench import plan
from burdockdeal_bench import scenario as scenarios
from burdockdeal_bench import scrape
from burdockdeal_standins import store
from burdockdeal_standins import upstream

_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Percentiles of latency, in milliseconds; None without any sample."""

    p50_ms: float | None
    p99_ms: float | None
    p999_ms: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """The outcomes of one rank's requests.

    The first unloaded_s seconds of a scenario are its unloaded phase; the
    rest is the loaded phase.

    :param answered: complete upstream responses with a status below 500.
    :param failed: complete upstream responses with a status of 500 or
        above.
    :param no_verdict: requests without a complete response, or whose
        response has no verdict.
    :param kept_share: rate of answered requests in the loaded phase
        divided by that in the unloaded phase; None if the loaded phase
        had no request or the unloaded phase no answer.
    :param loaded: latency of answered requests due in the loaded phase.
    :param unloaded: latency of those due in the unloaded phase.
    :param reasons: number of requests by reason or exception name.
    """

    rank: str
    sent: int
    answered: int
    failed: int
    not_run: int
    may_have_run: int
    no_verdict: int
    answered_share: float
    kept_share: float | None
    loaded: Latency
    unloaded: Latency
    reasons: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeCost:
    """The cost of probes; a figure is None if no daemon has its counter.

    :param bytes: bytes of all probes.
    :param probes_per_answer: probes divided by answered requests.
    :param worst_probes_per_s: highest rate of any daemon between two
        scrapes, which are about a second apart.
    :param worst_bytes_per_s: likewise, in bytes.
    :param budget: the declared limit.
    """

    probes: int | None
    bytes: int | None
    probes_per_answer: float | None
    bytes_per_answer: float | None
    worst_probes_per_s: float | None
    worst_bytes_per_s: float | None
    budget: resources.Budget


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The report on one run.

    :param measuring: the cost of probes.
    :param tries_per_first_try: all sends divided by first sends, None if
        no daemon has the counters.
    :param runs: runs that the upstreams recorded.
    :param most_runs_per_request: highest number of runs of one call.
    :param ran_twice: number of requests that are not safe to repeat and
        ran more than once.
    :param not_run_but_ran: number of requests that ran although their
        verdict was NOT_RUN.
    :param foreign_answers: number of answers with a request id other
        than that of the run.
    :param lag_p99_ms: p99 of the delay with which the load generators
        sent, in milliseconds.
    """

    scenario: str
    deployment: str
    policy: str
    seed: int
    duration_s: float
    ranks: tuple[RankReport, ...]
    measuring: ProbeCost
    store_calls: store.Counts
    tries_per_first_try: float | None
    runs: int
    most_runs_per_request: int
    ran_twice: int
    not_run_but_ran: int
    foreign_answers: int
    lag_p99_ms: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunData:
    """Everything recorded during a run, from which the report is computed.

    :param ledger: the runs, as the upstreams recorded them when they
        began.
    :param samples: scraped metrics of the daemons.
    :param store_calls: calls to the store during the run.
    """

    requests: tuple[plan.Request, ...]
    outcomes: tuple[plan.Outcome, ...]
    ledger: tuple[upstream.Run, ...]
    samples: tuple[scrape.Sample, ...]
    store_calls: store.Counts


def summarise(latencies_s: abc.Iterable[float]) -> Latency:
    """Compute the percentiles of latencies.

    :param latencies_s: in seconds; values above 120 s count as 120 s.
    """
    latencies = histogram.HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for latency_s in latencies_s:
        latencies.record_value(
            min(_MAX_LATENCY_US, max(1, round(latency_s * 1_000_000)))
        )
    if not latencies.get_total_count():
        return Latency(None, None, None)
    at = latencies.get_value_at_percentile
    return Latency(*(round(at(share) / 1000, 2) for share in (50, 99, 99.9)))


def _ratio(
    numerator: float | None, denominator: float | None, digits: int = 3
) -> float | None:
    if numerator is None or not denominator:
        return None
    return round(numerator / denominator, digits)


def _is_answered(outcome: plan.Outcome) -> bool:
    return (
        not outcome.error
        and outcome.verdict == verdict.Verdict.RAN
        and outcome.status < _SERVER_ERROR
    )


def _classify(outcome: plan.Outcome) -> str:
    """Return the name of the RankReport counter of an outcome."""
    if outcome.error or not outcome.verdict:
        return "no_verdict"
    if outcome.verdict != verdict.Verdict.RAN:
        return outcome.verdict.lower()
    return "answered" if _is_answered(outcome) else "failed"


RequestOutcome = tuple[plan.Request, plan.Outcome]


def _report_rank(
    rank: str, pairs: list[RequestOutcome], scenario: scenarios.Scenario
) -> RankReport:
    counts = collections.Counter(_classify(outcome) for _, outcome in pairs)
    answered_pairs = [pair for pair in pairs if _is_answered(pair[1])]
    unloaded = [p for p in answered_pairs if p[0].due_s < scenario.unloaded_s]
    loaded = [p for p in answered_pairs if p[0].due_s >= scenario.unloaded_s]
    unloaded_rate = len(unloaded) / scenario.unloaded_s
    loaded_s = scenario.duration_s - scenario.unloaded_s
    had_load = any(r.due_s >= scenario.unloaded_s for r, _ in pairs)
    return RankReport(
        rank=rank,
        sent=len(pairs),
        answered=counts["answered"],
        failed=counts["failed"],
        not_run=counts["not_run"],
        may_have_run=counts["may_have_run"],
        no_verdict=counts["no_verdict"],
        answered_share=round(counts["answered"] / len(pairs), 4),
        kept_share=_ratio(len(loaded) / loaded_s, unloaded_rate)
        if had_load
        else None,
        loaded=summarise(outcome.latency_s for _, outcome in loaded),
        unloaded=summarise(outcome.latency_s for _, outcome in unloaded),
        reasons=dict(
            sorted(
                collections.Counter(
                    outcome.reason or outcome.error
                    for _, outcome in pairs
                    if outcome.reason or outcome.error
                ).items()
            )
        ),
    )


def _report_ranks(
    experiment: scenarios.Experiment, pairs: list[RequestOutcome]
) -> tuple[RankReport, ...]:
    ranks = sorted(
        experiment.deployment.ranks, key=lambda rank: rank.spec.urgency
    )
    by_rank: dict[str, list[RequestOutcome]] = {
        rank.name: [] for rank in ranks
    }
    for pair in pairs:
        by_rank[pair[0].rank].append(pair)
    return tuple(
        _report_rank(rank, rank_pairs, experiment.scenario)
        for rank, rank_pairs in by_rank.items()
        if rank_pairs
    )


def _report_probe_cost(
    samples: tuple[scrape.Sample, ...], answered: int, budget: resources.Budget
) -> ProbeCost:
    probes = scrape.total_increase(samples, scrape.PROBES)
    probe_bytes = scrape.total_increase(samples, scrape.PROBE_BYTES)
    return ProbeCost(
        probes=None if probes is None else round(probes),
        bytes=None if probe_bytes is None else round(probe_bytes),
        probes_per_answer=_ratio(probes, answered, 4),
        bytes_per_answer=_ratio(probe_bytes, answered, 2),
        worst_probes_per_s=scrape.max_rate_per_s(samples, scrape.PROBES),
        worst_bytes_per_s=scrape.max_rate_per_s(samples, scrape.PROBE_BYTES),
        budget=budget,
    )


def count_runs(
    ledger: abc.Iterable[upstream.Run],
) -> collections.Counter[str]:
    """Count runs by path, which is unique to each call of a request.

    The path comes from the caller. If runs were counted by the request id
    that a daemon assigns, a daemon that assigned a second id would hide a
    second run.
    """
    return collections.Counter(run.path for run in ledger)


def build_report(
    experiment: scenarios.Experiment,
    run_data: RunData,
    *,
    policy: str,
    seed: int,
) -> Report:
    """Compute the report on a run from its recorded data."""
    deployment = experiment.deployment
    by_number = {request.number: request for request in run_data.requests}
    pairs = [
        (by_number[outcome.number], outcome) for outcome in run_data.outcomes
    ]
    runs = count_runs(run_data.ledger)
    ids = {run.path: run.request_id for run in run_data.ledger}
    not_retry_safe = {
        work.name for work in deployment.works if not work.is_retry_safe
    }
    answered = sum(_is_answered(outcome) for _, outcome in pairs)
    first_sends = scrape.total_increase(run_data.samples, scrape.FIRST_SENDS)
    return Report(
        scenario=experiment.scenario.name,
        deployment=deployment.name,
        policy=policy,
        seed=seed,
        duration_s=experiment.scenario.duration_s,
        ranks=_report_ranks(experiment, pairs),
        measuring=_report_probe_cost(
            run_data.samples, answered, deployment.budget
        ),
        store_calls=run_data.store_calls,
        tries_per_first_try=_ratio(
            scrape.total_increase(run_data.samples, scrape.SENDS), first_sends
        ),
        runs=sum(runs.values()),
        most_runs_per_request=max(runs.values(), default=0),
        ran_twice=sum(
            request.work in not_retry_safe and runs[request.path] > 1
            for request in run_data.requests
        ),
        not_run_but_ran=sum(
            outcome.verdict == verdict.Verdict.NOT_RUN
            and runs[request.path] > 0
            for request, outcome in pairs
        ),
        foreign_answers=sum(
            _is_answered(outcome)
            and ids.get(request.path, outcome.request_id) != outcome.request_id
            for request, outcome in pairs
        ),
        lag_p99_ms=summarise(o.lag_s for o in run_data.outcomes).p99_ms,
    )
