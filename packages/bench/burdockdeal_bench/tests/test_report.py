"""Tests of the computation of the report."""

import dataclasses

import pytest

from burdockdeal_bench import comparison
from burdockdeal_bench import plan
from burdockdeal_bench import report
from burdockdeal_bench import scenario as scenarios
from burdockdeal_bench import scrape
from burdockdeal_standins import store
from burdockdeal_standins import upstream

_EXPERIMENT = scenarios.load("steady")


def _make_request(number: int, work: str, due_s: float) -> plan.Request:
    rank = _EXPERIMENT.deployment.find_work(work).rank
    path = f"/{work}/?call={number}"
    return plan.Request(
        number, due_s, "", "GET", path, work, rank, body_bytes=0, upload_s=0
    )


def _make_outcome(
    number: int, latency_s: float, **fields: object
) -> plan.Outcome:
    answer = plan.Outcome(
        number, latency_s, 0.001, "RAN", "", 200, f"id-{number}"
    )
    return dataclasses.replace(answer, **fields)


def _make_run(number: int, work: str, request_id: str) -> upstream.Run:
    return upstream.Run(request_id, "", f"/{work}/?call={number}", 0.0)


def _build_report(
    requests: list[plan.Request],
    outcomes: list[plan.Outcome],
    ledger: tuple[upstream.Run, ...] = (),
    samples: tuple[scrape.Sample, ...] = (),
) -> report.Report:
    run_data = report.RunData(
        tuple(requests), tuple(outcomes), ledger, samples, store.Counts()
    )
    return report.build_report(_EXPERIMENT, run_data, policy="p", seed=1)


def test_each_outcome_is_counted_once() -> None:
    requests = [_make_request(n, "urgent", 4.0) for n in range(6)]
    outcomes = [
        _make_outcome(0, 0.1),
        _make_outcome(1, 0.1, status=500),
        _make_outcome(2, 0.1, verdict="NOT_RUN", status=503, reason="SHED"),
        _make_outcome(3, 0.1, verdict="MAY_HAVE_RUN", status=502),
        _make_outcome(4, 0.1, error="ClientPayloadError"),
        _make_outcome(5, 0.1, verdict=""),
    ]
    (rank,) = _build_report(requests, outcomes).ranks
    assert (rank.sent, rank.answered, rank.failed) == (6, 1, 1)
    assert (rank.not_run, rank.may_have_run, rank.no_verdict) == (1, 1, 2)
    assert rank.reasons == {"SHED": 1, "ClientPayloadError": 1}
    assert rank.answered_share == round(1 / 6, 4)


def test_kept_share_compares_rates() -> None:
    # 6 answers in the 3 s unloaded phase, 5 of 10 in the 5 s loaded one.
    requests = [_make_request(n, "urgent", 1.0) for n in range(6)]
    requests += [_make_request(n, "urgent", 5.0) for n in range(6, 16)]
    outcomes = [_make_outcome(n, 0.1) for n in range(11)]
    outcomes += [
        _make_outcome(n, 0.1, verdict="NOT_RUN") for n in range(11, 16)
    ]
    (rank,) = _build_report(requests, outcomes).ranks
    assert rank.kept_share == 0.5


def test_latency_is_split_by_the_planned_time() -> None:
    requests = [
        _make_request(1, "urgent", 1.0),
        _make_request(2, "urgent", 5.0),
    ]
    outcomes = [_make_outcome(1, 0.010), _make_outcome(2, 0.200)]
    (rank,) = _build_report(requests, outcomes).ranks
    assert rank.unloaded.p99_ms == pytest.approx(10, rel=0.01)
    assert rank.loaded.p99_ms == pytest.approx(200, rel=0.01)


def test_percentiles_of_latency() -> None:
    result = report.summarise(n / 1000 for n in range(1, 1001))
    assert result.p50_ms == pytest.approx(500, rel=0.01)
    assert result.p99_ms == pytest.approx(990, rel=0.01)
    assert result.p999_ms == pytest.approx(999, rel=0.01)
    assert report.summarise(()) == report.Latency(None, None, None)


def test_second_run_is_counted_under_any_request_id() -> None:
    requests = [_make_request(1, "book", 1.0), _make_request(2, "urgent", 1.0)]
    ledger = (
        _make_run(1, "book", "id-1"),
        _make_run(1, "book", "another"),
        _make_run(2, "urgent", "id-2"),
        _make_run(2, "urgent", "id-2"),
    )
    result = _build_report(
        requests, [_make_outcome(1, 0.1), _make_outcome(2, 0.1)], ledger
    )
    assert result.ran_twice == 1
    assert result.most_runs_per_request == 2
    assert result.runs == 4


def test_run_despite_not_run_and_foreign_answer_are_counted() -> None:
    requests = [
        _make_request(1, "urgent", 1.0),
        _make_request(2, "urgent", 1.0),
    ]
    outcomes = [
        _make_outcome(1, 0.1, verdict="NOT_RUN"),
        _make_outcome(2, 0.1, request_id="id-1"),
    ]
    ledger = (_make_run(1, "urgent", "id-1"), _make_run(2, "urgent", "id-2"))
    result = _build_report(requests, outcomes, ledger)
    assert result.not_run_but_ran == 1
    assert result.foreign_answers == 1


def _make_samples(name: str, *values: float) -> tuple[scrape.Sample, ...]:
    return tuple(
        scrape.Sample("d1", float(at), {name: value})
        for at, value in enumerate(values)
    )


def test_probe_cost_is_none_without_counters() -> None:
    result = _build_report(
        [_make_request(1, "urgent", 1.0)], [_make_outcome(1, 0.1)]
    )
    assert result.measuring.probes is None
    assert result.measuring.worst_probes_per_s is None
    assert result.tries_per_first_try is None


def test_probe_cost_includes_increase_after_a_counter_reset() -> None:
    samples = _make_samples(scrape.PROBES, 10, 14, 3, 12)
    result = _build_report(
        [_make_request(1, "urgent", 1.0)], [_make_outcome(1, 0.1)], (), samples
    )
    assert result.measuring.probes == 4 + 3 + 9
    assert result.measuring.worst_probes_per_s == 9
    assert result.measuring.probes_per_answer == 16


def test_counters_are_summed_over_labels() -> None:
    text = '# HELP a b\na{x="1 2"} 2\na{x="3"} 3\nb 1.5\n'
    assert scrape.parse_counters(text) == {"a": 5.0, "b": 1.5}


def test_table_has_a_row_for_each_policy() -> None:
    result = _build_report(
        [_make_request(1, "urgent", 5.0)], [_make_outcome(1, 0.1)]
    )
    table = comparison.format_table(_EXPERIMENT, (result, result)).splitlines()
    assert len(table) == 3
    assert table[1].split()[:4] == ["p", "100.0", "100.0", "1.0000"]


def test_same_seed_draws_the_same_requests() -> None:
    entries = ("http://a", "http://b")
    first = plan.draw_requests(_EXPERIMENT, entries, 7)
    assert first == plan.draw_requests(_EXPERIMENT, entries, 7)
    assert first != plan.draw_requests(_EXPERIMENT, entries, 8)
    due = [request.due_s for request in first]
    assert due == sorted(due)
    assert due[-1] < _EXPERIMENT.scenario.duration_s
