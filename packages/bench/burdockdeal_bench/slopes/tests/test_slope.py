"""The arithmetic of slopes, and that each slope can be measured."""

import pytest

from burdockdeal_bench.slopes import __main__ as command
from burdockdeal_bench.slopes import choices
from burdockdeal_bench.slopes import configurations
from burdockdeal_bench.slopes import members
from burdockdeal_bench.slopes import slope

_IN_PROCESS = (
    *members.SLOPES,
    *configurations.SLOPES,
    *choices.SLOPES,
)


def test_a_line_is_found() -> None:
    made = slope.Slope("n", "us", "x", (1, 2, 3, 4), lambda n: 5.0 + 2.0 * n)
    found = slope.measure(made)
    assert found.slope == pytest.approx(2.0)
    assert found.base == pytest.approx(5.0)
    assert found.correlation == pytest.approx(1.0)
    assert "2 us per x + 5" in slope.format_fit(found)


def test_a_cost_that_does_not_grow() -> None:
    made = slope.Slope("n", "us", "x", (1, 2, 3, 4), lambda n: 7.0)
    found = slope.measure(made)
    assert found.slope == 0
    assert found.correlation is None
    assert "(r -)" in slope.format_fit(found)


def test_four_points_at_least() -> None:
    with pytest.raises(ValueError, match="too few"):
        slope.Slope("n", "us", "x", (1, 2, 3, 3), float)


@pytest.mark.parametrize("made", _IN_PROCESS, ids=lambda made: made.name)
def test_each_can_be_measured(made: slope.Slope) -> None:
    # Sizes far below the real ones: only that the measure runs.
    assert made.measure(min(8, made.sizes[0])) >= 0


def test_names_differ_and_an_unknown_one_is_told(
    capsys: pytest.CaptureFixture[str],
) -> None:
    names = [made.name for made in command.SLOPES]
    assert len(set(names)) == len(names)
    assert command.main(only="nothing") == command.EXIT_INPUT
    assert "known: roster-memory" in capsys.readouterr().out
