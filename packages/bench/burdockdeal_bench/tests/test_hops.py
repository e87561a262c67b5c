"""Tests of the computation of the cost of hops."""

import os

import pytest

from burdockdeal_bench import hops


def _make_times(seconds: float, cpu_us: float) -> hops.PathTimings:
    return hops.PathTimings((seconds,) * 100, cpu_us)


def test_ratios_compare_added_latency() -> None:
    result = hops.build_report(
        {
            hops.Path("direct", 0, ""): _make_times(0.001, 0.0),
            hops.Path("bare", 1, ""): _make_times(0.002, 400.0),
            hops.Path("daemons", 1, ""): _make_times(0.0025, 600.0),
            hops.Path("bare", 2, ""): _make_times(0.003, 800.0),
            hops.Path("daemons", 2, ""): _make_times(0.005, 1600.0),
        },
        idle_kb=50_000,
        after_kb=51_000,
    )
    assert result.ratios_p50 == pytest.approx((1.5, 2.0), abs=0.02)
    assert result.ratios_p99 == pytest.approx((1.5, 2.0), abs=0.02)
    assert result.ratios_cpu == pytest.approx((1.5, 2.0))
    assert result.calls == 100
    assert len(hops.format_table(result).splitlines()) == 7


def test_cpu_time_and_memory_of_a_process_are_read() -> None:
    own = os.getpid()
    before = hops.read_cpu_ns([own])
    assert sum(range(1_000_000)) > 0
    assert hops.read_cpu_ns([own]) >= before
    assert hops.read_resident_kb(own) > 1_000
