"""Tests of the line fit, and that each benchmark runs."""

import pytest

from burdockdeal_bench.slopes import __main__ as command
from burdockdeal_bench.slopes import choices
from burdockdeal_bench.slopes import configurations
from burdockdeal_bench.slopes import members
from burdockdeal_bench.slopes import scaling

_IN_PROCESS_BENCHMARKS = (
    *members.BENCHMARKS,
    *configurations.BENCHMARKS,
    *choices.BENCHMARKS,
)


def test_line_is_fitted_to_linear_cost() -> None:
    benchmark = scaling.Benchmark(
        "n", "us", "x", (1, 2, 3, 4), lambda n: 5.0 + 2.0 * n
    )
    fitted = scaling.measure(benchmark)
    assert fitted.slope == pytest.approx(2.0)
    assert fitted.base == pytest.approx(5.0)
    assert fitted.correlation == pytest.approx(1.0)
    assert "2 us per x + 5" in scaling.format_fit(fitted)


def test_constant_cost_has_no_correlation() -> None:
    benchmark = scaling.Benchmark("n", "us", "x", (1, 2, 3, 4), lambda n: 7.0)
    fitted = scaling.measure(benchmark)
    assert fitted.slope == 0
    assert fitted.correlation is None
    assert "(r -)" in scaling.format_fit(fitted)


def test_fewer_than_four_sizes_are_refused() -> None:
    with pytest.raises(ValueError, match="too few"):
        scaling.Benchmark("n", "us", "x", (1, 2, 3, 3), float)


@pytest.mark.parametrize(
    "benchmark", _IN_PROCESS_BENCHMARKS, ids=lambda benchmark: benchmark.name
)
def test_each_benchmark_runs(benchmark: scaling.Benchmark) -> None:
    # The size is far below the real ones; only checks that it runs.
    assert benchmark.measure(min(8, benchmark.sizes[0])) >= 0


def test_names_are_unique_and_an_unknown_prefix_is_refused(
    capsys: pytest.CaptureFixture[str],
) -> None:
    names = [benchmark.name for benchmark in command.BENCHMARKS]
    assert len(set(names)) == len(names)
    assert command.main(only="nothing") == command.EXIT_USAGE
    assert "known: roster-memory" in capsys.readouterr().out
