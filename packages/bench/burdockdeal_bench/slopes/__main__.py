"""The command that measures slopes."""

import sys

import fire

from burdockdeal.core import codec
from burdockdeal_bench.slopes import bookings
from burdockdeal_bench.slopes import choices
from burdockdeal_bench.slopes import configurations
from burdockdeal_bench.slopes import fleets
from burdockdeal_bench.slopes import members
from burdockdeal_bench.slopes import scaling

#: All slopes, in the order in which they are measured.
BENCHMARKS: tuple[scaling.Benchmark, ...] = (
    *members.BENCHMARKS,
    *configurations.BENCHMARKS,
    *choices.BENCHMARKS,
    *bookings.BENCHMARKS,
    *fleets.BENCHMARKS,
)

EXIT_OK = 0
EXIT_USAGE = 2


def main(*, only: str = "") -> int:
    """Measure slopes and print each with its points.

    :param only: how the names of the wanted slopes begin, all if empty.
    """
    selected = [
        benchmark
        for benchmark in BENCHMARKS
        if benchmark.name.startswith(only)
    ]
    if not selected:
        known = ", ".join(benchmark.name for benchmark in BENCHMARKS)
        print(f"--only: no slope's name begins so; known: {known}")
        return EXIT_USAGE
    fits = []
    for benchmark in selected:
        fits.append(scaling.measure(benchmark))
        print(scaling.format_fit(fits[-1]), flush=True)
    print(codec.encode(fits).decode())
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda _: None))
