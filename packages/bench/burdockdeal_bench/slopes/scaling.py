"""A slope: one size, one cost, and the line fitted through the points."""

from collections import abc
import dataclasses
import statistics

#: Fewer points do not show whether a line fits.
MIN_POINTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Benchmark:
    """What is measured.

    :param name: short, as given to --only.
    :param unit: of the cost.
    :param per: what is counted, in the singular.
    :param sizes: at least four.
    :param measure: returns the cost at a size.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    measure: abc.Callable[[int], float]

    def __post_init__(self) -> None:
        if len(set(self.sizes)) < MIN_POINTS:
            raise ValueError(f"{self.name}: too few sizes")


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement."""

    size: int
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """The points of a slope and their line.

    :param slope: the cost of one more.
    :param base: the cost at size 0.
    :param correlation: 1 if the points lie on the line, None if the cost
        does not change.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    slope: float
    base: float
    correlation: float | None


def fit_line(name: str, unit: str, per: str, points: tuple[Point, ...]) -> Fit:
    """Fit a line by ordinary least squares."""
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
    """Measure a slope at each of its sizes."""
    points = tuple(
        Point(size, benchmark.measure(size)) for size in benchmark.sizes
    )
    return fit_line(benchmark.name, benchmark.unit, benchmark.per, points)


def format_fit(fitted: Fit) -> str:
    """Write a slope with its points as a few lines."""
    points = "  ".join(f"{p.size}:{p.cost:.4g}" for p in fitted.points)
    correlation = (
        "-" if fitted.correlation is None else f"{fitted.correlation:.3f}"
    )
    return (
        f"{fitted.name}: {fitted.slope:.4g} {fitted.unit} per {fitted.per}"
        f" + {fitted.base:.4g} (r {correlation})\n    {points}"
    )
