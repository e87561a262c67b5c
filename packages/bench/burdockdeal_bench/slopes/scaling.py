"""A scaling benchmark: a cost at several sizes, and the line fitted to it."""

from collections import abc
import dataclasses
import statistics

#: Fewer points do not show whether the cost grows linearly.
MIN_POINTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Benchmark:
    """A cost that is measured at several sizes.

    :param name: label, as given to --only.
    :param unit: unit of the cost.
    :param per: what the size counts, in the singular.
    :param sizes: at least four distinct ones.
    :param measure: returns the cost at a size.
    :raises ValueError: if there are fewer than four distinct sizes.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    measure: abc.Callable[[int], float]

    def __post_init__(self) -> None:
        if len(set(self.sizes)) < MIN_POINTS:
            raise ValueError(
                f"{self.name}: too few sizes, at least {MIN_POINTS} are needed"
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """The cost measured at one size."""

    size: int
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """The points of a benchmark and the line fitted to them.

    :param slope: increase of the cost when the size grows by one.
    :param base: cost at size 0, by the line.
    :param correlation: 1 if the cost grows exactly linearly, None if it is
        the same at each size.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    slope: float
    base: float
    correlation: float | None


def fit_line(name: str, unit: str, per: str, points: tuple[Point, ...]) -> Fit:
    """Fit a line to points by ordinary least squares."""
    sizes = [point.size for point in points]
    costs = [point.cost for point in points]
    line = statistics.linear_regression(sizes, costs)
    is_constant = len(set(costs)) == 1
    return Fit(
        name=name,
        unit=unit,
        per=per,
        points=points,
        slope=line.slope,
        base=line.intercept,
        correlation=None
        if is_constant
        else statistics.correlation(sizes, costs),
    )


def measure(benchmark: Benchmark) -> Fit:
    """Run a benchmark at each of its sizes and fit a line."""
    points = tuple(
        Point(size, benchmark.measure(size)) for size in benchmark.sizes
    )
    return fit_line(benchmark.name, benchmark.unit, benchmark.per, points)


def format_fit(fitted: Fit) -> str:
    """Format a fitted line and its points as two lines of text."""
    points = "  ".join(f"{p.size}:{p.cost:.4g}" for p in fitted.points)
    correlation = (
        "-" if fitted.correlation is None else f"{fitted.correlation:.3f}"
    )
    return (
        f"{fitted.name}: {fitted.slope:.4g} {fitted.unit} per {fitted.per}"
        f" + {fitted.base:.4g} (r {correlation})\n    {points}"
    )
